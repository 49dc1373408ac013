package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncBufferBytes bounds the log bytes that wait to be written: enough for some
	// seconds of one line per request at the request rate of an entry.
	asyncBufferBytes = 256 << 10
	// asyncFlushDelay is how long a line may wait to be written together with others.
	// One write for many lines costs a fraction of the processor time.
	asyncFlushDelay = 100 * time.Millisecond
)

// AsyncWriter buffers log lines and writes them in the background, so that Write never
// blocks. Lines that don't fit the buffer are dropped and counted: otherwise a stalled
// reader of the log would block every request at its next line. Write is safe for
// concurrent use.
type AsyncWriter struct {
	mu      sync.Mutex
	pending []byte
	// spare is the buffer of the previous write, for reuse. Only run uses it.
	spare   []byte
	wake    chan struct{}
	dropped atomic.Int64
	// reported is the number of dropped lines that the log mentions. Only run uses it.
	reported int64
	done     chan struct{}
	closing  chan struct{}
}

// NewAsyncWriter returns a writer of lines to w. The caller must Close it.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		closing: make(chan struct{}),
	}
	go a.run(w)
	return a
}

// Write implements io.Writer with one line per call. It always succeeds, also if the
// line is dropped.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	if len(a.pending)+len(line) > asyncBufferBytes {
		a.mu.Unlock()
		a.dropped.Add(1)
		return len(line), nil
	}
	first := len(a.pending) == 0
	a.pending = append(a.pending, line...)
	a.mu.Unlock()
	if first {
		select {
		case a.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped because the buffer was full.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes the pending lines and stops the writer. It must be called once.
func (a *AsyncWriter) Close() {
	close(a.closing)
	<-a.done
}

func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	for {
		select {
		case <-a.wake:
		case <-a.closing:
			a.flush(w)
			return
		}
		select {
		case <-time.After(asyncFlushDelay):
		case <-a.closing:
		}
		a.flush(w)
	}
}

func (a *AsyncWriter) flush(w io.Writer) {
	a.mu.Lock()
	lines := a.pending
	a.pending = a.spare[:0]
	a.mu.Unlock()
	lines = a.appendDropNotice(lines)
	if len(lines) > 0 {
		// A failure to write the log can't be reported anywhere.
		_, _ = w.Write(lines)
	}
	a.spare = lines
}

// appendDropNotice appends a line with the number of lines dropped since the last
// notice. Without it, a request whose line is missing looks as if this process had
// never received it.
func (a *AsyncWriter) appendDropNotice(lines []byte) []byte {
	dropped := a.dropped.Load()
	if dropped == a.reported {
		return lines
	}
	lines = fmt.Appendf(lines, `{"time":%q,"level":"WARN","msg":"log lines dropped","lines":%d,"in_all":%d}`+"\n",
		time.Now().UTC().Format(time.RFC3339Nano), dropped-a.reported, dropped)
	a.reported = dropped
	return lines
}
