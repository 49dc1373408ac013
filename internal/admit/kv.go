package admit

import "math"

// kvDemand is the KV cache, in tokens, that one request may need.
type kvDemand struct {
	prompt    int
	maxOutput int
}

// KVReservations tracks the KV cache reserved for running requests at the longest
// outputs they may have. Estimates that admit more requests were rejected because they
// cause preemptions: see TestKVTrial and docs/design/fairness.md.
type KVReservations struct {
	capacity int
	reserved int
}

// NewKVReservations returns an empty tracker with a capacity in tokens; 0 is no bound.
func NewKVReservations(capacity int) *KVReservations { return &KVReservations{capacity: capacity} }

// Fits reports whether d fits beside the running requests.
func (r *KVReservations) Fits(d kvDemand) bool {
	return r.capacity == 0 || r.reserved+d.prompt+d.maxOutput <= r.capacity
}

// Add reserves the demand of a request that starts.
func (r *KVReservations) Add(d kvDemand) { r.reserved += d.prompt + d.maxOutput }

// Remove releases the demand of a request that ended.
func (r *KVReservations) Remove(d kvDemand) { r.reserved -= d.prompt + d.maxOutput }

// lengthEstimate estimates the mean and the deviation of output lengths as a fraction
// of the maximum allowed. Callers set that maximum according to whether they want a
// short classification or a long reply, so the fraction varies far less than the
// length.
type lengthEstimate struct {
	samples  int
	mean     float64
	variance float64
}

const (
	// lengthWindow is the number of outputs over which the estimate averages.
	lengthWindow = 64
	// minLengthSamples is how many outputs are needed before the estimate is used.
	minLengthSamples = 4
)

func (l *lengthEstimate) observe(tokens, maxTokens int) {
	if maxTokens <= 0 {
		return
	}
	value := min(1, float64(tokens)/float64(maxTokens))
	l.samples = min(l.samples+1, lengthWindow)
	share := 1 / float64(l.samples)
	delta := value - l.mean
	l.mean += share * delta
	l.variance = (1 - share) * (l.variance + share*delta*delta)
}

// known reports whether there are enough samples.
func (l *lengthEstimate) known() bool { return l.samples >= minLengthSamples }

// expect returns the expected output and its deviation. Without enough samples it is
// half of the maximum, with a deviation of a quarter.
func (l *lengthEstimate) expect(maxTokens int) (mean, deviation float64) {
	if !l.known() {
		return float64(maxTokens) / 2, float64(maxTokens) / 4
	}
	return l.mean * float64(maxTokens), math.Sqrt(l.variance) * float64(maxTokens)
}
