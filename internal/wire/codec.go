// Package wire transports the messages between the system's own processes: CBOR
// frames over authenticated WebSocket sessions.
//
// The messages are in package protocol. codec.go encodes and decodes frames,
// session.go implements sessions, pool.go keeps a process's outgoing sessions. No
// message has a wall-clock time: durations are relative to its receipt.
package wire

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"skylarklead/internal/protocol"
	"skylarklead/internal/strictcbor"
)

// messageConstructors has a constructor for each kind of message.
var messageConstructors = map[protocol.Kind]func() protocol.Message{
	protocol.KindChallenge:      func() protocol.Message { return new(protocol.Challenge) },
	protocol.KindHello:          func() protocol.Message { return new(protocol.Hello) },
	protocol.KindWelcome:        func() protocol.Message { return new(protocol.Welcome) },
	protocol.KindAsk:            func() protocol.Message { return new(protocol.Ask) },
	protocol.KindDecision:       func() protocol.Message { return new(protocol.Decision) },
	protocol.KindRun:            func() protocol.Message { return new(protocol.Run) },
	protocol.KindStart:          func() protocol.Message { return new(protocol.Start) },
	protocol.KindChunk:          func() protocol.Message { return new(protocol.Chunk) },
	protocol.KindEnd:            func() protocol.Message { return new(protocol.End) },
	protocol.KindCredit:         func() protocol.Message { return new(protocol.Credit) },
	protocol.KindCancel:         func() protocol.Message { return new(protocol.Cancel) },
	protocol.KindResume:         func() protocol.Message { return new(protocol.Resume) },
	protocol.KindResolve:        func() protocol.Message { return new(protocol.Resolve) },
	protocol.KindResolved:       func() protocol.Message { return new(protocol.Resolved) },
	protocol.KindHeartbeat:      func() protocol.Message { return new(protocol.Heartbeat) },
	protocol.KindConfigFetch:    func() protocol.Message { return new(protocol.ConfigFetch) },
	protocol.KindConfigState:    func() protocol.Message { return new(protocol.ConfigState) },
	protocol.KindStatusRequest:  func() protocol.Message { return new(protocol.StatusRequest) },
	protocol.KindStatus:         func() protocol.Message { return new(protocol.Status) },
	protocol.KindExplainRequest: func() protocol.Message { return new(protocol.ExplainRequest) },
	protocol.KindExplanation:    func() protocol.Message { return new(protocol.Explanation) },
	protocol.KindDrain:          func() protocol.Message { return new(protocol.Drain) },
	protocol.KindDrained:        func() protocol.Message { return new(protocol.Drained) },
	protocol.KindFailure:        func() protocol.Message { return new(protocol.Failure) },
	protocol.KindExport:         func() protocol.Message { return new(protocol.Export) },
	protocol.KindExported:       func() protocol.Message { return new(protocol.Exported) },
}

// envelope is a frame: a CBOR array of kind, reference and body. Ref matches a
// reply to its request; 0 if no reply is expected.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	Kind protocol.Kind
	Ref  uint32
	Body cbor.RawMessage
}

// ErrMalformed is wrapped by every error about a frame that can't be decoded.
var ErrMalformed = errors.New("wire: malformed message")

// errUnknownKind is a message of a kind that this build doesn't know. It wraps
// ErrMalformed, so that a handshake with such a message fails.
var errUnknownKind = fmt.Errorf("%w: unknown kind", ErrMalformed)

// Bounds on what decoding one frame from a peer can allocate.
const (
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 8
	maxNestedLevels  = 8
)

var decMode = strictcbor.Decoder(strictcbor.Bounds{
	ArrayElements: maxArrayElements, MapPairs: maxMapPairs, NestedLevels: maxNestedLevels,
})

// Encode returns the frame of a message.
func Encode(ref uint32, m protocol.Message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("wire: encode %T: %w", m, err)
	}
	frame, err := cbor.Marshal(envelope{Kind: m.Kind(), Ref: ref, Body: body})
	if err != nil {
		return nil, fmt.Errorf("wire: encode frame of %T: %w", m, err)
	}
	return frame, nil
}

// Decode decodes one frame. Errors wrap ErrMalformed.
func Decode(frame []byte) (ref uint32, m protocol.Message, err error) {
	var env envelope
	if err := decMode.Unmarshal(frame, &env); err != nil {
		return 0, nil, fmt.Errorf("%w: frame: %v", ErrMalformed, err)
	}
	construct, ok := messageConstructors[env.Kind]
	if !ok && env.Kind > protocol.KindLast {
		return 0, nil, fmt.Errorf("%w %d", errUnknownKind, env.Kind)
	}
	if !ok {
		return 0, nil, fmt.Errorf("%w: kind %d", ErrMalformed, env.Kind)
	}
	m = construct()
	if err := decMode.Unmarshal(env.Body, m); err != nil {
		return 0, nil, fmt.Errorf("%w: %T: %v", ErrMalformed, m, err)
	}
	return env.Ref, m, nil
}
