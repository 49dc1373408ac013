package spread

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func fleetOf(entries, domains int) []Peer {
	peers := make([]Peer, entries)
	for i := range peers {
		peers[i] = Peer{ID: fmt.Sprintf("entry-%d", i), FailureDomain: fmt.Sprintf("domain-%d", i%domains)}
	}
	return peers
}

func preferenceOrders(peers []Peer, fanIn int) map[string][]string {
	all := make(map[string][]string, len(peers))
	for at, p := range sharedOrder(slices.Clone(peers)) {
		all[p.ID] = preferenceOrder(sharedOrder(slices.Clone(peers)), at, fanIn)
	}
	return all
}

// Guards against a cycle of queries, in which nobody reads the store.
func TestExactlyOneEntryHasNobodyToAskAndNoneAsksInACircle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := fleetOf(rapid.IntRange(1, 120).Draw(t, "entries"), rapid.IntRange(1, 6).Draw(t, "domains"))
		all := preferenceOrders(peers, rapid.IntRange(1, 40).Draw(t, "width"))
		first := 0
		for id, preference := range all {
			if len(preference) == 0 {
				first++
			}
			for _, above := range preference {
				if slices.Contains(all[above], id) {
					t.Fatalf("%s and %s may query each other", id, above)
				}
			}
		}
		if first != 1 {
			t.Fatalf("%d entries have nobody to query", first)
		}
	})
}

// Guards against one entry that answers hundreds, and against crossings between failure domains by each entry.
func TestQuestionsOfALargeFleetAreSpread(t *testing.T) {
	for _, entries := range []int{30, 103, 300, 1000} {
		const domains = 5
		peers := fleetOf(entries, domains)
		domain := map[string]string{}
		for _, p := range peers {
			domain[p.ID] = p.FailureDomain
		}
		asked, crossing := map[string]int{}, 0
		deepest := 0
		all := preferenceOrders(peers, DefaultParams.FanIn)
		for id, preference := range all {
			if len(preference) == 0 {
				continue
			}
			asked[preference[0]]++
			if domain[preference[0]] != domain[id] {
				crossing++
			}
			depth := 0
			for at := id; len(all[at]) > 0; at = all[at][0] {
				depth++
			}
			deepest = max(deepest, depth)
		}
		for id, n := range asked {
			if n > DefaultParams.FanIn+domains {
				t.Errorf("%d entries: %s answers %d others", entries, id, n)
			}
		}
		if entries > DefaultParams.FanIn && crossing >= domains {
			t.Errorf("%d entries: %d query another failure domain", entries, crossing)
		}
		if most := maxHops(entries, domains, DefaultParams.FanIn); deepest > most {
			t.Errorf("%d entries: an update takes %d hops, maxHops is %d", entries, deepest, most)
		}
	}
}

// Guards against entries that all read the store after the loss of their common upstream.
func TestEntriesThatLoseTheSameSourceAgreeOnTheNext(t *testing.T) {
	peers := fleetOf(103, 5)
	all := preferenceOrders(peers, DefaultParams.FanIn)
	next := map[string]map[string]bool{}
	for _, preference := range all {
		if len(preference) < 2 {
			continue
		}
		if next[preference[0]] == nil {
			next[preference[0]] = map[string]bool{}
		}
		next[preference[0]][preference[1]] = true
	}
	for lost, to := range next {
		// The others of its failure domain turn to one entry, and the first entries of the
		// other domains to at most one each.
		if len(to) > 5 {
			t.Errorf("those that queried %s turn to %d entries", lost, len(to))
		}
	}
}
