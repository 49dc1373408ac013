package fleet

import (
	"context"
	"errors"
	"time"
)

// Record is one record of a topic of the store.
type Record struct {
	// Offset is a position.
	Offset uint64
	// Key is what a record of a keyed topic is about, "" in other topics.
	Key string
	// Value is nil if the record says that its key was deleted.
	Value []byte
}

// Page is the answer to a read of a topic.
type Page struct {
	// Records are in order of offset, without gaps.
	Records []Record
	// Next is the position to continue from, End the end of the topic, First the oldest
	// retained record.
	Next, End, First uint64
}

// Errors of a Store.
// ErrStoreUnknown: an append may have taken effect.
// ErrStoreRefused: an append had no effect.
// ErrStoreConflict: the topic didn't end where a conditional append expected.
// ErrStoreExpired: the records to read were removed by retention.
// ErrStoreRestored: the position to read from is of an earlier era. What was read before may
// be gone, and its offsets may have been given to other records.
var (
	ErrStoreUnavailable = errors.New("store: unavailable")
	ErrStoreUnknown     = errors.New("store: append may have taken effect")
	ErrStoreRefused     = errors.New("store: append had no effect")
	ErrStoreConflict    = errors.New("store: the topic does not end at the expected position")
	ErrStoreExpired     = errors.New("store: records were removed by retention")
	ErrStoreRestored    = errors.New("store: restored from an older copy")
)

// Store is the platform's store of topics, which has all state that must persist.
type Store interface {
	// Newest returns the newest record of each key of a keyed topic, and the position to
	// continue from.
	Newest(ctx context.Context, topic string) (Page, error)
	// Read returns the records from a position on; if there are none it waits for one. Position
	// 0 is the beginning of the store's current era.
	Read(ctx context.Context, topic string, from uint64, wait time.Duration) (Page, error)
	// Put writes the newest record of a key of a keyed topic; a nil value deletes the key.
	Put(ctx context.Context, topic, key string, value []byte) error
	// PutAll writes the newest records of several keys of a keyed topic, all or none, and returns the
	// position of the first one. If at is set, it has an effect only if the topic ends there.
	PutAll(ctx context.Context, topic string, at *uint64, records []Record) (uint64, error)
	// Append appends records to a topic, all or none, and returns the position of the first
	// one. If at is set, it has an effect only if the topic ends there.
	Append(ctx context.Context, topic string, at *uint64, records [][]byte) (uint64, error)
}
