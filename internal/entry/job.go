package entry

import (
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/prefix"
	"skylarklead/internal/wire"
)

// job is one request on its way to an answer. One goroutine owns it.
type job struct {
	*request
	group string
	// model and version are empty for a call to a plain service.
	model, version string
	// anyVersion is set when the caller named no version.
	anyVersion   bool
	messages     []prefix.Message
	call         *wire.Call
	levels       []prefix.Level
	promptTokens int
	maxTokens    int
	priority     int
	fingerprint  uint64
	// parameters are the caller's fields for the engine.
	parameters []byte
	// repeatable requests may be run again after an unknown outcome.
	repeatable bool
	// continuable ones can be gone on with from the half of their answer.
	continuable bool
	// resumable ones go on for a grace after their caller has hung up.
	resumable bool
	// resumed ones were begun by an earlier request.
	resumed bool

	// receiver puts the answer's chunks in order across attempts; answer is the
	// text that the caller has already.
	receiver *attempt.Receiver
	answer   []byte
	// exclude are endpoints that this request failed at, crashed those of them
	// whose engine crashed meanwhile.
	exclude, crashed []string
	attempts         int
	// before is how many pieces came from attempts before the last one.
	before uint64
	// decision is where the request was last sent, and why.
	decision   wire.Decision
	firstToken time.Duration
}

// remaining is how long the caller will still wait.
func (j *job) remaining() time.Duration { return time.Until(j.deadline) }

func (j *job) ask(failureDomain string) *wire.Ask {
	return &wire.Ask{
		Request:       j.id,
		Organisation:  j.organisation.ID,
		Group:         j.group,
		Model:         j.model,
		Version:       j.version,
		Levels:        j.levels,
		PromptTokens:  j.promptTokens,
		MaxTokens:     j.maxTokens,
		Priority:      j.priority,
		Fingerprint:   j.fingerprint,
		DeadlineMs:    max(j.remaining().Milliseconds(), 1),
		Exclude:       j.exclude,
		Crashed:       j.crashed,
		FailureDomain: failureDomain,
		AnyVersion:    j.anyVersion,
	}
}

// tokensLeft is how many tokens an answer may still have after its first pieces,
// each of which is a token or more; 0 is no bound.
func (j *job) tokensLeft(pieces uint64) int {
	if j.maxTokens == 0 {
		return 0
	}
	return max(j.maxTokens-int(pieces), 1)
}

// full reports whether the caller has all the tokens that were asked for: only
// the end is missing, and another attempt would add a token too many.
func (j *job) full(pieces uint64) bool {
	return j.call == nil && j.maxTokens > 0 && pieces >= uint64(j.maxTokens)
}

// run is the message of a new attempt.
func (j *job) run(a attempt.Run) *wire.Run {
	run := &wire.Run{
		Attempt:      a.Attempt,
		Request:      j.id,
		Organisation: j.organisation.ID,
		Group:        j.group,
		Model:        j.model,
		Version:      j.version,
		Messages:     j.messages,
		Call:         j.call,
		Levels:       j.levels,
		PromptTokens: j.promptTokens,
		MaxTokens:    j.tokensLeft(a.FirstSeq),
		Priority:     j.priority,
		Fingerprint:  j.fingerprint,
		DeadlineMs:   max(j.remaining().Milliseconds(), 1),
		FirstSeq:     a.FirstSeq,
		Key:          j.key,
		KeyAgeMs:     j.keyAge.Milliseconds(),
		Window:       window,
		Owner:        j.decision.Owner,
		Suspect:      a.Suspect,
		ConfigOffset: j.state.Offset,
		Redirected:   a.Redirected,
		Parameters:   j.parameters,
	}
	if j.call != nil {
		return run
	}
	run.Partial = string(j.answer)
	switch {
	case a.FirstSeq > 0:
		// The answer goes on under the instructions that it was begun under. An
		// operator may have replaced them since; the executor, which only has the
		// newest, would end by one charter what was begun by another.
		run.Messages = wholePrompt(j.organisation, j.messages)
	case len(j.organisation.Instructions) > 0:
		run.Instructions = j.organisation.Offset
	}
	return run
}
