package peermessage

import (
	"math"
	"time"

	"skylarklead/internal/admit"
	"skylarklead/internal/route"
)

const (
	// memoryUnit is the unit of Loads.MemoryTokens, in tokens: a fraction of a request's memory.
	memoryUnit = 64
	// maxStoreReachable bounds the advertised time for which the store has answered: many times the
	// longest outage in which this evidence from peers matters.
	maxStoreReachable = time.Hour
)

// Loads advertises the loads and placements of an entry, or of a part of a failure domain. A later
// message replaces an earlier one.
type Loads struct {
	// Seq numbers the sender's messages from 1 on.
	Seq   uint64
	Loads []Load
	// MemoryTokens has, for each of Loads in order, its route.Load.MemoryTokens in memoryUnit; zeros at
	// the end are left out. Entries of older builds send none.
	MemoryTokens []uint16
	// Placements are the most recent ones.
	Placements []Placement
	// StoreReachable is the time for which the store has answered the reader of the list of
	// replicas without interruption, in milliseconds plus one; 1 means that it does not answer now,
	// 0 that the message says nothing about it.
	StoreReachable uint32
	// DigestPart names the part of a failure domain's digest that the message is; "" if it is the
	// sender's own. Forward asks the receiver to forward the part within its own domain.
	DigestPart string
	Forward    bool
	// Drain is set if the sender shuts down.
	Drain *Drain
}

// Load is the load of an entry or of a failure domain at a replica. The fields are encoded as an
// array, in this order.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Replica is the hash of the replica's ID.
	Replica uint64
	// PrefillTokens is the number of prompt tokens that are not prefilled yet, Running the number
	// of requests in flight.
	PrefillTokens uint32
	Running       uint32
	// AddedTokens counts the prompt tokens sent to the replica, in route.AddedTokensUnit; it wraps
	// around.
	AddedTokens uint16
}

// Placement is a route.Placement: the prefix levels that were sent to a replica, or saved to a
// store (Saved). Prefilled is set once the replica has prefilled them. The fields are encoded as an
// array, in this order.
type Placement struct {
	_         struct{} `cbor:",toarray"`
	Levels    []uint64
	Replica   uint64
	Prefilled bool
	Saved     uint64
}

// Drain is an admit.DrainNotice in milliseconds. The fields are encoded as an array, in this order.
type Drain struct {
	_          struct{} `cbor:",toarray"`
	Open, Left uint32
}

// End says that the sender ends now.
type End struct{}

// DigestAck acknowledges a part of a digest: it names the sender's failure domain, in which the sender
// forwards the part, and the part's index.
type DigestAck string

// Kind implements Message.
func (*Loads) Kind() Kind { return KindLoads }

// Kind implements Message.
func (End) Kind() Kind { return KindEnd }

// Kind implements Message.
func (DigestAck) Kind() Kind { return KindDigestAck }

func (m *Loads) put(d *datagram) {
	d.Seq, d.Loads, d.MemoryTokens, d.Placements = m.Seq, m.Loads, m.MemoryTokens, m.Placements
	d.StoreReachable, d.DigestPart, d.Forward, d.Drain = m.StoreReachable, m.DigestPart, m.Forward, m.Drain
}

func (End) put(d *datagram) { d.Drain = &Drain{} }

func (a DigestAck) put(d *datagram) { d.DigestAck = string(a) }

func (d *datagram) loads() *Loads {
	return &Loads{
		Seq: d.Seq, Loads: d.Loads, MemoryTokens: d.MemoryTokens, Placements: d.Placements,
		StoreReachable: d.StoreReachable, DigestPart: d.DigestPart, Forward: d.Forward, Drain: d.Drain,
	}
}

// SetLoads sets the loads; those of route are looked up for their memory.
func (m *Loads) SetLoads(list []Load, loads map[uint64]route.Load) {
	m.Loads = list
	for i, l := range list {
		if units := encodeMemory(loads[l.Replica].MemoryTokens); units > 0 {
			m.MemoryTokens = append(m.MemoryTokens, make([]uint16, i+1-len(m.MemoryTokens))...)
			m.MemoryTokens[i] = units
		}
	}
}

// ByReplica returns the loads by replica.
func (m *Loads) ByReplica() map[uint64]route.Load {
	loads := make(map[uint64]route.Load, len(m.Loads))
	for i, l := range m.Loads {
		load := route.Load{PrefillTokens: float64(l.PrefillTokens), Running: int(l.Running), AddedTokens: l.AddedTokens}
		if i < len(m.MemoryTokens) {
			load.MemoryTokens = float64(m.MemoryTokens[i]) * memoryUnit
		}
		loads[l.Replica] = load
	}
	return loads
}

// encodeMemory returns tokens in memoryUnit, rounded up.
func encodeMemory(tokens float64) uint16 {
	return uint16(min(math.Ceil(tokens/memoryUnit), math.MaxUint16))
}

// SetStoreServed sets for how long the store has answered the sender.
func (m *Loads) SetStoreServed(served time.Duration) {
	m.StoreReachable = uint32(min(served, maxStoreReachable).Milliseconds()) + 1
}

// StoreServed returns for how long the store has answered the sender; false if the message doesn't say.
func (m *Loads) StoreServed() (time.Duration, bool) {
	return time.Duration(max(m.StoreReachable, 1)-1) * time.Millisecond, m.StoreReachable > 0
}

// SetDrain sets the notice that the sender shuts down, nil if it doesn't.
func (m *Loads) SetDrain(n *admit.DrainNotice) {
	if n != nil {
		m.Drain = &Drain{Open: uint32(n.Open.Milliseconds()), Left: uint32(n.Left.Milliseconds())}
	}
}

// DrainNotice returns the notice that the sender shuts down, nil if it doesn't.
func (m *Loads) DrainNotice() *admit.DrainNotice {
	if m.Drain == nil {
		return nil
	}
	return &admit.DrainNotice{Open: time.Duration(m.Drain.Open) * time.Millisecond, Left: time.Duration(m.Drain.Left) * time.Millisecond}
}
