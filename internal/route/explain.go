package route

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"skylarklead/internal/protocol"
)

// result builds the Result of a decision.
func (r *Router) result(chosen int, reason string, q *Query, endpoints []Endpoint) Result {
	c := r.candidates[chosen]
	e := &endpoints[c.endpoint]
	return Result{
		Executor:        e.ID,
		Epoch:           e.Epoch,
		Reason:          reason,
		PredictedCached: c.cachedTokens,
		Suspect:         q.Suspect,
		Candidates:      r.explain(chosen, endpoints),
	}
}

// explain lists the chosen candidate if there is one, then the others by score, excluded ones
// last.
func (r *Router) explain(chosen int, endpoints []Endpoint) []protocol.Candidate {
	others := r.candidates
	if chosen >= 0 {
		others[0], others[chosen] = others[chosen], others[0]
		others = others[1:]
	}
	slices.SortFunc(others, compareCandidates)
	list := make([]protocol.Candidate, min(len(r.candidates), MaxCandidates))
	for i := range list {
		c := &r.candidates[i]
		list[i] = protocol.Candidate{
			Endpoint:     endpoints[c.endpoint].ID,
			Excluded:     c.excluded,
			Score:        c.score,
			CachedTokens: c.cachedTokens,
			WaitMs:       c.waitMs,
		}
	}
	return list
}

func compareCandidates(a, b candidate) int {
	if (a.excluded == "") != (b.excluded == "") {
		if a.excluded == "" {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(a.score, b.score); c != 0 {
		return c
	}
	return cmp.Compare(a.endpoint, b.endpoint)
}

// refuse returns the refusal for a request that no endpoint can run.
func (r *Router) refuse(endpoints []Endpoint) Result {
	message := "the group has no endpoints"
	if len(r.candidates) > 0 {
		message = fmt.Sprintf("none of the group's %d endpoints can run the request; the first was excluded as %s", len(r.candidates), r.candidates[0].excluded)
	}
	return Result{
		Reason:     "no_endpoint",
		Candidates: r.explain(-1, endpoints),
		Refusal: &protocol.Refusal{
			Code:         protocol.CodeNoEndpoint,
			Message:      message,
			Ran:          protocol.NotRun,
			RetryAfterMs: noEndpointRetryAfter.Milliseconds(),
		},
	}
}

// noEndpointRetryAfter is about the time in which a group finds a new member.
const noEndpointRetryAfter = 2 * time.Second

// refusePoison is the final answer to a request that has crashed too many engines.
func refusePoison() Result {
	return Result{
		Reason: "given_up",
		Refusal: &protocol.Refusal{
			Code:    protocol.CodeGivenUp,
			Message: "the request crashed several engines",
			Ran:     protocol.Unknown,
		},
	}
}
