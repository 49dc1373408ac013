package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"

	"skylarklead/internal/strictjson"
)

// Kind is what a record is about.
type Kind string

// The kinds of records. KindSnapshot is written by the system itself.
const (
	KindOrganisation Kind = "organisation"
	KindModel        Kind = "model"
	KindService      Kind = "service"
	KindGroup        Kind = "group"
	KindSnapshot     Kind = "snapshot"
)

// Kinds are the kinds that operators publish.
var Kinds = []Kind{KindOrganisation, KindModel, KindService, KindGroup}

const (
	// MaxSchema is the newest schema version that this build understands. What a
	// published schema version means is never changed afterwards: builds that
	// judge the same record differently would drift apart.
	MaxSchema = 2
	// MaxRecordBytes bounds a record's size in bytes.
	MaxRecordBytes = 512 << 10
)

// ErrMalformedEnvelope is wrapped by errors about a record whose schema, kind, key or
// base can't be read. Such a record has no effect at all.
var ErrMalformedEnvelope = errors.New("config: not a configuration record")

// Record is an operator's change of one key. Schema, Kind, Key, Base and Delete
// are the envelope: every build reads them alike, whatever the schema version.
type Record struct {
	Schema int    `json:"schema"`
	Kind   Kind   `json:"kind"`
	Key    string `json:"key"`
	// Base is the offset of the record that this one replaces, 0 to create.
	Base   uint64 `json:"base"`
	Delete bool   `json:"delete,omitempty"`
	// Operator names who published it; Nonce makes each publication unique, so
	// that it can be found again on the log when the answer was lost.
	Operator string          `json:"operator,omitempty"`
	Nonce    string          `json:"nonce,omitempty"`
	Body     json.RawMessage `json:"body,omitempty"`

	// parsed is the body as State has it: *Organisation, *Model, *Service,
	// *Group, *SnapshotPart or *SnapshotMark; nil for deletions and unknown schema versions.
	parsed any
}

// Name is kind and key in one, such as "model/ledger-7b".
func (r *Record) Name() string { return name(r.Kind, r.Key) }

func name(kind Kind, key string) string { return string(kind) + "/" + key }

// KnownSchema reports whether this build knows the record's schema version.
func (r *Record) KnownSchema() bool { return r.Schema <= MaxSchema }

// Encode returns the record as it goes onto the log.
func (r *Record) Encode() ([]byte, error) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false) // texts stay readable on the log
	if err := enc.Encode(r); err != nil {
		return nil, fmt.Errorf("config: encode %s: %w", r.Name(), err)
	}
	data := bytes.TrimSuffix(buf.Bytes(), []byte{'\n'})
	if len(data) > MaxRecordBytes {
		return nil, fmt.Errorf("config: %s has %d bytes, more than %d", r.Name(), len(data), MaxRecordBytes)
	}
	return data, nil
}

// ParseRecord reads and checks a record, JSON with comments; file names it in
// errors. With an error that wraps ErrEnvelope nothing of it could be read;
// with any other one, a strictjson.Problems, the envelope is good but the rest
// is not. A record of an unknown newer schema is no error.
func ParseRecord(data []byte, file string) (Record, error) {
	return parseRecord(data, file, MaxSchema)
}

// parseRecord is ParseRecord for a build that knows schemas up to maxSchema.
func parseRecord(data []byte, file string, maxSchema int) (Record, error) {
	if len(data) > MaxRecordBytes {
		return Record{}, fmt.Errorf("%w: %s: %d bytes, more than %d", ErrMalformedEnvelope, file, len(data), MaxRecordBytes)
	}
	var r Record
	doc := strictjson.Decode(data, file, &r)
	envelope := doc
	if !doc.OK() {
		// Unknown fields are no fault of a newer schema's envelope.
		r = Record{}
		envelope = strictjson.DecodeLenient(data, file, &r)
	}
	checkEnvelope(envelope, &r)
	if err := envelope.Err(); err != nil {
		return Record{}, &envelopeError{err}
	}
	if r.Schema > maxSchema && r.Kind != KindSnapshot {
		return r, nil
	}
	r.parsed = parseBody(doc, &r)
	return r, doc.Err()
}

// envelopeError is both ErrEnvelope and the problems found.
type envelopeError struct{ problems error }

func (e *envelopeError) Error() string   { return e.problems.Error() }
func (e *envelopeError) Unwrap() []error { return []error{ErrMalformedEnvelope, e.problems} }

var (
	keyPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	kindPattern = regexp.MustCompile(`^[a-z][a-z_]{0,31}$`)
)

const wantKey = "letters, digits, '.', '_' and '-', at most 64"

func checkEnvelope(doc *strictjson.Document, r *Record) {
	if !doc.OK() {
		return
	}
	if r.Schema < 1 {
		doc.Add("schema", fmt.Sprintf("is %d", r.Schema), fmt.Sprintf("a schema version, 1 to %d", MaxSchema))
	}
	if !kindPattern.MatchString(string(r.Kind)) {
		doc.Add("kind", fmt.Sprintf("%.40q is no kind", r.Kind), wantKind)
	}
	if !keyPattern.MatchString(r.Key) {
		doc.Add("key", fmt.Sprintf("%.80q is no key", r.Key), wantKey)
	}
}
