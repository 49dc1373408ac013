package wire

import (
	"context"
	"fmt"
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
	// keepaliveTick is how often a session is looked at, and so what finding a
	// silent peer may take beyond the interval and the timeout.
	keepaliveTick = 500 * time.Millisecond
)

// pulse is when something last came from the peer.
type pulse struct {
	start time.Time
	at    atomic.Int64 // nanoseconds since start
}

func newPulse() *pulse { return &pulse{start: time.Now()} }

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
func pingDue(awaited bool, silence time.Duration) bool {
	if awaited {
		return silence >= pingInterval
	}
	return silence >= idlePingInterval
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
		if !pingDue(s.awaited(), s.pulse.silence()) {
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
