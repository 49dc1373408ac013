package fleet

import "time"

// Notice is what a replica reports about itself in the headers of an answer, whatever the
// answer.
type Notice struct {
	// Leaving is set once the replica is leaving.
	Leaving bool
	// HasRateLimit is set if the replica accepts no more than RateLimit requests per second
	// from all entries together, for as long as its answers say so. RateLimit is 0 or more.
	HasRateLimit bool
	RateLimit    float64
	// Backoff is how long the entry that was refused is asked to send nothing, 0 if the replica
	// doesn't say.
	Backoff time.Duration
	// Malformed is set if one of these headers can't be parsed.
	Malformed bool
}
