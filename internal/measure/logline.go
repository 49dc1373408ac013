package measure

import (
	"bytes"
	"encoding/json"
	"os"
	"time"
)

// logLine has the fields of a daemon's log line that this package uses.
type logLine struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Offset  uint64    `json:"offset"`
	Source  string    `json:"source"`
}

// findLogLine returns the first matching line of a process's log since a time.
// Log times are of this machine's clock, so an event can be timed without polling
// the process, which would disturb it.
func (p *process) findLogLine(since time.Time, match func(logLine) bool) (logLine, bool) {
	data, err := os.ReadFile(p.logFile)
	if err != nil {
		return logLine{}, false
	}
	for text := range bytes.Lines(data) {
		var line logLine
		if json.Unmarshal(text, &line) == nil && !line.Time.Before(since) && match(line) {
			return line, true
		}
	}
	return logLine{}, false
}

// configInForce matches the line logged when a configuration at or after offset is
// in force.
func configInForce(offset uint64) func(logLine) bool {
	return func(l logLine) bool { return l.Message == "configuration in force" && l.Offset >= offset }
}

// isServing matches the line logged when an entry begins to accept requests.
func isServing(l logLine) bool { return l.Message == "serving" }
