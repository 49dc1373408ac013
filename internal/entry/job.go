package entry

import (
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
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
	call         *protocol.Call
	levels       []prefix.Level
	promptTokens int
	maxTokens    int
	priority     int
	fingerprint  uint64
	// parameters are the caller's fields for the engine.
	parameters []byte
	// repeatable requests may be run again after an unknown outcome.
	repeatable bool
	// structured answers have a form from their first character on; they can't be
	// gone on with from the half.
	structured bool
	// streamed ones are given to the caller piece by piece. They can be resumed,
	// and so go on for a grace after their caller has hung up.
	streamed bool
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
	// before is how many pieces of the answer came from attempts before the last
	// one, discarded how many earlier ones aren't part of the answer any more.
	before, discarded uint64
	// decision is where the request was last sent, and why.
	decision   protocol.Decision
	firstToken time.Duration
}

// remaining is how long the caller will still wait.
func (j *job) remaining() time.Duration { return time.Until(j.deadline) }

func (j *job) ask(failureDomain string) *protocol.Ask {
	return &protocol.Ask{
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

// continuable reports whether the answer can be gone on with after its first
// pieces, or begun again because its caller has none of them.
func (j *job) continuable() bool {
	return j.call == nil && (!j.structured || !j.streamed)
}

// beganAgain throws the pieces before next away: the answer starts anew there.
func (j *job) beganAgain(next uint64) {
	j.answer = nil
	j.discarded = next
}

// tokensLeft is how many tokens an answer may still have after the attempts so
// far, each piece of which is a token or more; 0 is no bound.
func (j *job) tokensLeft() int {
	if j.maxTokens == 0 {
		return 0
	}
	return max(j.maxTokens-int(j.before), 1)
}

// full reports whether the caller has all the tokens that were asked for: only
// the end is missing, and another attempt would add a token too many.
func (j *job) full() bool {
	return j.call == nil && j.maxTokens > 0 && j.before >= uint64(j.maxTokens)
}

// run is the message of a new attempt.
func (j *job) run(a attempt.Run) *protocol.Run {
	run := &protocol.Run{
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
		MaxTokens:    j.tokensLeft(),
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
	if a.Target == j.decision.Executor {
		run.Donor = j.decision.Donor
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
