package peermessage

import "skylarklead/internal/fleet"

// maxAgeMs bounds the ages in a message, in milliseconds. It is an hour, many times what any topic
// allows; a larger value could overflow into a time in the future.
const maxAgeMs = 3_600_000

// TopicsQuery asks a peer for the state of every topic of the store, in the order of the topic IDs.
type TopicsQuery struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Next holds, for each topic, the next unknown offset plus one; 0 if nothing is known.
	Next []uint64 `cbor:"2,keyasint"`
}

// TopicsResponse answers the query with the same Seq; an update that was not asked for has Seq 0.
type TopicsResponse struct {
	Seq    uint64       `cbor:"1,keyasint,omitempty"`
	Topics []TopicState `cbor:"2,keyasint"`
}

// TopicState is what an entry knows of a topic. Ages are relative to the time of sending; updates
// have none.
type TopicState struct {
	TopicID uint8 `cbor:"1,keyasint"`
	// Next is the offset below which all records are known.
	Next uint64 `cbor:"2,keyasint"`
	// CallAgeMs is the time since the entry named by Reader made the store call that showed this
	// state, ResponseAgeMs the time since it received the store's answer.
	CallAgeMs     uint64 `cbor:"3,keyasint,omitempty"`
	ResponseAgeMs uint64 `cbor:"4,keyasint,omitempty"`
	Reader        string `cbor:"5,keyasint,omitempty"`
	// Records are consecutive from offset From on. In a Snapshot they are the newest record of each
	// key.
	From     uint64        `cbor:"6,keyasint,omitempty"`
	Records  []TopicRecord `cbor:"7,keyasint,omitempty"`
	Snapshot bool          `cbor:"8,keyasint,omitempty"`
}

// TopicRecord is a record of the store; Deleted marks a deleted key. Offset is set only in a
// snapshot.
type TopicRecord struct {
	Key     string  `cbor:"1,keyasint,omitempty"`
	Value   []byte  `cbor:"2,keyasint,omitempty"`
	Deleted bool    `cbor:"3,keyasint,omitempty"`
	Offset  *uint64 `cbor:"4,keyasint,omitempty"`
}

// StoreHint tells a peer that the store answers the sender although it does not answer the receiver.
type StoreHint struct{}

// Kind implements Message.
func (*TopicsQuery) Kind() Kind { return KindTopicsQuery }

// Kind implements Message.
func (*TopicsResponse) Kind() Kind { return KindTopicsResponse }

// Kind implements Message.
func (StoreHint) Kind() Kind { return KindStoreHint }

func (m *TopicsQuery) put(d *datagram)    { d.Query = m }
func (m *TopicsResponse) put(d *datagram) { d.Response = m }
func (StoreHint) put(d *datagram)         { d.Hint = true }

// Valid reports whether the ages are within bounds.
func (t *TopicState) Valid() bool { return t.CallAgeMs <= maxAgeMs && t.ResponseAgeMs <= maxAgeMs }

// StoreRecords returns the topic's records with their offsets.
func (t *TopicState) StoreRecords() []fleet.Record {
	records := make([]fleet.Record, len(t.Records))
	for i, r := range t.Records {
		record := fleet.Record{Offset: t.From + uint64(i), Key: r.Key, Value: r.Value}
		if r.Offset != nil {
			record.Offset = *r.Offset
		}
		if !r.Deleted && record.Value == nil {
			record.Value = []byte{}
		}
		records[i] = record
	}
	return records
}
