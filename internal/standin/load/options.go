package load

import (
	"errors"
	"io"
	"time"
)

// Options are how a run is made.
type Options struct {
	// Entries are base URLs, taken in turn.
	Entries []string
	// Rate is the arrivals a second in place of the workload's, 0 to keep that.
	Rate float64
	// Duration is how long requests arrive.
	Duration time.Duration
	// Warmup is how much of Duration is left out of the report.
	Warmup time.Duration
	Seed   uint64
	// Label goes into request IDs and idempotency keys. Two runs with one seed
	// before the same fleet need two labels: a key used twice is refused.
	Label string
	// Only has the IDs or classes of the organisations that call, all if empty.
	Only []string
	// PopularityShiftAt is when each organisation's popular texts change places; 0 is never.
	PopularityShiftAt time.Duration
	// CharterChangeAt is when each organisation's first charter gets a new text; 0 is
	// never.
	CharterChangeAt time.Duration
	Burst           Burst
	// Timeout bounds one request, 60 s if 0.
	Timeout time.Duration
	// ChatDeadline is how long the callers of chats say that they will wait, in
	// place of the workload's word, 0 to keep that.
	ChatDeadline time.Duration
	// MaxRetries is how often a request that was refused as not run, with a time
	// to come back, is sent again after that time.
	MaxRetries int
	// FirstTokenGoal is the time to first token that counts into goodput, 880 ms if 0.
	FirstTokenGoal time.Duration
	// HealthCheckInterval is how often the entries' readiness is asked for, as the
	// platform's balancer does; 0 is never.
	HealthCheckInterval time.Duration
	// MaxInFlight bounds requests in flight, 20,000 if 0. What arrives above it
	// is dropped and reported, and the run doesn't count as a measurement.
	MaxInFlight int
	// Progress gets a line each second if set.
	Progress io.Writer
	// OnResult is called with each result, one at a time, warm-up included.
	OnResult func(Result)
}

// Burst multiplies one organisation's rate for a while.
type Burst struct {
	Organisation string
	Factor       float64
	From, Until  time.Duration
}

const (
	defaultTimeout     = time.Minute
	defaultGoal        = 880 * time.Millisecond
	defaultMaxInFlight = 20000
)

var (
	errNoEntries  = errors.New("load: no entries")
	errNoDuration = errors.New("load: duration is not above the warm-up")
)

func (o *Options) complete() error {
	if len(o.Entries) == 0 {
		return errNoEntries
	}
	if o.Duration <= o.Warmup {
		return errNoDuration
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.FirstTokenGoal == 0 {
		o.FirstTokenGoal = defaultGoal
	}
	if o.MaxInFlight == 0 {
		o.MaxInFlight = defaultMaxInFlight
	}
	return nil
}
