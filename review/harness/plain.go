package harness

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Plain is a replica of a plain service. It runs a number of requests at a time, queues some more, and
// refuses the others as not executed. It is safe for concurrent use.
type Plain struct {
	ID      string
	Address string

	record *Record
	work   time.Duration
	queue  chan struct{}
	slots  chan struct{}

	mu   sync.Mutex
	runs map[string]int
}

// NewPlain starts a replica and registers it in the store.
func (s *Site) NewPlain(id, service, zone string, slots, queued int, work time.Duration) (*Plain, error) {
	p := &Plain{
		ID: id, record: s.Record, work: work, runs: make(map[string]int),
		queue: make(chan struct{}, slots+queued), slots: make(chan struct{}, slots),
	}
	var err error
	if p.Address, err = s.Serve(p); err != nil {
		return nil, err
	}
	s.Store.Put("keyed.servers", id, map[string]any{
		"service": service, "addr": p.Address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
		"cold_left_ms": 0, "seq": 1,
	})
	return p, nil
}

// Runs returns how often a request has begun to run here.
func (p *Plain) Runs(request string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[request]
}

// answerBytes is the length of an answer's body.
const answerBytes = 800

// ServeHTTP implements http.Handler.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Skylarklead-Request-Id")
	w.Header().Set("Skylarklead-Request-Id", id)
	if want := r.Header.Get("Skylarklead-Expect-Instance"); want != "" && want != p.ID {
		w.Header().Set("Skylarklead-Instance-Id", p.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("Skylarklead-Instance-Id", p.ID)
		return
	}
	if n, err := io.Copy(io.Discard, r.Body); err != nil {
		p.record.Line("replica %s: request %s broke off after %d bytes of its body", p.ID, id, n)
		return
	}
	select {
	case p.queue <- struct{}{}:
		defer func() { <-p.queue }()
	default:
		w.Header().Set("Skylarklead-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.slots <- struct{}{}
	defer func() { <-p.slots }()
	if r.Context().Err() != nil {
		return
	}
	p.mu.Lock()
	p.runs[id]++
	p.mu.Unlock()
	p.record.Line("replica %s: runs %s", p.ID, id)
	time.Sleep(p.work)
	w.Header().Set("Skylarklead-Response-Seal", "seal-"+id)
	w.Header().Set("Content-Length", fmt.Sprint(answerBytes))
	_, _ = w.Write(bytes.Repeat([]byte{'a'}, answerBytes)) // the caller may have gone
}
