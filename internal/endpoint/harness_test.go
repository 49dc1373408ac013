package endpoint

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"skylarklead/internal/engine"
	"skylarklead/internal/follow"
	"skylarklead/internal/platform"
	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
	"skylarklead/internal/settings"
	standin "skylarklead/internal/standin/platform"
	"skylarklead/internal/telemetry"
	"skylarklead/internal/wire"
	"skylarklead/test/kit"
)

var fleetKey = make([]byte, 32)

// fakeEngine streams words[0], words[1], … and waits for step before each, if set.
type fakeEngine struct {
	*httptest.Server
	t     *testing.T
	words []string
	step  chan struct{}

	mu          sync.Mutex
	incarnation string
	version     string
	runs        map[string]int
	canceled    map[string]bool
	cutStreams  map[string]bool // streams whose connection is cut after one word
	cutPart     string          // what is sent of the next event before that
	bodies      []engine.Completion
	// retryAfter is the Retry-After with which it refuses requests, "" to accept them.
	retryAfter string
	refused    int
}

func newFakeEngine(t *testing.T, words ...string) *fakeEngine {
	f := &fakeEngine{
		t:           t,
		words:       words,
		incarnation: "i1",
		version:     "v1",
		runs:        map[string]int{},
		canceled:    map[string]bool{},
		cutStreams:  map[string]bool{},
	}
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", f.complete)
	m.HandleFunc("GET /v1/streams/{id}", f.resume)
	m.HandleFunc("DELETE /v1/streams/{id}", f.cancel)
	m.HandleFunc("GET /v1/load", f.load)
	f.Server = httptest.NewServer(m)
	t.Cleanup(f.Close)
	return f
}

func (f *fakeEngine) complete(w http.ResponseWriter, r *http.Request) {
	var body engine.Completion
	json.NewDecoder(r.Body).Decode(&body)
	id := r.Header.Get(engine.HeaderRequestID)
	f.mu.Lock()
	if f.retryAfter != "" {
		f.refused++
		w.Header().Set("Retry-After", f.retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
		f.mu.Unlock()
		return
	}
	f.runs[id]++
	f.bodies = append(f.bodies, body)
	f.mu.Unlock()
	f.stream(w, r, id, 0)
}

func (f *fakeEngine) resume(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.FormValue("from"))
	id := r.PathValue("id")
	f.mu.Lock()
	_, known := f.runs[id]
	f.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	f.stream(w, r, id, from)
}

func (f *fakeEngine) cancel(_ http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.canceled[r.PathValue("id")] = true
}

func (f *fakeEngine) load(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	json.NewEncoder(w).Encode(engine.Load{Incarnation: f.incarnation, Model: "m", Version: f.version, Weights: f.version})
}

func (f *fakeEngine) stream(w http.ResponseWriter, r *http.Request, id string, from int) {
	f.mu.Lock()
	w.Header().Set(engine.HeaderIncarnation, f.incarnation)
	f.mu.Unlock()
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	for i := from; i < len(f.words); i++ {
		if f.step != nil {
			select {
			case <-f.step:
			case <-r.Context().Done():
				return
			}
		}
		fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", i, f.words[i])
		w.(http.Flusher).Flush()
		if f.shouldCut(id) {
			io.WriteString(w, f.cutPart)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],"+
		"\"usage\":{\"prompt_tokens\":32,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":16}}}\n\n",
		len(f.words), len(f.words))
	io.WriteString(w, "data: [DONE]\n\n")
}

func (f *fakeEngine) shouldCut(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	cut := f.cutStreams[id]
	delete(f.cutStreams, id)
	return cut
}

func (f *fakeEngine) ran(id protocol.AttemptID) (runs int) {
	f.withLock(func() { runs = f.runs[id.String()] })
	return runs
}

// withLock changes or reads the engine's state under its lock.
func (f *fakeEngine) withLock(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

// wantRuns fails unless the attempt ran that many times.
func (f *fakeEngine) wantRuns(attempt byte, want int) {
	f.t.Helper()
	if got := f.ran(attemptID(attempt)); got != want {
		f.t.Fatalf("attempt %d ran %d times, want %d", attempt, got, want)
	}
}

// process is an endpoint process under test.
type process struct {
	t       *testing.T
	address string
	log     *testLog
	tel     *telemetry.Telemetry
	stop    context.CancelFunc
	ended   chan error
}

func processSettings(t *testing.T, backend string) *settings.Settings {
	t.Helper()
	return &settings.Settings{
		ID: "ep-1", Role: "endpoint", FailureDomain: "d1", Listen: freeAddress(t),
		FleetKey: hex.EncodeToString(fleetKey), LogLevel: "warn",
		Platform: settings.Platform{Log: "http://127.0.0.1:1", Instances: "http://127.0.0.1:1", Retention: settings.DefaultRetention},
		Endpoint: &settings.Endpoint{
			Group: "g", Kind: settings.DefaultKind, Backend: backend,
			MaxRunning: 4, MaxQueue: 8, SmallReserve: 0.25,
			PrefillTokensPerSecond: settings.DefaultPrefillTokensPerSecond, DecodeTokenTime: settings.DefaultDecodeTokenTime,
			CacheTokens: settings.DefaultCacheTokens, Heartbeat: settings.DefaultHeartbeat,
			SuspectAfter: settings.DefaultSuspectAfter,
		},
	}
}

// startPlatform runs a stand-in platform that lists n endpoints of the group, at
// free addresses, and returns the settings for it.
func startPlatform(t *testing.T, n int) (settings.Platform, []platform.Instance) {
	t.Helper()
	var list []platform.Instance
	for i := range n {
		list = append(list, platform.Instance{
			ID: fmt.Sprintf("ep-%d", i+1), Role: platform.RoleEndpoint, Address: freeAddress(t),
			FailureDomain: "d1", Group: "g", State: platform.StateLive,
		})
	}
	return platformOf(t, list), list
}

func platformOf(t *testing.T, list []platform.Instance) settings.Platform {
	t.Helper()
	server := httptest.NewServer(standin.New(standin.Options{Control: standin.DefaultControl(), Instances: list}))
	t.Cleanup(server.Close)
	return settings.Platform{Log: server.URL, Instances: server.URL, Retention: settings.DefaultRetention}
}

func startProcess(t *testing.T, backend string, change func(*settings.Settings)) *process {
	t.Helper()
	s := processSettings(t, backend)
	if change != nil {
		change(s)
	}
	s.Advertise = s.Listen
	log := &testLog{}
	tel := kit.Must(telemetry.New(s, log))(t)
	ctx, stop := context.WithCancel(context.Background())
	p := &process{t: t, address: s.Listen, log: log, tel: tel, stop: stop, ended: make(chan error, 1)}
	go func() { p.ended <- Run(ctx, s, tel) }()
	t.Cleanup(stop)
	kit.Until(t, "the listener", func() bool {
		resp, err := http.Get("http://" + s.Listen + "/healthz")
		if err == nil {
			resp.Body.Close()
		}
		return err == nil
	})
	return p
}

// notReady returns the reason that /readyz gives, "" if the process is ready.
func (p *process) notReady() string {
	p.t.Helper()
	resp := kit.Must(http.Get("http://" + p.address + "/readyz"))(p.t)
	defer resp.Body.Close()
	reason, err := io.ReadAll(resp.Body)
	if err != nil || (resp.StatusCode == http.StatusOK) != (len(reason) == 0) {
		p.t.Fatalf("%d %q, %v", resp.StatusCode, reason, err)
	}
	return strings.TrimSpace(string(reason))
}

// startWithEngine starts a process beside a fake engine with these words, and a session.
func startWithEngine(t *testing.T, words ...string) (*fakeEngine, *process, *entry) {
	t.Helper()
	f := newFakeEngine(t, words...)
	p := startProcess(t, f.URL, nil)
	return f, p, p.dial("entry-1")
}

// startWithRun is startWithEngine with attempt 1 begun. The engine waits for a step
// before each word.
func startWithRun(t *testing.T, words ...string) (*fakeEngine, *process, *entry) {
	t.Helper()
	return startWithRunAndSettings(t, nil, words...)
}

func startWithRunAndSettings(t *testing.T, change func(*settings.Settings), words ...string) (*fakeEngine, *process, *entry) {
	t.Helper()
	f := newFakeEngine(t, words...)
	f.step = make(chan struct{}, 8)
	p := startProcess(t, f.URL, change)
	n := p.dial("entry-1")
	n.send(chat(1))
	n.skip(1)
	return f, p, n
}

// newTestEndpoint returns an endpoint that isn't running, an hour old, and its log.
func newTestEndpoint(t *testing.T) (*Endpoint, *testLog) {
	t.Helper()
	s := processSettings(t, "http://127.0.0.1:1")
	s.Advertise = s.Listen
	log := &testLog{}
	tel := kit.Must(telemetry.New(s, log))(t)
	e := newEndpoint(s, tel)
	e.started = time.Now().Add(-time.Hour)
	return e, log
}

// testLog keeps what a process logs.
type testLog struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (l *testLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(line)
}

// take returns what was logged since the last call.
func (l *testLog) take() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := l.lines.String()
	l.lines.Reset()
	return lines
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l := kit.Must(net.Listen("tcp", "127.0.0.1:0"))(t)
	defer l.Close()
	return l.Addr().String()
}

// entry is the other end of a session.
type entry struct {
	t        *testing.T
	session  *wire.Session
	messages chan protocol.Message
	config   *follow.Follower // answers ConfigFetch, if set
}

func (p *process) dial(id string) *entry {
	p.t.Helper()
	n := &entry{t: p.t, messages: make(chan protocol.Message, 1024)}
	self := func() protocol.Identity { return protocol.Identity{ID: id, Role: protocol.RoleEntry} }
	s := kit.Must(wire.Dial(context.Background(), p.address, wire.Options{Key: fleetKey, Self: self, Handler: n}))(p.t)
	n.session = s
	p.t.Cleanup(func() { s.Close(wire.ErrClosed) })
	return n
}

func (n *entry) Handle(s *wire.Session, ref uint32, m protocol.Message) {
	fetch, ok := m.(*protocol.ConfigFetch)
	if !ok {
		n.messages <- m
		return
	}
	if n.config == nil {
		return
	}
	if state, err := n.config.Fetch(fetch); err == nil {
		go s.Reply(ref, state)
	}
}

func (n *entry) Closed(*wire.Session, error) { close(n.messages) }

func (n *entry) send(m protocol.Message) {
	n.t.Helper()
	kit.OK(n.t, n.session.Send(m))
}

func (n *entry) call(m protocol.Message) protocol.Message {
	n.t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), kit.Timeout)
	defer stop()
	reply := kit.Must(n.session.Call(ctx, m))(n.t)
	return reply
}

// next returns the next message that isn't a ConfigFetch.
func (n *entry) next() protocol.Message {
	n.t.Helper()
	select {
	case m, ok := <-n.messages:
		if !ok {
			n.t.Fatal("the session ended")
		}
		return m
	case <-time.After(kit.Timeout):
		n.t.Fatal("no message came")
	}
	return nil
}

// answer reads one attempt's chunks up to its End, from seq on.
func (n *entry) answer(seq uint64) (string, *protocol.End) {
	n.t.Helper()
	text := ""
	for {
		switch m := n.next().(type) {
		case *protocol.Start:
		case *protocol.Chunk:
			if m.Seq != seq {
				n.t.Fatalf("got chunk %d, want %d", m.Seq, seq)
			}
			seq++
			text += string(m.Data)
		case *protocol.End:
			if m.Seq != seq {
				n.t.Fatalf("got the end at %d, want it at %d", m.Seq, seq)
			}
			return text, m
		default:
			n.t.Fatalf("unexpected %T", m)
		}
	}
}

// want reads an answer from seq on, and fails unless it has this text and outcome.
func (n *entry) want(seq uint64, text string, outcome protocol.Outcome) *protocol.End {
	n.t.Helper()
	got, end := n.answer(seq)
	if got != text || end.Outcome != outcome {
		n.t.Fatalf("got %q, %+v, want %q, %s", got, end, text, outcome)
	}
	return end
}

// refused reads the end of a Run that must not have run, and checks its code if given.
func (n *entry) refused(code ...protocol.Code) *protocol.End {
	n.t.Helper()
	end := n.want(0, "", protocol.NotRun)
	if len(code) > 0 && end.Code != code[0] {
		n.t.Fatalf("got %+v, want %s", end, code[0])
	}
	return end
}

// skip reads that many messages, the Start included.
func (n *entry) skip(messages int) {
	n.t.Helper()
	for range messages {
		n.next()
	}
}

// decision asks an owner for a placement.
func (n *entry) decision(m *protocol.Ask) *protocol.Decision {
	n.t.Helper()
	return n.call(m).(*protocol.Decision)
}

func (n *entry) status() *protocol.Status {
	n.t.Helper()
	return n.call(&protocol.StatusRequest{}).(*protocol.Status)
}

// end reads up to the next End, of any attempt.
func (n *entry) end() *protocol.End {
	n.t.Helper()
	for {
		if end, ok := n.next().(*protocol.End); ok {
			return end
		}
	}
}

func attemptID(n byte) protocol.AttemptID { return protocol.AttemptID{15: n} }

func chat(n byte) *protocol.Run {
	return &protocol.Run{
		Attempt: attemptID(n), Request: fmt.Sprintf("r%d", n), Organisation: "org", Group: "g",
		Model: "m", Version: "v1", Messages: []prefix.Message{{Role: "user", Content: "question"}},
		MaxTokens: 16, Window: 100, Fingerprint: uint64(n),
	}
}
