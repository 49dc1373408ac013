package upstream

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrConnectionLimit means that as many connections to a replica are open as are
// allowed.
var ErrConnectionLimit = errors.New("upstream: all connections to the replica are in use")

// Replica identifies the destination of a connection. Another replica may take over
// an address, so connections belong to one incarnation, which ID names.
type Replica struct {
	ID      string
	Address string
}

// replicaConns holds the connections to one replica: the idle ones, and the number
// of all open ones.
type replicaConns struct {
	idle []*conn
	open int
}

// Pool keeps connections to replicas. It is safe for concurrent use.
type Pool struct {
	mu       sync.Mutex
	replicas map[Replica]*replicaConns
	// opened and reused count the connections that were opened and reused for
	// requests.
	opened, reused uint64
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{replicas: make(map[Replica]*replicaConns)} }

// acquire returns an idle connection, or opens one if fewer than limit are open.
func (p *Pool) acquire(ctx context.Context, r Replica, limit int) (*conn, error) {
	c, err := p.acquireIdle(r, limit)
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

// acquireIdle returns a usable connection, or nil if the caller may open one. It
// takes the most recently used one, so that surplus connections reach their idle
// timeout.
func (p *Pool) acquireIdle(r Replica, limit int) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rc := p.replicas[r]
	if rc == nil {
		rc = &replicaConns{}
		p.replicas[r] = rc
	}
	now := time.Now()
	for len(rc.idle) > 0 {
		c := rc.idle[len(rc.idle)-1]
		rc.idle = rc.idle[:len(rc.idle)-1]
		if c.usable(now) {
			p.reused++
			c.used = true
			return c, nil
		}
		c.Close()
		rc.open--
	}
	if limit > 0 && rc.open >= limit {
		return nil, ErrConnectionLimit
	}
	rc.open++
	p.opened++
	return nil, nil
}

// Probe opens a connection to a replica to test whether it accepts one, and keeps
// it for the next request.
func (p *Pool) Probe(ctx context.Context, r Replica) error {
	c, err := dial(ctx, r.Address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	rc := p.replicas[r]
	if rc == nil {
		rc = &replicaConns{}
		p.replicas[r] = rc
	}
	rc.open++
	p.opened++
	p.mu.Unlock()
	p.putIdle(r, c)
	return nil
}

// release counts a connection as closed.
func (p *Pool) release(r Replica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rc := p.replicas[r]
	if rc == nil {
		return
	}
	if rc.open--; rc.open <= 0 && len(rc.idle) == 0 {
		delete(p.replicas, r)
	}
}

// putIdle keeps a connection for the next request.
func (p *Pool) putIdle(r Replica, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	rc := p.replicas[r]
	if rc == nil || c.idleTimeout <= 0 {
		c.Close()
		if rc != nil {
			rc.open--
		}
		return
	}
	rc.idle = append(rc.idle, c)
}

// Sweep closes connections that are no longer usable, and those to replicas for
// which keep returns false. Call it about every second.
func (p *Pool) Sweep(keep func(Replica) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for r, rc := range p.replicas {
		keepReplica := keep(r)
		kept := rc.idle[:0]
		for _, c := range rc.idle {
			if keepReplica && c.usable(now) {
				kept = append(kept, c)
				continue
			}
			c.Close()
			rc.open--
		}
		clear(rc.idle[len(kept):])
		rc.idle = kept
		if rc.open <= 0 && len(rc.idle) == 0 {
			delete(p.replicas, r)
		}
	}
}

// Stats counts connections opened and reused since the start, and open and idle
// now.
type Stats struct {
	Opened, Reused uint64
	Open, Idle     int
}

func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{Opened: p.opened, Reused: p.reused}
	for _, rc := range p.replicas {
		s.Open += rc.open
		s.Idle += len(rc.idle)
	}
	return s
}

// Close closes all idle connections.
func (p *Pool) Close() { p.Sweep(func(Replica) bool { return false }) }
