package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	api "skylarklead/internal/engine"
)

const (
	contentEvents = "text/event-stream"
	endOfStream   = "data: [DONE]\n\n"
)

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var body completionBody
	if !readBody(w, r, &body) {
		return
	}
	id := r.Header.Get(api.HeaderRequestID)
	if id == "" {
		writeError(w, badRequest("no %s", api.HeaderRequestID))
		return
	}
	req, err := e.submit(id, &body)
	if err != nil {
		writeError(w, err)
		return
	}
	e.follow(w, r, req, 0)
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	from, ok := from(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	req := e.streams[streamID(r)]
	gone := req == nil || req.aborted
	e.mu.Unlock()
	if gone {
		writeError(w, &refusedError{http.StatusNotFound, api.CodeNotFound, "no such stream"})
		return
	}
	e.follow(w, r, req, from)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	e.cancel(streamID(r))
	w.WriteHeader(http.StatusNoContent)
}

// streamID returns the path's request ID, which may hold any character. An ID
// that is badly escaped is returned as it stands, and matches nothing.
func streamID(r *http.Request) string {
	raw := mux.Vars(r)["id"]
	if id, err := url.PathUnescape(raw); err == nil {
		return id
	}
	return raw
}

// from reads the query's number of the first event, or answers with 400.
func from(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	text := r.URL.Query().Get("from")
	if text == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		writeError(w, badRequest("from: %v", err))
	}
	return n, err == nil
}

// follow writes a stream's events as they come. A stream that was cut short has
// its connection dropped, without the explicit end.
func (e *Engine) follow(w http.ResponseWriter, r *http.Request, req *request, next uint64) {
	e.attach(req)
	defer e.detach(req)
	w.Header().Set("Content-Type", contentEvents)
	w.Header().Set(api.HeaderIncarnation, req.origin.Incarnation)
	w.Header().Set(api.HeaderWeights, req.origin.Weights)
	w.Header().Set(api.HeaderCacheSalt, req.origin.Salt)
	flusher := http.NewResponseController(w)
	for {
		_ = flusher.Flush()
		data, ended, changed := e.read(req, next)
		for _, chunk := range data {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", next, chunk)
			next++
		}
		if ended && !req.aborted {
			fmt.Fprint(w, endOfStream)
			return
		}
		if ended {
			panic(http.ErrAbortHandler)
		}
		if len(data) > 0 {
			continue
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) read(req *request, next uint64) (data [][]byte, ended bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if next < uint64(len(req.events)) {
		data = req.events[next:]
	}
	return data, req.ended, req.changed
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	from, ok := from(w, r)
	if !ok {
		return
	}
	reader := e.readEvents(from)
	w.Header().Set("Content-Type", contentEvents)
	w.Header().Set(api.HeaderIncarnation, e.currentIncarnation())
	flusher := http.NewResponseController(w)
	for {
		_ = flusher.Flush()
		ready, changed, after := e.poll(reader, time.Now())
		for _, event := range ready {
			writeEvent(w, event)
		}
		if len(ready) > 0 {
			continue
		}
		timer := time.NewTimer(after)
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

func writeEvent(w http.ResponseWriter, event api.CacheEvent) {
	data, err := json.Marshal(event)
	if err != nil {
		panic(err) // the type has nothing that can't be encoded
	}
	fmt.Fprintf(w, "data: %s\n\n", data)
}

func (e *Engine) currentIncarnation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}
