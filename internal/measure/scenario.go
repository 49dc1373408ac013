package measure

import (
	"time"

	"skylarklead/internal/standin/load"
)

// Policies are the rows of a table: ours first, then the baselines.
var Policies = []string{
	PolicyOwner, "random", "round_robin", "least_loaded", "rendezvous_prompt", "rendezvous_bounded", "prefix_tables",
}

// PolicyOwner is the policy that is measured against the others.
const PolicyOwner = "owner"

// Fault is something that goes wrong during a run.
type Fault struct {
	// At is when, as a share of the whole duration.
	At float64
	Do func(*Fleet) error
}

// Scenario is what happens in a run.
type Scenario struct {
	Name string
	// Rate multiplies the workload's rate; 0 is 1.
	Rate float64
	// Load changes the load's options, whose Duration is set.
	Load func(*load.Options, load.Workload)
	// Engine are settings of the stand-in engines.
	Engine map[string]any
	Faults []Fault
	// Hot marks the scenarios whose load is uneven.
	Hot bool
}

// middle is when things happen, as a share of a run.
const middle = 0.5

// Rates that come near and pass what the engines can decode, as multiples of a
// workload's own, and how long callers then wait for an answer.
const (
	nearSaturation = 5
	pastSaturation = 7
	patience       = 3 * time.Second
)

func impatient(o *load.Options, _ load.Workload) { o.ChatDeadline = patience }

// eventLoss is the share of cache events lost in the scenario of that name.
const eventLoss = 0.2

// Scenarios are the situations of the users' brief.
var Scenarios = []Scenario{
	{Name: "steady"},
	{Name: "alone", Load: func(o *load.Options, _ load.Workload) { o.Only = []string{load.ClassSmall} }},
	{Name: "tenfold", Hot: true, Load: func(o *load.Options, w load.Workload) {
		o.Burst = load.Burst{Organisation: largest(w), Factor: 10, Until: o.Duration}
	}},
	{Name: "shift", Hot: true, Load: func(o *load.Options, _ load.Workload) { o.PopularityShiftAt = share(o.Duration, middle) }},
	{Name: "charter", Hot: true, Load: func(o *load.Options, _ load.Workload) { o.CharterChangeAt = share(o.Duration, middle) }},
	{Name: "crash", Faults: []Fault{{At: middle, Do: crashEngines(1)}}},
	{Name: "half_restart", Faults: []Fault{{At: middle, Do: func(f *Fleet) error {
		return crashEngines(len(f.Engines) / 2)(f)
	}}}},
	{Name: "log_outage", Faults: []Fault{{At: middle, Do: func(f *Fleet) error {
		return f.Control(f.base, map[string]any{"log_down": true})
	}}}},
	{Name: "events_lost", Engine: map[string]any{"event_drop": eventLoss}},
	{Name: "entries_restart", Faults: []Fault{{At: middle, Do: restartEntries}}},
	{Name: "near_saturation", Rate: nearSaturation, Load: impatient},
	{Name: "past_saturation", Rate: pastSaturation, Load: impatient},
	{Name: "twice_saturation", Rate: 2 * pastSaturation, Load: impatient},
}

func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

func largest(w load.Workload) string {
	top := w.Organisations[0]
	for _, o := range w.Organisations {
		if o.Share > top.Share {
			top = o
		}
	}
	return top.ID
}

// crashEngines crashes the first n engines, which come back empty within their
// processes so that their accounts last.
func crashEngines(n int) func(*Fleet) error {
	return func(f *Fleet) error {
		for _, engine := range f.Engines[:n] {
			// The answer goes down with the engine's connections.
			_ = f.Control("http://"+engine.address, map[string]any{"crash": true})
		}
		return nil
	}
}

func restartEntries(f *Fleet) error {
	for _, n := range f.Entries {
		if err := n.daemon.restart(); err != nil {
			return err
		}
	}
	return nil
}
