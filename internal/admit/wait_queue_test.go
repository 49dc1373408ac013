package admit_test

import (
	"slices"
	"testing"
	"time"

	"skylarklead/internal/admit"
)

func queued(org string, priority int, onTime time.Duration) *admit.QueuedRequest {
	return &admit.QueuedRequest{Organisation: org, Priority: priority, Work: 100, LatestStart: onTime, ExpiresAt: time.Hour}
}

// order dispatches all requests of a queue, one at each interval.
func order(q *admit.WaitQueue, every time.Duration) []*admit.QueuedRequest {
	var got []*admit.QueuedRequest
	for now := time.Duration(0); q.Len() > 0; now += every {
		t := q.Next(now)
		q.Remove(t)
		q.RecordDispatch(t.Organisation, t.Work, now)
		got = append(got, t)
	}
	return got
}

// For seconds more requests arrive than the engines can prefill. With an objective of
// half a second and a free slot every 100 ms, first come, first served makes every
// request from the sixth on late. Requests that can still be in time go first, so each
// slot yields an answer in time.
func TestOverloadServesThoseInTime(t *testing.T) {
	const every, objective = 100 * time.Millisecond, 500 * time.Millisecond
	q := admit.NewWaitQueue()
	inTime, now := 0, time.Duration(0)
	for i := range 60 {
		// Two requests arrive for each slot.
		for range 2 {
			q.Add(queued("a", 0, now+objective))
		}
		next := q.Next(now)
		q.Remove(next)
		if now <= next.LatestStart {
			inTime++
		}
		now += every
		_ = i
	}
	if inTime < 55 {
		t.Fatalf("%d of 60 slots went to requests that could still be in time", inTime)
	}
}

// A large organisation sends a burst of fifty requests, then a small one sends one.
// With a free slot every 100 ms, the small one would wait for five seconds in order of
// arrival.
func TestSmallOneDoesNotFeelTheLargeOnesBurst(t *testing.T) {
	q := admit.NewWaitQueue()
	for range 50 {
		q.Add(queued("large", 0, time.Hour))
	}
	first := q.Next(0)
	q.Remove(first)
	q.RecordDispatch("large", first.Work, 0)
	small := queued("small", 0, time.Hour)
	q.Add(small)
	if q.Next(0) != small {
		t.Fatal("the small organisation's only request waits behind the large one's burst")
	}
}

func TestUrgentFirst(t *testing.T) {
	q := admit.NewWaitQueue()
	q.Add(queued("a", 1, time.Hour))
	urgent := queued("b", 0, time.Hour)
	q.Add(urgent)
	if got := order(q, time.Millisecond); got[0] != urgent {
		t.Fatal("the less urgent request went first")
	}
}

func TestExpiredLeaveTheLine(t *testing.T) {
	q := admit.NewWaitQueue()
	a, b := queued("a", 0, 0), queued("b", 0, 0)
	a.ExpiresAt, b.ExpiresAt = time.Second, 2*time.Second
	q.Add(a)
	q.Add(b)
	if got := q.RemoveExpired(time.Second); len(got) != 1 || got[0] != a || q.Len() != 1 {
		t.Fatalf("expired %v, %d still queued", got, q.Len())
	}
	q.Remove(a) // again
	if q.Len() != 1 {
		t.Fatal("removing an expired request again removed another one")
	}
}

// Several entries share engines that can't serve all requests, and each entry sees
// only how long its own requests take to begin. At twice the objective the window has
// to shrink to what begins in time, and to grow again afterwards.
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
		t.Fatalf("after eight seconds of late starts the window is %.0f of %.0f ms", low, start)
	}
	for range 100 {
		for w.Fits(100) {
			w.Sent(100)
		}
		w.Done(100)
		w.ObserveStart(100, 50*time.Millisecond, 500*time.Millisecond, now)
	}
	if w.Size() < 2*low {
		t.Fatalf("with all requests in time the window stays at %.0f ms", w.Size())
	}
}

// lateSim simulates an overload of replicas that prefill one request after another.
type lateSim struct {
	queue *admit.WaitQueue
	// ends holds, per replica, when the requests sent there begin to be answered.
	ends   [simReplicas][]time.Duration
	inTime int
}

const (
	simReplicas  = 4
	simObjective = 250 * time.Millisecond
	// simWork is the expected prefill time of a request, simTakes the actual one.
	simWork  = 50 * time.Millisecond
	simTakes = 100 * time.Millisecond
	// simBound is the load up to which requests are placed, two fifths of the
	// objective.
	simBound = 100.0
)

// load is the expected remaining prefill time of a replica, in milliseconds.
func (s *lateSim) load(replica int, now time.Duration) float64 {
	s.ends[replica] = slices.DeleteFunc(s.ends[replica], func(end time.Duration) bool { return end <= now })
	return float64(len(s.ends[replica])) * float64(simWork.Milliseconds())
}

// place sends waiting requests to the least loaded replicas as far as the bound
// allows.
func (s *lateSim) place(now time.Duration, bound func(*admit.QueuedRequest, time.Duration) float64) {
	for t := s.queue.Next(now); t != nil; t = s.queue.Next(now) {
		best := 0
		for i := range s.ends {
			if s.load(i, now) < s.load(best, now) {
				best = i
			}
		}
		if s.load(best, now) > bound(t, now) {
			return
		}
		s.queue.Remove(t)
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

// run lets twice what the replicas can prefill arrive for a second, and then four
// fifths of it. It returns how many of all requests were in time.
func (s *lateSim) run(bound func(*admit.QueuedRequest, time.Duration) float64) (inTime, of int) {
	const between = simTakes / simReplicas
	s.queue = admit.NewWaitQueue()
	next, every := time.Duration(0), between/2
	for now := time.Duration(0); now < 8*time.Second; now += time.Millisecond {
		if now > time.Second {
			every = between * 5 / 4
		}
		for ; next <= now; next += every {
			t := queued("a", 0, next+simObjective-simWork)
			t.Arrived = next
			s.queue.Add(t)
			of++
		}
		s.place(now, bound)
	}
	return s.inTime, of
}

// A burst of twice what the engines can prefill is followed by four fifths of it, and
// the engines take twice as long as the entry expects. Requests that are late already
// would keep each replica at the bound, which is three requests with 300 ms of actual
// prefill, and those that arrive in time would be late behind them until the last late
// one is gone. Restricted to idle replicas, the late ones leave two requests per
// replica, 200 ms of the objective's 250.
func TestLateOnesLeaveRoomForThoseInTime(t *testing.T) {
	without, of := new(lateSim).run(func(*admit.QueuedRequest, time.Duration) float64 { return simBound })
	with, _ := new(lateSim).run(func(t *admit.QueuedRequest, now time.Duration) float64 { return t.LoadBound(now, simBound) })
	if with < without+of/10 {
		t.Errorf("%d of %d in time with late requests restricted to idle replicas, %d without", with, of, without)
	}
}
