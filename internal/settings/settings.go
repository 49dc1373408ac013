// Package settings reads and checks a daemon's settings file: JSON with
// comments, unknown fields refused.
package settings

import "time"

// Settings are what a process is told at its start. They name what is its own
// and where the platform is; all that the fleet shares is on the log.
type Settings struct {
	// ID is the instance's unique name.
	ID string `json:"id"`
	// Role is "entry", "endpoint" or "direct".
	Role string `json:"role"`
	// FailureDomain is where the instance stands, such as "hobart-a".
	FailureDomain string `json:"failure_domain"`
	// Listen is "ip:port" for peers; Advertise is the address they dial, Listen
	// if empty.
	Listen    string `json:"listen"`
	Advertise string `json:"advertise"`
	// Metrics is "ip:port" of the metrics page, empty for none.
	Metrics string `json:"metrics"`
	// FleetKey is the fleet's shared key, 32 bytes or more in hex.
	FleetKey string `json:"fleet_key"`
	// FleetKeys stand in for FleetKey while the fleet goes from one key to another:
	// the first is used to dial, all are accepted.
	FleetKeys []string `json:"fleet_keys,omitempty"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"log_level"`

	Platform  Platform  `json:"platform"`
	Entry     *Entry    `json:"entry"`
	Endpoint  *Endpoint `json:"endpoint"`
	Direct    *Direct   `json:"direct"`
	Bootstrap Bootstrap `json:"bootstrap"`
}

// Platform says where the platform's services are.
type Platform struct {
	// Log and Instances are base URLs by IP number, "http://ip:port".
	Log       string `json:"log"`
	Instances string `json:"instances"`
	// Retention is how long the log keeps a record.
	Retention Duration `json:"retention"`
}

// Bootstrap is what a process starts from when neither the log nor a peer
// answers.
type Bootstrap struct {
	// Peers are "ip:port" of processes to ask before the instance list is known.
	Peers []string `json:"peers,omitempty"`
	// File is an exported configuration state (skylarkctl config export).
	File string `json:"file"`
}

// Entry has the settings of the role entry.
type Entry struct {
	// Listen is "ip:port" for callers.
	Listen string `json:"listen"`
	// TLS names the certificate files for callers; plain HTTP if nil.
	TLS *TLS `json:"tls"`
	// MaxBody bounds a caller's body in bytes.
	MaxBody int64 `json:"max_body"`
	// HedgeAfter is how long an owner may take to answer before the next one
	// in rendezvous order is asked too.
	HedgeAfter Duration `json:"hedge_after"`
	// ResumeGrace is how long a stream goes on without its caller.
	ResumeGrace Duration `json:"resume_grace"`
	// RequestTimeout bounds a request whose caller states no deadline.
	RequestTimeout Duration `json:"request_timeout"`
	// RetryShare is retries as a share of recent requests, 0 to 1.
	RetryShare float64 `json:"retry_share"`
	// Policy picks the routing: "owner", or a baseline for measurements.
	Policy string `json:"policy"`
	// DrainDelay is how long the listener stays open, answering not ready,
	// after SIGTERM, so that the balancer turns away first.
	DrainDelay Duration `json:"drain_delay"`
}

// TLS names PEM files.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// Endpoint has the settings of the role endpoint.
type Endpoint struct {
	// Group is the group that the back end belongs to.
	Group string `json:"group"`
	// Kind is "engine" or "service".
	Kind string `json:"kind"`
	// Backend is the base URL of the engine or service, by IP number.
	Backend string `json:"backend"`
	// MaxRunning bounds requests at the back end at once.
	MaxRunning int `json:"max_running"`
	// MaxQueue bounds requests waiting for it.
	MaxQueue int `json:"max_queue"`
	// SmallReserve is the share of running places kept for organisations that
	// use little, 0 to 1.
	SmallReserve float64 `json:"small_reserve"`
	// FirstTokenTarget is the time to first token beyond which requests of an
	// organisation with a standing backlog are refused on arrival.
	FirstTokenTarget Duration `json:"first_token_target,omitempty"`
	// PrefillTokensPerSecond and DecodeTokenTime are the engine's speeds.
	PrefillTokensPerSecond float64  `json:"prefill_tokens_per_second"`
	DecodeTokenTime        Duration `json:"decode_token_time"`
	// TransferTokensPerSecond is how fast a prefix can be exported from one engine
	// of the group and imported by another; 0 has every prefix computed.
	TransferTokensPerSecond float64 `json:"transfer_tokens_per_second"`
	// TransferWait bounds what a request waits for an import.
	TransferWait Duration `json:"transfer_wait"`
	// CacheTokens is the size of the engine's prefix cache.
	CacheTokens int `json:"cache_tokens"`
	// KeepServing is the share of the group that goes on serving while others load
	// weights, 0 to 1; at least one replica does.
	KeepServing float64 `json:"keep_serving"`
	// Heartbeat is how often the group is told; a peer silent for
	// SuspectAfter gets no new work.
	Heartbeat    Duration `json:"heartbeat"`
	SuspectAfter Duration `json:"suspect_after"`
}

// Duration is a time.Duration written as a string such as "250ms".
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }
