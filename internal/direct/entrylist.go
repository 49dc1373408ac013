package direct

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/spread"
	"skylarklead/internal/wait"
)

const (
	// topicPeers has a record for each entry: where the others reach it.
	topicPeers = "keyed.skylark.peers"
	// peersWait is how long a read for new peers waits: less than the list may be old.
	peersWait = 4 * time.Second
	// peersEvery is the least pause between reads for new peers: at a start all of
	// them are new.
	peersEvery = time.Second
	// helloPause is the pause between tries to tell the others where this entry is.
	helloPause = time.Second
)

// peerAddress is where an entry is.
type peerAddress struct {
	address netip.AddrPort
	domain  string
}

// follow keeps the list of the other entries.
func (p *peers) follow(ctx context.Context) {
	f := p.entry.newFollower(topicPeers)
	f.keyed, f.readWait, f.readPause = true, peersWait, peersEvery
	f.topicID = peersTopicID
	f.onRecord = func(r fleet.Record) {
		p.take(r)
		p.counted()
	}
	f.onSnapshot = func(page fleet.Page) {
		for _, r := range page.Records {
			p.take(r)
		}
		switch {
		case !f.begun:
			p.writtenBefore = p.written != ""
			close(p.read)
		case !slices.ContainsFunc(page.Records, func(r fleet.Record) bool { return p.own(r, page.Next) }):
			// The store came back from a copy that is older than this entry's record.
			go p.write(ctx)
		}
		p.counted()
	}
	f.onRead = func(r spread.Read) {
		p.entry.quotas.entriesConfirmed(r.CalledAt)
		p.entry.rateLimitEntriesConfirmed(p.entry.clock.fromBoot(r.CalledAt, f.boot()))
	}
	f.run(ctx)
}

// counted has the others take how many entries there are, and where. Those that were heard of
// before the list of entries was read are not all.
func (p *peers) counted() {
	select {
	case <-p.read:
		p.entry.state.setEntryCount(p.count())
		names, self := p.names()
		p.entry.quotas.setEntries(names, self, p.writtenBefore)
		p.entry.setRateLimitEntries(names, self, p.writtenBefore)
	default:
	}
	pause := p.pause()
	p.entry.state.mu.Lock()
	p.entry.state.feed.SetPeerInterval(pause)
	p.entry.state.mu.Unlock()
	if p.entry.hub == nil {
		return
	}
	p.mu.Lock()
	known := maps.Clone(p.known)
	p.mu.Unlock()
	p.entry.hub.listed(known)
}

// count is how many entries there are, this one included.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.known) + 1
}

// names are the entries listed; self says that this one is.
func (p *peers) names() (names []string, self bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.listed)), p.listed[p.entry.settings.ID]
}

// address is where an entry is, false if it isn't known.
func (p *peers) address(id string) (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.known[id]
	return a.address, ok
}

func (p *peers) take(r fleet.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Value == nil {
		delete(p.listed, r.Key)
	} else {
		p.listed[r.Key] = true
	}
	if r.Key == p.entry.settings.ID {
		p.written = string(r.Value)
		return
	}
	if r.Value == nil {
		delete(p.known, r.Key)
		p.entry.tel.Log.Info("peer gone", "peer", r.Key, "offset", r.Offset)
		return
	}
	// A build that passed nothing on wrote no failure domain.
	at, domain, _ := strings.Cut(string(r.Value), " ")
	address, err := netip.ParseAddrPort(at)
	if err != nil {
		p.entry.malformed.report("peer's record skipped", r, err)
		return
	}
	p.known[r.Key] = peerAddress{address: address, domain: domain}
	p.entry.tel.Log.Info("peer listed", "peer", r.Key, "address", address.String(), "failure_domain", domain, "offset", r.Offset)
}

// record is what the others find of this entry.
func (p *peers) record() string {
	return p.entry.settings.Direct.Peers + " " + p.entry.settings.FailureDomain
}

// hello tells the others where this entry is, until it is written. One that started again
// at its address is written already.
func (p *peers) hello(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-p.read:
	}
	p.mu.Lock()
	written := p.written == p.record()
	p.mu.Unlock()
	if !written {
		p.write(ctx)
	}
}

// own reports whether a record is of this entry, and of the store's era at a position.
func (p *peers) own(r fleet.Record, next uint64) bool {
	return r.Key == p.entry.settings.ID && fleet.Era(r.Offset) == fleet.Era(next)
}

// write puts this entry into the list of entries.
func (p *peers) write(ctx context.Context) {
	e := p.entry
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := e.platform.Store.Put(callCtx, topicPeers, e.settings.ID, []byte(p.record()))
		cancel()
		if err == nil {
			return
		}
		e.tel.Log.Warn("address not told to peers", "error", err)
		_ = wait.For(ctx, helloPause) // the loop looks at ctx next
	}
}
