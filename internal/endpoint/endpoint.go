// Package endpoint is the role of the one process beside each engine or plain
// service. It wires the decision packages to sessions, back end and platform
// and decides nothing itself.
package endpoint

import (
	"context"
	"errors"

	"skylarklead/internal/settings"
	"skylarklead/internal/telemetry"
)

// Run serves peers until ctx ends and the last stream has.
func Run(_ context.Context, _ *settings.Settings, _ *telemetry.Telemetry) error {
	return errors.New("endpoint: not built yet")
}
