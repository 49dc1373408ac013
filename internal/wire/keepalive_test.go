package wire

import (
	"context"
	"testing"
	"time"
)

// Symptom: half of an entry's control traffic is pings. Sequence: sessions carry
// streams, or heartbeats of a group, and are pinged all the same. Cause: a ping
// that is due by the clock alone, whatever the peer has just sent.
func TestPingIsDueAfterSilenceOnly(t *testing.T) {
	p := newPulse(idlePingInterval)
	for _, tt := range []struct {
		name    string
		awaited bool
		silence time.Duration
		want    bool
	}{
		{"stream flows", true, 25 * time.Millisecond, false},
		{"stream silent", true, pingInterval, true},
		{"heartbeats flow", false, time.Second, false},
		{"idle for less than the idle interval", false, pingInterval, false},
		{"waited on after a long silence", true, idlePingInterval - 1, true},
		{"idle", false, idlePingInterval, true},
	} {
		if got := p.pingDue(tt.awaited, tt.silence); got != tt.want {
			t.Errorf("%s: due %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestMessagesAndPingsAreSignsOfLife(t *testing.T) {
	acceptor, dialer := newEnd("b"), newEnd("a")
	address, _ := acceptor.serve(t)
	s := dialer.dial(t, address)
	if _, err := call(s, "one"); err != nil {
		t.Fatal(err)
	}
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
	if err := s.conn.Ping(ctx); err != nil {
		t.Fatal(err)
	}
	if back.pulse.at.Load() <= heard {
		t.Error("the ping was no sign of life to the acceptor")
	}
}
