package follow

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"skylarklead/internal/config"
	"skylarklead/internal/platform"
	"skylarklead/internal/protocol"
	standin "skylarklead/internal/standin/platform"
)

const testTimeout = 10 * time.Second

type fixture struct {
	t   *testing.T
	url string
	log *platform.Log
}

func newFixture(t *testing.T, control standin.Control) *fixture {
	t.Helper()
	server := httptest.NewServer(standin.New(standin.Options{Control: control}))
	f := &fixture{t: t, url: server.URL, log: platform.NewLog(server.URL)}
	t.Cleanup(func() { f.log.Close(); server.CloseClientConnections(); server.Close() })
	return f
}

func (f *fixture) control(body string) {
	f.t.Helper()
	resp, err := http.Post(f.url+"/control", "application/json", bytes.NewBufferString(body))
	if err != nil || resp.StatusCode != http.StatusOK {
		f.t.Fatalf("control %s: %v %v", body, resp, err)
	}
	resp.Body.Close()
}

// publish appends a change of the group "g" and returns its offset.
func (f *fixture) publish(base uint64) uint64 {
	f.t.Helper()
	record := fmt.Appendf(nil, `{"schema":1,"kind":"group","key":"g","base":%d,"body":{"load_permits":%d}}`, base, base+1)
	offset, err := f.log.Append(f.t.Context(), Stream, [][]byte{record})
	if err != nil {
		f.t.Fatal(err)
	}
	return offset
}

func (f *fixture) follow(opts Options) *Follower {
	if opts.Log == nil {
		opts.Log = f.log
	}
	if opts.Retention == 0 {
		opts.Retention = time.Hour
	}
	opts.Logger = slog.New(slog.DiscardHandler)
	follower := New(opts)
	ctx, cancel := context.WithCancel(f.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follower.Run(ctx)
	}()
	f.t.Cleanup(func() { cancel(); <-done })
	return follower
}

func until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not observed in time: " + what)
		}
	}
}

func (f *fixture) waitForOffset(follower *Follower, offset uint64, source Source) {
	f.t.Helper()
	until(f.t, fmt.Sprintf("offset %d from %s", offset, source), func() bool {
		return follower.offset() >= offset && follower.Source() == string(source)
	})
}

// checkNoSnapshotParts checks that the configuration stream has marks of snapshots only, no parts.
func (f *fixture) checkNoSnapshotParts() {
	f.t.Helper()
	page, err := f.log.Read(f.t.Context(), Stream, 1, platform.MaxPageRecords, 0)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, r := range page.Records {
		record, err := config.ParseRecord(r.Data, "record")
		if _, marker := record.SnapshotMarker(); err != nil || record.Kind == config.KindSnapshot && !marker {
			f.t.Errorf("the configuration stream has %s: %v", r.Data, err)
		}
	}
}

// fetchFrom returns the FetchFunc for another follower.
func fetchFrom(peer *Follower) FetchFunc {
	return func(_ context.Context, m *protocol.ConfigFetch) (*protocol.ConfigState, error) {
		return peer.Fetch(m)
	}
}

// downLog is an unreachable log.
type downLog struct{}

var errDown = errors.New("log unreachable")

func (downLog) Read(context.Context, string, uint64, int, time.Duration) (platform.Page, error) {
	return platform.Page{}, errDown
}

func (downLog) Append(context.Context, string, [][]byte) (uint64, error) { return 0, errDown }

func TestFollowsLog(t *testing.T) {
	f := newFixture(t, standin.Control{})
	first := f.publish(0)
	follower := f.follow(Options{})
	f.waitForOffset(follower, first, SourceLog)
	second := f.publish(first)
	f.waitForOffset(follower, second, SourceLog)
	if got := follower.State().Groups["g"].LoadPermits; got != int(first)+1 {
		t.Errorf("load permits %d; want offset + 1", got)
	}
	if !follower.LogReachable() {
		t.Error("the log is reported as unreachable")
	}
}

// Guards against a process that keeps an old configuration while only it can't reach the log:
// operators publish changes, and other processes send messages to it.
func TestFollowsPeersWithoutLog(t *testing.T) {
	f := newFixture(t, standin.Control{})
	first := f.publish(0)
	peer := f.follow(Options{})
	f.waitForOffset(peer, first, SourceLog)
	isolated := f.follow(Options{Log: downLog{}, Peers: func(context.Context) []FetchFunc { return []FetchFunc{fetchFrom(peer)} }})
	f.waitForOffset(isolated, first, SourcePeer)
	second := f.publish(first)
	f.waitForOffset(peer, second, SourceLog)
	isolated.PeerHasOffset(second, fetchFrom(peer))
	f.waitForOffset(isolated, second, SourcePeer)
	if isolated.LogReachable() {
		t.Error("the log is reported as reachable")
	}
}

// Guards against a follower that misses a record appended during an outage, or logs a line for each
// failed read: a long poll is waiting when the log goes down, comes back and grows. The failed poll
// must neither end the follower nor move its offset.
func TestFollowsOnAfterOutage(t *testing.T) {
	f := newFixture(t, standin.Control{})
	first := f.publish(0)
	var lines bytes.Buffer
	follower := New(Options{Log: f.log, Retention: time.Hour, Logger: slog.New(slog.NewTextHandler(&lines, nil))})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- follower.Run(ctx) }()
	f.waitForOffset(follower, first, SourceLog)
	f.control(`{"log_down":true}`)
	until(t, "the outage", func() bool { return !follower.LogReachable() })
	f.control(`{"log_down":false}`)
	second := f.publish(first)
	f.waitForOffset(follower, f.publish(second), SourceLog)
	cancel()
	<-ended
	if text := lines.String(); strings.Count(text, "log not read") != 1 || strings.Count(text, "log reached") != 2 {
		t.Errorf("log lines of the outage; want 1 \"log not read\" and 2 \"log reached\":\n%s", text)
	}
}

// offsetRecorder is a log that records the offset of each read.
type offsetRecorder struct {
	Log
	offsets chan uint64
}

func (l offsetRecorder) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (platform.Page, error) {
	l.offsets <- from
	return l.Log.Read(ctx, stream, from, limit, wait)
}

// Guards against each process reading the whole log when a failure domain comes back: the log must
// not be read from its beginning while a peer that has the state is asked.
func TestStartReadsTheLogFromThePeersState(t *testing.T) {
	f := newFixture(t, standin.Control{})
	first := f.publish(0)
	peer := f.follow(Options{})
	f.waitForOffset(peer, first, SourceLog)
	log := offsetRecorder{f.log, make(chan uint64, 1000)}
	started := f.follow(Options{Log: log, Peers: func(context.Context) []FetchFunc { return []FetchFunc{fetchFrom(peer)} }})
	// Published after the first read: a peer that has the record before it is asked tells a later offset.
	if got := <-log.offsets; got != first+1 {
		t.Errorf("the first read is from offset %d, want %d", got, first+1)
	}
	f.waitForOffset(started, f.publish(first), SourceLog)
}

// Guards against an entry that accepts a revoked key after a failure of a whole site: the log is
// down, there is an old bootstrap file, and the one peer with the newer state fails the first
// request. The peer must be asked again before the file is read.
func TestPeerThatFailsOnceIsAskedAgain(t *testing.T) {
	f := newFixture(t, standin.Control{})
	first := f.publish(0)
	peer := f.follow(Options{})
	f.waitForOffset(peer, first, SourceLog)
	exported, err := config.EncodeState(peer.State())
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "old")
	if err := os.WriteFile(file, exported, 0o600); err != nil {
		t.Fatal(err)
	}
	second := f.publish(first)
	f.waitForOffset(peer, second, SourceLog)
	failed := false
	busy := func(_ context.Context, m *protocol.ConfigFetch) (*protocol.ConfigState, error) {
		if !failed {
			failed = true
			return nil, errDown
		}
		return peer.Fetch(m)
	}
	isolated := f.follow(Options{Log: downLog{}, Bootstrap: file, Peers: func(context.Context) []FetchFunc { return []FetchFunc{busy} }})
	<-isolated.Ready()
	if isolated.offset() != second || isolated.Source() != string(SourcePeer) {
		t.Errorf("starts with offset %d from %s, want %d", isolated.offset(), isolated.Source(), second)
	}
}

// A state of several parts is complete even if the peer's state changes while the parts are
// fetched.
func TestStateInParts(t *testing.T) {
	f := newFixture(t, standin.Control{})
	rng := rand.New(rand.NewPCG(1, 1))
	var last uint64
	for i := range 3 {
		text := make([]byte, 200<<10)
		for j := range text {
			text[j] = byte('a' + rng.IntN(26))
		}
		record := fmt.Appendf(nil, `{"schema":1,"kind":"organisation","key":"o%d","base":0,"body":{"instructions":%q}}`, i, text)
		offset, err := f.log.Append(t.Context(), Stream, [][]byte{record})
		if err != nil {
			t.Fatal(err)
		}
		last = offset
	}
	peer := f.follow(Options{})
	f.waitForOffset(peer, last, SourceLog)
	parts := 0
	moving := func(_ context.Context, m *protocol.ConfigFetch) (*protocol.ConfigState, error) {
		answer, err := peer.Fetch(m)
		if parts++; parts == 1 {
			f.waitForOffset(peer, f.publish(0), SourceLog)
		}
		return answer, err
	}
	isolated := f.follow(Options{Log: downLog{}})
	isolated.PeerHasOffset(last, moving)
	f.waitForOffset(isolated, last, SourcePeer)
	if parts < 2 {
		t.Errorf("the state was fetched in %d parts; want at least 2", parts)
	}
	if o := isolated.State().Organisations["o2"]; o == nil || len(o.Instructions[0]) != 200<<10 {
		t.Error("the state is incomplete")
	}
}

// Guards against a configuration that reverts after it was in force, because a process asks a peer
// that is behind, or receives an old state.
func TestNeverGoesBack(t *testing.T) {
	f := newFixture(t, standin.Control{})
	first := f.publish(0)
	stale := f.follow(Options{})
	f.waitForOffset(stale, first, SourceLog)
	old, err := config.EncodeState(stale.State())
	if err != nil {
		t.Fatal(err)
	}
	second := f.publish(first)
	follower := f.follow(Options{Log: downLog{}})
	f.waitForOffset(stale, second, SourceLog)
	follower.PeerHasOffset(second, fetchFrom(stale))
	f.waitForOffset(follower, second, SourcePeer)
	if err := follower.Merge(old, SourcePeer); err != nil {
		t.Fatal(err)
	}
	decoded, err := config.DecodeState(old)
	if err != nil {
		t.Fatal(err)
	}
	follower.adopt(decoded, SourceLog)
	if got := follower.offset(); got != second {
		t.Errorf("offset went back to %d", got)
	}
}

// Guards against a fleet that can't serve after all processes were replaced during an outage of the
// log: no peer has a state either, and only the exported file has the configuration.
func TestBootstrapFile(t *testing.T) {
	f := newFixture(t, standin.Control{})
	first := f.publish(0)
	before := f.follow(Options{})
	f.waitForOffset(before, first, SourceLog)
	exported, err := config.EncodeState(before.State())
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "state")
	if err := os.WriteFile(file, exported, 0o600); err != nil {
		t.Fatal(err)
	}
	f.control(`{"log_down":true}`)
	follower := f.follow(Options{Bootstrap: file})
	f.waitForOffset(follower, first, SourceBootstrap)
	f.control(`{"log_down":false}`)
	f.waitForOffset(follower, f.publish(first), SourceLog)
}

// Guards against a process without a configuration if it starts after retention has removed the
// first records: the log has records and a snapshot, and drops what precedes the snapshot.
func TestSnapshotOutlivesRetention(t *testing.T) {
	f := newFixture(t, standin.Control{})
	last := uint64(0)
	for range 5 {
		last = f.publish(last)
	}
	// A retention this short makes the first snapshot due at once.
	writer := f.follow(Options{ProcessName: "writer", Retention: 50 * time.Millisecond})
	until(t, "a snapshot on the log", func() bool { return writer.offset() > last })
	f.checkNoSnapshotParts()
	f.control(`{"retention_count":2}`)
	after := f.publish(last)
	// The stand-in drops records when a stream is read, so it is read before the limit is lifted.
	page, err := f.log.Read(t.Context(), Stream, 1, 1, 0)
	var retained *platform.OffsetExpiredError
	if !errors.As(err, &retained) {
		t.Fatalf("the log still has its first record: %v %v", page, err)
	}
	f.control(`{"retention_count":0}`)
	f.waitForOffset(writer, after, SourceLog)
	if page, err := f.log.Read(t.Context(), Stream, 1, 1, 0); !errors.As(err, &retained) {
		t.Fatalf("the log has its first record again: %v %v", page, err)
	}
	late := f.follow(Options{ProcessName: "late"})
	f.waitForOffset(late, after, SourceLog)
	if late.State().Groups["g"].Offset != after {
		t.Errorf("group %+v, want the one at %d", late.State().Groups["g"], after)
	}
}

// Guards against a process without a configuration if it starts after an update of the fleet: older
// builds wrote the last snapshot to the configuration stream itself, and retention has passed. The
// stream of snapshots alone doesn't have it.
func TestSnapshotOfAnOlderBuildIsRead(t *testing.T) {
	f := newFixture(t, standin.Control{})
	first := f.publish(0)
	old := f.follow(Options{})
	f.waitForOffset(old, first, SourceLog)
	parts, err := config.SnapshotRecords(old.State(), "old")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.log.Append(t.Context(), Stream, parts); err != nil {
		t.Fatal(err)
	}
	last := f.publish(first)
	f.control(fmt.Sprintf(`{"retention_count":%d}`, len(parts)+1))
	f.waitForOffset(f.follow(Options{ProcessName: "late"}), last, SourceLog)
}

// Guards against each started process writing a snapshot of its own, because only a process that
// has read the last snapshot's marker knows its age. One process reads the marker, another one gets its
// state from it, and a third one, which is as up to date from the log, asks the second.
func TestPeersTellOfTheSnapshot(t *testing.T) {
	f := newFixture(t, standin.Control{})
	first := f.publish(0)
	peer := f.follow(Options{})
	f.waitForOffset(peer, first, SourceLog)
	marker, err := config.SnapshotMarker{AsOf: first, ID: "w"}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.log.Append(t.Context(), Stream, [][]byte{marker}); err != nil {
		t.Fatal(err)
	}
	f.waitForOffset(peer, first+1, SourceLog)
	for _, opts := range []Options{{Log: downLog{}}, {}} {
		before := peer
		opts.Peers = func(context.Context) []FetchFunc { return []FetchFunc{fetchFrom(before)} }
		peer = f.follow(opts)
		until(t, "the snapshot age from the peer", func() bool { return peer.snapshots.due()-peer.now() > 29*time.Minute })
	}
}

// Guards against a process behind retention that serves an incomplete configuration: a paused process
// wrote a snapshot late, as of an offset whose next records are already gone. Applying the rest of
// the log to it would leave a gap.
func TestSnapshotWithGapIsNotUsed(t *testing.T) {
	s := config.NewState()
	s, _ = s.Apply(1, []byte(`{"schema":1,"kind":"group","key":"g","base":0,"body":{}}`))
	records, err := config.SnapshotRecords(s, "late")
	if err != nil {
		t.Fatal(err)
	}
	log := []platform.Record{{Offset: 9, Data: records[0]}}
	if got := newestSnapshot(log, 9); got != nil {
		t.Errorf("used the snapshot as of %d on a log that starts at 9", got.AsOf)
	}
	if got := newestSnapshot(log, 2); got == nil {
		t.Error("didn't use the snapshot that the log continues")
	}
}

// Guards against a process that is cut off from the platform and never asks a peer: it needs the instance list to know
// any, and the list can't be read either.
func TestPeersOfTheLastListAreAsked(t *testing.T) {
	down := false
	list := func(context.Context) ([]platform.Instance, error) {
		if down {
			return nil, platform.ErrUnavailable
		}
		return []platform.Instance{{Address: "a:1", FailureDomain: "x"}, {Address: "b:1", FailureDomain: "y"}, {Address: "self:1"}}, nil
	}
	peers := PeersNearestFirst(nil, []string{"fixed:1"}, list, "x", "self:1")
	if got := len(peers(t.Context())); got != 3 {
		t.Fatalf("%d peers; want 3", got)
	}
	down = true
	if got := len(peers(t.Context())); got != 3 {
		t.Errorf("%d peers while the list can't be read; want the 3 that are known", got)
	}
}
