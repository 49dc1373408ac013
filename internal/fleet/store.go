package fleet

import (
	"context"
	"errors"
	"time"
)

// Record is one record of a topic of the store.
type Record struct {
	Offset uint64 // a position
	// Key names what a record of a keyed topic is about, "" in other topics.
	Key string
	// Value is nil where a record says that its key is gone.
	Value []byte
}

// Page is the answer to a read of a topic.
type Page struct {
	// Records are in order of offset, without gaps.
	Records []Record
	// Next is the position to go on from, End the topic's, First the oldest kept.
	Next, End, First uint64
}

// Errors of a Store. ErrStoreUnknown says that an append may have taken effect,
// ErrStoreRefused that it had none; ErrStoreConflict is a conditional append that met
// another end; ErrStoreExpired a read of records that are gone. ErrStoreRestored is a read from a
// position of an earlier era: what was read before may be gone, and written again.
var (
	ErrStoreUnavailable = errors.New("store: unavailable")
	ErrStoreUnknown     = errors.New("store: append may have taken effect")
	ErrStoreRefused     = errors.New("store: append had no effect")
	ErrStoreConflict    = errors.New("store: the topic ends elsewhere")
	ErrStoreExpired     = errors.New("store: records are gone")
	ErrStoreRestored    = errors.New("store: back from an older copy")
)

// Store is the platform's store of topics: what must last lies there.
type Store interface {
	// Newest returns the newest record of each key of a keyed topic, and the offset
	// to go on from.
	Newest(ctx context.Context, topic string) (Page, error)
	// Read returns the records from a position on; with none there it waits for one. Position
	// 0 is the beginning of whatever era the store is in.
	Read(ctx context.Context, topic string, from uint64, wait time.Duration) (Page, error)
	// Put writes the newest record of a key of a keyed topic; without a value the key
	// is dropped.
	Put(ctx context.Context, topic, key string, value []byte) error
	// Append puts records on a topic, all or none, and returns the first one's
	// offset. With at set it has an effect only if the topic ends there.
	Append(ctx context.Context, topic string, at *uint64, records [][]byte) (uint64, error)
}
