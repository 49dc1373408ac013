package direct

import (
	"context"
	"net/http"
	"sync"
	"time"

	"skylarklead/internal/admit"
)

const (
	// lastConnections is how long new connections come as before after SIGTERM: the
	// platform asks once a second and turns away after the second miss.
	lastConnections = 2500 * time.Millisecond
	// anyRequest is how long after SIGTERM any request is still taken; from then on
	// only those that are expected to end in time.
	anyRequest = 2800 * time.Millisecond
	// stopMargin is kept free of the time until the process is killed.
	stopMargin = 500 * time.Millisecond
	// drainPoll is the pause between looks at whether the last request has ended.
	drainPoll = 50 * time.Millisecond
	// plainTime is what a plain request takes at the most, as a rule, and streamTime a
	// stream's beginning under load; streamSpread is the factor by which the rest of a
	// stream may exceed what is expected of it.
	plainTime    = time.Second
	streamTime   = 2500 * time.Millisecond
	streamSpread = 3
	// drainWait bounds how long a request that such an entry took waits for a place.
	drainWait = 200 * time.Millisecond
)

// drain counts the requests under way, and knows when a draining entry ends.
type drain struct {
	mu       sync.Mutex
	underWay int
	began    time.Time
	ends     time.Time
}

func newDrain() *drain { return &drain{} }

func (d *drain) enter() {
	d.mu.Lock()
	d.underWay++
	d.mu.Unlock()
}

func (d *drain) leave() {
	d.mu.Lock()
	d.underWay--
	d.mu.Unlock()
}

func (d *drain) begin(grace time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.began = time.Now()
	d.ends = d.began.Add(grace - stopMargin)
}

// idle reports whether nothing is under way.
func (d *drain) idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.underWay == 0
}

// state returns when the drain began and ends; both are zero before it.
func (d *drain) state() (began, ends time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.began, d.ends
}

// endsWithin reports whether the entry is draining and ends within a time.
func (d *drain) endsWithin(t time.Duration) bool {
	_, ends := d.state()
	return !ends.IsZero() && time.Until(ends) < t
}

// draining reports whether the entry is draining.
func (e *Entry) draining() bool {
	began, _ := e.drain.state()
	return !began.IsZero()
}

// endsInTime reports whether a request may be begun: always, but in the last seconds
// of a draining entry only if it is expected to end before. Others would be cut.
func (j *request) endsInTime() bool {
	began, ends := j.entry.drain.state()
	if began.IsZero() || time.Since(began) < anyRequest {
		return true
	}
	s := j.entry.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(ends) > j.expected()
}

// expected is how long a request takes that is begun now, at the most as a rule. The
// caller holds the state's lock.
func (j *request) expected() time.Duration {
	if j.params.OutputTokens <= 0 {
		return plainTime
	}
	q := j.newQuery()
	return streamTime + streamSpread*j.entry.state.feed.ExpectedStreamTime(&q)
}

// refuseLateQueued turns away those that wait for a place at an entry that ends before
// they could be served: their connections would be closed without an answer. The
// caller holds the state's lock.
func (e *Entry) refuseLateQueued() {
	began, ends := e.drain.state()
	if began.IsZero() || time.Since(began) < anyRequest {
		return
	}
	left := time.Until(ends)
	for _, g := range e.state.queues {
		late := g.waiting.RemoveMatching(func(t *admit.QueuedRequest) bool { return left <= t.Value.(*request).expected() })
		for _, t := range late {
			t.Value.(*request).placed <- nil
		}
	}
}

// shutDown ends the server without cutting a request: it says that it isn't ready,
// serves on while callers come and their requests can end in time, and ends with
// the last of them, or as late as the platform lets it. The listener stays open
// till then: in a rolling restart all entries may be draining together, and callers
// would find none that takes a connection.
//
// The entry that gives the orders of a rollout stays for them although it is idle:
// after its end nobody may give one for as long as two holders must be apart, seen as
// seconds without an order while requests are refused for overdue weights. It gives the
// lease back lastOrders before the end at the latest.
func (e *Entry) shutDown(server *http.Server) {
	e.drain.begin(e.directSettings().Grace.D())
	began, ends := e.drain.state()
	e.tel.Log.Info("draining", "grace_ms", e.directSettings().Grace.D().Milliseconds())
	time.Sleep(min(lastConnections, time.Until(ends)))
	for (!e.drain.idle() || e.rollouts.keeps()) && time.Now().Before(ends) {
		time.Sleep(drainPoll)
	}
	ctx, cancel := context.WithDeadline(context.Background(), ends)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		e.tel.Log.Warn("requests cut at the end of the grace", "error", err)
		server.Close()
	}
	e.tel.Log.Info("drained", "took_ms", time.Since(began).Milliseconds())
}
