package endpoint

import (
	"bytes"

	"skylarklead/internal/attempt"
	"skylarklead/internal/protocol"
)

// maxRecording bounds in bytes the answer that is kept for an idempotency key.
const maxRecording = 1 << 20

// recording is the answer of an attempt that runs under an idempotency key, for
// the same key's other senders. The stream's mutex guards it.
type recording struct {
	begun     bool
	result    attempt.Result
	bytes     int
	followers []*stream
}

// record begins to keep the answer.
func (st *stream) record() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.recording = &recording{}
}

func (r *recording) begin(status int, contentType string) {
	if r == nil {
		return
	}
	r.begun = true
	r.result.Status, r.result.ContentType = status, contentType
	for _, f := range r.followers {
		f.begin(status, contentType)
	}
}

func (r *recording) add(data []byte) {
	if r == nil {
		return
	}
	r.bytes += len(data)
	if r.whole() {
		r.result.Chunks = append(r.result.Chunks, data)
	}
	for _, f := range r.followers {
		_ = f.add(data) // a follower that doesn't read is cut off by itself
	}
}

func (r *recording) whole() bool { return r.bytes <= maxRecording }

// recorded returns the whole answer, or nil if it wasn't kept.
func (st *stream) recorded(end protocol.End) *attempt.Result {
	st.mu.Lock()
	defer st.mu.Unlock()
	r := st.recording
	if r == nil || !r.whole() || end.Outcome != protocol.Done {
		return nil
	}
	result := r.result
	result.Chunks = [][]byte{bytes.Join(r.result.Chunks, nil)}
	if len(result.Chunks[0]) == 0 {
		result.Chunks = nil
	}
	result.End = end
	return &result
}

// follow gives f all that st was and will be given, but the end. It reports
// false when the beginning is no longer kept.
func (st *stream) follow(f *stream) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	r := st.recording
	if r == nil || !r.whole() {
		return false
	}
	if r.begun {
		f.begin(r.result.Status, r.result.ContentType)
	}
	for _, data := range r.result.Chunks {
		_ = f.add(data) // as in add
	}
	r.followers = append(r.followers, f)
	return true
}
