package measure

import (
	"time"

	"skylarklead/internal/standin/load"
)

// Policies are the policies of a table: the measured one first, then the baselines.
var Policies = []string{
	PolicyOwner, "random", "round_robin", "least_loaded", "rendezvous_prompt", "rendezvous_bounded", "prefix_tables",
}

// PolicyOwner is the policy that is compared with the others.
const PolicyOwner = "owner"

// Fault is a fault that is injected during a run.
type Fault struct {
	// AtShare is the time of the fault as a fraction of the run's duration.
	AtShare float64
	Inject  func(*Fleet) error
}

// Scenario describes the load and faults of a run.
type Scenario struct {
	Name string
	// Rate is the factor by which the workload's rate is multiplied, 1 if 0.
	Rate float64
	// AdjustLoad, if set, changes the options of the load. Their Duration is set.
	AdjustLoad func(*load.Options, load.Workload)
	// Engine has settings of the stand-in engines.
	Engine map[string]any
	Faults []Fault
	// UnevenLoad marks scenarios in which the load is concentrated on one
	// organisation or on few texts.
	UnevenLoad bool
}

// midRun is the time of faults and changes of load as a fraction of a run.
const midRun = 0.5

// nearSaturation and pastSaturation are rates just below and above the engines'
// decode capacity, as multiples of a workload's rate. overloadDeadline is the
// deadline of callers at these rates.
const (
	nearSaturation   = 5
	pastSaturation   = 7
	overloadDeadline = 3 * time.Second
)

func withOverloadDeadline(o *load.Options, _ load.Workload) { o.ChatDeadline = overloadDeadline }

// eventLoss is the fraction of cache events lost in the scenario "events_lost".
const eventLoss = 0.2

// Scenarios are the scenarios in which policies are compared.
var Scenarios = []Scenario{
	{Name: "steady"},
	{Name: "alone", AdjustLoad: func(o *load.Options, _ load.Workload) { o.Only = []string{load.ClassSmall} }},
	{Name: "tenfold", UnevenLoad: true, AdjustLoad: func(o *load.Options, w load.Workload) {
		o.Burst = load.Burst{Organisation: largestOrganisation(w), Factor: 10, Until: o.Duration}
	}},
	{Name: "shift", UnevenLoad: true, AdjustLoad: func(o *load.Options, _ load.Workload) { o.PopularityShiftAt = fraction(o.Duration, midRun) }},
	{Name: "charter", UnevenLoad: true, AdjustLoad: func(o *load.Options, _ load.Workload) { o.CharterChangeAt = fraction(o.Duration, midRun) }},
	{Name: "crash", Faults: []Fault{{AtShare: midRun, Inject: crashEngines(1)}}},
	{Name: "half_restart", Faults: []Fault{{AtShare: midRun, Inject: func(f *Fleet) error {
		return crashEngines(len(f.Engines) / 2)(f)
	}}}},
	{Name: "log_outage", Faults: []Fault{{AtShare: midRun, Inject: func(f *Fleet) error {
		return f.Control(f.platformURL, map[string]any{"log_down": true})
	}}}},
	{Name: "events_lost", Engine: map[string]any{"event_drop": eventLoss}},
	{Name: "entries_restart", Faults: []Fault{{AtShare: midRun, Inject: restartEntries}}},
	{Name: "near_saturation", Rate: nearSaturation, AdjustLoad: withOverloadDeadline},
	{Name: "past_saturation", Rate: pastSaturation, AdjustLoad: withOverloadDeadline},
	{Name: "twice_saturation", Rate: 2 * pastSaturation, AdjustLoad: withOverloadDeadline},
}

func fraction(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }

func largestOrganisation(w load.Workload) string {
	top := w.Organisations[0]
	for _, o := range w.Organisations {
		if o.Share > top.Share {
			top = o
		}
	}
	return top.ID
}

// crashEngines crashes the first n engines. They restart with an empty cache in
// the same process, so that their statistics are kept.
func crashEngines(n int) func(*Fleet) error {
	return func(f *Fleet) error {
		for _, engine := range f.Engines[:n] {
			// The response is lost, since the crash drops all connections.
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
