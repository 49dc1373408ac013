package direct

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"skylarklead/internal/delivery"
	"skylarklead/internal/fleet"
	"skylarklead/internal/settings"
	"skylarklead/test/kit"
)

// lockingHeaders decode the headers of requests under the state's lock. One with "Case: panic" panics there, and locks
// the state again in a deferred call, as requests do; one with "Case: wait" waits for proceed before that.
type lockingHeaders struct {
	plainHeaders
	entry   *Entry
	waiting chan struct{}
	proceed chan struct{}
}

var errDecoded = errors.New("decoded")

func (l *lockingHeaders) Request(h http.Header) (fleet.Request, error) {
	mu := &l.entry.state.mu
	switch h.Get("Case") {
	case "panic":
		defer func() {
			mu.Lock()
			defer mu.Unlock()
		}()
		mu.Lock()
		panic("a fault of the handler")
	case "wait":
		l.waiting <- struct{}{}
		<-l.proceed
	}
	mu.Lock()
	defer mu.Unlock()
	return fleet.Request{}, errDecoded
}

// idleStore is a store in which nothing ever comes.
type idleStore struct{ fleet.Store }

var errIdle = errors.New("no answer")

func (idleStore) Newest(context.Context, string) (fleet.Page, error) { return fleet.Page{}, errIdle }
func (idleStore) Read(context.Context, string, uint64, time.Duration) (fleet.Page, error) {
	return fleet.Page{}, errIdle
}
func (idleStore) Put(context.Context, string, string, []byte) error { return errIdle }
func (idleStore) PutAll(context.Context, string, *uint64, []fleet.Record) (uint64, error) {
	return 0, errIdle
}
func (idleStore) Append(context.Context, string, *uint64, [][]byte) (uint64, error) {
	return 0, errIdle
}

type noRecords struct{ Records }

func (noRecords) Topics() (operator, replicas string) { return "operator", "replicas" }

// startLocking starts a whole entry with lockingHeaders, and returns its address; ended gets the error that it ends with.
func startLocking(t *testing.T) (h *lockingHeaders, address string, ended <-chan error) {
	t.Helper()
	e := newQueueEntry(t)
	e.settings.Direct.Peers, e.settings.Direct.Grace = "127.0.0.1:0", settings.Duration(4*time.Second)
	h = &lockingHeaders{entry: e, waiting: make(chan struct{}), proceed: make(chan struct{})}
	e.platform = Platform{Store: idleStore{}, Headers: h, Records: noRecords{}, ReadyPath: "/ready"}
	config := &configuration{Configuration: &fleet.Configuration{}}
	config.Index()
	e.state.config.Store(config)
	e.peers = kit.Must(newPeers(e))(t)
	callers := kit.Must(net.Listen("tcp", "127.0.0.1:0"))(t)
	e.callers = delivery.NewListener(callers, delivery.DefaultLimit)
	ready := kit.Must(net.Listen("tcp", "127.0.0.1:0"))(t)
	ctx, stop := context.WithCancel(context.Background())
	done, finished := make(chan error, 1), make(chan struct{})
	go func() {
		defer close(finished)
		done <- e.run(ctx, ready)
	}()
	t.Cleanup(func() {
		stop()
		select {
		case <-finished:
		case <-time.After(kit.Timeout):
			t.Error("the entry hangs")
		}
	})
	return h, callers.Addr().String(), done
}

// get returns what a caller with a case gets.
func get(address, c string) (status int, body string, err error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address, nil)
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Case", c)
	resp, err := (&http.Client{Timeout: kit.Timeout}).Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// Guards against an entry that hangs, and answers nobody, since a handler panicked while it held the state's lock: it
// answers that request, those in flight and those that wait for the lock, and ends with an error.
func TestAnEntryWhoseStateWasLeftLockedAnswersAndEnds(t *testing.T) {
	h, address, ended := startLocking(t)
	type answer struct {
		status int
		body   string
		err    error
	}
	ask := func(c string) <-chan answer {
		got := make(chan answer, 1)
		go func() {
			status, body, err := get(address, c)
			got <- answer{status, body, err}
		}()
		return got
	}
	inFlight := ask("wait")
	<-h.waiting
	panicked := ask("panic")
	kit.Until(t, "the state is locked", func() bool {
		if h.entry.state.mu.TryLock() {
			h.entry.state.mu.Unlock()
			return false
		}
		return true
	})
	queued := ask("lock")
	if got := <-panicked; got.status != http.StatusInternalServerError || got.body != reasonPanic+"\n" || got.err != nil {
		t.Errorf("the request that panicked: %+v", got)
	}
	kit.Until(t, "the entry drains", h.entry.draining)
	close(h.proceed)
	for name, request := range map[string]<-chan answer{"in flight": inFlight, "waiting for the lock": queued} {
		if got := <-request; got.status != http.StatusBadRequest || got.body != errDecoded.Error()+"\n" || got.err != nil {
			t.Errorf("the request %s: %+v", name, got)
		}
	}
	if err := <-ended; !errors.Is(err, errLockLost) {
		t.Errorf("ended with %v", err)
	}
}

// Guards against an entry that ends since its state is locked at each check, though by others in turn.
func TestALockInUseIsNotLost(t *testing.T) {
	var w lockWatch
	for n := range 10 * lockLostChecks {
		if w.check(true, uint64(n/(lockLostChecks-1))) {
			t.Fatalf("lost at check %d", n)
		}
	}
	for n := range 10 * lockLostChecks {
		if w.check(n%lockLostChecks > 0, 0) {
			t.Fatalf("lost at check %d", n)
		}
	}
	held := 0
	w = lockWatch{}
	for !w.check(true, 0) {
		held++
	}
	if held != lockLostChecks-1 {
		t.Errorf("lost after %d checks", held+1)
	}
}
