package route

import "time"

const (
	// backlogStep is how many tokens a backlog must have grown by for word of it to
	// go out ahead of the next report, 100 ms of an engine's time.
	backlogStep = 2000
	// backlogPause is the least time between two such words.
	backlogPause = 100 * time.Millisecond
)

// BacklogTrigger tells when an endpoint has to send its load summary at once: when the
// prompt tokens that its engine is still to compute have doubled, and grown by
// backlogStep, since the least after the last word. Its zero value is an empty one.
//
// Owners follow each endpoint between its reports by their own decisions and don't
// know of one another's. After a crash all of them place prefixes anew within half
// a second. With a report each second, two that chose one endpoint both go on
// sending there, and its callers wait for several times what each was told to
// expect.
type BacklogTrigger struct {
	least int
	told  time.Duration
	any   bool // word went out
}

// ShouldReport takes the backlog of tokens as of now and reports whether to tell it. The
// caller then does.
func (b *BacklogTrigger) ShouldReport(now time.Duration, tokens int) bool {
	b.least = min(b.least, tokens)
	if tokens < 2*b.least+backlogStep || b.any && now-b.told < backlogPause {
		return false
	}
	b.least, b.told, b.any = tokens, now, true
	return true
}
