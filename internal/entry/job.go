package entry

import (
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
)

// job is one request and the state of its answer. It is owned by one goroutine.
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
	// parameters are the caller's fields for the engine, as package parameters
	// selects them.
	parameters []byte
	// repeatable requests may run again after an unknown outcome.
	repeatable bool
	// structured answers follow a grammar from their first character on, so an
	// engine can't continue a partial one.
	structured bool
	// streamed answers are sent to the caller in chunks. They can be resumed, so
	// they continue for a grace period after their caller has disconnected.
	streamed bool
	// resumed jobs continue a stream that an earlier request started.
	resumed bool

	// receiver puts the answer's chunks in order across attempts; answer is the
	// text that was delivered to the caller.
	receiver *attempt.Receiver
	answer   []byte
	// exclude lists endpoints that this request failed at, crashed those of them
	// whose engine crashed while running it.
	exclude, crashed []string
	attempts         int
	// priorChunks is how many chunks of the answer come from attempts before the
	// current one. discardedChunks is how many earlier chunks are no longer part of
	// the answer.
	priorChunks, discardedChunks uint64
	// decision is where the request was last sent, and why.
	decision   protocol.Decision
	firstToken time.Duration
}

// remaining is the time until the caller's deadline.
func (j *job) remaining() time.Duration { return time.Until(j.deadline) }

func (j *job) newAsk(failureDomain string) *protocol.Ask {
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

// continuable reports whether another attempt can complete the answer after some
// chunks have come: by continuing it, or by restarting it because the caller has
// none of it.
func (j *job) continuable() bool {
	return j.call == nil && (!j.structured || !j.streamed)
}

// discardAnswer drops the chunks before next, where the answer starts again.
func (j *job) discardAnswer(next uint64) {
	j.answer = nil
	j.discardedChunks = next
}

// remainingTokens is how many tokens another attempt may generate. Each chunk so
// far counts as one token, although it may hold more; 0 means unlimited.
func (j *job) remainingTokens() int {
	if j.maxTokens == 0 {
		return 0
	}
	return max(j.maxTokens-int(j.priorChunks), 1)
}

// maxTokensReached reports whether the caller has all requested tokens. Then only
// the end of the answer is missing, and another attempt would add a token too many.
func (j *job) maxTokensReached() bool {
	return j.call == nil && j.maxTokens > 0 && j.priorChunks >= uint64(j.maxTokens)
}

// newRun returns the message that starts an attempt.
func (j *job) newRun(a attempt.Run) *protocol.Run {
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
		MaxTokens:    j.remainingTokens(),
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
		// The answer continues under the instructions that it was started with. An
		// operator may have replaced them since, and the executor has only the
		// newest: the answer would end under other instructions than it began with.
		run.Messages = promptWithInstructions(j.organisation, j.messages)
	case len(j.organisation.Instructions) > 0:
		run.Instructions = j.organisation.Offset
	}
	return run
}
