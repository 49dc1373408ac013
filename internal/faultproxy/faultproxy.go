// Package faultproxy is a TCP proxy that injects network faults between two
// processes of a test: resets, freezes, delays, half-open connections, refused
// connections and replies lost after the request took effect.
//
// Methods switch faults on and off while traffic runs. The proxy doesn't interpret
// the protocols that pass through it.
package faultproxy

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"time"
)

// Direction is a direction of traffic through the proxy.
type Direction int

// Upstream is from the client to the target, Downstream from the target to the
// client.
const (
	Upstream Direction = iota
	Downstream
	directions
)

// Proxy forwards connections to one target. Its methods may be called from any
// goroutine.
type Proxy struct {
	listener   net.Listener
	target     string
	goroutines sync.WaitGroup

	mu      sync.Mutex
	changed chan struct{} // closed and replaced when a field below changes
	links   map[*link]struct{}
	frozen  bool
	// clientFrozen reports whether the connections of a client address are frozen;
	// nil freezes none.
	clientFrozen func(client string) bool
	refuse       bool
	// refuseAfter is how long a connection that is refused stays open.
	refuseAfter time.Duration
	closed      bool
	// isolated is how many calls of Isolate are without their Reconnect, fillers are the connections that fill
	// the backlog then.
	isolated int
	fillers  []net.Conn
	drop     [directions]bool
	delay    [directions]time.Duration
	// repliesToLose is how many replies, to requests that contain loseMatch, are still
	// to be discarded.
	repliesToLose int
	loseMatch     []byte
	lostReplies   int
	// answer serves new connections in the target's place; nil forwards them. answered are those that it
	// serves.
	answer   func(net.Conn)
	answered map[*net.TCPConn]struct{}
}

// Listen starts a proxy on the address listen ("ip:port", port 0 for a free port)
// that forwards connections to target.
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
		answered: make(map[*net.TCPConn]struct{}),
	}
	p.goroutines.Add(1)
	go p.accept()
	return p, nil
}

// Address returns "ip:port" of the listener.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Freeze holds back all data in both directions until Thaw. Connections stay open,
// as when a host is paused.
func (p *Proxy) Freeze() { p.set(func() { p.frozen = true }) }

// FreezeClients is Freeze for the connections whose client address match accepts,
// open and later ones, until Thaw. It isolates one client of several.
func (p *Proxy) FreezeClients(match func(client string) bool) {
	p.set(func() {
		p.clientFrozen = match
		for l := range p.links {
			l.frozen = match(l.client())
		}
	})
}

// FrozenConnections returns how many open connections FreezeClients has frozen.
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

// FreezeFor is Freeze, followed by Thaw after d.
func (p *Proxy) FreezeFor(d time.Duration) {
	p.Freeze()
	time.AfterFunc(d, p.Thaw)
}

// Thaw ends Freeze, FreezeClients and FreezeFor; the data held back is delivered.
func (p *Proxy) Thaw() {
	p.set(func() {
		p.frozen, p.clientFrozen = false, nil
		for l := range p.links {
			l.frozen = false
		}
	})
}

// Delay delays all data of a direction by d.
func (p *Proxy) Delay(dir Direction, d time.Duration) { p.set(func() { p.delay[dir] = d }) }

// Refuse resets new connections while on is set. Open ones aren't affected.
func (p *Proxy) Refuse(on bool) { p.set(func() { p.refuse = on }) }

// RefuseAfter has Refuse reset connections a time after they were accepted, so that a request may be written on
// them.
func (p *Proxy) RefuseAfter(d time.Duration) { p.set(func() { p.refuseAfter = d }) }

// Drop discards the data of a direction while on is set, which makes connections
// half-open. When it is switched off, connections that have lost data are reset,
// since no network delivers a TCP stream with a gap.
func (p *Proxy) Drop(dir Direction, on bool) {
	p.set(func() {
		p.drop[dir] = on
		for l := range p.links {
			if !on && l.bytesLost[dir] {
				l.resetBoth()
				delete(p.links, l)
			}
		}
	})
}

// LoseReplies forwards the next n requests that contain match, discards their
// replies and resets their connections when the reply begins: the request takes
// effect, but the client can't know. A nil match means every request.
func (p *Proxy) LoseReplies(n int, match []byte) {
	p.set(func() { p.repliesToLose, p.loseMatch = n, match })
}

// LostReplies returns how many replies LoseReplies has discarded so far.
func (p *Proxy) LostReplies() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lostReplies
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
			l.resetBoth()
			delete(p.links, l)
		}
		for conn := range p.answered {
			reset(conn)
		}
	})
}

// AnswerWith has new connections served by a function in the target's place; nil forwards them again.
func (p *Proxy) AnswerWith(answer func(net.Conn)) { p.set(func() { p.answer = answer }) }

// serveAnswer serves a connection in the target's place. It reports whether it did.
func (p *Proxy) serveAnswer(client *net.TCPConn) bool {
	p.mu.Lock()
	answer := p.answer
	if answer == nil {
		p.mu.Unlock()
		return false
	}
	p.answered[client] = struct{}{}
	p.mu.Unlock()
	answer(client)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.answered, client)
	client.Close()
	return true
}

// Close stops the proxy, resets its connections and waits for its goroutines.
func (p *Proxy) Close() {
	p.set(func() {
		p.closed = true
		p.closeFillers()
	})
	p.listener.Close()
	p.ResetConnections()
	p.goroutines.Wait()
}

// set applies a change of state under the lock and wakes the goroutines that hold
// data back.
func (p *Proxy) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) accept() {
	defer p.goroutines.Done()
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.awaitReconnect()
		p.goroutines.Add(1)
		go p.connect(conn.(*net.TCPConn))
	}
}

func (p *Proxy) connect(client *net.TCPConn) {
	defer p.goroutines.Done()
	p.mu.Lock()
	refuse, after := p.refuse || p.closed, p.refuseAfter
	p.mu.Unlock()
	if refuse {
		time.Sleep(after)
		reset(client)
		return
	}
	if p.serveAnswer(client) {
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	l := &link{ends: [directions]*net.TCPConn{Upstream: client, Downstream: server.(*net.TCPConn)}, done: make(chan struct{})}
	if !p.register(l) {
		l.resetBoth()
		return
	}
	for dir := range directions {
		queue := make(chan chunk, queueLength)
		p.goroutines.Add(2)
		go p.receive(l, dir, queue)
		go p.forward(l, dir, queue)
	}
}

// register adds a link, or returns false if the proxy is closed.
func (p *Proxy) register(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.links[l] = struct{}{}
		l.frozen = p.clientFrozen != nil && p.clientFrozen(l.client())
	}
	return !p.closed
}

// matchRequest marks the link if this chunk of a request matches LoseReplies. A
// match that spans two chunks isn't found.
func (p *Proxy) matchRequest(l *link, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.repliesToLose > 0 && bytes.Contains(data, p.loseMatch) {
		p.repliesToLose--
		l.loseReply = true
	}
}

// decide returns what to do with a chunk that is due now. For hold, changed is
// closed when the decision may be different.
func (p *Proxy) decide(l *link, dir Direction) (d disposition, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case dir == Downstream && l.loseReply:
		if !l.replyLost {
			// Counted once per reply: the end of the reset connection arrives as a
			// further chunk.
			l.replyLost = true
			p.lostReplies++
		}
		return resetLink, nil
	case p.drop[dir]:
		l.bytesLost[dir] = true
		return discard, nil
	case l.bytesLost[dir]:
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
