package entry

import (
	"context"
	"io"
	"log/slog"
	"testing"

	"skylarklead/internal/config"
)

// An Ask must request the candidates at log level debug only: there the log line
// shows them, otherwise nobody reads them.
func TestCandidatesAreAskedForAtDebug(t *testing.T) {
	e, _ := newTestEntry(t, "llm")
	j := &job{request: &request{organisation: &config.Organisation{ID: "foodbank"}}, group: "llm"}
	for level, want := range map[slog.Level]bool{slog.LevelDebug: true, slog.LevelInfo: false} {
		e.tel.Log = slog.New(slog.NewJSONHandler(io.Discard, &slog.HandlerOptions{Level: level}))
		if got := e.newOwnerQuery(context.Background(), j, nil).ask.Explain; got != want {
			t.Errorf("log level %v: Explain is %v", level, got)
		}
	}
}
