package direct

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"skylarklead/internal/fleet"
)

// silentStore answers at once, but for calls that begin in an outage: those hang until
// their callers give up, also when the outage is over.
type silentStore struct {
	fleet.Store
	from, to time.Time
	answered time.Time
}

func (s *silentStore) Read(ctx context.Context, _ string, from uint64, wait time.Duration) (fleet.Page, error) {
	began := time.Now()
	hangs := func() bool { return !began.Before(s.from) && began.Before(s.to) }
	until := began.Add(wait)
	if !hangs() && began.Before(s.from) && until.After(s.from) {
		// A long poll that the outage meets under way is never answered.
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

// Symptom: three seconds after a silent outage of the store an entry still refuses a
// key that was given back during it. Sequence: a long poll that began in the outage's
// last moment hangs for its whole time. Cause: the time of a quiet topic's long poll
// used where nothing says that the store answers.
func TestOutageIsOverSoonAfterItsEnd(t *testing.T) {
	const soon = 2700 * time.Millisecond
	for phase := time.Duration(0); phase < 3*time.Second; phase += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			store := &silentStore{from: began.Add(time.Second), to: began.Add(9*time.Second + phase)}
			ctx, cancel := context.WithCancel(t.Context())
			f := newFollower(store, "topic", slog.New(slog.DiscardHandler))
			f.readWait = operatorWait
			go f.run(ctx)
			time.Sleep(phase + 15*time.Second)
			cancel()
			synctest.Wait()
			if late := store.answered.Sub(store.to); store.answered.IsZero() || late > soon {
				t.Errorf("outage of %v: the next call that is answered begins %v after its end", store.to.Sub(store.from), late)
			}
		})
	}
}
