package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"skylarklead/internal/protocol"
)

const (
	// maxInFlight bounds the memory that callers' bodies and streams can take: a
	// hundred times what an entry has at the target load.
	maxInFlight = 4096
	// drainRetry is when a caller turned away here may come back: soon, since the
	// balancer will pick another entry.
	drainRetry = time.Second
)

// drain counts the requests in flight and turns new ones away once the process
// is to end.
type drain struct {
	mu       sync.Mutex
	inFlight int
	refusing bool
	leaving  bool
	idle     chan struct{}
}

func newDrain() *drain { return &drain{idle: make(chan struct{})} }

// enter admits a request, which must leave, or tells why not.
func (d *drain) enter() *Error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refusing {
		return refuse(protocol.CodeDraining, "this entry is shutting down").after(drainRetry)
	}
	if d.inFlight >= maxInFlight {
		return refuse(protocol.CodeOverloaded, "this entry has %d requests in flight", d.inFlight).after(drainRetry)
	}
	d.inFlight++
	return nil
}

func (d *drain) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	if d.refusing && d.inFlight == 0 {
		close(d.idle)
	}
}

// announce makes the balancer turn away; requests are still served.
func (d *drain) announce() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
}

// refuse turns new requests away. Idle is closed when the last one has left.
func (d *drain) refuse() {
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

// shutDown ends a server without cutting a request: it says that it is not
// ready, waits for the balancer to turn away, refuses what still comes, and
// returns when the last answer is out.
func (e *Entry) shutDown(server *http.Server) {
	e.drain.announce()
	server.SetKeepAlivesEnabled(false)
	e.tel.Log.Info("draining", "in_flight", e.drain.count())
	time.Sleep(e.settings.Entry.DrainDelay.D())
	e.drain.refuse()
	// Streams whose callers are gone are left to their executors' grace.
	close(e.stopping)
	// Closes the listener, and waits for answers however long they take: to cut
	// one would be worse than to exit late.
	if err := server.Shutdown(context.Background()); err != nil {
		e.tel.Log.Warn("callers' listener", "error", err)
	}
	<-e.drain.idle
	e.tel.Log.Info("drained")
}
