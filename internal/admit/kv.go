package admit

import "math"

// demand is what one request may take of the KV cache, in tokens.
type demand struct {
	prompt int
	most   int // output
}

// KVRoom tells whether a request's blocks will fit beside those of the running
// ones, whatever the length of their outputs. An estimate that lets in more was
// tried and left out: docs/design/fairness.md.
type KVRoom struct {
	capacity int
	taken    int
}

// NewKVRoom returns an empty room of capacity tokens; 0 is no bound.
func NewKVRoom(capacity int) *KVRoom { return &KVRoom{capacity: capacity} }

// Fits reports whether d can be added.
func (r *KVRoom) Fits(d demand) bool {
	return r.capacity == 0 || r.taken+d.prompt+d.most <= r.capacity
}

// Add counts a running request.
func (r *KVRoom) Add(d demand) { r.taken += d.prompt + d.most }

// Remove ends it.
func (r *KVRoom) Remove(d demand) { r.taken -= d.prompt + d.most }

// lengths learns the mean and deviation of outputs as a share of the most
// allowed. Callers ask for short classifications and long replies by that bound,
// so the share varies far less than the length.
type lengths struct {
	seen     int
	mean     float64
	variance float64
}

const (
	// lengthsMemory is how many outputs the estimate looks back on.
	lengthsMemory = 64
	// lengthsTrust is how many must be seen before they are believed.
	lengthsTrust = 4
)

func (l *lengths) observe(tokens, most int) {
	if most <= 0 {
		return
	}
	value := min(1, float64(tokens)/float64(most))
	l.seen = min(l.seen+1, lengthsMemory)
	share := 1 / float64(l.seen)
	delta := value - l.mean
	l.mean += share * delta
	l.variance = (1 - share) * (l.variance + share*delta*delta)
}

// known reports whether enough outputs were seen.
func (l *lengths) known() bool { return l.seen >= lengthsTrust }

// expect returns the expected output and its deviation. Before enough outputs
// are seen it is half of the bound, with a quarter as deviation.
func (l *lengths) expect(most int) (mean, deviation float64) {
	if !l.known() {
		return float64(most) / 2, float64(most) / 4
	}
	return l.mean * float64(most), math.Sqrt(l.variance) * float64(most)
}
