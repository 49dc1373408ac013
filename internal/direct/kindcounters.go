package direct

import (
	"skylarklead/internal/peermessage"
	"skylarklead/internal/telemetry"
)

// kindCounters has the names of the counters of messages, by kind.
type kindCounters []string

func newKindCounters(prefix string) kindCounters {
	var names kindCounters
	for _, kind := range peermessage.Kinds() {
		names = append(names, prefix+kind.String())
	}
	return names
}

func (c kindCounters) count(tel *telemetry.Telemetry, kind peermessage.Kind, n int) {
	tel.Metrics.Count(c[kind], int64(n))
}
