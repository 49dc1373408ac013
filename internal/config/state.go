package config

import (
	"maps"
	"slices"
	"strings"
)

// Organisation is a customer: who may call, what, and what goes before every
// prompt of theirs.
type Organisation struct {
	ID string `json:"id"`
	// Offset is where its record stands on the log; it is the revision that
	// the next change must name as its base.
	Offset uint64 `json:"offset"`
	// KeyDigests are SHA-256 digests, in hex, of its API keys.
	KeyDigests []string `json:"key_digests"`
	// Models has the versions allowed for each model; an empty list allows all.
	Models map[string][]string `json:"models"`
	// Services are the plain services that it may call.
	Services []string `json:"services"`
	// Instructions go before the callers' messages, one system message each, the
	// most widely shared first.
	Instructions []string `json:"instructions"`
	// Weight is its share in the fair queue, 1 by default.
	Weight float64 `json:"weight"`
	// MaxInFlight bounds its requests in flight at one endpoint; 0 is no bound.
	MaxInFlight int `json:"max_in_flight"`
}

// Model is a model that a group of endpoints serves.
type Model struct {
	ID       string   `json:"id"`
	Offset   uint64   `json:"offset"`
	Group    string   `json:"group"`
	Versions []string `json:"versions"`
	// Version is what a request without a version gets, and what the group's
	// engines are to have loaded.
	Version string `json:"version"`
	// MaxTokens bounds an answer; it is also what a request without a bound gets.
	MaxTokens int `json:"max_tokens"`
}

// Service is a plain service.
type Service struct {
	ID     string `json:"id"`
	Offset uint64 `json:"offset"`
	Group  string `json:"group"`
	// Repeatable lists path prefixes whose calls may be run again, such as
	// balance checks. Any other call runs at most once.
	Repeatable []string `json:"repeatable"`
	// KeyRequired lists path prefixes whose calls need an Idempotency-Key.
	KeyRequired []string `json:"key_required"`
}

// Group is a set of endpoints that serve the same things.
type Group struct {
	ID     string `json:"id"`
	Offset uint64 `json:"offset"`
	// ChecksFencing is set when its engines refuse orders with an old number.
	ChecksFencing bool `json:"checks_fencing"`
	// LoadPermits is how many replicas may load weights at once.
	LoadPermits int `json:"load_permits"`
}

// State is the accepted configuration as of Offset. It is immutable: Apply
// returns a new one.
type State struct {
	Offset        uint64                   `json:"offset"`
	Organisations map[string]*Organisation `json:"organisations"`
	Models        map[string]*Model        `json:"models"`
	Services      map[string]*Service      `json:"services"`
	Groups        map[string]*Group        `json:"groups"`
	// Opaque keeps accepted records of newer schema versions whole, by key, so
	// that a process that can't read them doesn't lose them in a snapshot.
	Opaque map[string]Opaque `json:"opaque"`
	// Invalid has the offsets of records, by key, that took the key's revision
	// without coming into force (see Apply).
	Invalid map[string]uint64 `json:"void,omitempty"`
	// Deleted has the offsets of deletions, by key, until a record for the key is
	// in force again.
	Deleted map[string]uint64 `json:"deleted,omitempty"`

	byKey map[string]*Organisation
	// records has the records in force, whole, by kind and key.
	records map[string]LogEntry
	// maxSchema is the newest schema understood; only tests of builds of
	// different age set it to other than MaxSchema.
	maxSchema int
}

// Opaque is a record of a schema version that this build doesn't know. What it
// replaced stays in force until a record that is understood replaces it.
type Opaque struct {
	Offset uint64 `json:"offset"`
	Schema int    `json:"schema"`
	Data   []byte `json:"data"`
	// Earlier are the kept records that this one replaced, oldest first: should
	// this one prove invalid to a build that knows its schema, the last valid
	// one of them is in force there.
	Earlier []LogEntry `json:"earlier,omitempty"`
}

// NewState returns the state before the log's first record.
func NewState() *State {
	return &State{
		Organisations: map[string]*Organisation{},
		Models:        map[string]*Model{},
		Services:      map[string]*Service{},
		Groups:        map[string]*Group{},
		Opaque:        map[string]Opaque{},
		Invalid:       map[string]uint64{},
		Deleted:       map[string]uint64{},
		byKey:         map[string]*Organisation{},
		records:       map[string]LogEntry{},
		maxSchema:     MaxSchema,
	}
}

// Revision returns the offset that the next change of the key must name as its
// base: that of the last record which took it, in force or not; 0 if there is
// none.
func (s *State) Revision(kind Kind, key string) uint64 {
	return s.revision(name(kind, key))
}

func (s *State) revision(n string) uint64 {
	return max(s.records[n].Offset, s.Opaque[n].Offset, s.Invalid[n], s.Deleted[n])
}

// Keys returns the keys of a kind in order: those with a record in force, kept,
// or void.
func (s *State) Keys(kind Kind) []string {
	seen := map[string]bool{}
	collect := func(n string) {
		if k, key, _ := strings.Cut(n, "/"); k == string(kind) {
			seen[key] = true
		}
	}
	for n := range s.records {
		collect(n)
	}
	for n := range s.Opaque {
		collect(n)
	}
	for n := range s.Invalid {
		collect(n)
	}
	return slices.Sorted(maps.Keys(seen))
}

// RecordInForce returns the record that is in force for the key.
func (s *State) RecordInForce(kind Kind, key string) (LogEntry, bool) {
	e, ok := s.records[name(kind, key)]
	return e, ok
}

// OrganisationByKeyDigest returns whose API key has this SHA-256 digest in hex, or nil.
func (s *State) OrganisationByKeyDigest(digest string) *Organisation { return s.byKey[digest] }

// Allows reports whether o may use a version of a model.
func (o *Organisation) Allows(model, version string) bool {
	versions, ok := o.Models[model]
	return ok && (len(versions) == 0 || slices.Contains(versions, version))
}
