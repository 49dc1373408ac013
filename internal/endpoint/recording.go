package endpoint

import (
	"bytes"

	"skylarklead/internal/attempt"
	"skylarklead/internal/protocol"
)

// maxRecordingBytes bounds the answer that is kept for an idempotency key.
const maxRecordingBytes = 1 << 20

// recording is the answer of an attempt that runs under an idempotency key, kept for
// other attempts with the same key. The stream's mutex guards it.
type recording struct {
	started   bool
	result    attempt.Result
	bytes     int
	followers []*stream
}

// startRecording begins to keep the answer.
func (st *stream) startRecording() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.recording = &recording{}
}

func (r *recording) start(status int, contentType string) {
	if r == nil {
		return
	}
	r.started = true
	r.result.Status, r.result.ContentType = status, contentType
	for _, f := range r.followers {
		f.start(status, contentType)
	}
}

func (r *recording) add(data []byte) {
	if r == nil {
		return
	}
	r.bytes += len(data)
	if r.withinLimit() {
		r.result.Chunks = append(r.result.Chunks, data)
	}
	for _, f := range r.followers {
		_ = f.add(data) // a follower that doesn't read is aborted by its own limits
	}
}

func (r *recording) withinLimit() bool { return r.bytes <= maxRecordingBytes }

// recordedResult returns the whole answer, or nil if it wasn't kept.
func (st *stream) recordedResult(end protocol.End) *attempt.Result {
	st.mu.Lock()
	defer st.mu.Unlock()
	r := st.recording
	if r == nil || !r.withinLimit() || end.Outcome != protocol.Done {
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

// addFollower sends to f everything that st was and will be given, except the end. It
// reports false when the beginning is no longer kept.
func (st *stream) addFollower(f *stream) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	r := st.recording
	if r == nil || !r.withinLimit() {
		return false
	}
	if r.started {
		f.start(r.result.Status, r.result.ContentType)
	}
	for _, data := range r.result.Chunks {
		_ = f.add(data) // as in add
	}
	r.followers = append(r.followers, f)
	return true
}
