package runcopy

import "strconv"

// Verdict says what to do with an event of a continued stream.
type Verdict uint8

const (
	// Forward the event to the caller.
	Forward Verdict = iota
	// Drop it: the caller has it already.
	Drop
	// BreakOff the stream: an event before this one is missing, or its place isn't known.
	BreakOff
)

// Join checks that the events of a continued stream follow those that the caller has: none is
// missing and none comes twice.
type Join struct {
	last uint64
	// known is set if the IDs are numbers.
	known bool
	// dense is set if the IDs so far grew by one at a time, so that a gap shows.
	dense bool
}

// NewJoin returns the Join of a stream that began after the event begin, "" for its start, and of
// which the caller has got a number of events, the last with the ID last.
func NewJoin(begin, last string, events int) *Join {
	if events == 0 {
		last = begin
	}
	first, beginOK := parseID(begin)
	n, lastOK := parseID(last)
	return &Join{last: n, known: beginOK && lastOK, dense: events > 0 && n == first+uint64(events)}
}

// parseID parses an event's ID; that of a stream's start is 0.
func parseID(id string) (uint64, bool) {
	if id == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}

// Next says what to do with the next event. A nil Join forwards all.
func (j *Join) Next(id string) Verdict {
	if j == nil {
		return Forward
	}
	n, ok := parseID(id)
	switch {
	case !j.known || !ok || id == "":
		return BreakOff
	case n <= j.last:
		return Drop
	case j.dense && n != j.last+1:
		return BreakOff
	}
	j.last = n
	return Forward
}
