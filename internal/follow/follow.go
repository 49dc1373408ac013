// Package follow keeps a process's configuration up to date: from the platform's
// log, from peers while the log can't be reached, and from a bootstrap file when
// neither answers at the start. The state that it hands out never goes back to a
// lower offset.
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
	// Stream is the log's stream of configuration records.
	Stream = "config"
	// bootstrapAfter is how long the log and the peers may take at the start.
	bootstrapAfter = time.Second
	// logWait is how long one read of the log waits for a record.
	logWait = 10 * time.Second
	// minPause is the least time between two questions, to peers or the log.
	minPause = 100 * time.Millisecond
	// peerPause is the time between questions to peers without the log. A change
	// that one process alone could read spreads by them in as many rounds as the
	// fleet has doublings; at 2 s that took longer than the 12 s of the target.
	peerPause = time.Second
	// headStart is how long the peers have at the start before the log is read too.
	// It is well below bootstrapAfter, or an old file would come before the log.
	headStart = 400 * time.Millisecond
	// fetchTimeout bounds one question to a peer.
	fetchTimeout = 5 * time.Second
	// tailGrace is how long the log gets to bring what a peer already has.
	tailGrace = 100 * time.Millisecond
	// partBytes bounds one part of an answer to a peer.
	partBytes = 256 << 10
	// maxParts bounds what an answer can make us keep.
	maxParts = 512
)

// Source is where the present state came from.
type Source string

// The sources.
const (
	SourceNone      Source = ""
	SourceLog       Source = "log"
	SourcePeer      Source = "peer"
	SourceBootstrap Source = "bootstrap"
)

var (
	// ErrTooLarge is returned for a state of more than maxParts parts.
	ErrTooLarge = errors.New("follow: the state is too large")
	// ErrStateChanged is returned when a peer no longer has the state of which it has
	// given some parts. It is asked anew later.
	ErrStateChanged = errors.New("follow: the peer's state has moved on")
)

// Log is the part of platform.Log that a Follower uses.
type Log interface {
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (platform.Page, error)
	Append(ctx context.Context, stream string, records [][]byte) (uint64, error)
}

// FetchFunc asks one peer.
type FetchFunc func(ctx context.Context, m *protocol.ConfigFetch) (*protocol.ConfigState, error)

// Options are what a Follower needs.
type Options struct {
	Log Log
	// Peers returns whom to ask, the best ones first. It is called at the start
	// and again while the log can't be reached.
	Peers func(ctx context.Context) []FetchFunc
	// Bootstrap is the file of an exported state, empty for none.
	Bootstrap string
	// Retention is how long the log keeps a record.
	Retention time.Duration
	// ProcessName is the process's unique name; it ranks who writes snapshots.
	ProcessName string
	Logger      *slog.Logger
}

// Follower follows the configuration. Its methods may be called from any
// goroutine.
type Follower struct {
	opts    Options
	started time.Time
	state   atomic.Pointer[config.State]
	source  atomic.Value
	logUp   atomic.Bool
	ready   chan struct{}
	// asked is closed when the first round of questions to peers is over.
	asked   chan struct{}
	answers answerCache
	// snapshots is when this process is to write the next one.
	snapshots snapshots

	// mu orders changes of state.
	mu sync.Mutex

	hearsay hearsay
}

// New returns a Follower that has no state until Run gets one.
func New(opts Options) *Follower {
	f := &Follower{opts: opts, started: time.Now(), ready: make(chan struct{}), asked: make(chan struct{})}
	f.snapshots.schedule = config.NewSnapshotSchedule(opts.Retention, 0, f.rank())
	f.source.Store(SourceNone)
	return f
}

// State returns the newest accepted state, or nil if there is none yet.
func (f *Follower) State() *config.State { return f.state.Load() }

// Ready is closed once there is a state to serve from.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Source returns where the present state came from.
func (f *Follower) Source() string { return string(f.source.Load().(Source)) }

// LogReachable reports whether the last read of the log was answered.
func (f *Follower) LogReachable() bool { return f.logUp.Load() }

// Wait returns when there is a state to serve from, or ctx's error.
func (f *Follower) Wait(ctx context.Context) error {
	select {
	case <-f.ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run follows until ctx ends and returns its error.
func (f *Follower) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	tasks.Go(func() { f.followPeers(ctx) })
	tasks.Go(func() { f.bootstrapLate(ctx) })
	tasks.Go(func() { f.followHearsay(ctx) })
	newTail(f).run(ctx)
	tasks.Wait()
	return ctx.Err()
}

// offset is the present state's offset, 0 without one.
func (f *Follower) offset() uint64 {
	if s := f.state.Load(); s != nil {
		return s.Offset
	}
	return 0
}

// adopt makes s the present state if it is newer, or the first.
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

// Merge merges what a peer, or a file, has. An older state changes nothing.
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

// now is the time since the start, by the monotonic clock.
func (f *Follower) now() time.Duration { return time.Since(f.started) }

// rank spreads processes evenly over 0 to 1.
func (f *Follower) rank() float64 {
	h := fnv.New64a()
	h.Write([]byte(f.opts.ProcessName))
	return float64(h.Sum64()) / math.MaxUint64
}

func pause(ctx context.Context, d time.Duration) {
	_ = wait.For(ctx, d) // who waits looks at ctx next
}
