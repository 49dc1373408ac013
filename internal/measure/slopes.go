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

// Spread sums up one figure over the daemons of a role.
type Spread struct {
	Mean   float64 `json:"mean"`
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

func spreadOf(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	slices.SortFunc(values, cmp.Compare[float64])
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return Spread{
		Mean: sum / float64(len(values)), Median: values[len(values)/2], Min: values[0], Max: values[len(values)-1],
	}
}

// RoleUse is what the daemons of a role used in one window.
type RoleUse struct {
	// CPU is a share of one core, user and system.
	CPU Spread `json:"cpu"`
	// ControlSent and ControlReceived are bytes a second of control messages, as
	// the daemons count their frames; Data is both ways together.
	ControlSent     Spread `json:"control_sent"`
	ControlReceived Spread `json:"control_received"`
	Data            Spread `json:"data"`
	// Sessions and Platform are bytes a second on the wire, both ways, with
	// headers of TCP and IP, by the kernel's account of the sockets that are
	// open at both ends of the window.
	Sessions Spread `json:"sessions_wire"`
	Platform Spread `json:"platform_wire"`
	// Sockets is how many connections to and from peers are open.
	Sockets Spread `json:"sockets"`
	// RSS is resident memory at the end of the window in bytes.
	RSS Spread `json:"rss"`
}

// SlopePoint is one window of one small fleet.
type SlopePoint struct {
	Members int     `json:"members"`
	Entries int     `json:"entries"`
	Rate    float64 `json:"rate"`
	// AnswerTokens is the length of each answer that was asked for.
	AnswerTokens int     `json:"answer_tokens"`
	Repeat       int     `json:"repeat"`
	Seconds      float64 `json:"seconds"`
	// Requests and Tokens are what the entries count in the window; InFlight is
	// at its end.
	Requests float64 `json:"requests"`
	Tokens   float64 `json:"tokens"`
	InFlight float64 `json:"in_flight"`
	// Running and Waiting are the engines' own account at the window's end,
	// EngineTokens what they produced in it.
	Running      int                  `json:"engines_running"`
	Waiting      int                  `json:"engines_waiting"`
	EngineTokens int                  `json:"engines_tokens"`
	CacheTokens  int                  `json:"cache_tokens,omitempty"`
	Outcomes     map[load.Outcome]int `json:"outcomes,omitempty"`
	Endpoint     RoleUse              `json:"endpoint"`
	Entry        RoleUse              `json:"entry"`
}

// SlopeOptions are what all points of a run share.
type SlopeOptions struct {
	// Bin is the folder of the programs.
	Bin string
	// Window is how long each point is measured, Warmup how long it runs before.
	Window, Warmup time.Duration
	Keep           bool
	// Lock is a file that is locked during each point, so that measurements of
	// several processes take turns; empty for none.
	Lock string
}

// slopeFleet is the shape and load of one point.
type slopeFleet struct {
	members, entries int
	rate             float64
	answerTokens     int
	// stepMs is the engines' time for one token of all running requests.
	stepMs float64
	// cacheTokens is the room of engines and admission; 0 for their defaults.
	cacheTokens int
}

const (
	slopeGroup    = "slopes"
	slopeServices = "slopes-calls"
	slopeKey      = "key-slopes-00"
	// slopeCharters and slopeCases are the shared texts below the standing
	// instructions, as many as keep a group's caches turning over.
	slopeCharters = 8
	slopeCases    = 40
)

func (s slopeFleet) deployment() Deployment {
	return Deployment{
		Name: "slopes", Domains: []string{"domain-a"}, Group: slopeGroup, Model: slopeGroup,
		Engines: s.members, ServiceGroup: slopeServices, Entries: s.entries, LoadsAtOnce: 3,
	}
}

// workload has prompts of about 1,500 tokens on three shared levels.
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
			Requests: []load.Request{{Name: "chat", Share: 1, Chat: &load.Chat{
				Model:          slopeGroup,
				Charter:        load.Shared{Tokens: 800, Count: slopeCharters, Skew: 1},
				Case:           load.Shared{Tokens: 200, Count: slopeCases, Skew: 1},
				QuestionTokens: 40, MinTokens: s.answerTokens, MaxTokens: s.answerTokens,
			}}},
		}},
	}
}

// engine makes stand-in engines that are never the bottleneck.
func (s slopeFleet) engine() map[string]any {
	control := map[string]any{
		"prefill_tokens_per_second": 2_000_000, "prefill_chunk": 100_000,
		"step_ms": s.stepMs, "step_per_request_ms": 0, "max_batch": 1024,
	}
	if s.cacheTokens > 0 {
		control["cache_tokens"] = s.cacheTokens
	}
	return control
}

// room lets an endpoint run whatever the slopes ask of it.
func (s slopeFleet) room(to *settings.Settings) {
	if to.Endpoint == nil {
		return
	}
	to.Endpoint.MaxRunning, to.Endpoint.MaxQueue = 1024, 4096
	if s.cacheTokens > 0 {
		to.Endpoint.CacheTokens = s.cacheTokens
	}
}

// fleet are the options of a fleet of this shape.
func (s slopeFleet) fleet(dir string, o SlopeOptions) FleetOptions {
	return FleetOptions{Bin: o.Bin, Dir: dir, Policy: PolicyOwner, Engine: s.engine(), Settings: s.room}
}

// measurePoint runs one small fleet and measures one window of it.
func measurePoint(ctx context.Context, s slopeFleet, o SlopeOptions) (p SlopePoint, err error) {
	dir, remove, err := tempDir(o.Keep)
	if err != nil {
		return p, err
	}
	defer remove()
	f, err := StartFleet(ctx, s.deployment(), s.workload(), s.fleet(dir, o))
	if err != nil {
		return p, err
	}
	defer f.Close()
	return f.window(ctx, s, o)
}

// window loads the fleet, if it is to be loaded, and reads its use before and
// after.
func (f *Fleet) window(ctx context.Context, s slopeFleet, o SlopeOptions) (p SlopePoint, err error) {
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
	before, enginesBefore, err := f.uses()
	if err != nil {
		return p, err
	}
	if err := wait.For(ctx, o.Window); err != nil {
		return p, err
	}
	after, engines, err := f.uses()
	if err != nil {
		return p, err
	}
	if err := <-loaded; err != nil {
		return p, err
	}
	p = f.point(s, before, after)
	p.Running, p.Waiting = engines.Running, engines.Waiting
	p.EngineTokens = engines.Totals.CompletionTokens - enginesBefore.Totals.CompletionTokens
	if report != nil {
		p.Outcomes = report.All.Outcomes
	}
	return p, nil
}

func (f *Fleet) point(s slopeFleet, before, after map[string]use) SlopePoint {
	p := SlopePoint{Members: s.members, Entries: s.entries, Rate: s.rate, AnswerTokens: s.answerTokens, CacheTokens: s.cacheTokens}
	p.Endpoint = roleUse(f.Engines, before, after)
	p.Entry = roleUse(f.Entries, before, after)
	for _, n := range f.Entries {
		a, b := after[n.id], before[n.id]
		p.Seconds = a.at.Sub(b.at).Seconds()
		p.Requests += value(a.page, "requests") - value(b.page, "requests")
		p.Tokens += value(a.page, "tokens_generated") - value(b.page, "tokens_generated")
		p.InFlight += value(a.page, "requests") - value(a.page, "completed")
	}
	return p
}

// uses reads all daemons, and the sum of the engines' accounts.
func (f *Fleet) uses() (map[string]use, engine.Account, error) {
	var sum engine.Account
	for _, n := range f.Engines {
		var account engine.Account
		if err := getJSON("http://"+n.address+"/control/account", &account); err != nil {
			return nil, sum, err
		}
		sum.Running += account.Running
		sum.Waiting += account.Waiting
		sum.Totals.CompletionTokens += account.Totals.CompletionTokens
	}
	daemons, err := f.use()
	return daemons, sum, err
}

// use is what one daemon has used up to a moment.
type use struct {
	at      time.Time
	page    telemetry.MetricsPage
	rss     float64
	sockets map[string]socket
}

func roleUse(nodes []*node, before, after map[string]use) (r RoleUse) {
	collect := func(figure func(b, a use, seconds float64) float64) Spread {
		var values []float64
		for _, n := range nodes {
			b, a := before[n.id], after[n.id]
			values = append(values, figure(b, a, a.at.Sub(b.at).Seconds()))
		}
		return spreadOf(values)
	}
	rate := func(names ...string) Spread {
		return collect(func(b, a use, seconds float64) (sum float64) {
			for _, name := range names {
				sum += value(a.page, name) - value(b.page, name)
			}
			return sum / seconds
		})
	}
	wire := func(k socketKind) Spread {
		return collect(func(b, a use, seconds float64) float64 { return wireBytes(b.sockets, a.sockets, k) / seconds })
	}
	r.CPU = rate("cpu_seconds")
	r.ControlSent, r.ControlReceived = rate("control_bytes_sent"), rate("control_bytes_received")
	r.Data = rate("data_bytes_sent", "data_bytes_received")
	r.Sessions, r.Platform = wire(socketPeer), wire(socketPlatform)
	r.Sockets = collect(func(_, a use, _ float64) float64 { return float64(countSockets(a.sockets, socketPeer)) })
	r.RSS = collect(func(_, a use, _ float64) float64 { return a.rss })
	return r
}
