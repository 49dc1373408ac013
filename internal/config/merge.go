package config

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// DecodeState reads what EncodeState wrote. Errors wrap ErrState.
func DecodeState(data []byte) (*State, error) { return NewState().Merge(data) }

// Merge returns the newer of s and what EncodeState or EncodeSince wrote of
// another process's state. It never goes back: an older one changes nothing, and
// what s has in force stays where the other one's record is of a schema version
// that this build doesn't know. Errors wrap ErrState.
func (s *State) Merge(data []byte) (*State, error) {
	whole, err := expand(data)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformedState, err)
	}
	var e encodedState
	if err := cbor.Unmarshal(whole, &e); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformedState, err)
	}
	if e.Format != stateFormat {
		return nil, fmt.Errorf("%w: format %d, want %d", ErrMalformedState, e.Format, stateFormat)
	}
	if !bytes.Equal(digestOf(e.Contents), e.Digest) {
		return nil, fmt.Errorf("%w: the digest doesn't match", ErrMalformedState)
	}
	var c contents
	if err := cbor.Unmarshal(e.Contents, &c); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformedState, err)
	}
	if e.After > s.Offset {
		return nil, fmt.Errorf("%w: changes after %d don't fit a state at %d", ErrMalformedState, e.After, s.Offset)
	}
	if e.Offset <= s.Offset {
		return s, nil
	}
	return s.merge(e.Offset, c)
}

// arrival is a record of another process's state.
type arrival struct {
	entry   LogEntry
	record  Record
	invalid error
}

func (s *State) merge(offset uint64, c contents) (*State, error) {
	b := newBuilder(s)
	b.moveTo(offset)
	arrivals, err := b.parse(c.Entries)
	if err != nil {
		return nil, err
	}
	for _, d := range c.Deletions {
		if d.Offset > b.state.Revision(d.Kind, d.Key) {
			b.remove(d.Kind, d.Key, d.Offset)
		}
	}
	b.freeKeys(arrivals)
	for _, a := range arrivals {
		if a.entry.Offset > b.state.Revision(a.record.Kind, a.record.Key) {
			b.take(a.entry, a.record, a.invalid)
		}
	}
	for _, v := range c.Void {
		if v.Offset > b.state.Revision(v.Kind, v.Key) {
			b.void(name(v.Kind, v.Key), v.Offset)
		}
	}
	return b.state, nil
}

func (b *builder) parse(entries []LogEntry) ([]arrival, error) {
	arrivals := make([]arrival, len(entries))
	for i, e := range entries {
		r, err := parseRecord(e.Data, fmt.Sprintf("offset %d", e.Offset), b.state.maxSchema)
		if errors.Is(err, ErrMalformedEnvelope) || r.Delete || r.Kind == KindSnapshot || e.Offset > b.state.Offset {
			return nil, fmt.Errorf("%w: the record at offset %d: %v", ErrMalformedState, e.Offset, err)
		}
		if i > 0 && e.Offset <= entries[i-1].Offset {
			return nil, fmt.Errorf("%w: offset %d is out of order", ErrMalformedState, e.Offset)
		}
		arrivals[i] = arrival{entry: e, record: r, invalid: err}
	}
	return arrivals, nil
}

// freeKeys takes the API keys from the organisations that are about to be
// replaced. A key may have gone from one to another between the two states; the
// order in which the two arrive must not make it look taken.
func (b *builder) freeKeys(arrivals []arrival) {
	for _, a := range arrivals {
		_, organisation := a.record.parsed.(*Organisation)
		if organisation && a.invalid == nil && a.entry.Offset > b.state.Revision(KindOrganisation, a.record.Key) {
			b.dropKeys(a.record.Key)
		}
	}
}
