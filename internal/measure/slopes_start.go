package measure

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"time"

	"skylarklead/internal/platform"
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
	// Changes were published one after another; each took ChangeCPU seconds of
	// the entry's processor and ChangePlatform bytes from the platform.
	Changes        int     `json:"changes"`
	ChangeCPU      float64 `json:"change_cpu_seconds"`
	ChangePlatform float64 `json:"change_platform_bytes"`
	Failed         string  `json:"failed,omitempty"`
}

// publishBatch keeps an append of records below the platform's bound on bodies.
const publishBatch = 50

// StartSlopes measures starts at several sizes of configuration.
func StartSlopes(ctx context.Context, progress io.Writer, o SlopeOptions) ([]StartPoint, error) {
	var points []StartPoint
	for _, size := range []struct{ organisations, instructions int }{
		{8, 4 << 10}, {1000, 4 << 10}, {targetOrganisations, 1 << 10}, {targetOrganisations, 4 << 10}, {targetOrganisations, 16 << 10},
	} {
		p := StartPoint{Organisations: size.organisations, Instructions: size.instructions}
		if err := p.measure(ctx, o); err != nil {
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
	f := &Fleet{
		deployment: s.deployment(),
		options:    FleetOptions{Bin: o.Bin, Dir: dir, Policy: PolicyOwner, Engine: s.engine(), Settings: withRoom},
		views:      map[string]string{},
	}
	defer f.Close()
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	if err := f.publish(ctx, s.workload()); err != nil {
		return err
	}
	log := platform.NewLog(f.base)
	defer log.Close()
	first, err := p.publish(ctx, log)
	if err != nil {
		return err
	}
	if err := p.start(ctx, f, first+uint64(p.Organisations)-1); err != nil {
		return err
	}
	return p.change(ctx, f, log, first, o)
}

// publish puts the organisations on the log and returns the first one's offset.
func (p *StartPoint) publish(ctx context.Context, log *platform.Log) (first uint64, err error) {
	var batch [][]byte
	for i := range p.Organisations {
		data, err := organisationRecord(i, 0, p.Instructions)
		if err != nil {
			return 0, err
		}
		p.RecordBytes += len(data)
		batch = append(batch, data)
		if len(batch) < publishBatch && i < p.Organisations-1 {
			continue
		}
		offset, err := appendPatiently(ctx, log, batch)
		if err != nil {
			return 0, err
		}
		if first == 0 {
			first = offset
		}
		batch = nil
	}
	return first, nil
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
		Self:    func() wire.Identity { return wire.Identity{ID: "slopes", Role: wire.RoleTool} },
		Handler: ignore{},
	})
	if err != nil {
		return 0
	}
	defer session.Close(wire.ErrClosed)
	answer, err := session.Call(ctx, &wire.StatusRequest{})
	if err != nil {
		return 0
	}
	status, ok := answer.(*wire.Status)
	if !ok {
		return 0
	}
	return status.ConfigOffset
}

// ignore is a peer that only asks.
type ignore struct{}

func (ignore) Handle(*wire.Session, uint32, wire.Message) {}
func (ignore) Closed(*wire.Session, error)                {}

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
