package peermessage

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"skylarklead/internal/strictcbor"
)

// MaxBytes bounds a datagram: what one carries without fragmentation over links with an MTU of 1,500
// bytes.
const MaxBytes = 1472

var (
	// ErrMalformed means that a datagram isn't one of any build.
	ErrMalformed = errors.New("peermessage: malformed datagram")
	// ErrUnknownKind means that a datagram has no message that this build knows. Decode returns
	// its sender.
	ErrUnknownKind = errors.New("peermessage: unknown kind of message")
)

// datagram has the fields of all kinds. Those of one message are set.
type datagram struct {
	From           string          `cbor:"1,keyasint"`
	Epoch          uint64          `cbor:"2,keyasint"`
	Seq            uint64          `cbor:"3,keyasint"`
	Loads          []Load          `cbor:"4,keyasint,omitempty"`
	MemoryTokens   []uint16        `cbor:"19,keyasint,omitempty"`
	Placements     []Placement     `cbor:"6,keyasint,omitempty"`
	RolloutRecords RolloutRecords  `cbor:"5,keyasint,omitempty"`
	StoreReachable uint32          `cbor:"8,keyasint,omitempty"`
	Crashes        Crashes         `cbor:"7,keyasint,omitempty"`
	Query          *TopicsQuery    `cbor:"9,keyasint,omitempty"`
	Response       *TopicsResponse `cbor:"10,keyasint,omitempty"`
	Hint           bool            `cbor:"11,keyasint,omitempty"`
	DigestPart     string          `cbor:"13,keyasint,omitempty"`
	Forward        bool            `cbor:"14,keyasint,omitempty"`
	DigestAck      string          `cbor:"15,keyasint,omitempty"`
	Reports        Reports         `cbor:"12,keyasint,omitempty"`
	Quota          *Quota          `cbor:"16,keyasint,omitempty"`
	Notices        Notices         `cbor:"17,keyasint,omitempty"`
	Sound          Sound           `cbor:"21,keyasint,omitempty"`
	Streams        *Streams        `cbor:"20,keyasint,omitempty"`
	Grant          *Grant          `cbor:"22,keyasint,omitempty"`
	Drain          *Drain          `cbor:"23,keyasint,omitempty"`
}

var decoder = strictcbor.Decoder(strictcbor.Bounds{MapPairs: 16})

// Encode returns the datagram with a message.
func Encode(from Sender, m Message) []byte {
	d := datagram{From: from.ID, Epoch: from.Epoch}
	m.put(&d)
	data, err := cbor.Marshal(&d)
	if err != nil {
		panic(err) // the message consists of plain values
	}
	return data
}

// Decode returns the sender and the message of a datagram, or ErrMalformed or ErrUnknownKind.
func Decode(data []byte) (Sender, Message, error) {
	var d datagram
	if err := decoder.Unmarshal(data, &d); err != nil {
		return Sender{}, nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if d.From == "" {
		return Sender{}, nil, fmt.Errorf("%w: no sender", ErrMalformed)
	}
	from := Sender{ID: d.From, Epoch: d.Epoch}
	m, err := d.message()
	return from, m, err
}

// message returns the only message of a datagram.
func (d *datagram) message() (Message, error) {
	var found []Message
	add := func(set bool, m Message) {
		if set {
			found = append(found, m)
		}
	}
	add(len(d.RolloutRecords) > 0, d.RolloutRecords)
	add(len(d.Crashes) > 0, d.Crashes)
	add(len(d.Reports) > 0, d.Reports)
	add(len(d.Notices) > 0, d.Notices)
	add(len(d.Sound) > 0, d.Sound)
	add(d.Query != nil, d.Query)
	add(d.Response != nil, d.Response)
	add(d.Hint, StoreHint{})
	add(d.Streams != nil, d.Streams)
	add(d.Grant != nil, d.Grant)
	add(d.Quota != nil, d.Quota)
	add(d.DigestAck != "", DigestAck(d.DigestAck))
	// Messages of loads are numbered from 1 on.
	add(d.Seq == 0 && d.Drain != nil, End{})
	add(d.Seq > 0, d.loads())
	switch len(found) {
	case 0:
		return nil, ErrUnknownKind
	case 1:
		return found[0], nil
	}
	return nil, fmt.Errorf("%w: both %v and %v", ErrMalformed, found[0].Kind(), found[1].Kind())
}
