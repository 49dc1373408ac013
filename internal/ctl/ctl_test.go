package ctl

import (
	"bytes"
	"cmp"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"skylarklead/internal/config"
	"skylarklead/internal/follow"
	"skylarklead/internal/platform"
	"skylarklead/internal/protocol"
	standin "skylarklead/internal/standin/platform"
	"skylarklead/internal/wire"
	"skylarklead/test/kit"
)

const records = `[
  // the group first
  {"schema": 1, "kind": "group", "key": "g", "body": {"load_permits": 3}},
  {"schema": 1, "kind": "organisation", "key": "o", "body": {"instructions": "Ledger & Sons <rules>"}},
  {"schema": 2, "kind": "model", "key": "m", "body": {"group": "g", "versions": ["v1"], "version": "v1"}},
]`

type fixture struct {
	t            *testing.T
	url          string
	file         string
	beforeAppend func() // if set, called before each append reaches the log
	handler      http.Handler
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, file: filepath.Join(t.TempDir(), "records.json")}
	f.handler = standin.New(standin.Options{Instances: []platform.Instance{
		{ID: "ep-1", Role: platform.RoleEndpoint, Group: "g", State: platform.StateLive},
		{ID: "ep-2", Role: platform.RoleEndpoint, Group: "g", State: platform.StateLive},
		{ID: "ep-3", Role: platform.RoleEndpoint, Group: "g", State: platform.StateLive},
		{ID: "ep-4", Role: platform.RoleEndpoint, Group: "g", State: platform.StateLeaving},
		{ID: "ep-5", Role: platform.RoleEndpoint, Group: "lone", State: platform.StateLive},
	}})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && strings.HasSuffix(r.URL.Path, "/records") && f.beforeAppend != nil {
			f.beforeAppend()
		}
		f.handler.ServeHTTP(w, r)
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	f.url = server.URL
	f.write(records)
	return f
}

func (f *fixture) write(text string) {
	f.t.Helper()
	kit.OK(f.t, os.WriteFile(f.file, []byte(text), 0o600))
}

func (f *fixture) run(want int, args ...string) string {
	f.t.Helper()
	f.t.Setenv("SKYLARK_PLATFORM", f.url)
	var out, errOut bytes.Buffer
	got := Run(f.t.Context(), append([]string{"skylarkctl"}, args...), &out, &errOut)
	if got != want {
		f.t.Fatalf("skylarkctl %v: exit %d, want %d\n%s%s", args, got, want, &out, &errOut)
	}
	return out.String() + errOut.String()
}

func (f *fixture) contains(text, want string) {
	f.t.Helper()
	if !strings.Contains(text, want) {
		f.t.Errorf("no %q in:\n%s", want, text)
	}
}

func TestPublishAndShow(t *testing.T) {
	f := newFixture(t)
	f.contains(f.run(ExitOK, "config", "check", f.file), "3 records are good")
	f.contains(f.run(ExitOK, "config", "diff", f.file), "create group/g")
	f.contains(f.run(ExitOK, "config", "publish", "--operator", "ada", f.file), "in_force")
	if again := f.run(ExitOK, "config", "publish", f.file); strings.Count(again, "unchanged") != 3 {
		t.Errorf("publishing again changed something:\n%s", again)
	}
	f.contains(f.run(ExitOK, "config", "list"), "ada")
	f.contains(f.run(ExitOK, "config", "get", "model", "m"), `"version": "v1"`)
	f.write(strings.Replace(records, `"group": "g"`, `"group": "h"`, 1))
	f.contains(f.run(ExitOK, "config", "publish", f.file), "warning: model/m refers to group/h, which isn't in force")
	f.write(strings.Replace(records, `: 3`, `: 2`, 1))
	f.contains(f.run(ExitOK, "config", "diff", f.file), `+     "load_permits": 2`)
	f.run(ExitOK, "config", "publish", f.file)
	var events []event
	kit.OK(t, json.Unmarshal([]byte(f.run(ExitOK, "config", "history", "-o", "json", "group", "g")), &events))
	if len(events) != 2 || events[1].Base != events[0].Offset || events[1].Verdict.Reason != config.ReasonInForce {
		t.Errorf("history %+v", events)
	}
	exported := filepath.Join(t.TempDir(), "state")
	f.run(ExitOK, "config", "export", "-o", exported)
	data := kit.Must(os.ReadFile(exported))(t)
	if s, err := config.DecodeState(data); err != nil || s.Groups["g"].LoadPermits != 2 {
		t.Errorf("exported %+v: %v", s, err)
	}
}

// If a group's load_permits is at least its number of replicas, a weight change
// leaves one replica, or none, to serve all of the group's requests. check and
// publish warn of that.
func TestPermitsAreHeldAgainstReplicas(t *testing.T) {
	f := newFixture(t)
	const warning = "warning: group/g: load_permits is 3 and the group has 3 replicas; at most 2 load at once, and 1 would serve alone"
	f.contains(f.run(ExitOK, "config", "check", f.file), warning)
	f.contains(f.run(ExitOK, "config", "publish", f.file), warning)
	f.write(`[{"schema": 2, "kind": "group", "key": "g", "body": {"load_permits": 2}}, {"schema": 2, "kind": "group", "key": "lone", "body": {}}]`)
	if text := f.run(ExitOK, "config", "check", f.file); strings.Contains(text, "warning") {
		t.Errorf("unexpected warning: %s", text)
	}
	f.write(records)
	f.url = "http://127.0.0.1:1"
	f.contains(f.run(ExitOK, "config", "check", f.file), "load_permits not checked against the instance list")
	f.url = ""
	if text := f.run(ExitOK, "config", "check", f.file); strings.Contains(text, "warning") {
		t.Errorf("warned without a platform: %s", text)
	}
}

func TestExitCodes(t *testing.T) {
	f := newFixture(t)
	f.run(ExitUsage, "config", "publish")
	f.run(ExitUsage, "config", "frobnicate")
	f.run(ExitUsage, "status", "--colour")
	f.run(ExitUsage, "config", "list", "-o", "xml")
	f.run(ExitUsage, "config", "get", "grup", "g")
	f.write(strings.Replace(records, "load_permits", "load_permit", 1))
	f.contains(f.run(ExitUsage, "config", "check", f.file), `records.json:3: body.load_permit: unknown field; want "load_permits"?`)
	f.write("[]")
	f.contains(f.run(ExitUsage, "config", "check", f.file), "the list is empty")
	f.contains(f.run(ExitUsage, "config", "publish", f.file), "the list is empty")
	f.run(ExitRefused, "config", "get", "group", "g")
	f.write(`{"schema": 1, "kind": "group", "key": "g", "base": 7, "body": {}}`)
	f.contains(f.run(ExitRefused, "config", "publish", f.file), "stale_base")
	f.run(ExitUnreachable, "config", "list", "--platform", "http://127.0.0.1:1")
}

// An append takes effect and its reply is lost. publish must still report the
// outcome: an operator who publishes again could undo another operator's change.
func TestLostAnswer(t *testing.T) {
	f := newFixture(t)
	kit.Control(t, f.url, `{"lose_next_answers":1}`)
	f.contains(f.run(ExitOK, "config", "publish", f.file), "in_force")
	log := platform.NewLog(f.url)
	defer log.Close()
	h, err := follow.ReadLog(t.Context(), log)
	if err != nil || len(h.Records) != 3 {
		t.Errorf("%d records on the log, want 3: %v", len(h.Records), err)
	}
}

// Another operator's record reaches the log between publish's read and its append.
// The operator whose record lost must learn that it isn't in force.
func TestRace(t *testing.T) {
	f := newFixture(t)
	f.run(ExitOK, "config", "publish", f.file)
	var once sync.Once
	f.beforeAppend = func() {
		once.Do(func() {
			body := strings.NewReader(`{"records":["` + rival + `"]}`)
			r := httptest.NewRequest(http.MethodPost, "/v1/streams/config/records", body)
			f.handler.ServeHTTP(httptest.NewRecorder(), r)
		})
	}
	f.write(`{"schema": 1, "kind": "group", "key": "g", "body": {"load_permits": 5}}`)
	f.contains(f.run(ExitRefused, "config", "publish", f.file), "the current revision is at offset 4")
}

// rival is the competing record
// {"schema":1,"kind":"group","key":"g","base":1,"body":{}} in base64.
const rival = "eyJzY2hlbWEiOjEsImtpbmQiOiJncm91cCIsImtleSI6ImciLCJiYXNlIjoxLCJib2R5Ijp7fX0="

var fleetKey = strings.Repeat("ab", 32)

// daemon is a fake daemon that answers skylarkctl's requests.
type daemon struct {
	drained bool
	state   []byte        // encoded configuration
	role    protocol.Role // endpoint if empty
}

func (d *daemon) Handle(s *wire.Session, ref uint32, m protocol.Message) {
	var answer protocol.Message
	switch m := m.(type) {
	case *protocol.StatusRequest:
		answer = &protocol.Status{Identity: d.identity(), Leaving: d.drained, ConfigOffset: 7, ConfigSource: "peer"}
	case *protocol.ExplainRequest:
		e := &protocol.Explanation{}
		if m.Request == "r1" {
			e.Records = []protocol.DecisionRecord{{Request: "r1", Kind: "route", Reason: "cached", Candidates: []protocol.Candidate{{Endpoint: "ep-2", Excluded: "leaving"}}}}
		}
		answer = e
	case *protocol.ConfigFetch:
		answer = &protocol.ConfigState{Offset: 3, State: d.state, Parts: 1}
	case *protocol.Drain:
		d.drained = true
		answer = &protocol.Drained{Endpoint: m.Endpoint}
	}
	_ = s.Reply(ref, answer)
}

func (d *daemon) Closed(*wire.Session, error) {}

func (d *daemon) identity() protocol.Identity {
	return protocol.Identity{ID: "ep-1", Role: cmp.Or(d.role, protocol.RoleEndpoint), FailureDomain: "hobart-a", Group: "g"}
}

// serve starts the daemon and returns the flag with its address.
func (d *daemon) serve(t *testing.T, key []byte) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = wire.Accept(w, r, wire.Options{Key: key, Self: d.identity, Handler: d})
	}))
	t.Cleanup(server.Close)
	return "--address=" + strings.TrimPrefix(server.URL, "http://")
}

// While the log is down, export must still produce a bootstrap file for new
// instances: it reads the state from processes instead of the log.
func TestExportFromAProcessInAnOutage(t *testing.T) {
	f := newFixture(t)
	t.Setenv("SKYLARK_FLEET_KEY", fleetKey)
	key := kit.Must(hex.DecodeString(fleetKey))(t)
	f.run(ExitOK, "config", "publish", f.file)
	fromLog := filepath.Join(t.TempDir(), "whole")
	f.run(ExitOK, "config", "export", "-o", fromLog)
	state := kit.Must(os.ReadFile(fromLog))(t)
	configured, empty := &daemon{state: state}, &daemon{}
	f.url = "http://127.0.0.1:1"
	exported := filepath.Join(t.TempDir(), "exported")
	f.run(ExitUnreachable, "config", "export", "-o", exported)
	f.run(ExitUnreachable, "config", "export", "--address=127.0.0.1:1", "-o", exported)
	f.run(ExitRefused, "config", "export", empty.serve(t, key), "-o", exported)
	f.run(ExitOK, "config", "export", "--address=127.0.0.1:1", empty.serve(t, key), configured.serve(t, key), "-o", exported)
	got, err := os.ReadFile(exported)
	if err != nil || !bytes.Equal(got, state) {
		t.Errorf("exported %d bytes, want the log's %d: %v", len(got), len(state), err)
	}
}

func TestFleetCommands(t *testing.T) {
	f := newFixture(t)
	t.Setenv("SKYLARK_FLEET_KEY", fleetKey)
	d := &daemon{}
	key := kit.Must(hex.DecodeString(fleetKey))(t)
	at := d.serve(t, key)
	f.contains(f.run(ExitOK, "status", at), "hobart-a")
	f.contains(f.run(ExitOK, "explain", at, "r1"), "leaving")
	f.run(ExitRefused, "explain", at, "r2")
	f.contains(f.run(ExitOK, "drain", "--wait", at, "ep-1"), "takes no new work")
	f.contains(f.run(ExitOK, "status", "-o", "json", at), `"leaving": true`)
	f.run(ExitRefused, "drain", at, "ep-9")
	f.run(ExitUnreachable, "status", "--address=127.0.0.1:1")
	f.run(ExitUnreachable, "status", "--fleet-key="+strings.Repeat("cd", 32), at)
	f.run(ExitUsage, "status", "--fleet-key=xyz", at)
	f.contains(f.run(ExitUnreachable, "status", "--fleet-key="+strings.Repeat("cd", 32), at), "refused the tool's key; is this the fleet's key?")
	f.contains(f.run(ExitUsage, "status", "--platform=localhost:7000"), "is not a URL")
	d.role = protocol.RoleEntry
	f.contains(f.run(ExitRefused, "drain", at, "ep-1"), "ep-1 is an entry; send SIGTERM to its process to drain it")
}

func TestStatusOfASilentInstance(t *testing.T) {
	up := instanceStatus{ID: "ep-1", Status: &protocol.Status{Identity: protocol.Identity{ID: "ep-1", Role: protocol.RoleEndpoint}}}
	unready := instanceStatus{ID: "ep-3", Status: &protocol.Status{Identity: protocol.Identity{ID: "ep-3"}, NotReady: wire.KeyRefused}}
	down := instanceStatus{ID: "ep-2", Error: "unreachable: a long cause that must not widen the columns"}
	var table strings.Builder
	statusTable(&table, []instanceStatus{down, up, unready})
	lines := strings.Split(strings.TrimSpace(table.String()), "\n")
	if heads, cells := strings.Count(lines[0], "\t"), strings.Count(lines[1], "\t"); heads != cells {
		t.Errorf("the row of the instance that did not answer has %d cells, the header %d", cells+1, heads+1)
	}
	want := []string{"ep-2: no answer: " + down.Error, "ep-3: not ready: " + wire.KeyRefused}
	if got := lines[len(lines)-2:]; !slices.Equal(got, want) {
		t.Errorf("the last lines are %q, want %q", got, want)
	}
}
