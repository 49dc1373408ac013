// Package telemetry provides a daemon's logs and metrics: JSON log lines, one for each
// routing or placement decision, and metrics on a local HTTP page.
package telemetry

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"

	"skylarklead/internal/protocol"
	"skylarklead/internal/settings"
)

// Telemetry has the logger, the decisions and the metrics of a process of any role.
type Telemetry struct {
	Log       *slog.Logger
	Decisions *Decisions
	Metrics   *Metrics
	// Epoch identifies this run of the process; it is drawn at random at the start.
	Epoch protocol.Epoch
}

// New returns the telemetry of one process, which writes log lines to w.
func New(s *settings.Settings, w io.Writer) (*Telemetry, error) {
	epoch := protocol.Epoch(rand.Uint64())
	log, err := NewLogger(s, epoch, w)
	if err != nil {
		return nil, err
	}
	return &Telemetry{
		Log:       log,
		Decisions: NewDecisions(log, s.ID),
		Metrics:   NewMetrics(),
		Epoch:     epoch,
	}, nil
}

// NewLogger returns a logger of JSON lines with the instance's attributes. An
// empty level in the settings means "info".
func NewLogger(s *settings.Settings, epoch protocol.Epoch, w io.Writer) (*slog.Logger, error) {
	var level slog.Level
	if s.LogLevel != "" {
		if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
			return nil, fmt.Errorf("telemetry: log level: %w", err)
		}
	}
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With(
		"instance", s.ID,
		"role", s.Role,
		"epoch", FormatEpoch(epoch),
	), nil
}

// FormatEpoch returns an epoch as 16 hex digits, the format of the logs.
func FormatEpoch(epoch protocol.Epoch) string { return fmt.Sprintf("%016x", uint64(epoch)) }
