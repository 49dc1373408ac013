package attempt

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarklead/internal/protocol"
)

// stream is one attempt's sender and receiver, with a session between them that loses,
// duplicates, delays and misroutes messages.
type stream struct {
	t          *rapid.T
	now        time.Duration
	sender     *Sender
	receiver   *Receiver
	link       []protocol.Message
	produced   int
	delivered  []string
	complete   bool
	unconsumed int
	// fullWindow is set when each Resume asks for a full window, as an entry may that
	// doesn't count the chunks its caller has yet to consume.
	fullWindow bool
}

func newStream(t *rapid.T, first uint64) *stream {
	window := uint32(rapid.IntRange(1, 8).Draw(t, "window"))
	a := protocol.AttemptID{1}
	s := &stream{t: t, receiver: NewReceiver(window), produced: int(first)}
	s.receiver.BeginAt(a, first)
	s.sender = NewSender(a, first, window, SenderLimits{MaxBytes: 3 * int(window+4), StallTimeout: time.Hour, ResumeGrace: time.Hour})
	return s
}

func (s *stream) send(out Output) {
	if out.Abort != AbortNone {
		s.t.Fatalf("stream aborted: %s", out.Abort)
	}
	s.link = append(s.link, out.Send...)
}

func (s *stream) produce() {
	if s.sender.Ended() || s.sender.Next() > s.sender.credit+2 {
		return
	}
	s.send(s.sender.Produce([]byte(strconv.Itoa(s.produced)), s.now))
	s.produced++
}

func (s *stream) deliver(i int) {
	if i >= len(s.link) {
		return
	}
	m := s.link[i]
	s.link = slices.Delete(slices.Clone(s.link), i, i+1)
	s.receive(m)
}

func (s *stream) receive(m protocol.Message) {
	switch m := m.(type) {
	case *protocol.Start:
		s.receiver.Start(m)
	case *protocol.Chunk:
		due, _ := s.receiver.Chunk(m, s.now)
		for _, data := range due {
			s.delivered = append(s.delivered, string(data))
			s.unconsumed++
		}
	case *protocol.End:
		s.receiver.End(m, s.now)
	}
	s.complete = s.receiver.Complete()
	if len(s.receiver.pending) > int(s.receiver.window) {
		s.t.Fatalf("%d chunks buffered with a window of %d", len(s.receiver.pending), s.receiver.window)
	}
}

func (s *stream) consume() {
	credit, ok := s.receiver.Consumed(s.unconsumed)
	s.unconsumed = 0
	if ok {
		s.send(s.sender.Credit(credit.Seq, s.now))
	}
}

func (s *stream) resume() {
	s.link = nil
	s.sender.Detach(s.now)
	window := s.receiver.Resumed()
	if s.fullWindow {
		window = uint32(s.receiver.window)
	}
	out, ok := s.sender.Resume(s.receiver.Next(), window, s.now)
	if !ok {
		s.t.Fatalf("the sender no longer has chunk %d", s.receiver.Next())
	}
	s.send(out)
}

func (s *stream) check(first uint64) {
	for i, g := range s.delivered {
		if want := strconv.Itoa(int(first) + i); g != want {
			s.t.Fatalf("chunk %d is %q, want %q", i, g, want)
		}
	}
	if s.complete && (!s.sender.Ended() || len(s.delivered) != s.produced-int(first)) {
		s.t.Fatalf("reported complete with %d of %d chunks", len(s.delivered), s.produced-int(first))
	}
	if s.receiver.Dropped(DropBeyondWindow) > 0 {
		s.t.Fatalf("a chunk that was requested was dropped")
	}
	if ahead := int(s.sender.sent) - int(s.receiver.consumed); !s.fullWindow && ahead > int(s.receiver.window) {
		s.t.Fatalf("%d chunks ahead of the caller with a window of %d", ahead, s.receiver.window)
	}
}

// Guards against an answer with a gap or a duplicate chunk, or one that ends early and
// is reported as complete. Messages are lost, duplicated, reordered or belong to
// another attempt; the session is cut and the attempt resumed, any number of times.
// Fault to detect: accepting chunks by arrival instead of by number and attempt.
func TestStreamIsWholeAndInOrder(t *testing.T) {
	kinds := []string{"nothing", "produce", "produce", "deliver", "deliver", "deliver", "swap", "double", "lose", "cross", "take", "take", "cut", "end"}
	rapid.Check(t, func(t *rapid.T) {
		first := uint64(rapid.SampledFrom([]int{0, 5}).Draw(t, "first"))
		s := newStream(t, first)
		s.fullWindow = rapid.Bool().Draw(t, "whole window")
		for range 120 {
			s.now += 10 * time.Millisecond
			s.step(rapid.SampledFrom(kinds).Draw(t, "step"))
			s.check(first)
		}
		s.send(s.sender.Finish(protocol.End{Outcome: protocol.Done}, s.now))
		for i := 0; !s.complete; i++ {
			s.now += 10 * time.Millisecond
			if s.deliver(0); len(s.link) == 0 || s.receiver.MustResume(s.now) {
				s.consume()
				s.resume()
			}
			s.check(first)
			if i > 10_000 {
				t.Fatalf("never complete: %d of %d chunks", len(s.delivered), s.produced)
			}
		}
	})
}

func (s *stream) step(kind string) {
	switch kind {
	case "produce":
		s.produce()
	case "deliver":
		s.deliver(0)
	case "swap":
		s.deliver(1)
	case "double":
		if len(s.link) > 0 {
			s.link = append(s.link, s.link[0])
		}
	case "lose":
		if len(s.link) > 0 {
			s.link = s.link[1:]
		}
	case "cross":
		s.receive(&protocol.Chunk{Attempt: protocol.AttemptID{9}, Seq: s.receiver.Next(), Data: []byte("another's")})
		s.receive(&protocol.End{Attempt: protocol.AttemptID{9}, Seq: s.receiver.Next(), Outcome: protocol.Done})
	case "take":
		s.consume()
	case "cut":
		s.resume()
	case "end":
		if !s.sender.Ended() && s.produced > 20 {
			s.send(s.sender.Finish(protocol.End{Outcome: protocol.Done}, s.now))
		}
	}
}

func TestReceiverNoticesALastingGap(t *testing.T) {
	r := NewReceiver(4)
	r.Begin(protocol.AttemptID{1})
	r.Chunk(&protocol.Chunk{Attempt: protocol.AttemptID{1}, Seq: 1}, 0)
	if r.MustResume(gapTimeout - 1) {
		t.Error("resumes before the gap time-out")
	}
	if !r.MustResume(gapTimeout) {
		t.Error("does not resume after the gap time-out")
	}
	r.Chunk(&protocol.Chunk{Attempt: protocol.AttemptID{1}, Seq: 0}, 0)
	if r.MustResume(time.Hour) {
		t.Error("resumes without a gap")
	}
	if _, d := r.End(&protocol.End{Attempt: protocol.AttemptID{1}, Seq: 1, Outcome: protocol.Done}, 0); d != DropInconsistent || !r.MustResume(0) {
		t.Errorf("an End before chunks that were delivered: %v", d)
	}
}

// Guards against an endpoint process that grows by megabytes for each caller that
// stops reading: its entry sends no more credit or is gone for good, and the replay
// buffer has no bound.
func TestSenderCutsOffWhoDoesNotRead(t *testing.T) {
	limits := SenderLimits{MaxBytes: 100, StallTimeout: time.Second, ResumeGrace: time.Second}
	full := NewSender(protocol.AttemptID{1}, 0, 2, limits)
	cut := AbortNone
	for i := 0; i < 20 && cut == AbortNone; i++ {
		cut = full.Produce(make([]byte, 10), 0).Abort
	}
	if cut != AbortBufferFull || full.Bytes() > limits.MaxBytes+10 {
		t.Errorf("aborted %q with %d bytes", cut, full.Bytes())
	}
	if _, ok := full.Resume(0, 2, 0); !ok {
		t.Error("a chunk that was sent and not consumed was discarded")
	}
	stalled := NewSender(protocol.AttemptID{1}, 0, 1, limits)
	stalled.Produce([]byte("a"), 0)
	stalled.Produce([]byte("b"), 0)
	if delivered := stalled.Tick(limits.StallTimeout); delivered != AbortStalled {
		t.Errorf("stalled: %q", delivered)
	}
	stalled.Credit(2, limits.StallTimeout)
	if delivered := stalled.Tick(limits.StallTimeout); delivered != AbortNone {
		t.Errorf("after credit: %q", delivered)
	}
	stalled.Detach(limits.StallTimeout)
	if delivered := stalled.Tick(2 * limits.StallTimeout); delivered != AbortAbandoned {
		t.Errorf("abandoned: %q", delivered)
	}
	long := NewSender(protocol.AttemptID{1}, 0, 2, limits)
	for i := range 100 {
		long.Credit(uint64(i+2), 0)
		if cut := long.Produce(make([]byte, 10), 0).Abort; cut != AbortNone {
			t.Fatalf("the stream of a reader that keeps up is aborted: %q", cut)
		}
	}
}
