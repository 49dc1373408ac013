package admit

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// The KV trial generates one token a step for every running request. A request
// takes its prompt at once and its output as it comes. When the tokens are more
// than the cache, the youngest request is preempted: its work is lost and it
// starts anew, as in engines that recompute. There is always a next request, so
// what differs is what each estimator lets in.
const (
	kvCapacity = 24000
	kvPrompt   = 400
	kvMost     = 1000
	kvSteps    = 60000
	// kvSpell is how many steps an appeal stays hot or calm in the correlated
	// trial; all outputs then are kvSwing times longer or shorter.
	kvSpell = 1500
	kvSwing = 2
)

type kvJob struct {
	demand demand
	length int
	done   int
}

func (j *kvJob) tokens() int { return kvPrompt + j.done }

// kvFigures are what a trial counted.
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
		// The two spells' means average to that of the calm trial.
		length /= (kvSwing + 1.0/kvSwing) / 2
		if step/kvSpell%2 == 0 {
			length *= kvSwing
		} else {
			length /= kvSwing
		}
	}
	return min(kvMost, 1+int(length))
}

func runKVTrial(p KVParams, seed uint64, correlated bool) kvFigures {
	rng := rand.New(rand.NewPCG(seed, 2))
	room := NewKVRoom(p)
	var learnt lengths
	var running, again []*kvJob // again: to be started next, last first
	var f kvFigures
	used := 0
	for step := range kvSteps {
		for {
			if len(again) == 0 {
				again = append(again, &kvJob{length: outputLength(rng, step, correlated)})
			}
			j := again[len(again)-1]
			mean, deviation := learnt.expect(kvMost)
			j.demand = demand{prompt: kvPrompt, most: kvMost, mean: mean, deviation: deviation}
			// The engine itself doesn't start what doesn't fit now.
			if !room.Fits(j.demand) || used+kvPrompt > kvCapacity {
				break
			}
			again = again[:len(again)-1]
			room.Add(j.demand)
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
			f.finished++
			learnt.observe(j.length)
			used -= j.tokens()
			room.Remove(j.demand)
			running = slices.Delete(running, i, i+1)
		}
		for used > kvCapacity {
			j := running[len(running)-1]
			running = running[:len(running)-1]
			used -= j.tokens()
			room.Remove(j.demand)
			f.preempted++
			f.lostTokens += j.tokens()
			j.done = 0
			again = append(again, j)
		}
		f.concurrency += float64(len(running)) / kvSteps
	}
	return f
}

var kvEstimators = []struct {
	name   string
	params KVParams
}{
	{"sum", KVParams{Mode: KVSum, Capacity: kvCapacity}},
	{"portfolio z=1", KVParams{Mode: KVPortfolio, Capacity: kvCapacity, Z: 1}},
	{"portfolio z=3", KVParams{Mode: KVPortfolio, Capacity: kvCapacity, Z: 3}},
	{"fixed 16", KVParams{Mode: KVFixed, Capacity: kvCapacity, Fixed: kvCapacity / 16}},
	{"fixed 32", KVParams{Mode: KVFixed, Capacity: kvCapacity, Fixed: kvCapacity / 32}},
	{"fixed 40", KVParams{Mode: KVFixed, Capacity: kvCapacity, Fixed: kvCapacity / 40}},
	{"none", KVParams{}},
}

// TestKVTrial prints the figures of docs/design/fairness.md, and checks what the
// choice rests on: only the sum never preempts.
func TestKVTrial(t *testing.T) {
	for _, correlated := range []bool{false, true} {
		for _, e := range kvEstimators {
			var sum kvFigures
			for seed := range uint64(5) {
				f := runKVTrial(e.params, seed, correlated)
				sum.finished += f.finished
				sum.preempted += f.preempted
				sum.lostTokens += f.lostTokens
				sum.concurrency += f.concurrency / 5
			}
			t.Logf("correlated %-5v %-14s running %5.1f, finished %6d, preempted %5d, tokens lost %8d",
				correlated, e.name, sum.concurrency, sum.finished, sum.preempted, sum.lostTokens)
			if e.params.Mode == KVSum && sum.preempted > 0 {
				t.Errorf("the sum of the longest outputs preempted %d", sum.preempted)
			}
		}
	}
}
