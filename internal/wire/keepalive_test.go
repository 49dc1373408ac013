package wire

import (
	"context"
	"errors"
	"testing"
	"time"

	"skylarklead/internal/faultproxy"
	"skylarklead/test/kit"
)

// A session on which streams or heartbeats arrive needs no pings. If pings were due by
// time alone, they would be half of an entry's control traffic.
func TestPingIsDueAfterSilenceOnly(t *testing.T) {
	l := newLiveness(idlePingInterval)
	for _, tt := range []struct {
		name            string
		awaited         bool
		waited, silence time.Duration
		due             bool
	}{
		{"stream flows", true, time.Hour, 25 * time.Millisecond, false},
		{"stream silent", true, time.Hour, pingInterval, true},
		{"call has just begun after a long silence", true, time.Millisecond, time.Hour, false},
		{"call not answered", true, pingInterval, time.Hour, true},
		{"heartbeats flow", false, time.Hour, time.Second, false},
		{"idle for less than the idle interval", false, time.Hour, pingInterval, false},
		{"idle", false, time.Hour, idlePingInterval, true},
	} {
		if got := l.untilPing(tt.awaited, tt.waited, tt.silence); (got <= 0) != tt.due {
			t.Errorf("%s: due in %v, want now: %v", tt.name, got, tt.due)
		}
	}
}

// The peer of an idle session freezes, then a call begins. The call must wake
// keepalive; otherwise the caller waits up to a minute, until the next idle ping.
func TestBeginOfAWaitWakesKeepalive(t *testing.T) {
	acceptor, dialer := newNode("b"), newNode("a")
	address, _ := acceptor.serve(t)
	p := kit.Must(faultproxy.Listen("127.0.0.1:0", address))(t)
	t.Cleanup(p.Close)
	s := dialer.dial(t, p.Address())
	p.Freeze()
	if _, err := call(s, "first"); !errors.Is(err, ErrClosed) {
		t.Errorf("call: %v", err)
	}
	p.ResetConnections()
}

func TestMessagesAndPingsAreSignsOfLife(t *testing.T) {
	acceptor, s := openSession(t)
	kit.Must(call(s, "one"))(t)
	if s.liveness.lastReceived.Load() == 0 {
		t.Error("the reply was not recorded as received by the dialer")
	}
	acceptor.mu.Lock()
	acceptorSession := acceptor.sessions[0]
	acceptor.mu.Unlock()
	receivedAt := acceptorSession.liveness.lastReceived.Load()
	if receivedAt == 0 {
		t.Error("the call was not recorded as received by the acceptor")
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	kit.OK(t, s.conn.Ping(ctx))
	if acceptorSession.liveness.lastReceived.Load() <= receivedAt {
		t.Error("the ping was not recorded as received by the acceptor")
	}
}
