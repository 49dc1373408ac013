package measure

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"time"

	"skylarklead/internal/platform"
	"skylarklead/internal/protocol"
	"skylarklead/internal/settings"
	"skylarklead/internal/wait"
	"skylarklead/internal/wire"
)

// StartPoint is the start of two real daemons, an endpoint and an entry, on a
// log that holds the records of so many organisations.
type StartPoint struct {
	Organisations int `json:"organisations"`
	Instructions  int `json:"instruction_bytes"`
	RecordBytes   int `json:"record_bytes"`
	// Ready is the time from the entry's start until it says that it is ready,
	// InForce until both daemons have the log's last record in force.
	Ready   float64 `json:"ready_seconds"`
	InForce float64 `json:"in_force_seconds"`
	// CPUSeconds, RSS and Platform (bytes on the wire) are the daemons' own once
	// it is in force.
	EndpointCPUSeconds float64 `json:"endpoint_cpu_seconds"`
	EndpointRSS        float64 `json:"endpoint_rss"`
	EntryCPUSeconds    float64 `json:"entry_cpu_seconds"`
	EntryRSS           float64 `json:"entry_rss"`
	EntryPlatform      float64 `json:"entry_platform_bytes"`
	// Restarts are of the entry alone, with the endpoint as the only peer.
	Restarts []Restart `json:"restarts"`
	// Changes were published one after another; each took ChangeCPU seconds of
	// the entry's processor and ChangePlatform bytes from the platform.
	Changes        int     `json:"changes"`
	ChangeCPU      float64 `json:"change_cpu_seconds"`
	ChangePlatform float64 `json:"change_platform_bytes"`
	Failed         string  `json:"failed,omitempty"`
}

// Restart is the start of an entry that was killed.
type Restart struct {
	// First is the time from its start until it has answered a request, Whole
	// until it has the log's last record in force, by its own log.
	First float64 `json:"first_answer_seconds"`
	Whole float64 `json:"whole_seconds"`
	// Source is where its first configuration came from.
	Source string `json:"source"`
	// Platform and Peers are its bytes on the wire, both ways, once it is whole.
	Platform float64 `json:"platform_bytes"`
	Peers    float64 `json:"peer_bytes"`
	CPU      float64 `json:"cpu_seconds"`
}

// startRestarts is how often the entry is restarted at each size.
const startRestarts = 3

// publishBatch keeps an append of records below the platform's bound on bodies.
const publishBatch = 50

// StartSlopes measures starts at several sizes of configuration.
func StartSlopes(ctx context.Context, progress io.Writer, o SlopeOptions) ([]StartPoint, error) {
	var points []StartPoint
	for _, size := range configurationSizes {
		p := StartPoint{Organisations: size.organisations, Instructions: size.instructions}
		if err := o.exclusively(ctx, func() error { return p.measure(ctx, o) }); err != nil {
			p.Failed = err.Error()
		}
		points = append(points, p)
		fmt.Fprintf(progress, "%+v\n", p)
	}
	return points, nil
}

func (p *StartPoint) measure(ctx context.Context, o SlopeOptions) error {
	dir, remove, err := tempDir(o.Keep)
	if err != nil {
		return err
	}
	defer remove()
	s := slopeFleet{members: 1, entries: 1, answerTokens: 4, stepMs: 5}
	options := s.fleet(dir, o)
	options.Settings = func(to *settings.Settings) { s.room(to); to.LogLevel = "info" }
	f := &Fleet{deployment: s.deployment(), options: options, views: map[string]string{}}
	defer f.Close()
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	if err := f.publish(ctx, s.workload()); err != nil {
		return err
	}
	log := platform.NewLog(f.base)
	defer log.Close()
	first, bytes, err := publishOrganisations(ctx, log, p.Organisations, p.Instructions)
	if err != nil {
		return err
	}
	p.RecordBytes = bytes
	last := first + uint64(p.Organisations) - 1
	if err := p.start(ctx, f, last); err != nil {
		return err
	}
	for range startRestarts {
		r, err := f.restart(ctx, newIdlePaths(f, s), last)
		if err != nil {
			return err
		}
		p.Restarts = append(p.Restarts, r)
	}
	return p.change(ctx, f, log, first, o)
}

// restart kills the first entry and starts it again.
func (f *Fleet) restart(ctx context.Context, paths idlePaths, last uint64) (r Restart, err error) {
	n := f.Entries[0]
	n.daemon.kill()
	begun := time.Now()
	if err := n.daemon.start(); err != nil {
		return r, err
	}
	for i := 0; ; i++ {
		_, err := paths.through(ctx, i)
		if err == nil {
			break
		}
		if time.Since(begun) > startTimeout {
			return r, err
		}
		if err := wait.For(ctx, time.Millisecond); err != nil {
			return r, err
		}
	}
	r.First = time.Since(begun).Seconds()
	var whole logLine
	err = await(ctx, n.id+" to be whole", func() (ok bool) {
		whole, ok = n.daemon.logged(begun, inForce(last))
		return ok
	})
	if err != nil {
		return r, err
	}
	r.Whole = whole.Time.Sub(begun).Seconds()
	first, _ := n.daemon.logged(begun, inForce(1))
	r.Source = first.Source
	uses, err := f.use()
	if err != nil {
		return r, err
	}
	u := uses[n.id]
	r.CPU = value(u.page, "cpu_seconds")
	r.Platform = wireBytes(zeroed(u.sockets), u.sockets, socketPlatform)
	r.Peers = wireBytes(zeroed(u.sockets), u.sockets, socketPeer)
	return r, nil
}

// publishOrganisations puts so many organisations on the log and returns the
// first one's offset and the bytes of all.
func publishOrganisations(ctx context.Context, log *platform.Log, n, instructions int) (first uint64, size int, err error) {
	var batch [][]byte
	for i := range n {
		data, err := organisationRecord(i, 0, instructions)
		if err != nil {
			return 0, 0, err
		}
		size += len(data)
		batch = append(batch, data)
		if len(batch) < publishBatch && i < n-1 {
			continue
		}
		offset, err := appendPatiently(ctx, log, batch)
		if err != nil {
			return 0, 0, err
		}
		if first == 0 {
			first = offset
		}
		batch = nil
	}
	return first, size, nil
}

// appendPatiently comes back when the log says so.
func appendPatiently(ctx context.Context, log *platform.Log, batch [][]byte) (uint64, error) {
	for {
		offset, err := log.Append(ctx, "config", batch)
		var limited *platform.RateLimitedError
		if !errors.As(err, &limited) {
			return offset, err
		}
		if err := wait.For(ctx, limited.RetryAfter); err != nil {
			return 0, err
		}
	}
}

func (p *StartPoint) start(ctx context.Context, f *Fleet, last uint64) error {
	endpoint, err := f.startEndpoint("engine", slopeGroup, 0)
	if err != nil {
		return err
	}
	f.Engines = append(f.Engines, endpoint)
	begun := time.Now()
	entry, err := f.startEntry(0)
	if err != nil {
		return err
	}
	f.Entries = append(f.Entries, entry)
	readyz := "http://" + entry.settings.Entry.Listen + "/readyz"
	if err := await(ctx, "the entry", func() bool { return isOK(readyz) }); err != nil {
		return err
	}
	p.Ready = time.Since(begun).Seconds()
	for _, n := range []*node{endpoint, entry} {
		if err := await(ctx, n.id+" to have its configuration", func() bool { return offsetInForce(ctx, n) >= last }); err != nil {
			return err
		}
	}
	p.InForce = time.Since(begun).Seconds()
	uses, err := f.use()
	if err != nil {
		return err
	}
	u := uses[endpoint.id]
	p.EndpointCPUSeconds, p.EndpointRSS = value(u.page, "cpu_seconds"), u.rss
	u = uses[entry.id]
	p.EntryCPUSeconds, p.EntryRSS = value(u.page, "cpu_seconds"), u.rss
	p.EntryPlatform = wireBytes(zeroed(u.sockets), u.sockets, socketPlatform)
	return nil
}

// offsetInForce asks a daemon for its configuration's offset; 0 if it can't say.
func offsetInForce(ctx context.Context, n *node) uint64 {
	key, err := hex.DecodeString(fleetKey)
	if err != nil {
		return 0
	}
	session, err := wire.Dial(ctx, n.settings.Listen, wire.Options{
		Key:     key,
		Self:    func() protocol.Identity { return protocol.Identity{ID: "slopes", Role: protocol.RoleTool} },
		Handler: ignore{},
	})
	if err != nil {
		return 0
	}
	defer session.Close(wire.ErrClosed)
	answer, err := session.Call(ctx, &protocol.StatusRequest{})
	if err != nil {
		return 0
	}
	status, ok := answer.(*protocol.Status)
	if !ok {
		return 0
	}
	return status.ConfigOffset
}

// ignore is a peer that only asks.
type ignore struct{}

func (ignore) Handle(*wire.Session, uint32, protocol.Message) {}
func (ignore) Closed(*wire.Session, error)                    {}

func zeroed(sockets map[string]socket) map[string]socket {
	zero := make(map[string]socket, len(sockets))
	for key, s := range sockets {
		zero[key] = socket{kind: s.kind}
	}
	return zero
}

// change publishes one organisation's record again and again.
func (p *StartPoint) change(ctx context.Context, f *Fleet, log *platform.Log, base uint64, o SlopeOptions) error {
	const changes = 20
	idle, err := f.entryWindow(ctx, o, func() error { return nil })
	if err != nil {
		return err
	}
	busy, err := f.entryWindow(ctx, o, func() error {
		for range changes {
			data, err := organisationRecord(0, base, p.Instructions)
			if err != nil {
				return err
			}
			if base, err = log.Append(ctx, "config", [][]byte{data}); err != nil {
				return err
			}
			if err := wait.For(ctx, 100*time.Millisecond); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	p.Changes = changes
	p.ChangeCPU = (busy[0] - idle[0]) / changes
	p.ChangePlatform = (busy[1] - idle[1]) / changes
	return nil
}

// entryWindow returns the first entry's processor seconds and bytes from the
// platform over a window in which do is done.
func (f *Fleet) entryWindow(ctx context.Context, o SlopeOptions, do func() error) (used [2]float64, err error) {
	n := f.Entries[0]
	before, err := f.use()
	if err != nil {
		return used, err
	}
	end := time.After(o.Window)
	if err := do(); err != nil {
		return used, err
	}
	select {
	case <-end:
	case <-ctx.Done():
		return used, ctx.Err()
	}
	after, err := f.use()
	if err != nil {
		return used, err
	}
	b, a := before[n.id], after[n.id]
	used[0] = value(a.page, "cpu_seconds") - value(b.page, "cpu_seconds")
	used[1] = wireBytes(b.sockets, a.sockets, socketPlatform)
	return used, nil
}
