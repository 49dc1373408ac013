package measure

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"skylarklead/internal/config"
	"skylarklead/internal/settings"
	"skylarklead/internal/standin/engine"
	"skylarklead/internal/standin/load"
	"skylarklead/internal/telemetry"
	"skylarklead/internal/wait"
)

// Summary summarizes one measure over the daemons of a role.
type Summary struct {
	Mean   float64 `json:"mean"`
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

func summarize(values []float64) Summary {
	if len(values) == 0 {
		return Summary{}
	}
	slices.SortFunc(values, cmp.Compare[float64])
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return Summary{
		Mean: sum / float64(len(values)), Median: values[len(values)/2], Min: values[0], Max: values[len(values)-1],
	}
}

// RoleUsage is the resource usage of the daemons of a role in one window.
type RoleUsage struct {
	// CPU is user and system time as a fraction of one core.
	CPU Summary `json:"cpu"`
	// ControlSent and ControlReceived are the bytes per second of control message
	// frames by the daemons' metrics, Data those of data frames sent and received.
	ControlSent     Summary `json:"control_sent"`
	ControlReceived Summary `json:"control_received"`
	Data            Summary `json:"data"`
	// Sessions and Platform are the bytes per second on the wire of sessions with
	// peers and of connections to the platform, sent and received, including TCP
	// and IP headers. They are from the kernel's statistics of the sockets that
	// are open both at the start and at the end of the window.
	Sessions Summary `json:"sessions_wire"`
	Platform Summary `json:"platform_wire"`
	// Sockets is the number of open connections to and from peers.
	Sockets Summary `json:"sockets"`
	// RSS is the resident memory at the end of the window in bytes.
	RSS Summary `json:"rss"`
}

// SlopePoint is a measurement of one fleet over one window.
type SlopePoint struct {
	Members int     `json:"members"`
	Entries int     `json:"entries"`
	Rate    float64 `json:"rate"`
	// AnswerTokens is the requested length of each answer.
	AnswerTokens int     `json:"answer_tokens"`
	Repeat       int     `json:"repeat"`
	Seconds      float64 `json:"seconds"`
	// Requests and Tokens are counted by the entries during the window; InFlight
	// is the number of requests in flight at its end.
	Requests float64 `json:"requests"`
	Tokens   float64 `json:"tokens"`
	InFlight float64 `json:"in_flight"`
	// Running and Waiting are the engines' running and waiting requests at the end
	// of the window, EngineTokens the tokens that they generated during it.
	Running      int                  `json:"engines_running"`
	Waiting      int                  `json:"engines_waiting"`
	EngineTokens int                  `json:"engines_tokens"`
	CacheTokens  int                  `json:"cache_tokens,omitempty"`
	Outcomes     map[load.Outcome]int `json:"outcomes,omitempty"`
	Endpoint     RoleUsage            `json:"endpoint"`
	Entry        RoleUsage            `json:"entry"`
}

// SlopeOptions are the options that all points of a run share.
type SlopeOptions struct {
	// Bin is the folder of the programs.
	Bin string
	// Window is how long each point is measured, Warmup how long it runs before
	// that.
	Window, Warmup time.Duration
	Keep           bool
	// Lock is a file that is locked during each point, so that concurrent processes
	// don't measure at the same time; empty for none.
	Lock string
}

// slopeFleet describes the fleet and load of one point.
type slopeFleet struct {
	members, entries int
	rate             float64
	answerTokens     int
	// stepMs is the engines' time for a decode step, regardless of the batch size.
	stepMs float64
	// cacheTokens is the cache size of engines and of the endpoints' admission, 0
	// for their defaults.
	cacheTokens int
}

const (
	slopeGroup    = "slopes"
	slopeServices = "slopes-calls"
	slopeKey      = "key-slopes-00"
	// slopeCharters and slopeCases are the numbers of shared texts below the
	// standing instructions, enough to cause steady eviction in a group's caches.
	slopeCharters = 8
	slopeCases    = 40
)

func (s slopeFleet) deployment() Deployment {
	return Deployment{
		Name: "slopes", Domains: []string{"domain-a"}, Group: slopeGroup, Model: slopeGroup,
		Engines: s.members, ServiceGroup: slopeServices, Entries: s.entries, ConcurrentLoads: 3,
	}
}

// workload returns a workload with prompts of about 1,500 tokens that share three
// levels of prefixes.
func (s slopeFleet) workload() load.Workload {
	group := json.RawMessage(`{"load_permits":3}`)
	model := json.RawMessage(`{"group":"slopes","versions":["v1"],"version":"v1","max_tokens":4096}`)
	return load.Workload{
		Name: "slopes", Rate: max(s.rate, 1),
		Records: []config.Record{
			{Schema: 2, Kind: config.KindGroup, Key: slopeGroup, Body: group},
			{Schema: 2, Kind: config.KindModel, Key: slopeGroup, Body: model},
		},
		Organisations: []load.Organisation{{
			ID: "organisation-slopes", Class: load.ClassLarge, APIKey: slopeKey, Share: 1, Weight: 1,
			Instructions: []load.Instruction{{Seed: "slopes", Tokens: 400}},
			Requests: []load.RequestKind{{Name: "chat", Share: 1, Chat: &load.Chat{
				Model:          slopeGroup,
				Charter:        load.SharedTexts{Tokens: 800, Count: slopeCharters, Skew: 1},
				Case:           load.SharedTexts{Tokens: 200, Count: slopeCases, Skew: 1},
				QuestionTokens: 40, MinTokens: s.answerTokens, MaxTokens: s.answerTokens,
			}}},
		}},
	}
}

// engineSettings returns settings with which stand-in engines are never the
// bottleneck.
func (s slopeFleet) engineSettings() map[string]any {
	control := map[string]any{
		"prefill_tokens_per_second": 2_000_000, "prefill_chunk": 100_000,
		"step_ms": s.stepMs, "step_per_request_ms": 0, "max_batch": 1024,
	}
	if s.cacheTokens > 0 {
		control["cache_tokens"] = s.cacheTokens
	}
	return control
}

// raiseLimits raises an endpoint's limits so that it admits all requests of a
// measurement.
func (s slopeFleet) raiseLimits(to *settings.Settings) {
	if to.Endpoint == nil {
		return
	}
	to.Endpoint.MaxRunning, to.Endpoint.MaxQueue = 1024, 4096
	if s.cacheTokens > 0 {
		to.Endpoint.CacheTokens = s.cacheTokens
	}
}

// fleetOptions returns the options of the fleet.
func (s slopeFleet) fleetOptions(dir string, o SlopeOptions) FleetOptions {
	return FleetOptions{Bin: o.Bin, Dir: dir, Policy: PolicyOwner, Engine: s.engineSettings(), Settings: s.raiseLimits}
}

// measurePoint starts a fleet and measures it over one window.
func measurePoint(ctx context.Context, s slopeFleet, o SlopeOptions) (p SlopePoint, err error) {
	dir, remove, err := tempDir(o.Keep)
	if err != nil {
		return p, err
	}
	defer remove()
	f, err := StartFleet(ctx, s.deployment(), s.workload(), s.fleetOptions(dir, o))
	if err != nil {
		return p, err
	}
	defer f.Close()
	return f.measureWindow(ctx, s, o)
}

// measureWindow runs the load on the fleet, if its rate isn't 0, and measures the
// usage over the window after the warm-up.
func (f *Fleet) measureWindow(ctx context.Context, s slopeFleet, o SlopeOptions) (p SlopePoint, err error) {
	loaded := make(chan error, 1)
	var report *load.Report
	go func() {
		if s.rate == 0 {
			loaded <- nil
			return
		}
		var err error
		report, err = load.Run(ctx, s.workload(), load.Options{
			Entries: f.EntryURLs(), Duration: o.Warmup + o.Window + time.Second, Seed: 1, Rate: s.rate,
		})
		loaded <- err
	}()
	if err := wait.For(ctx, o.Warmup); err != nil {
		return p, err
	}
	before, enginesBefore, err := f.readUsage()
	if err != nil {
		return p, err
	}
	if err := wait.For(ctx, o.Window); err != nil {
		return p, err
	}
	after, engines, err := f.readUsage()
	if err != nil {
		return p, err
	}
	if err := <-loaded; err != nil {
		return p, err
	}
	p = f.newPoint(s, before, after)
	p.Running, p.Waiting = engines.Running, engines.Waiting
	p.EngineTokens = engines.Totals.CompletionTokens - enginesBefore.Totals.CompletionTokens
	if report != nil {
		p.Outcomes = report.All.Outcomes
	}
	return p, nil
}

func (f *Fleet) newPoint(s slopeFleet, before, after map[string]usage) SlopePoint {
	p := SlopePoint{Members: s.members, Entries: s.entries, Rate: s.rate, AnswerTokens: s.answerTokens, CacheTokens: s.cacheTokens}
	p.Endpoint = newRoleUsage(f.Engines, before, after)
	p.Entry = newRoleUsage(f.Entries, before, after)
	for _, n := range f.Entries {
		a, b := after[n.id], before[n.id]
		p.Seconds = a.at.Sub(b.at).Seconds()
		p.Requests += metricValue(a.page, "requests") - metricValue(b.page, "requests")
		p.Tokens += metricValue(a.page, "tokens_generated") - metricValue(b.page, "tokens_generated")
		p.InFlight += metricValue(a.page, "requests") - metricValue(a.page, "completed")
	}
	return p
}

// readUsage returns the usage of all daemons, and the engines' running and waiting
// requests and generated tokens, summed over all engines.
func (f *Fleet) readUsage() (map[string]usage, engine.Stats, error) {
	var sum engine.Stats
	for _, n := range f.Engines {
		var stats engine.Stats
		if err := getJSON("http://"+n.address+"/control/account", &stats); err != nil {
			return nil, sum, err
		}
		sum.Running += stats.Running
		sum.Waiting += stats.Waiting
		sum.Totals.CompletionTokens += stats.Totals.CompletionTokens
	}
	daemons, err := f.daemonUsage()
	return daemons, sum, err
}

// usage has one daemon's cumulative resource usage at a point in time.
type usage struct {
	at      time.Time
	page    telemetry.MetricsPage
	rss     float64
	sockets map[string]socket
}

func newRoleUsage(nodes []*node, before, after map[string]usage) (r RoleUsage) {
	collect := func(value func(b, a usage, seconds float64) float64) Summary {
		var values []float64
		for _, n := range nodes {
			b, a := before[n.id], after[n.id]
			values = append(values, value(b, a, a.at.Sub(b.at).Seconds()))
		}
		return summarize(values)
	}
	rate := func(names ...string) Summary {
		return collect(func(b, a usage, seconds float64) (sum float64) {
			for _, name := range names {
				sum += metricValue(a.page, name) - metricValue(b.page, name)
			}
			return sum / seconds
		})
	}
	wire := func(k socketKind) Summary {
		return collect(func(b, a usage, seconds float64) float64 { return wireBytes(b.sockets, a.sockets, k) / seconds })
	}
	r.CPU = rate("cpu_seconds")
	r.ControlSent, r.ControlReceived = rate("control_bytes_sent"), rate("control_bytes_received")
	r.Data = rate("data_bytes_sent", "data_bytes_received")
	r.Sessions, r.Platform = wire(socketPeer), wire(socketPlatform)
	r.Sockets = collect(func(_, a usage, _ float64) float64 { return float64(countSockets(a.sockets, socketPeer)) })
	r.RSS = collect(func(_, a usage, _ float64) float64 { return a.rss })
	return r
}
