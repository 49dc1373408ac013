package fleet

import (
	"testing"
	"time"
)

func rankedConfiguration() *Configuration {
	to := func(services ...string) []Target {
		var targets []Target
		for _, s := range services {
			targets = append(targets, Target{Service: s, Weight: 1})
		}
		return targets
	}
	c := &Configuration{Routes: []Route{
		{Name: "short", Priority: 0, LatencyTarget: 250 * time.Millisecond, Targets: to("model")},
		{Name: "long", Priority: 2, LatencyTarget: 600 * time.Millisecond, Targets: to("model", "other")},
		{Name: "untimed", Priority: 1, Targets: to("model")},
		{Name: "patient", Priority: 0, LatencyTarget: 800 * time.Millisecond, Targets: to("desk")},
		{Name: "eager", Priority: 1, LatencyTarget: 600 * time.Millisecond, Targets: to("desk")},
	}}
	c.Index()
	return c
}

// Guards against requests that fill replicas up to a target so long that better-ranked ones with a
// shorter target can't be served there in time.
func TestQueueTargetIsTheShortestOfBetterRanks(t *testing.T) {
	c := rankedConfiguration()
	for _, want := range []struct {
		route   int
		service string
		target  time.Duration
	}{
		{0, "model", 250 * time.Millisecond},
		{1, "model", 250 * time.Millisecond},
		{1, "other", 600 * time.Millisecond},
		{2, "model", 250 * time.Millisecond},
		{3, "desk", 800 * time.Millisecond},
		{4, "desk", 600 * time.Millisecond},
		{0, "unknown", 0},
	} {
		r := &c.Routes[want.route]
		if got := c.QueueTarget(r, want.service); got != want.target {
			t.Errorf("%s at %s: %v, want %v", r.Name, want.service, got, want.target)
		}
	}
}

// Guards against routes' priorities that count for nothing as soon as organisations have some.
func TestRankIsByOrganisationThenRoute(t *testing.T) {
	c := rankedConfiguration()
	first, second := 0, 1
	ranked := []struct {
		o     *Organisation
		route int
	}{
		{&Organisation{Priority: &first}, 0}, {&Organisation{Priority: &first}, 1},
		{&Organisation{Priority: &second}, 0}, {&Organisation{Priority: &second}, 2}, {&Organisation{Priority: &second}, 1},
	}
	for i := range ranked[1:] {
		a, b := ranked[i], ranked[i+1]
		if ra, rb := c.Rank(a.o, &c.Routes[a.route]), c.Rank(b.o, &c.Routes[b.route]); ra >= rb {
			t.Errorf("rank %d of %s is not before rank %d of %s", ra, c.Routes[a.route].Name, rb, c.Routes[b.route].Name)
		}
	}
	for _, o := range []*Organisation{nil, {}} {
		if got := c.Rank(o, &c.Routes[1]); got != c.Routes[1].Priority {
			t.Errorf("rank %d without an organisation's priority", got)
		}
	}
}
