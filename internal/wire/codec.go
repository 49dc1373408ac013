package wire

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"skylarklead/internal/strictcbor"
)

// Kind is the number that stands for a message type on the wire. Numbers are
// never reused for another type.
type Kind uint8

// The kinds.
const (
	kindChallenge Kind = iota + 1
	kindHello
	kindWelcome
	kindAsk
	kindDecision
	kindRun
	kindStart
	kindChunk
	kindEnd
	kindCredit
	kindCancel
	kindResume
	kindResolve
	kindResolved
	kindHeartbeat
	kindConfigFetch
	kindConfigState
	kindStatusRequest
	kindStatus
	kindExplainRequest
	kindExplanation
	kindDrain
	kindDrained
	kindFailure
	kindExport
	kindExported

	kindLast = kindExported
)

func (*Challenge) kind() Kind      { return kindChallenge }
func (*Hello) kind() Kind          { return kindHello }
func (*Welcome) kind() Kind        { return kindWelcome }
func (*Ask) kind() Kind            { return kindAsk }
func (*Decision) kind() Kind       { return kindDecision }
func (*Run) kind() Kind            { return kindRun }
func (*Start) kind() Kind          { return kindStart }
func (*Chunk) kind() Kind          { return kindChunk }
func (*End) kind() Kind            { return kindEnd }
func (*Credit) kind() Kind         { return kindCredit }
func (*Cancel) kind() Kind         { return kindCancel }
func (*Resume) kind() Kind         { return kindResume }
func (*Resolve) kind() Kind        { return kindResolve }
func (*Resolved) kind() Kind       { return kindResolved }
func (*Heartbeat) kind() Kind      { return kindHeartbeat }
func (*ConfigFetch) kind() Kind    { return kindConfigFetch }
func (*ConfigState) kind() Kind    { return kindConfigState }
func (*StatusRequest) kind() Kind  { return kindStatusRequest }
func (*Status) kind() Kind         { return kindStatus }
func (*ExplainRequest) kind() Kind { return kindExplainRequest }
func (*Explanation) kind() Kind    { return kindExplanation }
func (*Drain) kind() Kind          { return kindDrain }
func (*Drained) kind() Kind        { return kindDrained }
func (*Failure) kind() Kind        { return kindFailure }
func (*Export) kind() Kind         { return kindExport }
func (*Exported) kind() Kind       { return kindExported }

// newMessage has a constructor for each kind.
var newMessage = map[Kind]func() Message{
	kindChallenge:      func() Message { return new(Challenge) },
	kindHello:          func() Message { return new(Hello) },
	kindWelcome:        func() Message { return new(Welcome) },
	kindAsk:            func() Message { return new(Ask) },
	kindDecision:       func() Message { return new(Decision) },
	kindRun:            func() Message { return new(Run) },
	kindStart:          func() Message { return new(Start) },
	kindChunk:          func() Message { return new(Chunk) },
	kindEnd:            func() Message { return new(End) },
	kindCredit:         func() Message { return new(Credit) },
	kindCancel:         func() Message { return new(Cancel) },
	kindResume:         func() Message { return new(Resume) },
	kindResolve:        func() Message { return new(Resolve) },
	kindResolved:       func() Message { return new(Resolved) },
	kindHeartbeat:      func() Message { return new(Heartbeat) },
	kindConfigFetch:    func() Message { return new(ConfigFetch) },
	kindConfigState:    func() Message { return new(ConfigState) },
	kindStatusRequest:  func() Message { return new(StatusRequest) },
	kindStatus:         func() Message { return new(Status) },
	kindExplainRequest: func() Message { return new(ExplainRequest) },
	kindExplanation:    func() Message { return new(Explanation) },
	kindDrain:          func() Message { return new(Drain) },
	kindDrained:        func() Message { return new(Drained) },
	kindFailure:        func() Message { return new(Failure) },
	kindExport:         func() Message { return new(Export) },
	kindExported:       func() Message { return new(Exported) },
}

// envelope is a frame: a CBOR array of kind, reference and body. Ref pairs a
// request with its reply; 0 where there is none.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Ref  uint32
	Body cbor.RawMessage
}

// ErrMalformed is wrapped by every error about a frame that can't be decoded.
var ErrMalformed = errors.New("wire: malformed message")

// errUnknownKind is a message of a type that this build doesn't have. It wraps
// ErrMalformed: an opening with it is refused.
var errUnknownKind = fmt.Errorf("%w: unknown kind", ErrMalformed)

// Bounds on what a peer can make us build from one frame.
const (
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 8
	maxNestedLevels  = 8
)

var decMode = strictcbor.Decoder(strictcbor.Bounds{
	ArrayElements: maxArrayElements, MapPairs: maxMapPairs, NestedLevels: maxNestedLevels,
})

// Encode returns the frame of a message.
func Encode(ref uint32, m Message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("wire: encode %T: %w", m, err)
	}
	frame, err := cbor.Marshal(envelope{Kind: m.kind(), Ref: ref, Body: body})
	if err != nil {
		return nil, fmt.Errorf("wire: encode frame of %T: %w", m, err)
	}
	return frame, nil
}

// Decode reads one frame. Errors wrap ErrMalformed.
func Decode(frame []byte) (ref uint32, m Message, err error) {
	var env envelope
	if err := decMode.Unmarshal(frame, &env); err != nil {
		return 0, nil, fmt.Errorf("%w: frame: %v", ErrMalformed, err)
	}
	construct, ok := newMessage[env.Kind]
	if !ok && env.Kind > kindLast {
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
