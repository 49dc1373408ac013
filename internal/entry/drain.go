package entry

import (
	"context"
	"net/http"
	"sync"
	"time"
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

// enter admits a request; it must leave.
func (d *drain) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refusing {
		return false
	}
	d.inFlight++
	return true
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

// shutdownTimeout bounds closing connections that have no request any more.
const shutdownTimeout = 2 * time.Second

// shutDown ends a server without cutting a request: it says that it is not
// ready, waits for the balancer to turn away, refuses what still comes, and
// returns when the last answer is out.
func (e *Entry) shutDown(server *http.Server) {
	e.drain.announce()
	e.tel.Log.Info("draining", "in_flight", e.drain.count())
	time.Sleep(e.settings.Entry.DrainDelay.D())
	e.drain.refuse()
	<-e.drain.idle
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		server.Close()
	}
	e.tel.Log.Info("drained")
}
