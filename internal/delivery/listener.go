// Package delivery delays the close of a server's connections until their peers have what was written to
// them.
//
// The kernel resets a connection that is closed while input on it is unread, and drops the output that it
// hasn't delivered: the peer loses the end of an answer that the server takes for sent. Where a process ends
// together with its network namespace, undelivered output goes with it.
package delivery

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// DefaultLimit is how long a close is delayed for a peer that takes nothing.
	DefaultLimit = 2 * time.Second
	// checkInterval is the pause between checks whether a peer has everything, some round trips. It doubles up
	// to maxCheckInterval while the peer takes nothing.
	checkInterval    = 5 * time.Millisecond
	maxCheckInterval = 100 * time.Millisecond
)

// Listener accepts connections whose Close is delayed while output is undelivered, unless their peers take
// nothing for its limit.
type Listener struct {
	net.Listener
	limit time.Duration

	mu sync.Mutex
	// open are the connections that were accepted and aren't closed yet.
	open map[*conn]struct{}
	// closing is the number of connections whose close is delayed; none is closed when it falls to 0.
	closing int
	none    chan struct{}
}

// NewListener wraps a TCP listener.
func NewListener(l net.Listener, limit time.Duration) *Listener {
	return &Listener{Listener: l, limit: limit, open: make(map[*conn]struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	wrapped := &conn{TCPConn: tcp, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[wrapped] = struct{}{}
	return wrapped, nil
}

// Closing returns the number of connections whose close is delayed.
func (l *Listener) Closing() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closing
}

// Undelivered returns the number of connections, of those that are open too, whose peers still take output.
func (l *Listener) Undelivered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, now := l.closing, time.Now()
	for c := range l.open {
		if c.takesOutput(now) {
			n++
		}
	}
	return n
}

// Wait waits until no close is delayed, or ctx ends. It returns the number of those that are left.
func (l *Listener) Wait(ctx context.Context) int {
	l.mu.Lock()
	none, closing := l.none, l.closing
	l.mu.Unlock()
	if closing == 0 {
		return 0
	}
	select {
	case <-none:
	case <-ctx.Done():
	}
	return l.Closing()
}

func (l *Listener) closed(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

func (l *Listener) closeDelayed(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	if l.closing == 0 {
		l.none = make(chan struct{})
	}
	l.closing++
}

func (l *Listener) closeDone() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing--; l.closing == 0 {
		close(l.none)
	}
}
