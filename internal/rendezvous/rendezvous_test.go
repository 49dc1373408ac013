package rendezvous

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against keys that move although what they are first for is still there.
func TestOrderMovesOnlyTheKeysOfWhatLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,8}`), 2, 20, rapid.ID).Draw(t, "ids")
		key := rapid.Uint64().Draw(t, "key")
		order := Order(key, list)
		if First(key, list) != order[0] {
			t.Fatalf("First is not the first of Order")
		}
		shuffled := rapid.Permutation(list).Draw(t, "shuffled")
		if !slices.Equal(order, Order(key, shuffled)) {
			t.Fatal("order depends on the order of the IDs")
		}
		gone := rapid.IntRange(0, len(order)-1).Draw(t, "gone")
		without := slices.Delete(slices.Clone(order), gone, gone+1)
		if !slices.Equal(without, Order(key, without)) {
			t.Fatal("the rest changed places")
		}
	})
}
