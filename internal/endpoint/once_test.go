package endpoint

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"skylarklead/internal/engine"
	"skylarklead/internal/protocol"
	"skylarklead/internal/settings"
	"skylarklead/test/kit"
)

// fakeService counts the runs of each request and answers with their number.
type fakeService struct {
	*httptest.Server
	mu   sync.Mutex
	runs map[string]int
	keys map[string]string // the Idempotency-Key that came with each body
	hold chan struct{}     // each call waits for it, if set
}

func newFakeService(t *testing.T) *fakeService {
	f := &fakeService{runs: map[string]int{}, keys: map[string]string{}}
	f.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		f.mu.Lock()
		f.runs[string(body)]++
		f.keys[string(body)] = r.Header.Get(engine.HeaderIdempotencyKey)
		n := f.runs[string(body)]
		f.mu.Unlock()
		if f.hold != nil {
			<-f.hold
		}
		w.WriteHeader(http.StatusCreated)
		fmt.Fprintf(w, "%s run %d by %s", body, n, r.Header.Get(engine.HeaderRequestID))
	}))
	t.Cleanup(f.Close)
	return f
}

func (f *fakeService) ran(body string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[body]
}

// keyedGroup is a group of endpoints in front of one service, with a log.
type keyedGroup struct {
	service     *fakeService
	platformURL string
	members     []*process
	start       func(i int) *process
}

func startKeyedGroup(t *testing.T, n int) *keyedGroup {
	t.Helper()
	services, list := startPlatform(t, n)
	g := &keyedGroup{service: newFakeService(t), platformURL: services.Log}
	g.start = func(i int) *process {
		return startMember(t, g.service.URL, services, list[i], func(s *settings.Settings) { s.Endpoint.Kind = kindService })
	}
	for i := range n {
		g.members = append(g.members, g.start(i))
	}
	return g
}

func payment(n byte, key byte) *protocol.Run {
	return &protocol.Run{
		Attempt: attemptID(n), Request: fmt.Sprintf("r%d", n), Organisation: "org", Group: "g",
		Call:        &protocol.Call{Service: "s", Method: http.MethodPost, Path: "/pay", Body: []byte{'k', '0' + key}},
		Fingerprint: uint64(key), Key: bytes.Repeat([]byte{key}, 32), Window: 100,
	}
}

func TestKeyIsAnsweredAgain(t *testing.T) {
	g := startKeyedGroup(t, 1)
	n := g.members[0].dial("entry-1")
	n.send(payment(1, 1))
	const first = "k1 run 1 by r1"
	n.want(0, first, protocol.Done)
	n.send(payment(2, 1))
	n.want(0, first, protocol.Done)
	conflicting := payment(3, 1)
	conflicting.Fingerprint = 99
	n.send(conflicting)
	if _, end := n.answer(0); end.Code != protocol.CodeKeyConflict {
		t.Fatalf("got %+v", end)
	}
}

// Guards against a repeated call at a service that looks up idempotency keys itself: the
// key that entries send along must be forwarded with the request ID.
func TestServiceGetsTheKey(t *testing.T) {
	g := startKeyedGroup(t, 1)
	n := g.members[0].dial("entry-1")
	n.send(payment(1, 1))
	n.answer(0)
	g.service.mu.Lock()
	defer g.service.mu.Unlock()
	if got, want := g.service.keys["k1"], strings.Repeat("01", 32); got != want {
		t.Errorf("the service got key %q, want %q", got, want)
	}
}

// Guards against a payment that is made twice. The answer is late, and the caller sends
// the same key again through another entry while the first attempt still runs; a key
// must be looked up among running calls too.
func TestSecondSenderGetsTheRunningAnswer(t *testing.T) {
	g := startKeyedGroup(t, 1)
	g.service.hold = make(chan struct{})
	one, two := g.members[0].dial("entry-1"), g.members[0].dial("entry-2")
	one.send(payment(1, 1))
	kit.Until(t, "the run", func() bool { return g.service.ran("k1") == 1 })
	two.send(payment(2, 1))
	resolve := &protocol.Resolve{Attempt: attemptID(2), Epoch: g.members[0].tel.Epoch}
	kit.Until(t, "the second sending", func() bool { return two.call(resolve).(*protocol.Resolved).Running })
	close(g.service.hold)
	first, _ := one.answer(0)
	second, end := two.answer(0)
	if first != second || end.Outcome != protocol.Done || g.service.ran("k1") != 1 {
		t.Fatalf("got %q and %q, %+v, %d runs", first, second, end, g.service.ran("k1"))
	}
}

// Guards against two runs of one key in a group. The key is sent to two endpoints at the
// same moment, and one answer of the log is lost after its append has taken effect:
// endpoints must know of each other's attempts, and a lost answer is no lost append.
func TestKeyRunsOnceInTheGroup(t *testing.T) {
	g := startKeyedGroup(t, 3)
	kit.Control(t, g.platformURL, `{"lose_next_answers": 1}`)
	var senders []*entry
	for i, p := range g.members {
		n := p.dial("entry-1")
		n.send(payment(byte(i+1), 1))
		senders = append(senders, n)
	}
	done := 0
	for _, n := range senders {
		_, end := n.answer(0)
		switch {
		case end.Outcome == protocol.Done:
			done++
		case end.Outcome == protocol.NotRun:
			t.Fatalf("not_run was answered for a key that ran: %+v", end)
		}
	}
	if done != 1 || g.service.ran("k1") != 1 {
		t.Fatalf("%d done, %d runs", done, g.service.ran("k1"))
	}
}

// Guards against a payment that runs although its caller was told that it did not. The
// log is down, a keyed call is refused, and the log comes back: the call must not stay
// queued meanwhile.
func TestLogOutageRefusesAndNothingRunsLater(t *testing.T) {
	g := startKeyedGroup(t, 1)
	n := g.members[0].dial("entry-1")
	n.send(payment(1, 1))
	n.answer(0)
	kit.Control(t, g.platformURL, `{"log_down": true}`)
	n.send(payment(2, 2))
	n.refused(protocol.CodeLogUnavailable)
	kit.Control(t, g.platformURL, `{"log_down": false}`)
	sending := byte(3)
	kit.Until(t, "the log", func() bool {
		n.send(payment(sending, 3))
		sending++
		_, end := n.answer(0)
		return end.Outcome == protocol.Done
	})
	if g.service.ran("k2") != 0 {
		t.Fatal("a refused call ran")
	}
}

// Guards against a payment that is made again after a restart. A process stops after a
// call ran; its successor, with empty memory, gets the same key and must find the claim
// in the log.
func TestKeyOfAnEarlierEpochIsNotRunAgain(t *testing.T) {
	g := startKeyedGroup(t, 1)
	n := g.members[0].dial("entry-1")
	n.send(payment(1, 1))
	n.answer(0)
	g.members[0].stop()
	kit.OK(t, <-g.members[0].ended)
	again := g.start(0).dial("entry-1")
	again.send(payment(2, 1))
	if _, end := again.answer(0); end.Outcome == protocol.NotRun || g.service.ran("k1") != 1 {
		t.Fatalf("got %+v, %d runs", end, g.service.ran("k1"))
	}
}
