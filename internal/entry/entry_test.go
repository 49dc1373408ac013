package entry

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"skylarklead/internal/delivery"
	"skylarklead/internal/protocol"
	"skylarklead/internal/settings"
	"skylarklead/internal/wire"
	"skylarklead/test/kit"
)

// A rolling restart must not abort answers. SIGTERM arrives while a stream is in
// flight and a new request comes on an open connection: the new one is refused, the
// stream completes, and only then shutDown returns.
func TestDrainCutsNothing(t *testing.T) {
	proceed := make(chan struct{})
	x := newExecutor(t, "ep-1", onRun(func(_ *executor, s *wire.Session, m *protocol.Run) {
		sendWords(s, m.Attempt, 0, 5, totalWords)
		<-proceed
		sendWords(s, m.Attempt, 5, totalWords, totalWords)
	}))
	e, c := newTestEntry(t, "llm", x)
	lines, _ := c.openStream()
	first := readEvents(t, lines, 5)

	drained := make(chan struct{})
	go func() {
		defer close(drained)
		e.shutDown(c.Config, delivery.NewListener(c.Listener, delivery.DefaultLimit))
	}()
	kit.Until(t, "refusing", func() bool {
		e.drain.mu.Lock()
		defer e.drain.mu.Unlock()
		return e.drain.refusing
	})
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", nil)
	e.callerHandler().ServeHTTP(w, r)
	if got := readError(t, w.Result()); got.Code != protocol.CodeDraining || got.Ran != protocol.NotRun || w.Header().Get("Retry-After") == "" {
		t.Errorf("a new request got %d %+v", w.Code, got)
	}
	w = httptest.NewRecorder()
	if e.readyz(w, r); w.Code != http.StatusServiceUnavailable {
		t.Errorf("readyz answers %d", w.Code)
	}
	select {
	case <-drained:
		t.Error("shut down with a stream in flight")
	default:
	}
	close(proceed)
	wantComplete(t, first, readEvents(t, lines, 0))
	<-drained
}

// Guards against requests that run, and whose connections are closed without an answer as they were idle when the
// drain began.
func TestKeptConnectionsAreServedWhileADrainAccepts(t *testing.T) {
	portal := newExecutor(t, "portal-1", onRun(func(_ *executor, s *wire.Session, m *protocol.Run) { sendWords(s, m.Attempt, 0, 1, 1) }))
	e, c := newTestEntry(t, "portal", portal)
	e.settings.Entry.DrainDelay = settings.Duration(500 * time.Millisecond)
	conn := kit.Must(net.Dial("tcp", c.Listener.Addr().String()))(t)
	defer conn.Close()
	in := bufio.NewReader(conn)
	call := func() *http.Response {
		kit.Must(fmt.Fprintf(conn, "POST /v1/services/portal/pledges/7 HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer %s\r\nContent-Length: 3\r\n\r\npay", testKey))(t)
		resp := kit.Must(http.ReadResponse(in, nil))(t)
		kit.Must(io.Copy(io.Discard, resp.Body))(t)
		return resp
	}
	if resp := call(); resp.StatusCode != http.StatusOK || resp.Close {
		t.Fatalf("before the drain: status %d, close %v", resp.StatusCode, resp.Close)
	}
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		e.shutDown(c.Config, delivery.NewListener(c.Listener, delivery.DefaultLimit))
	}()
	kit.Until(t, "draining", e.drain.draining)
	if resp := call(); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("during the drain: status %d, close %v", resp.StatusCode, resp.Close)
	}
	<-drained
}

// refusedWithin bounds the time of a refusal that needs no body.
const refusedWithin = time.Second

// Guards against refusals that a caller gets only once it has sent its body.
func TestRefusalsDoNotWaitForBodies(t *testing.T) {
	_, c := newTestEntry(t, "portal")
	for _, path := range []string{paymentsPath, "/unknown"} {
		conn := kit.Must(net.Dial("tcp", c.Listener.Addr().String()))(t)
		defer conn.Close()
		conn.SetReadDeadline(time.Now().Add(kit.Timeout))
		kit.Must(fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: e\r\nContent-Length: 3\r\n\r\n", path))(t)
		sent := time.Now()
		resp := kit.Must(http.ReadResponse(bufio.NewReader(conn), nil))(t)
		if took := time.Since(sent); resp.StatusCode/100 != 4 || took > refusedWithin {
			t.Errorf("%s: status %d after %v", path, resp.StatusCode, took)
		}
	}
}

// Guards against answers that an entry leaves out when the platform kills it at the end of its
// grace: those of a payment and a stream whose executor needs longer.
func TestEntryAnswersWhatIsLeftBeforeItIsKilled(t *testing.T) {
	const grace = 800 * time.Millisecond
	portal := newExecutor(t, "portal-1", onRun(func(*executor, *wire.Session, *protocol.Run) {}))
	e, c := newTestEntry(t, "portal", portal)
	e.settings.Entry.Grace = settings.Duration(grace)
	paid := make(chan *http.Response, 1)
	go func() { paid <- c.post(context.Background(), "/v1/services/portal/pledges/7", "pay") }()
	kit.Until(t, "the payment runs", func() bool { return countMessages[*protocol.Run](portal) == 1 })
	began := time.Now()
	e.shutDown(c.Config, delivery.NewListener(c.Listener, delivery.DefaultLimit))
	if took := time.Since(began); took >= grace {
		t.Errorf("shut down in %v of %v", took, grace)
	}
	resp := <-paid
	if got := readError(t, resp); resp.StatusCode != http.StatusBadGateway || got.Ran != protocol.Unknown {
		t.Errorf("the payment got %d %+v", resp.StatusCode, got)
	}

	model := newExecutor(t, "ep-1", script{run: sendsFirst(5)})
	e, c = newTestEntry(t, "llm", model)
	e.settings.Entry.Grace = settings.Duration(grace)
	lines, _ := c.openStream()
	readEvents(t, lines, 5)
	e.shutDown(c.Config, delivery.NewListener(c.Listener, delivery.DefaultLimit))
	if got := readEvents(t, lines, 0); got.done || got.failure == nil || got.failure.Ran != protocol.Unknown {
		t.Errorf("the stream ended with done %v, failure %+v", got.done, got.failure)
	}
	if n := countMessages[*protocol.Cancel](model); n != 0 {
		t.Errorf("%d cancels: the stream can't be resumed through another entry", n)
	}
}

// An entry that can serve no caller must not report that it is ready. With a wrong
// key it still reads its configuration from the log, so readiness must depend on
// whether peers accept its key, too.
func TestReadiness(t *testing.T) {
	x := newExecutor(t, "ep-1", script{})
	for _, tt := range []struct {
		name, want string
		executors  []*executor
		prepare    func(e *Entry)
	}{
		{"ready", "ready", []*executor{x}, func(e *Entry) { e.pool.VerifyKey(context.Background(), []string{x.address}) }},
		{"peer can't be reached", "ready", []*executor{x}, func(e *Entry) { e.pool.VerifyKey(context.Background(), []string{"127.0.0.1:1"}) }},
		{"nobody asked yet", "ready", []*executor{x}, func(*Entry) {}},
		{"lone", "no endpoint known", nil, func(*Entry) {}},
		{"wrong key", wire.KeyRefused, []*executor{x}, func(e *Entry) {
			e.options.Key = []byte("another")
			e.pool = wire.NewPool(e.options)
			e.pool.VerifyKey(context.Background(), []string{x.address})
		}},
		{"draining", "draining", []*executor{x}, func(e *Entry) { e.drain.announceLeaving() }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			e, _ := newTestEntry(t, "llm", tt.executors...)
			tt.prepare(e)
			w := httptest.NewRecorder()
			e.readyz(w, nil)
			if got := strings.TrimSpace(w.Body.String()); got != tt.want || (w.Code == http.StatusOK) != (got == "ready") {
				t.Errorf("status %d, body %q", w.Code, got)
			}
			if reason := e.status().NotReady; reason != strings.TrimPrefix(tt.want, "ready") {
				t.Errorf("status reports %q", reason)
			}
		})
	}
}

// An entry that restarts while the platform is down must find endpoints through its
// bootstrap peers. The instance list can't be read, and the settings name an
// endpoint process and another entry.
func TestEndpointsFromPeers(t *testing.T) {
	x := newExecutor(t, "ep-1", script{other: func(_ *executor, s *wire.Session, ref uint32, m protocol.Message) {
		if _, ok := m.(*protocol.StatusRequest); ok {
			_ = s.Reply(ref, &protocol.Status{Members: []protocol.MemberStatus{
				{ID: "ep-2", Address: "127.0.0.1:2", Group: "llm"},
				{ID: "ep-3"}, // peers of older versions send no address
			}})
		}
	}})
	e, _ := newTestEntry(t, "llm")
	e.settings.Bootstrap.Peers = []string{x.address, "127.0.0.1:1"}
	found := map[string]string{}
	for _, in := range e.instancesFromPeers(context.Background()) {
		found[in.ID] = in.Address
	}
	if len(found) != 2 || found["ep-1"] != x.address || found["ep-2"] != "127.0.0.1:2" {
		t.Errorf("found %v", found)
	}
}

func TestServesTLS(t *testing.T) {
	e, _ := newTestEntry(t, "llm")
	certificate, key := kit.KeyPair(t)
	files := &settings.TLS{Certificate: filepath.Join(t.TempDir(), "cert.pem"), Key: filepath.Join(t.TempDir(), "key.pem")}
	kit.OK(t, os.WriteFile(files.Certificate, certificate, 0o600))
	kit.OK(t, os.WriteFile(files.Key, key, 0o600))
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(certificate)
	e.settings.Entry.TLS = files
	e.settings.Entry.Listen = "127.0.0.1:0"
	server := kit.Must(e.newCallerServer())(t)
	listener := kit.Must(e.listenCallers())(t)
	go e.serve(server, listener)
	t.Cleanup(func() { server.Close() })
	client := &http.Client{Transport: &http.Transport{
		TLSClientConfig:   &tls.Config{RootCAs: pool},
		ForceAttemptHTTP2: true,
		DisableKeepAlives: true,
	}}
	resp := kit.Must(client.Get("https://" + listener.Addr().String() + "/healthz"))(t)
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK || resp.TLS == nil {
		t.Errorf("status %d, TLS %v", resp.StatusCode, resp.TLS)
	}
	if plain, err := http.Get("http://" + listener.Addr().String() + "/healthz"); err == nil {
		plain.Body.Close()
		if plain.StatusCode == http.StatusOK {
			t.Error("also served without TLS")
		}
	}
	files.Key = files.Certificate
	if _, err := e.newCallerServer(); err == nil {
		t.Error("a certificate without its key was accepted")
	}
}
