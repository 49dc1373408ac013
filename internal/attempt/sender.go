package attempt

import (
	"time"

	"skylarklead/internal/protocol"
)

// AbortReason is why the sender aborts a stream.
type AbortReason string

// Values of AbortReason.
const (
	AbortNone AbortReason = ""
	// AbortBufferFull: the buffered chunks exceed MaxBytes.
	AbortBufferFull AbortReason = "buffer_full"
	// AbortStalled: chunks have waited too long for credit.
	AbortStalled AbortReason = "stalled"
	// AbortAbandoned: the stream was not resumed in time.
	AbortAbandoned AbortReason = "abandoned"
)

// SenderLimits bounds what one stream may hold at its executor.
type SenderLimits struct {
	// MaxBytes bounds the chunks kept, whether or not they were consumed.
	MaxBytes int
	// StallTimeout is how long chunks may wait for credit.
	StallTimeout time.Duration
	// ResumeGrace is how long a stream without a session is kept, both while it runs
	// and after its end.
	ResumeGrace time.Duration
}

// DefaultSenderLimits holds an answer of 415 tokens several times over. 22 streams of
// a replica then hold at most 6 MB.
var DefaultSenderLimits = SenderLimits{MaxBytes: 256 << 10, StallTimeout: 30 * time.Second, ResumeGrace: 15 * time.Second}

// Output is the result of a step of a Sender: messages to send on the attached
// session, in order, and whether to abort the stream (cancel the back end's work and
// forget the attempt).
type Output struct {
	Send  []protocol.Message
	Abort AbortReason
}

// Sender is the executor's side of one attempt's stream. It sends within the
// receiver's credit and keeps chunks for a receiver that reconnects.
//
// Invariants: chunks holds the chunks [base, base+len); base <= sent <= base+len. No
// chunk at or above credit was sent. Chunks that the receiver has not consumed are
// never discarded; the stream is aborted instead.
type Sender struct {
	attempt       protocol.AttemptID
	limits        SenderLimits
	window        uint64
	base          uint64
	chunks        [][]byte
	bytes         int
	sent          uint64
	credit        uint64
	start         *protocol.Start
	end           *protocol.End
	attached      bool
	startSent     bool
	endSent       bool
	blocked       bool
	blockedSince  time.Duration
	detachedSince time.Duration
}

// NewSender returns the sender of an attempt whose first chunk has number first,
// attached to the session that delivered the Run.
func NewSender(a protocol.AttemptID, first uint64, window uint32, limits SenderLimits) *Sender {
	w := uint64(max(window, 1))
	return &Sender{attempt: a, limits: limits, window: w, base: first, sent: first, credit: first + w, attached: true}
}

// Next is the number of the next chunk to be produced.
func (s *Sender) Next() uint64 { return s.base + uint64(len(s.chunks)) }

// Ended reports whether the attempt has ended.
func (s *Sender) Ended() bool { return s.end != nil }

// Attached reports whether a session is attached.
func (s *Sender) Attached() bool { return s.attached }

// Start records that the back end has begun to answer.
func (s *Sender) Start(status int, contentType string) Output {
	s.start = &protocol.Start{Attempt: s.attempt, Status: status, ContentType: contentType}
	return s.flush(0)
}

// Produce adds the next chunk from the back end. data is retained, not copied.
func (s *Sender) Produce(data []byte, now time.Duration) Output {
	s.chunks = append(s.chunks, data)
	s.bytes += len(data)
	out := s.flush(now)
	out.Abort = s.trim()
	return out
}

// Finish records the attempt's end; Attempt and Seq are filled in.
func (s *Sender) Finish(end protocol.End, now time.Duration) Output {
	end.Attempt, end.Seq = s.attempt, s.Next()
	s.end = &end
	return s.flush(now)
}

// Credit allows the chunks below seq to be sent.
func (s *Sender) Credit(seq uint64, now time.Duration) Output {
	if seq > s.credit {
		s.credit = seq
		s.blocked = false
	}
	return s.flush(now)
}

// Detach records that the session was lost.
func (s *Sender) Detach(now time.Duration) {
	s.attached, s.blocked = false, false
	s.detachedSince = now
}

// Resume attaches a new session from chunk seq on and allows window chunks to be sent;
// with 0 it waits for credit. ok is false if that chunk is no longer kept or was never
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

// Tick returns why a stream without a reader or a session has to be aborted, AbortNone
// if it doesn't.
func (s *Sender) Tick(now time.Duration) AbortReason {
	if s.blocked && now-s.blockedSince >= s.limits.StallTimeout {
		return AbortStalled
	}
	if !s.attached && now-s.detachedSince >= s.limits.ResumeGrace {
		return AbortAbandoned
	}
	return AbortNone
}

// Bytes is the total size of the chunks kept.
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
		s.markBlocked(now)
		return out
	}
	s.blocked = false
	if s.end != nil && !s.endSent {
		out.Send = append(out.Send, s.end)
		s.endSent = true
	}
	return out
}

func (s *Sender) markBlocked(now time.Duration) {
	if !s.blocked {
		s.blocked, s.blockedSince = true, now
	}
}

// trim discards the oldest consumed chunks until the rest fits, and aborts the stream
// if that isn't enough. Without this bound a caller that stops reading would fill the
// executor's memory, which shows as memory growth with idle streams.
func (s *Sender) trim() AbortReason {
	// Credit is the number of chunks consumed plus the window. After a Resume with a
	// shorter window, this underestimates the chunks consumed, which is safe.
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
