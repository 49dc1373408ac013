package cachemap

// stream follows the sequence numbers of an engine's event stream.
type stream struct {
	next uint64 // expected
	// fresh is set between Connected and the first event after it, asked while
	// a resync is wanted and not yet connected.
	fresh bool
	asked bool
}

// stepKind is how an event stands to those before it.
type stepKind int

const (
	stepInOrder stepKind = iota
	stepDuplicate
	// stepGap came before its predecessors, which a replay may still bring.
	stepGap
	// stepSkip came first in a replay that lacks its predecessors: they are
	// gone for good.
	stepSkip
)

// step is a stepKind with the missing numbers, from to last, and whether to ask
// for them.
type step struct {
	kind stepKind
	from uint64
	last uint64
	ask  bool
}

func (s *stream) connect(from uint64) {
	s.fresh = from <= s.next
	s.asked = false
}

func (s *stream) restart() {
	*s = stream{next: 1}
}

// take classifies the event with number seq. Only an event in order, or the
// first of a replay, moves on the expected number.
func (s *stream) take(seq uint64) step {
	fresh := s.fresh
	s.fresh = false
	missing := step{from: s.next, last: seq - 1}
	switch {
	case seq < s.next:
		return step{kind: stepDuplicate}
	case seq == s.next:
		s.next++
		return step{kind: stepInOrder}
	case fresh:
		s.next = seq + 1
		missing.kind = stepSkip
		return missing
	}
	missing.kind = stepGap
	missing.ask = !s.asked
	s.asked = true
	return missing
}
