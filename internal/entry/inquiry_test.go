package entry

import (
	"context"
	"io"
	"log/slog"
	"testing"

	"skylarklead/internal/config"
)

// Symptom: `skylarkctl explain` or a debug line lacks the candidates, or every Ask
// carries them though nobody looks.
// Sequence: a question is asked at either log level.
// Cause: a question that doesn't follow the log level.
func TestCandidatesAreAskedForAtDebug(t *testing.T) {
	e, _ := newTestEntry(t, "llm")
	j := &job{request: &request{organisation: &config.Organisation{ID: "foodbank"}}, group: "llm"}
	for level, want := range map[slog.Level]bool{slog.LevelDebug: true, slog.LevelInfo: false} {
		e.tel.Log = slog.New(slog.NewJSONHandler(io.Discard, &slog.HandlerOptions{Level: level}))
		if got := e.newInquiry(context.Background(), j, nil).question.Explain; got != want {
			t.Errorf("at %v: asked for %v", level, got)
		}
	}
}
