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
	// ReasonUnknownSchema: accepted but of a schema version that this build doesn't know.
	ReasonUnknownSchema Reason = "kept_unknown_schema"
	// ReasonSnapshot: a part of a snapshot, which changes nothing.
	ReasonSnapshot Reason = "snapshot"
	// ReasonMalformed: not a record; no effect at all.
	ReasonMalformed Reason = "malformed"
	// ReasonStaleBase: another record came first; no effect at all.
	ReasonStaleBase Reason = "stale_base"
	// ReasonInvalid: the base was right but the rest is not. It takes the key's
	// revision and leaves in force what was.
	ReasonInvalid Reason = "invalid"
	// ReasonKeyTaken: as ReasonInvalid, since an API key belongs to another
	// organisation.
	ReasonKeyTaken Reason = "key_taken"
	// ReasonOldOffset: at or before the state's offset; no effect at all.
	ReasonOldOffset Reason = "old_offset"
)

// Verdict tells what became of a record.
type Verdict struct {
	Accepted bool   `json:"accepted"`
	Reason   Reason `json:"reason"`
	// Detail explains a refusal to people.
	Detail string `json:"detail,omitempty"`
	// Record is the record, without its body if it is malformed.
	Record Record `json:"-"`
	// Revision is the key's revision afterwards: the winner's offset when the
	// base is stale.
	Revision uint64 `json:"revision"`
}

// LogEntry is a record's bytes at their place on the log.
type LogEntry struct {
	Offset uint64 `cbor:"1,keyasint" json:"offset"`
	Data   []byte `cbor:"2,keyasint" json:"data,omitempty"`
}

// Apply is the rule by which every process judges the record at offset. It
// depends on nothing but the state and the record, so that all processes agree.
//
// A record whose envelope can't be read, or whose base is not the key's revision,
// has no effect. Any other takes the key's revision, even if its body is invalid
// and leaves in force what was. Otherwise builds of different age would part: an
// older one can't judge the body of a newer schema, so it can't tell whether the
// newer build accepted it, would expect another base of the next change, and
// refuse for ever what the others accept.
//
// A deletion takes the revision too, so that a doubled or late append of the
// record that once created the key can't bring it back: its base, 0, is stale.
//
// References may dangle: an organisation's models and services, a model's and a
// service's group. Requests for what isn't there are refused as unknown.
func (s *State) Apply(offset uint64, data []byte) (*State, Verdict) {
	next, verdicts := s.ApplyAll([]LogEntry{{Offset: offset, Data: data}})
	return next, verdicts[0]
}

// ApplyAll applies entries in order. It copies each map that changes once, which
// is what makes reading a long log cheap.
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
	b.moveTo(e.Offset)
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
	return b.take(e, r, err)
}

// take gives the key's revision to r, whose base is right.
func (b *builder) take(e LogEntry, r Record, invalid error) Verdict {
	v := Verdict{Record: r, Revision: e.Offset}
	switch {
	case r.Delete:
		v.Accepted, v.Reason = true, ReasonInForce
		b.remove(r.Kind, r.Key, e.Offset)
	case invalid != nil:
		v.Reason, v.Detail = ReasonInvalid, invalid.Error()
		b.void(r.Name(), e.Offset)
	case r.Schema > b.state.maxSchema:
		v.Accepted, v.Reason = true, ReasonUnknownSchema
		v.Detail = fmt.Sprintf("schema %d is newer than %d; what was in force stays", r.Schema, b.state.maxSchema)
		b.keepOpaque(r, e)
	default:
		v = b.put(r, e)
	}
	return v
}

// put brings r into force unless one of its API keys is another's.
func (b *builder) put(r Record, e LogEntry) Verdict {
	v := Verdict{Record: r, Revision: e.Offset}
	if o, ok := r.parsed.(*Organisation); ok {
		if other := b.keyOwner(o); other != "" {
			v.Reason, v.Detail = ReasonKeyTaken, fmt.Sprintf("an API key of %s already belongs to organisation %s", o.ID, other)
			b.void(r.Name(), e.Offset)
			b.addKeys(b.state.Organisations[r.Key])
			return v
		}
	}
	b.set(r, e)
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
