package peermessage

import (
	"sort"

	"skylarklead/internal/attempt"
)

// Crashes are crashes of replicas that are counted against requests.
type Crashes []attempt.CrashReport

// Batches splits reports so that each batch fits in a datagram of the sender.
func (m Crashes) Batches(from Sender) []Crashes {
	var batches []Crashes
	for len(m) > 0 {
		tooLong := sort.Search(len(m), func(n int) bool { return len(Encode(from, m[:n+1])) > MaxBytes })
		n := max(1, tooLong)
		batches = append(batches, m[:n])
		m = m[n:]
	}
	return batches
}

// Sound are keys that didn't cause the crashes counted against them.
type Sound []attempt.SoundKey

// GrantStep is what a Grant says.
type GrantStep uint8

// The steps of a grant. Others are those of newer builds.
const (
	GrantAsked GrantStep = iota + 1
	GrantGiven
	GrantDenied
	GrantReturned
)

// Grant asks the owner of a key for a run, answers that, or returns a grant.
type Grant struct {
	Step GrantStep `cbor:"1,keyasint"`
	Key  uint64    `cbor:"2,keyasint"`
	// Number identifies the run among those of the entry that asks.
	Number uint64 `cbor:"3,keyasint"`
	// SettleMs is for how long a returned key isn't granted again, in milliseconds.
	SettleMs uint32 `cbor:"4,keyasint,omitempty"`
}

// Kind implements Message.
func (Crashes) Kind() Kind { return KindCrashes }

// Kind implements Message.
func (Sound) Kind() Kind { return KindSound }

// Kind implements Message.
func (*Grant) Kind() Kind { return KindGrant }

func (m Crashes) put(d *datagram) { d.Crashes = m }
func (m Sound) put(d *datagram)   { d.Sound = m }
func (m *Grant) put(d *datagram)  { d.Grant = m }
