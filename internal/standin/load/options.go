package load

import (
	"errors"
	"io"
	"time"
)

// Options configure a run.
type Options struct {
	// Entries are the base URLs of the entries, used in round-robin order.
	Entries []string
	// Rate is the arrivals per second, the workload's rate if 0.
	Rate float64
	// Duration is how long requests arrive.
	Duration time.Duration
	// Warmup is the initial part of Duration that is left out of the report.
	Warmup time.Duration
	Seed   uint64
	// Label is part of request IDs and idempotency keys. Two runs with the same
	// seed against the same fleet need different labels, since a reused key is
	// refused.
	Label string
	// Only restricts the run to organisations with these IDs or classes; empty
	// includes all.
	Only []string
	// PopularityShiftAt is when the popularity of each organisation's texts is
	// permuted, 0 for never.
	PopularityShiftAt time.Duration
	// CharterChangeAt is when each organisation's first charter gets a new text,
	// 0 for never.
	CharterChangeAt time.Duration
	Burst           Burst
	// Timeout bounds one request, 60 s if 0.
	Timeout time.Duration
	// ChatDeadline is the deadline that callers send with chat requests, the
	// workload's if 0.
	ChatDeadline time.Duration
	// MaxRetries is how often a request is retried that was refused as not run
	// with a retry-after time. Each retry waits for that time.
	MaxRetries int
	// FirstTokenGoal is the time to first token up to which a chat counts towards
	// goodput, 880 ms if 0.
	FirstTokenGoal time.Duration
	// HealthCheckInterval is how often the readiness of entries is checked, as the
	// platform's load balancer does, 0 for never.
	HealthCheckInterval time.Duration
	// MaxInFlight bounds requests in flight, 20,000 if 0. Requests above it are
	// dropped and reported, and make the run invalid as a measurement.
	MaxInFlight int
	// Progress receives a line each second if set.
	Progress io.Writer
	// OnResult is called with each result, including the warm-up's. Calls don't
	// overlap.
	OnResult func(Result)
}

// Burst multiplies one organisation's rate by Factor between From and Until.
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
	errNoDuration = errors.New("load: duration must be longer than the warm-up")
)

func (o *Options) applyDefaults() error {
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
