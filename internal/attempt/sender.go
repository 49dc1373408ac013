package attempt

import (
	"time"

	"skylarklead/internal/protocol"
)

// AbortReason is why an attempt's sender gives up its stream.
type AbortReason string

// The reasons.
const (
	AbortNone AbortReason = ""
	// AbortBufferFull: the receiver has left more unread than the bound allows.
	AbortBufferFull AbortReason = "buffer_full"
	// AbortStalled: pieces have waited too long for credit.
	AbortStalled AbortReason = "stalled"
	// AbortAbandoned: nobody has resumed the stream in time.
	AbortAbandoned AbortReason = "abandoned"
)

// SenderLimits bound what one stream may hold at its executor.
type SenderLimits struct {
	// MaxBytes bounds the pieces kept, read or not.
	MaxBytes int
	// StallTimeout is how long pieces may wait for credit.
	StallTimeout time.Duration
	// ResumeGrace is how long a stream is kept without a session, while running and
	// after its end.
	ResumeGrace time.Duration
}

// DefaultSenderLimits fit an answer of 415 tokens several times over; 22 streams
// a replica then hold at most 6 MB.
var DefaultSenderLimits = SenderLimits{MaxBytes: 256 << 10, StallTimeout: 30 * time.Second, ResumeGrace: 15 * time.Second}

// Output is what a step of a Sender asks for: messages to send on the attached
// session, in order, and whether to cut the stream off (cancel the back end's
// work and forget the attempt).
type Output struct {
	Send  []protocol.Message
	Abort AbortReason
}

// Sender is the executor's side of one attempt's stream: it sends within the
// receiver's credit and keeps pieces for a receiver that comes back.
//
// Invariants: chunks holds the pieces [base, base+len); base <= sent <=
// base+len; no piece at or above credit was sent; pieces that the receiver has
// not taken are never discarded, the stream is cut instead.
type Sender struct {
	attempt    protocol.AttemptID
	limits     SenderLimits
	window     uint64
	base       uint64
	chunks     [][]byte
	bytes      int
	sent       uint64
	credit     uint64
	start      *protocol.Start
	end        *protocol.End
	attached   bool
	startSent  bool
	endSent    bool
	blocked    bool
	blockedAt  time.Duration
	detachedAt time.Duration
}

// NewSender returns the sender of an attempt whose first piece is number first,
// attached to the session that brought the Run.
func NewSender(a protocol.AttemptID, first uint64, window uint32, limits SenderLimits) *Sender {
	w := uint64(max(window, 1))
	return &Sender{attempt: a, limits: limits, window: w, base: first, sent: first, credit: first + w, attached: true}
}

// Next is the number of the next piece to be produced.
func (s *Sender) Next() uint64 { return s.base + uint64(len(s.chunks)) }

// Ended reports whether the attempt has ended.
func (s *Sender) Ended() bool { return s.end != nil }

// Attached reports whether a session takes the stream.
func (s *Sender) Attached() bool { return s.attached }

// Start says that the back end has begun to answer.
func (s *Sender) Start(status int, contentType string) Output {
	s.start = &protocol.Start{Attempt: s.attempt, Status: status, ContentType: contentType}
	return s.flush(0)
}

// Produce takes the next piece from the back end; data is kept, not copied.
func (s *Sender) Produce(data []byte, now time.Duration) Output {
	s.chunks = append(s.chunks, data)
	s.bytes += len(data)
	out := s.flush(now)
	out.Abort = s.bound()
	return out
}

// Finish takes the attempt's end; Attempt and Seq are filled in.
func (s *Sender) Finish(end protocol.End, now time.Duration) Output {
	end.Attempt, end.Seq = s.attempt, s.Next()
	s.end = &end
	return s.flush(now)
}

// Credit lets pieces below seq be sent.
func (s *Sender) Credit(seq uint64, now time.Duration) Output {
	if seq > s.credit {
		s.credit = seq
		s.blocked = false
	}
	return s.flush(now)
}

// Detach says that the session was lost.
func (s *Sender) Detach(now time.Duration) {
	s.attached, s.blocked = false, false
	s.detachedAt = now
}

// Resume attaches a new session from piece seq on and lets window pieces be sent;
// 0 waits for credit. ok is false when that piece is no longer kept, or was never
// produced: the answer is then an End with Unknown.
func (s *Sender) Resume(seq uint64, window uint32, now time.Duration) (out Output, ok bool) {
	if seq < s.base || seq > s.Next() {
		return Output{}, false
	}
	s.window = max(s.window, uint64(window))
	s.sent, s.credit = seq, seq+uint64(window)
	s.attached, s.startSent, s.endSent, s.blocked = true, false, false, false
	return s.flush(now), true
}

// Tick reports a stream that nobody reads or comes back for.
func (s *Sender) Tick(now time.Duration) AbortReason {
	if s.blocked && now-s.blockedAt >= s.limits.StallTimeout {
		return AbortStalled
	}
	if !s.attached && now-s.detachedAt >= s.limits.ResumeGrace {
		return AbortAbandoned
	}
	return AbortNone
}

// Bytes is the size of the pieces kept.
func (s *Sender) Bytes() int { return s.bytes }

func (s *Sender) flush(now time.Duration) Output {
	var out Output
	if !s.attached {
		return out
	}
	if s.start != nil && !s.startSent {
		out.Send = append(out.Send, s.start)
		s.startSent = true
	}
	for s.sent < s.Next() && s.sent < s.credit {
		out.Send = append(out.Send, &protocol.Chunk{Attempt: s.attempt, Seq: s.sent, Data: s.chunks[s.sent-s.base]})
		s.sent++
	}
	if s.sent < s.Next() {
		s.block(now)
		return out
	}
	s.blocked = false
	if s.end != nil && !s.endSent {
		out.Send = append(out.Send, s.end)
		s.endSent = true
	}
	return out
}

func (s *Sender) block(now time.Duration) {
	if !s.blocked {
		s.blocked, s.blockedAt = true, now
	}
}

// bound discards the oldest pieces that the receiver has taken until the rest
// fits, and cuts the stream when that isn't enough. Without it a caller that
// stops reading would fill the executor's memory, seen as growth with idle
// streams.
func (s *Sender) bound() AbortReason {
	// Credit is what the receiver has taken and its window, so that the rest of a
	// shorter window after Resume only makes this an underestimate.
	acked := s.credit - min(s.credit, s.window)
	n := 0
	for s.bytes > s.limits.MaxBytes && s.base+uint64(n) < min(acked, s.sent) {
		s.bytes -= len(s.chunks[n])
		s.chunks[n] = nil // the array may live on until the next append grows it
		n++
	}
	s.chunks = s.chunks[n:]
	s.base += uint64(n)
	if s.bytes > s.limits.MaxBytes {
		return AbortBufferFull
	}
	return AbortNone
}
