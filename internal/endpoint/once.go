package endpoint

import (
	"context"
	"errors"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/member"
	"skylarklead/internal/platform"
	"skylarklead/internal/protocol"
)

const (
	// appendTimeout bounds an append to the log.
	appendTimeout = 3 * time.Second
	// releaseTimeout bounds how long a stopping process waits for its claims to be
	// released.
	releaseTimeout = 3 * time.Second
)

// claims connects idempotency keys with the log stream claims.GROUP.
type claims struct {
	once   *attempt.Once
	reader *logReader
	timer  *time.Timer
}

func (e *Endpoint) newClaims() claims {
	params := attempt.DefaultOnceParams
	if retention := e.settings.Platform.Retention.D(); retention > 0 {
		params.Retention = retention
	}
	c := claims{once: attempt.NewOnce(e.settings.ID, e.tel.Epoch, params)}
	c.timer = time.AfterFunc(time.Hour, func() {
		e.loop.postUnbounded(func() { e.performClaims(e.claims.once.Tick(e.now())) })
	})
	c.reader = &logReader{
		logger:    e.log,
		log:       e.platformLog,
		stream:    "claims." + e.settings.Endpoint.Group,
		loop:      e.loop,
		now:       e.now,
		interrupt: make(chan struct{}, 1),
		onRecord: func(offset uint64, data []byte) {
			e.performClaims(e.claims.once.ApplyRecord(offset, data, e.now()))
		},
		onCaughtUp: func(started time.Duration) {
			e.performClaims(e.claims.once.CaughtUp(started, e.now()))
		},
		onGap: func(oldest uint64) {
			e.performClaims(e.claims.once.Truncated(oldest, e.now()))
		},
		onOldest: func(uint64) {},
	}
	return c
}

// claim requests a claim on the idempotency key of an attempt, under which it may run.
func (e *Endpoint) claim(a *execution) {
	key, ok := keyDigest(a.run.Key)
	if !ok {
		e.end(a, protocol.End{Outcome: protocol.NotRun, Code: protocol.CodeBadRequest, Message: "malformed key digest"})
		return
	}
	e.performClaims(e.claims.once.Run(attempt.KeyedRun{
		Attempt:       a.id,
		Key:           key,
		Fingerprint:   a.run.Fingerprint,
		Age:           time.Duration(a.run.KeyAgeMs) * time.Millisecond,
		CallerTimeout: time.Duration(a.run.DeadlineMs) * time.Millisecond,
		Redirected:    a.run.Redirected,
	}, e.now()))
}

func keyDigest(key []byte) (d attempt.KeyDigest, ok bool) {
	return d, copy(d[:], key) == len(d)
}

// performClaims carries out the actions of the claims.
func (e *Endpoint) performClaims(actions []attempt.OnceAction) {
	for _, action := range actions {
		switch action := action.(type) {
		case attempt.AppendClaims:
			go e.appendClaims(action)
		case attempt.Execute:
			e.execute(action)
		case attempt.Attach:
			e.attach(action)
		case attempt.Replay:
			e.replay(action)
		case attempt.Answer:
			e.answer(action)
		}
	}
	e.claims.timer.Reset(e.claims.once.NextTick(e.now()) - e.now())
}

func (e *Endpoint) appendClaims(action attempt.AppendClaims) {
	ctx, stop := context.WithTimeout(context.Background(), appendTimeout)
	defer stop()
	_, err := e.platformLog.Append(ctx, e.claims.reader.stream, [][]byte{action.Data})
	e.loop.postUnbounded(func() { e.performClaims(e.onClaimsAppended(action.Batch, err)) })
}

func (e *Endpoint) onClaimsAppended(batch uint64, err error) []attempt.OnceAction {
	now := e.now()
	var limited *platform.RateLimitedError
	switch {
	case err == nil:
		return e.claims.once.Appended(batch, now)
	case errors.As(err, &limited):
		return e.claims.once.AppendFailed(batch, limited.RetryAfter, now)
	case errors.Is(err, platform.ErrNotAppended):
		e.log.Warn("claims not appended", "error", err)
		return e.claims.once.AppendFailed(batch, 0, now)
	}
	e.log.Warn("append of claims unconfirmed", "error", err)
	e.claims.reader.interruptWait()
	return e.claims.once.AppendUnknown(batch, now)
}

// execute runs the attempt whose claim has won.
func (e *Endpoint) execute(action attempt.Execute) {
	a := e.executions[action.Attempt]
	if a == nil || a.phase != phaseWaiting {
		e.performClaims(e.claims.once.Finished(action.Key, protocol.NotRun, nil, e.now()))
		return
	}
	a.claimed = true
	a.stream.startRecording()
	e.awaitConfig(a)
}

// settleClaim reports to the claims how an attempt that they let run has ended.
func (e *Endpoint) settleClaim(a *execution, end protocol.End) {
	key, _ := keyDigest(a.run.Key)
	result := a.stream.recordedResult(end)
	e.performClaims(e.claims.once.Finished(key, end.Outcome, result, e.now()))
}

// attach gives an attempt the answer of the one that runs under its key.
func (e *Endpoint) attach(action attempt.Attach) {
	a, to := e.executions[action.Attempt], e.executions[action.To]
	if a == nil || a.phase != phaseWaiting {
		return
	}
	if to == nil || !to.stream.addFollower(a.stream) {
		e.end(a, protocol.End{Outcome: protocol.Unknown, Code: protocol.CodeUnknownOutcome, Message: "a request with this key is already running"})
		return
	}
	a.phase = phaseFollowing
	to.followers = append(to.followers, a)
}

// replay gives an attempt the stored answer of its key.
func (e *Endpoint) replay(action attempt.Replay) {
	a := e.executions[action.Attempt]
	if a == nil || a.phase != phaseWaiting {
		return
	}
	a.stream.start(action.Result.Status, action.Result.ContentType)
	for _, chunk := range action.Result.Chunks {
		if err := a.stream.add(chunk); err != nil {
			break // the end that follows has the number of chunks
		}
	}
	e.end(a, action.Result.End)
}

// answer ends an attempt that isn't run here.
func (e *Endpoint) answer(action attempt.Answer) {
	a := e.executions[action.Attempt]
	if a == nil || a.phase != phaseWaiting {
		return
	}
	end := action.End
	if end.Redirect != nil {
		end.Redirect = e.resolveProcess(end.Redirect)
	}
	if end.Outcome == protocol.Unknown && end.Redirect == nil && end.Code == protocol.CodeNone {
		end.Code = protocol.CodeUnknownOutcome
	}
	e.end(a, end)
}

// resolveProcess completes the address of a process, or returns nil if that epoch
// isn't known to be alive: only the process that claimed a key can answer for it.
func (e *Endpoint) resolveProcess(t *protocol.Target) *protocol.Target {
	m, ok := e.group.view.Get(t.Endpoint, e.now())
	if !ok || m.Epoch != t.Epoch || m.Address == "" {
		return nil
	}
	return &protocol.Target{Endpoint: t.Endpoint, Address: m.Address, Epoch: t.Epoch}
}

// updateClaims informs the claims of the group: which epochs are alive, and whether
// this process is the one that carries old claims forward.
func (e *Endpoint) updateClaims() {
	once := e.claims.once
	for _, m := range e.group.view.Members(e.now()) {
		switch m.State {
		case member.Alive, member.Leaving:
			if m.Epoch != 0 {
				once.SetPeerEpoch(m.ID, m.Epoch)
			}
		case member.Suspect, member.Dead:
			once.SetPeerDown(m.ID)
		}
	}
	once.SetCarryForward(!e.drain.leaving && e.usableIDs()[0] == e.settings.ID)
}
