package protocol

// StatusRequest requests a process's Status.
type StatusRequest struct{}

// Status is what `skylarkctl status` shows of one process.
type Status struct {
	Identity      Identity       `cbor:"1,keyasint" json:"identity"`
	Leaving       bool           `cbor:"2,keyasint" json:"leaving"`
	ConfigOffset  uint64         `cbor:"3,keyasint" json:"config_offset"`
	ConfigSource  string         `cbor:"4,keyasint" json:"config_source"`
	Load          Load           `cbor:"5,keyasint" json:"load"`
	Members       []MemberStatus `cbor:"6,keyasint,omitempty" json:"members,omitempty"`
	InFlight      int            `cbor:"7,keyasint" json:"in_flight"`
	UptimeMs      int64          `cbor:"8,keyasint" json:"uptime_ms"`
	LogReachable  bool           `cbor:"9,keyasint" json:"log_reachable"`
	UnknownSchema int            `cbor:"10,keyasint,omitempty" json:"unknown_schema"`
	// NotReady is the reason why /readyz answers 503, empty if it doesn't.
	NotReady string `cbor:"11,keyasint,omitempty" json:"not_ready,omitempty"`
}

// MemberStatus is one process's view of another.
type MemberStatus struct {
	ID    string `cbor:"1,keyasint" json:"id"`
	State string `cbor:"2,keyasint" json:"state"`
	AgeMs int64  `cbor:"3,keyasint" json:"age_ms"`
	// Address, Group and FailureDomain let a process that can't read the platform's
	// instance list learn the endpoints from a peer.
	Address       string `cbor:"4,keyasint,omitempty" json:"address,omitempty"`
	Group         string `cbor:"5,keyasint,omitempty" json:"group,omitempty"`
	FailureDomain string `cbor:"6,keyasint,omitempty" json:"failure_domain,omitempty"`
}

// ExplainRequest requests the decision records that a process keeps of a request.
type ExplainRequest struct {
	Request string `cbor:"1,keyasint"`
}

// Explanation answers ExplainRequest with decision records, oldest first.
type Explanation struct {
	Records []DecisionRecord `cbor:"1,keyasint,omitempty" json:"records"`
}

// DecisionRecord is one routing or placement decision, as logged.
type DecisionRecord struct {
	Request         string      `cbor:"1,keyasint" json:"request"`
	Process         string      `cbor:"2,keyasint" json:"process"`
	Kind            string      `cbor:"3,keyasint" json:"kind"`
	Organisation    string      `cbor:"4,keyasint,omitempty" json:"organisation"`
	Owner           string      `cbor:"5,keyasint,omitempty" json:"owner"`
	Executor        string      `cbor:"6,keyasint,omitempty" json:"executor"`
	Reason          string      `cbor:"7,keyasint" json:"reason"`
	PredictedCached int         `cbor:"8,keyasint" json:"predicted_cached"`
	ActualCached    int         `cbor:"9,keyasint" json:"actual_cached"`
	Candidates      []Candidate `cbor:"10,keyasint,omitempty" json:"candidates,omitempty"`
	Outcome         Outcome     `cbor:"11,keyasint,omitempty" json:"outcome,omitempty"`
	AgeMs           int64       `cbor:"12,keyasint" json:"age_ms"`
	// Donor is the endpoint that a prefix should be, or was, imported from.
	Donor string `cbor:"13,keyasint,omitempty" json:"donor,omitempty"`
}

// Drain orders an endpoint process to stop taking new work permanently.
type Drain struct {
	Endpoint string `cbor:"1,keyasint"`
}

// Drained answers Drain.
type Drained struct {
	Endpoint string `cbor:"1,keyasint"`
	InFlight int    `cbor:"2,keyasint"`
}
