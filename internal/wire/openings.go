package wire

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"skylarklead/internal/protocol"
)

const (
	// proveAt is how many peers are asked at once whether they take the fleet key.
	proveAt = 3
	// openingLife is how long an opening counts after it failed or its session
	// ended: unused sessions end in minutes, and a process that had no request for
	// a while must not be taken for one that nobody lets in.
	openingLife = time.Hour
)

// KeyRefused is why a process isn't ready whose key no peer takes.
const KeyRefused = "fleet_key refused by each peer that answered"

// opening is how the openings with one peer went. Invariant: refused is zero, or
// later than the last one that succeeded.
type opening struct {
	live    int
	ended   time.Time
	refused time.Time
}

// Handshakes keeps, by address, which daemons took this process's key. A process
// with another key than the fleet's reads its configuration from the log all the
// same and answered ready, while every request that it was sent failed. It can't
// tell from one refusal who of the two is wrong, so it takes a refusal for its own
// fault only as long as no peer at all has let it in. Its methods may be called
// from any goroutine; those of nil, but News, do nothing.
type Handshakes struct {
	mu     sync.Mutex
	byPeer map[string]*opening
	// told is set while News has told of a refusal.
	told bool
}

// NewHandshakes returns the record of a process that knows no peer.
func NewHandshakes() *Handshakes { return &Handshakes{byPeer: make(map[string]*opening)} }

// RefusingPeers returns the addresses of the peers that refused this process's key, in
// order, or none if another peer takes it.
func (o *Handshakes) RefusingPeers() []string {
	refusers, _ := o.look(time.Now())
	return refusers
}

// RefusalsChanged returns Refusers if it has become empty, or is no longer so, since RefusalsChanged was
// last called.
func (o *Handshakes) RefusalsChanged() (refusers []string, news bool) {
	refusers = o.RefusingPeers()
	o.mu.Lock()
	defer o.mu.Unlock()
	news = o.told != (len(refusers) > 0)
	o.told = len(refusers) > 0
	return refusers, news
}

func (o *Handshakes) proven() bool {
	_, proven := o.look(time.Now())
	return proven
}

func (o *Handshakes) look(now time.Time) (refusers []string, proven bool) {
	if o == nil {
		return nil, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for address, p := range o.byPeer {
		switch {
		case p.live > 0 || now.Sub(p.ended) < openingLife && p.refused.IsZero():
			proven = true
		case now.Sub(p.refused) < openingLife:
			refusers = append(refusers, address)
		default:
			delete(o.byPeer, address)
		}
	}
	if proven {
		return nil, true
	}
	slices.Sort(refusers)
	return refusers, false
}

// failed takes an outgoing session's failed opening. What comes in without the
// key counts for nothing: anybody may do that.
func (o *Handshakes) failed(address string, err error) {
	if o == nil || !errors.Is(err, ErrUnauthenticated) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.of(address).refused = time.Now()
}

// opened takes an authenticated session. Only daemons count: a tool proves that
// its operator has the same key, not that the fleet has.
func (o *Handshakes) opened(peer protocol.Identity, address string) (ended func()) {
	if o == nil || peer.Role == protocol.RoleTool || address == "" {
		return func() {}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.of(address)
	p.live++
	p.refused = time.Time{}
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		p := o.of(address)
		p.live--
		p.ended = time.Now()
	}
}

func (o *Handshakes) of(address string) *opening {
	p := o.byPeer[address]
	if p == nil {
		p = &opening{}
		o.byPeer[address] = p
	}
	return p
}

// VerifyKey opens sessions to a few of addresses, if no peer is known to take this
// process's key, and returns when one does or all have answered. A process that
// has no request to send would otherwise not find out.
func (p *Pool) VerifyKey(ctx context.Context, addresses []string) {
	if p.opts.Handshakes.proven() || len(addresses) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	picked := slices.Clone(addresses)
	rand.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	picked = picked[:min(proveAt, len(picked))]
	answers := make(chan error, len(picked))
	for _, address := range picked {
		go func() {
			_, err := p.Get(ctx, address)
			answers <- err
		}()
	}
	for range picked {
		if err := <-answers; err == nil {
			return
		}
	}
}
