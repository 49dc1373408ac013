package config

import (
	"maps"
	"slices"
)

// maxEarlier bounds the records of unknown schemas that are kept for one key.
const maxEarlier = 16

// builder makes a new State from an old one, copying each map before its first
// change and sharing the others.
type builder struct {
	state *State
	// moved is set once state is a copy, owned once a map of it is.
	moved bool
	owned map[any]bool
}

func newBuilder(s *State) *builder {
	return &builder{state: s, owned: map[any]bool{}}
}

func (b *builder) moveTo(offset uint64) {
	if !b.moved {
		next := *b.state
		b.state = &next
		b.moved = true
	}
	b.state.Offset = offset
}

// own returns the map at field after making sure that it is no other state's.
func own[V any](b *builder, field *map[string]V) map[string]V {
	if !b.owned[field] {
		*field = maps.Clone(*field)
		if *field == nil {
			*field = map[string]V{}
		}
		b.owned[field] = true
	}
	return *field
}

// void records that the record at offset took the revision of the key named n
// without coming into force.
func (b *builder) void(n string, offset uint64) {
	own(b, &b.state.Invalid)[n] = offset
}

func (b *builder) keepOpaque(r Record, e LogEntry) {
	n := r.Name()
	last, ok := b.state.Opaque[n]
	var earlier []LogEntry
	if ok {
		earlier = append(slices.Clone(last.Earlier), LogEntry{Offset: last.Offset, Data: last.Data})
		earlier = earlier[max(0, len(earlier)-maxEarlier):]
	}
	b.settle(n, e.Offset)
	own(b, &b.state.Opaque)[n] = Opaque{Offset: e.Offset, Schema: r.Schema, Data: e.Data, Earlier: earlier}
}

// settle forgets what stood between the key's revision and what is in force, now
// that a record at offset replaces both.
func (b *builder) settle(n string, offset uint64) {
	if void, ok := b.state.Invalid[n]; ok && void < offset {
		delete(own(b, &b.state.Invalid), n)
	}
	if _, ok := b.state.Opaque[n]; ok {
		delete(own(b, &b.state.Opaque), n)
	}
}

func (b *builder) set(r Record, e LogEntry) {
	offset := e.Offset
	b.settle(r.Name(), offset)
	own(b, &b.state.records)[r.Name()] = e
	if _, ok := b.state.Deleted[r.Name()]; ok {
		delete(own(b, &b.state.Deleted), r.Name())
	}
	switch body := r.parsed.(type) {
	case *Organisation:
		body.Offset = offset
		b.dropKeys(r.Key)
		own(b, &b.state.Organisations)[r.Key] = body
		b.addKeys(body)
	case *Model:
		body.Offset = offset
		own(b, &b.state.Models)[r.Key] = body
	case *Service:
		body.Offset = offset
		own(b, &b.state.Services)[r.Key] = body
	case *Group:
		body.Offset = offset
		own(b, &b.state.Groups)[r.Key] = body
	}
}

func (b *builder) remove(kind Kind, key string, offset uint64) {
	n := name(kind, key)
	b.settle(n, offset)
	own(b, &b.state.Deleted)[n] = offset
	delete(own(b, &b.state.records), n)
	switch kind {
	case KindOrganisation:
		b.dropKeys(key)
		delete(own(b, &b.state.Organisations), key)
	case KindModel:
		delete(own(b, &b.state.Models), key)
	case KindService:
		delete(own(b, &b.state.Services), key)
	case KindGroup:
		delete(own(b, &b.state.Groups), key)
	}
}

// keyOwner returns the other organisation that has one of o's API keys, or "".
func (b *builder) keyOwner(o *Organisation) string {
	for _, d := range o.KeyDigests {
		if other := b.state.byKey[d]; other != nil && other.ID != o.ID {
			return other.ID
		}
	}
	return ""
}

func (b *builder) dropKeys(id string) {
	old := b.state.Organisations[id]
	if old == nil {
		return
	}
	for _, d := range old.KeyDigests {
		if b.state.byKey[d] == old {
			delete(own(b, &b.state.byKey), d)
		}
	}
}

// addKeys gives o, which may be nil, those of its API keys that are free.
func (b *builder) addKeys(o *Organisation) {
	if o == nil {
		return
	}
	for _, d := range o.KeyDigests {
		if b.state.byKey[d] == nil {
			own(b, &b.state.byKey)[d] = o
		}
	}
}
