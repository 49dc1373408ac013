package config

import (
	"maps"
	"slices"
)

// maxEarlierRecords bounds Opaque.Earlier.
const maxEarlierRecords = 16

// builder derives a new State from an existing one. It copies each map before the
// first change and shares the others.
type builder struct {
	state *State
	// copied is set once state is a copy rather than the original.
	copied bool
	// cloned has the addresses of the map fields of state that are copies.
	cloned map[any]bool
}

func newBuilder(s *State) *builder {
	return &builder{state: s, cloned: map[any]bool{}}
}

func (b *builder) setOffset(offset uint64) {
	if !b.copied {
		next := *b.state
		b.state = &next
		b.copied = true
	}
	b.state.Offset = offset
}

// writable returns the map at field, after cloning it unless this builder already
// has. Callers must have called setOffset.
func writable[V any](b *builder, field *map[string]V) map[string]V {
	if !b.cloned[field] {
		*field = maps.Clone(*field)
		if *field == nil {
			*field = map[string]V{}
		}
		b.cloned[field] = true
	}
	return *field
}

// recordInvalid records that the record at offset became the revision of the key
// without coming into force. recordName is its Record.Name.
func (b *builder) recordInvalid(recordName string, offset uint64) {
	writable(b, &b.state.Invalid)[recordName] = offset
}

// keepOpaque makes r, of an unknown schema, the key's revision. The record in force
// stays in force.
func (b *builder) keepOpaque(r Record, e LogEntry) {
	recordName := r.Name()
	last, ok := b.state.Opaque[recordName]
	var earlier []LogEntry
	if ok {
		earlier = append(slices.Clone(last.Earlier), LogEntry{Offset: last.Offset, Data: last.Data})
		earlier = earlier[max(0, len(earlier)-maxEarlierRecords):]
	}
	b.clearSuperseded(recordName, e.Offset)
	writable(b, &b.state.Opaque)[recordName] = Opaque{Offset: e.Offset, Schema: r.Schema, Data: e.Data, Earlier: earlier}
}

// clearSuperseded removes the invalid and opaque records of the key that the record
// at offset replaces.
func (b *builder) clearSuperseded(recordName string, offset uint64) {
	if invalid, ok := b.state.Invalid[recordName]; ok && invalid < offset {
		delete(writable(b, &b.state.Invalid), recordName)
	}
	if _, ok := b.state.Opaque[recordName]; ok {
		delete(writable(b, &b.state.Opaque), recordName)
	}
}

// setInForce brings r into force.
func (b *builder) setInForce(r Record, e LogEntry) {
	offset := e.Offset
	b.clearSuperseded(r.Name(), offset)
	writable(b, &b.state.inForce)[r.Name()] = e
	if _, ok := b.state.Deleted[r.Name()]; ok {
		delete(writable(b, &b.state.Deleted), r.Name())
	}
	switch body := r.parsed.(type) {
	case *Organisation:
		body.Offset = offset
		b.removeAPIKeys(r.Key)
		writable(b, &b.state.Organisations)[r.Key] = body
		b.addAPIKeys(body)
	case *Model:
		body.Offset = offset
		writable(b, &b.state.Models)[r.Key] = body
	case *Service:
		body.Offset = offset
		writable(b, &b.state.Services)[r.Key] = body
	case *Group:
		body.Offset = offset
		writable(b, &b.state.Groups)[r.Key] = body
	}
}

// remove applies a deletion at offset.
func (b *builder) remove(kind Kind, key string, offset uint64) {
	recordName := name(kind, key)
	b.clearSuperseded(recordName, offset)
	writable(b, &b.state.Deleted)[recordName] = offset
	delete(writable(b, &b.state.inForce), recordName)
	switch kind {
	case KindOrganisation:
		b.removeAPIKeys(key)
		delete(writable(b, &b.state.Organisations), key)
	case KindModel:
		delete(writable(b, &b.state.Models), key)
	case KindService:
		delete(writable(b, &b.state.Services), key)
	case KindGroup:
		delete(writable(b, &b.state.Groups), key)
	}
}

// apiKeyOwner returns the other organisation that has one of o's API keys, or "".
func (b *builder) apiKeyOwner(o *Organisation) string {
	for _, d := range o.KeyDigests {
		if other := b.state.byKeyDigest[d]; other != nil && other.ID != o.ID {
			return other.ID
		}
	}
	return ""
}

func (b *builder) removeAPIKeys(id string) {
	old := b.state.Organisations[id]
	if old == nil {
		return
	}
	for _, d := range old.KeyDigests {
		if b.state.byKeyDigest[d] == old {
			delete(writable(b, &b.state.byKeyDigest), d)
		}
	}
}

// addAPIKeys assigns to o, which may be nil, those of its API keys that no
// organisation has.
func (b *builder) addAPIKeys(o *Organisation) {
	if o == nil {
		return
	}
	for _, d := range o.KeyDigests {
		if b.state.byKeyDigest[d] == nil {
			writable(b, &b.state.byKeyDigest)[d] = o
		}
	}
}
