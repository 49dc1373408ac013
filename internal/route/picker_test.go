package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarklead/internal/route"
)

func newPicker() *route.Picker {
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

// levelsOf returns the levels of a prompt with a common part and one of its own.
func levelsOf(prefix string) []route.PrefixLevel {
	return route.PrefixLevels("m/", []string{"common", prefix}, []int{2500, 3800})
}

// placement returns a placement of all levels of a prompt.
func placement(prefix, replica string, prefilled bool) route.Placement {
	p := route.Placement{Replica: route.ReplicaKey(replica), Prefilled: prefilled}
	for _, level := range levelsOf(prefix) {
		p.Levels = append(p.Levels, level.Key)
	}
	return p
}

// loads returns a peer's loads keyed by ReplicaKey.
func loads(byID map[string]route.Load) map[uint64]route.Load {
	byKey := map[uint64]route.Load{}
	for id, l := range byID {
		byKey[route.ReplicaKey(id)] = l
	}
	return byKey
}

func pick(t testing.TB, picker *route.Picker, now time.Duration, q *route.PickQuery, c []route.PickCandidate) route.PickResult {
	t.Helper()
	choice, ok := picker.Pick(now, q, c)
	if !ok {
		t.Fatal("no replica picked")
	}
	return choice
}

// Guards against a first choice that depends on the entry: each entry would have the same
// instructions prefilled at another replica.
func TestEntriesAgreeOnAHome(t *testing.T) {
	a, b := newPicker(), newPicker()
	for i := range 50 {
		q := prompt(fmt.Sprint("p", i))
		if x, y := pick(t, a, 0, q, engines(18, 1)), pick(t, b, 0, q, engines(18, 1)); x.ID != y.ID {
			t.Fatalf("prefix %d: one entry picks %s, another %s", i, x.ID, y.ID)
		}
	}
}

func TestPrefixGoesWhereItIsHeld(t *testing.T) {
	picker := newPicker()
	q := prompt("p")
	picker.ApplyPlacements([]route.Placement{placement("p", "r07", true)}, 0)
	if got := pick(t, picker, 0, q, engines(18, 1)); got.ID != "r07" || got.MissingTokens != 0 {
		t.Fatalf("picked %+v; a peer has just sent it to r07", got)
	}
}

// Guards against prefilling a part that all prompts share at each spill, although every other
// replica holds it: no replica on the same weights has a prompt's last shared part, all have the
// first, and prompts are identified by their last shared part alone.
func TestTheFirstLevelIsFetchedWhereItIsHeld(t *testing.T) {
	picker := newPicker()
	picker.ApplyPlacements([]route.Placement{placement("other", "r01", true)}, 0)
	q := prompt("p")
	q.Exclude = []string{"r01"}
	got := pick(t, picker, 0, q, engines(2, 1))
	if got.ID != "r00" || got.Donor != "r01" || got.DonorTokens != 2500 {
		t.Fatalf("picked %+v; r01 holds the 2500 tokens that all prompts begin with", got)
	}
	if plan := picker.PlanCache(0, q, &got, "m@1/", nil); plan.Donor != "r01" {
		t.Errorf("%+v; there is no store, and r01 holds a part", plan)
	}
	if plan := picker.PlanCache(0, q, &got, "m@1/", []string{"10.0.0.1:80"}); plan.Store == "" || plan.Donor != "" {
		t.Errorf("%+v; a store may hold all", plan)
	}
	q.Exclude = nil
	if got := pick(t, picker, 0, q, engines(2, 1)); got.ID != "r01" {
		t.Errorf("picked %+v; r01 lacks 3800 tokens, r00 6300", got)
	}
}

// Guards against sending requests where their prefix has been evicted and is prefilled anew,
// without a lookup of where it can be fetched. Many prompts go through one replica within
// seconds, or few. An engine evicts the least recently used blocks once its memory is full: 3 s
// after the last use under load, 30 s after it without.
func TestPrefixStaysUntilAsMuchWasTakenIn(t *testing.T) {
	resident := func(others int) bool {
		picker := newPicker()
		c := engines(1, 1)
		c[0].MemoryTokens = 100_000
		first := pick(t, picker, 0, prompt("p"), c)
		picker.Dispatched(0, prompt("p"), &first)
		picker.FirstEvent(0, prompt("p"), &first, time.Millisecond)
		picker.Finished(prompt("p"), &first, true)
		for i := range others {
			q := prompt(fmt.Sprint("other", i))
			choice := pick(t, picker, 0, q, c)
			picker.Dispatched(0, q, &choice)
			picker.Finished(q, &choice, false)
		}
		return pick(t, picker, 10*time.Second, prompt("p"), c).MissingTokens == 0
	}
	if !resident(3) {
		t.Error("not expected in the cache after three other prompts, though it has room for ten")
	}
	if resident(30) {
		t.Error("still expected in the cache after thirty other prompts, though it has room for ten")
	}
}

// Tokens that peers sent to a replica evict a prefix just as this entry's do.
func TestPeersTokensPushOut(t *testing.T) {
	picker := newPicker()
	c := engines(1, 1)
	c[0].MemoryTokens = 100_000
	picker.ApplyPlacements([]route.Placement{placement("p", "r00", true)}, 0)
	added := uint16(65_000) // the count wraps around
	picker.UpdatePeerLoads("entry-2", 1, 1, loads(map[string]route.Load{"r00": {AddedTokens: added}}), 0)
	added += 120_000 / route.AddedTokensUnit
	picker.UpdatePeerLoads("entry-2", 1, 2, loads(map[string]route.Load{"r00": {AddedTokens: added}}), 0)
	if got := pick(t, picker, time.Second, prompt("p"), c); got.MissingTokens == 0 {
		t.Error("still expected in the cache after a peer added 120,000 tokens to one of 100,000")
	}
}

// A replica that has loaded other weights has lost its cache.
func TestEmptiedReplicaHoldsNothing(t *testing.T) {
	picker := newPicker()
	picker.ApplyPlacements([]route.Placement{placement("p", "r00", true)}, 0)
	picker.CacheCleared("r00", time.Second)
	if got := pick(t, picker, 2*time.Second, prompt("p"), engines(1, 1)); got.Reason == "prefix_held" {
		t.Errorf("%+v", got)
	}
}

// Guards against prefilling shared instructions anew at every spill because the replica isn't
// told where to fetch them.
func TestSpillFetchesFromAHolderOnTheSameWeights(t *testing.T) {
	picker := newPicker()
	q := prompt("p")
	c := engines(4, 1)
	c[0].Version = 2
	picker.ApplyPlacements([]route.Placement{
		placement("p", "r00", true),
		placement("p", "r01", true),
		placement("p", "r02", false),
	}, 0)
	q.Exclude = []string{"r00", "r01", "r02"}
	got := pick(t, picker, 0, q, c)
	if got.ID != "r03" || got.Donor != "r01" || got.DonorTokens != 6300 {
		t.Fatalf("picked %+v; r00 has other weights and r02 is still prefilling", got)
	}
}

// 25 entries that know only their own loads all send to the same idle replica, even if each has
// little to dispatch; with the peers' reports the next one picks another.
func TestPeersLoadsCount(t *testing.T) {
	picker := newPicker()
	q := &route.PickQuery{PromptTokens: 700}
	c := engines(2, 1)
	picker.UpdatePeerLoads("entry-2", 1, 1, loads(map[string]route.Load{"r00": {PrefillTokens: 15000, Running: 3}}), 0)
	if got := pick(t, picker, 0, q, c); got.ID != "r01" {
		t.Fatalf("picked %s, where a peer has 300 ms of prefill", got.ID)
	}
	picker.UpdatePeerLoads("entry-2", 1, 0, nil, 0)
	if got := pick(t, picker, 0, q, c); got.ID != "r01" {
		t.Fatal("an older report of the same peer replaced its latest")
	}
	if picker.PeerLoadsKnown(time.Minute) {
		t.Fatal("a peer without a report for a minute still counts")
	}
}

// 25 entries choose within the age of one peer message among 46 replicas that all look nearly
// idle. If all looked at every replica, all would send to the same one, where the last waits for
// 24 others; with four drawn at random no replica may get more than a few.
func TestEntriesThatChooseTogetherSpread(t *testing.T) {
	got := map[string]int{}
	c := engines(46, 1)
	for e := range 25 {
		picker := route.NewPicker(route.DefaultPickerParams, rand.New(rand.NewPCG(uint64(e), 7)))
		for i := range c {
			picker.UpdatePeerLoads("entry-x", 1, 1, loads(map[string]route.Load{c[i].ID: {PrefillTokens: 50 * float64(i)}}), 0)
		}
		choice := pick(t, picker, 0, &route.PickQuery{PromptTokens: 700, Sample: 4}, c)
		got[choice.ID]++
	}
	for id, n := range got {
		if n > 5 {
			t.Errorf("%d of 25 entries chose %s", n, id)
		}
	}
}

func TestLoadBound(t *testing.T) {
	picker := newPicker()
	q := &route.PickQuery{PromptTokens: 700, MaxWaitMs: 200}
	picker.UpdatePeerLoads("entry-2", 1, 1, loads(map[string]route.Load{"r00": {PrefillTokens: 15000}, "r01": {PrefillTokens: 15000}}), 0)
	if got, ok := picker.Pick(0, q, engines(2, 1)); ok {
		t.Fatalf("picked %+v beyond the bound", got)
	}
	q.MaxWaitMs = 0
	pick(t, picker, 0, q, engines(2, 1))
}

// Guards against a replica that is idle for seconds before its weights load: it is announced as
// next, and the choice doesn't consider how long a request stays, so streams of seconds are still
// sent to it.
func TestLongStreamsAvoidReplicasWhoseTurnIsNear(t *testing.T) {
	picker := newPicker()
	c := engines(2, 1)
	c[0].RolloutPlanned, c[0].RolloutIn = true, time.Second
	long := &route.PickQuery{PromptTokens: 700, OutputTokens: 400}
	picker.UpdatePeerLoads("entry-2", 1, 1, loads(map[string]route.Load{"r01": {PrefillTokens: 5000}}), 0)
	if got := pick(t, picker, 0, long, c); got.ID != "r01" {
		t.Fatal("a stream of three seconds went where a weights load starts in one")
	}
	short := &route.PickQuery{PromptTokens: 700, OutputTokens: 50}
	if got := pick(t, picker, 0, short, c); got.ID != "r00" {
		t.Fatal("a short request avoids a replica that it would leave in time")
	}
}

// The load of every request is removed when it ends, whatever its outcome.
func TestLoadsAreGivenBack(t *testing.T) {
	picker := newPicker()
	q := prompt("p")
	for i := range 100 {
		choice := pick(t, picker, 0, q, engines(3, 1))
		picker.Dispatched(0, q, &choice)
		firstEventSeen := i%2 == 0
		if firstEventSeen {
			picker.FirstEvent(0, q, &choice, time.Millisecond)
		}
		picker.Finished(q, &choice, firstEventSeen)
	}
	for replica, l := range picker.Loads() {
		if l.PrefillTokens != 0 || l.Running != 0 {
			t.Errorf("remaining load at %x: %+v", replica, l)
		}
	}
}

func BenchmarkFeedPick(b *testing.B) {
	for _, n := range []int{18, 60, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			picker, c := newPicker(), engines(n, 1)
			for e := range 25 {
				picker.UpdatePeerLoads(fmt.Sprint("entry-", e), 1, 1, loads(map[string]route.Load{"r03": {PrefillTokens: 2500, Running: 1}}), 0)
			}
			q := prompt("p")
			b.ReportAllocs()
			for b.Loop() {
				pick(b, picker, 0, q, c)
			}
		})
	}
}

// Guards against prefilling a third of the shared parts again and again although three KV stores
// together have room for all: more prefixes are in use than one store has room for, and all
// entries use the same store.
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

// Guards against short prefixes that queue at a KV store. A short prefix spills and the replica
// is told to fetch it from the store, which sends one prefix after another; the long ones ahead
// take 20 to 40 ms each. Requests whose instructions an engine prefills in 4 ms then started
// after 683 ms at the 90th percentile, while those with a donor started after 142.
func TestShortPrefixesDontWaitForAStore(t *testing.T) {
	stores := []string{"10.0.0.1:80", "10.0.0.2:80"}
	levels := route.PrefixLevels("m/", []string{"p"}, []int{6300})
	store := route.StoreFor(levels[0].Key, stores)
	for _, c := range []struct {
		name   string
		tokens int
		choice route.PickResult
		want   route.CachePlan
	}{
		{"tiny", 20, route.PickResult{Donor: "r01", DonorTokens: 20}, route.CachePlan{}},
		{"short, guessed donor", 198, route.PickResult{Donor: "r01", MissingTokens: 198}, route.CachePlan{Donor: "r01"}},
		{"short, held", 198, route.PickResult{}, route.CachePlan{}},
		{"long, guessed donor", 6300, route.PickResult{Donor: "r01"}, route.CachePlan{Store: store, SaveTo: store}},
		{"long, known donor", 6300, route.PickResult{Donor: "r01", DonorTokens: 6300}, route.CachePlan{Donor: "r01", SaveTo: store}},
		{"long, held", 6300, route.PickResult{}, route.CachePlan{Store: store, SaveTo: store}},
	} {
		q := &route.PickQuery{Levels: levels, SharedTokens: c.tokens, PromptTokens: c.tokens + 600}
		if got := newPicker().PlanCache(0, q, &c.choice, "m@1/", stores); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

// A prefix is saved to its KV store once in a while, by whichever entry comes first: a save
// includes the request's own part, which nobody fetches again.
func TestPrefixIsKeptOnceAmongAllEntries(t *testing.T) {
	a, b := newPicker(), newPicker()
	q := prompt("p")
	stores := []string{"10.0.0.1:80"}
	if a.PlanCache(0, q, &route.PickResult{}, "m@1/", stores).SaveTo == "" {
		t.Fatal("not saved at first")
	}
	b.ApplyPlacements(a.PlacementsToSend(0, 1, 8), 0)
	if b.PlanCache(0, q, &route.PickResult{}, "m@1/", stores).SaveTo != "" {
		t.Fatal("saved again by a peer that knew of the save")
	}
	if b.PlanCache(0, q, &route.PickResult{}, "m@2/", stores).SaveTo == "" {
		t.Fatal("not saved under other weights")
	}
}

// Guards against placements that are never sent because earlier ones are repeated in their place.
func TestEachPlacementIsToldThoughWordsAreRare(t *testing.T) {
	const (
		perMessage = 14
		room       = 14
		interval   = 510 * time.Millisecond
	)
	picker := newPicker()
	received := map[uint64]bool{}
	total := 0
	for message := range 6 {
		now := time.Duration(message) * interval
		for range perMessage {
			q := prompt(fmt.Sprint("p", total))
			choice, ok := picker.Pick(now, q, engines(3, 1))
			if !ok {
				t.Fatal("no replica")
			}
			picker.Dispatched(now, q, &choice)
			picker.FirstEvent(now, q, &choice, 100*time.Millisecond)
			picker.Finished(q, &choice, true)
			total++
		}
		for _, sent := range picker.PlacementsToSend(now-2*interval, 2, room) {
			received[sent.Levels[len(sent.Levels)-1]] = true
		}
	}
	if len(received) < total {
		t.Errorf("%d of %d placements were sent", len(received), total)
	}
}

// Guards against a peer's load that expires before its next message arrives.
func TestPeersLoadsCountUntilTheirNextWord(t *testing.T) {
	const interval = 510 * time.Millisecond
	picker := newPicker()
	picker.SetPeerInterval(interval)
	picker.UpdatePeerLoads("entry-2", 1, 1, loads(map[string]route.Load{"r00": {PrefillTokens: 50_000, Running: 5}}), 0)
	for now := time.Duration(0); now < 2*interval; now += 50 * time.Millisecond {
		// The second message is lost.
		if choice, ok := picker.Pick(now, &route.PickQuery{PromptTokens: 700}, engines(2, 1)); !ok || choice.ID == "r00" {
			t.Fatalf("%v after the peer's report its load isn't known", now)
		}
	}
}
