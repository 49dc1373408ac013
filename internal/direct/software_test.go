package direct

import (
	"cmp"
	"testing"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/origin"
)

// newStreamRequest is a request that was begun at a replica and waits for another one.
func newStreamRequest(e *Entry, service *fleet.Service, begunAt *fleet.Replica) *request {
	now := e.clock.now()
	config := &configuration{Configuration: &fleet.Configuration{}}
	config.Index()
	return &request{
		entry: e, config: config, service: service, begunAt: begunAt, firstByte: time.Millisecond,
		started: now, deadline: now + 4*time.Second, placed: make(chan *placement, 1),
		route: &fleet.Route{Kind: fleet.Streaming, Resumable: true},
	}
}

// Guards against the software of an incarnation that answered under the name of the one that the entry
// believed to address: it isn't known then which of the two wrote.
func TestSoftwareOfAReplicaThatMayHaveBeenAnother(t *testing.T) {
	begun := &fleet.Replica{ID: "a@1", Name: "a", StartedAtMs: 1, Software: "v1"}
	for name, c := range map[string]struct {
		begun, latest *fleet.Replica
		want          string
	}{
		"gone":                      {begun, nil, "v1"},
		"same incarnation":          {begun, begun, "v1"},
		"registered since":          {&fleet.Replica{ID: "a@1", Name: "a", StartedAtMs: 1}, begun, "v1"},
		"restarted, same software":  {begun, &fleet.Replica{ID: "a@2", Name: "a", StartedAtMs: 2, Software: "v1"}, "v1"},
		"restarted, other software": {begun, &fleet.Replica{ID: "a@2", Name: "a", StartedAtMs: 2, Software: "v2"}, ""},
		"restarted, not known":      {begun, &fleet.Replica{ID: "a@2", Name: "a", StartedAtMs: 2}, ""},
		"other software, one name":  {&fleet.Replica{ID: "a", Name: "a", Software: "v1"}, &fleet.Replica{ID: "a", Name: "a", Software: "v2"}, ""},
	} {
		s := newState("entry-1", newQueueEntry(t).state.retryBudget)
		if c.latest != nil {
			s.replicas.Put(c.latest, 1, 0)
		}
		if got := s.softwareAt(c.begun); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

// Guards against a stream that waits for replicas of its software and holds up all requests behind it,
// and against one that waits although none is left.
func TestStreamThatCantResumeHoldsUpNothing(t *testing.T) {
	e := newQueueEntry(t)
	s := e.state
	service := &fleet.Service{Name: "s"}
	s.replicas.Put(&fleet.Replica{ID: "a", Name: "a", Service: "s", Software: "v1", Slots: 1}, 1, 0)
	s.replicas.Put(&fleet.Replica{ID: "b", Name: "b", Service: "s", Software: "v2", Slots: 1}, 2, 0)
	s.replicas.MarkUnreachable("a", e.clock.now())
	s.uses.Written(origin.UseName{Service: "s", Version: "v2"}.Use(), 0, e.clock.now())
	place := func(req *request) {
		q := s.queueOf(service)
		q.queueFor(req).Add(req.newQueuedRequest(e.clock.now()))
		s.placeAndReject(q, e.clock.now())
	}
	bound := newStreamRequest(e, service, &fleet.Replica{ID: "c", Name: "c", Service: "s", Software: "v1"})
	place(bound)
	fresh := newStreamRequest(e, service, nil)
	place(fresh)
	select {
	case p := <-fresh.placed:
		if p == nil || p.replica.ID != "b" {
			t.Fatalf("a new stream was placed at %+v", p)
		}
	default:
		t.Fatal("a new stream waits behind one that no replica can take")
	}
	select {
	case p := <-bound.placed:
		t.Fatalf("a stream of v1 was answered with %+v while a replica of v1 is down", p)
	default:
	}
	s.mu.Lock()
	s.replicas.Remove("a", 3, e.clock.now())
	s.placeAllQueued(e.clock.now())
	s.mu.Unlock()
	select {
	case p := <-bound.placed:
		if p != nil {
			t.Fatalf("placed at %+v", p.replica)
		}
	default:
		t.Fatal("waits although no replica of v1 is left")
	}
}

// Guards against a stream of one of a route's services that is taken up at another one.
func TestStreamIsTakenUpAtTheServiceThatBeganIt(t *testing.T) {
	e := newQueueEntry(t)
	config := &configuration{Configuration: &fleet.Configuration{Services: map[string]*fleet.Service{"a": {Name: "a"}, "b": {Name: "b"}}}}
	for name := range config.Services {
		e.state.replicas.Put(&fleet.Replica{ID: name, Name: name, Service: name, Software: "v1", Slots: 1}, 1, 0)
	}
	route := &fleet.Route{Kind: fleet.Streaming, Targets: []fleet.Target{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	for began, selected := range map[string]string{"a": "b", "b": "a", "c": "a"} {
		req := &request{entry: e, config: config, route: route, service: config.Services[selected], takenUp: origin.SoftwareOf(began, "v1")}
		req.selectOriginService()
		if want := cmp.Or(map[string]string{"c": selected}[began], began); req.service.Name != want {
			t.Errorf("a stream of %s goes on at %s", began, req.service.Name)
		}
	}
}
