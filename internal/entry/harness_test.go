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

// staticConfig is a configuration that doesn't change.
type staticConfig struct{ state *config.State }

func (s staticConfig) State() *config.State { return s.state }
func (s staticConfig) Ready() <-chan struct{} {
	ready := make(chan struct{})
	close(ready)
	return ready
}
func (staticConfig) Source() string                         { return "test" }
func (staticConfig) LogReachable() bool                     { return true }
func (staticConfig) Run(context.Context) error              { return nil }
func (staticConfig) PeerHasOffset(uint64, follow.FetchFunc) {}
func (staticConfig) Fetch(*protocol.ConfigFetch) (*protocol.ConfigState, error) {
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
	received []protocol.Message
	sessions []*wire.Session
}

func (x *executor) Handle(s *wire.Session, ref uint32, m protocol.Message) {
	x.mu.Lock()
	x.received = append(x.received, m)
	x.sessions = append(x.sessions, s)
	x.mu.Unlock()
	go x.respond(s, ref, m)
}

// script is what an executor does with messages. Each message is handled in a
// goroutine of its own. Without ask, the executor chooses itself. If set, other gets
// all messages but Ask. Messages without a function are recorded but not answered.
type script struct {
	ask    func(x *executor, s *wire.Session, ref uint32, m *protocol.Ask)
	run    func(x *executor, s *wire.Session, m *protocol.Run)
	resume func(x *executor, s *wire.Session, m *protocol.Resume)
	other  func(x *executor, s *wire.Session, ref uint32, m protocol.Message)
}

func (x *executor) respond(s *wire.Session, ref uint32, m protocol.Message) {
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

// onRun returns the script of an executor that chooses itself and handles each
// Run with run.
func onRun(run func(x *executor, s *wire.Session, m *protocol.Run)) script { return script{run: run} }

// answersAll is the script of an executor that sends all words at once.
var answersAll = onRun(func(_ *executor, s *wire.Session, m *protocol.Run) {
	sendWords(s, m.Attempt, m.FirstSeq, totalWords, totalWords)
})

// sendsFirst returns a run function that sends only the first n words.
func sendsFirst(n uint64) func(*executor, *wire.Session, *protocol.Run) {
	return func(_ *executor, s *wire.Session, m *protocol.Run) { sendWords(s, m.Attempt, 0, n, totalWords) }
}

// sendsRest is a resume function that sends the remaining words.
func sendsRest(_ *executor, s *wire.Session, m *protocol.Resume) {
	sendWords(s, m.Attempt, m.Seq, totalWords, totalWords)
}

// newPair starts two executors. As owners, both choose the first one until it is
// excluded. The first handles a Run with run; the second sends all words.
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
			answersAll.run(x, s, m)
		},
	}
	pair = append(pair, newExecutor(t, "ep-a", both), newExecutor(t, "ep-b", both))
	return pair
}

func (x *executor) Closed(*wire.Session, error) {}

// closeSessions closes every session that a message came from.
func (x *executor) closeSessions() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.sessions {
		s.Close(wire.ErrClosed)
	}
}

// countMessages counts the received messages of one type.
func countMessages[M protocol.Message](x *executor) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for _, m := range x.received {
		if _, ok := m.(M); ok {
			n++
		}
	}
	return n
}

// lastMessage returns the last received message of one type.
func lastMessage[M protocol.Message](x *executor) (found M) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, m := range x.received {
		if m, ok := m.(M); ok {
			found = m
		}
	}
	return found
}

// restart stops the process and starts it again at once with the next epoch.
func (x *executor) restart(t *testing.T) {
	x.server.Close()
	x.closeSessions()
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

// newExecutor starts an executor. Its group is set by newTestEntry.
func newExecutor(t *testing.T, id string, script script) *executor {
	t.Helper()
	x := &executor{id: id, epoch: 7, script: script}
	x.listen(t)
	return x
}

// decide answers an Ask with the decision that x is the executor.
func (x *executor) decide(s *wire.Session, ref uint32, m *protocol.Ask) {
	_ = s.Reply(ref, &protocol.Decision{
		Request: m.Request, Owner: x.id, Reason: "test",
		Executor: protocol.Target{Endpoint: x.id, Address: x.address, Epoch: x.epoch},
	})
}

// sendWords answers a Run or Resume with the numbered words from first to before
// until, and with the End if until is total.
func sendWords(s *wire.Session, id protocol.AttemptID, first, until, total uint64) {
	_ = s.Send(&protocol.Start{Attempt: id, Status: http.StatusOK})
	for seq := first; seq < until; seq++ {
		_ = s.Send(&protocol.Chunk{Attempt: id, Seq: seq, Data: fmt.Appendf(nil, "w%d ", seq)})
	}
	if until == total {
		_ = s.Send(&protocol.End{Attempt: id, Seq: total, Outcome: protocol.Done, CompletionTokens: int(total)})
	}
}

// flood sends large chunks, numbered from from to before to.
func flood(s *wire.Session, id protocol.AttemptID, from, to uint64, bytes int) {
	for seq := from; seq < to; seq++ {
		_ = s.Send(&protocol.Chunk{Attempt: id, Seq: seq, Data: []byte(strings.Repeat("x", bytes))})
	}
}

func allWords(total int) string {
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

// newTestEntry returns an entry whose instance list holds executors, and a caller
// of it.
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
	e.config = staticConfig{testState(t)}
	list := make([]platform.Instance, len(executors))
	for i, x := range executors {
		list[i] = platform.Instance{ID: x.id, Role: platform.RoleEndpoint, Address: x.address, Group: group, State: platform.StateLive}
	}
	e.directory.setInstances(list)
	server := httptest.NewServer(e.callerHandler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		e.pool.Close()
	})
	return e, &caller{t, server}
}

// Paths of the callers' API.
const (
	chatPath     = "/v1/chat/completions"
	paymentsPath = "/v1/services/portal/payments/7"
)

// chat sends a chat completion request.
func (c *caller) chat(body string, headers ...string) *http.Response {
	c.Helper()
	return c.post(context.Background(), chatPath, body, headers...)
}

// post sends a request; headers are alternating names and values.
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

// openStream starts a stream; hangUp disconnects its caller.
func (c *caller) openStream() (lines *bufio.Scanner, hangUp func()) {
	c.Helper()
	ctx, hangUp := context.WithCancel(context.Background())
	c.Cleanup(hangUp)
	return bufio.NewScanner(c.post(ctx, chatPath, streamBody).Body), hangUp
}

// resume resumes a stream.
func (c *caller) resume(lastID string) *http.Response {
	c.Helper()
	return c.send(context.Background(), http.MethodGet, "/v1/streams", "", "Last-Event-ID", lastID)
}

// stream reads the complete answer to a streamed chat completion.
func (c *caller) stream(body string) sseAnswer {
	c.Helper()
	return readSSE(c.T, c.chat(body))
}

// wantComplete fails unless the parts of a stream together are all words and its
// end.
func wantComplete(t *testing.T, parts ...sseAnswer) {
	t.Helper()
	text := ""
	for _, part := range parts {
		text += part.text
	}
	if end := parts[len(parts)-1]; !end.done || text != allWords(totalWords) {
		t.Errorf("got %q in %d parts, done %v, failure %+v", text, len(parts), end.done, end.failure)
	}
}

// upload opens a connection and sends a request's header, which announces a body of
// 1000 bytes, with only the given part of the body.
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
	plainBody  = `{"model":"ledger-llm","messages":[{"role":"user","content":"hi"}]}`
)

// sseAnswer is what a caller received of a stream.
type sseAnswer struct {
	text, lastID string
	done         bool
	failure      *errorFields
}

// readSSE reads all events of a stream.
func readSSE(t *testing.T, resp *http.Response) sseAnswer {
	t.Helper()
	return readEvents(t, bufio.NewScanner(resp.Body), 0)
}

// readEvents reads at most limit events, or all of them if limit is 0.
func readEvents(t *testing.T, lines *bufio.Scanner, limit int) (got sseAnswer) {
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

// readError reads the error of a request that was refused.
func readError(t *testing.T, resp *http.Response) errorFields {
	t.Helper()
	var e errorBody
	kit.OK(t, json.NewDecoder(resp.Body).Decode(&e))
	return e.Error
}
