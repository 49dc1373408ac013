package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// arrival is one scheduled request.
type arrival struct {
	// at is since the run's start.
	at           time.Duration
	organisation *Organisation
	request      *RequestKind
	// token is unique to the request; its answer must begin with it.
	token string
	// charterSeed and caseSeed are the seeds of the shared texts, empty if the
	// request has none.
	charterSeed, caseSeed string
	maxTokens             int
}

// plan generates all arrivals of a run, in order of time. Each organisation has
// its own random source, so that a change of one organisation's rate, or its
// absence, doesn't change the others' requests and two runs can be compared.
func plan(w *Workload, o *Options) []arrival {
	total := 0.0
	for _, org := range w.Organisations {
		total += org.Share
	}
	rate := w.Rate
	if o.Rate > 0 {
		rate = o.Rate
	}
	var all []arrival
	for i := range w.Organisations {
		org := &w.Organisations[i]
		if len(o.Only) > 0 && !slices.Contains(o.Only, org.ID) && !slices.Contains(o.Only, org.Class) {
			continue
		}
		all = append(all, newArrivalGenerator(org, rate*org.Share/total, o).generate()...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	return all
}

// arrivalGenerator generates one organisation's arrivals.
type arrivalGenerator struct {
	org           *Organisation
	rate          float64 // arrivals per second without the burst
	options       *Options
	timeRandom    *rand.Rand
	contentRandom *rand.Rand
	// shiftedRanks returns the permutation of n popularity ranks that applies from
	// Options.PopularityShiftAt.
	shiftedRanks func(n int) []int
}

func newArrivalGenerator(org *Organisation, rate float64, o *Options) *arrivalGenerator {
	id := xxhash.Sum64String(org.ID)
	return &arrivalGenerator{
		org:           org,
		rate:          rate,
		options:       o,
		timeRandom:    rand.New(rand.NewPCG(o.Seed, id)),
		contentRandom: rand.New(rand.NewPCG(o.Seed+1, id)),
		shiftedRanks: func(n int) []int {
			return rand.New(rand.NewPCG(o.Seed+2, id)).Perm(n)
		},
	}
}

func (g *arrivalGenerator) generate() []arrival {
	var all []arrival
	for at := g.nextArrival(0); at < g.options.Duration; at = g.nextArrival(at) {
		all = append(all, g.newArrival(at, len(all)))
	}
	return all
}

// nextArrival returns the time of the arrival after at. Arrivals are a Poisson
// process whose rate is multiplied during the burst. Since the process is
// memoryless, the gap is drawn again from each point where the rate changes.
func (g *arrivalGenerator) nextArrival(at time.Duration) time.Duration {
	b := g.options.Burst
	hasBurst := b.Organisation == g.org.ID && b.Until > b.From
	for {
		rate, rateUntil := g.rate, time.Duration(math.MaxInt64)
		switch {
		case hasBurst && at < b.From:
			rateUntil = b.From
		case hasBurst && at < b.Until:
			rate, rateUntil = rate*b.Factor, b.Until
		}
		gap := time.Duration(math.MaxInt64)
		if rate > 0 {
			gap = time.Duration(g.timeRandom.ExpFloat64() / rate * float64(time.Second))
		}
		if gap < rateUntil-at {
			return at + gap
		}
		if rateUntil == math.MaxInt64 {
			return rateUntil
		}
		at = rateUntil
	}
}

func (g *arrivalGenerator) newArrival(at time.Duration, n int) arrival {
	a := arrival{at: at, organisation: g.org}
	a.token = fmt.Sprintf("%s%d-%s-%d", g.options.Label, g.options.Seed, g.org.ID, n)
	weights := make([]float64, len(g.org.Requests))
	for i := range weights {
		weights[i] = g.org.Requests[i].Share
	}
	a.request = &g.org.Requests[pickWeighted(g.contentRandom, weights)]
	chat := a.request.Chat
	if chat == nil {
		return a
	}
	a.maxTokens = chat.MinTokens + g.contentRandom.IntN(chat.MaxTokens-chat.MinTokens+1)
	if i := g.pickText(chat.Charter, at); i >= 0 {
		a.charterSeed = fmt.Sprintf("%s/charter-%d", g.org.ID, i)
		if i == 0 && reached(g.options.CharterChangeAt, at) {
			a.charterSeed += "-revised"
		}
	}
	if i := g.pickText(chat.Case, at); i >= 0 {
		a.caseSeed = fmt.Sprintf("%s/case-%d", a.charterSeed, i)
	}
	return a
}

// pickText picks one of a level's texts by popularity and returns its index, -1
// if the level has none.
func (g *arrivalGenerator) pickText(level SharedTexts, at time.Duration) int {
	if level.Tokens == 0 {
		return -1
	}
	weights := make([]float64, level.Count)
	for rank := range weights {
		weights[rank] = math.Pow(float64(rank+1), -level.Skew)
	}
	rank := pickWeighted(g.contentRandom, weights)
	if reached(g.options.PopularityShiftAt, at) {
		return g.shiftedRanks(level.Count)[rank]
	}
	return rank
}

// reached reports whether a change scheduled at when, 0 for never, is in effect.
func reached(when, at time.Duration) bool { return when > 0 && at >= when }

// pickWeighted picks a random index with probability proportional to its weight.
func pickWeighted(random *rand.Rand, weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	remaining := random.Float64() * total
	for i, w := range weights {
		if remaining -= w; remaining < 0 {
			return i
		}
	}
	return len(weights) - 1
}
