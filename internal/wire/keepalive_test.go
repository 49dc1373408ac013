package wire

import (
	"context"
	"errors"
	"testing"
	"time"

	"skylarklead/internal/faultproxy"
	"skylarklead/test/kit"
)

// Symptom: half of an entry's control traffic is pings. Sequence: sessions carry
// streams, or heartbeats of a group, and are pinged all the same. Cause: a ping
// that is due by the clock alone, whatever the peer has just sent.
func TestPingIsDueAfterSilenceOnly(t *testing.T) {
	p := newPulse(idlePingInterval)
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
		if got := p.pingIn(tt.awaited, tt.waited, tt.silence); (got <= 0) != tt.due {
			t.Errorf("%s: due in %v, want now: %v", tt.name, got, tt.due)
		}
	}
}

// Symptom: a caller waits a minute for a host that is gone.
// Sequence: a session lies idle; its peer freezes; somebody asks.
// Cause: keepalive sleeps until the idle ping.
func TestBeginOfAWaitWakesKeepalive(t *testing.T) {
	acceptor, dialer := newEnd("b"), newEnd("a")
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
	if s.pulse.at.Load() == 0 {
		t.Error("the reply was no sign of life to the dialer")
	}
	acceptor.mu.Lock()
	back := acceptor.sessions[0]
	acceptor.mu.Unlock()
	heard := back.pulse.at.Load()
	if heard == 0 {
		t.Error("the call was no sign of life to the acceptor")
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	kit.OK(t, s.conn.Ping(ctx))
	if back.pulse.at.Load() <= heard {
		t.Error("the ping was no sign of life to the acceptor")
	}
}
