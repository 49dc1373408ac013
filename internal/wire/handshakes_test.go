package wire

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"skylarklead/internal/protocol"
)

// A process is started with a wrong key. It reads its configuration from the log and
// has nothing to send before the first caller's request. Unless it tries its key and
// distinguishes a refusal from an unreachable peer, it reports ready and each of its
// requests fails.
func TestAWrongKeyIsFoundBeforeItIsNeeded(t *testing.T) {
	otherKey := []byte("another key of thirty-two bytes!")
	for _, tt := range []struct {
		name     string
		keys     [][]byte // of the peers
		down     bool     // one more peer is listed that doesn't listen
		refused  int
		accepted bool
	}{
		{"lone first process", nil, false, 0, false},
		{"nobody listens", nil, true, 0, false},
		{"the fleet's key", [][]byte{fleetKey, fleetKey}, true, 0, true},
		{"wrong key", [][]byte{otherKey, otherKey}, true, 2, false},
		{"one peer's is wrong", [][]byte{otherKey, fleetKey}, false, 0, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var addresses []string
			for _, key := range tt.keys {
				peer := newNode("peer")
				peer.key = key
				address, _ := peer.serve(t)
				addresses = append(addresses, address)
			}
			if tt.down {
				addresses = append(addresses, "127.0.0.1:1")
			}
			opts := newNode("self").options()
			opts.Handshakes = NewHandshakes()
			pool := NewPool(opts)
			defer pool.Close()
			pool.VerifyKey(context.Background(), addresses)
			refusers, changed := opts.Handshakes.RefusalsChanged()
			if len(refusers) != tt.refused || changed != (tt.refused > 0) || opts.Handshakes.keyAccepted() != tt.accepted || !slices.IsSorted(refusers) {
				t.Errorf("refused by %v, changed %v, accepted %v", refusers, changed, opts.Handshakes.keyAccepted())
			}
			if _, again := opts.Handshakes.RefusalsChanged(); again {
				t.Error("an unchanged result reported as changed")
			}
		})
	}
}

func TestOpeningsForget(t *testing.T) {
	o, daemon := NewHandshakes(), protocol.Identity{Role: protocol.RoleEntry}
	refuse := func() { o.recordFailure("b", errors.Join(ErrUnauthenticated)) }
	now := time.Now()
	for _, step := range []struct {
		name    string
		do      func()
		at      time.Time
		refused int
	}{
		{"unreachable", func() { o.recordFailure("b", context.DeadlineExceeded) }, now, 0},
		{"refused", refuse, now, 1},
		{"a tool has the same key", func() { o.recordSession(protocol.Identity{Role: protocol.RoleTool}, "c") }, now, 1},
		{"a daemon accepts the key", func() { defer o.recordSession(daemon, "a")() }, now, 0},
		{"another refuses", refuse, now, 0},
		{"long after its session's end", func() {}, now.Add(handshakeTTL / 2), 0},
		{"both too long ago", func() {}, now.Add(2 * handshakeTTL), 0},
		{"refused again", refuse, now, 1},
		{"the refusing peer accepts it", func() { o.recordSession(daemon, "b") }, now.Add(2 * handshakeTTL), 0},
	} {
		step.do()
		if refusers, _ := o.evaluate(step.at); len(refusers) != step.refused {
			t.Errorf("%s: refused by %v", step.name, refusers)
		}
	}
}
