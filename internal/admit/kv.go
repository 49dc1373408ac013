package admit

import "math"

// KVMode is how room in the KV cache is estimated for requests whose output
// length is not known yet.
type KVMode string

// The modes. KVNone doesn't bound; the number of running places does.
const (
	KVNone KVMode = ""
	// KVSum counts each request with the longest output it may have.
	KVSum KVMode = "sum"
	// KVPortfolio counts mean + z standard deviations of the sum of all outputs
	// (Nabavinejad, Reda, Guo: MediatorDNN, section on the portfolio of jobs).
	// It assumes that jobs are not correlated, which a hot appeal's are.
	KVPortfolio KVMode = "portfolio"
	// KVFixed counts each request with the same number of tokens.
	KVFixed KVMode = "fixed"
)

// KVParams configure a KVRoom.
type KVParams struct {
	Mode KVMode
	// Capacity is in tokens.
	Capacity int
	// Z is the number of standard deviations of KVPortfolio.
	Z float64
	// Fixed is the tokens of each request of KVFixed.
	Fixed int
}

// DefaultZ leaves one in about a thousand sums over the bound, if outputs are
// independent.
const DefaultZ = 3

// demand is what one request may take.
type demand struct {
	prompt    int
	most      int
	mean      float64
	deviation float64
}

// KVRoom tells whether a request's blocks will fit beside the running ones.
type KVRoom struct {
	params   KVParams
	count    int
	prompt   int
	most     int
	mean     float64
	variance float64
}

// NewKVRoom returns an empty room.
func NewKVRoom(p KVParams) *KVRoom {
	if p.Z <= 0 {
		p.Z = DefaultZ
	}
	return &KVRoom{params: p}
}

// Fits reports whether d can be added.
func (r *KVRoom) Fits(d demand) bool {
	after := *r
	after.Add(d)
	return r.params.Mode == KVNone || after.need() <= float64(r.params.Capacity)
}

// need is the estimate of the tokens that the running requests will take.
func (r *KVRoom) need() float64 {
	switch r.params.Mode {
	case KVSum:
		return float64(r.prompt + r.most)
	case KVPortfolio:
		return float64(r.prompt) + r.mean + r.params.Z*math.Sqrt(max(0, r.variance))
	case KVFixed:
		return float64(r.count * r.params.Fixed)
	}
	return 0
}

// Add counts a running request.
func (r *KVRoom) Add(d demand) { r.change(d, 1) }

// Remove ends it.
func (r *KVRoom) Remove(d demand) { r.change(d, -1) }

func (r *KVRoom) change(d demand, sign int) {
	r.count += sign
	r.prompt += sign * d.prompt
	r.most += sign * d.most
	r.mean += float64(sign) * d.mean
	r.variance += float64(sign) * d.deviation * d.deviation
}

// lengths learns the mean and deviation of an organisation's outputs.
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

func (l *lengths) observe(tokens int) {
	l.seen = min(l.seen+1, lengthsMemory)
	share := 1 / float64(l.seen)
	delta := float64(tokens) - l.mean
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
	mean = l.mean
	if most > 0 {
		mean = min(mean, float64(most))
	}
	return mean, math.Sqrt(l.variance)
}
