package admit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against requests that are accepted on an estimate and then cut off without a final answer.
func TestShutdownAccepts(t *testing.T) {
	s := Shutdown{RestrictedFrom: 2800 * time.Millisecond, Ends: 7500 * time.Millisecond}
	const short, long = time.Second, 10 * time.Second
	for _, c := range []struct {
		name    string
		now     time.Duration
		request LateRequest
		want    bool
	}{
		{"before the restriction", 2 * time.Second, LateRequest{Arrived: 2 * time.Second, Deadline: 2*time.Second + long, Usual: long}, true},
		{"stream that is expected to outlast the process", 2 * time.Second, LateRequest{Arrived: 2 * time.Second, Deadline: 2*time.Second + long, Expected: 6 * time.Second, Streaming: true}, false},
		{"stream that is expected to end in time", 2 * time.Second, LateRequest{Arrived: 2 * time.Second, Deadline: 2*time.Second + long, Expected: 5 * time.Second, Streaming: true}, true},
		{"payment whose deadline fits", 5 * time.Second, LateRequest{Arrived: 5 * time.Second, Deadline: 7 * time.Second, Usual: short}, true},
		{"payment whose deadline doesn't fit", 6 * time.Second, LateRequest{Arrived: 6 * time.Second, Deadline: 8 * time.Second, Usual: short}, false},
		{"payment that arrived early and waited", 6 * time.Second, LateRequest{Arrived: 2 * time.Second, Deadline: 8 * time.Second, Usual: short}, false},
		{"lookup that usually fits", 6 * time.Second, LateRequest{Arrived: 6 * time.Second, Deadline: 8 * time.Second, Usual: short, Repeatable: true}, true},
		{"lookup that is dispatched too late", 7 * time.Second, LateRequest{Arrived: 4 * time.Second, Deadline: 8 * time.Second, Usual: short, Repeatable: true}, false},
		{"short stream", 3 * time.Second, LateRequest{Arrived: 3 * time.Second, Deadline: 18 * time.Second, Usual: short, Streaming: true, Repeatable: true}, false},
		{"stream that arrived early and waited", 3 * time.Second, LateRequest{Arrived: 2 * time.Second, Deadline: 18 * time.Second, Usual: short, Streaming: true}, true},
		{"stream that arrived early and waited long", 7 * time.Second, LateRequest{Arrived: 2 * time.Second, Deadline: 18 * time.Second, Usual: short, Streaming: true}, false},
		{"stream whose deadline fits", 6 * time.Second, LateRequest{Arrived: 6 * time.Second, Deadline: 7 * time.Second, Usual: long, Streaming: true}, true},
	} {
		if got := s.Accepts(c.request, c.now); got != c.want {
			t.Errorf("%s: got %t", c.name, got)
		}
	}
}

// Guards against a request that arrives late, may not be repeated or can't be completed, and outlasts the
// process, however long its replica takes.
func TestWhatShutdownAcceptsLateEndsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		s := Shutdown{RestrictedFrom: at("restricted", 3000)}
		s.Ends = s.RestrictedFrom + at("then", 6000)
		r := LateRequest{Arrived: s.RestrictedFrom + at("arrived", 9000), Usual: at("usual", 9000), Streaming: rapid.Bool().Draw(t, "streaming")}
		r.Deadline = r.Arrived + at("timeout", 20000)
		r.Repeatable = r.Streaming && rapid.Bool().Draw(t, "repeatable")
		now := r.Arrived + at("waited", 9000)
		if s.Accepts(r, now) && r.Deadline > s.Ends {
			t.Fatalf("%+v accepts %+v at %v", s, r, now)
		}
	})
}

// Guards against streams that are held back though they wouldn't be complete before the process ends or before
// their caller gives up.
func TestShutdownHolds(t *testing.T) {
	s := Shutdown{RestrictedFrom: 2800 * time.Millisecond, Ends: 7500 * time.Millisecond}
	stream := LateRequest{Arrived: 3 * time.Second, Deadline: 18 * time.Second, GivesUp: 7 * time.Second, UsualWhole: time.Second, Streaming: true}
	with := func(change func(r *LateRequest)) LateRequest {
		r := stream
		change(&r)
		return r
	}
	for _, c := range []struct {
		name    string
		now     time.Duration
		request LateRequest
		want    bool
	}{
		{"short stream", 3 * time.Second, stream, true},
		{"short stream that waited", 6500 * time.Millisecond, stream, false},
		{"caller gives up before it is complete", 6200 * time.Millisecond, stream, false},
		{"long stream", 3 * time.Second, with(func(r *LateRequest) { r.UsualWhole = 5 * time.Second }), false},
		{"payment", 3 * time.Second, with(func(r *LateRequest) { r.Streaming = false }), false},
	} {
		if got := s.Holds(c.request, c.now); got != c.want {
			t.Errorf("%s: got %t", c.name, got)
		}
	}
}

// Guards against accepted requests that are left without a complete answer, whatever their replicas take, in any
// order of arrivals, waits and tries. A process answers at its end what has no part of its answer yet.
func TestNothingThatShutdownAcceptsIsCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		s := Shutdown{RestrictedFrom: at("restricted", 3000)}
		s.Ends = s.RestrictedFrom + at("then", 6000)
		for range rapid.IntRange(1, 20).Draw(t, "requests") {
			r := LateRequest{
				Arrived: at("arrived", 9000), Usual: at("usual", 9000), UsualWhole: at("whole", 9000),
				Streaming: rapid.Bool().Draw(t, "streaming"), Repeatable: rapid.Bool().Draw(t, "repeatable"),
			}
			r.Deadline = r.Arrived + at("timeout", 20000)
			r.GivesUp = r.Arrived + at("patience", 4000)
			now, held := r.Arrived+at("waited", 9000), false
			for range rapid.IntRange(1, 3).Draw(t, "tries") {
				accepted := s.Accepts(r, now)
				held = held || !accepted && s.Holds(r, now)
				if !accepted && !held {
					break
				}
				begun, ends := now+at("first event", 5000), now+at("runs", 20000)
				partial := r.Streaming && !held && begun < s.Ends && min(ends, r.Deadline) > s.Ends
				if excused := r.Arrived < s.RestrictedFrom; partial && !excused {
					t.Fatalf("%+v cuts %+v, sent at %v", s, r, now)
				}
				if now = ends; now >= s.Ends {
					break
				}
			}
		}
	})
}

// Guards against payments that a process accepts just before it ends without knowing that they are short.
func TestShutdownAcceptsMeasured(t *testing.T) {
	s := Shutdown{RestrictedFrom: 2800 * time.Millisecond, Ends: 7500 * time.Millisecond}
	for _, c := range []struct {
		name    string
		now     time.Duration
		longest time.Duration
		stream  bool
		want    bool
	}{
		{"never took half of what is left", 6 * time.Second, 700 * time.Millisecond, false, true},
		{"took more than half of what is left", 6 * time.Second, 800 * time.Millisecond, false, false},
		{"isn't known", 3 * time.Second, 0, false, false},
		{"stream", 3 * time.Second, 700 * time.Millisecond, true, false},
	} {
		r := LateRequest{Arrived: c.now, Deadline: c.now + 5*time.Second, Longest: c.longest, Streaming: c.stream}
		if got := s.AcceptsMeasured(r, c.now); got != c.want {
			t.Errorf("%s: got %t", c.name, got)
		}
	}
}
