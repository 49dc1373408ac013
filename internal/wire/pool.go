package wire

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
)

// idleTimeout is how long an unused outgoing session is kept. At three requests a
// second over 600 replicas each session is used only every few minutes. With a shorter
// timeout nearly every request would open a session, which costs more than keeping
// it open (see idlePingInterval).
const idleTimeout = 10 * time.Minute

// Pool keeps at most one outgoing session per address, opened on demand. Its methods
// are safe for concurrent use.
type Pool struct {
	opts  Options
	dials singleflight.Group
	// ctx is cancelled by Close.
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
// Concurrent callers share one dial, which continues when one of them gives up. If it
// used the context of the first caller, cancelling that would fail the requests of the
// others with "context canceled" and leave a peer's state unread.
func (p *Pool) Get(ctx context.Context, address string) (*Session, error) {
	if s := p.live(address); s != nil {
		return s, nil
	}
	opened := p.dials.DoChan(address, func() (any, error) {
		if s := p.live(address); s != nil {
			return s, nil
		}
		s, err := Dial(p.ctx, address, p.opts)
		if err != nil {
			return nil, err
		}
		p.add(address, s)
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

// live returns the session to address if it is open, otherwise nil.
func (p *Pool) live(address string) *Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.sessions[address]
	if s == nil || s.ctx.Err() != nil {
		return nil
	}
	return s
}

// add keeps s, or closes it if the pool was closed during the dial.
func (p *Pool) add(address string, s *Session) {
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

// Sweep closes the sessions on which nothing waits and that haven't been written to
// for idleTimeout, and removes ended ones.
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

// Close closes every session and cancels dials. Get fails afterwards.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stop()
	p.closed = true
	for _, s := range p.sessions {
		s.Close(ErrClosed)
	}
}
