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
	// stateFormat numbers the encoding of a State.
	stateFormat = 1
	// maxStateBytes bounds what a peer's few compressed bytes can expand to.
	maxStateBytes = 128 << 20
)

// ErrMalformedState is wrapped by errors about an encoded state that can't be used.
var ErrMalformedState = errors.New("config: not an encoded state")

// encodedState is what is compressed: a header and the encoded contents.
type encodedState struct {
	Format int    `cbor:"1,keyasint"`
	Offset uint64 `cbor:"2,keyasint"`
	// After is the offset of the states to which Contents can be added; 0 fits
	// any.
	After uint64 `cbor:"3,keyasint"`
	// Digest is the SHA-256 of Contents.
	Digest   []byte          `cbor:"4,keyasint"`
	Contents cbor.RawMessage `cbor:"5,keyasint"`
}

// contents has records whole, as they stand on the log, rather than the State
// made of them. A reader of another build makes its own State of them and keeps
// those that it doesn't understand; decoded fields that it has no name for would
// be lost without a sign, and a record half-applied.
type contents struct {
	// Entries are records in force or kept, in order of offset.
	Entries []LogEntry `cbor:"1,keyasint"`
	// Deletions are those after which nothing came into force.
	Deletions []mark `cbor:"2,keyasint"`
	// Void are the records that took a revision without coming into force. Their
	// verdict goes along: what made them invalid, such as an API key that was
	// another's, may be gone by now.
	Void []mark `cbor:"3,keyasint"`
}

// mark is an offset that matters for a key.
type mark struct {
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

// EncodeState returns s with its offset and digest, compressed.
func EncodeState(s *State) ([]byte, error) { return EncodeSince(s, 0) }

// EncodeSince returns what s has that a state at the offset after lacks, or all
// of it if after is 0.
func EncodeSince(s *State, after uint64) ([]byte, error) {
	body, err := encMode.Marshal(s.contentsSince(after))
	if err != nil {
		return nil, fmt.Errorf("config: encode state: %w", err)
	}
	whole, err := encMode.Marshal(encodedState{
		Format: stateFormat, Offset: s.Offset, After: after, Digest: digestOf(body), Contents: body,
	})
	if err != nil {
		return nil, fmt.Errorf("config: encode state: %w", err)
	}
	return compress(whole)
}

func (s *State) contentsSince(after uint64) contents {
	var c contents
	add := func(e LogEntry) {
		if e.Offset > after {
			c.Entries = append(c.Entries, e)
		}
	}
	for _, e := range s.records {
		add(e)
	}
	for _, o := range s.Opaque {
		add(LogEntry{Offset: o.Offset, Data: o.Data})
		for _, e := range o.Earlier {
			add(e)
		}
	}
	slices.SortFunc(c.Entries, func(a, b LogEntry) int { return cmp.Compare(a.Offset, b.Offset) })
	c.Deletions = marksSince(s.Deleted, after)
	c.Void = marksSince(s.Invalid, after)
	return c
}

func marksSince(offsets map[string]uint64, after uint64) []mark {
	var marks []mark
	for n, offset := range offsets {
		if offset > after {
			kind, key, _ := strings.Cut(n, "/")
			marks = append(marks, mark{Kind: Kind(kind), Key: key, Offset: offset})
		}
	}
	slices.SortFunc(marks, func(a, b mark) int { return cmp.Compare(a.Offset, b.Offset) })
	return marks
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

func expand(data []byte) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	whole, err := io.ReadAll(io.LimitReader(z, maxStateBytes+1))
	if err != nil {
		return nil, err
	}
	if len(whole) > maxStateBytes {
		return nil, fmt.Errorf("expands to more than %d bytes", maxStateBytes)
	}
	return whole, nil
}

func digestOf(data []byte) []byte {
	sum := sha256.Sum256(data)
	return sum[:]
}
