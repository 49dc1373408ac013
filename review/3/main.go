// Command 3 is review case 3: a holder of the lease for orders is stopped while it sends an order
// again. It exits with 1 if the rule ONE was broken, 0 if it held, 2 if the case couldn't run.
package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"skylarklead/review/harness"
)

const (
	service = "dispatch-lm"
	model   = "m0"
	// The engines of tro-accra: new weights take a replica 1.8 s.
	replicaCount = 9
	loadTime     = 1800 * time.Millisecond
	// storeTime is what the store takes for an answer.
	storeTime = 4 * time.Millisecond
	// lateBy is how late an order that got no answer is carried out: 2 to 12 s by the pages.
	lateBy = 11 * time.Second
	// retransmission is how much later a packet arrives whose first transmission was lost: the least
	// timeout of TCP and the round trip between two zones.
	retransmission = 202 * time.Millisecond
	// lostOrder is the number of the order whose packet is lost, counted from the first unanswered one.
	lostOrder = 8
	// The day ends after so many changes of weights, or before a new one after lastChange.
	changes    = 5
	lastChange = 80 * time.Second
)

// stopAfter has, for each change of weights, the time from the first unanswered order to SIGTERM. The
// daemon gives up the lease 6.3 s later, about when it sends the order lostOrder.
var stopAfter = [changes]time.Duration{
	930 * time.Millisecond, 910 * time.Millisecond, 950 * time.Millisecond, 920 * time.Millisecond, 940 * time.Millisecond,
}

// bounds are those of tro-accra, whose replicas don't check fencing numbers.
var bounds = map[string]any{
	"grace_s": 8, "budget_ratio": 0.2, "budget_extra": 56, "budget_window_s": 10, "lease_ms": 3000,
	"version_ms": 15000, "skew_max_ms": 5000, "config_ms": 2000, "drain_ms": 2000, "checks_fence": false,
}

func configuration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "complaint-draft", "host": "lm.example", "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": 12000,
			"slo_ms": 800, "prio": 0, "service": service, "attempts": 1, "sticky": true, "gap_target_ms": 400,
		}},
		"services": []any{map[string]any{"name": service, "health_path": "/healthz", "max_conns": 620, "engine": map[string]any{
			"slots": 128, "kv_capacity": 114380, "backups": true, "handle_s": 5, "models": []any{map[string]any{"name": model}},
		}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "market", "api_keys": []string{"key-1"}}},
	}
}

// slowStore answers after storeTime.
type slowStore struct{ http.Handler }

func (s slowStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeTime)
	s.Handler.ServeHTTP(w, r)
}

type platform struct {
	site    *harness.Site
	record  *harness.Record
	trouble bool
	daemons map[string]*harness.Daemon
	engines []*harness.Engine

	mu sync.Mutex
	// desired is the version named last.
	desired uint64
	// last is the replica that is left to load in this change of weights, firstHolder the daemon whose
	// order it got first, unanswered how many orders of that daemon it has left without an answer.
	last        *harness.Engine
	firstHolder string
	unanswered  int
	stops       sync.WaitGroup
}

// leaveUnanswered has the last replica of a change leave all orders without an answer. The first one
// is the moment from which the platform counts to stop its sender.
func (p *platform) leaveUnanswered(e *harness.Engine, o harness.Order) (time.Duration, bool) {
	if !p.trouble {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == nil && p.onlyOneLeft(e) {
		p.last, p.firstHolder = e, o.Holder
		d := p.daemons[o.Holder]
		p.stops.Add(1)
		time.AfterFunc(stopAfter[(p.desired-2)%changes], func() { p.stop(d) })
	}
	if p.last != e || e.Version() >= p.desired {
		return 0, false
	}
	if o.Holder == p.firstHolder {
		p.unanswered++
	}
	return lateBy, true
}

// onlyOneLeft reports whether all other replicas have the desired version or are loading it.
func (p *platform) onlyOneLeft(e *harness.Engine) bool {
	for _, other := range p.engines {
		if other != e && other.Version() < p.desired && !other.Loading() {
			return false
		}
	}
	return true
}

// stop stops a daemon as the platform does, and starts it again once it has ended.
func (p *platform) stop(d *harness.Daemon) {
	defer p.stops.Done()
	p.record.Line("platform: SIGTERM to %s", d.Name)
	exited := d.Exited()
	if err := d.Signal(syscall.SIGTERM); err != nil {
		p.record.Line("platform: %s: %v", d.Name, err)
		return
	}
	select {
	case <-exited:
	case <-time.After(8 * time.Second):
		d.Kill()
	}
	p.record.Line("platform: %s has ended", d.Name)
	time.Sleep(time.Second)
	if err := d.Start(); err != nil {
		p.record.Line("platform: %s doesn't start: %v", d.Name, err)
	}
}

// loseOnePacket delays the order numbered lostOrder of the daemon that is being stopped: its first
// packet is lost on the way to the replica.
func (p *platform) loseOnePacket(e *harness.Engine, data []byte) {
	p.mu.Lock()
	lost := p.trouble && p.last == e && p.unanswered == lostOrder-1 &&
		bytes.Contains(data, []byte("/-/order")) && bytes.Contains(data, fmt.Appendf(nil, "%q:%q", "holder", p.firstHolder))
	p.mu.Unlock()
	if lost {
		p.record.Line("link: a packet of an order from %s to %s is lost and sent again", p.firstHolder, e.ID)
		time.Sleep(retransmission)
	}
}

func main() { os.Exit(run()) }

func run() int {
	record, err := harness.NewRecord(filepath.Join("review", "3", "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	p := &platform{record: record, trouble: os.Getenv("TROUBLE") != "0", daemons: make(map[string]*harness.Daemon)}
	if err := p.play(); err != nil {
		record.Line("couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if p.judge() {
		return 1
	}
	return 0
}

func (p *platform) play() error {
	site, err := harness.NewSite(p.record, bounds, 134)
	if err != nil {
		return err
	}
	defer site.Close()
	p.site = site
	if site.StoreAddress, err = site.Serve(slowStore{site.Store}); err != nil {
		return err
	}
	site.Store.Put("keyed.op", "config", configuration())
	p.name(1)
	zones := []string{"accra-a", "accra-b", "tema-c"}
	for i := range replicaCount {
		e := site.NewEngine(fmt.Sprintf("i-engine%d", i+1), service, model, zones[i%len(zones)], loadTime, p.leaveUnanswered)
		at, err := site.Serve(e)
		if err != nil {
			return err
		}
		link, err := harness.NewLink(at, func(data []byte) { p.loseOnePacket(e, data) })
		if err != nil {
			return err
		}
		defer link.Close()
		e.Address = link.Address
		e.Register()
		p.engines = append(p.engines, e)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	for _, at := range []struct{ name, zone string }{
		{"edge-accra-a-1", "accra-a"}, {"edge-accra-a-2", "accra-a"}, {"edge-accra-b-1", "accra-b"},
		{"edge-accra-b-2", "accra-b"}, {"edge-tema-c-1", "tema-c"},
	} {
		if p.daemons[at.name], err = site.StartDaemon(at.name, at.zone); err != nil {
			return err
		}
	}
	for _, d := range p.daemons {
		if err := d.AwaitReady(ctx); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	for version := uint64(2); version < 2+changes && time.Since(began) < lastChange; version++ {
		p.change(ctx, version)
	}
	p.stops.Wait()
	return ctx.Err()
}

// name has the operator name a version.
func (p *platform) name(version uint64) {
	p.site.Store.Put("keyed.op", "version/"+model, map[string]any{"model": model, "version": version})
}

// change names a version and waits until all replicas have it and the daemons are back.
func (p *platform) change(ctx context.Context, version uint64) {
	p.mu.Lock()
	p.desired, p.last, p.unanswered = version, nil, 0
	p.mu.Unlock()
	p.record.Line("operator: version %d", version)
	p.name(version)
	for ctx.Err() == nil && !p.done(version) {
		time.Sleep(20 * time.Millisecond)
	}
	p.stops.Wait()
	time.Sleep(time.Second)
}

func (p *platform) done(version uint64) bool {
	for _, e := range p.engines {
		if e.Version() < version {
			return false
		}
	}
	return true
}

// judge looks for what the rule ONE forbids at replicas that don't check fencing numbers: a lower one
// after a higher one, or one number from two holders.
func (p *platform) judge() bool {
	broken, orders := 0, 0
	for _, e := range p.engines {
		holders := make(map[uint64]string)
		var highest harness.Order
		for _, o := range e.Arrived() {
			orders++
			if holder, seen := holders[o.Fence]; seen && holder != o.Holder {
				broken++
				p.record.Line("ONE: %s got fence %d from %s and from %s", e.ID, o.Fence, holder, o.Holder)
			}
			holders[o.Fence] = o.Holder
			if o.Fence < highest.Fence {
				broken++
				p.record.Line("ONE: %s got an order from %s with fence %d, %d ms after one from %s with fence %d",
					e.ID, o.Holder, o.Fence, o.At.Sub(highest.At).Milliseconds(), highest.Holder, highest.Fence)
			}
			if o.Fence > highest.Fence {
				highest = o
			}
		}
	}
	p.record.Line("%d orders, rule broken %d times", orders, broken)
	fmt.Printf("ONE broken %d times by %d orders\n", broken, orders)
	return broken > 0
}
