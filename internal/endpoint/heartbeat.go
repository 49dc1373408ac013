package endpoint

import (
	"context"
	"fmt"
	"slices"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/cachemap"
	"skylarklead/internal/member"
	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
	"skylarklead/internal/rendezvous"
	"skylarklead/internal/route"
	"skylarklead/internal/wire"
)

const (
	// maxResidents bounds the changed residents of one heartbeat; the rest goes
	// with the next ones. A heartbeat then stays below two kilobytes.
	maxResidents = 64
	// fullInterval is how often all residents are told again. Ownership moves
	// with membership, and a lost heartbeat takes its changes with it; both
	// would show as an owner that sends a prefix to engines without it.
	fullInterval = 30 * time.Second
	// ownersTold is how many in rendezvous order are told of a resident: the
	// owner, and the next, who is asked when the owner is slow.
	ownersTold       = 2
	heartbeatTimeout = 2 * time.Second
)

// beat sends the heartbeats that are due.
func (e *Endpoint) beat() {
	now := e.now()
	beats := e.group.view.Tick(now)
	if len(beats) > 0 {
		e.sendBeats(beats)
	}
}

// beatAll tells the whole group at once what can't wait.
func (e *Endpoint) beatAll() { e.sendBeats(e.everyone()) }

// tellEngine tells the whole group at once of an engine that is down, back, empty
// or has other weights. Until they hear of it, owners place requests here for what
// the engine held before, or none at all, for as long as a period of the group.
func (e *Endpoint) tellEngine() {
	if now := e.engineState(); now != e.engineTold {
		e.engineTold = now
		e.beatAll()
	}
}

// tellSilent tells the whole group of a member that gave no sign of life.
func (e *Endpoint) tellSilent(id string) {
	for _, p := range e.group.peers {
		if !slices.Contains(p.silent, id) {
			p.silent = append(p.silent, id)
		}
	}
	e.beatAll()
}

func (e *Endpoint) everyone() []member.Peer {
	beats := e.group.view.Peers()
	for _, b := range beats {
		e.group.peer(b.ID).urgent = true
	}
	return beats
}

func (e *Endpoint) sendBeats(beats []member.Peer) {
	e.collectResidents()
	strikes := e.poison.HeartbeatStrikes(e.now())
	load := e.load()
	for _, b := range beats {
		p := e.group.peer(b.ID)
		if p.sending {
			continue // it doesn't take the last one: more would only pile up
		}
		p.sending, p.urgent = true, false
		e.beatSeq++
		hb := &protocol.Heartbeat{
			ID:           e.settings.ID,
			Epoch:        e.tel.Epoch,
			Seq:          e.beatSeq,
			Leaving:      e.drain.leaving,
			ConfigOffset: e.state().Offset,
			Load:         load,
			CrashCounts:  strikes,
			Unresponsive: p.silent,
			PeriodMs:     e.group.view.HeartbeatPeriod(b.ID).Milliseconds(),
		}
		p.silent = nil
		hb.Residents, hb.Full = e.residentsFor(b.ID, p)
		go e.sendBeat(b, hb)
	}
}

func (e *Endpoint) sendBeat(b member.Peer, hb *protocol.Heartbeat) {
	ctx, stop := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer stop()
	s, err := e.pool.Get(ctx, b.Address)
	if err == nil && s.Peer().ID != b.ID {
		err = fmt.Errorf("endpoint: %s is %s now", b.Address, s.Peer().ID)
	}
	if err == nil {
		err = s.Send(hb)
	}
	e.loop.must(func() {
		e.group.peer(b.ID).sending = false
		if err != nil {
			e.group.peer(b.ID).fullSent = 0
			e.group.view.ConnectionFailed(b.ID, e.now())
			return
		}
		e.epochSeen(s.Peer())
		e.group.peer(b.ID).told = true
		e.heardOffset(s, s.Peer().ConfigOffset)
		if e.group.peer(b.ID).urgent {
			// What can't wait came up while this one was on its way, without it.
			e.sendBeats([]member.Peer{b})
		}
	})
}

// collectResidents shares out what has changed in the cache picture among the
// owners concerned, this endpoint always being one.
func (e *Endpoint) collectResidents() {
	changed, next := e.picture.LevelsSince(e.rootsTold)
	e.rootsTold = next
	if len(changed) == 0 {
		return
	}
	ids := e.usableIDs()
	own := make([]protocol.Resident, 0, len(changed))
	for _, root := range changed {
		own = append(own, root.Resident)
		for _, id := range owners(root, ids) {
			if id != e.settings.ID {
				e.group.peer(id).unsent[uint64(root.Resident.Hash)] = root.Resident.Tokens
			}
		}
	}
	e.advertised(e.settings.ID, e.tel.Epoch, e.watch.incarnation, e.watch.version, own, false)
}

func owners(root cachemap.TrackedLevel, ids []string) []string {
	order := rendezvous.Order(root.OwnerKey, ids)
	return order[:min(ownersTold, len(order))]
}

// residentsFor returns what to tell a peer now, and whether it is all there is.
func (e *Endpoint) residentsFor(id string, p *peer) (residents []protocol.Resident, full bool) {
	now := e.now()
	if p.fullSent == 0 || now-p.fullSent > fullInterval {
		p.fullSent = now
		clear(p.unsent)
		return e.allResidents(id), true
	}
	for hash, tokens := range p.unsent {
		if len(residents) == maxResidents {
			break
		}
		residents = append(residents, protocol.Resident{Hash: prefix.Hash(hash), Tokens: tokens})
		delete(p.unsent, hash)
	}
	return residents, false
}

func (e *Endpoint) allResidents(id string) []protocol.Resident {
	all, _ := e.picture.LevelsSince(0)
	ids := e.usableIDs()
	if !slices.Contains(ids, id) {
		// It isn't usable yet only because its own heartbeat is still to come.
		ids = append(ids, id)
	}
	var residents []protocol.Resident
	for _, root := range all {
		if root.Resident.Tokens > 0 && slices.Contains(owners(root, ids), id) {
			residents = append(residents, root.Resident)
		}
	}
	return residents
}

// onHeartbeat takes a peer's heartbeat.
func (e *Endpoint) onHeartbeat(s *wire.Session, hb *protocol.Heartbeat) {
	from := s.Peer()
	if hb.ID != from.ID || hb.Epoch != from.Epoch || from.Group != e.settings.Endpoint.Group {
		e.dropped("heartbeat of another", s, "claimed", hb.ID)
		return
	}
	e.epochSeen(from)
	now := e.now()
	if !e.group.view.HeartbeatReceived(hb, now) {
		e.dropped("late heartbeat", s)
		return
	}
	p := e.group.peer(hb.ID)
	e.noteIncarnation(hb, p)
	p.load, p.loadAt, p.hasLoad, p.epoch = hb.Load, now, true, hb.Epoch
	e.heardStrikes(hb.CrashCounts, from.ID)
	e.advertised(hb.ID, hb.Epoch, hb.Load.Incarnation, hb.Load.Version, hb.Residents, hb.Full)
	e.heardOffset(s, hb.ConfigOffset)
	e.probe(hb.Unresponsive, false)
}

// noteIncarnation logs which engine a peer stands before, when that is news. From
// here on this process places nothing there for what an earlier one held.
func (e *Endpoint) noteIncarnation(hb *protocol.Heartbeat, p *peer) {
	if after := hb.Load.Incarnation; after != "" && after != p.load.Incarnation {
		e.log.Info("peer's engine", "peer", hb.ID, "incarnation", after, "before", p.load.Incarnation)
	}
}

// heardStrikes takes what a peer holds against requests.
func (e *Endpoint) heardStrikes(strikes []protocol.CrashCount, from string) {
	now := e.now()
	for _, s := range strikes {
		before := e.poison.Judge(s.Fingerprint, now).Kind
		e.poison.Merge([]protocol.CrashCount{s}, now)
		if kind := e.poison.Judge(s.Fingerprint, now).Kind; kind > before {
			e.log.Warn("strike heard of", "peer", from, "fingerprint", fmt.Sprintf("%016x", s.Fingerprint), "verdict", kind.String())
		}
	}
}

// struck notes strikes that a sender knows of. The peer's own word may come
// later: without it, a later crash would pass for an earlier one.
func (e *Endpoint) struck(fingerprint uint64, crashes int) {
	count := min(crashes, attempt.DefaultPoisonParams.ExclusiveFrom())
	e.poison.Merge([]protocol.CrashCount{{Fingerprint: fingerprint, Count: count}}, e.now())
}

func (e *Endpoint) advertised(id string, epoch protocol.Epoch, incarnation, version string, residents []protocol.Resident, full bool) {
	e.router.ApplyAdvertisement(e.now(), route.Advertisement{
		Endpoint:    id,
		Epoch:       epoch,
		Incarnation: incarnation,
		Version:     version,
		Residents:   residents,
		Full:        full,
	})
}
