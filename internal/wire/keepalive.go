package wire

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// pingInterval and pingTimeout find a peer that is half-open: its host is
	// gone or cut off but no reset ever arrives. The session would otherwise
	// look alive until the kernel gives up, minutes later.
	pingInterval = 2 * time.Second
	pingTimeout  = 2 * time.Second
	// idlePingInterval is that of a session on which nothing waits. It only lets
	// go of what dead peers leave behind: whoever begins to wait on a session
	// that has been silent makes a ping due at once, and a group hears its
	// members' heartbeats. More often, it would be most of an entry's control
	// traffic at 600 replicas.
	idlePingInterval = time.Minute
	// acceptorPingInterval is the same at the accepting side, which hears the
	// dialer's pings as long as there is a dialer.
	acceptorPingInterval = 90 * time.Second
	// keepaliveTick is how often a session is looked at, and so what finding a
	// silent peer may take beyond the interval and the timeout.
	keepaliveTick = 500 * time.Millisecond
)

// noProbes turns off the kernel's own probes of a connection. At one each 15 s
// from both ends they would cost several times what the pings do.
const noProbes = -1

// dialer opens sessions.
var dialer = &http.Client{Transport: &http.Transport{
	DialContext: (&net.Dialer{KeepAlive: noProbes}).DialContext,
}}

// Listen listens for sessions on address, "ip:port".
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: noProbes}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("wire: %w", err)
	}
	return l, nil
}

// pulse is when something last came from the peer.
type pulse struct {
	// idle is the silence after which to ping while nobody waits.
	idle  time.Duration
	start time.Time
	at    atomic.Int64 // nanoseconds since start
}

func newPulse(idle time.Duration) *pulse { return &pulse{idle: idle, start: time.Now()} }

func (p *pulse) beat() { p.at.Store(int64(time.Since(p.start))) }

// silence is how long nothing has come.
func (p *pulse) silence() time.Duration {
	return time.Since(p.start) - time.Duration(p.at.Load())
}

// pinged takes the peer's ping; it is answered in any case.
func (p *pulse) pinged(context.Context, []byte) bool {
	p.beat()
	return true
}

// pingDue reports whether to ask for a sign of life. What the peer sends of its
// own is one: a stream brings a chunk each few milliseconds and a group's peer a
// heartbeat each second. Pings on top of those were a third of the control
// traffic at the size of docs/CAPACITY.md.
func (p *pulse) pingDue(awaited bool, silence time.Duration) bool {
	if awaited {
		return silence >= pingInterval
	}
	return silence >= p.idle
}

func (s *Session) keepalive() {
	ticker := time.NewTicker(keepaliveTick)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		if !s.pulse.pingDue(s.awaited(), s.pulse.silence()) {
			continue
		}
		if err := s.ping(); err != nil {
			s.Close(fmt.Errorf("%w: no answer to ping: %v", ErrClosed, err))
			return
		}
	}
}

func (s *Session) ping() error {
	ctx, cancel := context.WithTimeout(s.ctx, pingTimeout)
	defer cancel()
	if err := s.conn.Ping(ctx); err != nil {
		return err
	}
	s.pulse.beat()
	return nil
}
