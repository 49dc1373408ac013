package spread

import "time"

// Reading is what a read of a topic has shown: that all records acknowledged before Made
// have offsets below Next. Made is when the reader made its call, Answered when the
// answer came, both on the clock of the entry that holds the value.
type Reading struct {
	Next           uint64
	Made, Answered time.Duration
	// Reader is the entry that read it from the store.
	Reader string
}

// Belief is what an entry knows of one topic.
//
// Invariant: all records of the topic that were acknowledged before the reading's Made
// have offsets below Next, and all below Next have been taken.
type Belief struct {
	// Known is set once the topic was read, to Next.
	Known bool
	Next  uint64
	last  Reading
	// startedAt stands for the time of a reading while there is none.
	startedAt time.Duration
}

// NewBelief returns the belief of an entry that started at a time and knows nothing.
func NewBelief(startedAt time.Duration) Belief { return Belief{startedAt: startedAt} }

// Took says that all records below next were taken.
func (b *Belief) Took(next uint64) { b.Known, b.Next = true, max(b.Next, next) }

// Confirm takes a reading and reports whether it makes the belief younger. One that goes
// further than what was taken confirms nothing yet.
func (b *Belief) Confirm(r Reading) bool {
	if !b.Known || r.Next > b.Next || r.Made <= b.last.Made {
		return false
	}
	r.Answered = max(r.Answered, r.Made, b.last.Answered)
	b.last = r
	return true
}

// Last is the youngest reading that confirmed the belief.
func (b *Belief) Last() Reading { return b.last }

// Confirmed reports whether any reading has confirmed it.
func (b *Belief) Confirmed() bool { return b.last.Made > 0 }

// Age is how old the belief can be at worst; before the first reading, for how long the
// entry has run.
func (b *Belief) Age(now time.Duration) time.Duration {
	return now - max(b.last.Made, b.startedAt)
}
