package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"skylarklead/internal/delivery"
	"skylarklead/internal/protocol"
	"skylarklead/internal/settings"
)

const (
	// maxInFlight bounds the memory for request bodies and streams. It is a hundred
	// times the requests in flight at the target load.
	maxInFlight = 4096
	// drainRetryAfter is the retry delay for a caller that is refused while this
	// entry drains or is full. It is short because the load balancer will pick
	// another entry.
	drainRetryAfter = time.Second
	// finalAnswerTime is the time in which the last answers are written.
	finalAnswerTime = settings.EntryStopMargin / 2
)

// drain counts the requests in flight and refuses new ones once the process shuts
// down.
type drain struct {
	mu       sync.Mutex
	inFlight int
	// refusing is set once new requests are refused; leaving, before that, once
	// readiness checks fail.
	refusing bool
	leaving  bool
	// idle is closed when refusing is set and no request is in flight.
	idle chan struct{}
}

func newDrain() *drain { return &drain{idle: make(chan struct{})} }

// requestStarted admits a request, or returns the refusal. An admitted request must
// call requestEnded.
func (d *drain) requestStarted() *Error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refusing {
		return refusef(protocol.CodeDraining, "this entry is shutting down").withRetryAfter(drainRetryAfter)
	}
	if d.inFlight >= maxInFlight {
		return refusef(protocol.CodeOverloaded, "this entry has %d requests in flight", d.inFlight).withRetryAfter(drainRetryAfter)
	}
	d.inFlight++
	return nil
}

func (d *drain) requestEnded() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	if d.refusing && d.inFlight == 0 {
		close(d.idle)
	}
}

// announceLeaving makes readiness checks fail so that the load balancer stops
// sending requests; requests are still served.
func (d *drain) announceLeaving() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
}

// refuseNew refuses new requests. Idle is closed when the last one in flight has
// ended.
func (d *drain) refuseNew() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refusing {
		return
	}
	d.refusing = true
	if d.inFlight == 0 {
		close(d.idle)
	}
}

func (d *drain) draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving || d.refusing
}

func (d *drain) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

// shutDown stops a server without aborting requests: it reports not ready, waits
// for the load balancer to react, refuses requests that still arrive, and returns
// when the last answer is complete. If the settings say when the process is killed,
// requests that are left before that get an answer that says so.
func (e *Entry) shutDown(server *http.Server, callers *delivery.Listener) {
	ctx, end := e.limitDrain()
	defer end()
	e.drain.announceLeaving()
	e.tel.Log.Info("draining", "in_flight", e.drain.count())
	time.Sleep(e.settings.Entry.DrainDelay.D())
	e.drain.refuseNew()
	// Streams whose callers are gone are left to their executors, which end them
	// after the grace period.
	close(e.stopping)
	// This closes the listener and waits for the answers.
	if err := server.Shutdown(ctx); err != nil {
		e.tel.Log.Warn("callers' connections not closed in time", "error", err)
	}
	if n := callers.Wait(ctx); n > 0 {
		e.tel.Log.Warn("answers not delivered in time", "connections", n)
	}
	select {
	case <-e.drain.idle:
		e.tel.Log.Info("drained")
	case <-ctx.Done():
		e.tel.Log.Warn("drained with requests in flight", "in_flight", e.drain.count())
	}
}

// limitDrain has what is in flight answered settings.EntryStopMargin before the
// process is killed, if that is known. The context ends when the process must.
func (e *Entry) limitDrain() (ctx context.Context, end func()) {
	grace := e.settings.Entry.Grace.D()
	if grace == 0 {
		return context.Background(), func() {}
	}
	ending := time.AfterFunc(grace-settings.EntryStopMargin, func() { close(e.ending) })
	ctx, cancel := context.WithTimeout(context.Background(), grace-settings.EntryStopMargin+finalAnswerTime)
	return ctx, func() {
		ending.Stop()
		cancel()
	}
}
