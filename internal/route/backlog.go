package route

import "time"

const (
	// backlogMinGrowth is by how many tokens a backlog must have grown to be reported ahead of
	// the next regular report: 100 ms of an engine's time.
	backlogMinGrowth = 2000
	// backlogMinInterval is the least time between two such reports.
	backlogMinInterval = 100 * time.Millisecond
)

// BacklogTrigger decides when an endpoint must send its load summary at once: when the prompt
// tokens that its engine still has to compute have doubled, and grown by backlogMinGrowth,
// relative to their minimum since the last such report. The zero value is ready to use.
//
// Between reports each owner estimates an endpoint's load from its own decisions and doesn't see
// those of other owners. After a crash all of them place prefixes anew within half a second. With
// a report each second, two owners that chose the same endpoint would both go on sending there,
// and its callers would wait several times as long as each owner expected.
type BacklogTrigger struct {
	minSinceReport int
	reportedAt     time.Duration
	hasReported    bool
}

// ShouldReport takes the backlog of tokens at now and reports whether to send the summary. It
// counts the report as sent.
func (b *BacklogTrigger) ShouldReport(now time.Duration, tokens int) bool {
	b.minSinceReport = min(b.minSinceReport, tokens)
	if tokens < 2*b.minSinceReport+backlogMinGrowth || b.hasReported && now-b.reportedAt < backlogMinInterval {
		return false
	}
	b.minSinceReport, b.reportedAt, b.hasReported = tokens, now, true
	return true
}
