package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncBuffer bounds the log bytes that wait to be written: some seconds of a
	// line for each request at the rates an entry serves.
	asyncBuffer = 256 << 10
	// asyncFlush is how long a line may wait for others to be written with it. One
	// write for many lines costs a fraction of the processor time.
	asyncFlush = 100 * time.Millisecond
)

// AsyncWriter takes log lines without ever blocking on where they go. What doesn't
// fit its buffer is dropped and counted: a reader of the log that stands still
// would otherwise stop every request at its next line.
type AsyncWriter struct {
	mu      sync.Mutex
	pending []byte
	spare   []byte
	wake    chan struct{}
	dropped atomic.Int64
	// told is how many dropped lines the log has been told of. Only run uses it.
	told    int64
	done    chan struct{}
	closing chan struct{}
}

// NewAsyncWriter starts writing lines to w. Close ends it.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		closing: make(chan struct{}),
	}
	go a.run(w)
	return a
}

// Write implements io.Writer; it always succeeds.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	if len(a.pending)+len(line) > asyncBuffer {
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

// Dropped is how many lines found no room.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes what is pending and ends the writer.
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
		case <-time.After(asyncFlush):
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
	lines = a.tell(lines)
	if len(lines) > 0 {
		// There is nowhere to report that the log itself can't be written.
		_, _ = w.Write(lines)
	}
	a.spare = lines
}

// tell adds a line about those that were dropped since the last one. Without it a
// request whose line is missing looks as if it had never come to this process.
func (a *AsyncWriter) tell(lines []byte) []byte {
	dropped := a.dropped.Load()
	if dropped == a.told {
		return lines
	}
	lines = fmt.Appendf(lines, `{"time":%q,"level":"WARN","msg":"log lines dropped","lines":%d,"in_all":%d}`+"\n",
		time.Now().UTC().Format(time.RFC3339Nano), dropped-a.told, dropped)
	a.told = dropped
	return lines
}
