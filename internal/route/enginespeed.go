package route

import "math"

// engineSpeed is how long the engines of a service take to begin a request, learnt from
// requests that have begun: overhead, and more for each token that is to be read before
// and for each request that runs beside.
//
// Engines differ fivefold in each. Taken from one deployment's sheet, the figures send
// requests of a faster engine past replicas that are nearly idle, or let those of a slower
// one queue until they are late.
//
// It is recursive least squares with forgetting: the figures follow what is seen over
// the latest requests, and a start value counts as much as some tens of them.
type engineSpeed struct {
	// theta are the overhead, the time for a thousand tokens and for ten running
	// requests, in milliseconds: of one size, so that none is learnt faster.
	theta [3]float64
	// p is the inverse of the weight of what was seen.
	p [3][3]float64
}

const (
	tokenUnit   = 1000
	runningUnit = 10
	// speedForgets is the part of the weight of earlier requests that each one leaves:
	// some 300 requests count, seconds to a minute at an entry.
	speedForgets = 0.997
	// speedPrior is the variance of the start values against that of one request: they
	// count as much as twenty.
	speedPrior = 0.05
	// speedWild is by how much, in milliseconds, a request may begin later than expected
	// and still be learnt from in full. A replica that crashes, or loads weights, says
	// nothing of its engine's speed.
	speedWild = 150
	// The least and most that is believed, a decade to both sides of the engines known.
	minTokensPerMs, maxTokensPerMs = 5, 1000
	maxRunningMs                   = 5
	minOverhead, maxOverhead       = 1, 250
)

func newEngineSpeed(p PickerParams) *engineSpeed {
	e := &engineSpeed{theta: [3]float64{p.OverheadMs, tokenUnit / p.PrefillTokensPerMs, runningUnit * p.TokenMs}}
	for i := range e.p {
		e.p[i][i] = speedPrior
	}
	return e
}

// began takes a request that began the time given after it was placed, in milliseconds,
// behind a load that includes its own prompt.
func (e *engineSpeed) began(ahead Load, took float64) {
	x := [3]float64{1, ahead.PrefillTokens / tokenUnit, float64(ahead.Running) / runningUnit}
	var px [3]float64
	weight := speedForgets
	for i := range x {
		for j := range x {
			px[i] += e.p[i][j] * x[j]
		}
		weight += x[i] * px[i]
	}
	expected := 0.0
	for i := range x {
		expected += e.theta[i] * x[i]
	}
	wrong := min(took-expected, speedWild)
	for i := range x {
		e.theta[i] += px[i] / weight * wrong
	}
	e.forget(px, weight)
	e.bound()
}

// forget takes what was seen into p and lets earlier requests count less. Where nothing
// new is seen of a figure for long its weight must not vanish, or one request would set
// it.
func (e *engineSpeed) forget(px [3]float64, weight float64) {
	for i := range e.p {
		for j := range e.p {
			e.p[i][j] = (e.p[i][j] - px[i]*px[j]/weight) / speedForgets
		}
	}
	if most := max(e.p[0][0], e.p[1][1], e.p[2][2]); most > speedPrior {
		for i := range e.p {
			for j := range e.p {
				e.p[i][j] *= speedPrior / most
			}
		}
	}
}

func (e *engineSpeed) bound() {
	e.theta[0] = math.Min(math.Max(e.theta[0], minOverhead), maxOverhead)
	e.theta[1] = math.Min(math.Max(e.theta[1], tokenUnit/maxTokensPerMs), tokenUnit/minTokensPerMs)
	e.theta[2] = math.Min(math.Max(e.theta[2], 0), runningUnit*maxRunningMs)
}

// overhead is the time to a first event beside reading and waiting, in milliseconds.
func (e *engineSpeed) overhead() float64 { return e.theta[0] }

// reading is the time to read tokens, in milliseconds.
func (e *engineSpeed) reading(tokens float64) float64 { return e.theta[1] * tokens / tokenUnit }

// wait is the time until a load lets another request begin, in milliseconds.
func (e *engineSpeed) wait(l Load) float64 {
	return e.reading(l.PrefillTokens) + e.theta[2]*float64(l.Running)/runningUnit
}
