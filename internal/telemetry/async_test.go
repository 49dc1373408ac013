package telemetry

import (
	"bytes"
	"encoding/json"
	"sync"
	"testing"

	"skylarklead/test/kit"
)

// stalled is a log whose reader takes nothing until it is let go.
type stalled struct {
	release chan struct{}
	begun   chan struct{}
	once    sync.Once
	mu      sync.Mutex
	out     bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	s.once.Do(func() { close(s.begun) })
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// Symptom: on-call finds no line of a request that a caller complains of, and takes it
// that the request never came.
// Sequence: the log's reader stands still; lines fill the buffer and the next ones are
// dropped; the reader goes on.
// Cause: only a counter told of the lines that are missing.
func TestDroppedLinesAreTold(t *testing.T) {
	log := &stalled{release: make(chan struct{}), begun: make(chan struct{})}
	w := NewAsyncWriter(log)
	line := append(bytes.Repeat([]byte("x"), 1023), '\n')
	kit.Must(w.Write(line))(t)
	<-log.begun
	const beyond = 5
	for range asyncBuffer/len(line) + beyond {
		kit.Must(w.Write(line))(t)
	}
	if w.Dropped() != beyond {
		t.Fatalf("%d lines dropped, want %d", w.Dropped(), beyond)
	}
	close(log.release)
	w.Close()
	lines := bytes.Split(bytes.TrimSpace(log.out.Bytes()), []byte("\n"))
	var told struct {
		Msg   string
		Lines int
	}
	kit.OK(t, json.Unmarshal(lines[len(lines)-1], &told))
	if told.Msg != "log lines dropped" || told.Lines != beyond {
		t.Errorf("the log's last line: %s", lines[len(lines)-1])
	}
}
