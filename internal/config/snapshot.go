package config

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"

	"skylarklead/internal/strictjson"
)

const (
	// snapshotSchema is the schema version of snapshot records.
	snapshotSchema = 1
	// snapshotKey is the key of snapshot parts, snapshotMarkerKey that of completion
	// markers. Builds that don't know markers take them for invalid parts, which
	// change nothing.
	snapshotKey       = "state"
	snapshotMarkerKey = "written"
	// snapshotPartBytes keeps a part, encoded as base64, below MaxRecordBytes.
	snapshotPartBytes = 256 << 10
	// maxSnapshotParts bounds the memory that one snapshot can take at a reader.
	maxSnapshotParts = 512
	// maxPendingSnapshots bounds the snapshots that are held incomplete, such as
	// those whose writer crashed between parts.
	maxPendingSnapshots = 4
)

// SnapshotPart is the body of a snapshot record: one part of a state encoded by
// EncodeState.
type SnapshotPart struct {
	// AsOf is the offset of the encoded state.
	AsOf uint64 `json:"as_of"`
	// Part is the index of the part, from 0 to Parts-1.
	Part  int `json:"part"`
	Parts int `json:"parts"`
	// ID is unique to one snapshot, so that parts of different writers are never
	// combined.
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
// The ID must be unique among all snapshots.
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

// SnapshotMarker is a completion marker on the configuration log. It says that all
// parts of a snapshot are on the separate snapshot stream, so that readers of the
// configuration needn't read that stream.
type SnapshotMarker struct {
	AsOf uint64 `json:"as_of"`
	ID   string `json:"id"`
}

// Encode returns the marker's encoded record.
func (m SnapshotMarker) Encode() ([]byte, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("config: encode snapshot marker: %w", err)
	}
	return encodeSnapshot(snapshotMarkerKey, body)
}

func parseSnapshotMarker(doc *strictjson.Document) *SnapshotMarker {
	var marker SnapshotMarker
	doc.DecodeField("body", &marker)
	return &marker
}

// SnapshotMarker returns the record's body if it is a completion marker.
func (r *Record) SnapshotMarker() (SnapshotMarker, bool) {
	marker, ok := r.parsed.(*SnapshotMarker)
	if !ok {
		return SnapshotMarker{}, false
	}
	return *marker, true
}

// Assembler reassembles snapshots from the parts read from the log. The zero value
// is ready to use.
type Assembler struct {
	// pending has the incomplete snapshots by ID.
	pending map[string]*pendingSnapshot
}

type pendingSnapshot struct {
	asOf    uint64
	parts   [][]byte
	missing int
}

// Snapshot is a complete encoded state read from the log.
type Snapshot struct {
	AsOf uint64
	Data []byte
}

// Decode returns the snapshot's state. Errors wrap ErrMalformedState.
func (p *Snapshot) Decode() (*State, error) {
	s, err := DecodeState(p.Data)
	if err != nil {
		return nil, err
	}
	if s.Offset != p.AsOf {
		return nil, fmt.Errorf("%w: snapshot as of offset %d has a state at offset %d", ErrMalformedState, p.AsOf, s.Offset)
	}
	return s, nil
}

// Add adds the record of an accepted Verdict. It returns the snapshot that the
// record completes, or nil; it ignores records that aren't snapshot parts. Errors
// wrap ErrMalformedState.
func (a *Assembler) Add(r Record) (*Snapshot, error) {
	part, ok := r.parsed.(*SnapshotPart)
	if !ok {
		return nil, nil
	}
	p := a.pendingFor(part)
	if p.asOf != part.AsOf || len(p.parts) != part.Parts {
		return nil, fmt.Errorf("%w: parts of snapshot %.40q differ in offset or part count", ErrMalformedState, part.ID)
	}
	if p.parts[part.Part] == nil {
		p.parts[part.Part] = part.Data
		p.missing--
	}
	if p.missing > 0 {
		return nil, nil
	}
	delete(a.pending, part.ID)
	return &Snapshot{AsOf: part.AsOf, Data: bytes.Join(p.parts, nil)}, nil
}

// pendingFor returns the incomplete snapshot that part belongs to and adds it if it
// is new, dropping the oldest one beyond maxPendingSnapshots.
func (a *Assembler) pendingFor(part *SnapshotPart) *pendingSnapshot {
	if a.pending == nil {
		a.pending = map[string]*pendingSnapshot{}
	}
	if p := a.pending[part.ID]; p != nil {
		return p
	}
	if len(a.pending) >= maxPendingSnapshots {
		a.dropOldest()
	}
	p := &pendingSnapshot{asOf: part.AsOf, parts: make([][]byte, part.Parts), missing: part.Parts}
	a.pending[part.ID] = p
	return p
}

func (a *Assembler) dropOldest() {
	oldest := ""
	for id, p := range a.pending {
		if oldest == "" || p.asOf < a.pending[oldest].asOf {
			oldest = id
		}
	}
	delete(a.pending, oldest)
}
