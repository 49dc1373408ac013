package route_test

import (
	"fmt"
	"testing"
	"time"

	"skylarklead/internal/route"
)

// memoryTokens is the memory of a replica in these tests: that of ten prompts.
const memoryTokens = 96_000

// rankedFleet returns a picker that ranks donors, and replicas by turns in two failure domains. Those
// in holders, which have prefilled the prefix "p", have too much to do to be picked.
func rankedFleet(n int, holders ...int) (*route.Picker, []route.PickCandidate) {
	p, c := newPicker(), engines(n, 1)
	p.SetDonorRanking(true)
	for i := range c {
		c[i].MemoryTokens, c[i].FailureDomain = memoryTokens, []string{"a", "b"}[i%2]
	}
	busy := map[string]route.Load{}
	for _, i := range holders {
		busy[c[i].ID] = route.Load{PrefillTokens: 1e6, Running: 20 + i}
		p.ApplyPlacements([]route.Placement{placement("p", c[i].ID, true)}, 0)
	}
	p.UpdatePeerLoads("peer", 1, 1, loads(busy), 0)
	return p, c
}

// Load: all running slots of a prefix's holder are taken, so that prompts go elsewhere and fetch it.
func TestBusyReplicaIsTrustedAsDonor(t *testing.T) {
	p, c := rankedFleet(6, 3)
	for i := range 20 { // the mean request becomes as long as a prompt
		q := prompt(fmt.Sprint("other", i))
		choice := pick(t, p, 0, q, c[4:])
		p.Dispatched(0, q, &choice)
	}
	if choice := pick(t, p, 0, prompt("p"), c); choice.Donor != "r03" || choice.DonorTokens != 6300 {
		t.Fatalf("donor %s with %d tokens; r03 has just prefilled all of them", choice.Donor, choice.DonorTokens)
	}
}

// Guards against a donor that has evicted the prefix since.
func TestDonorIsNotTrustedOnceItsMemoryWasRefilled(t *testing.T) {
	p, c := rankedFleet(6, 3)
	for step, want := range []int{6300, 6300, 0} {
		added := uint16(step * memoryTokens / 3 / route.AddedTokensUnit)
		p.UpdatePeerLoads("peer", 1, uint64(step)+2, loads(map[string]route.Load{"r03": {PrefillTokens: 1e6, Running: 20, AddedTokens: added}}), 0)
		if choice := pick(t, p, 0, prompt("p"), c); choice.DonorTokens != want {
			t.Fatalf("after %d thirds of its memory were added, %s is trusted with %d tokens, want %d", step, choice.Donor, choice.DonorTokens, want)
		}
	}
}

// Load: a new version is named under load. Of 40 replicas 13 were crashed and are back empty, 13 have
// loaded the new version, one refused the request and one fails others.
func TestDonorCanStillSend(t *testing.T) {
	var holders []int
	for i := 1; i < 40; i++ {
		holders = append(holders, i)
	}
	p, c := rankedFleet(40, holders...)
	for i := 1; i < 14; i++ {
		p.CacheCleared(c[i].ID, time.Millisecond)
		c[i+13].Version = 2
	}
	q := prompt("p")
	q.Exclude = []string{"r28"}
	c[30].RecentFaults = true
	if choice := pick(t, p, 2*time.Millisecond, q, c); choice.ID != "r00" || choice.Donor != "r32" {
		t.Fatalf("%s fetches from %s; want r00 from r32, the first in its domain that has the prefix", choice.ID, choice.Donor)
	}
}

// Load: one prefix gets 28 in 100 of the prompts; each of its fetches would be from the first holder.
func TestFetchesOfAHotPrefixAreSpread(t *testing.T) {
	p, c := rankedFleet(40)
	for i := 10; i < 40; i++ {
		p.ApplyPlacements([]route.Placement{placement("p", c[i].ID, true)}, 0)
	}
	sends := map[string]int{}
	for range 280 {
		q := prompt("p")
		choice := pick(t, p, 0, q, c)
		p.Dispatched(0, q, &choice)
		if sends[choice.Donor]++; sends[choice.Donor] > 280/4 || (choice.Donor[2]-choice.ID[2])%2 != 0 {
			t.Fatalf("%s fetches from %s, in another domain or for the %dth time", choice.ID, choice.Donor, sends[choice.Donor])
		}
	}
}
