package direct

import (
	"errors"
	"maps"
	"net/http"
)

const (
	// heldPiece is the memory, in bytes, that an answer which is held back takes at a time.
	heldPiece = 16 << 10
	// maxHeldAnswer bounds such an answer, in bytes.
	maxHeldAnswer = maxBufferedAnswer
)

// errHeldTooLong reports an answer that is too long to be held back.
var errHeldTooLong = errors.New("direct: no memory to hold the answer back")

// heldAnswer keeps a stream from its caller until it is complete. Of a stream that a draining entry accepts
// late and can't finish, the caller then has no part, and gets a failure as its complete answer.
type heldAnswer struct {
	w      http.ResponseWriter
	memory *bodyMemory
	// reserved is the memory taken, in bytes.
	reserved int
	header   http.Header
	status   int
	// pieces is what was written, in pieces of heldPiece: a buffer that grows by copying takes more memory than
	// is reserved. Only the last piece isn't full.
	pieces [][]byte
}

// newHeldAnswer returns nil if there is no memory.
func newHeldAnswer(w http.ResponseWriter, memory *bodyMemory) *heldAnswer {
	h := &heldAnswer{w: w, memory: memory, header: maps.Clone(w.Header())}
	if !h.reserve(heldPiece) {
		return nil
	}
	return h
}

// reserve reserves memory for a number of bytes in all.
func (h *heldAnswer) reserve(size int) bool {
	for h.reserved < size {
		if h.reserved+heldPiece > maxHeldAnswer || !h.memory.reserve(heldPiece) {
			return false
		}
		h.reserved += heldPiece
	}
	return true
}

func (h *heldAnswer) Header() http.Header { return h.header }

func (h *heldAnswer) WriteHeader(status int) { h.status = status }

func (h *heldAnswer) Write(p []byte) (int, error) {
	if !h.reserve(h.length() + len(p)) {
		return 0, errHeldTooLong
	}
	written := len(p)
	for len(p) > 0 {
		last := len(h.pieces) - 1
		if last < 0 || len(h.pieces[last]) == heldPiece {
			h.pieces = append(h.pieces, make([]byte, 0, heldPiece))
			last++
		}
		n := min(len(p), heldPiece-len(h.pieces[last]))
		h.pieces[last] = append(h.pieces[last], p[:n]...)
		p = p[n:]
	}
	return written, nil
}

// length is how many bytes were written.
func (h *heldAnswer) length() int {
	n := len(h.pieces)
	if n == 0 {
		return 0
	}
	return (n-1)*heldPiece + len(h.pieces[n-1])
}

// Flush keeps what was written: the answer isn't complete.
func (h *heldAnswer) Flush() {}

// Unwrap lets http.ResponseController reach the connection.
func (h *heldAnswer) Unwrap() http.ResponseWriter { return h.w }

// hold holds the request's answer back from now on. It reports false if there is no memory for that.
func (req *request) hold() bool {
	if req.held == nil {
		req.held = newHeldAnswer(req.w, req.entry.bodyMemory)
		if req.held == nil {
			return false
		}
		req.w = req.held
	}
	return true
}

// releaseHeld sends the answer that was held back, if there is one.
func (req *request) releaseHeld() {
	h := req.held
	if h == nil || h.status == 0 {
		return
	}
	if now := req.entry.clock.now() - req.started; req.eventCount > 0 {
		req.heldFor, req.firstByte = now-req.firstByte, now
		req.entry.drain.held.Add(1)
	}
	maps.Copy(h.w.Header(), h.header)
	req.setIncomplete(true)
	h.w.WriteHeader(h.status)
	for _, piece := range h.pieces {
		if _, err := h.w.Write(piece); err != nil {
			return // the caller has gone
		}
	}
	if http.NewResponseController(h.w).Flush() == nil {
		req.setIncomplete(false)
	}
}

// freeHeld gives back the memory of an answer that was held back.
func (req *request) freeHeld() {
	if req.held != nil {
		req.entry.bodyMemory.giveBack(int64(req.held.reserved))
	}
}

// dropHeld gives up the events that were held back, if any: the caller has no part of the stream and can get
// another answer.
func (req *request) dropHeld() {
	if req.held == nil {
		return
	}
	req.w, req.held.status = req.held.w, 0
	req.firstByte, req.eventCount, req.lastEventID = 0, 0, ""
}
