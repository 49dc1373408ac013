// Package origin knows which software version began which stream. A caller may take a stream up at any
// entry, and the stream may go on only at replicas of that version. Each entry announces the streams
// that it begins to a few entries, chosen by the stream, and an entry that doesn't know a stream asks
// the same ones. The package is pure: it does no I/O, and times are passed in.
package origin

import (
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"skylarklead/internal/rendezvous"
)

const (
	// HolderCount is how many entries know a stream beside the one that began it, so that it is known
	// after most of them were lost.
	HolderCount = 3
	// DefaultLifetime is how long after its beginning a stream is known: longer than a caller keeps trying.
	DefaultLifetime = time.Minute
	// DefaultSize bounds the streams known to an entry; each takes about 100 bytes.
	DefaultSize = 16 << 10
)

// Stream identifies a stream by the hash of the ID of the attempt that brought its first event.
type Stream uint64

// StreamOf returns the stream that an attempt began.
func StreamOf(requestID string) Stream { return Stream(xxhash.Sum64String(requestID)) }

// Software identifies a version of replicas' software by its hash; Unknown for none.
type Software uint64

// Unknown stands for a version that isn't known, or was said to be two different ones.
const Unknown Software = 0

// SoftwareOf returns the identity of a version of a service's software, as registered; Unknown for "".
// Versions of two services have nothing in common but their names.
func SoftwareOf(service, version string) Software {
	if version == "" {
		return Unknown
	}
	return Software(max(1, xxhash.Sum64String(service+"\x00"+version)))
}

// Holders returns the entries, of all including self, that are told of a stream and asked about it,
// without self. Entries with the same list agree on them.
func Holders(s Stream, self string, all []string) []string {
	order := rendezvous.Order(uint64(s), all)
	holders := make([]string, 0, HolderCount)
	for _, id := range order[:min(HolderCount, len(order))] {
		if id != self {
			holders = append(holders, id)
		}
	}
	return holders
}

// Table records streams. It is not safe for concurrent use.
//
// Invariant: a stream that was recorded with two versions stays Unknown until it is dropped, in
// whichever order the records arrive.
type Table struct {
	ttl     time.Duration
	streams *lru.Cache[Stream, record]
}

type record struct {
	software Software
	at       time.Duration
}

// NewTable returns an empty table of at most size streams, each kept for ttl after it was last recorded.
func NewTable(size int, ttl time.Duration) *Table {
	streams, err := lru.New[Stream, record](size)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Table{ttl: ttl, streams: streams}
}

// Record records that a version began a stream. Unknown withdraws what was or will be recorded.
func (t *Table) Record(s Stream, software Software, now time.Duration) {
	if known, ok := t.Lookup(s, now); ok && known != software {
		software = Unknown
	}
	t.streams.Add(s, record{software, now})
}

// Lookup returns the version that began a stream. It reports false if the stream isn't recorded; one
// whose version can't be told is recorded as Unknown.
func (t *Table) Lookup(s Stream, now time.Duration) (Software, bool) {
	r, ok := t.streams.Get(s)
	if !ok || now-r.at > t.ttl {
		return Unknown, false
	}
	return r.software, true
}
