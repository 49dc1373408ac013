package spread

import "time"

// Read is what a read of a topic has shown: that all records acknowledged before Made
// have offsets below Next. Made is when the reader made its call, Answered when the
// answer came, both on the clock of the entry that holds the value.
type Read struct {
	Next                 uint64
	CalledAt, AnsweredAt time.Duration
	// Reader is the entry that read it from the store.
	Reader string
}

// Watermark is what an entry knows of one topic.
//
// Invariant: all records of the topic that were acknowledged before the reading's Made
// have offsets below Next, and all below Next have been taken.
type Watermark struct {
	// Known is set once the topic was read, to Next.
	Known bool
	Next  uint64
	last  Read
	// startedAt stands for the time of a reading while there is none.
	startedAt time.Duration
}

// NewWatermark returns the belief of an entry that started at a time and knows nothing.
func NewWatermark(startedAt time.Duration) Watermark { return Watermark{startedAt: startedAt} }

// Advance says that all records below next were taken.
func (b *Watermark) Advance(next uint64) { b.Known, b.Next = true, max(b.Next, next) }

// Confirm takes a reading and reports whether it makes the belief younger. One that goes
// further than what was taken confirms nothing yet.
func (b *Watermark) Confirm(r Read) bool {
	if !b.Known || r.Next > b.Next || r.CalledAt <= b.last.CalledAt {
		return false
	}
	r.AnsweredAt = max(r.AnsweredAt, r.CalledAt, b.last.AnsweredAt)
	b.last = r
	return true
}

// LastRead is the youngest reading that confirmed the belief.
func (b *Watermark) LastRead() Read { return b.last }

// Confirmed reports whether any reading has confirmed it.
func (b *Watermark) Confirmed() bool { return b.last.CalledAt > 0 }

// Age is how old the belief can be at worst; before the first reading, for how long the
// entry has run.
func (b *Watermark) Age(now time.Duration) time.Duration {
	return now - max(b.last.CalledAt, b.startedAt)
}
