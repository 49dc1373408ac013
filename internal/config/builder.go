package config

import "maps"

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

// void records that r took the key's revision without effect.
func (b *builder) void(r Record, offset uint64) {
	void := own(b, &b.state.Void)
	void[r.Name()] = max(void[r.Name()], offset)
}

func (b *builder) keepOpaque(r Record, e Entry) {
	b.settle(r.Name(), e.Offset)
	own(b, &b.state.Opaque)[r.Name()] = Opaque{Offset: e.Offset, Schema: r.Schema, Data: e.Data}
}

// settle forgets what stood between the key's revision and what is in force, now
// that a record at offset replaces both.
func (b *builder) settle(n string, offset uint64) {
	if void, ok := b.state.Void[n]; ok && void < offset {
		delete(own(b, &b.state.Void), n)
	}
	if _, ok := b.state.Opaque[n]; ok {
		delete(own(b, &b.state.Opaque), n)
	}
}

func (b *builder) set(r Record, offset uint64) {
	b.settle(r.Name(), offset)
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

func (b *builder) remove(r Record, offset uint64) {
	b.settle(r.Name(), offset)
	b.void(r, offset)
	switch r.Kind {
	case KindOrganisation:
		b.dropKeys(r.Key)
		delete(own(b, &b.state.Organisations), r.Key)
	case KindModel:
		delete(own(b, &b.state.Models), r.Key)
	case KindService:
		delete(own(b, &b.state.Services), r.Key)
	case KindGroup:
		delete(own(b, &b.state.Groups), r.Key)
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
		delete(own(b, &b.state.byKey), d)
	}
}

func (b *builder) addKeys(o *Organisation) {
	for _, d := range o.KeyDigests {
		own(b, &b.state.byKey)[d] = o
	}
}
