// Package faultproxy is a TCP proxy that injects network faults between two
// processes of a test: cuts, freezes, delays, half-open connections, refused
// connections and replies lost after the request took effect.
//
// Faults are switched by methods while traffic runs. The proxy knows nothing of
// the protocols that pass through it.
package faultproxy

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"time"
)

// Direction is a way through the proxy.
type Direction int

// The directions: Upstream runs from the dialing side to the target, Downstream back.
const (
	Upstream Direction = iota
	Downstream
	directions
)

// Proxy forwards connections to one target. Its methods may be called from any
// goroutine.
type Proxy struct {
	listener net.Listener
	target   string
	pumps    sync.WaitGroup

	mu      sync.Mutex
	changed chan struct{} // closed and replaced when a field below changes
	links   map[*link]struct{}
	frozen  bool
	// frozenFrom tells clients whose connections are frozen, nil for none.
	frozenFrom func(client string) bool
	refuse     bool
	closed     bool
	drop       [directions]bool
	delay      [directions]time.Duration
	// lose is how many replies are still to be lost, to requests that contain
	// loseMatch.
	lose      int
	loseMatch []byte
	lost      int
}

// Listen starts a proxy on listen ("ip:port", port 0 for a free one) that
// forwards to target.
func Listen(listen, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("faultproxy: listen: %w", err)
	}
	p := &Proxy{
		listener: l,
		target:   target,
		changed:  make(chan struct{}),
		links:    make(map[*link]struct{}),
	}
	p.pumps.Add(1)
	go p.accept()
	return p, nil
}

// Address returns "ip:port" of the listener.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Freeze holds back every byte in both directions until Thaw. Connections stay
// open, as when a host is paused.
func (p *Proxy) Freeze() { p.set(func() { p.frozen = true }) }

// FreezeClients is Freeze for the connections, open ones and later ones, whose client
// address is match's, until Thaw: one peer of several is cut off.
func (p *Proxy) FreezeClients(match func(client string) bool) {
	p.set(func() {
		p.frozenFrom = match
		for l := range p.links {
			l.frozen = match(l.client())
		}
	})
}

// FrozenConnections is how many open connections FreezeFrom has frozen.
func (p *Proxy) FrozenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for l := range p.links {
		if l.frozen {
			n++
		}
	}
	return n
}

// FreezeFor is Freeze, and Thaw after d.
func (p *Proxy) FreezeFor(d time.Duration) {
	p.Freeze()
	time.AfterFunc(d, p.Thaw)
}

// Thaw ends Freeze; what was held back arrives late.
func (p *Proxy) Thaw() {
	p.set(func() {
		p.frozen, p.frozenFrom = false, nil
		for l := range p.links {
			l.frozen = false
		}
	})
}

// Delay holds each byte of a direction back by d.
func (p *Proxy) Delay(dir Direction, d time.Duration) { p.set(func() { p.delay[dir] = d }) }

// Refuse resets new connections while on is set. Open ones go on.
func (p *Proxy) Refuse(on bool) { p.set(func() { p.refuse = on }) }

// Drop discards a direction's bytes while on is set, which makes connections
// half-open. When it is taken back, connections that have lost bytes are reset,
// since a byte stream with a hole is nothing that a network produces.
func (p *Proxy) Drop(dir Direction, on bool) {
	p.set(func() {
		p.drop[dir] = on
		for l := range p.links {
			if !on && l.holed[dir] {
				l.cut()
				delete(p.links, l)
			}
		}
	})
}

// LoseReplies lets the next n requests that contain match through, discards the
// first bytes of their replies and resets their connections: the effect happens
// and the requester can't know. A nil match means every request.
func (p *Proxy) LoseReplies(n int, match []byte) {
	p.set(func() { p.lose, p.loseMatch = n, match })
}

// LostReplies returns how many replies were lost so far.
func (p *Proxy) LostReplies() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}

// Connections returns how many connections are open.
func (p *Proxy) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
}

// ResetConnections resets every open connection.
func (p *Proxy) ResetConnections() {
	p.set(func() {
		for l := range p.links {
			l.cut()
			delete(p.links, l)
		}
	})
}

// Close stops the proxy, resets its connections and waits for its goroutines.
func (p *Proxy) Close() {
	p.set(func() { p.closed = true })
	p.listener.Close()
	p.ResetConnections()
	p.pumps.Wait()
}

func (p *Proxy) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) accept() {
	defer p.pumps.Done()
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.pumps.Add(1)
		go p.connect(conn.(*net.TCPConn))
	}
}

func (p *Proxy) connect(client *net.TCPConn) {
	defer p.pumps.Done()
	p.mu.Lock()
	refuse := p.refuse || p.closed
	p.mu.Unlock()
	if refuse {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	l := &link{ends: [directions]*net.TCPConn{Upstream: client, Downstream: server.(*net.TCPConn)}, done: make(chan struct{})}
	if !p.register(l) {
		l.cut()
		return
	}
	for dir := range directions {
		queue := make(chan piece, queueLength)
		p.pumps.Add(2)
		go p.receive(l, dir, queue)
		go p.forward(l, dir, queue)
	}
}

func (p *Proxy) register(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.links[l] = struct{}{}
		l.frozen = p.frozenFrom != nil && p.frozenFrom(l.client())
	}
	return !p.closed
}

// noteRequest marks the link if this piece of a request matches LoseReplies.
func (p *Proxy) noteRequest(l *link, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lose > 0 && bytes.Contains(data, p.loseMatch) {
		p.lose--
		l.loseReply = true
	}
}

// fate decides what becomes of a piece that is due now.
func (p *Proxy) fate(l *link, dir Direction) (verdict verdict, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case dir == Downstream && l.loseReply:
		if !l.replyLost {
			// The end of the cut connection comes here as a piece of its own.
			l.replyLost = true
			p.lost++
		}
		return cutLink, nil
	case p.drop[dir]:
		l.holed[dir] = true
		return discard, nil
	case l.holed[dir]:
		return discard, nil
	case p.frozen || l.frozen:
		return hold, p.changed
	}
	return pass, nil
}

func (p *Proxy) delayOf(dir Direction) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay[dir]
}
