package rendezvous

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against keys that move although the candidate that is first for them has not been removed.
func TestOrderMovesOnlyTheKeysOfWhatLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,8}`), 2, 20, rapid.ID).Draw(t, "ids")
		key := rapid.Uint64().Draw(t, "key")
		order := Order(key, candidates)
		if First(key, candidates) != order[0] {
			t.Fatalf("First differs from the first of Order")
		}
		shuffled := rapid.Permutation(candidates).Draw(t, "shuffled")
		if !slices.Equal(order, Order(key, shuffled)) {
			t.Fatal("order depends on the order of the IDs")
		}
		removed := rapid.IntRange(0, len(order)-1).Draw(t, "gone")
		remaining := slices.Delete(slices.Clone(order), removed, removed+1)
		if !slices.Equal(remaining, Order(key, remaining)) {
			t.Fatal("removing a candidate changed the order of the others")
		}
	})
}
