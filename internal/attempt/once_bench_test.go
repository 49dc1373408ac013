package attempt

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"skylarklead/internal/protocol"
)

// Latencies of the log in this model: of an append and its answer, and of a read.
const (
	appendTime = 10 * time.Millisecond
	readTime   = 2 * time.Millisecond
)

// timedLog simulates one process and a log with latencies, in steps of a millisecond.
type timedLog struct {
	once     *Once
	now      time.Duration
	offset   uint64
	due      map[time.Duration][]func() []OnceAction
	down     func(time.Duration) bool
	started  map[protocol.AttemptID]time.Duration
	waits    []time.Duration
	refused  []time.Duration
	appends  int
	runsSent uint64
}

func (l *timedLog) after(d time.Duration, f func() []OnceAction) {
	l.due[l.now+d] = append(l.due[l.now+d], f)
}

func (l *timedLog) do(actions []OnceAction) {
	for _, action := range actions {
		switch a := action.(type) {
		case AppendClaims:
			l.append(a)
		case Execute:
			l.waits = append(l.waits, l.now-l.started[a.Attempt])
			l.after(5*time.Millisecond, func() []OnceAction { return l.once.Finished(a.Key, protocol.Done, nil, l.now) })
		case Answer:
			l.refused = append(l.refused, l.now)
		}
	}
}

func (l *timedLog) append(a AppendClaims) {
	l.appends++
	if l.down(l.now) {
		l.after(appendTime, func() []OnceAction { return l.once.AppendFailed(a.Batch, 0, l.now) })
		return
	}
	l.after(appendTime, func() []OnceAction {
		l.offset++
		offset := l.offset
		l.after(readTime, func() []OnceAction { return l.once.ApplyRecord(offset, a.Data, l.now) })
		return l.once.Appended(a.Batch, l.now)
	})
}

// run sends rate new keys a second at random times until the given time.
func (l *timedLog) run(rate float64, until time.Duration) {
	rng := rand.New(rand.NewPCG(1, 1))
	for ; l.now < until; l.now += time.Millisecond {
		for _, f := range l.due[l.now] {
			l.do(f())
		}
		delete(l.due, l.now)
		if !l.down(l.now) && l.now%(100*time.Millisecond) == 0 {
			l.do(l.once.CaughtUp(l.now, l.now))
		}
		if rng.Float64() < rate/1000 {
			l.runsSent++
			key := benchKey(int(l.runsSent))
			l.started[protocol.AttemptID(key)] = l.now
			l.do(l.once.Run(KeyedRun{Attempt: protocol.AttemptID(key), Key: key, Age: time.Millisecond}, l.now))
		}
		if l.once.NextTick(l.now) <= l.now {
			l.do(l.once.Tick(l.now))
		}
	}
}

func newTimedLog(interval time.Duration, down func(time.Duration) bool) *timedLog {
	params := DefaultOnceParams
	params.AppendInterval = interval
	return &timedLog{
		once: NewOnce("endpoint-0", 1, params), down: down,
		due: map[time.Duration][]func() []OnceAction{}, started: map[protocol.AttemptID]time.Duration{},
	}
}

// BenchmarkClaimWait reports how long a Run waits for its claim, and the appends per
// second, for several append intervals and key rates.
func BenchmarkClaimWait(b *testing.B) {
	for _, interval := range []time.Duration{0, 25 * time.Millisecond, 100 * time.Millisecond} {
		for _, rate := range []float64{5, 100} {
			b.Run(fmt.Sprintf("interval=%v/keys=%v", interval, rate), func(b *testing.B) {
				var l *timedLog
				for b.Loop() {
					l = newTimedLog(interval, func(time.Duration) bool { return false })
					l.run(rate, time.Minute)
				}
				slices.Sort(l.waits)
				n := len(l.waits)
				b.ReportMetric(float64(l.waits[n/2].Milliseconds()), "ms-p50")
				b.ReportMetric(float64(l.waits[n*99/100].Milliseconds()), "ms-p99")
				b.ReportMetric(float64(l.appends)/60, "appends/s")
			})
		}
	}
}

// BenchmarkOutage reports how many Runs are refused, at 20 Runs a second, in an outage
// of 10 s, and for how long after its end.
func BenchmarkOutage(b *testing.B) {
	const from, to = 20 * time.Second, 30 * time.Second
	var l *timedLog
	for b.Loop() {
		l = newTimedLog(DefaultOnceParams.AppendInterval, func(now time.Duration) bool { return now >= from && now < to })
		l.run(20, time.Minute)
	}
	if len(l.refused) == 0 {
		b.Fatal("nothing was refused")
	}
	last := l.refused[len(l.refused)-1]
	b.ReportMetric(float64(len(l.refused)), "refused")
	b.ReportMetric(float64(l.runsSent), "sent")
	b.ReportMetric((last - to).Seconds(), "s-after-end")
	b.ReportMetric(float64(l.appends)/60, "appends/s")
}
