package route

import (
	"math"
	"math/rand/v2"
	"testing"
)

// engine is a model of an engine: what it takes to begin a request.
type engine struct{ overhead, perToken, perRunning float64 }

// teach has the speed see requests of all lengths at all loads, with noise.
func (e engine) teach(s *engineSpeed, requests int, rng *rand.Rand) {
	for range requests {
		l := Load{PrefillTokens: 100 + 9000*rng.Float64(), Running: rng.IntN(60)}
		took := e.overhead + e.perToken*l.PrefillTokens + e.perRunning*float64(l.Running)
		s.began(l, took+20*rng.NormFloat64())
	}
}

// The pattern: engines of the sheets known, twice as fast, and a tenth as fast. Grounds:
// reading speeds of 56 to 112 tokens a millisecond where engines were known; waits are
// judged against objectives of some hundred ms.
func TestEngineSpeedIsLearnt(t *testing.T) {
	for _, e := range []engine{{40, 1.0 / 56, 2}, {35, 1.0 / 112, 0.4}, {80, 1.0 / 10, 3}, {25, 1.0 / 400, 0.1}} {
		s := newEngineSpeed(DefaultPickerParams)
		e.teach(s, 1000, rand.New(rand.NewPCG(1, 2)))
		ahead := Load{PrefillTokens: 6000, Running: 30}
		want := e.perToken*ahead.PrefillTokens + e.perRunning*float64(ahead.Running)
		if got := s.wait(ahead); math.Abs(got-want) > 10+0.1*want {
			t.Errorf("%+v: a wait of %.0f ms is expected to take %.0f", e, want, got)
		}
	}
}

// Symptom: a crash of some replicas has all look slow, and requests are refused that there
// is room for. Sequence: requests begin seconds late at replicas that crashed or load
// weights. Cause: every delay taken for the engine's speed.
func TestWildDelaysAreNoSpeed(t *testing.T) {
	e, rng := engine{40, 1.0 / 100, 1}, rand.New(rand.NewPCG(3, 4))
	s := newEngineSpeed(DefaultPickerParams)
	e.teach(s, 1000, rng)
	for range 100 {
		s.began(Load{PrefillTokens: 3000, Running: 10}, 3000)
		e.teach(s, 20, rng)
	}
	if got := s.wait(Load{PrefillTokens: 6000}); got > 150 {
		t.Errorf("60 ms of reading are expected to take %.0f after one delay of 3 s in 20", got)
	}
}

// Whatever is seen, what is believed stays within bounds and is a number.
func TestEngineSpeedIsBounded(t *testing.T) {
	s := newEngineSpeed(DefaultPickerParams)
	rng := rand.New(rand.NewPCG(5, 6))
	for range 20_000 {
		s.began(Load{PrefillTokens: 1e6 * rng.Float64() * rng.Float64(), Running: rng.IntN(3)}, 1e5*rng.Float64())
	}
	for range 20_000 {
		s.began(Load{}, 0)
	}
	for _, ms := range []float64{s.overhead(), s.reading(1000), s.wait(Load{PrefillTokens: 1000, Running: 10})} {
		if math.IsNaN(ms) || ms < 0 || ms > 1000 {
			t.Errorf("believes %v ms", ms)
		}
	}
}

// Symptom: after minutes of short requests the first long one sets the reading speed.
// Cause: forgetting without bound.
func TestOneRequestDoesNotSetTheSpeed(t *testing.T) {
	e, rng := engine{40, 1.0 / 100, 1}, rand.New(rand.NewPCG(7, 8))
	s := newEngineSpeed(DefaultPickerParams)
	e.teach(s, 1000, rng)
	for range 10_000 {
		s.began(Load{PrefillTokens: 10}, 40)
	}
	s.began(Load{PrefillTokens: 6000}, 400)
	if got := s.reading(6000); got > 150 {
		t.Errorf("60 ms of reading are expected to take %.0f after one request of 400", got)
	}
}
