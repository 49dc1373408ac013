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
	// maxResidents bounds the changed residents in one heartbeat; the rest goes into
	// the next ones. This keeps a heartbeat below two kilobytes.
	maxResidents = 64
	// fullSyncInterval is how often all residents are sent again. Ownership moves
	// with membership, and the changes in a lost heartbeat are lost; both would show
	// as an owner that sends a prefix to engines that don't hold it.
	fullSyncInterval = 30 * time.Second
	// ownersPerResident is how many endpoints, in rendezvous order, are informed of a
	// resident: the owner, and the next one, which is asked when the owner is slow.
	ownersPerResident = 2
	heartbeatTimeout  = 2 * time.Second
)

// sendDueHeartbeats sends the heartbeats whose period is over.
func (e *Endpoint) sendDueHeartbeats() {
	now := e.now()
	peers := e.group.view.Tick(now)
	if len(peers) > 0 {
		e.sendHeartbeats(peers)
	}
}

// sendHeartbeatToAll sends a heartbeat to the whole group at once, for changes that
// can't wait for the period.
func (e *Endpoint) sendHeartbeatToAll() { e.sendHeartbeats(e.allPeersUrgent()) }

// advertiseEngineState informs the whole group at once when the engine goes down,
// comes back, is restarted or has other weights. Until owners know, they place
// requests here for what the engine held before, or none at all, for up to one
// heartbeat period.
func (e *Endpoint) advertiseEngineState() {
	if now := e.engineState(); now != e.sentEngineState {
		e.sentEngineState = now
		e.sendHeartbeatToAll()
	}
}

// reportSilent informs the whole group of a member that didn't answer a probe.
func (e *Endpoint) reportSilent(id string) {
	for _, p := range e.group.peers {
		if !slices.Contains(p.silentPeers, id) {
			p.silentPeers = append(p.silentPeers, id)
		}
	}
	e.sendHeartbeatToAll()
}

func (e *Endpoint) allPeersUrgent() []member.Peer {
	peers := e.group.view.Peers()
	for _, p := range peers {
		e.group.peer(p.ID).urgent = true
	}
	return peers
}

func (e *Endpoint) sendHeartbeats(peers []member.Peer) {
	e.collectResidents()
	crashCounts := e.poison.HeartbeatCrashCounts(e.now())
	load := e.load()
	for _, to := range peers {
		p := e.group.peer(to.ID)
		if p.sending {
			continue // the last heartbeat is still being sent: more would only queue up behind it
		}
		p.sending, p.urgent = true, false
		e.heartbeatSeq++
		hb := &protocol.Heartbeat{
			ID:           e.settings.ID,
			Epoch:        e.tel.Epoch,
			Seq:          e.heartbeatSeq,
			Leaving:      e.drain.leaving,
			ConfigOffset: e.state().Offset,
			Load:         load,
			CrashCounts:  crashCounts,
			Unresponsive: p.silentPeers,
			PeriodMs:     e.group.view.HeartbeatPeriod(to.ID).Milliseconds(),
		}
		p.silentPeers = nil
		hb.Residents, hb.Full = e.residentsFor(to.ID, p)
		go e.sendHeartbeat(to, hb)
	}
}

func (e *Endpoint) sendHeartbeat(to member.Peer, hb *protocol.Heartbeat) {
	ctx, stop := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer stop()
	began := e.now()
	s, err := e.pool.Get(ctx, to.Address)
	if err == nil && s.Peer().ID != to.ID {
		err = fmt.Errorf("endpoint: %s now belongs to %s", to.Address, s.Peer().ID)
	}
	if err == nil {
		err = s.Send(hb)
	}
	e.loop.postUnbounded(func() {
		e.group.peer(to.ID).sending = false
		if err != nil {
			e.group.peer(to.ID).fullSentAt = 0
			e.group.view.HeartbeatFailed(to.ID, began, e.now())
			return
		}
		e.observeEpoch(s.Peer())
		e.group.peer(to.ID).heartbeatSent = true
		e.observeOffset(s, s.Peer().ConfigOffset)
		if e.group.peer(to.ID).urgent {
			// An urgent change came up while this heartbeat was being sent without it.
			e.sendHeartbeats([]member.Peer{to})
		}
	})
}

// collectResidents distributes the changes of the cache view to the owners concerned.
// This endpoint always counts as one.
func (e *Endpoint) collectResidents() {
	changed, next := e.cacheView.LevelsSince(e.sentLevelVersion)
	e.sentLevelVersion = next
	if len(changed) == 0 {
		return
	}
	ids := e.usableIDs()
	own := make([]protocol.Resident, 0, len(changed))
	for _, level := range changed {
		own = append(own, level.Resident)
		for _, id := range ownersOf(level, ids) {
			if id != e.settings.ID {
				e.group.peer(id).pendingResidents[uint64(level.Resident.Hash)] = level.Resident.Tokens
			}
		}
	}
	e.applyAdvertisement(e.settings.ID, e.tel.Epoch, e.watch.incarnation, e.watch.version, own, false)
}

func ownersOf(level cachemap.TrackedLevel, ids []string) []string {
	order := rendezvous.Order(level.OwnerKey, ids)
	return order[:min(ownersPerResident, len(order))]
}

// residentsFor returns the residents to send to a peer now, and whether these are all.
func (e *Endpoint) residentsFor(id string, p *peer) (residents []protocol.Resident, full bool) {
	now := e.now()
	if p.fullSentAt == 0 || now-p.fullSentAt > fullSyncInterval {
		p.fullSentAt = now
		clear(p.pendingResidents)
		return e.allResidents(id), true
	}
	for hash, tokens := range p.pendingResidents {
		if len(residents) == maxResidents {
			break
		}
		residents = append(residents, protocol.Resident{Hash: prefix.Hash(hash), Tokens: tokens})
		delete(p.pendingResidents, hash)
	}
	return residents, false
}

func (e *Endpoint) allResidents(id string) []protocol.Resident {
	all, _ := e.cacheView.LevelsSince(0)
	ids := e.usableIDs()
	if !slices.Contains(ids, id) {
		// It isn't usable yet only because its own first heartbeat has not arrived.
		ids = append(ids, id)
	}
	var residents []protocol.Resident
	for _, level := range all {
		if level.Resident.Tokens > 0 && slices.Contains(ownersOf(level, ids), id) {
			residents = append(residents, level.Resident)
		}
	}
	return residents
}

// onHeartbeat handles a peer's heartbeat.
func (e *Endpoint) onHeartbeat(s *wire.Session, hb *protocol.Heartbeat) {
	from := s.Peer()
	if hb.ID != from.ID || hb.Epoch != from.Epoch || from.Group != e.settings.Endpoint.Group {
		e.recordDropped("heartbeat of another", s, "claimed", hb.ID)
		return
	}
	e.observeEpoch(from)
	now := e.now()
	if !e.group.view.HeartbeatReceived(hb, now) {
		e.recordDropped("late heartbeat", s)
		return
	}
	peer := e.group.peer(hb.ID)
	e.logIncarnationChange(hb, peer)
	peer.load, peer.loadAt, peer.hasLoad, peer.epoch = hb.Load, now, true, hb.Epoch
	e.mergePeerCrashCounts(hb.CrashCounts, from.ID)
	e.applyAdvertisement(hb.ID, hb.Epoch, hb.Load.Incarnation, hb.Load.Version, hb.Residents, hb.Full)
	e.observeOffset(s, hb.ConfigOffset)
	e.probe(hb.Unresponsive, false)
}

// logIncarnationChange logs a new incarnation of a peer's engine. From then on this
// process places nothing there for what an earlier one held.
func (e *Endpoint) logIncarnationChange(hb *protocol.Heartbeat, p *peer) {
	if after := hb.Load.Incarnation; after != "" && after != p.load.Incarnation {
		e.log.Info("peer engine has a new incarnation", "peer", hb.ID, "incarnation", after, "before", p.load.Incarnation)
	}
}

// mergePeerCrashCounts merges the crash counts of requests that a peer reports.
func (e *Endpoint) mergePeerCrashCounts(crashCounts []protocol.CrashCount, from string) {
	now := e.now()
	for _, s := range crashCounts {
		before := e.poison.Judge(s.Fingerprint, now).Kind
		e.poison.Merge([]protocol.CrashCount{s}, now)
		if kind := e.poison.Judge(s.Fingerprint, now).Kind; kind > before {
			e.log.Warn("crash count received from peer", "peer", from, "fingerprint", fmt.Sprintf("%016x", s.Fingerprint), "verdict", kind.String())
		}
	}
}

// mergeCrashCount merges the crashes of a request that a sender knows of. The report
// of the endpoint concerned may arrive later: without this one, a later crash would
// be taken for an earlier one.
func (e *Endpoint) mergeCrashCount(fingerprint uint64, crashes int) {
	count := min(crashes, attempt.DefaultPoisonParams.ExclusiveFrom())
	e.poison.Merge([]protocol.CrashCount{{Fingerprint: fingerprint, Count: count}}, e.now())
}

func (e *Endpoint) applyAdvertisement(id string, epoch protocol.Epoch, incarnation, version string, residents []protocol.Resident, full bool) {
	e.router.ApplyAdvertisement(e.now(), route.Advertisement{
		Endpoint:    id,
		Epoch:       epoch,
		Incarnation: incarnation,
		Version:     version,
		Residents:   residents,
		Full:        full,
	})
}
