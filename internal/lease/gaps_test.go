package lease

import (
	"math/rand/v2"
	"testing"
	"time"
)

// appended returns the record that actions ask to append, nil if there is none.
func appended(actions []Action) []byte {
	for _, a := range actions {
		if a, ok := a.(Append); ok {
			return a.Data
		}
	}
	return nil
}

// Guards against a process that takes a lease for free since it can't read the records of its holder.
func TestNoClaimBeforeAnUnknownHolderHasEnded(t *testing.T) {
	const start = time.Hour
	settled := start + DefaultParams.Duration + DefaultParams.Margin
	for _, tt := range []struct {
		name string
		act  func(*Leases)
	}{
		{"the log may be an older copy", func(l *Leases) { l.HistoryDoubtful(start) }},
		{"the log begins later", func(l *Leases) { l.Truncated(50, start) }},
		{"the log was restored", func(l *Leases) { l.LogRestored(1<<40, start) }},
	} {
		l := NewLeases("b", 2, DefaultParams, rand.New(rand.NewPCG(1, 2)))
		tt.act(l)
		l.CaughtUp(start)
		if appended(l.Acquire("x", start)) != nil || appended(l.Tick(settled-time.Millisecond)) != nil {
			t.Errorf("%s: the lease is claimed though another process may hold it", tt.name)
		}
		if appended(l.Tick(settled)) == nil {
			t.Errorf("%s: the lease isn't claimed after %v", tt.name, settled-start)
		}
	}
}

// Guards against a restarted process that takes its predecessor for the last holder, though the log is an
// older copy.
func TestNoReclaimFromAnOlderCopy(t *testing.T) {
	params := DefaultParams
	params.RestartReclaims = true
	l := NewLeases("a", 3, params, rand.New(rand.NewPCG(1, 3)))
	data, err := Encode(&Record{Kind: KindClaim, Name: "x", Holder: "a", Epoch: 1, DurationMs: 5200, Seq: 1})
	if err != nil {
		t.Fatal(err)
	}
	l.HistoryDoubtful(time.Hour)
	l.ApplyRecord(1, data, time.Hour)
	l.CaughtUp(time.Hour)
	if appended(l.Acquire("x", time.Hour)) != nil {
		t.Error("the lease is reclaimed at once")
	}
}

// Guards against a holder that keeps its lease though another process's claim is among the records that it
// couldn't read.
func TestALeaseIsLostWithTheRecordsOfOthers(t *testing.T) {
	l := NewLeases("a", 1, DefaultParams, rand.New(rand.NewPCG(1, 1)))
	l.CaughtUp(0)
	l.ApplyRecord(1, appended(l.Acquire("x", 0)), 0)
	if _, ok := l.Check("x", 0); !ok {
		t.Fatal("a free lease isn't granted")
	}
	l.Truncated(2, 0)
	if _, ok := l.Check("x", 0); !ok {
		t.Error("the lease is lost though no record was missed")
	}
	l.Truncated(3, 0)
	if _, ok := l.Check("x", 0); ok {
		t.Error("the lease is held though a record was missed")
	}
}

// Guards against a reader that takes a lease for free after a release that was appended late, behind the claim of
// the present holder, which it couldn't read.
func TestALateReleaseAfterAGapFreesNothing(t *testing.T) {
	l := NewLeases("a", 1, DefaultParams, rand.New(rand.NewPCG(1, 1)))
	record := func(r *Record) []byte {
		r.Name, r.Epoch, r.DurationMs = "x", 1, DefaultParams.Duration.Milliseconds()
		data, err := Encode(r)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	l.Truncated(50, 0)
	l.ApplyRecord(50, record(&Record{Kind: KindRelease, Holder: "b", Fence: 40}), 0)
	l.CaughtUp(0)
	l.Acquire("x", 0)
	for offset, now := uint64(51), time.Second; now < time.Minute; offset, now = offset+1, now+4*time.Second {
		if appended(l.ApplyRecord(offset, record(&Record{Kind: KindRenew, Holder: "c", Fence: 45}), now)) != nil {
			t.Fatalf("claimed after %v though another process renews the lease", now)
		}
	}
}
