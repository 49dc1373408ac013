package peermessage

// Streams says or asks which software began streams, and which uses of software the store has.
type Streams struct {
	Begun []BegunStream `cbor:"1,keyasint,omitempty"`
	// Asked are streams that the sender wants to know, Unknown those that it was asked for and
	// doesn't know.
	Asked   []uint64 `cbor:"2,keyasint,omitempty"`
	Unknown []uint64 `cbor:"3,keyasint,omitempty"`
	// Written are uses that were written to the store in an era, AskedUses those that the sender wants to
	// know about.
	Written   []WrittenUse `cbor:"4,keyasint,omitempty"`
	Era       uint64       `cbor:"5,keyasint,omitempty"`
	AskedUses []WrittenUse `cbor:"6,keyasint,omitempty"`
	// Doubts are what the sender knows of streams that began at software without a record. AskedDoubts
	// asks for them; Knows is in the answer. Entries of older builds send none of these and answer nothing.
	Doubts      []Doubt        `cbor:"7,keyasint,omitempty"`
	AskedDoubts bool           `cbor:"8,keyasint,omitempty"`
	Knows       DoubtKnowledge `cbor:"9,keyasint,omitempty"`
}

// BegunStream is an origin.Stream with the origin.Software that began it. The fields are encoded as an
// array, in this order.
type BegunStream struct {
	_        struct{} `cbor:",toarray"`
	Stream   uint64
	Software uint64
}

// WrittenUse is an origin.Use. The fields are encoded as an array, in this order.
type WrittenUse struct {
	_        struct{} `cbor:",toarray"`
	Software uint64
	Model    uint64
}

// Doubt is an origin.Doubt. The fields are encoded as an array, in this order.
type Doubt struct {
	_              struct{} `cbor:",toarray"`
	Service, Model string
	LeftMs         uint32
}

// DoubtKnowledge says what the sender of an answer knows of streams that began before it started.
type DoubtKnowledge uint8

const (
	_ DoubtKnowledge = iota
	// KnowsNothing is of an entry that knows only what was said since it started, KnowsOutage of one that
	// has just started while the store didn't answer, KnowsDoubts of one that knows all.
	KnowsNothing
	KnowsOutage
	KnowsDoubts
)

// Kind implements Message.
func (*Streams) Kind() Kind { return KindStreams }

func (m *Streams) put(d *datagram) { d.Streams = m }
