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
	contentTypeEventStream = "text/event-stream"
	endOfStream            = "data: [DONE]\n\n"
)

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var body completionBody
	if !decodeBody(w, r, &body) {
		return
	}
	id := r.Header.Get(api.HeaderRequestID)
	if id == "" {
		writeError(w, badRequest("header %s is missing", api.HeaderRequestID))
		return
	}
	req, err := e.submit(id, &body)
	if err != nil {
		writeError(w, err)
		return
	}
	e.streamEvents(w, r, req, 0)
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	from, ok := parseFrom(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	req := e.streams[streamID(r)]
	missing := req == nil || req.aborted
	e.mu.Unlock()
	if missing {
		writeError(w, &httpError{http.StatusNotFound, api.CodeNotFound, "no such stream"})
		return
	}
	e.streamEvents(w, r, req, from)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	e.cancel(streamID(r))
	w.WriteHeader(http.StatusNoContent)
}

// streamID returns the path's request ID, which may contain any character. An ID
// with invalid escapes is returned unchanged and matches no stream.
func streamID(r *http.Request) string {
	raw := mux.Vars(r)["id"]
	if id, err := url.PathUnescape(raw); err == nil {
		return id
	}
	return raw
}

// parseFrom returns the number of the first event from the query, 0 if there is
// none. On failure it responds with 400 and returns false.
func parseFrom(w http.ResponseWriter, r *http.Request) (uint64, bool) {
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

// streamEvents writes a stream's events from number next on as they are added. If
// the stream is aborted, it closes the connection without a final event.
func (e *Engine) streamEvents(w http.ResponseWriter, r *http.Request, req *request, next uint64) {
	e.attach(req)
	defer e.detach(req)
	w.Header().Set("Content-Type", contentTypeEventStream)
	w.Header().Set(api.HeaderIncarnation, req.origin.Incarnation)
	w.Header().Set(api.HeaderWeights, req.origin.Weights)
	w.Header().Set(api.HeaderCacheSalt, req.origin.Salt)
	flusher := http.NewResponseController(w)
	for {
		_ = flusher.Flush()
		events, ended, changed := e.readEvents(req, next)
		for _, data := range events {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", next, data)
			next++
		}
		if ended && !req.aborted {
			fmt.Fprint(w, endOfStream)
			return
		}
		if ended {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			continue
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) readEvents(req *request, next uint64) (events [][]byte, ended bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if next < uint64(len(req.events)) {
		events = req.events[next:]
	}
	return events, req.ended, req.changed
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	from, ok := parseFrom(w, r)
	if !ok {
		return
	}
	reader := e.newEventReader(from)
	w.Header().Set("Content-Type", contentTypeEventStream)
	w.Header().Set(api.HeaderIncarnation, e.currentIncarnation())
	flusher := http.NewResponseController(w)
	for {
		_ = flusher.Flush()
		ready, changed, recheckAfter := e.pollEvents(reader, time.Now())
		for _, event := range ready {
			writeEvent(w, event)
		}
		if len(ready) > 0 {
			continue
		}
		timer := time.NewTimer(recheckAfter)
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
		panic(err) // every value of the type can be encoded
	}
	fmt.Fprintf(w, "data: %s\n\n", data)
}

func (e *Engine) currentIncarnation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}
