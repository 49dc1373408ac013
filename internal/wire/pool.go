package wire

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
)

// idleTimeout is how long an unused outgoing session is kept. Sessions are opened
// on demand, but at three requests a second over 600 replicas each is used only
// every few minutes: aged out sooner, nearly every request would open one, which
// costs more than keeping it (idlePingInterval).
const idleTimeout = 10 * time.Minute

// Pool keeps one outgoing session for each address.
type Pool struct {
	opts Options
	dial singleflight.Group
	// ctx ends with the pool.
	ctx  context.Context
	stop context.CancelFunc

	mu       sync.Mutex
	sessions map[string]*Session
	closed   bool
}

// NewPool returns an empty pool.
func NewPool(opts Options) *Pool {
	ctx, stop := context.WithCancel(context.Background())
	return &Pool{opts: opts, ctx: ctx, stop: stop, sessions: make(map[string]*Session)}
}

// Get returns the open session to address, or opens one.
//
// One opening serves all who wait for it, and goes on when one of them gives up. By
// the context of whoever came first, a caller that hung up failed the others'
// requests, and a peer's state went unread: "context canceled" in the log of a
// process whose own wait hadn't ended.
func (p *Pool) Get(ctx context.Context, address string) (*Session, error) {
	if s := p.open(address); s != nil {
		return s, nil
	}
	opened := p.dial.DoChan(address, func() (any, error) {
		if s := p.open(address); s != nil {
			return s, nil
		}
		s, err := Dial(p.ctx, address, p.opts)
		if err != nil {
			return nil, err
		}
		p.keep(address, s)
		return s, nil
	})
	select {
	case r := <-opened:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.(*Session), nil
	case <-ctx.Done():
		return nil, fmt.Errorf("wire: dial %s: %w", address, ctx.Err())
	}
}

func (p *Pool) open(address string) *Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.sessions[address]
	if s == nil || s.ctx.Err() != nil {
		return nil
	}
	return s
}

func (p *Pool) keep(address string, s *Session) {
	p.mu.Lock()
	closed := p.closed
	if !closed {
		p.sessions[address] = s
	}
	p.mu.Unlock()
	if closed {
		s.Close(ErrClosed)
	}
}

// Sweep closes sessions that nobody waits on and that were not written to for
// idleTimeout, and forgets ended ones.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, s := range p.sessions {
		idle := now.Sub(s.idleSince()) > idleTimeout && !s.awaited()
		if idle {
			s.Close(ErrClosed)
		}
		if idle || s.ctx.Err() != nil {
			delete(p.sessions, address)
		}
	}
}

// Close ends every session.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stop()
	p.closed = true
	for _, s := range p.sessions {
		s.Close(ErrClosed)
	}
}
