package entry

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"skylarklead/internal/config"
	"skylarklead/internal/follow"
	"skylarklead/internal/platform"
	"skylarklead/internal/protocol"
	"skylarklead/internal/settings"
	"skylarklead/internal/telemetry"
	"skylarklead/internal/wire"
	"skylarklead/test/kit"
)

const (
	testKey = "k-foodbank"
)

var fleetKey = strings.Repeat("ab", 32)

// static is a configuration that doesn't change.
type static struct{ state *config.State }

func (s static) State() *config.State { return s.state }
func (s static) Ready() <-chan struct{} {
	ready := make(chan struct{})
	close(ready)
	return ready
}
func (static) Source() string                         { return "test" }
func (static) LogReachable() bool                     { return true }
func (static) Run(context.Context) error              { return nil }
func (static) PeerHasOffset(uint64, follow.FetchFunc) {}
func (static) Fetch(*protocol.ConfigFetch) (*protocol.ConfigState, error) {
	return &protocol.ConfigState{}, nil
}

func testState(t *testing.T) *config.State {
	t.Helper()
	digest := sha256.Sum256([]byte(testKey))
	records := []config.Record{
		{Kind: config.KindModel, Key: "ledger-llm", Body: json.RawMessage(`{"group":"llm","versions":["v1","v2"],"version":"v1","max_tokens":64}`)},
		{Kind: config.KindModel, Key: "other-llm", Body: json.RawMessage(`{"group":"llm","versions":["v1"],"version":"v1"}`)},
		{Kind: config.KindService, Key: "portal", Body: json.RawMessage(`{"group":"portal","repeatable":["/balance"],"key_required":["/payments"]}`)},
		{Kind: config.KindService, Key: "foreign", Body: json.RawMessage(`{"group":"portal"}`)},
		{Kind: config.KindOrganisation, Key: "foodbank", Body: json.RawMessage(fmt.Sprintf(
			`{"key_digests":[%q],"models":[{"name":"ledger-llm","versions":["v1"]}],"services":["portal"],"instructions":["Rules."]}`,
			hex.EncodeToString(digest[:])))},
	}
	state := config.NewState()
	for i, r := range records {
		r.Schema = config.MaxSchema
		data := kit.Must(r.Encode())(t)
		next, verdict := state.Apply(uint64(i+1), data)
		if next.Revision(r.Kind, r.Key) == 0 {
			t.Fatalf("record %s: %+v", r.Name(), verdict)
		}
		state = next
	}
	return state
}

// executor is an endpoint process with scripted answers.
type executor struct {
	id      string
	epoch   protocol.Epoch
	address string
	server  *http.Server
	script  script

	mu       sync.Mutex
	got      []protocol.Message
	sessions []*wire.Session
}

func (x *executor) Handle(s *wire.Session, ref uint32, m protocol.Message) {
	x.mu.Lock()
	x.got = append(x.got, m)
	x.sessions = append(x.sessions, s)
	x.mu.Unlock()
	go x.play(s, ref, m)
}

// script is what an executor does; each message is played on a goroutine of its
// own. An executor without ask decides for itself; any other message that its
// script lacks is taken and not answered.
type script struct {
	ask    func(x *executor, s *wire.Session, ref uint32, m *protocol.Ask)
	run    func(x *executor, s *wire.Session, m *protocol.Run)
	resume func(x *executor, s *wire.Session, m *protocol.Resume)
	other  func(x *executor, s *wire.Session, ref uint32, m protocol.Message)
}

func (x *executor) play(s *wire.Session, ref uint32, m protocol.Message) {
	switch m := m.(type) {
	case *protocol.Ask:
		if x.script.ask == nil {
			x.decide(s, ref, m)
			return
		}
		x.script.ask(x, s, ref, m)
		return
	case *protocol.Run:
		if x.script.run != nil {
			x.script.run(x, s, m)
		}
	case *protocol.Resume:
		if x.script.resume != nil {
			x.script.resume(x, s, m)
		}
	}
	if x.script.other != nil {
		x.script.other(x, s, ref, m)
	}
}

// runs scripts an executor that decides for itself and answers each Run by run.
func runs(run func(x *executor, s *wire.Session, m *protocol.Run)) script { return script{run: run} }

// answers is the script of an executor that answers all words at once.
var answers = runs(func(_ *executor, s *wire.Session, m *protocol.Run) {
	words(s, m.Attempt, m.FirstSeq, totalWords, totalWords)
})

// begins returns the run of an executor that answers the first words only.
func begins(n uint64) func(*executor, *wire.Session, *protocol.Run) {
	return func(_ *executor, s *wire.Session, m *protocol.Run) { words(s, m.Attempt, 0, n, totalWords) }
}

// goesOn is the resume of an executor that has the rest of the words.
func goesOn(_ *executor, s *wire.Session, m *protocol.Resume) {
	words(s, m.Attempt, m.Seq, totalWords, totalWords)
}

// newPair starts two executors. Both choose the first until it is excluded; it
// runs as given, and the second answers all words.
func newPair(t *testing.T, run func(x *executor, s *wire.Session, m *protocol.Run)) []*executor {
	t.Helper()
	var pair []*executor
	both := script{
		ask: func(_ *executor, s *wire.Session, ref uint32, m *protocol.Ask) {
			chosen := pair[0]
			if slices.Contains(m.Exclude, chosen.id) {
				chosen = pair[1]
			}
			chosen.decide(s, ref, m)
		},
		run: func(x *executor, s *wire.Session, m *protocol.Run) {
			if x == pair[0] {
				run(x, s, m)
				return
			}
			answers.run(x, s, m)
		},
	}
	pair = append(pair, newExecutor(t, "ep-a", both), newExecutor(t, "ep-b", both))
	return pair
}

func (x *executor) Closed(*wire.Session, error) {}

// cut ends every session that a message came over.
func (x *executor) cut() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.sessions {
		s.Close(wire.ErrClosed)
	}
}

// count counts the messages of one type.
func count[M protocol.Message](x *executor) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for _, m := range x.got {
		if _, ok := m.(M); ok {
			n++
		}
	}
	return n
}

// last returns the last message of one type.
func last[M protocol.Message](x *executor) (found M) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, m := range x.got {
		if m, ok := m.(M); ok {
			found = m
		}
	}
	return found
}

// restart ends the process and starts it again at once under the next epoch.
func (x *executor) restart(t *testing.T) {
	x.server.Close()
	x.cut()
	x.epoch++
	x.listen(t)
}

func (x *executor) listen(t *testing.T) {
	address := x.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Error(err)
		return
	}
	key, _ := hex.DecodeString(fleetKey)
	if x.address == "" {
		x.address = listener.Addr().String()
	}
	self := protocol.Identity{ID: x.id, Role: protocol.RoleEndpoint, Epoch: x.epoch, Address: x.address}
	options := wire.Options{Key: key, Self: func() protocol.Identity { return self }, Handler: x}
	x.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = wire.Accept(w, r, options)
	})}
	go x.server.Serve(listener)
	t.Cleanup(func() { x.server.Close() })
}

// newExecutor starts an executor of the group "llm" or "portal".
func newExecutor(t *testing.T, id string, script script) *executor {
	t.Helper()
	x := &executor{id: id, epoch: 7, script: script}
	x.listen(t)
	return x
}

// decide answers an Ask with x itself.
func (x *executor) decide(s *wire.Session, ref uint32, m *protocol.Ask) {
	_ = s.Reply(ref, &protocol.Decision{
		Request: m.Request, Owner: x.id, Reason: "test",
		Executor: protocol.Target{Endpoint: x.id, Address: x.address, Epoch: x.epoch},
	})
}

// words answers a Run or Resume with the numbered words from first on.
func words(s *wire.Session, id protocol.AttemptID, first, until, total uint64) {
	_ = s.Send(&protocol.Start{Attempt: id, Status: http.StatusOK})
	for seq := first; seq < until; seq++ {
		_ = s.Send(&protocol.Chunk{Attempt: id, Seq: seq, Data: fmt.Appendf(nil, "w%d ", seq)})
	}
	if until == total {
		_ = s.Send(&protocol.End{Attempt: id, Seq: total, Outcome: protocol.Done, CompletionTokens: int(total)})
	}
}

// flood sends large chunks from one number to before another.
func flood(s *wire.Session, id protocol.AttemptID, from, to uint64, bytes int) {
	for seq := from; seq < to; seq++ {
		_ = s.Send(&protocol.Chunk{Attempt: id, Seq: seq, Data: []byte(strings.Repeat("x", bytes))})
	}
}

func wantWords(total int) string {
	var b strings.Builder
	for i := range total {
		fmt.Fprintf(&b, "w%d ", i)
	}
	return b.String()
}

// caller sends requests to an entry's callers' server.
type caller struct {
	*testing.T
	*httptest.Server
}

// newTestEntry returns an entry before executors, and a caller of it.
func newTestEntry(t *testing.T, group string, executors ...*executor) (*Entry, *caller) {
	t.Helper()
	s := &settings.Settings{
		ID: "entry-1", Role: "entry", FailureDomain: "hobart-a", FleetKey: fleetKey,
		Entry: &settings.Entry{
			MaxBody: 64 << 10, HedgeAfter: settings.Duration(50 * time.Millisecond),
			ResumeGrace:    settings.Duration(200 * time.Millisecond),
			RequestTimeout: settings.Duration(kit.Timeout), RetryShare: 0.2,
		},
	}
	tel := kit.Must(telemetry.New(s, io.Discard))(t)
	e := kit.Must(newEntry(s, tel))(t)
	e.config = static{testState(t)}
	list := make([]platform.Instance, len(executors))
	for i, x := range executors {
		list[i] = platform.Instance{ID: x.id, Role: platform.RoleEndpoint, Address: x.address, Group: group, State: platform.StateLive}
	}
	e.directory.listed(list)
	server := httptest.NewServer(e.callers())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		e.pool.Close()
	})
	return e, &caller{t, server}
}

// Paths of the callers' interface.
const (
	chatPath     = "/v1/chat/completions"
	paymentsPath = "/v1/services/portal/payments/7"
)

// chat sends a chat completion.
func (c *caller) chat(body string, headers ...string) *http.Response {
	c.Helper()
	return c.post(context.Background(), chatPath, body, headers...)
}

// post sends a request; headers are names and values in turn.
func (c *caller) post(ctx context.Context, path, body string, headers ...string) *http.Response {
	c.Helper()
	return c.send(ctx, http.MethodPost, path, body, headers...)
}

func (c *caller) send(ctx context.Context, method, path, body string, headers ...string) *http.Response {
	c.Helper()
	r := kit.Must(http.NewRequestWithContext(ctx, method, c.URL+path, strings.NewReader(body)))(c)
	r.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp := kit.Must(http.DefaultClient.Do(r))(c)
	c.Cleanup(func() { resp.Body.Close() })
	return resp
}

// open begins a stream, which the caller hangs up on by calling hangUp.
func (c *caller) open() (lines *bufio.Scanner, hangUp func()) {
	c.Helper()
	ctx, hangUp := context.WithCancel(context.Background())
	c.Cleanup(hangUp)
	return bufio.NewScanner(c.post(ctx, chatPath, streamBody).Body), hangUp
}

// resume comes back to a stream.
func (c *caller) resume(lastID string) *http.Response {
	c.Helper()
	return c.send(context.Background(), http.MethodGet, "/v1/streams", "", "Last-Event-ID", lastID)
}

// stream reads the whole answer to a chat completion that is to be streamed.
func (c *caller) stream(body string) sse {
	c.Helper()
	return readSSE(c.T, c.chat(body))
}

// wantWhole fails unless the parts of a stream are all words up to its end.
func wantWhole(t *testing.T, parts ...sse) {
	t.Helper()
	text := ""
	for _, part := range parts {
		text += part.text
	}
	if end := parts[len(parts)-1]; !end.done || text != wantWords(totalWords) {
		t.Errorf("got %q in %d parts, done %v, failure %+v", text, len(parts), end.done, end.failure)
	}
}

// upload opens a connection and sends the head of a request with 1000 bytes of
// body, of which it sends some.
func (c *caller) upload(body string) *net.TCPConn {
	c.Helper()
	conn := kit.Must(net.Dial("tcp", c.Listener.Addr().String()))(c)
	c.Cleanup(func() { conn.Close() })
	conn.SetReadDeadline(time.Now().Add(kit.Timeout))
	kit.Must(fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer %s\r\nContent-Length: 1000\r\n\r\n%s", chatPath, testKey, body))(c)
	return conn.(*net.TCPConn)
}

const (
	streamBody = `{"model":"ledger-llm","stream":true,"messages":[{"role":"user","content":"hi"}]}`
	wholeBody  = `{"model":"ledger-llm","messages":[{"role":"user","content":"hi"}]}`
)

// sse is what a caller got of a stream.
type sse struct {
	text, lastID string
	done         bool
	failure      *errorFields
}

// readSSE reads all events of a stream.
func readSSE(t *testing.T, resp *http.Response) sse {
	t.Helper()
	return readEvents(t, bufio.NewScanner(resp.Body), 0)
}

// readEvents reads at most limit events, all of them if limit is 0.
func readEvents(t *testing.T, lines *bufio.Scanner, limit int) (got sse) {
	t.Helper()
	failing := false
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			got.lastID = line[4:]
		case line == "event: error":
			failing = true
		case line == "data: [DONE]":
			got.done = true
		case strings.HasPrefix(line, "data: ") && failing:
			var e errorBody
			kit.OK(t, json.Unmarshal([]byte(line[6:]), &e))
			got.failure = &e.Error
		case strings.HasPrefix(line, "data: "):
			var c chunkJSON
			kit.OK(t, json.Unmarshal([]byte(line[6:]), &c))
			for _, choice := range c.Choices {
				got.text += choice.Delta.Content
			}
			if limit--; limit == 0 {
				return got
			}
		}
	}
	return got
}

// readError reads the error shape of an answer that is refused as a whole.
func readError(t *testing.T, resp *http.Response) errorFields {
	t.Helper()
	var e errorBody
	kit.OK(t, json.NewDecoder(resp.Body).Decode(&e))
	return e.Error
}
