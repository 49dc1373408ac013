package wire

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"skylarklead/internal/protocol"
)

// Symptom: a process says that it is ready and each of its requests fails.
// Sequence: it is started with another key than the fleet's; it reads its
// configuration from the log and has nothing to send before the first caller comes.
// Cause: nothing told a refused key from a peer that is gone, and nobody tried.
func TestAWrongKeyIsFoundBeforeItIsNeeded(t *testing.T) {
	strange := []byte("another key of thirty-two bytes!")
	for _, tt := range []struct {
		name    string
		keys    [][]byte // of the peers
		down    bool     // one more peer is listed that doesn't listen
		refused int
		proven  bool
	}{
		{"lone first process", nil, false, 0, false},
		{"nobody listens", nil, true, 0, false},
		{"the fleet's key", [][]byte{fleetKey, fleetKey}, true, 0, true},
		{"wrong key", [][]byte{strange, strange}, true, 2, false},
		{"one peer's is wrong", [][]byte{strange, fleetKey}, false, 0, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var addresses []string
			for _, key := range tt.keys {
				peer := newEnd("peer")
				peer.key = key
				address, _ := peer.serve(t)
				addresses = append(addresses, address)
			}
			if tt.down {
				addresses = append(addresses, "127.0.0.1:1")
			}
			opts := newEnd("self").options()
			opts.Handshakes = NewHandshakes()
			pool := NewPool(opts)
			defer pool.Close()
			pool.VerifyKey(context.Background(), addresses)
			refusers, news := opts.Handshakes.RefusalsChanged()
			if len(refusers) != tt.refused || news != (tt.refused > 0) || opts.Handshakes.proven() != tt.proven || !slices.IsSorted(refusers) {
				t.Errorf("refused by %v, news %v, proven %v", refusers, news, opts.Handshakes.proven())
			}
			if _, again := opts.Handshakes.RefusalsChanged(); again {
				t.Error("the same is news twice")
			}
		})
	}
}

func TestOpeningsForget(t *testing.T) {
	o, daemon := NewHandshakes(), protocol.Identity{Role: protocol.RoleEntry}
	refuse := func() { o.failed("b", errors.Join(ErrUnauthenticated)) }
	now := time.Now()
	for _, step := range []struct {
		name    string
		do      func()
		at      time.Time
		refused int
	}{
		{"unreachable", func() { o.failed("b", context.DeadlineExceeded) }, now, 0},
		{"refused", refuse, now, 1},
		{"a tool has the same key", func() { o.opened(protocol.Identity{Role: protocol.RoleTool}, "c") }, now, 1},
		{"a daemon lets it in", func() { defer o.opened(daemon, "a")() }, now, 0},
		{"another refuses", refuse, now, 0},
		{"long after its session's end", func() {}, now.Add(openingLife / 2), 0},
		{"both too long ago", func() {}, now.Add(2 * openingLife), 0},
		{"refused again", refuse, now, 1},
		{"the refuser lets it in", func() { o.opened(daemon, "b") }, now.Add(2 * openingLife), 0},
	} {
		step.do()
		if refusers, _ := o.look(step.at); len(refusers) != step.refused {
			t.Errorf("%s: refused by %v", step.name, refusers)
		}
	}
}
