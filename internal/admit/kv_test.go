package admit

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// The KV simulation generates one token per step for every running request. A
// request takes its prompt at once and its output as it is generated. When the
// tokens exceed the cache, the youngest request is preempted: its work is lost and
// it starts anew, as in engines that recompute. There is always a next request, so
// only what each estimator admits differs.
const (
	kvCapacity  = 24000
	kvPrompt    = 400
	kvMaxOutput = 1000
	kvSteps     = 60000
	// In the correlated simulation, phases of kvPhaseSteps steps alternate in which all
	// outputs are kvPhaseFactor times longer or shorter.
	kvPhaseSteps  = 1500
	kvPhaseFactor = 2
)

// kvEstimator decides whether one more request has room. Each candidate is a small
// type here; the one in use is KVReservations.
type kvEstimator interface {
	fits(running int, d kvDemand, lengths *lengthEstimate) bool
}

// sumEstimator is KVReservations.
type sumEstimator struct{}

func (sumEstimator) fits(running int, d kvDemand, _ *lengthEstimate) bool {
	kv := NewKVReservations(kvCapacity)
	for range running {
		kv.Add(d)
	}
	return kv.Fits(d)
}

// portfolioEstimator admits up to mean + z standard deviations of the sum of all outputs:
// the portfolio effect of Nabavinejad, Reda and Guo's MediatorDNN, which assumes that
// jobs are not correlated.
type portfolioEstimator struct{ z float64 }

func (p portfolioEstimator) fits(running int, d kvDemand, lengths *lengthEstimate) bool {
	n := float64(running + 1)
	mean, deviation := lengths.expect(d.maxOutput)
	return n*(float64(d.prompt)+mean)+p.z*deviation*math.Sqrt(n) <= kvCapacity
}

// fixedEstimator admits a fixed number of requests, as MaxRunning does.
type fixedEstimator struct{ slots int }

func (f fixedEstimator) fits(n int, _ kvDemand, _ *lengthEstimate) bool { return n < f.slots }

type kvJob struct {
	length int
	done   int
}

func (j *kvJob) tokens() int { return kvPrompt + j.done }

// kvFigures are the results of one simulation.
type kvFigures struct {
	finished    int
	preempted   int
	lostTokens  int
	concurrency float64 // mean
}

// outputLength draws a length with a mean of 150 tokens over time.
func outputLength(rng *rand.Rand, step int, correlated bool) int {
	length := 120 * math.Exp(0.67*rng.NormFloat64()) // mean 150
	if correlated {
		// The means of the two phases average to the mean of the uncorrelated
		// simulation.
		length /= (kvPhaseFactor + 1.0/kvPhaseFactor) / 2
		if step/kvPhaseSteps%2 == 0 {
			length *= kvPhaseFactor
		} else {
			length /= kvPhaseFactor
		}
	}
	return min(kvMaxOutput, 1+int(length))
}

func runKVTrial(estimator kvEstimator, seed uint64, correlated bool) kvFigures {
	rng := rand.New(rand.NewPCG(seed, 2))
	var lengths lengthEstimate
	var running, pending []*kvJob // pending: to be started next, last first
	var figures kvFigures
	used := 0
	one := kvDemand{prompt: kvPrompt, maxOutput: kvMaxOutput}
	for step := range kvSteps {
		for {
			if len(pending) == 0 {
				pending = append(pending, &kvJob{length: outputLength(rng, step, correlated)})
			}
			j := pending[len(pending)-1]
			// The engine doesn't start a request whose prompt doesn't fit at present.
			if !estimator.fits(len(running), one, &lengths) || used+kvPrompt > kvCapacity {
				break
			}
			pending = pending[:len(pending)-1]
			running = append(running, j)
			used += j.tokens()
		}
		for i := 0; i < len(running); {
			j := running[i]
			j.done++
			used++
			if j.done < j.length {
				i++
				continue
			}
			figures.finished++
			lengths.observe(j.length, kvMaxOutput)
			used -= j.tokens()
			running = slices.Delete(running, i, i+1)
		}
		for used > kvCapacity {
			j := running[len(running)-1]
			running = running[:len(running)-1]
			used -= j.tokens()
			figures.preempted++
			figures.lostTokens += j.tokens()
			j.done = 0
			pending = append(pending, j)
		}
		figures.concurrency += float64(len(running)) / kvSteps
	}
	return figures
}

var kvEstimators = []struct {
	name      string
	estimator kvEstimator
}{
	{"sum", sumEstimator{}},
	{"portfolio z=3", portfolioEstimator{3}},
	{"portfolio z=4", portfolioEstimator{4}},
	{"fixed 32", fixedEstimator{32}},
	{"fixed 38", fixedEstimator{38}},
	{"fixed 40", fixedEstimator{40}},
	{"none", fixedEstimator{kvCapacity}},
}

const kvSeeds = 20

// TestKVTrial prints the figures of docs/design/fairness.md and checks what the choice
// of estimator rests on: only the sum of the longest outputs never preempts, and with
// independent outputs a fixed number of slots finishes more requests than the
// portfolio bound without more preemptions.
func TestKVTrial(t *testing.T) {
	for _, correlated := range []bool{false, true} {
		totals := map[string]kvFigures{}
		for _, candidate := range kvEstimators {
			var sum kvFigures
			for seed := range uint64(kvSeeds) {
				figures := runKVTrial(candidate.estimator, seed, correlated)
				sum.finished += figures.finished
				sum.preempted += figures.preempted
				sum.lostTokens += figures.lostTokens
				sum.concurrency += figures.concurrency / kvSeeds
			}
			t.Logf("correlated %-5v %-14s running %5.1f, finished %6d, preempted %6d, tokens lost %8d",
				correlated, candidate.name, sum.concurrency, sum.finished, sum.preempted, sum.lostTokens)
			totals[candidate.name] = sum
		}
		if totals["sum"].preempted > 0 {
			t.Errorf("the sum of the longest outputs preempted %d requests", totals["sum"].preempted)
		}
		portfolio, fixed := totals["portfolio z=4"], totals["fixed 40"]
		if !correlated && (fixed.finished <= portfolio.finished || fixed.preempted > portfolio.preempted) {
			t.Errorf("with independent outputs the portfolio bound is better than a fixed number of slots: the choice of estimator has to be revised")
		}
	}
}
