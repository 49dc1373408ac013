package config

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

const (
	// stateFormat numbers the encoding of a State.
	stateFormat = 1
	// maxStateBytes bounds what a peer's few compressed bytes can expand to.
	maxStateBytes = 128 << 20
)

// ErrState is wrapped by errors about an encoded state that can't be used.
var ErrState = errors.New("config: not an encoded state")

// encodedState is what EncodeState compresses.
type encodedState struct {
	Format int    `json:"format"`
	Offset uint64 `json:"offset"`
	// Digest is the SHA-256 of State in hex.
	Digest string          `json:"digest"`
	State  json.RawMessage `json:"state"`
}

// EncodeState returns s as JSON with its offset and digest, compressed.
func EncodeState(s *State) ([]byte, error) {
	state, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("config: encode state: %w", err)
	}
	whole, err := json.Marshal(encodedState{Format: stateFormat, Offset: s.Offset, Digest: digestOf(state), State: state})
	if err != nil {
		return nil, fmt.Errorf("config: encode state: %w", err)
	}
	var buf bytes.Buffer
	z, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("config: encode state: %w", err)
	}
	if _, err := z.Write(whole); err != nil {
		return nil, fmt.Errorf("config: compress state: %w", err)
	}
	if err := z.Close(); err != nil {
		return nil, fmt.Errorf("config: compress state: %w", err)
	}
	return buf.Bytes(), nil
}

// DecodeState reads what EncodeState wrote. Errors wrap ErrState. Records that
// the writer kept whole but this build understands come into force.
func DecodeState(data []byte) (*State, error) { return decodeState(data, MaxSchema) }

func decodeState(data []byte, maxSchema int) (*State, error) {
	whole, err := expand(data)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrState, err)
	}
	var e encodedState
	if err := json.Unmarshal(whole, &e); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrState, err)
	}
	if e.Format != stateFormat {
		return nil, fmt.Errorf("%w: format %d, want %d", ErrState, e.Format, stateFormat)
	}
	if digestOf(e.State) != e.Digest {
		return nil, fmt.Errorf("%w: the digest doesn't match", ErrState)
	}
	s := NewState()
	s.maxSchema = maxSchema
	if err := json.Unmarshal(e.State, s); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrState, err)
	}
	if s.Offset != e.Offset {
		return nil, fmt.Errorf("%w: offset %d of a state at %d", ErrState, e.Offset, s.Offset)
	}
	if err := s.index(); err != nil {
		return nil, err
	}
	return s.understand(), nil
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

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// index makes the map by API key and refuses a state that no log can have led to.
func (s *State) index() error {
	for id, o := range s.Organisations {
		if o == nil || o.ID != id {
			return fmt.Errorf("%w: organisation %q", ErrState, id)
		}
		for _, d := range o.KeyDigests {
			if other := s.byKey[d]; other != nil {
				return fmt.Errorf("%w: organisations %s and %s share an API key", ErrState, other.ID, id)
			}
			s.byKey[d] = o
		}
	}
	for id, m := range s.Models {
		if m == nil || m.ID != id {
			return fmt.Errorf("%w: model %q", ErrState, id)
		}
	}
	for id, v := range s.Services {
		if v == nil || v.ID != id {
			return fmt.Errorf("%w: service %q", ErrState, id)
		}
	}
	for id, g := range s.Groups {
		if g == nil || g.ID != id {
			return fmt.Errorf("%w: group %q", ErrState, id)
		}
	}
	return nil
}

// understand brings into force, in order of offset, the records that an older
// build kept whole. Without it a newer build that starts from an older one's
// snapshot would never see them.
func (s *State) understand() *State {
	var kept []Entry
	for _, o := range s.Opaque {
		if o.Schema <= s.maxSchema {
			kept = append(kept, Entry{Offset: o.Offset, Data: o.Data})
		}
	}
	slices.SortFunc(kept, func(a, b Entry) int { return cmp.Compare(a.Offset, b.Offset) })
	b := newBuilder(s)
	b.moveTo(s.Offset)
	for _, e := range kept {
		r, err := parseRecord(e.Data, fmt.Sprintf("offset %d", e.Offset), s.maxSchema)
		if errors.Is(err, ErrEnvelope) {
			continue
		}
		b.take(e, r, err)
		delete(own(b, &b.state.Opaque), r.Name())
	}
	return b.state
}
