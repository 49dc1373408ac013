package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"

	"skylarklead/internal/strictjson"
)

// Kind is the type of thing that a record configures.
type Kind string

// The kinds of records. Records of KindSnapshot are written by the daemons.
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
	// MaxSchema is the newest schema version that this build understands. The
	// meaning of a released schema version must never change: builds that validate
	// the same record differently would diverge.
	MaxSchema = 2
	// MaxRecordBytes bounds an encoded record.
	MaxRecordBytes = 512 << 10
)

// ErrMalformedEnvelope is wrapped by errors about a record whose schema, kind, key
// or base can't be decoded. Such a record has no effect.
var ErrMalformedEnvelope = errors.New("config: not a configuration record")

// Record is an operator's change of one key. Schema, Kind, Key, Base and Delete
// form the envelope, which every build decodes alike whatever the schema version.
type Record struct {
	Schema int    `json:"schema"`
	Kind   Kind   `json:"kind"`
	Key    string `json:"key"`
	// Base is the offset of the record that this one replaces, 0 to create.
	Base   uint64 `json:"base"`
	Delete bool   `json:"delete,omitempty"`
	// Operator is the name of the publisher. Nonce makes each publication unique, so
	// that it can be found on the log if the append's answer was lost.
	Operator string          `json:"operator,omitempty"`
	Nonce    string          `json:"nonce,omitempty"`
	Body     json.RawMessage `json:"body,omitempty"`

	// parsed is the decoded body: *Organisation, *Model, *Service, *Group,
	// *SnapshotPart or *SnapshotMarker; nil for deletions and unknown schema
	// versions.
	parsed any
}

// Name returns the kind and key joined, such as "model/ledger-7b".
func (r *Record) Name() string { return name(r.Kind, r.Key) }

func name(kind Kind, key string) string { return string(kind) + "/" + key }

// KnownSchema reports whether this build knows the record's schema version.
func (r *Record) KnownSchema() bool { return r.Schema <= MaxSchema }

// Encode returns the record as JSON for the log.
func (r *Record) Encode() ([]byte, error) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false) // keeps texts readable on the log
	if err := enc.Encode(r); err != nil {
		return nil, fmt.Errorf("config: encode %s: %w", r.Name(), err)
	}
	data := bytes.TrimSuffix(buf.Bytes(), []byte{'\n'})
	if len(data) > MaxRecordBytes {
		return nil, fmt.Errorf("config: %s has %d bytes, more than %d", r.Name(), len(data), MaxRecordBytes)
	}
	return data, nil
}

// ParseRecord decodes and validates a record, JSON with comments; file is its name
// in errors. If the error wraps ErrMalformedEnvelope, the returned record is empty.
// Any other error is a strictjson.Problems: the envelope is valid but the rest is
// not. A record of an unknown newer schema is not an error.
func ParseRecord(data []byte, file string) (Record, error) {
	return parseRecord(data, file, MaxSchema)
}

// parseRecord is ParseRecord for a build that knows the schemas up to maxSchema.
func parseRecord(data []byte, file string, maxSchema int) (Record, error) {
	if len(data) > MaxRecordBytes {
		return Record{}, fmt.Errorf("%w: %s: %d bytes, more than %d", ErrMalformedEnvelope, file, len(data), MaxRecordBytes)
	}
	var r Record
	doc := strictjson.Decode(data, file, &r)
	envelope := doc
	if !doc.OK() {
		// An envelope of a newer schema may have further fields.
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

// envelopeError wraps both ErrMalformedEnvelope and the problems found.
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
		doc.Add("kind", fmt.Sprintf("%.40q is not a kind", r.Kind), wantKind)
	}
	if !keyPattern.MatchString(r.Key) {
		doc.Add("key", fmt.Sprintf("%.80q is not a key", r.Key), wantKey)
	}
}
