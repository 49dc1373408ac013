package cachemap

// eventStream tracks the sequence numbers of an engine's event stream.
type eventStream struct {
	next uint64 // expected sequence number
	// awaitingFirst is set between Connected and the first event after it, resyncPending while a
	// resync has been requested and Connected not yet called.
	awaitingFirst bool
	resyncPending bool
}

// stepKind is the position of an event relative to those before it.
type stepKind int

const (
	stepInOrder stepKind = iota
	stepDuplicate
	// stepGap: predecessors are missing that a replay may still bring.
	stepGap
	// stepSkip: the first event of a replay, whose missing predecessors the engine no longer has.
	stepSkip
)

// step is a stepKind with the missing sequence numbers, from to last, and whether to request a
// resync.
type step struct {
	kind   stepKind
	from   uint64
	last   uint64
	resync bool
}

func (s *eventStream) connect(from uint64) {
	s.awaitingFirst = from <= s.next
	s.resyncPending = false
}

func (s *eventStream) reset() {
	*s = eventStream{next: 1}
}

// classify classifies the event with sequence number seq. Only an event in order, or the first of
// a replay, advances the expected number.
func (s *eventStream) classify(seq uint64) step {
	isFirst := s.awaitingFirst
	s.awaitingFirst = false
	missing := step{from: s.next, last: seq - 1}
	switch {
	case seq < s.next:
		return step{kind: stepDuplicate}
	case seq == s.next:
		s.next++
		return step{kind: stepInOrder}
	case isFirst:
		s.next = seq + 1
		missing.kind = stepSkip
		return missing
	}
	missing.kind = stepGap
	missing.resync = !s.resyncPending
	s.resyncPending = true
	return missing
}
