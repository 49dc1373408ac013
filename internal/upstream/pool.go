package upstream

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrConnectionLimit says that a replica's share of connections is in use.
var ErrConnectionLimit = errors.New("upstream: all connections to the replica are in use")

// Replica is where a connection leads: an address may be taken over by another
// replica, so connections belong to an incarnation.
type Replica struct {
	ID      string
	Address string
}

// peer has the connections to one replica.
type peer struct {
	idle []*conn
	open int
}

// Pool keeps connections to replicas. It is safe for concurrent use.
type Pool struct {
	mu    sync.Mutex
	peers map[Replica]*peer
	// opened and reused count where requests found their connections.
	opened, reused uint64
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{peers: make(map[Replica]*peer)} }

// take returns an idle connection, or opens one if fewer than limit are open.
func (p *Pool) take(ctx context.Context, r Replica, limit int) (*conn, error) {
	c, err := p.takeIdle(r, limit)
	if c != nil || err != nil {
		return c, err
	}
	c, err = dial(ctx, r.Address)
	if err != nil {
		p.release(r)
		return nil, err
	}
	return c, nil
}

// takeIdle returns a connection that is fit to use, the latest used first so that
// the others can age out, or nil when the caller may open one.
func (p *Pool) takeIdle(r Replica, limit int) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.peers[r]
	if e == nil {
		e = &peer{}
		p.peers[r] = e
	}
	now := time.Now()
	for len(e.idle) > 0 {
		c := e.idle[len(e.idle)-1]
		e.idle = e.idle[:len(e.idle)-1]
		if c.fresh(now) {
			p.reused++
			c.used = true
			return c, nil
		}
		c.Close()
		e.open--
	}
	if limit > 0 && e.open >= limit {
		return nil, ErrConnectionLimit
	}
	e.open++
	p.opened++
	return nil, nil
}

// Probe opens a connection to a replica to see whether it takes one, and keeps it
// for the next request.
func (p *Pool) Probe(ctx context.Context, r Replica) error {
	c, err := dial(ctx, r.Address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	e := p.peers[r]
	if e == nil {
		e = &peer{}
		p.peers[r] = e
	}
	e.open++
	p.opened++
	p.mu.Unlock()
	p.put(r, c)
	return nil
}

// release counts a connection as closed.
func (p *Pool) release(r Replica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.peers[r]
	if e == nil {
		return
	}
	if e.open--; e.open <= 0 && len(e.idle) == 0 {
		delete(p.peers, r)
	}
}

// put keeps a connection for the next request.
func (p *Pool) put(r Replica, c *conn) {
	c.freeSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.peers[r]
	if e == nil || c.idle <= 0 {
		c.Close()
		if e != nil {
			e.open--
		}
		return
	}
	e.idle = append(e.idle, c)
}

// Sweep closes connections that are no longer fit to use, and those to replicas
// that keep says are gone. Call it every second or so.
func (p *Pool) Sweep(keep func(Replica) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for r, e := range p.peers {
		stays := keep(r)
		kept := e.idle[:0]
		for _, c := range e.idle {
			if stays && c.fresh(now) {
				kept = append(kept, c)
				continue
			}
			c.Close()
			e.open--
		}
		clear(e.idle[len(kept):])
		e.idle = kept
		if e.open <= 0 && len(e.idle) == 0 {
			delete(p.peers, r)
		}
	}
}

// Stats are counts since the start and the connections open now.
type Stats struct {
	Opened, Reused uint64
	Open, Idle     int
}

// Stats returns the pool's counts.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{Opened: p.opened, Reused: p.reused}
	for _, e := range p.peers {
		s.Open += e.open
		s.Idle += len(e.idle)
	}
	return s
}

// Close closes all idle connections.
func (p *Pool) Close() { p.Sweep(func(Replica) bool { return false }) }
