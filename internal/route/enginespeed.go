package route

import "math"

// engineSpeed estimates how long the engines of a service take from dispatch to a request's first
// event: a fixed overhead, plus time for each token to be prefilled before it and for each
// request running beside it.
//
// Engines differ fivefold in each. Fixed figures, taken from one deployment, would send requests
// past nearly idle replicas if its engines are faster, or queue them until they are late if they
// are slower.
//
// The estimate is a recursive least squares fit with forgetting: it follows the latest requests,
// and a start value weighs as much as some tens of them.
type engineSpeed struct {
	// theta has the overhead, the time per thousand tokens and the time per ten running requests,
	// in milliseconds. The units keep them of similar size, so that none is learnt faster than
	// the others.
	theta [3]float64
	// covariance is the covariance of theta, relative to the variance of one observation.
	covariance [3][3]float64
}

const (
	tokenUnit   = 1000
	runningUnit = 10
	// forgettingFactor multiplies the weight of earlier requests with each new one: some 300
	// requests count, seconds to a minute at an entry.
	forgettingFactor = 0.997
	// priorVariance is the variance of the start values relative to one observation: they weigh
	// as much as twenty.
	priorVariance = 0.05
	// maxResidualMs bounds by how much, in milliseconds, a request may start later than expected
	// and still count in full. A replica that crashes or loads weights says nothing about its
	// engine's speed.
	maxResidualMs = 150
	// Bounds of the estimates: a factor of ten beyond the engines known on either side.
	minTokensPerMs, maxTokensPerMs = 5, 1000
	maxRunningMs                   = 5
	minOverheadMs, maxOverheadMs   = 1, 250
)

func newEngineSpeed(p PickerParams) *engineSpeed {
	e := &engineSpeed{theta: [3]float64{p.OverheadMs, tokenUnit / p.PrefillTokensPerMs, runningUnit * p.RunningMs}}
	for i := range e.covariance {
		e.covariance[i][i] = priorVariance
	}
	return e
}

// observe updates the estimates with a request whose first event came elapsedMs after its
// dispatch. ahead is the load in front of it, its own prompt included.
func (e *engineSpeed) observe(ahead Load, elapsedMs float64) {
	x := [3]float64{1, ahead.PrefillTokens / tokenUnit, float64(ahead.Running) / runningUnit}
	var px [3]float64
	weight := forgettingFactor
	for i := range x {
		for j := range x {
			px[i] += e.covariance[i][j] * x[j]
		}
		weight += x[i] * px[i]
	}
	expected := 0.0
	for i := range x {
		expected += e.theta[i] * x[i]
	}
	residual := min(elapsedMs-expected, maxResidualMs)
	for i := range x {
		e.theta[i] += px[i] / weight * residual
	}
	e.updateCovariance(px, weight)
	e.bound()
}

// updateCovariance applies an observation and lets earlier ones count less. A component that gets
// no new information for long must not lose all its weight, or a single request would set it; so
// the largest variance is capped at priorVariance.
func (e *engineSpeed) updateCovariance(px [3]float64, weight float64) {
	for i := range e.covariance {
		for j := range e.covariance {
			e.covariance[i][j] = (e.covariance[i][j] - px[i]*px[j]/weight) / forgettingFactor
		}
	}
	if largest := max(e.covariance[0][0], e.covariance[1][1], e.covariance[2][2]); largest > priorVariance {
		for i := range e.covariance {
			for j := range e.covariance {
				e.covariance[i][j] *= priorVariance / largest
			}
		}
	}
}

func (e *engineSpeed) bound() {
	e.theta[0] = math.Min(math.Max(e.theta[0], minOverheadMs), maxOverheadMs)
	e.theta[1] = math.Min(math.Max(e.theta[1], tokenUnit/maxTokensPerMs), tokenUnit/minTokensPerMs)
	e.theta[2] = math.Min(math.Max(e.theta[2], 0), runningUnit*maxRunningMs)
}

// overheadMs is the time to the first event besides prefill and waiting.
func (e *engineSpeed) overheadMs() float64 { return e.theta[0] }

// prefillMs is the time to prefill tokens.
func (e *engineSpeed) prefillMs(tokens float64) float64 { return e.theta[1] * tokens / tokenUnit }

// waitMs is how long a load delays the start of another request.
func (e *engineSpeed) waitMs(l Load) float64 {
	return e.prefillMs(l.PrefillTokens) + e.theta[2]*float64(l.Running)/runningUnit
}
