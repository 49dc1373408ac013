package config

import (
	"maps"
	"slices"
	"strings"
)

// Organisation is a customer: its API keys, what it may call, and the instructions
// that precede every prompt.
type Organisation struct {
	ID string `json:"id"`
	// Offset is the offset of its record on the log, which is the revision of the
	// key when the record comes into force.
	Offset uint64 `json:"offset"`
	// KeyDigests are the SHA-256 digests of its API keys in lower-case hex.
	KeyDigests []string `json:"key_digests"`
	// Models has the allowed versions by model; an empty list allows all.
	Models map[string][]string `json:"models"`
	// Services are the plain services that it may call.
	Services []string `json:"services"`
	// Instructions precede the caller's messages, one system message each, the most
	// widely shared first.
	Instructions []string `json:"instructions"`
	// Weight is its weight in the fair queue, 1 by default.
	Weight float64 `json:"weight"`
	// MaxInFlight bounds its requests in flight at one endpoint; 0 means no bound.
	MaxInFlight int `json:"max_in_flight"`
}

// Model is a model that a group of endpoints serves.
type Model struct {
	ID       string   `json:"id"`
	Offset   uint64   `json:"offset"`
	Group    string   `json:"group"`
	Versions []string `json:"versions"`
	// Version is the version that the group's engines should have loaded, and the
	// default of requests that name none.
	Version string `json:"version"`
	// MaxTokens bounds the tokens of an answer and is the default of requests
	// without a bound.
	MaxTokens int `json:"max_tokens"`
}

// Service is an HTTP service other than a language model.
type Service struct {
	ID     string `json:"id"`
	Offset uint64 `json:"offset"`
	Group  string `json:"group"`
	// Repeatable lists the path prefixes of idempotent calls, such as balance
	// checks, which may run again. Any other call runs at most once.
	Repeatable []string `json:"repeatable"`
	// KeyRequired lists the path prefixes whose calls need an Idempotency-Key.
	KeyRequired []string `json:"key_required"`
}

// Group is a set of endpoints that serve the same models and services.
type Group struct {
	ID     string `json:"id"`
	Offset uint64 `json:"offset"`
	// ChecksFencing is set if its engines refuse orders with an outdated fencing
	// number.
	ChecksFencing bool `json:"checks_fencing"`
	// LoadPermits bounds the replicas that load weights at the same time.
	LoadPermits int `json:"load_permits"`
}

// State is the accepted configuration as of Offset. It is immutable: Apply and
// Merge return new states.
type State struct {
	Offset        uint64                   `json:"offset"`
	Organisations map[string]*Organisation `json:"organisations"`
	Models        map[string]*Model        `json:"models"`
	Services      map[string]*Service      `json:"services"`
	Groups        map[string]*Group        `json:"groups"`
	// Opaque has the accepted records of newer schema versions, undecoded, by
	// Record.Name, so that a build that can't decode them includes them in its
	// snapshots.
	Opaque map[string]Opaque `json:"opaque"`
	// Invalid has, by Record.Name, the offsets of records that became the key's
	// revision without coming into force (see Apply).
	Invalid map[string]uint64 `json:"void,omitempty"`
	// Deleted has the offsets of deletions, by Record.Name, until a record for the
	// key is in force again.
	Deleted map[string]uint64 `json:"deleted,omitempty"`

	// byKeyDigest has the organisations by the digests of their API keys.
	byKeyDigest map[string]*Organisation
	// inForce has the encoded records in force by Record.Name.
	inForce map[string]LogEntry
	// maxSchema is the newest schema version understood. Only tests of builds of
	// different versions set it to other than MaxSchema.
	maxSchema int
}

// Opaque is a record of a schema version that this build doesn't know. The record
// that it replaced stays in force until one of a known schema replaces it.
type Opaque struct {
	Offset uint64 `json:"offset"`
	Schema int    `json:"schema"`
	Data   []byte `json:"data"`
	// Earlier are the opaque records that this one replaced, oldest first, at most
	// maxEarlierRecords. A build that knows the schema may find this one invalid;
	// the last valid one of them is then in force there.
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
		byKeyDigest:   map[string]*Organisation{},
		inForce:       map[string]LogEntry{},
		maxSchema:     MaxSchema,
	}
}

// Revision returns the offset that the next change of the key must name as its
// base: that of the last record with a current base, in force or not; 0 if there is
// none.
func (s *State) Revision(kind Kind, key string) uint64 {
	return s.revision(name(kind, key))
}

func (s *State) revision(recordName string) uint64 {
	return max(s.inForce[recordName].Offset, s.Opaque[recordName].Offset, s.Invalid[recordName], s.Deleted[recordName])
}

// Keys returns, sorted, the keys of a kind that have a record in force, opaque or
// invalid.
func (s *State) Keys(kind Kind) []string {
	seen := map[string]bool{}
	addName := func(recordName string) {
		if k, key, _ := strings.Cut(recordName, "/"); k == string(kind) {
			seen[key] = true
		}
	}
	for recordName := range s.inForce {
		addName(recordName)
	}
	for recordName := range s.Opaque {
		addName(recordName)
	}
	for recordName := range s.Invalid {
		addName(recordName)
	}
	return slices.Sorted(maps.Keys(seen))
}

// RecordInForce returns the encoded record that is in force for the key, if any.
func (s *State) RecordInForce(kind Kind, key string) (LogEntry, bool) {
	e, ok := s.inForce[name(kind, key)]
	return e, ok
}

// OrganisationByKeyDigest returns the organisation that has the API key with this
// SHA-256 digest in lower-case hex, or nil.
func (s *State) OrganisationByKeyDigest(digest string) *Organisation { return s.byKeyDigest[digest] }

// Allows reports whether o may use this version of the model.
func (o *Organisation) Allows(model, version string) bool {
	versions, ok := o.Models[model]
	return ok && (len(versions) == 0 || slices.Contains(versions, version))
}
