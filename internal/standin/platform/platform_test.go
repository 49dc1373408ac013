package platform

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

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

// Whatever is appended, kept and read, a reader that follows the pages gets every
// record once and in order, or is told what the oldest one is.
func TestReadersMissNothingSilently(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newClock()
		r := newRecords(c.now)
		keep := retention{
			age:   time.Duration(rapid.IntRange(0, 5).Draw(t, "age")) * time.Second,
			count: rapid.IntRange(0, 8).Draw(t, "count"),
		}
		var written [][]byte
		next := uint64(1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				batch := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 3), 1, 4).Draw(t, "batch")
				if first, _ := r.append("s", batch); first != uint64(len(written))+1 {
					t.Fatalf("appended at %d, not %d", first, len(written)+1)
				}
				written = append(written, batch...)
			case 1:
				c.t = c.t.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			case 2:
				next = follow(t, r, keep, next, written)
			}
		}
	})
}

// follow reads one page as a reader at next would, and returns where it goes on.
func follow(t *rapid.T, r *records, keep retention, next uint64, written [][]byte) uint64 {
	limit := rapid.IntRange(1, 5).Draw(t, "limit")
	page, _, err := r.read("s", next, limit, keep)
	if err != nil {
		if page.Oldest <= next || page.Oldest > uint64(len(written))+1 {
			t.Fatalf("read %d: told that %d is the oldest", next, page.Oldest)
		}
		return page.Oldest
	}
	for _, record := range page.Records {
		if record.Offset != next || !bytes.Equal(record.Data, written[next-1]) {
			t.Fatalf("read %+v in place of %d", record, next)
		}
		next++
	}
	if page.Next != next || len(page.Records) > limit {
		t.Fatalf("page of %d goes on at %d, not %d", len(page.Records), page.Next, next)
	}
	if len(page.Records) == 0 && next != uint64(len(written))+1 {
		t.Fatalf("empty page at %d of %d", next, len(written))
	}
	return next
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
