// Package rendezvous ranks candidates for a key by rendezvous hashing, also known as highest random
// weight hashing (Thaler and Ravishankar, 1996). Processes that know the same candidates agree on
// the order, and adding or removing a candidate moves only the keys that it is first for.
package rendezvous

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ranked is a candidate's ID with its weight for a key.
type ranked struct {
	id     string
	weight uint64
}

// Order returns ids by descending rendezvous weight for key: the first is the owner, the next takes
// over when the owner is removed. The result does not depend on the order of ids, and removing an
// ID moves only the keys that it was first for.
func Order(key uint64, ids []string) []string {
	all := make([]ranked, len(ids))
	for i, id := range ids {
		all[i] = ranked{id, Weight(key, id)}
	}
	slices.SortFunc(all, compareRanked)
	order := make([]string, len(all))
	for i, r := range all {
		order[i] = r.id
	}
	return order
}

// First returns the first of Order(key, ids) without allocating, or "" if ids is empty.
func First(key uint64, ids []string) string {
	var best ranked
	for i, id := range ids {
		r := ranked{id, Weight(key, id)}
		if i == 0 || compareRanked(r, best) < 0 {
			best = r
		}
	}
	return best.id
}

// Rank returns the index of id in Order(key, ids) without allocating; that of its place if ids does
// not contain it.
func Rank(key uint64, id string, ids []string) int {
	self, rank := ranked{id, Weight(key, id)}, 0
	for _, other := range ids {
		if compareRanked(ranked{other, Weight(key, other)}, self) < 0 {
			rank++
		}
	}
	return rank
}

// compareRanked orders by descending weight. Ties are broken by ID, so that all processes agree.
func compareRanked(a, b ranked) int {
	if c := cmp.Compare(b.weight, a.weight); c != 0 {
		return c
	}
	return cmp.Compare(a.id, b.id)
}

// Weight returns the weight of the candidate id for a key.
func Weight(key uint64, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], key)
	_, _ = d.Write(buf[:])
	_, _ = d.WriteString(id)
	return d.Sum64()
}
