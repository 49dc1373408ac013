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

// SpreadPoint is what so many real daemons, entries but for one endpoint, make of
// changes and of restarts. There is no load, so that no request tells an entry of
// a newer configuration.
type SpreadPoint struct {
	Daemons       int `json:"daemons"`
	Organisations int `json:"organisations"`
	Instructions  int `json:"instruction_bytes"`
	// Log are changes that all read from the log, Peers changes while one daemon
	// alone reaches the log.
	Log   []Spreading `json:"log"`
	Peers []Spreading `json:"peers"`
	// Herd are restarts of all of a failure domain, a quarter of the daemons, with
	// the log; HerdCut those without.
	Herd    []Herd `json:"herd"`
	HerdCut []Herd `json:"herd_log_down"`
	Failed  string `json:"failed,omitempty"`
}

// Spreading is the times from before the append of a change until it is in force
// at so many of the daemons, in seconds, by their logs.
type Spreading struct {
	Half  float64 `json:"half_seconds"`
	Most  float64 `json:"95_in_100_seconds"`
	All   float64 `json:"all_seconds"`
	Bytes float64 `json:"wire_bytes_each"`
}

// Herd is the restart of several daemons at once.
type Herd struct {
	Restarted int `json:"restarted"`
	// First and All serve so long after the first start; Whole is until all have
	// the newest configuration.
	First float64 `json:"first_serves_seconds"`
	All   float64 `json:"all_serve_seconds"`
	Whole float64 `json:"all_whole_seconds"`
	// FromPeer of them had their first configuration from a peer. Platform and
	// Peers are wire bytes, both ways, and CPU seconds of each, on average.
	FromPeer int     `json:"first_from_peer"`
	Platform float64 `json:"platform_bytes_each"`
	Peers    float64 `json:"peer_bytes_each"`
	CPU      float64 `json:"cpu_seconds_each"`
}

const (
	spreadRepeats       = 3
	spreadOrganisations = 1000
	spreadInstructions  = 1 << 10
	// spreadPatience bounds one change; without the log it takes many questions
	// between peers.
	spreadPatience = 60 * time.Second
	herdDomain     = "domain-b"
)

// SpreadSlopes measures fleets of so many daemons.
func SpreadSlopes(ctx context.Context, sizes []int, progress io.Writer, o SlopeOptions) ([]SpreadPoint, error) {
	var points []SpreadPoint
	for _, n := range sizes {
		p := SpreadPoint{Daemons: n, Organisations: spreadOrganisations, Instructions: spreadInstructions}
		if err := o.exclusively(ctx, func() error { return p.measure(ctx, o) }); err != nil {
			p.Failed = err.Error()
		}
		points = append(points, p)
		fmt.Fprintf(progress, "%+v\n", p)
	}
	return points, ctx.Err()
}

// crowd is a fleet whose daemons, but for the first entry, reach the log through
// a proxy that can cut them off.
type crowd struct {
	*Fleet
	log *platform.Log
	way *faultproxy.Proxy
	// base is the newest record of the organisation that is changed.
	base uint64
}

func (p *SpreadPoint) measure(ctx context.Context, o SlopeOptions) error {
	dir, remove, err := tempDir(o.Keep)
	if err != nil {
		return err
	}
	defer remove()
	c := &crowd{}
	defer c.close()
	if err := c.start(ctx, p, dir, o); err != nil {
		return err
	}
	steps := []func() error{
		func() error {
			return repeated(&p.Log, func() (Spreading, error) { return c.change(ctx, p.Instructions) })
		},
		func() error { return repeated(&p.Herd, func() (Herd, error) { return c.herd(ctx) }) },
		c.cut,
		func() error {
			return repeated(&p.Peers, func() (Spreading, error) { return c.change(ctx, p.Instructions) })
		},
		func() error { return repeated(&p.HerdCut, func() (Herd, error) { return c.herd(ctx) }) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func repeated[T any](into *[]T, do func() (T, error)) error {
	for range spreadRepeats {
		result, err := do()
		if err != nil {
			return err
		}
		*into = append(*into, result)
	}
	return nil
}

func (c *crowd) start(ctx context.Context, p *SpreadPoint, dir string, o SlopeOptions) (err error) {
	s := slopeFleet{members: 1, entries: p.Daemons - 1, answerTokens: 4, stepMs: 5}
	d := s.deployment()
	d.Domains = []string{"domain-a", herdDomain, "domain-c", "domain-d"}
	options := s.fleet(dir, o)
	options.Prepare = func(ctx context.Context, f *Fleet) (err error) {
		c.log = platform.NewLog(f.base)
		if c.base, _, err = publishOrganisations(ctx, c.log, p.Organisations, p.Instructions); err != nil {
			return err
		}
		c.way, err = faultproxy.Listen("127.0.0.1:0", f.base[len("http://"):])
		return err
	}
	direct := ""
	options.Settings = func(to *settings.Settings) {
		s.room(to)
		to.LogLevel, to.Platform.Instances = "info", to.Platform.Log
		if to.Entry != nil && direct == "" {
			direct = to.ID
			return
		}
		to.Platform.Log = "http://" + c.way.Address()
	}
	c.Fleet, err = StartFleet(ctx, d, s.workload(), options)
	return err
}

func (c *crowd) close() {
	if c.Fleet != nil {
		c.Fleet.Close()
	}
	if c.way != nil {
		c.way.Close()
	}
	if c.log != nil {
		c.log.Close()
	}
}

// cut takes the log from all daemons but one.
func (c *crowd) cut() error {
	c.way.Refuse(true)
	c.way.ResetConnections()
	return nil
}

// change publishes a change and waits until all have it in force.
func (c *crowd) change(ctx context.Context, instructions int) (s Spreading, err error) {
	data, err := organisationRecord(0, c.base, instructions)
	if err != nil {
		return s, err
	}
	before, err := c.use()
	if err != nil {
		return s, err
	}
	begun := time.Now()
	if c.base, err = c.log.Append(ctx, "config", [][]byte{data}); err != nil {
		return s, err
	}
	times, err := c.times(ctx, c.daemons(), begun, inForce(c.base))
	if err != nil {
		return s, err
	}
	after, err := c.use()
	if err != nil {
		return s, err
	}
	last := len(times) - 1
	s = Spreading{Half: times[last/2], Most: times[last*95/100], All: times[last]}
	for id, a := range after {
		known := zeroed(a.sockets)
		for key, b := range before[id].sockets {
			known[key] = b
		}
		s.Bytes += (wireBytes(known, a.sockets, socketPlatform) + wireBytes(known, a.sockets, socketPeer)) / float64(len(after))
	}
	return s, nil
}

// times waits until all nodes have logged a line and returns how long after begun,
// in order.
func (c *crowd) times(ctx context.Context, nodes []*node, begun time.Time, match func(logLine) bool) ([]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, spreadPatience)
	defer cancel()
	var times []float64
	for _, n := range nodes {
		line, ok := n.daemon.logged(begun, match)
		for ; !ok; line, ok = n.daemon.logged(begun, match) {
			if err := wait.For(ctx, pollEvery); err != nil {
				return nil, fmt.Errorf("measure: %s after %v: %w", n.id, time.Since(begun), err)
			}
		}
		times = append(times, line.Time.Sub(begun).Seconds())
	}
	slices.Sort(times)
	return times, nil
}

// herd kills and starts again all of a failure domain.
func (c *crowd) herd(ctx context.Context) (h Herd, err error) {
	var nodes []*node
	for _, n := range c.Entries {
		if n.settings.FailureDomain == herdDomain {
			nodes = append(nodes, n)
			n.daemon.kill()
		}
	}
	begun := time.Now()
	for _, n := range nodes {
		if err := n.daemon.start(); err != nil {
			return h, err
		}
	}
	serve, err := c.times(ctx, nodes, begun, serving)
	if err != nil {
		return h, err
	}
	whole, err := c.times(ctx, nodes, begun, inForce(c.base))
	if err != nil {
		return h, err
	}
	last := len(nodes) - 1
	h = Herd{Restarted: len(nodes), First: serve[0], All: serve[last], Whole: whole[last]}
	uses, err := c.use()
	if err != nil {
		return h, err
	}
	for _, n := range nodes {
		if first, _ := n.daemon.logged(begun, inForce(1)); first.Source == "peer" {
			h.FromPeer++
		}
		u, each := uses[n.id], float64(len(nodes))
		h.Platform += wireBytes(zeroed(u.sockets), u.sockets, socketPlatform) / each
		h.Peers += wireBytes(zeroed(u.sockets), u.sockets, socketPeer) / each
		h.CPU += value(u.page, "cpu_seconds") / each
	}
	return h, nil
}
