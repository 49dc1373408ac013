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

// arrival is one request that is to be sent.
type arrival struct {
	// at is since the run's start.
	at           time.Duration
	organisation *Organisation
	request      *RequestKind
	// token is the request's own: its answer has to begin with it.
	token string
	// charterSeed and caseSeed name the shared texts, empty where there is none.
	charterSeed, caseSeed string
	maxTokens             int
}

// plan draws all arrivals of a run, in order of time. Each organisation draws
// from a source of its own, so that a change of one organisation's rate, or its
// absence, leaves the others' requests as they are and two runs can be compared.
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
		all = append(all, newSource(org, rate*org.Share/total, o).draw()...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	return all
}

// source draws one organisation's arrivals.
type source struct {
	org      *Organisation
	rate     float64 // arrivals a second without the burst
	options  *Options
	times    *rand.Rand
	contents *rand.Rand
	// moved is where each rank of popularity went at the shift.
	moved func(n int) []int
}

func newSource(org *Organisation, rate float64, o *Options) *source {
	id := xxhash.Sum64String(org.ID)
	return &source{
		org:      org,
		rate:     rate,
		options:  o,
		times:    rand.New(rand.NewPCG(o.Seed, id)),
		contents: rand.New(rand.NewPCG(o.Seed+1, id)),
		moved: func(n int) []int {
			return rand.New(rand.NewPCG(o.Seed+2, id)).Perm(n)
		},
	}
}

func (s *source) draw() []arrival {
	var all []arrival
	for at := s.next(0); at < s.options.Duration; at = s.next(at) {
		all = append(all, s.arrival(at, len(all)))
	}
	return all
}

// next draws the arrival after at: a Poisson process whose rate is multiplied
// within the burst. Being memoryless, it is drawn anew where the rate changes.
func (s *source) next(at time.Duration) time.Duration {
	b := s.options.Burst
	mine := b.Organisation == s.org.ID && b.Until > b.From
	for {
		rate, until := s.rate, time.Duration(math.MaxInt64)
		switch {
		case mine && at < b.From:
			until = b.From
		case mine && at < b.Until:
			rate, until = rate*b.Factor, b.Until
		}
		gap := time.Duration(math.MaxInt64)
		if rate > 0 {
			gap = time.Duration(s.times.ExpFloat64() / rate * float64(time.Second))
		}
		if gap < until-at {
			return at + gap
		}
		if until == math.MaxInt64 {
			return until
		}
		at = until
	}
}

func (s *source) arrival(at time.Duration, n int) arrival {
	a := arrival{at: at, organisation: s.org}
	a.token = fmt.Sprintf("%s%d-%s-%d", s.options.Label, s.options.Seed, s.org.ID, n)
	weights := make([]float64, len(s.org.Requests))
	for i := range weights {
		weights[i] = s.org.Requests[i].Share
	}
	a.request = &s.org.Requests[pick(s.contents, weights)]
	chat := a.request.Chat
	if chat == nil {
		return a
	}
	a.maxTokens = chat.MinTokens + s.contents.IntN(chat.MaxTokens-chat.MinTokens+1)
	if i := s.shared(chat.Charter, at); i >= 0 {
		a.charterSeed = fmt.Sprintf("%s/charter-%d", s.org.ID, i)
		if i == 0 && changed(s.options.CharterChangeAt, at) {
			a.charterSeed += "-revised"
		}
	}
	if i := s.shared(chat.Case, at); i >= 0 {
		a.caseSeed = fmt.Sprintf("%s/case-%d", a.charterSeed, i)
	}
	return a
}

// shared draws one of a level's texts by popularity, -1 if it has none.
func (s *source) shared(level SharedTexts, at time.Duration) int {
	if level.Tokens == 0 {
		return -1
	}
	weights := make([]float64, level.Count)
	for rank := range weights {
		weights[rank] = math.Pow(float64(rank+1), -level.Skew)
	}
	rank := pick(s.contents, weights)
	if changed(s.options.PopularityShiftAt, at) {
		return s.moved(level.Count)[rank]
	}
	return rank
}

// changed reports whether a change set for when, 0 for never, is past.
func changed(when, at time.Duration) bool { return when > 0 && at >= when }

// pick draws an index by weight.
func pick(random *rand.Rand, weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	at := random.Float64() * total
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}
