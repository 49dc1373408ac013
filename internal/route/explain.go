package route

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"skylarklead/internal/protocol"
)

// result explains a decision.
func (r *Router) result(chosen int, reason string, q *Query, endpoints []Endpoint) Result {
	c := r.scratch[chosen]
	e := &endpoints[c.endpoint]
	return Result{
		Executor:        e.ID,
		Epoch:           e.Epoch,
		Reason:          reason,
		PredictedCached: c.cached,
		Suspect:         q.Suspect,
		Candidates:      r.explain(chosen, endpoints),
	}
}

// explain lists the chosen candidate if there is one, then the others by score,
// the excluded ones last.
func (r *Router) explain(chosen int, endpoints []Endpoint) []protocol.Candidate {
	rest := r.scratch
	if chosen >= 0 {
		rest[0], rest[chosen] = rest[chosen], rest[0]
		rest = rest[1:]
	}
	slices.SortFunc(rest, compareCandidates)
	list := make([]protocol.Candidate, min(len(r.scratch), MaxCandidates))
	for i := range list {
		c := &r.scratch[i]
		list[i] = protocol.Candidate{
			Endpoint:     endpoints[c.endpoint].ID,
			Excluded:     c.excluded,
			Score:        c.score,
			CachedTokens: c.cached,
			WaitMs:       c.wait,
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

// refuse says that no endpoint can run the request, and why.
func (r *Router) refuse(endpoints []Endpoint) Result {
	why := "the group has no endpoint"
	if len(r.scratch) > 0 {
		why = fmt.Sprintf("none of %d endpoints can run it, the first is %s", len(r.scratch), r.scratch[0].excluded)
	}
	return Result{
		Reason:     "no_endpoint",
		Candidates: r.explain(-1, endpoints),
		Refusal: &protocol.Refusal{
			Code:         protocol.CodeNoEndpoint,
			Message:      why,
			Ran:          protocol.NotRun,
			RetryAfterMs: noEndpointRetryAfter.Milliseconds(),
		},
	}
}

// noEndpointRetryAfter is about the time in which a group finds a new member.
const noEndpointRetryAfter = 2 * time.Second

// refuseGivenUp is the final answer to a request that crashed too many engines.
func refuseGivenUp() Result {
	return Result{
		Reason: "given_up",
		Refusal: &protocol.Refusal{
			Code:    protocol.CodeGivenUp,
			Message: "the request crashed several engines",
			Ran:     protocol.Unknown,
		},
	}
}
