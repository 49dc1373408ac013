// Package follow keeps a process's configuration up to date: from the platform's log, from
// peers while the log is unreachable, and from a bootstrap file if neither answers at the
// start. The offset of the state that it provides never decreases.
package follow

import (
	"context"
	"errors"
	"hash/fnv"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"skylarklead/internal/config"
	"skylarklead/internal/platform"
	"skylarklead/internal/protocol"
	"skylarklead/internal/wait"
)

const (
	// Stream is the log stream of configuration records.
	Stream = "config"
	// bootstrapAfter is how long the log and the peers have at the start before the bootstrap
	// file is read.
	bootstrapAfter = time.Second
	// logWait is the long-poll wait of one read of the log.
	logWait = 10 * time.Second
	// minInterval is the least time between two requests to peers or to the log.
	minInterval = 100 * time.Millisecond
	// peerInterval is the time between requests to peers while the log is unreachable. A change
	// that only one process could read spreads through the peers in as many rounds as the fleet
	// has doublings; with 2 s that took longer than the target of 12 s.
	peerInterval = time.Second
	// peersHeadStart is how long the peers are asked at the start before the log is read too. It
	// is well below bootstrapAfter, or an old bootstrap file would be used before the log.
	peersHeadStart = 400 * time.Millisecond
	// fetchTimeout bounds one request to a peer.
	fetchTimeout = 5 * time.Second
	// logGrace is how long the log has to deliver an offset that a peer already has.
	logGrace = 100 * time.Millisecond
	// partBytes bounds one part of an answer to a peer.
	partBytes = 256 << 10
	// maxParts bounds the parts of a state, and thereby the memory that an answer can take.
	maxParts = 512
)

// Source is where the current state came from.
type Source string

const (
	SourceNone      Source = ""
	SourceLog       Source = "log"
	SourcePeer      Source = "peer"
	SourceBootstrap Source = "bootstrap"
)

var (
	// ErrTooLarge is returned for a state of more than maxParts parts.
	ErrTooLarge = errors.New("follow: configuration state too large")
	// ErrStateChanged is returned if a peer no longer has the state of which it sent some
	// parts. It is asked again later.
	ErrStateChanged = errors.New("follow: the peer's state changed between parts")
)

// Log is the subset of platform.Log that a Follower uses.
type Log interface {
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (platform.Page, error)
	Append(ctx context.Context, stream string, records [][]byte) (uint64, error)
}

// FetchFunc sends a ConfigFetch to one peer.
type FetchFunc func(ctx context.Context, m *protocol.ConfigFetch) (*protocol.ConfigState, error)

// Options configure a Follower.
type Options struct {
	Log Log
	// Peers returns the peers to ask, in order of preference. It is called at the start and
	// again while the log is unreachable.
	Peers func(ctx context.Context) []FetchFunc
	// Bootstrap is the path of a file with an exported state, empty for none.
	Bootstrap string
	// Retention is how long the log keeps a record.
	Retention time.Duration
	// ProcessName is the process's unique name. It decides in which order processes write
	// snapshots.
	ProcessName string
	Logger      *slog.Logger
}

// Follower follows the configuration. Its methods are safe for concurrent use.
type Follower struct {
	opts    Options
	started time.Time
	state   atomic.Pointer[config.State]
	source  atomic.Value
	logUp   atomic.Bool
	ready   chan struct{}
	// peersTried is closed when the first round of requests to peers is over.
	peersTried chan struct{}
	answers    answerCache
	// snapshots has the schedule of the snapshots that this process writes.
	snapshots snapshots

	// mu serialises changes of state.
	mu sync.Mutex

	newestPeer newestPeer
}

// New returns a Follower, which has no state until Run obtains one.
func New(opts Options) *Follower {
	f := &Follower{opts: opts, started: time.Now(), ready: make(chan struct{}), peersTried: make(chan struct{})}
	f.snapshots.schedule = config.NewSnapshotSchedule(opts.Retention, 0, f.rank())
	f.source.Store(SourceNone)
	return f
}

// State returns the newest accepted state, nil if there is none yet.
func (f *Follower) State() *config.State { return f.state.Load() }

// Ready is closed once there is a state to serve from.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Source returns where the current state came from.
func (f *Follower) Source() string { return string(f.source.Load().(Source)) }

// LogReachable reports whether the last read of the log succeeded.
func (f *Follower) LogReachable() bool { return f.logUp.Load() }

// Wait blocks until there is a state to serve from, or returns ctx's error.
func (f *Follower) Wait(ctx context.Context) error {
	select {
	case <-f.ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run follows the configuration until ctx ends and returns its error.
func (f *Follower) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	tasks.Go(func() { f.followPeers(ctx) })
	tasks.Go(func() { f.loadBootstrapFile(ctx) })
	tasks.Go(func() { f.followPeerOffsets(ctx) })
	newTail(f).run(ctx)
	tasks.Wait()
	return ctx.Err()
}

// offset is the offset of the current state, 0 without one.
func (f *Follower) offset() uint64 {
	if s := f.state.Load(); s != nil {
		return s.Offset
	}
	return 0
}

// adopt makes s the current state if it is newer, or the first.
func (f *Follower) adopt(s *config.State, source Source) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.adoptLocked(s, source)
}

func (f *Follower) adoptLocked(s *config.State, source Source) bool {
	old := f.state.Load()
	if old != nil && s.Offset <= old.Offset {
		if s.Offset == old.Offset && source == SourceLog {
			f.source.Store(source)
		}
		return false
	}
	f.state.Store(s)
	f.source.Store(source)
	if old == nil {
		close(f.ready)
	}
	f.opts.Logger.Info("configuration in force", "offset", s.Offset, "source", string(source),
		"organisations", len(s.Organisations), "unknown_schema", len(s.Opaque))
	return true
}

// Merge merges an encoded state from a peer or a file into the current one. An older state
// changes nothing.
func (f *Follower) Merge(encoded []byte, source Source) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	base := f.state.Load()
	if base == nil {
		base = config.NewState()
	}
	merged, err := base.Merge(encoded)
	if err != nil {
		return err
	}
	f.adoptLocked(merged, source)
	return nil
}

// now is the monotonic time since the start.
func (f *Follower) now() time.Duration { return time.Since(f.started) }

// rank maps the process name to a value distributed evenly between 0 and 1.
func (f *Follower) rank() float64 {
	h := fnv.New64a()
	h.Write([]byte(f.opts.ProcessName))
	return float64(h.Sum64()) / math.MaxUint64
}

func pause(ctx context.Context, d time.Duration) {
	// The caller checks ctx next.
	_ = wait.For(ctx, d)
}
