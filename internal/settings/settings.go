// Package settings decodes and checks a daemon's settings file: JSON with comments,
// in which unknown fields are errors.
package settings

import "time"

// Settings are the start-up parameters of one process: its own identity and addresses
// and those of the platform. Configuration that the fleet shares is on the platform's
// log (package config).
type Settings struct {
	// ID is the instance's unique name.
	ID string `json:"id"`
	// Role is "entry", "endpoint" or "direct".
	Role string `json:"role"`
	// FailureDomain is the failure domain of the instance, such as "hobart-a".
	FailureDomain string `json:"failure_domain"`
	// Listen is "ip:port" for peers. Advertise is the address that they dial; the
	// default is Listen.
	Listen    string `json:"listen"`
	Advertise string `json:"advertise"`
	// Metrics is "ip:port" of the metrics page, empty for none.
	Metrics string `json:"metrics"`
	// FleetKey is the fleet's shared key, 32 bytes or more in hex.
	FleetKey string `json:"fleet_key"`
	// FleetKeys replaces FleetKey while the fleet rotates its key: the first is used
	// to dial, all are accepted.
	FleetKeys []string `json:"fleet_keys,omitempty"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"log_level"`

	Platform  Platform  `json:"platform"`
	Entry     *Entry    `json:"entry"`
	Endpoint  *Endpoint `json:"endpoint"`
	Direct    *Direct   `json:"direct"`
	Bootstrap Bootstrap `json:"bootstrap"`
}

// Platform has the addresses of the platform's services.
type Platform struct {
	// Log and Instances are the base URLs of the log and of the instance list, with
	// an IP address as host: "http://ip:port".
	Log       string `json:"log"`
	Instances string `json:"instances"`
	// Retention is the time for which the log keeps a record.
	Retention Duration `json:"retention"`
}

// Bootstrap says where a process that starts finds its peers and configuration while
// the platform doesn't answer.
type Bootstrap struct {
	// Peers are the "ip:port" of processes to ask before the instance list is known.
	Peers []string `json:"peers,omitempty"`
	// File is an exported configuration state (skylarkctl config export), for when
	// neither the log nor a peer answers.
	File string `json:"file"`
}

// Entry has the settings of the role entry.
type Entry struct {
	// Listen is "ip:port" for callers.
	Listen string `json:"listen"`
	// TLS names the certificate and key files for callers; plain HTTP if nil.
	TLS *TLS `json:"tls"`
	// MaxBody bounds the body of a caller's request in bytes.
	MaxBody int64 `json:"max_body"`
	// HedgeAfter is how long the owner of a prefix may take to answer a routing
	// question before the next one in rendezvous order is asked too.
	HedgeAfter Duration `json:"hedge_after"`
	// ResumeGrace is how long a stream continues after its caller has disconnected.
	ResumeGrace Duration `json:"resume_grace"`
	// RequestTimeout bounds a request whose caller sets no deadline.
	RequestTimeout Duration `json:"request_timeout"`
	// RetryShare bounds retries to this share of recent requests, 0 to 1.
	RetryShare float64 `json:"retry_share"`
	// Policy is the routing policy: "owner", or a baseline for measurements.
	Policy string `json:"policy"`
	// DrainDelay is how long after SIGTERM the listener stays open while the
	// readiness check fails, so that the load balancer stops sending first.
	DrainDelay Duration `json:"drain_delay"`
	// Grace is the time from SIGTERM until the process is killed; 0 if it isn't.
	Grace Duration `json:"grace"`
}

// EntryStopMargin is how long before the end of Entry.Grace an entry answers what is left.
const EntryStopMargin = 500 * time.Millisecond

// TLS has the paths of PEM files.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// Endpoint has the settings of the role endpoint.
type Endpoint struct {
	// Group is the group that the engine or service belongs to.
	Group string `json:"group"`
	// Kind is "engine" or "service".
	Kind string `json:"kind"`
	// Backend is the base URL of the engine or service, with an IP address as host.
	Backend string `json:"backend"`
	// MaxRunning bounds the concurrent requests at the engine or service.
	MaxRunning int `json:"max_running"`
	// MaxQueue bounds the requests that wait for it.
	MaxQueue int `json:"max_queue"`
	// SmallReserve is the share of MaxRunning, 0 to 1, that is reserved for
	// organisations with little usage.
	SmallReserve float64 `json:"small_reserve"`
	// FirstTokenTarget is the expected time to first token beyond which requests of
	// an organisation with a standing backlog are refused on arrival.
	FirstTokenTarget Duration `json:"first_token_target,omitempty"`
	// PrefillTokensPerSecond is the engine's prefill rate, DecodeTokenTime its time
	// per generated token.
	PrefillTokensPerSecond float64  `json:"prefill_tokens_per_second"`
	DecodeTokenTime        Duration `json:"decode_token_time"`
	// TransferTokensPerSecond is the rate at which a prefix is exported from one
	// engine of the group and imported by another; 0 disables imports, so that every
	// prefix is computed.
	TransferTokensPerSecond float64 `json:"transfer_tokens_per_second"`
	// TransferWait bounds the time that a request waits for an import.
	TransferWait Duration `json:"transfer_wait"`
	// CacheTokens is the capacity of the engine's prefix cache in tokens.
	CacheTokens int `json:"cache_tokens"`
	// KeepServing is the share of the group, 0 to 1, that continues to serve while
	// others load weights; at least one replica does.
	KeepServing float64 `json:"keep_serving"`
	// Heartbeat is the interval of heartbeats to the group. A peer from which
	// nothing has been received for SuspectAfter gets no new work.
	Heartbeat    Duration `json:"heartbeat"`
	SuspectAfter Duration `json:"suspect_after"`
}

// Duration is a time.Duration that is encoded as a string such as "250ms".
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }
