package direct

import (
	"context"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/rollout"
)

const (
	// soundStorePause is the pause between records of good answers with keys whose losses are stored.
	soundStorePause = 300 * time.Millisecond
	// maxStoredLosses bounds the keys for which good answers are to be stored.
	maxStoredLosses = 4096
)

// noteStored notes that a crash is written to the entries' topic.
func (e *Entry) noteStored(crash *attempt.CrashReport) {
	e.state.mu.Lock()
	e.state.crashNews.stored.Add(crash, e.clock.now())
	e.state.mu.Unlock()
}

// storeCrashes appends records to the entries' topic. It reports whether the store has accepted them.
func (e *Entry) storeCrashes(records [][]byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if _, err := e.platform.Store.Append(ctx, topicEntries, nil, records); err != nil {
		e.tel.Log.Warn("crash counts not written to the store", "strikes", len(records), "error", err)
		return false
	}
	return true
}

// storeSound stores good answers with keys whose losses this entry has stored, if that is due: entries that start
// later don't know them otherwise.
func (e *Entry) storeSound() {
	s := e.state
	s.mu.Lock()
	now := e.clock.now()
	var list []attempt.SoundKey
	if now-s.crashNews.soundStoredAt >= soundStorePause {
		s.crashNews.soundStoredAt = now
		list = s.crashNews.stored.TakeCleared(s.crashes, rollout.MaxSound, now)
	}
	s.mu.Unlock()
	if len(list) == 0 {
		return
	}
	envelope := rollout.Envelope{Sound: list, AtMs: time.Now().UnixMilli()}
	go func() {
		if !e.storeCrashes([][]byte{envelope.Encode()}) {
			s.mu.Lock()
			s.crashNews.stored.Return(list, now)
			s.mu.Unlock()
		}
	}()
}

// receiveStoredSound clears keys with which good answers had been given when a record was written.
func (e *Entry) receiveStoredSound(list []attempt.SoundKey, writtenAgo time.Duration) {
	e.state.mu.Lock()
	now := e.clock.now()
	for _, sound := range list {
		e.state.crashes.MergeStoredSound(sound.Key, now-writtenAgo-sound.Age())
	}
	e.state.mu.Unlock()
	e.wakeRestricted()
}
