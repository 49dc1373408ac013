package admit_test

import (
	"slices"
	"testing"
	"time"

	"skylarklead/internal/admit"
)

func ticket(org string, priority int, onTime time.Duration) *admit.QueuedRequest {
	return &admit.QueuedRequest{Organisation: org, Priority: priority, Work: 100, LatestStart: onTime, ExpiresAt: time.Hour}
}

// order empties a line as places get free at the times given.
func order(l *admit.WaitQueue, every time.Duration) []*admit.QueuedRequest {
	var got []*admit.QueuedRequest
	for now := time.Duration(0); l.Len() > 0; now += every {
		t := l.Next(now)
		l.Remove(t)
		l.RecordDispatch(t.Organisation, t.Work, now)
		got = append(got, t)
	}
	return got
}

// Pattern: more arrives than the engines can read, for seconds. Grounds: with an
// objective of half a second and a place every 100 ms, first come first served has
// every request from the sixth on late; served by what can still be in time, each
// place makes one answer that is.
func TestOverloadServesThoseInTime(t *testing.T) {
	const every, objective = 100 * time.Millisecond, 500 * time.Millisecond
	l := admit.NewWaitQueue()
	inTime, now := 0, time.Duration(0)
	for i := range 60 {
		// Two arrive for each place.
		for range 2 {
			l.Add(ticket("a", 0, now+objective))
		}
		next := l.Next(now)
		l.Remove(next)
		if now <= next.LatestStart {
			inTime++
		}
		now += every
		_ = i
	}
	if inTime < 55 {
		t.Fatalf("%d of 60 places went to requests that could still be in time", inTime)
	}
}

// Pattern: a large organisation's burst of fifty, then one request of a small one.
// Grounds: a place every 100 ms; in arrival order the small one waits five seconds.
func TestSmallOneDoesNotFeelTheLargeOnesBurst(t *testing.T) {
	l := admit.NewWaitQueue()
	for range 50 {
		l.Add(ticket("large", 0, time.Hour))
	}
	first := l.Next(0)
	l.Remove(first)
	l.RecordDispatch("large", first.Work, 0)
	small := ticket("small", 0, time.Hour)
	l.Add(small)
	if l.Next(0) != small {
		t.Fatal("the small organisation's only request waits behind the large one's burst")
	}
}

func TestUrgentFirst(t *testing.T) {
	l := admit.NewWaitQueue()
	l.Add(ticket("a", 1, time.Hour))
	urgent := ticket("b", 0, time.Hour)
	l.Add(urgent)
	if got := order(l, time.Millisecond); got[0] != urgent {
		t.Fatal("the less urgent one went first")
	}
}

func TestExpiredLeaveTheLine(t *testing.T) {
	l := admit.NewWaitQueue()
	a, b := ticket("a", 0, 0), ticket("b", 0, 0)
	a.ExpiresAt, b.ExpiresAt = time.Second, 2*time.Second
	l.Add(a)
	l.Add(b)
	if got := l.RemoveExpired(time.Second); len(got) != 1 || got[0] != a || l.Len() != 1 {
		t.Fatalf("expired %v, %d left", got, l.Len())
	}
	l.Remove(a) // again
	if l.Len() != 1 {
		t.Fatal("removing an expired ticket took another one")
	}
}

// Pattern: several entries share engines that can't do what all ask. Grounds: each
// sees only how long its own requests take to begin; at twice the objective the
// window has to come down to what is read in time, and to grow again after.
func TestWindowFollowsTimesToBegin(t *testing.T) {
	w := admit.NewCongestionWindow(admit.DefaultWindowParams)
	start := w.Size()
	now := time.Duration(0)
	for range 40 {
		now += 200 * time.Millisecond
		w.ObserveStart(100, time.Second, 500*time.Millisecond, now)
	}
	low := w.Size()
	if low > start/4 {
		t.Fatalf("after eight seconds of lateness the window is %.0f of %.0f ms", low, start)
	}
	for range 100 {
		for w.Fits(100) {
			w.Sent(100)
		}
		w.Done(100)
		w.ObserveStart(100, 50*time.Millisecond, 500*time.Millisecond, now)
	}
	if w.Size() < 2*low {
		t.Fatalf("with all in time it stays at %.0f ms", w.Size())
	}
}

// lateSim is an overload at replicas that read one request after the other.
type lateSim struct {
	line *admit.WaitQueue
	// ends are, of each replica, when the requests that were sent there begin to be answered.
	ends   [simReplicas][]time.Duration
	inTime int
}

const (
	simReplicas  = 4
	simObjective = 250 * time.Millisecond
	// simWork is what a request is believed to take, simTakes what it does.
	simWork  = 50 * time.Millisecond
	simTakes = 100 * time.Millisecond
	// simBound is the load behind which requests are placed, two fifths of the objective.
	simBound = 100.0
)

// load is what a replica is believed to have to read, in milliseconds.
func (s *lateSim) load(replica int, now time.Duration) float64 {
	s.ends[replica] = slices.DeleteFunc(s.ends[replica], func(end time.Duration) bool { return end <= now })
	return float64(len(s.ends[replica])) * float64(simWork.Milliseconds())
}

// place sends what waits to the least loaded replicas, as far as the bound lets it.
func (s *lateSim) place(now time.Duration, bound func(*admit.QueuedRequest, time.Duration) float64) {
	for t := s.line.Next(now); t != nil; t = s.line.Next(now) {
		best := 0
		for i := range s.ends {
			if s.load(i, now) < s.load(best, now) {
				best = i
			}
		}
		if s.load(best, now) > bound(t, now) {
			return
		}
		s.line.Remove(t)
		end := now + simTakes
		if queue := s.ends[best]; len(queue) > 0 {
			end = queue[len(queue)-1] + simTakes
		}
		s.ends[best] = append(s.ends[best], end)
		if end <= t.Arrived+simObjective {
			s.inTime++
		}
	}
}

// run has twice what the replicas can read arrive for a second, and then four fifths of it,
// and returns how many of all requests were in time.
func (s *lateSim) run(bound func(*admit.QueuedRequest, time.Duration) float64) (inTime, of int) {
	const between = simTakes / simReplicas
	s.line = admit.NewWaitQueue()
	next, every := time.Duration(0), between/2
	for now := time.Duration(0); now < 8*time.Second; now += time.Millisecond {
		if now > time.Second {
			every = between * 5 / 4
		}
		for ; next <= now; next += every {
			t := ticket("a", 0, next+simObjective-simWork)
			t.Arrived = next
			s.line.Add(t)
			of++
		}
		s.place(now, bound)
	}
	return s.inTime, of
}

// Pattern: a burst of twice what the engines can read, then four fifths of it; the engines take
// twice as long as the entry believes. Grounds: requests that are late already keep each replica
// at the bound, three requests with 300 ms of reading in truth, and those that come in time are late
// behind them until the last late one is gone. Held back to idle replicas, they leave
// two, 200 ms of the objective's 250.
func TestLateOnesLeaveRoomForThoseInTime(t *testing.T) {
	without, of := new(lateSim).run(func(*admit.QueuedRequest, time.Duration) float64 { return simBound })
	with, _ := new(lateSim).run(func(t *admit.QueuedRequest, now time.Duration) float64 { return t.LoadBound(now, simBound) })
	if with < without+of/10 {
		t.Errorf("%d of %d in time with late ones held back, %d without", with, of, without)
	}
}
