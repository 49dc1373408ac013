package measure

import (
	"bytes"
	"encoding/json"
	"os"
	"time"
)

// logLine is a line of a daemon's log, as far as it is read here.
type logLine struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Offset  uint64    `json:"offset"`
	Source  string    `json:"source"`
}

// logged returns the first line of a process's log since a moment that matches.
// Times in the log are of this machine's clock, so that they tell when something
// happened without a question that would disturb it.
func (p *process) logged(since time.Time, match func(logLine) bool) (logLine, bool) {
	data, err := os.ReadFile(p.log)
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

// inForce matches the line that tells of a configuration at or after offset.
func inForce(offset uint64) func(logLine) bool {
	return func(l logLine) bool { return l.Message == "configuration in force" && l.Offset >= offset }
}

// serving matches the line that tells that an entry takes callers.
func serving(l logLine) bool { return l.Message == "serving" }
