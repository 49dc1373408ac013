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

const patience = 10 * time.Second

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
	for deadline := time.Now().Add(patience); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not seen: " + what)
		}
	}
}

func (f *fixture) reaches(follower *Follower, offset uint64, source Source) {
	f.t.Helper()
	until(f.t, fmt.Sprintf("offset %d from %s", offset, source), func() bool {
		return follower.offset() >= offset && follower.Source() == string(source)
	})
}

// meetsNoParts checks that followers meet marks of snapshots only.
func (f *fixture) meetsNoParts() {
	f.t.Helper()
	page, err := f.log.Read(f.t.Context(), Stream, 1, platform.MaxPageRecords, 0)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, r := range page.Records {
		record, err := config.ParseRecord(r.Data, "record")
		if _, mark := record.SnapshotMarker(); err != nil || record.Kind == config.KindSnapshot && !mark {
			f.t.Errorf("followers meet %s: %v", r.Data, err)
		}
	}
}

// from is a peer that answers out of another follower.
func from(peer *Follower) FetchFunc {
	return func(_ context.Context, m *protocol.ConfigFetch) (*protocol.ConfigState, error) {
		return peer.Fetch(m)
	}
}

// cutLog is a log that can't be reached.
type cutLog struct{}

var errCut = errors.New("cut off")

func (cutLog) Read(context.Context, string, uint64, int, time.Duration) (platform.Page, error) {
	return platform.Page{}, errCut
}

func (cutLog) Append(context.Context, string, [][]byte) (uint64, error) { return 0, errCut }

func TestFollowsLog(t *testing.T) {
	f := newFixture(t, standin.Control{})
	first := f.publish(0)
	follower := f.follow(Options{})
	f.reaches(follower, first, SourceLog)
	second := f.publish(first)
	f.reaches(follower, second, SourceLog)
	if got := follower.State().Groups["g"].LoadPermits; got != int(first)+1 {
		t.Errorf("load permits %d", got)
	}
	if !follower.LogReachable() {
		t.Error("the log counts as not reachable")
	}
}

// Symptom: a process cut off from the log goes on with an old configuration.
// Sequence: the log is cut at one process only; operators publish; other
// processes talk to it. Cause: it would learn of changes from the log alone.
func TestFollowsPeersWithoutLog(t *testing.T) {
	f := newFixture(t, standin.Control{})
	first := f.publish(0)
	peer := f.follow(Options{})
	f.reaches(peer, first, SourceLog)
	cut := f.follow(Options{Log: cutLog{}, Peers: func(context.Context) []FetchFunc { return []FetchFunc{from(peer)} }})
	f.reaches(cut, first, SourcePeer)
	second := f.publish(first)
	f.reaches(peer, second, SourceLog)
	cut.PeerHasOffset(second, from(peer))
	f.reaches(cut, second, SourcePeer)
	if cut.LogReachable() {
		t.Error("the log counts as reachable")
	}
}

// Symptom: a follower misses the record that was appended during an outage, or its
// log is full of one outage's lines.
// Sequence: a long poll waits, the log goes down, comes back, and grows.
// Cause: the poll's failure ends the follower, or moves its offset.
func TestFollowsOnAfterOutage(t *testing.T) {
	f := newFixture(t, standin.Control{})
	first := f.publish(0)
	var lines bytes.Buffer
	follower := New(Options{Log: f.log, Retention: time.Hour, Logger: slog.New(slog.NewTextHandler(&lines, nil))})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- follower.Run(ctx) }()
	f.reaches(follower, first, SourceLog)
	f.control(`{"log_down":true}`)
	until(t, "the outage", func() bool { return !follower.LogReachable() })
	f.control(`{"log_down":false}`)
	second := f.publish(first)
	f.reaches(follower, f.publish(second), SourceLog)
	cancel()
	<-ended
	if text := lines.String(); strings.Count(text, "log not read") != 1 || strings.Count(text, "log reached") != 2 {
		t.Errorf("lines of the outage:\n%s", text)
	}
}

// readsFrom is a log that tells the offset of each read.
type readsFrom struct {
	Log
	offsets chan uint64
}

func (l readsFrom) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (platform.Page, error) {
	l.offsets <- from
	return l.Log.Read(ctx, stream, from, limit, wait)
}

// Symptom: when a failure domain comes back the log has to give all of itself to
// each process.
// Sequence: a process starts beside one that has the state.
// Cause: the log is read from its beginning while the peer is asked.
func TestStartReadsTheLogFromThePeersState(t *testing.T) {
	f := newFixture(t, standin.Control{})
	first := f.publish(0)
	peer := f.follow(Options{})
	f.reaches(peer, first, SourceLog)
	log := readsFrom{f.log, make(chan uint64, 1000)}
	started := f.follow(Options{Log: log, Peers: func(context.Context) []FetchFunc { return []FetchFunc{from(peer)} }})
	f.reaches(started, f.publish(first), SourceLog)
	if got := <-log.offsets; got != first+1 {
		t.Errorf("the first read is from offset %d, want %d", got, first+1)
	}
}

// Symptom: after a failure of a whole site an entry takes a key that was taken back.
// Sequence: the log is down, an old file is there; the one peer that has the newer
// state fails the first question.
// Cause: each peer is asked once, and then the file is read.
func TestPeerThatFailsOnceIsAskedAgain(t *testing.T) {
	f := newFixture(t, standin.Control{})
	first := f.publish(0)
	peer := f.follow(Options{})
	f.reaches(peer, first, SourceLog)
	exported, err := config.EncodeState(peer.State())
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "old")
	if err := os.WriteFile(file, exported, 0o600); err != nil {
		t.Fatal(err)
	}
	second := f.publish(first)
	f.reaches(peer, second, SourceLog)
	failed := false
	busy := func(_ context.Context, m *protocol.ConfigFetch) (*protocol.ConfigState, error) {
		if !failed {
			failed = true
			return nil, errCut
		}
		return peer.Fetch(m)
	}
	cut := f.follow(Options{Log: cutLog{}, Bootstrap: file, Peers: func(context.Context) []FetchFunc { return []FetchFunc{busy} }})
	<-cut.Ready()
	if cut.offset() != second || cut.Source() != string(SourcePeer) {
		t.Errorf("starts with offset %d from %s, want %d", cut.offset(), cut.Source(), second)
	}
}

// A state of several parts arrives whole though the peer's state moves on while
// the parts are fetched.
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
	f.reaches(peer, last, SourceLog)
	parts := 0
	moving := func(_ context.Context, m *protocol.ConfigFetch) (*protocol.ConfigState, error) {
		answer, err := peer.Fetch(m)
		if parts++; parts == 1 {
			f.reaches(peer, f.publish(0), SourceLog)
		}
		return answer, err
	}
	cut := f.follow(Options{Log: cutLog{}})
	cut.PeerHasOffset(last, moving)
	f.reaches(cut, last, SourcePeer)
	if parts < 2 {
		t.Errorf("the state came in %d part", parts)
	}
	if o := cut.State().Organisations["o2"]; o == nil || len(o.Instructions[0]) != 200<<10 {
		t.Error("the state isn't whole")
	}
}

// Symptom: a configuration reverts after it was in force. Sequence: a process
// asks a peer that is behind, or is sent an old state. Cause: whoever answers
// last would win.
func TestNeverGoesBack(t *testing.T) {
	f := newFixture(t, standin.Control{})
	first := f.publish(0)
	stale := f.follow(Options{})
	f.reaches(stale, first, SourceLog)
	old, err := config.EncodeState(stale.State())
	if err != nil {
		t.Fatal(err)
	}
	second := f.publish(first)
	follower := f.follow(Options{Log: cutLog{}})
	f.reaches(stale, second, SourceLog)
	follower.PeerHasOffset(second, from(stale))
	f.reaches(follower, second, SourcePeer)
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

// Symptom: after all processes were replaced during an outage of the log nobody
// serves. Sequence: log down, every peer new as well. Cause: nothing is left that
// knows the configuration but the operators' exported file.
func TestBootstrapFile(t *testing.T) {
	f := newFixture(t, standin.Control{})
	first := f.publish(0)
	before := f.follow(Options{})
	f.reaches(before, first, SourceLog)
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
	f.reaches(follower, first, SourceBootstrap)
	f.control(`{"log_down":false}`)
	f.reaches(follower, f.publish(first), SourceLog)
}

// Symptom: a process that starts after retention has passed has no
// configuration. Sequence: records, a snapshot, the log drops what is before it.
// Cause: the first records are gone.
func TestSnapshotOutlivesRetention(t *testing.T) {
	f := newFixture(t, standin.Control{})
	last := uint64(0)
	for range 5 {
		last = f.publish(last)
	}
	// A retention this short makes the first snapshot due at once.
	writer := f.follow(Options{ProcessName: "writer", Retention: 50 * time.Millisecond})
	until(t, "a snapshot on the log", func() bool { return writer.offset() > last })
	f.meetsNoParts()
	f.control(`{"retention_count":2}`)
	after := f.publish(last)
	f.control(`{"retention_count":0}`)
	f.reaches(writer, after, SourceLog)
	page, err := f.log.Read(t.Context(), Stream, 1, 1, 0)
	var retained *platform.OffsetExpiredError
	if !errors.As(err, &retained) {
		t.Fatalf("the log still has its first record: %v %v", page, err)
	}
	late := f.follow(Options{ProcessName: "late"})
	f.reaches(late, after, SourceLog)
	if late.State().Groups["g"].Offset != after {
		t.Errorf("group %+v, want the one at %d", late.State().Groups["g"], after)
	}
}

// Symptom: after an update of the fleet a process that starts has no configuration.
// Sequence: builds that keep snapshots on the configuration's own stream wrote the
// last one; retention passes. Cause: only the snapshots' stream is read.
func TestSnapshotOfAnOlderBuildIsRead(t *testing.T) {
	f := newFixture(t, standin.Control{})
	first := f.publish(0)
	old := f.follow(Options{})
	f.reaches(old, first, SourceLog)
	parts, err := config.SnapshotRecords(old.State(), "old")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.log.Append(t.Context(), Stream, parts); err != nil {
		t.Fatal(err)
	}
	last := f.publish(first)
	f.control(fmt.Sprintf(`{"retention_count":%d}`, len(parts)+1))
	f.reaches(f.follow(Options{ProcessName: "late"}), last, SourceLog)
}

// Symptom: each process that is started writes a snapshot of its own.
// Sequence: a process meets the mark of one; another takes its state from this, a
// third has as much from the log already and asks the second.
// Cause: only who has met the last snapshot knows its age.
func TestPeersTellOfTheSnapshot(t *testing.T) {
	f := newFixture(t, standin.Control{})
	first := f.publish(0)
	peer := f.follow(Options{})
	f.reaches(peer, first, SourceLog)
	mark, err := config.SnapshotMarker{AsOf: first, ID: "w"}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.log.Append(t.Context(), Stream, [][]byte{mark}); err != nil {
		t.Fatal(err)
	}
	f.reaches(peer, first+1, SourceLog)
	for _, opts := range []Options{{Log: cutLog{}}, {}} {
		before := peer
		opts.Peers = func(context.Context) []FetchFunc { return []FetchFunc{from(before)} }
		peer = f.follow(opts)
		until(t, "the peer's word", func() bool { return peer.snapshots.due()-peer.now() > 29*time.Minute })
	}
}

// Symptom: a process behind retention serves less than what is in force.
// Sequence: a snapshot written late by a stopped process claims an offset whose
// next records are gone already. Cause: applying the rest of the log on it would
// leave a gap.
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
