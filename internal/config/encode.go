package config

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

const (
	// stateFormat is the version of the encoding of a State.
	stateFormat = 1
	// maxStateBytes bounds the decompressed size, so that a small compressed input
	// from a peer can't exhaust memory.
	maxStateBytes = 128 << 20
)

// ErrMalformedState is wrapped by errors about an encoded state that can't be
// decoded or doesn't fit the receiver's state.
var ErrMalformedState = errors.New("config: not an encoded state")

// encodedState is the encoding before compression: a header and the encoded
// contents.
type encodedState struct {
	Format int    `cbor:"1,keyasint"`
	Offset uint64 `cbor:"2,keyasint"`
	// After is the lowest offset of a state into which Contents can be merged; 0
	// fits any state.
	After uint64 `cbor:"3,keyasint"`
	// Digest is the SHA-256 of Contents.
	Digest   []byte          `cbor:"4,keyasint"`
	Contents cbor.RawMessage `cbor:"5,keyasint"`
}

// contents has the records as encoded on the log rather than the State built from
// them. A reader of another build builds its own State and retains the records whose
// schema it doesn't know. Had it decoded fields instead, it would silently lose
// those that it has no name for and apply a record in part.
type contents struct {
	// Entries are the records in force or of unknown schemas, by offset.
	Entries []LogEntry `cbor:"1,keyasint"`
	// Deletions are those after which no record of the key came into force.
	Deletions []keyOffset `cbor:"2,keyasint"`
	// Invalid are the records that became a key's revision without coming into
	// force. The verdict is encoded because it can't be derived again: the reason,
	// such as an API key that belonged to another organisation, may no longer hold.
	Invalid []keyOffset `cbor:"3,keyasint"`
}

// keyOffset is a key and the offset of a record about it.
type keyOffset struct {
	Kind   Kind   `cbor:"1,keyasint"`
	Key    string `cbor:"2,keyasint"`
	Offset uint64 `cbor:"3,keyasint"`
}

var encMode = mustEncMode()

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// EncodeState returns the compressed encoding of s with its offset and digest.
func EncodeState(s *State) ([]byte, error) { return EncodeSince(s, 0) }

// EncodeSince returns the compressed encoding of the part of s that a state at the
// offset after lacks, or of all of s if after is 0.
func EncodeSince(s *State, after uint64) ([]byte, error) {
	body, err := encMode.Marshal(s.contentsSince(after))
	if err != nil {
		return nil, fmt.Errorf("config: encode state: %w", err)
	}
	encoded, err := encMode.Marshal(encodedState{
		Format: stateFormat, Offset: s.Offset, After: after, Digest: digestOf(body), Contents: body,
	})
	if err != nil {
		return nil, fmt.Errorf("config: encode state: %w", err)
	}
	return compress(encoded)
}

func (s *State) contentsSince(after uint64) contents {
	var c contents
	add := func(e LogEntry) {
		if e.Offset > after {
			c.Entries = append(c.Entries, e)
		}
	}
	for _, e := range s.inForce {
		add(e)
	}
	for _, o := range s.Opaque {
		add(LogEntry{Offset: o.Offset, Data: o.Data})
		for _, e := range o.Earlier {
			add(e)
		}
	}
	slices.SortFunc(c.Entries, func(a, b LogEntry) int { return cmp.Compare(a.Offset, b.Offset) })
	c.Deletions = keyOffsetsSince(s.Deleted, after)
	c.Invalid = keyOffsetsSince(s.Invalid, after)
	return c
}

func keyOffsetsSince(offsets map[string]uint64, after uint64) []keyOffset {
	var list []keyOffset
	for recordName, offset := range offsets {
		if offset > after {
			kind, key, _ := strings.Cut(recordName, "/")
			list = append(list, keyOffset{Kind: Kind(kind), Key: key, Offset: offset})
		}
	}
	slices.SortFunc(list, func(a, b keyOffset) int { return cmp.Compare(a.Offset, b.Offset) })
	return list
}

func compress(data []byte) ([]byte, error) {
	var buf bytes.Buffer
	z, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("config: compress state: %w", err)
	}
	if _, err := z.Write(data); err != nil {
		return nil, fmt.Errorf("config: compress state: %w", err)
	}
	if err := z.Close(); err != nil {
		return nil, fmt.Errorf("config: compress state: %w", err)
	}
	return buf.Bytes(), nil
}

func decompress(data []byte) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	decompressed, err := io.ReadAll(io.LimitReader(z, maxStateBytes+1))
	if err != nil {
		return nil, err
	}
	if len(decompressed) > maxStateBytes {
		return nil, fmt.Errorf("expands to more than %d bytes", maxStateBytes)
	}
	return decompressed, nil
}

func digestOf(data []byte) []byte {
	sum := sha256.Sum256(data)
	return sum[:]
}
