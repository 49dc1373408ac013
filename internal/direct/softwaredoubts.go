package direct

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"skylarklead/internal/origin"
	"skylarklead/internal/peermessage"
	"skylarklead/internal/wait"
)

const (
	// informTimeout is how long an entry that starts asks the others, once it knows them, which streams
	// began at software without a record: several round trips between failure domains.
	informTimeout = 250 * time.Millisecond
	// maxMessageDoubts bounds the doubts that a message is read for.
	maxMessageDoubts = 16
)

// doubtful reports whether the records can't tell where streams of a model began.
func (u *softwareUses) doubtful(model string) bool {
	if u.uninformed.Load() {
		return true
	}
	s := u.entry.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.uses.Doubtful(model, u.entry.clock.now())
}

// tell tells the other entries of doubts. Those of older builds are told that the records which stand for
// them were just written, so that they don't remove them too early.
func (u *softwareUses) tell(doubts []origin.Doubt) {
	if len(doubts) == 0 {
		return
	}
	e := u.entry
	e.tel.Metrics.Count("software_doubts_told", 1)
	e.tel.Log.Info("streams begin, or began, at software without a record", "doubts", doubts)
	e.state.mu.Lock()
	recorded, era := e.state.uses.RecordedDoubts(doubts), e.state.uses.Era()
	e.state.mu.Unlock()
	for _, m := range append(usesMessages(recorded, era), doubtsMessage(doubts)) {
		e.peers.origins.send(m, e.peers.addresses()...)
	}
}

func doubtsMessage(doubts []origin.Doubt) *peermessage.Streams {
	m := &peermessage.Streams{}
	for _, d := range doubts[:min(len(doubts), maxMessageDoubts)] {
		m.Doubts = append(m.Doubts, peermessage.Doubt{Service: d.Service, Model: d.Model, LeftMs: uint32(d.Left.Milliseconds())})
	}
	return m
}

// receiveDoubts handles what a message of another entry says of doubts.
func (u *softwareUses) receiveDoubts(m *peermessage.Streams, from netip.AddrPort) {
	e := u.entry
	now := e.clock.now()
	if len(m.Doubts) > 0 {
		e.state.mu.Lock()
		for _, d := range m.Doubts[:min(len(m.Doubts), maxMessageDoubts)] {
			e.state.uses.Told(origin.Doubt{Service: d.Service, Model: d.Model, Left: time.Duration(d.LeftMs) * time.Millisecond}, now)
		}
		e.state.mu.Unlock()
		trySignal(u.wake)
	}
	switch m.Knows {
	case peermessage.KnowsOutage:
		u.startedInOutage.Store(true)
	case peermessage.KnowsDoubts:
		u.uninformed.Store(false)
	}
	if m.AskedDoubts {
		e.peers.origins.send(u.knowledge(now), from)
	}
}

// knowledge returns the answer to an entry that has just started.
func (u *softwareUses) knowledge(now time.Duration) *peermessage.Streams {
	u.entry.state.mu.Lock()
	m := doubtsMessage(u.entry.state.uses.Doubts(now))
	u.entry.state.mu.Unlock()
	alone := time.Duration(u.aloneSince.Load())
	switch {
	case u.uninformed.Load() && u.startedInOutage.Load():
		m.Knows = peermessage.KnowsOutage
	case u.uninformed.Load() || alone > 0 && now-alone < u.entry.streamLifetime():
		m.Knows = peermessage.KnowsNothing
	default:
		m.Knows = peermessage.KnowsDoubts
	}
	return m
}

// inform asks other entries what began before this one started, until one of them knows or none can: then all
// were lost. If the store didn't answer meanwhile, any version may have begun streams.
func (u *softwareUses) inform(ctx context.Context) {
	e := u.entry
	var until time.Duration
	for u.uninformed.Load() {
		to := e.peers.addresses()
		now := e.clock.now()
		if until == 0 && u.othersKnown() {
			until = now + informTimeout
		}
		if until > 0 && (now >= until || len(to) == 0) {
			break
		}
		rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
		e.peers.origins.send(&peermessage.Streams{AskedDoubts: true}, to[:min(len(to), maxAskedPeers)]...)
		if wait.For(ctx, startPause) != nil {
			return
		}
	}
	if !u.uninformed.Load() {
		return
	}
	if u.startedInOutage.Load() {
		e.tel.Metrics.Count("software_unknown_at_start", 1)
		e.tel.Log.Warn("started while the store did not answer, and no other entry knows which software began streams")
		e.state.mu.Lock()
		e.state.uses.StartedInOutage(e.clock.now())
		e.state.mu.Unlock()
		trySignal(u.wake)
	}
	u.aloneSince.Store(int64(e.clock.now()))
	u.uninformed.Store(false)
}

// othersKnown reports whether the list of entries and the records were read.
func (u *softwareUses) othersKnown() bool {
	select {
	case <-u.entry.peers.listRead:
	default:
		return false
	}
	select {
	case <-u.begun:
		return true
	default:
		return false
	}
}
