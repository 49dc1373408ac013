package route

import (
	"math"
	"math/rand/v2"
	"testing"
)

// engine is a model of the time that an engine takes to start a request, in milliseconds.
type engine struct{ overhead, perToken, perRunning float64 }

// train lets s observe requests of all lengths at all loads, with noise.
func (e engine) train(s *engineSpeed, requests int, rng *rand.Rand) {
	for range requests {
		l := Load{PrefillTokens: 100 + 9000*rng.Float64(), Running: rng.IntN(60)}
		elapsedMs := e.overhead + e.perToken*l.PrefillTokens + e.perRunning*float64(l.Running)
		s.observe(l, elapsedMs+20*rng.NormFloat64())
	}
}

// The engines are the known ones, one twice as fast and one a tenth as fast. Known engines
// prefill 56 to 112 tokens per millisecond; waits are compared with objectives of some hundred
// milliseconds.
func TestEngineSpeedIsLearnt(t *testing.T) {
	for _, e := range []engine{{40, 1.0 / 56, 2}, {35, 1.0 / 112, 0.4}, {80, 1.0 / 10, 3}, {25, 1.0 / 400, 0.1}} {
		s := newEngineSpeed(DefaultPickerParams)
		e.train(s, 1000, rand.New(rand.NewPCG(1, 2)))
		ahead := Load{PrefillTokens: 6000, Running: 30}
		want := e.perToken*ahead.PrefillTokens + e.perRunning*float64(ahead.Running)
		if got := s.waitMs(ahead); math.Abs(got-want) > 10+0.1*want {
			t.Errorf("%+v: a wait of %.0f ms is estimated as %.0f", e, want, got)
		}
	}
}

// Guards against a crash of some replicas that makes all look slow, so that requests are refused
// although there is room: requests start seconds late at replicas that crash or load weights, and
// every delay is attributed to the engine's speed.
func TestWildDelaysAreNoSpeed(t *testing.T) {
	e, rng := engine{40, 1.0 / 100, 1}, rand.New(rand.NewPCG(3, 4))
	s := newEngineSpeed(DefaultPickerParams)
	e.train(s, 1000, rng)
	for range 100 {
		s.observe(Load{PrefillTokens: 3000, Running: 10}, 3000)
		e.train(s, 20, rng)
	}
	if got := s.waitMs(Load{PrefillTokens: 6000}); got > 150 {
		t.Errorf("60 ms of prefill are estimated as %.0f after one delay of 3 s in 20 requests", got)
	}
}

// Whatever is observed, the estimates stay within their bounds and are numbers.
func TestEngineSpeedIsBounded(t *testing.T) {
	s := newEngineSpeed(DefaultPickerParams)
	rng := rand.New(rand.NewPCG(5, 6))
	for range 20_000 {
		s.observe(Load{PrefillTokens: 1e6 * rng.Float64() * rng.Float64(), Running: rng.IntN(3)}, 1e5*rng.Float64())
	}
	for range 20_000 {
		s.observe(Load{}, 0)
	}
	for _, ms := range []float64{s.overheadMs(), s.prefillMs(1000), s.waitMs(Load{PrefillTokens: 1000, Running: 10})} {
		if math.IsNaN(ms) || ms < 0 || ms > 1000 {
			t.Errorf("estimate of %v ms is out of bounds", ms)
		}
	}
}

// Guards against forgetting without bound: after minutes of short requests the first long one
// would set the prefill speed.
func TestOneRequestDoesNotSetTheSpeed(t *testing.T) {
	e, rng := engine{40, 1.0 / 100, 1}, rand.New(rand.NewPCG(7, 8))
	s := newEngineSpeed(DefaultPickerParams)
	e.train(s, 1000, rng)
	for range 10_000 {
		s.observe(Load{PrefillTokens: 10}, 40)
	}
	s.observe(Load{PrefillTokens: 6000}, 400)
	if got := s.prefillMs(6000); got > 150 {
		t.Errorf("60 ms of prefill are estimated as %.0f after one request of 400", got)
	}
}
