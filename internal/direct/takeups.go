package direct

import "skylarklead/internal/origin"

// originSource says how an entry found out which software began a stream that is taken up; "" for other
// requests.
type originSource string

const (
	// originKnown: this entry, or a holder that it asked, was told of the attempt that the caller names.
	originKnown originSource = "known"
	// originHoldersLost: none of them knows that attempt; the records decide.
	originHoldersLost originSource = "holders_lost"
	// originUnnamed: the caller names no attempt; the records decide.
	originUnnamed originSource = "unnamed"
	// originOnce: streams of the route aren't taken up.
	originOnce originSource = "once"
)

// Outcomes of take-ups in metrics; those of other requests keep their names.
const (
	takeUpUnknownOrigin = "unknown_origin"
	takeUpWentOn        = "went_on"
)

// countTakeUp counts a take-up by how its origin was found out, and by its outcome.
func (req *request) countTakeUp() {
	if req.originBy == "" {
		return
	}
	outcome := req.outcome
	switch {
	case outcome == outcomeRefused && req.takenUp == origin.Unknown:
		outcome = takeUpUnknownOrigin
	case outcome == outcomeServed:
		outcome = takeUpWentOn
	}
	req.entry.tel.Metrics.Count("take_ups_"+string(req.originBy)+"_"+outcome, 1)
}
