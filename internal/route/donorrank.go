package route

import "cmp"

// SetDonorRanking sets PickerParams.RankDonors.
func (p *Picker) SetDonorRanking(on bool) { p.params.RankDonors = on }

// donorMemoryShare is the fraction of a replica's memory that may be added after a level before the
// replica is no longer trusted as its donor. Running requests take memory as well, but what those
// that began later take is among the added tokens already. Subtracting it again would leave hardly any
// replica trusted under load, when most prefixes have to be fetched.
const donorMemoryShare = 0.45

// donorCapacity is how many tokens may be added to a replica after a level before it is no longer
// trusted as the level's donor. cacheCapacity is what running requests leave of its memory.
func (p *Picker) donorCapacity(c *PickCandidate, cacheCapacity float64) float64 {
	if !p.params.RankDonors || c.MemoryTokens == 0 {
		return donorCapacityShare * cacheCapacity
	}
	return donorMemoryShare * float64(c.MemoryTokens)
}

// donorRank orders the replicas from which a prefix can be fetched.
type donorRank struct {
	// prefilledTokens is how many shared tokens the replica has prefilled and is trusted to hold.
	prefilledTokens int
	healthy, near   bool
	running         int
}

// compare is negative if r is the better donor. Among those with as much of the prefix one in the
// failure domain of the replica that fetches is preferred, since bytes between domains take
// longer, and then the one with the least to do: a replica's transfers run one after another.
func (r donorRank) compare(other donorRank) int {
	return cmp.Or(
		cmp.Compare(other.prefilledTokens, r.prefilledTokens),
		compareSet(r.healthy, other.healthy), compareSet(r.near, other.near), cmp.Compare(r.running, other.running),
	)
}

// compareSet is negative if only a is set.
func compareSet(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// chooseDonor returns the replica to fetch the shared parts from, and how many of them it is known
// to have prefilled. Candidates are neither down nor about to load other weights; one that the
// request was already sent to isn't named either, since it didn't answer.
func (p *Picker) chooseDonor(q *PickQuery, chosen int, candidates []PickCandidate) (donor string, tokens int) {
	if !p.params.RankDonors {
		return p.donor(q, chosen, candidates)
	}
	best, bestRank := -1, donorRank{}
	for i := range candidates {
		c, v := &candidates[i], &p.views[i]
		if i == chosen || v.prefilledTokens == 0 || c.Version != candidates[chosen].Version || containsID(q.Exclude, c.ID) {
			continue
		}
		rank := donorRank{v.prefilledTokens, !c.RecentFaults, c.FailureDomain == candidates[chosen].FailureDomain, v.load.Running}
		if best < 0 || rank.compare(bestRank) < 0 {
			best, bestRank = i, rank
		}
	}
	if best < 0 {
		return p.donor(q, chosen, candidates)
	}
	return candidates[best].ID, bestRank.prefilledTokens
}
