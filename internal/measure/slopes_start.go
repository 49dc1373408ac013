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

// StartPoint measures the start of an endpoint and an entry with a log that
// contains the records of a number of organisations.
type StartPoint struct {
	Organisations int `json:"organisations"`
	Instructions  int `json:"instruction_bytes"`
	RecordBytes   int `json:"record_bytes"`
	// Ready is the time from the entry's start until it reports that it is ready,
	// InForce that until the log's last record is in force at both daemons.
	Ready   float64 `json:"ready_seconds"`
	InForce float64 `json:"in_force_seconds"`
	// CPU time, RSS and bytes on the wire to and from the platform of each daemon
	// at that time.
	EndpointCPUSeconds float64 `json:"endpoint_cpu_seconds"`
	EndpointRSS        float64 `json:"endpoint_rss"`
	EntryCPUSeconds    float64 `json:"entry_cpu_seconds"`
	EntryRSS           float64 `json:"entry_rss"`
	EntryPlatform      float64 `json:"entry_platform_bytes"`
	// Restarts are restarts of the entry, with the endpoint as its only peer.
	Restarts []Restart `json:"restarts"`
	// Changes is the number of changes published one after another. ChangeCPU and
	// ChangePlatform are the entry's CPU seconds and bytes on the wire to and from
	// the platform for each.
	Changes        int     `json:"changes"`
	ChangeCPU      float64 `json:"change_cpu_seconds"`
	ChangePlatform float64 `json:"change_platform_bytes"`
	Failed         string  `json:"failed,omitempty"`
}

// Restart measures the start of an entry after it was killed.
type Restart struct {
	// First is the time from its start until it has answered a request, Whole that
	// until the log's last record is in force, by the entry's own log output.
	First float64 `json:"first_answer_seconds"`
	Whole float64 `json:"whole_seconds"`
	// Source is the source of its first configuration.
	Source string `json:"source"`
	// Platform and Peers are its bytes on the wire, sent and received, up to then,
	// CPU its CPU seconds.
	Platform float64 `json:"platform_bytes"`
	Peers    float64 `json:"peer_bytes"`
	CPU      float64 `json:"cpu_seconds"`
}

// restartsPerSize is how often the entry is restarted at each size.
const restartsPerSize = 3

// publishBatchSize keeps an append of records below the platform's limit on the
// size of request bodies.
const publishBatchSize = 50

// StartSlopes measures starts with several sizes of configuration.
func StartSlopes(ctx context.Context, progress io.Writer, o SlopeOptions) ([]StartPoint, error) {
	var points []StartPoint
	for _, size := range configurationSizes {
		p := StartPoint{Organisations: size.organisations, Instructions: size.instructions}
		if err := o.withLock(ctx, func() error { return p.measure(ctx, o) }); err != nil {
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
	options := s.fleetOptions(dir, o)
	options.Settings = func(to *settings.Settings) { s.raiseLimits(to); to.LogLevel = "info" }
	f := &Fleet{deployment: s.deployment(), options: options, listURLs: map[string]string{}}
	defer f.Close()
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	if err := f.publish(ctx, s.workload()); err != nil {
		return err
	}
	log := platform.NewLog(f.platformURL)
	defer log.Close()
	first, bytes, err := publishOrganisations(ctx, log, p.Organisations, p.Instructions)
	if err != nil {
		return err
	}
	p.RecordBytes = bytes
	last := first + uint64(p.Organisations) - 1
	if err := p.measureStart(ctx, f, last); err != nil {
		return err
	}
	for range restartsPerSize {
		r, err := f.restartEntry(ctx, newIdlePaths(f, s), last)
		if err != nil {
			return err
		}
		p.Restarts = append(p.Restarts, r)
	}
	return p.measureChanges(ctx, f, log, first, o)
}

// restartEntry kills the first entry and starts it again.
func (f *Fleet) restartEntry(ctx context.Context, paths idlePaths, last uint64) (r Restart, err error) {
	n := f.Entries[0]
	n.daemon.kill()
	start := time.Now()
	if err := n.daemon.start(); err != nil {
		return r, err
	}
	for i := 0; ; i++ {
		_, err := paths.through(ctx, i)
		if err == nil {
			break
		}
		if time.Since(start) > startTimeout {
			return r, err
		}
		if err := wait.For(ctx, time.Millisecond); err != nil {
			return r, err
		}
	}
	r.First = time.Since(start).Seconds()
	var current logLine
	err = waitUntil(ctx, n.id+" to have the newest configuration in force", func() (ok bool) {
		current, ok = n.daemon.findLogLine(start, configInForce(last))
		return ok
	})
	if err != nil {
		return r, err
	}
	r.Whole = current.Time.Sub(start).Seconds()
	first, _ := n.daemon.findLogLine(start, configInForce(1))
	r.Source = first.Source
	uses, err := f.daemonUsage()
	if err != nil {
		return r, err
	}
	u := uses[n.id]
	r.CPU = metricValue(u.page, "cpu_seconds")
	r.Platform = wireBytes(zeroBaseline(u.sockets), u.sockets, socketPlatform)
	r.Peers = wireBytes(zeroBaseline(u.sockets), u.sockets, socketPeer)
	return r, nil
}

// publishOrganisations appends the records of n organisations to the log, and
// returns the offset of the first one and the size of all in bytes.
func publishOrganisations(ctx context.Context, log *platform.Log, n, instructions int) (first uint64, size int, err error) {
	var batch [][]byte
	for i := range n {
		data, err := organisationRecord(i, 0, instructions)
		if err != nil {
			return 0, 0, err
		}
		size += len(data)
		batch = append(batch, data)
		if len(batch) < publishBatchSize && i < n-1 {
			continue
		}
		offset, err := appendWithRetry(ctx, log, batch)
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

// appendWithRetry appends a batch, and retries after the requested time while
// appends are rate-limited.
func appendWithRetry(ctx context.Context, log *platform.Log, batch [][]byte) (uint64, error) {
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

func (p *StartPoint) measureStart(ctx context.Context, f *Fleet, last uint64) error {
	endpoint, err := f.startEndpoint("engine", slopeGroup, 0)
	if err != nil {
		return err
	}
	f.Engines = append(f.Engines, endpoint)
	start := time.Now()
	entry, err := f.startEntry(0)
	if err != nil {
		return err
	}
	f.Entries = append(f.Entries, entry)
	readyz := "http://" + entry.settings.Entry.Listen + "/readyz"
	if err := waitUntil(ctx, "the entry", func() bool { return respondsOK(readyz) }); err != nil {
		return err
	}
	p.Ready = time.Since(start).Seconds()
	for _, n := range []*node{endpoint, entry} {
		if err := waitUntil(ctx, n.id+" to have its configuration", func() bool { return offsetInForce(ctx, n) >= last }); err != nil {
			return err
		}
	}
	p.InForce = time.Since(start).Seconds()
	uses, err := f.daemonUsage()
	if err != nil {
		return err
	}
	u := uses[endpoint.id]
	p.EndpointCPUSeconds, p.EndpointRSS = metricValue(u.page, "cpu_seconds"), u.rss
	u = uses[entry.id]
	p.EntryCPUSeconds, p.EntryRSS = metricValue(u.page, "cpu_seconds"), u.rss
	p.EntryPlatform = wireBytes(zeroBaseline(u.sockets), u.sockets, socketPlatform)
	return nil
}

// offsetInForce returns the offset of a daemon's configuration, 0 if it can't be
// queried.
func offsetInForce(ctx context.Context, n *node) uint64 {
	key, err := hex.DecodeString(fleetKey)
	if err != nil {
		return 0
	}
	session, err := wire.Dial(ctx, n.settings.Listen, wire.Options{
		Key:     key,
		Self:    func() protocol.Identity { return protocol.Identity{ID: "slopes", Role: protocol.RoleTool} },
		Handler: ignoreMessages{},
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

// ignoreMessages is the handler of a session that only sends requests.
type ignoreMessages struct{}

func (ignoreMessages) Handle(*wire.Session, uint32, protocol.Message) {}
func (ignoreMessages) Closed(*wire.Session, error)                    {}

func zeroBaseline(sockets map[string]socket) map[string]socket {
	zero := make(map[string]socket, len(sockets))
	for key, s := range sockets {
		zero[key] = socket{kind: s.kind}
	}
	return zero
}

// measureChanges measures repeated changes of one organisation's record against an
// idle window.
func (p *StartPoint) measureChanges(ctx context.Context, f *Fleet, log *platform.Log, base uint64, o SlopeOptions) error {
	const changes = 20
	idle, err := f.measureEntryWindow(ctx, o, func() error { return nil })
	if err != nil {
		return err
	}
	busy, err := f.measureEntryWindow(ctx, o, func() error {
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

// measureEntryWindow calls do and returns the first entry's CPU seconds and bytes
// on the wire to and from the platform over a window that starts with the call.
func (f *Fleet) measureEntryWindow(ctx context.Context, o SlopeOptions, do func() error) (used [2]float64, err error) {
	n := f.Entries[0]
	before, err := f.daemonUsage()
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
	after, err := f.daemonUsage()
	if err != nil {
		return used, err
	}
	b, a := before[n.id], after[n.id]
	used[0] = metricValue(a.page, "cpu_seconds") - metricValue(b.page, "cpu_seconds")
	used[1] = wireBytes(b.sockets, a.sockets, socketPlatform)
	return used, nil
}
