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
	// maxKeyChecks bounds the peers at which VerifyKey tries the fleet key at once.
	maxKeyChecks = 3
	// handshakeTTL is how long a handshake's result counts after it failed or its
	// session ended. Unused sessions end within minutes, and a process that has had
	// no request for a while must not look like one whose key no peer accepts.
	handshakeTTL = time.Hour
)

// KeyRefused is the reason why a process whose key no peer accepts isn't ready.
const KeyRefused = "fleet_key refused by each peer that answered"

// peerHandshakes has the results of the handshakes with one peer.
type peerHandshakes struct {
	liveSessions int
	// lastEnded is when the last session ended, zero if none has.
	lastEnded time.Time
	// refusedAt is when the peer last refused the key; zero if a later handshake
	// succeeded.
	refusedAt time.Time
}

// Handshakes records, by address, which daemons accept this process's fleet key. A
// process with a wrong key can still read its configuration from the log; without
// this check it would report ready while every request sent to it fails. A single
// refusal doesn't tell which of the two processes has the wrong key, so a process
// attributes refusals to its own key only while no peer accepts it.
//
// Methods are safe for concurrent use. Those of a nil *Handshakes, except
// RefusalsChanged, do nothing.
type Handshakes struct {
	mu     sync.Mutex
	byPeer map[string]*peerHandshakes
	// refusalReported is set if the last call of RefusalsChanged returned peers.
	refusalReported bool
}

// NewHandshakes returns an empty record.
func NewHandshakes() *Handshakes { return &Handshakes{byPeer: make(map[string]*peerHandshakes)} }

// RefusingPeers returns the sorted addresses of the peers that refused this process's
// key, or none if another peer accepts it.
func (h *Handshakes) RefusingPeers() []string {
	refusers, _ := h.evaluate(time.Now())
	return refusers
}

// RefusalsChanged returns RefusingPeers and whether it has become empty or non-empty
// since the last call of RefusalsChanged.
func (h *Handshakes) RefusalsChanged() (refusers []string, changed bool) {
	refusers = h.RefusingPeers()
	h.mu.Lock()
	defer h.mu.Unlock()
	changed = h.refusalReported != (len(refusers) > 0)
	h.refusalReported = len(refusers) > 0
	return refusers, changed
}

func (h *Handshakes) keyAccepted() bool {
	_, accepted := h.evaluate(time.Now())
	return accepted
}

// evaluate returns whether a peer accepts the key and, if none does, the sorted
// addresses of those that refused it. It deletes expired results.
func (h *Handshakes) evaluate(now time.Time) (refusers []string, accepted bool) {
	if h == nil {
		return nil, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for address, p := range h.byPeer {
		switch {
		case p.liveSessions > 0 || now.Sub(p.lastEnded) < handshakeTTL && p.refusedAt.IsZero():
			accepted = true
		case now.Sub(p.refusedAt) < handshakeTTL:
			refusers = append(refusers, address)
		default:
			delete(h.byPeer, address)
		}
	}
	if accepted {
		return nil, true
	}
	slices.Sort(refusers)
	return refusers, false
}

// recordFailure records that the handshake of an outgoing session failed with err; only
// a refused key counts. Incoming sessions with a wrong key aren't recorded: anyone can
// open one.
func (h *Handshakes) recordFailure(address string, err error) {
	if h == nil || !errors.Is(err, ErrUnauthenticated) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peer(address).refusedAt = time.Now()
}

// recordSession records an authenticated session and returns the function to call at
// its end. Only sessions with daemons count: a tool proves that its operator has the
// same key, not that the fleet has it.
func (h *Handshakes) recordSession(peer protocol.Identity, address string) (ended func()) {
	if h == nil || peer.Role == protocol.RoleTool || address == "" {
		return func() {}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.peer(address)
	p.liveSessions++
	p.refusedAt = time.Time{}
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		p := h.peer(address)
		p.liveSessions--
		p.lastEnded = time.Now()
	}
}

func (h *Handshakes) peer(address string) *peerHandshakes {
	p := h.byPeer[address]
	if p == nil {
		p = &peerHandshakes{}
		h.byPeer[address] = p
	}
	return p
}

// VerifyKey opens sessions to up to maxKeyChecks random addresses if no peer is known
// to accept this process's key. It returns when one accepts it or all have answered.
// Without this, a process that has no request to send would not detect a wrong key.
func (p *Pool) VerifyKey(ctx context.Context, addresses []string) {
	if p.opts.Handshakes.keyAccepted() || len(addresses) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	picked := slices.Clone(addresses)
	rand.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	picked = picked[:min(maxKeyChecks, len(picked))]
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
