package spread

import "time"

// Read is the result of a read of a topic: all records acknowledged before CalledAt have
// offsets below Next. CalledAt is when the reader made its call, AnsweredAt when the answer
// came, both on the clock of the entry that holds the value.
type Read struct {
	Next                 uint64
	CalledAt, AnsweredAt time.Duration
	// Reader is the entry that read the store.
	Reader string
}

// Watermark is up to which offset an entry knows one topic, and as of when.
//
// Invariant: all records of the topic that were acknowledged before the last read's CalledAt
// have offsets below Next, and all records below Next have been applied.
type Watermark struct {
	// Known is set once the topic was read, up to Next.
	Known    bool
	Next     uint64
	lastRead Read
	// startedAt takes the place of a read's time until there is a read.
	startedAt time.Duration
}

// NewWatermark returns the watermark of an entry that started at a time and knows nothing.
func NewWatermark(startedAt time.Duration) Watermark { return Watermark{startedAt: startedAt} }

// Advance records that all records below next were applied.
func (w *Watermark) Advance(next uint64) { w.Known, w.Next = true, max(w.Next, next) }

// Confirm takes a read and reports whether it moves the watermark's time forward. A read
// that goes further than what was applied confirms nothing yet.
func (w *Watermark) Confirm(r Read) bool {
	if !w.Known || r.Next > w.Next || r.CalledAt <= w.lastRead.CalledAt {
		return false
	}
	r.AnsweredAt = max(r.AnsweredAt, r.CalledAt, w.lastRead.AnsweredAt)
	w.lastRead = r
	return true
}

// LastRead returns the most recent read that confirmed the watermark.
func (w *Watermark) LastRead() Read { return w.lastRead }

// Confirmed reports whether any read has confirmed the watermark.
func (w *Watermark) Confirmed() bool { return w.lastRead.CalledAt > 0 }

// Age returns the greatest possible age of what is known; before the first read, for how
// long the entry has run.
func (w *Watermark) Age(now time.Duration) time.Duration {
	return now - max(w.lastRead.CalledAt, w.startedAt)
}
