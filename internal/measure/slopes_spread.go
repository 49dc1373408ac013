package measure

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"skylarklead/internal/faultproxy"
	"skylarklead/internal/platform"
	"skylarklead/internal/settings"
	"skylarklead/internal/wait"
)

// PropagationPoint measures how configuration changes propagate to a number of
// daemons, one endpoint and otherwise entries, and how these restart. There is no
// load, so that entries don't learn of a newer configuration from requests.
type PropagationPoint struct {
	Daemons       int `json:"daemons"`
	Organisations int `json:"organisations"`
	Instructions  int `json:"instruction_bytes"`
	// Log has changes that all daemons can read from the log, Peers changes while
	// only one daemon can reach the log.
	Log   []Propagation `json:"log"`
	Peers []Propagation `json:"peers"`
	// Herd has restarts of a whole failure domain, a quarter of the daemons, while
	// all daemons can reach the log; HerdCut those while only one can.
	Herd    []Herd `json:"herd"`
	HerdCut []Herd `json:"herd_log_down"`
	Failed  string `json:"failed,omitempty"`
}

// Propagation has the times in seconds from before the append of a change until it
// is in force at half, 95 percent and all of the daemons, by their logs. Bytes is
// the average number of bytes on the wire of each daemon.
type Propagation struct {
	Half  float64 `json:"half_seconds"`
	Most  float64 `json:"95_in_100_seconds"`
	All   float64 `json:"all_seconds"`
	Bytes float64 `json:"wire_bytes_each"`
}

// Herd measures the restart of several daemons at the same time.
type Herd struct {
	Restarted int `json:"restarted"`
	// First and All are the times from the first start until the first daemon and
	// all daemons serve; Whole is the time until all have the newest configuration.
	First float64 `json:"first_serves_seconds"`
	All   float64 `json:"all_serve_seconds"`
	Whole float64 `json:"all_whole_seconds"`
	// FromPeer is how many of them got their first configuration from a peer.
	// Platform and Peers are the bytes on the wire, sent and received, and CPU the
	// CPU seconds, each an average over the daemons.
	FromPeer int     `json:"first_from_peer"`
	Platform float64 `json:"platform_bytes_each"`
	Peers    float64 `json:"peer_bytes_each"`
	CPU      float64 `json:"cpu_seconds_each"`
}

const (
	propagationRepeats       = 3
	propagationOrganisations = 1000
	propagationInstructions  = 1 << 10
	// propagationTimeout bounds the propagation of one change, which without the
	// log takes many requests between peers.
	propagationTimeout = 60 * time.Second
	herdDomain         = "domain-b"
)

// PropagationSlopes measures fleets with the given numbers of daemons.
func PropagationSlopes(ctx context.Context, sizes []int, progress io.Writer, o SlopeOptions) ([]PropagationPoint, error) {
	var points []PropagationPoint
	for _, n := range sizes {
		p := PropagationPoint{Daemons: n, Organisations: propagationOrganisations, Instructions: propagationInstructions}
		if err := o.withLock(ctx, func() error { return p.measure(ctx, o) }); err != nil {
			p.Failed = err.Error()
		}
		points = append(points, p)
		fmt.Fprintf(progress, "%+v\n", p)
	}
	return points, ctx.Err()
}

// partitionableFleet is a fleet whose daemons except the first entry reach the log
// through a proxy that can disconnect them.
type partitionableFleet struct {
	*Fleet
	log      *platform.Log
	logProxy *faultproxy.Proxy
	// baseOffset is the offset of the newest record of the organisation that is
	// changed.
	baseOffset uint64
}

func (p *PropagationPoint) measure(ctx context.Context, o SlopeOptions) error {
	dir, remove, err := tempDir(o.Keep)
	if err != nil {
		return err
	}
	defer remove()
	c := &partitionableFleet{}
	defer c.close()
	if err := c.start(ctx, p, dir, o); err != nil {
		return err
	}
	steps := []func() error{
		func() error {
			return repeatN(&p.Log, func() (Propagation, error) { return c.measureChange(ctx, p.Instructions) })
		},
		func() error { return repeatN(&p.Herd, func() (Herd, error) { return c.restartDomain(ctx) }) },
		c.partition,
		func() error {
			return repeatN(&p.Peers, func() (Propagation, error) { return c.measureChange(ctx, p.Instructions) })
		},
		func() error { return repeatN(&p.HerdCut, func() (Herd, error) { return c.restartDomain(ctx) }) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func repeatN[T any](into *[]T, do func() (T, error)) error {
	for range propagationRepeats {
		result, err := do()
		if err != nil {
			return err
		}
		*into = append(*into, result)
	}
	return nil
}

func (c *partitionableFleet) start(ctx context.Context, p *PropagationPoint, dir string, o SlopeOptions) (err error) {
	s := slopeFleet{members: 1, entries: p.Daemons - 1, answerTokens: 4, stepMs: 5}
	d := s.deployment()
	d.Domains = []string{"domain-a", herdDomain, "domain-c", "domain-d"}
	options := s.fleetOptions(dir, o)
	options.Prepare = func(ctx context.Context, f *Fleet) (err error) {
		c.log = platform.NewLog(f.platformURL)
		if c.baseOffset, _, err = publishOrganisations(ctx, c.log, p.Organisations, p.Instructions); err != nil {
			return err
		}
		c.logProxy, err = faultproxy.Listen("127.0.0.1:0", f.platformURL[len("http://"):])
		return err
	}
	unproxied := ""
	options.Settings = func(to *settings.Settings) {
		s.raiseLimits(to)
		to.LogLevel, to.Platform.Instances = "info", to.Platform.Log
		if to.Entry != nil && unproxied == "" {
			unproxied = to.ID
			return
		}
		to.Platform.Log = "http://" + c.logProxy.Address()
	}
	c.Fleet, err = StartFleet(ctx, d, s.workload(), options)
	return err
}

func (c *partitionableFleet) close() {
	if c.Fleet != nil {
		c.Fleet.Close()
	}
	if c.logProxy != nil {
		c.logProxy.Close()
	}
	if c.log != nil {
		c.log.Close()
	}
}

// partition disconnects all daemons but one from the log.
func (c *partitionableFleet) partition() error {
	c.logProxy.Refuse(true)
	c.logProxy.ResetConnections()
	return nil
}

// measureChange publishes a change and waits until it is in force at all daemons.
func (c *partitionableFleet) measureChange(ctx context.Context, instructions int) (result Propagation, err error) {
	data, err := organisationRecord(0, c.baseOffset, instructions)
	if err != nil {
		return result, err
	}
	before, err := c.daemonUsage()
	if err != nil {
		return result, err
	}
	start := time.Now()
	if c.baseOffset, err = c.log.Append(ctx, "config", [][]byte{data}); err != nil {
		return result, err
	}
	times, err := c.logTimes(ctx, c.daemons(), start, configInForce(c.baseOffset))
	if err != nil {
		return result, err
	}
	after, err := c.daemonUsage()
	if err != nil {
		return result, err
	}
	last := len(times) - 1
	result = Propagation{Half: times[last/2], Most: times[last*95/100], All: times[last]}
	for id, a := range after {
		known := zeroBaseline(a.sockets)
		for key, b := range before[id].sockets {
			known[key] = b
		}
		result.Bytes += (wireBytes(known, a.sockets, socketPlatform) + wireBytes(known, a.sockets, socketPeer)) / float64(len(after))
	}
	return result, nil
}

// logTimes waits until all nodes have logged a matching line since start, and
// returns the times of these lines in seconds after start, in ascending order.
func (c *partitionableFleet) logTimes(ctx context.Context, nodes []*node, start time.Time, match func(logLine) bool) ([]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	var times []float64
	for _, n := range nodes {
		line, ok := n.daemon.findLogLine(start, match)
		for ; !ok; line, ok = n.daemon.findLogLine(start, match) {
			if err := wait.For(ctx, pollInterval); err != nil {
				return nil, fmt.Errorf("measure: %s after %v: %w", n.id, time.Since(start), err)
			}
		}
		times = append(times, line.Time.Sub(start).Seconds())
	}
	slices.Sort(times)
	return times, nil
}

// restartDomain kills all entries of one failure domain and starts them again at
// the same time.
func (c *partitionableFleet) restartDomain(ctx context.Context) (result Herd, err error) {
	var nodes []*node
	for _, n := range c.Entries {
		if n.settings.FailureDomain == herdDomain {
			nodes = append(nodes, n)
			n.daemon.kill()
		}
	}
	start := time.Now()
	for _, n := range nodes {
		if err := n.daemon.start(); err != nil {
			return result, err
		}
	}
	servingTimes, err := c.logTimes(ctx, nodes, start, isServing)
	if err != nil {
		return result, err
	}
	currentTimes, err := c.logTimes(ctx, nodes, start, configInForce(c.baseOffset))
	if err != nil {
		return result, err
	}
	last := len(nodes) - 1
	result = Herd{Restarted: len(nodes), First: servingTimes[0], All: servingTimes[last], Whole: currentTimes[last]}
	uses, err := c.daemonUsage()
	if err != nil {
		return result, err
	}
	for _, n := range nodes {
		if first, _ := n.daemon.findLogLine(start, configInForce(1)); first.Source == "peer" {
			result.FromPeer++
		}
		u, each := uses[n.id], float64(len(nodes))
		result.Platform += wireBytes(zeroBaseline(u.sockets), u.sockets, socketPlatform) / each
		result.Peers += wireBytes(zeroBaseline(u.sockets), u.sockets, socketPeer) / each
		result.CPU += metricValue(u.page, "cpu_seconds") / each
	}
	return result, nil
}
