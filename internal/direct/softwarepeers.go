package direct

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"skylarklead/internal/origin"
	"skylarklead/internal/peermessage"
)

// maxAskedPeers is how many peers are asked whether a use is recorded.
const maxAskedPeers = 3

// usesMessages returns messages that uses were written in an era.
func usesMessages(uses []origin.Use, era uint64) []*peermessage.Streams {
	var messages []*peermessage.Streams
	for batch := range slices.Chunk(uses, maxMessageStreams/2) {
		m := &peermessage.Streams{Era: era}
		for _, use := range batch {
			m.Written = append(m.Written, peermessage.WrittenUse{Software: uint64(use.Software), Model: use.Model})
		}
		messages = append(messages, m)
	}
	return messages
}

// ask asks some peers whether uses are recorded, for an entry whose own writes fail.
func (u *softwareUses) ask(names []origin.UseName) {
	m := &peermessage.Streams{}
	for _, name := range names[:min(len(names), maxMessageStreams/2)] {
		m.AskedUses = append(m.AskedUses, peermessage.WrittenUse{Software: uint64(name.Use().Software), Model: name.Use().Model})
	}
	to := u.entry.peers.addresses()
	rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	u.entry.peers.origins.send(m, to[:min(len(to), maxAskedPeers)]...)
}

// receive handles what a message of another entry says of uses.
func (u *softwareUses) receive(m *peermessage.Streams, from netip.AddrPort) {
	var uses []origin.Use
	for _, w := range m.Written[:min(len(m.Written), maxMessageStreams)] {
		uses = append(uses, origin.Use{Software: origin.Software(w.Software), Model: w.Model})
	}
	if len(uses) > 0 {
		u.applyWritten(uses, m.Era)
	}
	u.receiveDoubts(m, from)
	if len(m.AskedUses) == 0 {
		return
	}
	e := u.entry
	var known []origin.Use
	e.state.mu.Lock()
	era := e.state.uses.Era()
	for _, w := range m.AskedUses[:min(len(m.AskedUses), maxMessageStreams)] {
		if use := (origin.Use{Software: origin.Software(w.Software), Model: w.Model}); e.state.uses.Knows(use, e.clock.now()) {
			known = append(known, use)
		}
	}
	e.state.mu.Unlock()
	for _, answer := range usesMessages(known, era) {
		e.peers.origins.send(answer, from)
	}
}
