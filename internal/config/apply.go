package config

import (
	"errors"
	"fmt"
)

// Reason is why a record was accepted or refused.
type Reason string

// The reasons of a Verdict.
const (
	// ReasonInForce: accepted and in force.
	ReasonInForce Reason = "in_force"
	// ReasonUnknownSchema: accepted and retained, but of a schema version that this
	// build doesn't know.
	ReasonUnknownSchema Reason = "kept_unknown_schema"
	// ReasonSnapshot: a part of a snapshot; it changes no key.
	ReasonSnapshot Reason = "snapshot"
	// ReasonMalformed: the envelope can't be decoded; no effect.
	ReasonMalformed Reason = "malformed"
	// ReasonStaleBase: the base is not the key's current revision; no effect.
	ReasonStaleBase Reason = "stale_base"
	// ReasonInvalid: the base is current but the body is invalid. The record becomes
	// the key's revision; the record in force stays in force.
	ReasonInvalid Reason = "invalid"
	// ReasonKeyTaken: like ReasonInvalid, because one of the API keys belongs to
	// another organisation.
	ReasonKeyTaken Reason = "key_taken"
	// ReasonOldOffset: at or before the state's offset; no effect.
	ReasonOldOffset Reason = "old_offset"
)

// Verdict is the outcome of applying a record.
type Verdict struct {
	Accepted bool   `json:"accepted"`
	Reason   Reason `json:"reason"`
	// Detail is a human-readable reason, mostly for refusals.
	Detail string `json:"detail,omitempty"`
	// Record is the decoded record, empty if it is malformed or at an old offset.
	Record Record `json:"-"`
	// Revision is the key's revision afterwards. If the base is stale, it is the
	// offset of the record that the base had to name.
	Revision uint64 `json:"revision"`
}

// LogEntry is an encoded record and its offset on the log.
type LogEntry struct {
	Offset uint64 `cbor:"1,keyasint" json:"offset"`
	Data   []byte `cbor:"2,keyasint" json:"data,omitempty"`
}

// Apply accepts or refuses the record at offset and returns the resulting state.
// The result depends only on the state and the record, so all processes reach the
// same one.
//
// A record whose envelope can't be decoded, or whose base is not the key's
// revision, has no effect. Any other record becomes the key's revision, even if its
// body is invalid and the previous record stays in force. Otherwise builds of
// different versions would diverge: an older build can't validate the body of a
// newer schema, so it can't tell whether the newer build accepted it. It would
// expect a different base in the next change and refuse every later change that the
// others accept.
//
// A deletion becomes the key's revision too, so that a duplicate or delayed append
// of the record that created the key can't restore it: its base, 0, is stale.
//
// References may dangle: those of an organisation to models and services, and those
// of a model or a service to its group. Requests that need a missing record are
// refused as unknown.
func (s *State) Apply(offset uint64, data []byte) (*State, Verdict) {
	next, verdicts := s.ApplyAll([]LogEntry{{Offset: offset, Data: data}})
	return next, verdicts[0]
}

// ApplyAll applies entries in order. It copies each changed map once for all of
// them, so replaying a long log is cheap.
func (s *State) ApplyAll(entries []LogEntry) (*State, []Verdict) {
	b := newBuilder(s)
	verdicts := make([]Verdict, len(entries))
	for i, e := range entries {
		verdicts[i] = b.apply(e)
	}
	return b.state, verdicts
}

func (b *builder) apply(e LogEntry) Verdict {
	if e.Offset <= b.state.Offset {
		return Verdict{Reason: ReasonOldOffset, Detail: fmt.Sprintf("offset %d is not after %d", e.Offset, b.state.Offset)}
	}
	b.setOffset(e.Offset)
	r, err := parseRecord(e.Data, fmt.Sprintf("offset %d", e.Offset), b.state.maxSchema)
	if errors.Is(err, ErrMalformedEnvelope) {
		return Verdict{Reason: ReasonMalformed, Detail: err.Error()}
	}
	if r.Kind == KindSnapshot {
		return snapshotVerdict(r, err)
	}
	revision := b.state.Revision(r.Kind, r.Key)
	if r.Base != revision {
		return Verdict{Reason: ReasonStaleBase, Detail: staleDetail(r, revision), Record: r, Revision: revision}
	}
	return b.advanceKey(e, r, err)
}

// advanceKey makes r, whose base is current, the key's revision. It brings r into
// force unless invalid is set or the schema is unknown.
func (b *builder) advanceKey(e LogEntry, r Record, invalid error) Verdict {
	v := Verdict{Record: r, Revision: e.Offset}
	switch {
	case r.Delete:
		v.Accepted, v.Reason = true, ReasonInForce
		b.remove(r.Kind, r.Key, e.Offset)
	case invalid != nil:
		v.Reason, v.Detail = ReasonInvalid, invalid.Error()
		b.recordInvalid(r.Name(), e.Offset)
	case r.Schema > b.state.maxSchema:
		v.Accepted, v.Reason = true, ReasonUnknownSchema
		v.Detail = fmt.Sprintf("schema %d is newer than %d; the previous record stays in force", r.Schema, b.state.maxSchema)
		b.keepOpaque(r, e)
	default:
		v = b.activate(r, e)
	}
	return v
}

// activate brings r into force unless one of its API keys belongs to another
// organisation.
func (b *builder) activate(r Record, e LogEntry) Verdict {
	v := Verdict{Record: r, Revision: e.Offset}
	if o, ok := r.parsed.(*Organisation); ok {
		if other := b.apiKeyOwner(o); other != "" {
			v.Reason, v.Detail = ReasonKeyTaken, fmt.Sprintf("an API key of %s already belongs to organisation %s", o.ID, other)
			b.recordInvalid(r.Name(), e.Offset)
			// Merge has released the keys of the record that stays in force.
			b.addAPIKeys(b.state.Organisations[r.Key])
			return v
		}
	}
	b.setInForce(r, e)
	v.Accepted, v.Reason = true, ReasonInForce
	return v
}

func staleDetail(r Record, revision uint64) string {
	if revision == 0 {
		return fmt.Sprintf("base %d, but there is no %s", r.Base, r.Name())
	}
	return fmt.Sprintf("base %d, but %s is at revision %d", r.Base, r.Name(), revision)
}

func snapshotVerdict(r Record, err error) Verdict {
	if err != nil {
		return Verdict{Reason: ReasonInvalid, Detail: err.Error(), Record: r}
	}
	return Verdict{Accepted: true, Reason: ReasonSnapshot, Record: r}
}
