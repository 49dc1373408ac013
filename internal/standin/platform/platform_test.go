package platform

import (
	"testing"
	"testing/synctest"
	"time"

	client "skylarklead/internal/platform"
)

// clock is a clock that a test moves.
type clock struct{ t time.Time }

func newClock() *clock { return &clock{time.Unix(1000, 0)} }

func (c *clock) now() time.Time { return c.t }

func TestRetentionByAge(t *testing.T) {
	c := newClock()
	r := newRecords(c.now)
	keep := retention{age: time.Minute}
	r.append("s", [][]byte{[]byte("a")})
	c.t = c.t.Add(40 * time.Second)
	r.append("s", [][]byte{[]byte("b")})
	if page, _, err := r.read("s", 1, 10, keep); err != nil || len(page.Records) != 2 {
		t.Errorf("before: %+v, %v", page, err)
	}
	c.t = c.t.Add(40 * time.Second)
	if page, _, err := r.read("s", 1, 10, keep); err != errRetained || page.Oldest != 2 {
		t.Errorf("after: %+v, %v", page, err)
	}
	c.t = c.t.Add(40 * time.Second)
	if page, _, err := r.read("s", 3, 10, keep); err != nil || page.Oldest != 3 || page.Next != 3 {
		t.Errorf("nothing left: %+v, %v", page, err)
	}
}

func TestListLagsAndFreezes(t *testing.T) {
	c := newClock()
	const lag = 10 * time.Second
	i := newInstances(c.now, []client.Instance{{ID: "a"}})
	shows := func(when, want string) {
		t.Helper()
		got := ""
		for _, instance := range i.shown(lag) {
			got += instance.ID
		}
		if got != want {
			t.Errorf("%s: shows %q, want %q", when, got, want)
		}
	}
	shows("at the start", "a")
	i.put(client.Instance{ID: "b"}, false)
	shows("before the lag", "a")
	c.t = c.t.Add(lag)
	shows("after the lag", "ab")
	i.remove("a", false)
	i.freeze(true, lag)
	c.t = c.t.Add(lag)
	shows("frozen", "ab")
	i.freeze(false, lag)
	shows("thawed", "b")
	i.set(nil, true)
	shows("at once", "")
}

func TestWeightsSlowDownPastTheBound(t *testing.T) {
	tests := []struct {
		fetches int
		want    time.Duration
	}{{1, time.Second}, {3, time.Second}, {6, 2 * time.Second}}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			var w weights
			start := time.Now()
			for range test.fetches {
				go w.fetch(t.Context(), time.Second, 3)
			}
			synctest.Wait()
			if n := w.fetching.Load(); n != int64(test.fetches) {
				t.Fatalf("%d fetches go on", n)
			}
			time.Sleep(test.want - time.Millisecond)
			if n := w.fetching.Load(); n != int64(test.fetches) {
				t.Errorf("%d of %d go on just before %v", n, test.fetches, test.want)
			}
			time.Sleep(100 * time.Millisecond)
			if n := w.fetching.Load(); n != 0 {
				t.Errorf("%d of %d go on at %v", n, test.fetches, time.Since(start))
			}
		})
	}
}
