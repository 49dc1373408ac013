package origin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a stream that is joined from two versions because reports of it arrive late, twice or
// in another order, whatever was reported.
func TestReportsInAnyOrderAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.SampledFrom([]Software{Unknown, 1, 2}), 1, 6).Draw(t, "reports")
		shuffled := rapid.Permutation(reports).Draw(t, "shuffled")
		got := map[Software]bool{}
		for _, order := range [][]Software{reports, shuffled} {
			table := NewTable(8, time.Minute)
			for i, software := range order {
				table.Record(7, software, time.Duration(i))
			}
			software, ok := table.Lookup(7, 10)
			if !ok {
				t.Fatal("not recorded")
			}
			got[software] = true
		}
		if len(got) != 1 {
			t.Fatalf("%v and %v differ: %v", reports, shuffled, got)
		}
		for _, software := range reports {
			if software != reports[0] && !got[Unknown] {
				t.Fatalf("%v: known as %v", reports, got)
			}
		}
	})
}

// Guards against entries that ask others than those that were told, after some have been lost: with up
// to HolderCount-1 holders lost somebody who is asked knows the stream.
func TestSomebodyAskedKnowsTheStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 300).Draw(t, "entries")
		all := make([]string, n)
		for i := range all {
			all[i] = fmt.Sprint("entry-", i)
		}
		s := Stream(rapid.Uint64().Draw(t, "stream"))
		began, asks := rapid.SampledFrom(all).Draw(t, "began"), rapid.SampledFrom(all).Draw(t, "asks")
		told := append(Holders(s, began, all), began)
		if slices.Contains(told, asks) {
			return // it knows the stream itself
		}
		asked := Holders(s, asks, rapid.Permutation(all).Draw(t, "list"))
		lost := rapid.IntRange(0, HolderCount-1).Draw(t, "lost")
		if len(asked) < HolderCount && n > HolderCount {
			t.Fatalf("%s asks %v of %d", asks, asked, n)
		}
		for _, id := range asked[min(lost, len(asked)):] {
			if slices.Contains(told, id) {
				return
			}
		}
		t.Fatalf("%s was told by %s, %s asks %v", told, began, asks, asked)
	})
}

// Guards against a table that grows with traffic, and one that knows streams of which no caller is left.
func TestTableForgets(t *testing.T) {
	table := NewTable(2, time.Second)
	for s := range Stream(3) {
		table.Record(s, 1, 0)
	}
	if _, ok := table.Lookup(0, 0); ok {
		t.Error("the oldest stream is kept beyond the size")
	}
	if _, ok := table.Lookup(2, 2*time.Second); ok {
		t.Error("a stream is kept beyond its time")
	}
	if SoftwareOf("s", "") != Unknown || SoftwareOf("s", "v1") == SoftwareOf("s", "v1.1") || SoftwareOf("s", "v1") == SoftwareOf("t", "v1") {
		t.Error("versions aren't told apart")
	}
}
