package endpoint

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"skylarklead/internal/engine"
	"skylarklead/internal/follow"
	"skylarklead/internal/lease"
	"skylarklead/internal/platform"
	"skylarklead/internal/protocol"
	standinengine "skylarklead/internal/standin/engine"
	"skylarklead/test/kit"
)

// startStandinEngine runs the stand-in engine with model m at version v1 and returns
// its base URL. Its load report lags.
func startStandinEngine(t *testing.T) string {
	t.Helper()
	return serveStandinEngine(t, standinengine.DefaultSettings())
}

// startCurrentStandinEngine runs one whose load report doesn't lag.
func startCurrentStandinEngine(t *testing.T) string {
	t.Helper()
	settings := standinengine.DefaultSettings()
	settings.LoadLagMs = 0
	return serveStandinEngine(t, settings)
}

func serveStandinEngine(t *testing.T, settings standinengine.Settings) string {
	t.Helper()
	e := standinengine.New(standinengine.Options{Model: "m", Version: "v1", Role: "mixed", Seed: 1, Settings: settings})
	ctx, stop := context.WithCancel(context.Background())
	address, served := make(chan string, 1), make(chan error, 1)
	go func() { served <- e.Serve(ctx, "127.0.0.1:0", func(a string) { address <- a }) }()
	t.Cleanup(func() {
		stop()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return "http://" + <-address
}

func publish(t *testing.T, base string, records ...string) uint64 {
	t.Helper()
	var data [][]byte
	for _, r := range records {
		data = append(data, []byte(r))
	}
	first := kit.Must(platform.NewLog(base).Append(context.Background(), follow.Stream, data))(t)
	return first
}

func isLoading(t *testing.T, c *engine.Client) bool {
	t.Helper()
	state := kit.Must(c.State(context.Background()))(t)
	return state.Loading
}

// Guards against all replicas of a group loading weights at once: they are restarted
// while the platform's instance list is unavailable, or wait for a member that is listed
// and doesn't serve. A process that knows no member must not take itself for the only
// one.
func TestLoadsOnlyWithAnotherAtWork(t *testing.T) {
	e, log := newTestEndpoint(t)
	p := &e.weights
	p.leases.CaughtUp(e.now())
	for _, a := range p.permit.Acquire(e.now()) {
		p.leases.ApplyRecord(1, a.(lease.Append).Data, e.now())
	}
	other := platform.Instance{ID: "ep-2", Role: platform.RoleEndpoint, Address: "127.0.0.1:1", Group: "g", State: platform.StateLive}
	receiveHeartbeat := func(seq uint64, up bool) {
		hb := &protocol.Heartbeat{ID: "ep-2", Epoch: 1, Seq: seq, Load: protocol.Load{EngineUp: up}}
		e.group.view.HeartbeatReceived(hb, e.now())
		peer := e.group.peer("ep-2")
		peer.load, peer.hasLoad = hb.Load, true
	}
	for _, step := range []struct {
		name string
		do   func()
		want bool
	}{
		{"the list was never read", func() {}, false},
		{"the list is unavailable", func() { e.onList(nil, errors.New("out")) }, false},
		{"alone by the list", func() { e.onList(nil, nil) }, true},
		{"another is listed and has sent no heartbeat", func() { e.onList([]platform.Instance{other}, nil) }, false},
		{"it is loading weights too", func() { receiveHeartbeat(1, false) }, false},
		{"it serves", func() { receiveHeartbeat(2, true) }, true},
		{"it is silent, and the permit still held", func() { e.started = e.started.Add(-5 * time.Second) }, false},
	} {
		step.do()
		if got := e.mayLoad(); got != step.want {
			t.Errorf("%s: may load: %v", step.name, got)
		}
	}
	if n := strings.Count(log.take(), "weight load postponed"); n != 3 {
		t.Errorf("the log has %d lines on a postponed load, want one each time that it begins", n)
	}
}

// Guards against engines that keep the old version after a new one is published, and
// against a group that loads all at once and serves nothing meanwhile. A model's record
// changes its version; two replicas share one permit, or have one each. Only the
// processes beside the engines send them orders, and permits alone don't check how many
// replicas still serve.
func TestEnginesGetTheConfiguredWeights(t *testing.T) {
	for permits := 1; permits <= 2; permits++ {
		t.Run(fmt.Sprintf("permits %d", permits), func(t *testing.T) { testConfiguredWeights(t, permits) })
	}
}

func testConfiguredWeights(t *testing.T, permits int) {
	backends := []string{startStandinEngine(t), startStandinEngine(t)}
	var engines []*engine.Client
	for _, backend := range backends {
		engines = append(engines, engine.NewClient(backend))
	}
	processes, url := startEndpoints(t, nil, backends...)
	publish(t, url, fmt.Sprintf(`{"schema":2,"kind":"group","key":"g","base":0,"body":{"load_permits":%d}}`, permits),
		`{"schema":2,"kind":"model","key":"m","base":0,"body":{"group":"g","versions":["v1","v2"],"version":"v2"}}`)
	kit.Until(t, "the new weights", func() bool {
		loading, loaded := 0, 0
		for _, c := range engines {
			state := kit.Must(c.State(context.Background()))(t)
			if state.Loading {
				loading++
			}
			if state.Version == "v2" {
				loaded++
			}
		}
		if loading > 1 && isLoading(t, engines[0]) {
			// The first was seen loading before and after the second was.
			t.Fatal("both load at once")
		}
		return loaded == len(engines)
	})
	for _, p := range processes {
		n := p.dial("tool")
		kit.Until(t, "the decision's record", func() bool {
			x := n.call(&protocol.ExplainRequest{Request: "load_version:m@v2"}).(*protocol.Explanation)
			return slices.ContainsFunc(x.Records, func(r protocol.DecisionRecord) bool { return r.Reason == "in_force" })
		})
		run := chat(1)
		n.send(run)
		if _, end := n.answer(0); end.Outcome != protocol.NotRun {
			t.Fatalf("a request for v1 ran under v2: %+v", end)
		}
	}
}
