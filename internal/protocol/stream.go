package protocol

// Start reports that the request was forwarded to the engine or service and that
// the answer begins.
type Start struct {
	Attempt     AttemptID `cbor:"1,keyasint"`
	Status      int       `cbor:"2,keyasint,omitempty"`
	ContentType string    `cbor:"3,keyasint,omitempty"`
}

// Chunk is one part of an answer. Seq numbers the chunks of a request's answer from
// 0, without gaps, across attempts. For a chat answer, Data is the UTF-8 text of
// one delta; the entry builds the caller's events from it, and the finish reason
// and usage come with End. For a service call, Data is bytes of the body.
type Chunk struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Seq     uint64    `cbor:"2,keyasint"`
	Data    []byte    `cbor:"3,keyasint"`
}

// End is the explicit end of an attempt. Seq is the number that the next chunk
// would have had, so that the receiver knows whether it has all chunks.
type End struct {
	Attempt          AttemptID `cbor:"1,keyasint"`
	Seq              uint64    `cbor:"2,keyasint"`
	Outcome          Outcome   `cbor:"3,keyasint"`
	Code             Code      `cbor:"4,keyasint,omitempty"`
	Message          string    `cbor:"5,keyasint,omitempty"`
	RetryAfterMs     int64     `cbor:"6,keyasint,omitempty"`
	Redirect         *Target   `cbor:"7,keyasint,omitempty"`
	PromptTokens     int       `cbor:"8,keyasint,omitempty"`
	CachedTokens     int       `cbor:"9,keyasint,omitempty"`
	CompletionTokens int       `cbor:"10,keyasint,omitempty"`
	FinishReason     string    `cbor:"11,keyasint,omitempty"`
	// EngineCrashed is set when the engine was lost while running this attempt.
	EngineCrashed bool `cbor:"12,keyasint,omitempty"`
}

// Credit allows the sender of an attempt's chunks to continue up to, but excluding,
// Seq.
type Credit struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Seq     uint64    `cbor:"2,keyasint"`
}

// Resume asks the executor to send an attempt's chunks again from Seq on, over this
// session. The answer is chunks and End, or End with Unknown if this epoch doesn't
// know the attempt.
type Resume struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Epoch   Epoch     `cbor:"2,keyasint"`
	Seq     uint64    `cbor:"3,keyasint"`
	Window  uint32    `cbor:"4,keyasint"`
	// Organisation is the one that requests the stream. The executor answers
	// Unknown if the attempt belongs to another organisation.
	Organisation string `cbor:"5,keyasint,omitempty"`
}
