package direct

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/peermessage"
	"skylarklead/internal/rendezvous"
)

const (
	// grantLease bounds the time for which one run has a key: longer than a crash takes to show.
	grantLease = 5 * time.Second
	// grantSettle is how long after a run that broke off the key isn't granted again: by then it is
	// known whether its replica was lost.
	grantSettle = time.Second
	// grantAnswer is how long an owner may take to answer, grantRepeat the pause until it is asked
	// again: the datagram or the answer may be lost.
	grantAnswer = 250 * time.Millisecond
	grantRepeat = 60 * time.Millisecond
	// grantOwners is how many entries are asked in turn where one doesn't answer, ownerSilence how long
	// one that didn't is left out.
	grantOwners  = 3
	ownerSilence = 5 * time.Second
	// grantPause is the pause until a request asks again for a key that another run has.
	grantPause = 100 * time.Millisecond
	// maxGrantWait bounds the time for which a request waits for keys.
	maxGrantWait = time.Second
	// maxGrants bounds the keys that an owner remembers as granted.
	maxGrants = 4096
)

// runGrants lets one request at a time run with a key under which replicas were lost, over all entries.
// Each key has an owner, the entry that comes first in the key's rendezvous order. An entry that reaches
// no owner decides for itself.
type runGrants struct {
	peers *peers

	mu     sync.Mutex
	table  *attempt.RunGrants
	number uint64
	// running are the keys that a request of this entry has or asks for.
	running map[uint64]bool
	// asked has the channel for the answer to each question.
	asked map[uint64]chan bool
	// silent is when an owner last left a question unanswered.
	silent map[string]time.Duration
	// changed is closed and replaced when a request may have become free to run.
	changed chan struct{}
}

func newRunGrants(p *peers) *runGrants {
	return &runGrants{
		peers: p, table: attempt.NewRunGrants(maxGrants), running: make(map[uint64]bool),
		asked: make(map[uint64]chan bool), silent: make(map[string]time.Duration), changed: make(chan struct{}),
	}
}

// runGrant is a key that a request has, and the owner that granted it.
type runGrant struct {
	key, number uint64
	owner       string
	until       time.Duration
}

// acquire asks for a key for one run.
func (g *runGrants) acquire(ctx context.Context, key uint64) (runGrant, bool) {
	g.mu.Lock()
	if g.running[key] {
		g.mu.Unlock()
		return runGrant{}, false
	}
	g.running[key] = true
	g.number++
	grant := runGrant{key: key, number: g.number}
	g.mu.Unlock()
	for _, owner := range g.owners(key) {
		given, answered := g.ask(ctx, owner, grant)
		if !answered && ctx.Err() == nil {
			g.setSilent(owner)
			continue
		}
		if !given {
			break
		}
		grant.owner, grant.until = owner, g.now()+grantLease
		return grant, true
	}
	// Those that wait aren't woken: nothing has changed for them.
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.running, key)
	return runGrant{}, false
}

func (g *runGrants) now() time.Duration { return g.peers.entry.clock.now() }

// owners returns the entries to ask for a key, in order, this one last: those that didn't answer of late
// are left out.
func (g *runGrants) owners(key uint64) []string {
	self, now := g.peers.entry.settings.ID, g.now()
	order := rendezvous.Order(key, g.peers.allIDs())
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []string
	for _, id := range order[:min(len(order), grantOwners)] {
		if id == self {
			break
		}
		if at, silent := g.silent[id]; !silent || now-at > ownerSilence {
			list = append(list, id)
		}
	}
	return append(list, self)
}

func (g *runGrants) setSilent(owner string) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.silent, func(_ string, at time.Duration) bool { return now-at > ownerSilence })
	g.silent[owner] = now
	g.peers.entry.tel.Metrics.Count("grant_owners_silent", 1)
}

// setIdle records that no request of this entry has the key, and wakes those that wait.
func (g *runGrants) setIdle(key uint64) {
	g.mu.Lock()
	delete(g.running, key)
	g.mu.Unlock()
	g.wake()
}

// wake makes waiting requests look again whether they may run.
func (g *runGrants) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.changed)
	g.changed = make(chan struct{})
}

// changes returns a channel that is closed at the next change.
func (g *runGrants) changes() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// ask asks an owner for a key. answered is false if it doesn't answer in time.
func (g *runGrants) ask(ctx context.Context, owner string, grant runGrant) (given, answered bool) {
	self := g.peers.entry.settings.ID
	if owner == self {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.table.Ask(grant.key, attempt.GrantHolder{Entry: self, Number: grant.number}, grantLease, g.now()), true
	}
	address, known := g.peers.address(owner)
	if !known {
		return false, false
	}
	answer := make(chan bool, 1)
	g.mu.Lock()
	g.asked[grant.number] = answer
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(g.asked, grant.number)
		g.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, grantAnswer)
	defer cancel()
	repeat := time.NewTicker(grantRepeat)
	defer repeat.Stop()
	for {
		g.send(&peermessage.Grant{Step: peermessage.GrantAsked, Key: grant.key, Number: grant.number}, address)
		select {
		case given = <-answer:
			return given, true
		case <-ctx.Done():
			return false, false
		case <-repeat.C:
		}
	}
}

// release returns a grant. Its key isn't granted again for a time of settling.
func (g *runGrants) release(grant runGrant, settle time.Duration) {
	self := g.peers.entry.settings.ID
	if grant.owner == self {
		g.mu.Lock()
		g.table.Return(grant.key, attempt.GrantHolder{Entry: self, Number: grant.number}, settle, g.now())
		g.mu.Unlock()
	} else if address, known := g.peers.address(grant.owner); known {
		// A message that is lost leaves the key granted until the end of the lease.
		g.send(&peermessage.Grant{Step: peermessage.GrantReturned, Key: grant.key, Number: grant.number, SettleMs: uint32(settle.Milliseconds())}, address)
	}
	g.setIdle(grant.key)
}

// receive handles a message of another entry.
func (g *runGrants) receive(m *peermessage.Grant, id string, from netip.AddrPort) {
	holder, now := attempt.GrantHolder{Entry: id, Number: m.Number}, g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch m.Step {
	case peermessage.GrantAsked:
		step := peermessage.GrantDenied
		if g.table.Ask(m.Key, holder, grantLease, now) {
			step = peermessage.GrantGiven
		}
		g.send(&peermessage.Grant{Step: step, Key: m.Key, Number: m.Number}, from)
	case peermessage.GrantGiven, peermessage.GrantDenied:
		if answer := g.asked[m.Number]; answer != nil {
			select {
			case answer <- m.Step == peermessage.GrantGiven:
			default: // the answer to a question that was sent twice
			}
		}
	case peermessage.GrantReturned:
		g.table.Return(m.Key, holder, min(time.Duration(m.SettleMs)*time.Millisecond, grantLease), now)
	}
}

func (g *runGrants) send(m *peermessage.Grant, to netip.AddrPort) {
	g.peers.sendTo(m, to)
}
