package config

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"

	"skylarklead/internal/strictjson"
)

const (
	// snapshotSchema is the schema of snapshot records.
	snapshotSchema = 1
	// snapshotKey is the key of parts, snapshotMarkKey that of marks. To builds that
	// don't know marks they are invalid parts, which change nothing.
	snapshotKey     = "state"
	snapshotMarkKey = "written"
	// snapshotPartBytes keeps a part, in base64, under MaxRecord.
	snapshotPartBytes = 256 << 10
	// maxSnapshotParts bounds what one snapshot may ask a reader to keep.
	maxSnapshotParts = 512
	// maxOpenSnapshots bounds snapshots of which parts are still missing, such as
	// those whose writer died halfway.
	maxOpenSnapshots = 4
)

// SnapshotPart is the body of a snapshot record: a part of a state encoded by
// EncodeState.
type SnapshotPart struct {
	// AsOf is the offset of the state.
	AsOf uint64 `json:"as_of"`
	// Part counts from 0 to Parts-1.
	Part  int `json:"part"`
	Parts int `json:"parts"`
	// ID is the writer's own, so that two writers' parts are never mixed.
	ID   string `json:"id"`
	Data []byte `json:"-"`
}

type snapshotBody struct {
	AsOf  uint64 `json:"as_of"`
	Part  int    `json:"part"`
	Parts int    `json:"parts"`
	ID    string `json:"id"`
	Data  string `json:"data"`
}

func parseSnapshotPart(doc *strictjson.Document) *SnapshotPart {
	var body snapshotBody
	doc.DecodeField("body", &body)
	data, err := base64.StdEncoding.DecodeString(body.Data)
	if err != nil {
		doc.Add("body.data", "is not base64", "base64")
	}
	if body.Parts < 1 || body.Parts > maxSnapshotParts {
		doc.Add("body.parts", fmt.Sprintf("is %d", body.Parts), fmt.Sprintf("1 to %d", maxSnapshotParts))
	}
	if body.Part < 0 || body.Part >= body.Parts {
		doc.Add("body.part", fmt.Sprintf("is %d", body.Part), "less than body.parts")
	}
	return &SnapshotPart{AsOf: body.AsOf, Part: body.Part, Parts: body.Parts, ID: body.ID, Data: data}
}

// SnapshotRecords returns the records to append, in order, for a snapshot of s.
// The ID must be unique.
func SnapshotRecords(s *State, id string) ([][]byte, error) {
	return snapshotRecords(s, id, snapshotPartBytes)
}

func snapshotRecords(s *State, id string, partBytes int) ([][]byte, error) {
	encoded, err := EncodeState(s)
	if err != nil {
		return nil, err
	}
	parts := (len(encoded) + partBytes - 1) / partBytes
	if parts > maxSnapshotParts {
		return nil, fmt.Errorf("config: a snapshot of %d parts, more than %d", parts, maxSnapshotParts)
	}
	records := make([][]byte, 0, parts)
	for i := range parts {
		data := encoded[i*partBytes : min((i+1)*partBytes, len(encoded))]
		record, err := snapshotRecord(s.Offset, i, parts, id, data)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

func snapshotRecord(asOf uint64, part, parts int, id string, data []byte) ([]byte, error) {
	body, err := json.Marshal(struct {
		SnapshotPart
		Data []byte `json:"data"`
	}{SnapshotPart{AsOf: asOf, Part: part, Parts: parts, ID: id}, data})
	if err != nil {
		return nil, fmt.Errorf("config: encode snapshot: %w", err)
	}
	return encodeSnapshot(snapshotKey, body)
}

func encodeSnapshot(key string, body json.RawMessage) ([]byte, error) {
	r := Record{Schema: snapshotSchema, Kind: KindSnapshot, Key: key, Operator: "skylarkd", Body: body}
	return r.Encode()
}

// SnapshotMarker tells those who follow the configuration that all parts of a
// snapshot are on the snapshots' own stream, so that they needn't read it.
type SnapshotMarker struct {
	AsOf uint64 `json:"as_of"`
	ID   string `json:"id"`
}

// Encode returns the mark's record.
func (m SnapshotMarker) Encode() ([]byte, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("config: encode snapshot mark: %w", err)
	}
	return encodeSnapshot(snapshotMarkKey, body)
}

func parseSnapshotMark(doc *strictjson.Document) *SnapshotMarker {
	var mark SnapshotMarker
	doc.DecodeField("body", &mark)
	return &mark
}

// SnapshotMarker returns the mark that a record is, if it is one.
func (r *Record) SnapshotMarker() (SnapshotMarker, bool) {
	mark, ok := r.parsed.(*SnapshotMarker)
	if !ok {
		return SnapshotMarker{}, false
	}
	return *mark, true
}

// Assembler puts snapshots together from the parts met on the log.
type Assembler struct {
	open map[string]*openSnapshot
}

type openSnapshot struct {
	asOf    uint64
	parts   [][]byte
	missing int
}

// Snapshot is a whole encoded state from the log.
type Snapshot struct {
	AsOf uint64
	Data []byte
}

// Decode returns the snapshot's state. Errors wrap ErrState.
func (p *Snapshot) Decode() (*State, error) {
	s, err := DecodeState(p.Data)
	if err != nil {
		return nil, err
	}
	if s.Offset != p.AsOf {
		return nil, fmt.Errorf("%w: a snapshot as of %d of a state at %d", ErrMalformedState, p.AsOf, s.Offset)
	}
	return s, nil
}

// Add takes the record of an accepted Verdict. It returns a snapshot once its
// last part is there, else nil. Errors wrap ErrState.
func (a *Assembler) Add(r Record) (*Snapshot, error) {
	part, ok := r.parsed.(*SnapshotPart)
	if !ok {
		return nil, nil
	}
	o := a.opened(part)
	if o.asOf != part.AsOf || len(o.parts) != part.Parts {
		return nil, fmt.Errorf("%w: parts of snapshot %.40q don't agree", ErrMalformedState, part.ID)
	}
	if o.parts[part.Part] == nil {
		o.parts[part.Part] = part.Data
		o.missing--
	}
	if o.missing > 0 {
		return nil, nil
	}
	delete(a.open, part.ID)
	return &Snapshot{AsOf: part.AsOf, Data: bytes.Join(o.parts, nil)}, nil
}

func (a *Assembler) opened(part *SnapshotPart) *openSnapshot {
	if a.open == nil {
		a.open = map[string]*openSnapshot{}
	}
	if o := a.open[part.ID]; o != nil {
		return o
	}
	if len(a.open) >= maxOpenSnapshots {
		a.dropOldest()
	}
	o := &openSnapshot{asOf: part.AsOf, parts: make([][]byte, part.Parts), missing: part.Parts}
	a.open[part.ID] = o
	return o
}

func (a *Assembler) dropOldest() {
	oldest := ""
	for id, o := range a.open {
		if oldest == "" || o.asOf < a.open[oldest].asOf {
			oldest = id
		}
	}
	delete(a.open, oldest)
}
