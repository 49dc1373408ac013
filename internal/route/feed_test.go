package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarklead/internal/route"
)

func newFeed() *route.Picker {
	return route.NewPicker(route.DefaultPickerParams, rand.New(rand.NewPCG(1, 2)))
}

func engines(n int, version uint64) []route.PickCandidate {
	list := make([]route.PickCandidate, n)
	for i := range list {
		list[i] = route.PickCandidate{ID: fmt.Sprintf("r%02d", i), Version: version, Slots: 64, Engine: true}
	}
	return list
}

func prompt(prefix string) *route.PickQuery {
	return &route.PickQuery{Levels: levelsOf(prefix), SharedTokens: 6300, PromptTokens: 9200, OutputTokens: 50}
}

// levelsOf is a prompt of a common part and one of its own.
func levelsOf(prefix string) []route.PrefixLevel {
	return route.PrefixLevels("m/", []string{"common", prefix}, []int{2500, 3800})
}

// placement tells of all levels of a prompt.
func placement(prefix, replica string, read bool) route.Placement {
	p := route.Placement{Replica: route.ReplicaKey(replica), Prefilled: read}
	for _, level := range levelsOf(prefix) {
		p.Levels = append(p.Levels, level.Key)
	}
	return p
}

// loads are a peer's loads by replica.
func loads(byID map[string]route.Load) map[uint64]route.Load {
	out := map[uint64]route.Load{}
	for id, l := range byID {
		out[route.ReplicaKey(id)] = l
	}
	return out
}

func pick(t testing.TB, f *route.Picker, now time.Duration, q *route.PickQuery, c []route.PickCandidate) route.PickResult {
	t.Helper()
	choice, ok := f.Pick(now, q, c)
	if !ok {
		t.Fatal("no replica picked")
	}
	return choice
}

// Symptom: each entry reads the same instructions at another replica. Cause: a first
// choice that depends on the entry.
func TestEntriesAgreeOnAHome(t *testing.T) {
	a, b := newFeed(), newFeed()
	for i := range 50 {
		q := prompt(fmt.Sprint("p", i))
		if x, y := pick(t, a, 0, q, engines(18, 1)), pick(t, b, 0, q, engines(18, 1)); x.ID != y.ID {
			t.Fatalf("prefix %d: one entry picks %s, another %s", i, x.ID, y.ID)
		}
	}
}

func TestPrefixGoesWhereItIsHeld(t *testing.T) {
	f := newFeed()
	q := prompt("p")
	f.ApplyPlacements([]route.Placement{placement("p", "r07", true)}, 0)
	if got := pick(t, f, 0, q, engines(18, 1)); got.ID != "r07" || got.MissingTokens != 0 {
		t.Fatalf("picked %+v; a peer has just sent it to r07", got)
	}
}

// Symptom: a part that all prompts share is read anew at each spill, though every other
// replica holds it.
// Sequence: no replica on the same weights has a prompt's last shared part; all have the
// first.
// Cause: prompts known by their last shared part alone.
func TestTheFirstLevelIsFetchedWhereItIsHeld(t *testing.T) {
	f := newFeed()
	f.ApplyPlacements([]route.Placement{placement("other", "r01", true)}, 0)
	q := prompt("p")
	q.Exclude = []string{"r01"}
	got := pick(t, f, 0, q, engines(2, 1))
	if got.ID != "r00" || got.Donor != "r01" || got.DonorTokens != 2500 {
		t.Fatalf("picked %+v; r01 holds the 2500 tokens that all prompts begin with", got)
	}
	if use := f.PlanCache(0, q, &got, "m@1/", nil); use.Donor != "r01" {
		t.Errorf("%+v; there is no store, and r01 holds a part", use)
	}
	if use := f.PlanCache(0, q, &got, "m@1/", []string{"10.0.0.1:80"}); use.Store == "" || use.Donor != "" {
		t.Errorf("%+v; a store may hold all", use)
	}
	q.Exclude = nil
	if got := pick(t, f, 0, q, engines(2, 1)); got.ID != "r01" {
		t.Errorf("picked %+v; r01 lacks 3800 tokens, r00 6300", got)
	}
}

// Symptom: requests go where their prefix was pushed out, and it is read anew without a
// look at where it can be fetched.
// Pattern: many prompts through one replica within seconds; the same with few. Grounds: an
// engine drops what was used least lately once its memory is full, 3 s after the last use
// under load where it was seen, 30 s without.
func TestPrefixStaysUntilAsMuchWasTakenIn(t *testing.T) {
	held := func(others int) bool {
		f := newFeed()
		c := engines(1, 1)
		c[0].MemoryTokens = 100_000
		first := pick(t, f, 0, prompt("p"), c)
		f.Dispatched(0, prompt("p"), &first)
		f.FirstEvent(0, prompt("p"), &first, time.Millisecond)
		f.Finished(prompt("p"), &first, true)
		for i := range others {
			q := prompt(fmt.Sprint("other", i))
			choice := pick(t, f, 0, q, c)
			f.Dispatched(0, q, &choice)
			f.Finished(q, &choice, false)
		}
		return pick(t, f, 10*time.Second, prompt("p"), c).MissingTokens == 0
	}
	if !held(3) {
		t.Error("not believed held after three other prompts in a cache for ten")
	}
	if held(30) {
		t.Error("believed held after thirty other prompts in a cache for ten")
	}
}

// What peers sent to a replica pushes a prefix out as well as what this entry did.
func TestPeersTokensPushOut(t *testing.T) {
	f := newFeed()
	c := engines(1, 1)
	c[0].MemoryTokens = 100_000
	f.ApplyPlacements([]route.Placement{placement("p", "r00", true)}, 0)
	taken := uint16(65_000) // the count wraps around
	f.UpdatePeerLoads("entry-2", 1, 1, loads(map[string]route.Load{"r00": {AddedTokens: taken}}), 0)
	taken += 120_000 / route.AddedTokensUnit
	f.UpdatePeerLoads("entry-2", 1, 2, loads(map[string]route.Load{"r00": {AddedTokens: taken}}), 0)
	if got := pick(t, f, time.Second, prompt("p"), c); got.MissingTokens == 0 {
		t.Error("believed held after a peer sent 120,000 tokens to a cache for 100,000")
	}
}

// A replica that has loaded other weights holds nothing of before.
func TestEmptiedReplicaHoldsNothing(t *testing.T) {
	f := newFeed()
	f.ApplyPlacements([]route.Placement{placement("p", "r00", true)}, 0)
	f.CacheCleared("r00", time.Second)
	if got := pick(t, f, 2*time.Second, prompt("p"), engines(1, 1)); got.Reason == "prefix_held" {
		t.Errorf("%+v", got)
	}
}

// Symptom: shared instructions are read anew at every spill. Cause: the replica isn't
// told where it can fetch them.
func TestSpillFetchesFromAHolderOnTheSameWeights(t *testing.T) {
	f := newFeed()
	q := prompt("p")
	c := engines(4, 1)
	c[0].Version = 2
	f.ApplyPlacements([]route.Placement{
		placement("p", "r00", true),
		placement("p", "r01", true),
		placement("p", "r02", false),
	}, 0)
	q.Exclude = []string{"r00", "r01", "r02"}
	got := pick(t, f, 0, q, c)
	if got.ID != "r03" || got.Donor != "r01" || got.DonorTokens != 6300 {
		t.Fatalf("picked %+v; r00 has other weights and r02 is still reading", got)
	}
}

// Pattern: many entries, each with little to place. Grounds: 25 entries that know
// only their own loads send to the same idle replica; with the others' words the
// next one picks another.
func TestPeersLoadsCount(t *testing.T) {
	f := newFeed()
	q := &route.PickQuery{PromptTokens: 700}
	c := engines(2, 1)
	f.UpdatePeerLoads("entry-2", 1, 1, loads(map[string]route.Load{"r00": {PrefillTokens: 15000, Running: 3}}), 0)
	if got := pick(t, f, 0, q, c); got.ID != "r01" {
		t.Fatalf("picked %s, where a peer has 300 ms of reading", got.ID)
	}
	f.UpdatePeerLoads("entry-2", 1, 0, nil, 0)
	if got := pick(t, f, 0, q, c); got.ID != "r01" {
		t.Fatal("an older word of the same peer replaced its latest")
	}
	if f.PeerLoadsKnown(time.Minute) {
		t.Fatal("a peer that was silent for a minute still counts")
	}
}

// Pattern: 25 entries choose within one datagram's age, of 46 replicas that all look
// idle but for a hair. Grounds: if all look at all replicas, all send to the same one,
// where the last waits for 24 others; with four drawn at random no replica may get
// more than a few.
func TestEntriesThatChooseTogetherSpread(t *testing.T) {
	got := map[string]int{}
	c := engines(46, 1)
	for e := range 25 {
		f := route.NewPicker(route.DefaultPickerParams, rand.New(rand.NewPCG(uint64(e), 7)))
		for i := range c {
			f.UpdatePeerLoads("entry-x", 1, 1, loads(map[string]route.Load{c[i].ID: {PrefillTokens: 50 * float64(i)}}), 0)
		}
		choice := pick(t, f, 0, &route.PickQuery{PromptTokens: 700, Sample: 4}, c)
		got[choice.ID]++
	}
	for id, n := range got {
		if n > 5 {
			t.Errorf("%d of 25 entries chose %s", n, id)
		}
	}
}

func TestLoadBound(t *testing.T) {
	f := newFeed()
	q := &route.PickQuery{PromptTokens: 700, MaxWaitMs: 200}
	f.UpdatePeerLoads("entry-2", 1, 1, loads(map[string]route.Load{"r00": {PrefillTokens: 15000}, "r01": {PrefillTokens: 15000}}), 0)
	if got, ok := f.Pick(0, q, engines(2, 1)); ok {
		t.Fatalf("picked %+v beyond the bound", got)
	}
	q.MaxWaitMs = 0
	pick(t, f, 0, q, engines(2, 1))
}

// Symptom: a replica stands idle for seconds before its load. Sequence: it is
// announced as next; streams of seconds are still sent to it. Cause: a choice that
// doesn't know how long a request stays.
func TestLongStreamsAvoidReplicasWhoseTurnIsNear(t *testing.T) {
	f := newFeed()
	c := engines(2, 1)
	c[0].RolloutPlanned, c[0].RolloutIn = true, time.Second
	long := &route.PickQuery{PromptTokens: 700, OutputTokens: 400}
	f.UpdatePeerLoads("entry-2", 1, 1, loads(map[string]route.Load{"r01": {PrefillTokens: 5000}}), 0)
	if got := pick(t, f, 0, long, c); got.ID != "r01" {
		t.Fatal("a stream of three seconds went where weights are loaded in one")
	}
	short := &route.PickQuery{PromptTokens: 700, OutputTokens: 50}
	if got := pick(t, f, 0, short, c); got.ID != "r00" {
		t.Fatal("a short request avoids a replica that it would leave in time")
	}
}

// The work of every request that ended is taken off again, whatever came of it.
func TestLoadsAreGivenBack(t *testing.T) {
	f := newFeed()
	q := prompt("p")
	for i := range 100 {
		choice := pick(t, f, 0, q, engines(3, 1))
		f.Dispatched(0, q, &choice)
		began := i%2 == 0
		if began {
			f.FirstEvent(0, q, &choice, time.Millisecond)
		}
		f.Finished(q, &choice, began)
	}
	for replica, l := range f.Loads() {
		if l.PrefillTokens != 0 || l.Running != 0 {
			t.Errorf("left over at %x: %+v", replica, l)
		}
	}
}

func BenchmarkFeedPick(b *testing.B) {
	for _, n := range []int{18, 60, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, c := newFeed(), engines(n, 1)
			for e := range 25 {
				f.UpdatePeerLoads(fmt.Sprint("entry-", e), 1, 1, loads(map[string]route.Load{"r03": {PrefillTokens: 2500, Running: 1}}), 0)
			}
			q := prompt("p")
			b.ReportAllocs()
			for b.Loop() {
				pick(b, f, 0, q, c)
			}
		})
	}
}

// TestPrefixesAreSpreadOverStoresOfKeptCache
//
// Symptom: with three stores of kept cache a third of the shared parts were read
// again and again although the stores together have room for all.
//
// Sequence: more prefixes are in use than one store has room for.
//
// Cause: all entries used the same one of the stores.
func TestPrefixesAreSpreadOverStoresOfKeptCache(t *testing.T) {
	stores := []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}
	const prefixes = 1200
	in := map[string]int{}
	moved := 0
	for i := range prefixes {
		name := xxhash.Sum64String(fmt.Sprintf("model//%x", i))
		at := route.StoreFor(name, stores)
		in[at]++
		if at != stores[1] && route.StoreFor(name, []string{stores[2], stores[0]}) != at {
			moved++
		}
	}
	for _, s := range stores {
		if in[s] < prefixes/4 || in[s] > prefixes*5/12 {
			t.Errorf("store %s has %d of %d prefixes", s, in[s], prefixes)
		}
	}
	if moved > 0 {
		t.Errorf("%d prefixes moved though their store is still there", moved)
	}
	if at := route.StoreFor(1, nil); at != "" {
		t.Errorf("without stores: %q", at)
	}
}

// TestShortPrefixesDontWaitForAStore
//
// Symptom: requests whose instructions an engine reads in 4 ms began after 683 ms,
// one in ten, while those that a replica was named for began after 142.
//
// Sequence: a short prefix spills; the replica is told to fetch it from the store.
//
// Cause: a store sends one prefix after the other, and the long ones before it take
// 20 to 40 ms each.
func TestShortPrefixesDontWaitForAStore(t *testing.T) {
	stores := []string{"10.0.0.1:80", "10.0.0.2:80"}
	levels := route.PrefixLevels("m/", []string{"p"}, []int{6300})
	kept := route.StoreFor(levels[0].Key, stores)
	for _, c := range []struct {
		name   string
		tokens int
		choice route.PickResult
		want   route.CachePlan
	}{
		{"tiny", 20, route.PickResult{Donor: "r01", DonorTokens: 20}, route.CachePlan{}},
		{"short, guessed holder", 198, route.PickResult{Donor: "r01", MissingTokens: 198}, route.CachePlan{Donor: "r01"}},
		{"short, held", 198, route.PickResult{}, route.CachePlan{}},
		{"long, guessed holder", 6300, route.PickResult{Donor: "r01"}, route.CachePlan{Store: kept, SaveTo: kept}},
		{"long, known holder", 6300, route.PickResult{Donor: "r01", DonorTokens: 6300}, route.CachePlan{Donor: "r01", SaveTo: kept}},
		{"long, held", 6300, route.PickResult{}, route.CachePlan{Store: kept, SaveTo: kept}},
	} {
		q := &route.PickQuery{Levels: levels, SharedTokens: c.tokens, PromptTokens: c.tokens + 600}
		if got := newFeed().PlanCache(0, q, &c.choice, "m@1/", stores); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

// A prefix is sent to its store once in a while, by whichever entry comes first:
// with it goes the request's own part, which nobody asks for again.
func TestPrefixIsKeptOnceAmongAllEntries(t *testing.T) {
	a, b := newFeed(), newFeed()
	q := prompt("p")
	stores := []string{"10.0.0.1:80"}
	if a.PlanCache(0, q, &route.PickResult{}, "m@1/", stores).SaveTo == "" {
		t.Fatal("not kept at first")
	}
	b.ApplyPlacements(a.PlacementsToSend(0, 1, 8), 0)
	if b.PlanCache(0, q, &route.PickResult{}, "m@1/", stores).SaveTo != "" {
		t.Fatal("kept again by a peer that was told")
	}
	if b.PlanCache(0, q, &route.PickResult{}, "m@2/", stores).SaveTo == "" {
		t.Fatal("not kept under other weights")
	}
}

// Guards against placements that are never told, as earlier ones are repeated in their place.
func TestEachPlacementIsToldThoughWordsAreRare(t *testing.T) {
	const (
		between = 14
		room    = 14
		pause   = 510 * time.Millisecond
	)
	f := newFeed()
	heard := map[uint64]bool{}
	placed := 0
	for word := range 6 {
		now := time.Duration(word) * pause
		for range between {
			q := prompt(fmt.Sprint("p", placed))
			choice, ok := f.Pick(now, q, engines(3, 1))
			if !ok {
				t.Fatal("no replica")
			}
			f.Dispatched(now, q, &choice)
			f.FirstEvent(now, q, &choice, 100*time.Millisecond)
			f.Finished(q, &choice, true)
			placed++
		}
		for _, p := range f.PlacementsToSend(now-2*pause, 2, room) {
			heard[p.Levels[len(p.Levels)-1]] = true
		}
	}
	if len(heard) < placed {
		t.Errorf("%d of %d placements were told", len(heard), placed)
	}
}

// Guards against a peer's load that counts no more before its next word comes.
func TestPeersLoadsCountUntilTheirNextWord(t *testing.T) {
	const pause = 510 * time.Millisecond
	f := newFeed()
	f.SetPeerInterval(pause)
	f.UpdatePeerLoads("entry-2", 1, 1, loads(map[string]route.Load{"r00": {PrefillTokens: 50_000, Running: 5}}), 0)
	for now := time.Duration(0); now < 2*pause; now += 50 * time.Millisecond {
		// The second word is lost.
		if choice, ok := f.Pick(now, &route.PickQuery{PromptTokens: 700}, engines(2, 1)); !ok || choice.ID == "r00" {
			t.Fatalf("%v after the peer's word its load isn't known", now)
		}
	}
}
