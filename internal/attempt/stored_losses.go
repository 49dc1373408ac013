package attempt

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// SoundKey says that a good answer with a key was given some time ago. The fields are encoded as an
// array, in this order.
type SoundKey struct {
	_     struct{} `cbor:",toarray"`
	Key   uint64
	AgeMs uint32
}

// Age is how long ago the good answer was given.
func (k SoundKey) Age() time.Duration { return time.Duration(k.AgeMs) * time.Millisecond }

// StoredLosses knows the keys whose losses this entry has stored, so that it stores the good answers that
// clear them: an entry that starts would read the losses alone. It is pure.
type StoredLosses struct {
	// ended has when the latest run ended that was lost with a key.
	ended *lru.Cache[uint64, time.Duration]
}

// NewStoredLosses returns one for at most size keys.
func NewStoredLosses(size int) *StoredLosses {
	ended, err := lru.New[uint64, time.Duration](size)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &StoredLosses{ended: ended}
}

// Add notes that a report made at a time is stored.
func (s *StoredLosses) Add(report *CrashReport, at time.Duration) {
	if report.GivenUp {
		return
	}
	for _, key := range report.keys().all() {
		s.add(key, at-report.Age())
	}
}

func (s *StoredLosses) add(key uint64, ended time.Duration) {
	if before, known := s.ended.Peek(key); !known || before < ended {
		s.ended.Add(key, ended)
	}
}

// Return notes keys again of which the good answers couldn't be stored.
func (s *StoredLosses) Return(keys []SoundKey, at time.Duration) {
	for _, key := range keys {
		s.add(key.Key, at-key.Age()-time.Millisecond)
	}
}

// TakeCleared removes up to limit keys with a good answer since their losses, and returns those answers.
func (s *StoredLosses) TakeCleared(t *CrashTracker, limit int, now time.Duration) []SoundKey {
	var list []SoundKey
	for _, key := range s.ended.Keys() {
		ended, _ := s.ended.Peek(key)
		answered, known := t.sound.Peek(key)
		if !known || answered <= ended {
			continue
		}
		list = append(list, SoundKey{Key: key, AgeMs: wholeMs(now - answered)})
		s.ended.Remove(key)
		if len(list) == limit {
			break
		}
	}
	return list
}
