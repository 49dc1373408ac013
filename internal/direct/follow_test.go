package direct

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"skylarklead/internal/fleet"
)

// hangingStore answers at once, except for calls that begin during an outage: those hang until
// their callers give up, even if the outage ends earlier.
type hangingStore struct {
	fleet.Store
	from, to time.Time
	answered time.Time
}

func (s *hangingStore) Read(ctx context.Context, _ string, from uint64, wait time.Duration) (fleet.Page, error) {
	began := time.Now()
	hangs := func() bool { return !began.Before(s.from) && began.Before(s.to) }
	until := began.Add(wait)
	if !hangs() && began.Before(s.from) && until.After(s.from) {
		// A long poll in progress when the outage begins is never answered.
		<-ctx.Done()
		return fleet.Page{}, ctx.Err()
	}
	if hangs() {
		<-ctx.Done()
		return fleet.Page{}, ctx.Err()
	}
	if s.answered.IsZero() && !began.Before(s.to) {
		s.answered = began
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return fleet.Page{}, ctx.Err()
	}
	return fleet.Page{Next: from, End: from}, nil
}

// An entry must read the store soon after a silent outage ends. A call that begins in the last
// moment of the outage hangs until its timeout. With the timeout of a long poll of a quiet topic,
// an entry would still refuse a restored key three seconds after the outage.
func TestOutageIsOverSoonAfterItsEnd(t *testing.T) {
	const soon = 2700 * time.Millisecond
	for phase := time.Duration(0); phase < 3*time.Second; phase += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			store := &hangingStore{from: began.Add(time.Second), to: began.Add(9*time.Second + phase)}
			ctx, cancel := context.WithCancel(t.Context())
			f := newFollower(store, "topic", slog.New(slog.DiscardHandler))
			f.readWait = operatorReadWait
			go f.run(ctx)
			time.Sleep(phase + 15*time.Second)
			cancel()
			synctest.Wait()
			if late := store.answered.Sub(store.to); store.answered.IsZero() || late > soon {
				t.Errorf("outage of %v: the first answered call begins %v after its end", store.to.Sub(store.from), late)
			}
		})
	}
}
