package fleet

import "time"

// Notice is what a replica says of itself in the head of an answer, whatever it answers.
type Notice struct {
	// Leaving is set once it is leaving.
	Leaving bool
	// HasRateLimit says that it takes no more than Rate requests a second from all entries
	// together, for as long as its answers say so. Rate is 0 or more.
	HasRateLimit bool
	RateLimit    float64
	// Backoff is for how long it wants nothing from the entry that it has turned away, 0 if it
	// doesn't say.
	Backoff time.Duration
	// Malformed says that the head has something of this kind that can't be read.
	Malformed bool
}
