package direct

import "skylarklead/internal/fleet"

const (
	// wordOverhead is what a message has beside its records, at most: the sender, four
	// topics with their numbers and readers. recordOverhead is the same for a record.
	wordOverhead   = 360
	recordOverhead = 12
)

// wordAsk asks a peer what it knows of each topic, in the order of their numbers.
type wordAsk struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Next has one more than the offset from which on the topic isn't known, 0 for nothing.
	Next []uint64 `cbor:"2,keyasint"`
}

// wordAnswer is the answer to the question of the same Seq; 0 for news.
type wordAnswer struct {
	Seq    uint64      `cbor:"1,keyasint,omitempty"`
	Topics []wordTopic `cbor:"2,keyasint"`
}

// wordTopic is what an entry tells of a topic. The ages are as of when it was sent; news
// have none.
type wordTopic struct {
	Number uint8 `cbor:"1,keyasint"`
	// Next is the offset up to which it is known.
	Next uint64 `cbor:"2,keyasint"`
	// MadeMs is how long ago the call was made that showed so, AnsweredMs its answer came
	// to the entry named by Reader.
	MadeMs     uint64 `cbor:"3,keyasint,omitempty"`
	AnsweredMs uint64 `cbor:"4,keyasint,omitempty"`
	Reader     string `cbor:"5,keyasint,omitempty"`
	// Records follow each other from the offset From on or, of the Whole topic, are the
	// newest of each key.
	From    uint64       `cbor:"6,keyasint,omitempty"`
	Records []wordRecord `cbor:"7,keyasint,omitempty"`
	Whole   bool         `cbor:"8,keyasint,omitempty"`
}

// maxTold bounds the ages that a message may tell, in milliseconds: an hour, many times what
// any topic allows. A longer one is no age, and would turn into a time that lies ahead.
const maxTold = 3_600_000

// possible reports whether the ages are ones that an entry tells.
func (t *wordTopic) possible() bool { return t.MadeMs <= maxTold && t.AnsweredMs <= maxTold }

// wordRecord is a record as the store has it; Gone says that its key is. Offset is there
// only in a whole topic.
type wordRecord struct {
	Key    string  `cbor:"1,keyasint,omitempty"`
	Value  []byte  `cbor:"2,keyasint,omitempty"`
	Gone   bool    `cbor:"3,keyasint,omitempty"`
	Offset *uint64 `cbor:"4,keyasint,omitempty"`
}

// records are the topic's records with their offsets.
func (t *wordTopic) records() []fleet.Record {
	records := make([]fleet.Record, len(t.Records))
	for i, r := range t.Records {
		record := fleet.Record{Offset: t.From + uint64(i), Key: r.Key, Value: r.Value}
		if r.Offset != nil {
			record.Offset = *r.Offset
		}
		if !r.Gone && record.Value == nil {
			record.Value = []byte{}
		}
		records[i] = record
	}
	return records
}
