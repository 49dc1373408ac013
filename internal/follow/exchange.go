package follow

import (
	"context"
	"fmt"
	"sync"
	"time"

	"skylarklead/internal/config"
	"skylarklead/internal/protocol"
)

// Fetch answers a peer's ConfigFetch. The answer is empty if the peer is as up to date as this
// process.
func (f *Follower) Fetch(m *protocol.ConfigFetch) (*protocol.ConfigState, error) {
	if m.Part > 0 {
		return f.answers.part(m)
	}
	answer, err := f.firstPart(m.After)
	if err != nil {
		return nil, err
	}
	answer.SnapshotTTLMs = f.snapshots.freshFor(f.now()).Milliseconds()
	return answer, nil
}

func (f *Follower) firstPart(after uint64) (*protocol.ConfigState, error) {
	s := f.State()
	if s == nil || s.Offset <= after {
		return &protocol.ConfigState{}, nil
	}
	a, err := f.answers.since(s, after)
	if err != nil {
		return nil, err
	}
	return a.part(0)
}

// answer is an encoded state, or its difference from the one at offset after.
type answer struct {
	offset, after uint64
	data          []byte
}

func (a *answer) parts() int { return (len(a.data) + partBytes - 1) / partBytes }

func (a *answer) part(i int) (*protocol.ConfigState, error) {
	parts := a.parts()
	if parts > maxParts {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(a.data))
	}
	if i < 0 || i >= parts {
		return nil, fmt.Errorf("follow: part %d requested of a state of %d parts", i, parts)
	}
	data := a.data[i*partBytes : min((i+1)*partBytes, len(a.data))]
	return &protocol.ConfigState{Offset: a.offset, State: data, Parts: parts}, nil
}

// maxCachedAnswers is enough for peers that are behind by different offsets to get all parts of
// their answers.
const maxCachedAnswers = 4

// answerCache keeps the last answers. After a restart of many processes, several of them ask
// each peer for the same complete state, in parts.
type answerCache struct {
	mu      sync.Mutex
	answers []*answer
}

func (c *answerCache) since(s *config.State, after uint64) (*answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.find(s.Offset, after); a != nil {
		return a, nil
	}
	data, err := config.EncodeSince(s, after)
	if err != nil {
		return nil, err
	}
	a := &answer{offset: s.Offset, after: after, data: data}
	c.answers = append(c.answers, a)
	if len(c.answers) > maxCachedAnswers {
		c.answers = c.answers[1:]
	}
	return a, nil
}

func (c *answerCache) find(offset, after uint64) *answer {
	for _, a := range c.answers {
		if a.offset == offset && a.after == after {
			return a
		}
	}
	return nil
}

func (c *answerCache) part(m *protocol.ConfigFetch) (*protocol.ConfigState, error) {
	c.mu.Lock()
	a := c.find(m.Offset, m.After)
	c.mu.Unlock()
	if a == nil {
		return nil, ErrStateChanged
	}
	return a.part(m.Part)
}

// fetchFrom fetches from one peer and merges the result.
func (f *Follower) fetchFrom(ctx context.Context, fetch FetchFunc) error {
	data, err := FetchState(ctx, f.withSnapshotAge(fetch), f.offset())
	if err != nil || len(data) == 0 {
		return err
	}
	return f.Merge(data, SourcePeer)
}

// withSnapshotAge wraps a FetchFunc so that each answer updates the time until the newest
// snapshot becomes too old.
func (f *Follower) withSnapshotAge(fetch FetchFunc) FetchFunc {
	return func(ctx context.Context, m *protocol.ConfigFetch) (*protocol.ConfigState, error) {
		answer, err := fetch(ctx, m)
		if err == nil {
			f.snapshots.peerReported(time.Duration(answer.SnapshotTTLMs)*time.Millisecond, f.now())
		}
		return answer, err
	}
}

// FetchState returns what changed in a peer's state after an offset, encoded by package config.
// It is empty if the peer has nothing newer.
func FetchState(ctx context.Context, fetch FetchFunc, after uint64) ([]byte, error) {
	first, err := fetchPart(ctx, fetch, &protocol.ConfigFetch{After: after})
	if err != nil {
		return nil, err
	}
	if first.Parts > maxParts {
		return nil, fmt.Errorf("%w: %d parts", ErrTooLarge, first.Parts)
	}
	data := append([]byte(nil), first.State...)
	for i := 1; i < first.Parts; i++ {
		next, err := fetchPart(ctx, fetch, &protocol.ConfigFetch{After: after, Part: i, Offset: first.Offset})
		if err != nil {
			return nil, err
		}
		if next.Offset != first.Offset || next.Parts != first.Parts {
			return nil, ErrStateChanged
		}
		data = append(data, next.State...)
	}
	return data, nil
}

func fetchPart(ctx context.Context, fetch FetchFunc, m *protocol.ConfigFetch) (*protocol.ConfigState, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return fetch(ctx, m)
}
