package telemetry

import (
	"bytes"
	"encoding/json"
	"sync"
	"testing"

	"skylarklead/test/kit"
)

// blockedWriter is a log that blocks writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	started chan struct{}
	once    sync.Once
	mu      sync.Mutex
	out     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	s.once.Do(func() { close(s.started) })
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// The log's reader stalls, so that lines fill the buffer and the next ones are dropped,
// then resumes. The log must mention the dropped lines; with only a counter for them, an
// operator who finds no line of a request concludes that it was never received.
func TestDroppedLinesAreTold(t *testing.T) {
	log := &blockedWriter{release: make(chan struct{}), started: make(chan struct{})}
	w := NewAsyncWriter(log)
	line := append(bytes.Repeat([]byte("x"), 1023), '\n')
	kit.Must(w.Write(line))(t)
	<-log.started
	const beyond = 5
	for range asyncBufferBytes/len(line) + beyond {
		kit.Must(w.Write(line))(t)
	}
	if w.Dropped() != beyond {
		t.Fatalf("%d lines dropped, want %d", w.Dropped(), beyond)
	}
	close(log.release)
	w.Close()
	lines := bytes.Split(bytes.TrimSpace(log.out.Bytes()), []byte("\n"))
	var notice struct {
		Msg   string
		Lines int
	}
	kit.OK(t, json.Unmarshal(lines[len(lines)-1], &notice))
	if notice.Msg != "log lines dropped" || notice.Lines != beyond {
		t.Errorf("the log's last line: %s", lines[len(lines)-1])
	}
}
