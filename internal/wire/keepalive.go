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

// pingIn returns in what time to ask for a sign of life, unless one comes before.
// What the peer sends of its own is one: a stream brings a chunk each few
// milliseconds and a group's peer a heartbeat each second. Pings on top of those
// were a third of the control traffic at the size of docs/CAPACITY.md. A wait
// that has just begun on a long silent session gets as long as any.
func (p *pulse) pingIn(awaited bool, waited, silence time.Duration) time.Duration {
	if awaited {
		return pingInterval - min(waited, silence)
	}
	return p.idle - silence
}

// keepalive sleeps until a ping may be due. It is woken when a wait begins: a
// tick for each of hundreds of sessions would cost more than all their pings.
func (s *Session) keepalive() {
	timer := time.NewTimer(s.pulse.idle)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-timer.C:
		case <-s.waitBegan:
		}
		next := s.nextPing()
		if next <= 0 {
			if err := s.ping(); err != nil {
				s.Close(fmt.Errorf("%w: no answer to ping: %v", ErrClosed, err))
				return
			}
			next = s.nextPing()
		}
		timer.Reset(next)
	}
}

func (s *Session) nextPing() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pulse.pingIn(s.isAwaited(), time.Since(s.awaitedAt), s.pulse.silence())
}

// beginWait is called, with mu held, before a wait is counted.
func (s *Session) beginWait() {
	if s.isAwaited() {
		return
	}
	s.awaitedAt = time.Now()
	select {
	case s.waitBegan <- struct{}{}:
	default: // it is to be woken already
	}
}

// isAwaited is awaited with mu held.
func (s *Session) isAwaited() bool { return s.holds > 0 || len(s.calls) > 0 }

func (s *Session) ping() error {
	ctx, cancel := context.WithTimeout(s.ctx, pingTimeout)
	defer cancel()
	if err := s.conn.Ping(ctx); err != nil {
		return err
	}
	s.pulse.beat()
	return nil
}
