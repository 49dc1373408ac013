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

const patience = 20 * time.Second

var fleetKey = []byte("0123456789abcdef0123456789abcdef")

// end is one side of a session: it records what arrives and answers Ask.
type end struct {
	id   string
	key  []byte
	also [][]byte
	hold chan struct{} // Ask is answered when it is closed; at once if nil

	mu       sync.Mutex
	sessions []*Session
	got      []protocol.Message
	closed   chan error
}

func newEnd(id string) *end { return &end{id: id, key: fleetKey, closed: make(chan error, 100)} }

func (e *end) options() Options {
	return Options{Key: e.key, AdditionalKeys: e.also, Self: func() protocol.Identity { return protocol.Identity{ID: e.id, Role: protocol.RoleEndpoint, Epoch: 7} }, Handler: e}
}

func (e *end) Handle(s *Session, ref uint32, m protocol.Message) {
	e.mu.Lock()
	e.sessions = append(e.sessions, s)
	e.got = append(e.got, m)
	e.mu.Unlock()
	if ask, ok := m.(*protocol.Ask); ok {
		go func() {
			if e.hold != nil {
				<-e.hold
			}
			s.Reply(ref, &protocol.Decision{Request: ask.Request})
		}()
	}
}

func (e *end) Closed(_ *Session, err error) { e.closed <- err }

func (e *end) received() []protocol.Message {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]protocol.Message(nil), e.got...)
}

func (e *end) serve(t *testing.T) (address string, accepted <-chan error) {
	t.Helper()
	errs := make(chan error, 100)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		errs <- Accept(w, r, e.options())
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://"), errs
}

func (e *end) dial(t *testing.T, address string) *Session {
	t.Helper()
	s := kit.Must(Dial(context.Background(), address, e.options()))(t)
	t.Cleanup(func() {
		s.Close(ErrClosed)
		<-e.closed
	})
	return s
}

// openSession opens a session between two ends and returns the accepting one.
func openSession(t *testing.T) (acceptor *end, s *Session) {
	t.Helper()
	acceptor = newEnd("b")
	address, _ := acceptor.serve(t)
	return acceptor, newEnd("a").dial(t, address)
}

func await[T any](t *testing.T, what string, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(patience):
		t.Fatalf("no %s in %v", what, patience)
	}
	panic("unreachable")
}

func call(s *Session, request string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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
	back := acceptor.sessions[0]
	acceptor.mu.Unlock()
	if back.Peer().ID != "a" {
		t.Errorf("acceptor sees %+v", back.Peer())
	}
}

// Symptom: a caller gets another caller's answer.
// Sequence: many calls are in flight on one session and are answered in an order
// of the peer's own.
// Cause: replies matched to calls by order of arrival in place of reference.
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

// Symptom: a fleet has to be stopped as a whole to change its key.
// Sequence: each process in turn is restarted with the next step's keys; any two
// that stand side by side meanwhile dial each other.
// Cause: a process that knew one key refused the other's.
func TestFleetKeyIsRotated(t *testing.T) {
	old, next := fleetKey, []byte("another key of thirty-two bytes.")
	steps := [][][]byte{{old}, {old, next}, {next, old}, {next}}
	with := func(keys [][]byte) *end {
		e := newEnd("e")
		e.key, e.also = keys[0], keys[1:]
		return e
	}
	for i, dialer := range steps {
		for j, acceptor := range steps {
			address, _ := with(acceptor).serve(t)
			s, err := Dial(context.Background(), address, with(dialer).options())
			if err == nil {
				s.Close(ErrClosed)
			}
			// Two steps apart the one may lack what the other dials by.
			known := slices.ContainsFunc(acceptor, func(key []byte) bool { return bytes.Equal(key, dialer[0]) })
			if (err == nil) != known || !known && max(i-j, j-i) < 2 {
				t.Errorf("step %d dials step %d: %v", i, j, err)
			}
		}
	}
}

// Symptom: whoever reaches a daemon's port can send it orders.
// Sequence: a peer without the fleet's key opens a session, from either side.
// Cause: an opening that isn't authenticated in both directions.
func TestUnauthenticatedPeerIsCutOff(t *testing.T) {
	stranger := newEnd("s")
	stranger.key = []byte("another key of thirty-two bytes.")
	for _, tc := range []struct {
		name             string
		acceptor, dialer *end
	}{
		{"dialer has no key", newEnd("b"), stranger},
		{"acceptor has no key", stranger, newEnd("a")},
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

// Symptom: an entry hands a charity's prompt to whoever took an endpoint's address.
// Sequence: an acceptor without the key takes every Hello and sends a Welcome of
// its own making.
// Cause: a dialer that doesn't check the acceptor's MAC.
func TestImpostorAcceptorIsRefused(t *testing.T) {
	impostor := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer conn.CloseNow()
		writeFrame(r.Context(), conn, 0, &protocol.Challenge{Nonce: make([]byte, nonceBytes), Identity: protocol.Identity{ID: "b"}})
		var hello protocol.Hello
		if readOpening(r.Context(), conn, &hello) == nil {
			writeFrame(r.Context(), conn, 0, &protocol.Welcome{MAC: hello.MAC})
		}
	}))
	defer impostor.Close()
	_, err := Dial(context.Background(), strings.TrimPrefix(impostor.URL, "http://"), newEnd("a").options())
	if !errors.Is(err, ErrUnauthenticated) {
		t.Errorf("dial: %v", err)
	}
}

// Symptom: an eavesdropper's copy of an old opening lets it in.
// Sequence: the Hello of an earlier session is sent again.
// Cause: a MAC that doesn't cover the acceptor's fresh nonce.
func TestReplayedHelloIsRefused(t *testing.T) {
	acceptor := newEnd("b")
	address, accepted := acceptor.serve(t)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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
		kit.OK(t, readOpening(ctx, conn, &ch))
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

// Symptom: one broken peer takes down the streams of others.
// Sequence: an authenticated peer sends bytes that are no message while another
// session has a call in flight.
// Cause: a decoding error handled for the process in place of the session.
func TestMalformedPeerHarmsNoOther(t *testing.T) {
	acceptor := newEnd("b")
	acceptor.hold = make(chan struct{})
	address, _ := acceptor.serve(t)
	good, bad := newEnd("good"), newEnd("bad")
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
	close(acceptor.hold)
	if got := await(t, "answer", answer); got != "kept" {
		t.Errorf("good session's call got %q", got)
	}
}

// Symptom: in a rolling restart sessions between old and new builds end again and
// again, with the calls on them.
// Sequence: a newer build sends a message of a type, or with a field, that the
// older one doesn't know.
// Cause: whatever isn't known is taken for malformed.
func TestNewerBuildKeepsItsSession(t *testing.T) {
	acceptor := newEnd("b")
	address, _ := acceptor.serve(t)
	s := newEnd("newer").dial(t, address)
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

// Symptom: requests fail with "context canceled" though their own callers wait, and
// a restarted process doesn't get a peer's state.
// Sequence: two want a session to one peer; the first gives up while it is opened.
// Cause: the opening was by the context of whoever came first.
func TestOpeningOutlivesWhoBeganIt(t *testing.T) {
	acceptor := newEnd("b")
	reached, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reached <- struct{}{}
		<-release
		_ = Accept(w, r, acceptor.options())
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	pool := NewPool(newEnd("a").options())
	t.Cleanup(pool.Close)
	hasty, giveUp := context.WithCancel(context.Background())
	errs := make(chan error)
	get := func(ctx context.Context) {
		_, err := pool.Get(ctx, address)
		errs <- err
	}
	go get(hasty)
	<-reached
	go get(context.Background())
	giveUp()
	if err := await(t, "the hasty one", errs); !errors.Is(err, context.Canceled) {
		t.Errorf("the one that gave up: %v", err)
	}
	close(release)
	if err := await(t, "the patient one", errs); err != nil {
		t.Errorf("the one that waited: %v", err)
	}
}

// Symptom: a stream hangs for minutes after a host is gone.
// Sequence: the peer's packets are lost in one direction or both; no reset comes.
// Cause: no ping, or one whose answer isn't waited for.
func TestHalfOpenSessionIsFound(t *testing.T) {
	for name, fault := range map[string]func(*faultproxy.Proxy){
		"replies lost":  func(p *faultproxy.Proxy) { p.Drop(faultproxy.Down, true) },
		"requests lost": func(p *faultproxy.Proxy) { p.Drop(faultproxy.Up, true) },
		"frozen":        (*faultproxy.Proxy).Freeze,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			acceptor, dialer := newEnd("b"), newEnd("a")
			address, _ := acceptor.serve(t)
			p := kit.Must(faultproxy.Listen("127.0.0.1:0", address))(t)
			t.Cleanup(p.Close)
			s := dialer.dial(t, p.Address())
			kit.Must(call(s, "before"))(t)
			fault(p)
			if _, err := call(s, "after"); !errors.Is(err, ErrClosed) {
				t.Errorf("call: %v", err)
			}
			p.Cut()
		})
	}
}

// Symptom: a request written to a session that is being cut is waited for until
// the caller's deadline.
// Sequence: the session ends between the write and the reply.
// Cause: a call that waits for its reply alone.
func TestCutEndsCalls(t *testing.T) {
	acceptor, dialer := newEnd("b"), newEnd("a")
	acceptor.hold = make(chan struct{})
	defer close(acceptor.hold)
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
	acceptor, dialer := newEnd("b"), newEnd("a")
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
