package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"time"

	"skylarklead/internal/config"
	"skylarklead/internal/standin/load"
)

// ConfigurationPoint measures the cost of a configuration with a number of
// organisations.
type ConfigurationPoint struct {
	Organisations int `json:"organisations"`
	// Instructions is the size of each organisation's standing instructions.
	Instructions int `json:"instruction_bytes"`
	// RecordBytes is the size of all records on the log.
	RecordBytes int `json:"record_bytes"`
	// StateBytes is the heap size of the state.
	StateBytes int64 `json:"state_heap_bytes"`
	// Encoded is the size of the whole state, compressed, as sent between
	// processes and stored in a snapshot; Change that of one changed record as
	// sent to a peer.
	Encoded int `json:"encoded_bytes"`
	Change  int `json:"change_bytes"`
	// The times on one core to apply all records from the log, to encode the state,
	// to decode it, to apply one more record, and to encode one change.
	ApplyAll     float64 `json:"apply_all_seconds"`
	Encode       float64 `json:"encode_seconds"`
	Decode       float64 `json:"decode_seconds"`
	ApplyOne     float64 `json:"apply_one_seconds"`
	EncodeChange float64 `json:"encode_change_seconds"`
	// Failed is set when the state can't be encoded or decoded.
	Failed string `json:"failed,omitempty"`
}

// targetOrganisations is the number of organisations of the target size.
const targetOrganisations = 11_000

// configurationSizes are four numbers of organisations, and the last of them also
// with shorter and longer instructions, in bytes.
var configurationSizes = []struct{ organisations, instructions int }{
	{100, 4 << 10}, {1000, 4 << 10}, {4000, 4 << 10}, {targetOrganisations, 4 << 10},
	{targetOrganisations, 1 << 10}, {targetOrganisations, 16 << 10},
}

// ConfigurationSlopes measures configurations of several sizes in this process.
func ConfigurationSlopes(ctx context.Context, progress io.Writer, o SlopeOptions) ([]ConfigurationPoint, error) {
	var points []ConfigurationPoint
	for _, size := range configurationSizes {
		var p ConfigurationPoint
		err := o.withLock(ctx, func() (err error) { p, err = configurationPoint(size.organisations, size.instructions); return err })
		if err != nil {
			return points, err
		}
		points = append(points, p)
		fmt.Fprintf(progress, "%+v\n", p)
	}
	return points, nil
}

func configurationPoint(organisations, instructions int) (ConfigurationPoint, error) {
	p := ConfigurationPoint{Organisations: organisations, Instructions: instructions}
	entries := make([]config.LogEntry, organisations)
	for i := range entries {
		data, err := organisationRecord(i, 0, instructions)
		if err != nil {
			return p, err
		}
		p.RecordBytes += len(data)
		entries[i] = config.LogEntry{Offset: uint64(i + 1), Data: data}
	}
	before := heapBytes()
	var state *config.State
	p.ApplyAll = timeSeconds(func() { state, _ = config.NewState().ApplyAll(entries) })
	// The state retains the records, which were allocated before.
	p.StateBytes = heapBytes() - before + int64(p.RecordBytes)
	if len(state.Organisations) != organisations {
		return p, fmt.Errorf("measure: %d of %d records accepted", len(state.Organisations), organisations)
	}
	p.measureChange(state, instructions)
	var encoded []byte
	var err error
	p.Encode = timeSeconds(func() { encoded, err = config.EncodeState(state) })
	p.Encoded = len(encoded)
	if err != nil {
		p.Failed = err.Error()
		return p, nil
	}
	p.Decode = timeSeconds(func() { _, err = config.DecodeState(encoded) })
	if err != nil {
		p.Failed = err.Error()
	}
	runtime.KeepAlive(entries)
	return p, nil
}

func (p *ConfigurationPoint) measureChange(state *config.State, instructions int) {
	data, err := organisationRecord(0, 1, instructions)
	if err != nil {
		p.Failed = err.Error()
		return
	}
	var next *config.State
	p.ApplyOne = timeSeconds(func() { next, _ = state.Apply(state.Offset+1, data) })
	var encoded []byte
	p.EncodeChange = timeSeconds(func() { encoded, err = config.EncodeSince(next, state.Offset) })
	if err != nil {
		p.Failed = err.Error()
	}
	p.Change = len(encoded)
}

// organisationRecord returns a record of schema 2 with generated instructions. A
// quarter of their text is shared by all organisations, the rest is the
// organisation's own.
func organisationRecord(i int, base uint64, instructions int) ([]byte, error) {
	const tokenBytes = 4
	id := fmt.Sprintf("organisation-%05d", i)
	body, err := json.Marshal(map[string]any{
		"key_digests": []string{fmt.Sprintf("%064x", i+1)},
		"models":      []map[string]string{{"name": "model-a"}, {"name": "model-b"}},
		"instructions": []string{
			load.Text("firm", instructions/4/tokenBytes),
			load.Text(id, instructions*3/4/tokenBytes),
		},
		"weight": 1,
	})
	if err != nil {
		return nil, fmt.Errorf("measure: %w", err)
	}
	r := config.Record{Schema: 2, Kind: config.KindOrganisation, Key: id, Base: base, Operator: "slopes", Body: body}
	return r.Encode()
}

func timeSeconds(f func()) float64 {
	start := time.Now()
	f()
	return time.Since(start).Seconds()
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
