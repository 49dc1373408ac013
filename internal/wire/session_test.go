package wire

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/goleak"

	"skylarklead/internal/faultproxy"
	"skylarklead/internal/protocol"
	"skylarklead/test/kit"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 20 * time.Second

var fleetKey = []byte("0123456789abcdef0123456789abcdef")

// node is one side of a session. It records the received messages and answers Ask.
type node struct {
	id             string
	key            []byte
	additionalKeys [][]byte
	answerGate     chan struct{} // Ask is answered when it is closed; at once if nil

	mu       sync.Mutex
	sessions []*Session
	messages []protocol.Message
	closed   chan error
}

func newNode(id string) *node { return &node{id: id, key: fleetKey, closed: make(chan error, 100)} }

func (e *node) options() Options {
	return Options{Key: e.key, AdditionalKeys: e.additionalKeys, Self: func() protocol.Identity { return protocol.Identity{ID: e.id, Role: protocol.RoleEndpoint, Epoch: 7} }, Handler: e}
}

func (e *node) Handle(s *Session, ref uint32, m protocol.Message) {
	e.mu.Lock()
	e.sessions = append(e.sessions, s)
	e.messages = append(e.messages, m)
	e.mu.Unlock()
	if ask, ok := m.(*protocol.Ask); ok {
		go func() {
			if e.answerGate != nil {
				<-e.answerGate
			}
			s.Reply(ref, &protocol.Decision{Request: ask.Request})
		}()
	}
}

func (e *node) Closed(_ *Session, err error) { e.closed <- err }

func (e *node) received() []protocol.Message {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]protocol.Message(nil), e.messages...)
}

func (e *node) serve(t *testing.T) (address string, accepted <-chan error) {
	t.Helper()
	errs := make(chan error, 100)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		errs <- Accept(w, r, e.options())
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://"), errs
}

func (e *node) dial(t *testing.T, address string) *Session {
	t.Helper()
	s := kit.Must(Dial(context.Background(), address, e.options()))(t)
	t.Cleanup(func() {
		s.Close(ErrClosed)
		<-e.closed
	})
	return s
}

// openSession opens a session between two nodes. It returns the accepting node and the
// dialer's session.
func openSession(t *testing.T) (acceptor *node, s *Session) {
	t.Helper()
	acceptor = newNode("b")
	address, _ := acceptor.serve(t)
	return acceptor, newNode("a").dial(t, address)
}

func await[T any](t *testing.T, what string, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("no %s in %v", what, testTimeout)
	}
	panic("unreachable")
}

func call(s *Session, request string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	m, err := s.Call(ctx, &protocol.Ask{Request: request})
	if err != nil {
		return "", err
	}
	return m.(*protocol.Decision).Request, nil
}

func TestSessionOpens(t *testing.T) {
	acceptor, s := openSession(t)
	if s.Peer().ID != "b" || s.Peer().Epoch != 7 {
		t.Errorf("peer is %+v", s.Peer())
	}
	if got, err := call(s, "one"); err != nil || got != "one" {
		t.Errorf("call: %q, %v", got, err)
	}
	acceptor.mu.Lock()
	acceptorSession := acceptor.sessions[0]
	acceptor.mu.Unlock()
	if acceptorSession.Peer().ID != "a" {
		t.Errorf("acceptor sees %+v", acceptorSession.Peer())
	}
}

// Many calls are in flight on one session and are answered in any order. If replies
// were matched to calls by order of arrival instead of reference, a caller would get
// another caller's answer.
func TestRepliesMatchTheirCalls(t *testing.T) {
	_, s := openSession(t)
	var calls sync.WaitGroup
	for i := range 200 {
		calls.Go(func() {
			request := strings.Repeat("x", i)
			if got, err := call(s, request); err != nil || got != request {
				t.Errorf("call %d: %d bytes, %v", i, len(got), err)
			}
		})
	}
	calls.Wait()
}

// To rotate the fleet's key, each process in turn is restarted with the keys of the
// next step. Processes at the same or at adjacent steps must accept each other;
// otherwise the whole fleet would have to be stopped to change its key.
func TestFleetKeyIsRotated(t *testing.T) {
	old, next := fleetKey, []byte("another key of thirty-two bytes.")
	steps := [][][]byte{{old}, {old, next}, {next, old}, {next}}
	with := func(keys [][]byte) *node {
		e := newNode("e")
		e.key, e.additionalKeys = keys[0], keys[1:]
		return e
	}
	for i, dialer := range steps {
		for j, acceptor := range steps {
			address, _ := with(acceptor).serve(t)
			s, err := Dial(context.Background(), address, with(dialer).options())
			if err == nil {
				s.Close(ErrClosed)
			}
			// Two steps apart, the acceptor may not have the dialer's key.
			known := slices.ContainsFunc(acceptor, func(key []byte) bool { return bytes.Equal(key, dialer[0]) })
			if (err == nil) != known || !known && max(i-j, j-i) < 2 {
				t.Errorf("step %d dials step %d: %v", i, j, err)
			}
		}
	}
}

// The handshake authenticates both sides. Otherwise anyone who can reach a daemon's
// port could send it orders without the fleet's key.
func TestUnauthenticatedPeerIsCutOff(t *testing.T) {
	stranger := newNode("s")
	stranger.key = []byte("another key of thirty-two bytes.")
	for _, tc := range []struct {
		name             string
		acceptor, dialer *node
	}{
		{"dialer has no key", newNode("b"), stranger},
		{"acceptor has no key", stranger, newNode("a")},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address, accepted := tc.acceptor.serve(t)
			if _, err := Dial(context.Background(), address, tc.dialer.options()); err == nil {
				t.Error("session opened")
			}
			if err := await(t, "end of accept", accepted); err == nil {
				t.Error("accept returned no error")
			}
			if got := tc.acceptor.received(); len(got) != 0 {
				t.Errorf("handled %v", got)
			}
		})
	}
}

// An acceptor without the key accepts every Hello and sends a forged Welcome. If the
// dialer didn't verify the acceptor's MAC, an entry would send an organisation's prompt
// to whoever took over an endpoint's address.
func TestImpostorAcceptorIsRefused(t *testing.T) {
	impostor := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer conn.CloseNow()
		writeFrame(r.Context(), conn, 0, &protocol.Challenge{Nonce: make([]byte, nonceBytes), Identity: protocol.Identity{ID: "b"}})
		var hello protocol.Hello
		if readHandshake(r.Context(), conn, &hello) == nil {
			writeFrame(r.Context(), conn, 0, &protocol.Welcome{MAC: hello.MAC})
		}
	}))
	defer impostor.Close()
	_, err := Dial(context.Background(), strings.TrimPrefix(impostor.URL, "http://"), newNode("a").options())
	if !errors.Is(err, ErrUnauthenticated) {
		t.Errorf("dial: %v", err)
	}
}

// An eavesdropper replays the Hello of an earlier session. The MAC covers the
// acceptor's fresh nonce, so the replay is refused.
func TestReplayedHelloIsRefused(t *testing.T) {
	acceptor := newNode("b")
	address, accepted := acceptor.serve(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	self := protocol.Identity{ID: "a"}
	var old *protocol.Hello
	for range 2 {
		conn, _, err := websocket.Dial(ctx, "ws://"+address+SessionPath, nil)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.CloseNow()
		var ch protocol.Challenge
		kit.OK(t, readHandshake(ctx, conn, &ch))
		if old == nil {
			old = &protocol.Hello{Identity: self, MAC: identityMAC(fleetKey, ch.Nonce, self)}
			conn.CloseNow()
			await(t, "end of accept", accepted)
			continue
		}
		kit.OK(t, writeFrame(ctx, conn, 0, old))
		if err := await(t, "end of accept", accepted); !errors.Is(err, ErrUnauthenticated) {
			t.Errorf("accept: %v", err)
		}
	}
}

// An authenticated peer sends a malformed message while another session has a call in
// flight. The decoding error must end only the session that it occurred in, not the
// streams of other peers.
func TestMalformedPeerHarmsNoOther(t *testing.T) {
	acceptor := newNode("b")
	acceptor.answerGate = make(chan struct{})
	address, _ := acceptor.serve(t)
	good, bad := newNode("good"), newNode("bad")
	goodSession, badSession := good.dial(t, address), bad.dial(t, address)
	answer := make(chan string, 1)
	go func() {
		got, _ := call(goodSession, "kept")
		answer <- got
	}()
	for len(acceptor.received()) == 0 {
		time.Sleep(time.Millisecond)
	}
	kit.OK(t, badSession.conn.Write(context.Background(), websocket.MessageBinary, []byte{0x83, 0x04, 0, 0x61, 'x'}))
	if err := await(t, "end of the bad session", acceptor.closed); !errors.Is(err, ErrMalformed) {
		t.Errorf("closed with %v", err)
	}
	close(acceptor.answerGate)
	if got := await(t, "answer", answer); got != "kept" {
		t.Errorf("good session's call got %q", got)
	}
}

// During a rolling restart a newer build sends a message of a kind, or with a field,
// that the older one doesn't know. If the older one treated that as malformed, sessions
// between the two would end again and again, with the calls on them.
func TestNewerBuildKeepsItsSession(t *testing.T) {
	acceptor := newNode("b")
	address, _ := acceptor.serve(t)
	s := newNode("newer").dial(t, address)
	for name, frame := range map[string][]byte{
		"unknown kind":                 {0x83, 0x18, byte(protocol.KindLast) + 1, 0, 0xa0},
		"unknown kind, reply expected": {0x83, 0x18, 0xff, 1, 0xa1, 0x01, 0x02},
		"unknown kind, body of no map": {0x83, 0x18, 0xfe, 0, 0xf6},
		"unknown field":                {0x83, byte(protocol.KindCancel), 0, 0xa1, 0x18, 0x63, 0xa1, 0x01, 0x02},
	} {
		if err := s.conn.Write(context.Background(), websocket.MessageBinary, frame); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if got, err := call(s, name); err != nil || got != name {
			t.Errorf("%s: the next call got %q, %v", name, got, err)
		}
	}
}

// Two callers want a session to the same peer, and the first gives up during the dial.
// If the dial used the first caller's context, the second caller's request would fail
// with "context canceled", and a restarted process wouldn't get a peer's state.
func TestOpeningOutlivesWhoBeganIt(t *testing.T) {
	acceptor := newNode("b")
	reached, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reached <- struct{}{}
		<-release
		_ = Accept(w, r, acceptor.options())
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	pool := NewPool(newNode("a").options())
	t.Cleanup(pool.Close)
	firstCtx, cancelFirst := context.WithCancel(context.Background())
	errs := make(chan error)
	get := func(ctx context.Context) {
		_, err := pool.Get(ctx, address)
		errs <- err
	}
	go get(firstCtx)
	<-reached
	go get(context.Background())
	cancelFirst()
	if err := await(t, "first caller", errs); !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled caller: %v", err)
	}
	close(release)
	if err := await(t, "second caller", errs); err != nil {
		t.Errorf("waiting caller: %v", err)
	}
}

// The packets to or from a peer are lost and no reset arrives. A ping whose answer has a
// timeout must end the session; otherwise a stream hangs for minutes.
func TestHalfOpenSessionIsFound(t *testing.T) {
	for name, fault := range map[string]func(*faultproxy.Proxy){
		"replies lost":  func(p *faultproxy.Proxy) { p.Drop(faultproxy.Downstream, true) },
		"requests lost": func(p *faultproxy.Proxy) { p.Drop(faultproxy.Upstream, true) },
		"frozen":        (*faultproxy.Proxy).Freeze,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			acceptor, dialer := newNode("b"), newNode("a")
			address, _ := acceptor.serve(t)
			p := kit.Must(faultproxy.Listen("127.0.0.1:0", address))(t)
			t.Cleanup(p.Close)
			s := dialer.dial(t, p.Address())
			kit.Must(call(s, "before"))(t)
			fault(p)
			if _, err := call(s, "after"); !errors.Is(err, ErrClosed) {
				t.Errorf("call: %v", err)
			}
			p.ResetConnections()
		})
	}
}

// A session ends between the write of a call and its reply. A call that waited only for
// the reply would last until the caller's deadline.
func TestCutEndsCalls(t *testing.T) {
	acceptor, dialer := newNode("b"), newNode("a")
	acceptor.answerGate = make(chan struct{})
	defer close(acceptor.answerGate)
	address, _ := acceptor.serve(t)
	s := dialer.dial(t, address)
	result := make(chan error, 1)
	go func() {
		_, err := call(s, "cut")
		result <- err
	}()
	for len(acceptor.received()) == 0 {
		time.Sleep(time.Millisecond)
	}
	s.Close(ErrClosed)
	if err := await(t, "end of the call", result); !errors.Is(err, ErrClosed) {
		t.Errorf("call: %v", err)
	}
}

func TestMessagesKeepTheirOrder(t *testing.T) {
	acceptor, s := openSession(t)
	const n = 500
	for i := range n {
		kit.OK(t, s.Send(&protocol.Chunk{Seq: uint64(i), Data: bytes.Repeat([]byte{byte(i)}, i)}))
	}
	kit.Must(call(s, "flush"))(t)
	for i, m := range acceptor.received()[:n] {
		if c := m.(*protocol.Chunk); c.Seq != uint64(i) || len(c.Data) != i {
			t.Fatalf("message %d is chunk %d of %d bytes", i, c.Seq, len(c.Data))
		}
	}
}

func TestPoolSharesAndReplacesSessions(t *testing.T) {
	acceptor, dialer := newNode("b"), newNode("a")
	address, _ := acceptor.serve(t)
	pool := NewPool(dialer.options())
	var mu sync.Mutex
	seen := map[*Session]bool{}
	var gets sync.WaitGroup
	for range 20 {
		gets.Go(func() {
			s, err := pool.Get(context.Background(), address)
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			seen[s] = true
			mu.Unlock()
		})
	}
	gets.Wait()
	if len(seen) != 1 {
		t.Fatalf("%d sessions for one address", len(seen))
	}
	for s := range seen {
		s.Close(ErrClosed)
		<-dialer.closed
		next, err := pool.Get(context.Background(), address)
		if err != nil || next == s {
			t.Fatalf("after the end: %v, the ended session again: %v", err, next == s)
		}
	}
	pool.Close()
	<-dialer.closed
}
