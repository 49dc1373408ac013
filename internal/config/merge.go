package config

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// DecodeState decodes the output of EncodeState. Errors wrap ErrMalformedState.
func DecodeState(data []byte) (*State, error) { return NewState().Merge(data) }

// Merge returns s updated with another process's state, encoded by EncodeState or
// EncodeSince. The offset never decreases: an older state changes nothing. Where the
// other state has a record of a schema version that this build doesn't know, the
// record that s has in force stays in force. Errors wrap ErrMalformedState.
func (s *State) Merge(data []byte) (*State, error) {
	encoded, err := decompress(data)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformedState, err)
	}
	var e encodedState
	if err := cbor.Unmarshal(encoded, &e); err != nil {
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

// incomingRecord is a decoded record of another process's state. invalid is its
// validation error, if any.
type incomingRecord struct {
	entry   LogEntry
	record  Record
	invalid error
}

func (s *State) merge(offset uint64, c contents) (*State, error) {
	b := newBuilder(s)
	b.setOffset(offset)
	incoming, err := b.parseIncoming(c.Entries)
	if err != nil {
		return nil, err
	}
	for _, d := range c.Deletions {
		if d.Offset > b.state.Revision(d.Kind, d.Key) {
			b.remove(d.Kind, d.Key, d.Offset)
		}
	}
	b.releaseAPIKeys(incoming)
	for _, in := range incoming {
		if in.entry.Offset > b.state.Revision(in.record.Kind, in.record.Key) {
			b.advanceKey(in.entry, in.record, in.invalid)
		}
	}
	for _, invalid := range c.Invalid {
		if invalid.Offset > b.state.Revision(invalid.Kind, invalid.Key) {
			b.recordInvalid(name(invalid.Kind, invalid.Key), invalid.Offset)
		}
	}
	return b.state, nil
}

func (b *builder) parseIncoming(entries []LogEntry) ([]incomingRecord, error) {
	incoming := make([]incomingRecord, len(entries))
	for i, e := range entries {
		r, err := parseRecord(e.Data, fmt.Sprintf("offset %d", e.Offset), b.state.maxSchema)
		if errors.Is(err, ErrMalformedEnvelope) || r.Delete || r.Kind == KindSnapshot || e.Offset > b.state.Offset {
			return nil, fmt.Errorf("%w: the record at offset %d: %v", ErrMalformedState, e.Offset, err)
		}
		if i > 0 && e.Offset <= entries[i-1].Offset {
			return nil, fmt.Errorf("%w: offset %d is out of order", ErrMalformedState, e.Offset)
		}
		incoming[i] = incomingRecord{entry: e, record: r, invalid: err}
	}
	return incoming, nil
}

// releaseAPIKeys removes the API keys of the organisations that are about to be
// replaced. A key may have moved from one organisation to another between the two
// states; without this, the record of the new owner could be applied first and be
// refused because the previous owner still holds the key.
func (b *builder) releaseAPIKeys(incoming []incomingRecord) {
	for _, in := range incoming {
		_, isOrganisation := in.record.parsed.(*Organisation)
		if isOrganisation && in.invalid == nil && in.entry.Offset > b.state.Revision(KindOrganisation, in.record.Key) {
			b.removeAPIKeys(in.record.Key)
		}
	}
}
