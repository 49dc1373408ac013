package platform_test

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"skylarklead/internal/platform"
)

// Guards against followers that read in a tight loop, which costs a core on both sides:
// a log that doesn't hold long polls returns each read at once without records.
func TestPacerSlowsReadsOfALogThatDoesNotWait(t *testing.T) {
	var p platform.Pacer
	began := time.Now()
	for range 3 {
		p.AfterSuccess(t.Context(), 0, 10*time.Second, time.Millisecond)
	}
	if took := time.Since(began); took < 300*time.Millisecond {
		t.Errorf("three empty reads in %v, want a pause of 100 ms after each", took)
	}
}

func TestPacerTellsAnOutageOnce(t *testing.T) {
	var lines bytes.Buffer
	p := platform.Pacer{Logger: slog.New(slog.NewTextHandler(&lines, nil)), Stream: "config"}
	ended, cancel := context.WithCancel(t.Context())
	cancel() // the pacer doesn't wait
	for range 2 {
		for range 3 {
			p.AfterFailure(ended, errors.New("out"))
		}
		for range 3 {
			p.AfterSuccess(ended, 0, 0, 0)
		}
	}
	text := lines.String()
	if strings.Count(text, "log not read") != 2 || strings.Count(text, "log reached") != 2 || !strings.Contains(text, "stream=config") {
		t.Errorf("log lines of two outages:\n%s", text)
	}
}
