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
	// pingInterval and pingTimeout detect a half-open session: the peer's host has
	// failed or is partitioned and no reset ever arrives. The session would otherwise
	// look open until the kernel's timeout, minutes later.
	pingInterval = 2 * time.Second
	pingTimeout  = 2 * time.Second
	// idlePingInterval is the ping interval of a session on which nothing waits. Such
	// pings only clean up the sessions of dead peers: a wait that begins shortens the
	// interval to pingInterval, and the members of a group receive each other's
	// heartbeats. At a shorter interval, pings would be most of an entry's control
	// traffic at 600 replicas.
	idlePingInterval = time.Minute
	// acceptorPingInterval is the idle ping interval of the accepting side. It is
	// longer, because the acceptor receives the dialer's pings while the dialer lives.
	acceptorPingInterval = 90 * time.Second
)

// noKernelKeepalive disables TCP keepalive. Its probes, one each 15 s from both ends,
// would cost several times as much as the pings.
const noKernelKeepalive = -1

// maxHeadBytes bounds the head of the answer to a request for a session.
const maxHeadBytes = 16 << 10

// sessionClient dials sessions.
var sessionClient = &http.Client{Transport: &http.Transport{
	DialContext:            (&net.Dialer{KeepAlive: noKernelKeepalive}).DialContext,
	MaxResponseHeaderBytes: maxHeadBytes,
}}

// Listen listens for sessions on address, "ip:port".
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: noKernelKeepalive}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("wire: %w", err)
	}
	return l, nil
}

// liveness records when something was last received from the peer.
type liveness struct {
	// idlePing is the silence after which to ping while nothing waits for the peer.
	idlePing     time.Duration
	start        time.Time
	lastReceived atomic.Int64 // nanoseconds since start
}

func newLiveness(idle time.Duration) *liveness { return &liveness{idlePing: idle, start: time.Now()} }

func (l *liveness) markReceived() { l.lastReceived.Store(int64(time.Since(l.start))) }

// silence returns the time since something was last received.
func (l *liveness) silence() time.Duration {
	return time.Since(l.start) - time.Duration(l.lastReceived.Load())
}

// onPing records the peer's ping. It returns true, so that the ping is answered.
func (l *liveness) onPing(context.Context, []byte) bool {
	l.markReceived()
	return true
}

// untilPing returns the time until the next ping, unless something is received
// before; 0 or less means now. Anything received proves that the peer is alive: a
// stream brings a chunk every few milliseconds and a peer in the group a heartbeat
// every second. Pings in addition to those would be a third of the control traffic at
// the size of docs/CAPACITY.md. A wait that has just begun on a session that has been
// silent for long gets a full pingInterval too.
func (l *liveness) untilPing(awaited bool, waited, silence time.Duration) time.Duration {
	if awaited {
		return pingInterval - min(waited, silence)
	}
	return l.idlePing - silence
}

// keepalive pings the peer when a ping is due and closes the session if the ping
// isn't answered. In between it sleeps until the next ping may be due or a wait
// begins: a periodic tick for each of hundreds of sessions would cost more than all
// their pings.
func (s *Session) keepalive() {
	timer := time.NewTimer(s.liveness.idlePing)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-timer.C:
		case <-s.waitStarted:
		}
		next := s.nextPing()
		if next <= 0 {
			if err := s.ping(); err != nil {
				s.Close(fmt.Errorf("%w: ping failed or not answered: %v", ErrClosed, err))
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
	return s.liveness.untilPing(s.awaitedLocked(), time.Since(s.awaitedSince), s.liveness.silence())
}

// beginWaitLocked wakes keepalive if this is the first wait. Callers hold mu and
// count the wait afterwards.
func (s *Session) beginWaitLocked() {
	if s.awaitedLocked() {
		return
	}
	s.awaitedSince = time.Now()
	select {
	case s.waitStarted <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// awaitedLocked reports whether something waits for the peer. Callers hold mu.
func (s *Session) awaitedLocked() bool { return s.waiters > 0 || len(s.calls) > 0 }

func (s *Session) ping() error {
	ctx, cancel := context.WithTimeout(s.ctx, pingTimeout)
	defer cancel()
	if err := s.conn.Ping(ctx); err != nil {
		return err
	}
	s.liveness.markReceived()
	return nil
}
