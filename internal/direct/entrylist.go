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
	// topicPeers has a record for each entry with the address at which the others reach it.
	topicPeers = "keyed.skylark.peers"
	// peersReadWait is how long a read of the list of entries waits for a record: less than the
	// list's maximum staleness.
	peersReadWait = 4 * time.Second
	// peersReadPause is the least pause between reads of the list. At a start many entries register
	// in a short time.
	peersReadPause = time.Second
	// registerRetryPause is the pause between attempts to register this entry's address.
	registerRetryPause = time.Second
)

// peerAddress is the address and the failure domain of an entry.
type peerAddress struct {
	address netip.AddrPort
	domain  string
}

// follow keeps the list of the other entries up to date.
func (p *peers) follow(ctx context.Context) {
	f := p.entry.newFollower(topicPeers)
	f.keyed, f.readWait, f.readPause = true, peersReadWait, peersReadPause
	f.topicID = peersTopicID
	f.onRecord = func(r fleet.Record) {
		p.applyRecord(r)
		p.applyList()
	}
	f.onSnapshot = func(page fleet.Page) {
		for _, r := range page.Records {
			p.applyRecord(r)
		}
		switch {
		case !f.loaded:
			p.listedAtStart = p.ownRecord != ""
			close(p.listRead)
		case !slices.ContainsFunc(page.Records, func(r fleet.Record) bool { return p.isOwnRecord(r, page.Next) }):
			// The store was restored from a copy that is older than this entry's record.
			go p.putRegistration(ctx)
		}
		p.applyList()
	}
	f.onRead = func(r spread.Read) {
		p.entry.quotas.entriesConfirmed(r.CalledAt)
		p.entry.rateLimitEntriesConfirmed(p.entry.clock.fromBoot(r.CalledAt, f.boot()))
	}
	f.run(ctx)
}

// applyList applies a change of the known entries to retry budgets, quotas, rate limits, the pause
// between messages and the hub. Peers known only from their messages are not all entries, so numbers
// and IDs are applied only once the list has been read.
func (p *peers) applyList() {
	select {
	case <-p.listRead:
		if p.listedAtStart {
			p.entry.state.setRestarted()
		}
		p.entry.state.setEntryCount(p.count())
		names, self := p.listedIDs()
		p.entry.quotas.setEntries(names, self, p.listedAtStart)
		p.entry.setRateLimitEntries(names, self, p.listedAtStart)
	default:
	}
	pause := p.interval()
	p.entry.state.mu.Lock()
	p.entry.state.picker.SetPeerInterval(pause)
	p.entry.state.mu.Unlock()
	if p.entry.hub == nil {
		return
	}
	p.mu.Lock()
	known := maps.Clone(p.known)
	p.mu.Unlock()
	p.entry.hub.setPeers(known)
}

// count returns the number of entries, including this one.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.known) + 1
}

// listedIDs returns the IDs of the listed entries; self says whether this one is among them.
func (p *peers) listedIDs() (names []string, self bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.listed)), p.listed[p.entry.settings.ID]
}

// address returns an entry's address, false if it is not known.
func (p *peers) address(id string) (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.known[id]
	return a.address, ok
}

func (p *peers) applyRecord(r fleet.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Value == nil {
		delete(p.listed, r.Key)
	} else {
		p.listed[r.Key] = true
	}
	if r.Key == p.entry.settings.ID {
		p.ownRecord = string(r.Value)
		return
	}
	if r.Value == nil {
		delete(p.known, r.Key)
		p.entry.tel.Log.Info("peer removed from list", "peer", r.Key, "offset", r.Offset)
		return
	}
	// Older versions, which did not share reads, wrote no failure domain.
	at, domain, _ := strings.Cut(string(r.Value), " ")
	address, err := netip.ParseAddrPort(at)
	if err != nil {
		p.entry.malformed.report("peer's record skipped", r, err)
		return
	}
	p.known[r.Key] = peerAddress{address: address, domain: domain}
	p.entry.tel.Log.Info("peer listed", "peer", r.Key, "address", address.String(), "failure_domain", domain, "offset", r.Offset)
}

// registration returns the value of this entry's record in the list.
func (p *peers) registration() string {
	return p.entry.settings.Direct.Peers + " " + p.entry.settings.FailureDomain
}

// register registers this entry's address, once it has read what entries that ran before have recorded. An entry that restarted at the same address is already
// registered.
func (p *peers) register(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-p.entry.uses.begun:
	}
	select {
	case <-ctx.Done():
		return
	case <-p.listRead:
	}
	p.mu.Lock()
	written := p.ownRecord == p.registration()
	p.mu.Unlock()
	if !written {
		p.putRegistration(ctx)
	}
}

// isOwnRecord reports whether a record is this entry's and of the store's era at offset next.
func (p *peers) isOwnRecord(r fleet.Record, next uint64) bool {
	return r.Key == p.entry.settings.ID && fleet.Era(r.Offset) == fleet.Era(next)
}

// putRegistration writes this entry's record, with retries until ctx ends.
func (p *peers) putRegistration(ctx context.Context) {
	e := p.entry
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := e.platform.Store.Put(callCtx, topicPeers, e.settings.ID, []byte(p.registration()))
		cancel()
		if err == nil {
			return
		}
		e.tel.Log.Warn("address of this entry not written to the store", "error", err)
		_ = wait.For(ctx, registerRetryPause) // the loop checks ctx next
	}
}
