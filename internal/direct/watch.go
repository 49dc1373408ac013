package direct

import (
	"context"
	"sync"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/upstream"
)

const (
	// watchEvery is the pause between looks at what is under way.
	watchEvery = 50 * time.Millisecond
	// silentAfter is how long a replica may send nothing to a request before a
	// connection to it is tried. Nine of ten answers begin within it, and pauses
	// between a stream's events are a tenth of it.
	silentAfter = 450 * time.Millisecond
)

// inFlightRequest is one request under way at a replica.
type inFlightRequest struct {
	replica *fleet.Replica
	// heard is when the replica last sent something.
	heard      time.Time
	repeatable bool
	cancel     context.CancelFunc
}

// replicaMonitor notices replicas that have fallen silent.
//
// A machine that loses power resets no connection. The kernel finds out after
// seconds, and all that while requests hang on it, and new ones are sent after them
// over connections that look idle; it is seen as timeouts at one replica while its
// neighbours are free. So where a request hears nothing for a while a new connection
// is tried: a replica that is only slow takes it at once. If it doesn't, it gets
// no new work, and requests that may be repeated are taken from it.
type replicaMonitor struct {
	entry *Entry
	mu    sync.Mutex
	under map[*inFlightRequest]struct{}
	// lost is set while the store doesn't answer, since lostAt.
	lost   bool
	lostAt time.Duration
	asked  time.Duration
	// told is what peers were told last of each replica's word.
	told map[string]*toldReport
}

func newReplicaMonitor(e *Entry) *replicaMonitor {
	return &replicaMonitor{entry: e, under: make(map[*inFlightRequest]struct{}), told: make(map[string]*toldReport)}
}

// begin watches a request until the function that it returns is called.
func (w *replicaMonitor) begin(r *fleet.Replica, repeatable bool, cancel context.CancelFunc) *inFlightRequest {
	x := &inFlightRequest{replica: r, heard: time.Now(), repeatable: repeatable, cancel: cancel}
	w.mu.Lock()
	w.under[x] = struct{}{}
	w.mu.Unlock()
	return x
}

func (w *replicaMonitor) end(x *inFlightRequest) {
	w.mu.Lock()
	delete(w.under, x)
	w.mu.Unlock()
}

// received notes that the replica has sent something.
func (w *replicaMonitor) received(x *inFlightRequest) {
	w.mu.Lock()
	x.heard = time.Now()
	w.mu.Unlock()
}

// run looks for silent and unreachable replicas until ctx ends.
func (w *replicaMonitor) run(ctx context.Context) {
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		w.entry.state.mu.Lock()
		w.entry.refuseLateQueued()
		w.entry.state.placeAllQueued(w.entry.clock.now())
		w.entry.state.mu.Unlock()
		w.entry.sendNotices()
		for _, r := range w.due() {
			go w.probe(ctx, r)
		}
		for _, r := range w.unheard() {
			go w.ask(ctx, r)
		}
	}
}

// due returns the replicas to which a connection is to be tried.
func (w *replicaMonitor) due() []*fleet.Replica {
	s := w.entry.state
	now := w.entry.clock.now()
	silent := w.silent()
	s.mu.Lock()
	defer s.mu.Unlock()
	due := s.replicas.DueProbes(now)
	for _, r := range silent {
		if s.replicas.CheckSilent(r.ID, now) {
			due = append(due, r)
		}
	}
	return due
}

func (w *replicaMonitor) silent() []*fleet.Replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	var silent []*fleet.Replica
	before := time.Now().Add(-silentAfter)
	for x := range w.under {
		if x.heard.Before(before) {
			silent = append(silent, x.replica)
		}
	}
	return silent
}

func (w *replicaMonitor) probe(ctx context.Context, r *fleet.Replica) {
	e := w.entry
	if err := e.pool.Probe(ctx, upstream.Replica{ID: r.ID, Address: r.Address}); err != nil {
		e.markUnreachable(r, "probe", err)
		return
	}
	e.state.mu.Lock()
	news := e.state.replicas.MarkReachable(r.ID)
	if news {
		e.state.notifyChanged()
	}
	e.state.mu.Unlock()
	if !news {
		return
	}
	e.tel.Log.Info("replica reachable", "replica", r.ID)
	if len(r.Weights) > 0 {
		// It may have started again: what it held and how many orders it took is over.
		w.ask(ctx, r)
	}
}

// markUnreachable takes a connection that could not be made.
func (e *Entry) markUnreachable(r *fleet.Replica, by string, err error) {
	e.state.mu.Lock()
	news := e.state.replicas.MarkUnreachable(r.ID, e.clock.now())
	e.state.mu.Unlock()
	if !news {
		return
	}
	e.recordReplicaLoss(r.ID)
	taken := e.watch.cancelRepeatable(r.ID)
	e.tel.Log.Warn("replica unreachable", "replica", r.ID, "by", by, "taken_from_it", taken, "error", err)
}

// cancelRepeatable breaks off the requests at a replica that may run again elsewhere.
func (w *replicaMonitor) cancelRepeatable(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	taken := 0
	for x := range w.under {
		if x.replica.ID == id && x.repeatable {
			x.cancel()
			taken++
		}
	}
	return taken
}
