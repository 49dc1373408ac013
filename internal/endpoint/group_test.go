package endpoint

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"skylarklead/internal/follow"
	"skylarklead/internal/platform"
	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
	"skylarklead/internal/route"
	"skylarklead/internal/settings"
	"skylarklead/internal/wire"
	"skylarklead/test/kit"
)

// longInterval is a heartbeat period that no test waits for: after the first
// heartbeats, peers only receive those that are sent at once.
const longInterval = time.Minute

// startEndpoints starts one endpoint process for each engine, with a live instance
// list, and returns the platform's address; change may be nil.
func startEndpoints(t *testing.T, change func(i int, s *settings.Settings), engines ...string) (group []*process, url string) {
	t.Helper()
	services, list := startPlatform(t, len(engines))
	for i, backend := range engines {
		group = append(group, startMember(t, backend, services, list[i], func(s *settings.Settings) {
			if change != nil {
				change(i, s)
			}
		}))
	}
	return group, services.Log
}

// startMember starts a listed endpoint process with a long heartbeat period.
func startMember(t *testing.T, backend string, services settings.Platform, self platform.Instance, change func(*settings.Settings)) *process {
	t.Helper()
	return startProcess(t, backend, func(s *settings.Settings) {
		s.ID, s.Listen, s.Platform = self.ID, self.Address, services
		s.Endpoint.Heartbeat = settings.Duration(longInterval)
		s.Endpoint.SuspectAfter = settings.Duration(3 * longInterval)
		change(s)
	})
}

// startGroup starts endpoint processes and waits until all know each other.
func startGroup(t *testing.T, engines ...*fakeEngine) []*process {
	t.Helper()
	var backends []string
	for _, f := range engines {
		backends = append(backends, f.URL)
	}
	group, url := startEndpoints(t, nil, backends...)
	publish(t, url, organisationRecord,
		`{"schema":2,"kind":"model","key":"m","base":0,"body":{"group":"g","versions":["v1","v2"],"version":"v2"}}`)
	for _, p := range group {
		n := p.dial("watcher")
		kit.Until(t, "the group", func() bool {
			d := n.decision(ask(1))
			usable := 0
			for _, c := range d.Candidates {
				if c.Excluded == "" {
					usable++
				}
			}
			return usable == len(engines)
		})
	}
	return group
}

func ask(n byte) *protocol.Ask {
	return &protocol.Ask{
		Request: fmt.Sprintf("r%d", n), Organisation: "org", Group: "g", Model: "m", Version: "v1",
		Levels: []prefix.Level{{Hash: prefix.Hash(n), Tokens: 160}}, PromptTokens: 200, MaxTokens: 16,
		Fingerprint: uint64(n), Explain: true,
	}
}

// Guards against new work for an endpoint half a minute after it began to drain: the
// instance list still has it as live, and entries ask another owner.
func TestLeavingEndpointIsNotChosen(t *testing.T) {
	group := startGroup(t, newFakeEngine(t, "a"), newFakeEngine(t, "a"))
	leaving, owner := group[1].dial("entry-1"), group[0].dial("entry-1")
	leaving.call(&protocol.Drain{Endpoint: "ep-2"})
	kit.Until(t, "the owner to know", func() bool {
		d := owner.decision(ask(1))
		return len(d.Unavailable) == 1 && d.Unavailable[0] == "ep-2"
	})
	for n := range byte(20) {
		// A leaving endpoint still answers as an owner.
		for _, asked := range []*entry{leaving, owner} {
			if d := asked.decision(ask(n)); d.Executor.Endpoint != "ep-1" || d.Refusal != nil {
				t.Fatalf("got %+v, refusal %+v", d, d.Refusal)
			}
		}
	}
	leaving.send(chat(1))
	if _, end := leaving.answer(0); end.Outcome != protocol.NotRun || end.Redirect == nil || end.Redirect.Endpoint != "ep-1" {
		t.Fatalf("got %+v", end)
	}
}

func TestEndpointOfADeadEngineIsNotChosen(t *testing.T) {
	dead := newFakeEngine(t, "a")
	group := startGroup(t, newFakeEngine(t, "a"), dead)
	owner := group[0].dial("entry-1")
	dead.Close()
	kit.Until(t, "the owner to know", func() bool {
		for _, c := range owner.decision(ask(1)).Candidates {
			if c.Endpoint == "ep-2" && c.Excluded != "" {
				return true
			}
		}
		return false
	})
	for n := range byte(20) {
		if d := owner.decision(ask(n)); d.Executor.Endpoint != "ep-1" {
			t.Fatalf("got %+v", d)
		}
	}
}

// Guards against a repeated request that crashes one engine after another because each
// crash is known only to the process beside that engine. It crashes one engine twice;
// another owner places it beside other requests; it crashes a second engine; it is
// asked for once more.
func TestStrikesReachTheGroup(t *testing.T) {
	engines := []*fakeEngine{newFakeEngine(t, "a", "b"), newFakeEngine(t, "a", "b"), newFakeEngine(t, "a", "b")}
	group := startGroup(t, engines...)
	crashed := []int{0, 0, 1}
	for i, at := range crashed {
		run := chat(byte(i + 1))
		run.Fingerprint = 7
		f := engines[at]
		f.step = make(chan struct{})
		f.withLock(func() { f.cutStreams[run.Attempt.String()] = true })
		n := group[at].dial("entry-1")
		n.send(run)
		n.next() // Start
		f.withLock(func() { f.incarnation = fmt.Sprint("restart-", i) })
		close(f.step)
		if _, end := n.answer(0); !end.EngineCrashed {
			t.Fatalf("got %+v", end)
		}
		again := ask(9)
		again.Fingerprint = 7
		for _, p := range group {
			owner := p.dial("entry-1")
			kit.Until(t, "an owner's verdict", func() bool {
				d := owner.decision(again)
				switch i {
				case 0:
					return !d.Suspect && d.Refusal == nil
				case 1:
					return d.Suspect && d.Refusal == nil
				}
				return d.Refusal != nil && d.Refusal.Code == protocol.CodeGivenUp && d.Refusal.RetryAfterMs > 0
			})
		}
	}
}

func TestExplainTellsTheDecisions(t *testing.T) {
	group := startGroup(t, newFakeEngine(t, "a"), newFakeEngine(t, "a"))
	n := group[0].dial("entry-1")
	n.call(ask(5))
	records := n.call(&protocol.ExplainRequest{Request: "r5"}).(*protocol.Explanation).Records
	if len(records) != 1 || records[0].Owner != "ep-1" || len(records[0].Candidates) != 2 {
		t.Fatalf("got %+v", records)
	}
}

// Guards against candidates in each Decision whether or not the entry logs them. For the
// owner of a busy organisation they made up two thirds of its control traffic.
func TestCandidatesAreSentWhenAskedFor(t *testing.T) {
	group := startGroup(t, newFakeEngine(t, "a"), newFakeEngine(t, "a"))
	n := group[0].dial("entry-1")
	question := ask(6)
	question.Explain = false
	if d := n.decision(question); d.Executor.Endpoint == "" || len(d.Candidates) != 0 {
		t.Errorf("got %+v, want an executor without candidates", d)
	}
	records := n.call(&protocol.ExplainRequest{Request: "r6"}).(*protocol.Explanation).Records
	if len(records) != 1 || len(records[0].Candidates) != 2 {
		t.Errorf("the owner remembers %+v, want 2 candidates", records)
	}
}

// Guards against refusals and waits of seconds whenever a new version is published. The
// record names v2 while most engines still have v1, and requests that name no version
// ask for v2; the few engines that have the new weights already must not get them all.
func TestOldVersionServesUntilHalfHaveTheNewOne(t *testing.T) {
	engines := []*fakeEngine{newFakeEngine(t, "a"), newFakeEngine(t, "a"), newFakeEngine(t, "a")}
	owner := startGroup(t, engines...)[0].dial("entry-1")
	anyVersion, pinned := ask(1), ask(1)
	anyVersion.Version, anyVersion.AnyVersion = "v2", true
	pinned.Version = "v2"
	loadNewVersion := func(f *fakeEngine) { f.withLock(func() { f.version = "v2" }) }
	loadNewVersion(engines[2])
	kit.Until(t, "the first new engine", func() bool {
		return owner.decision(pinned).Executor.Endpoint == "ep-3"
	})
	var d *protocol.Decision
	kit.Until(t, "a decision while all three are live", func() bool {
		d = owner.decision(anyVersion)
		return len(d.Unavailable) == 0
	})
	if d.Version != "v1" || d.Refusal == nil {
		t.Fatalf("got %+v", d)
	}
	loadNewVersion(engines[1])
	kit.Until(t, "the new version", func() bool {
		d := owner.decision(anyVersion)
		return d.Version == "" && d.Refusal == nil && d.Executor.Endpoint != "ep-1"
	})
}

// Guards against requests that all go to the few engines with the new version while their owner has just
// started and has no configuration yet.
func TestOwnerWithoutAConfigurationKeepsTheOldVersion(t *testing.T) {
	e, _ := newTestEndpoint(t)
	e.config = follow.New(follow.Options{Logger: slog.New(slog.DiscardHandler)})
	group := make([]route.Endpoint, 3)
	load := func(i int, version string) {
		group[i] = route.Endpoint{Alive: true, HasLoad: true, Load: protocol.Load{EngineUp: true, Model: "m", Version: version}}
	}
	for i, version := range []string{"v1", "v1", "v2"} {
		load(i, version)
	}
	anyVersion := ask(1)
	anyVersion.Version, anyVersion.AnyVersion = "v2", true
	if got := e.fallbackVersion(anyVersion, group); got != "v1" {
		t.Errorf("one of three has the new version: got %q, want v1", got)
	}
	load(1, "v2")
	if got := e.fallbackVersion(anyVersion, group); got != "" {
		t.Errorf("two of three have the new version: got %q, want the configured one", got)
	}
}

// Guards against an endpoint with a wrong fleet key that reports ready and serves
// nobody. It starts beside two others and reads its configuration from the log;
// readiness must depend on whether its peers accept it.
func TestWrongKeyIsNotReady(t *testing.T) {
	f := newFakeEngine(t, "a")
	const misconfigured = 1
	group, _ := startEndpoints(t, func(i int, s *settings.Settings) {
		if i == misconfigured {
			s.FleetKey = strings.Repeat("cd", 32)
		}
	}, f.URL, f.URL, f.URL)
	for i, p := range group {
		want := ""
		if i == misconfigured {
			want = wire.KeyRefused
		}
		kit.Until(t, fmt.Sprintf("process %d to say %q", i, want), func() bool { return p.notReady() == want })
	}
	if log := group[misconfigured].log.take(); !strings.Contains(log, `"setting":"fleet_key"`) {
		t.Errorf("the setting isn't named: %s", log)
	}
	n := group[0].dial("tool")
	kit.Until(t, "a status without a reason", func() bool { return n.status().NotReady == "" })
}
