package platform

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	client "skylarklead/internal/platform"
)

// clock is a clock that the test sets.
type clock struct{ t time.Time }

func newClock() *clock { return &clock{time.Unix(1000, 0)} }

func (c *clock) now() time.Time { return c.t }

func TestRetentionByAge(t *testing.T) {
	c := newClock()
	r := newRecordLog(c.now)
	keep := retention{age: time.Minute}
	r.append("s", [][]byte{[]byte("a")})
	c.t = c.t.Add(40 * time.Second)
	r.append("s", [][]byte{[]byte("b")})
	if page, _, err := r.read("s", 1, 10, keep); err != nil || len(page.Records) != 2 {
		t.Errorf("before: %+v, %v", page, err)
	}
	c.t = c.t.Add(40 * time.Second)
	if page, _, err := r.read("s", 1, 10, keep); err != errExpired || page.Oldest != 2 {
		t.Errorf("after: %+v, %v", page, err)
	}
	c.t = c.t.Add(40 * time.Second)
	if page, _, err := r.read("s", 3, 10, keep); err != nil || page.Oldest != 3 || page.Next != 3 {
		t.Errorf("nothing left: %+v, %v", page, err)
	}
}

// With any sequence of appends, expiry and reads, a reader that follows the pages
// gets every record once and in order, or an error with the oldest offset.
func TestReadersMissNothingSilently(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newClock()
		r := newRecordLog(c.now)
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
				next = readOnePage(t, r, keep, next, written)
			}
		}
	})
}

// readOnePage reads and checks the page at offset next, and returns the offset at
// which the reader continues.
func readOnePage(t *rapid.T, r *recordLog, keep retention, next uint64, written [][]byte) uint64 {
	limit := rapid.IntRange(1, 5).Draw(t, "limit")
	page, _, err := r.read("s", next, limit, keep)
	if err != nil {
		if page.Oldest <= next || page.Oldest > uint64(len(written))+1 {
			t.Fatalf("read at offset %d: expired, with oldest offset %d", next, page.Oldest)
		}
		return page.Oldest
	}
	for _, record := range page.Records {
		if record.Offset != next || !bytes.Equal(record.Data, written[next-1]) {
			t.Fatalf("read %+v, want offset %d", record, next)
		}
		next++
	}
	if page.Next != next || len(page.Records) > limit {
		t.Fatalf("page of %d records has next offset %d, want %d", len(page.Records), page.Next, next)
	}
	if len(page.Records) == 0 && next != uint64(len(written))+1 {
		t.Fatalf("empty page at offset %d of %d", next, len(written))
	}
	return next
}

func TestListLagsAndFreezes(t *testing.T) {
	c := newClock()
	const lag = 10 * time.Second
	i := newInstanceList(c.now, []client.Instance{{ID: "a"}})
	expect := func(when, want string) {
		t.Helper()
		got := ""
		for _, instance := range i.visible(lag) {
			got += instance.ID
		}
		if got != want {
			t.Errorf("%s: shows %q, want %q", when, got, want)
		}
	}
	expect("at the start", "a")
	i.put(client.Instance{ID: "b"}, false)
	expect("before the lag", "a")
	c.t = c.t.Add(lag)
	expect("after the lag", "ab")
	i.remove("a", false)
	i.freeze(true, lag)
	c.t = c.t.Add(lag)
	expect("frozen", "ab")
	i.freeze(false, lag)
	expect("thawed", "b")
	i.set(nil, true)
	expect("at once", "")
}

func TestWeightsSlowDownPastTheBound(t *testing.T) {
	tests := []struct {
		fetches int
		want    time.Duration
	}{{1, time.Second}, {3, time.Second}, {6, 2 * time.Second}}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			var w weightStore
			start := time.Now()
			for range test.fetches {
				go w.fetch(t.Context(), time.Second, 3)
			}
			synctest.Wait()
			if n := w.active.Load(); n != int64(test.fetches) {
				t.Fatalf("%d fetches in progress", n)
			}
			time.Sleep(test.want - time.Millisecond)
			if n := w.active.Load(); n != int64(test.fetches) {
				t.Errorf("%d of %d in progress just before %v", n, test.fetches, test.want)
			}
			time.Sleep(100 * time.Millisecond)
			if n := w.active.Load(); n != 0 {
				t.Errorf("%d of %d in progress at %v", n, test.fetches, time.Since(start))
			}
		})
	}
}
