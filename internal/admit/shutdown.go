package admit

import "time"

// Shutdown is the time for which a process that shuts down still serves.
type Shutdown struct {
	// RestrictedFrom is from when on requests are accepted only if they end in time.
	RestrictedFrom time.Duration
	// Ends is when the process answers or cuts off what is left.
	Ends time.Duration
}

// LateRequest is a request at a process that shuts down. Its times are on the clock of the Shutdown.
type LateRequest struct {
	// Arrived is when the last byte of the request came, or of its head where more is to come.
	Arrived time.Duration
	// Deadline is when the process itself ends the request, whatever its replica does.
	Deadline time.Duration
	// GivesUp is until when the caller waits for the first part of the answer.
	GivesUp time.Duration
	// Expected is the expected duration of a stream if it is started now.
	Expected time.Duration
	// Usual is the usual maximum duration of the request if it is started now.
	Usual time.Duration
	// UsualWhole is the usual maximum duration of a stream of which the caller gets nothing before it is complete.
	UsualWhole time.Duration
	// Longest is the longest recent duration of plain requests of the same kind, 0 if it isn't known.
	Longest time.Duration
	// Streaming answers can't be completed once they have begun.
	Streaming bool
	// Repeatable requests may run again after an unknown outcome.
	Repeatable bool
}

// Accepts reports whether a request may be started now. An estimate of its duration counts for it only where the
// request, if it is cut off, still gets an answer after which its caller may repeat it, or where it
// arrived while requests were accepted without restriction. Then too, a stream isn't accepted that is more likely cut
// than not.
func (s Shutdown) Accepts(r LateRequest, now time.Duration) bool {
	switch {
	case r.Deadline <= s.Ends:
		return true
	case now < s.RestrictedFrom:
		return !r.Streaming || now+r.Expected < s.Ends
	case r.Streaming && r.Arrived < s.RestrictedFrom, !r.Streaming && r.Repeatable:
		return now+r.Usual < s.Ends
	}
	return false
}

// longestFactor is the factor by which a request may exceed the longest recent one.
const longestFactor = 2

// AcceptsMeasured reports whether a plain request that may not be repeated, and that no other process accepts, may
// be started now. One that outlasts the process gets a failure that leaves its caller without its outcome, so that
// only those are accepted whose kind was measured and never took half of what is left.
func (s Shutdown) AcceptsMeasured(r LateRequest, now time.Duration) bool {
	return !r.Streaming && r.Longest > 0 && now+longestFactor*r.Longest < s.Ends
}

// Holds reports whether a stream may be started now if its answer is held back until it is complete. If it
// isn't when the process ends, its caller, which has no part of it, gets a failure as its complete answer.
func (s Shutdown) Holds(r LateRequest, now time.Duration) bool {
	return r.Streaming && now+r.UsualWhole < min(s.Ends, r.GivesUp)
}
