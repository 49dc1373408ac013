package protocol

// Start says that the request was handed to the engine or service and that its
// answer begins.
type Start struct {
	Attempt     AttemptID `cbor:"1,keyasint"`
	Status      int       `cbor:"2,keyasint,omitempty"`
	ContentType string    `cbor:"3,keyasint,omitempty"`
}

// Chunk is one piece of an answer. Seq numbers the pieces of one request's
// answer from 0, without gaps, across attempts. Of a chat answer, Data is the
// UTF-8 text of one delta (the entry makes the caller's events of it; finish
// reason and usage come with End); of a service call, bytes of the body.
type Chunk struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Seq     uint64    `cbor:"2,keyasint"`
	Data    []byte    `cbor:"3,keyasint"`
}

// End is the explicit end of an attempt. Seq is the number that the next chunk
// would have had, so that a receiver knows that it has all of them.
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
	// EngineCrashed is set when the engine was lost while it ran this attempt.
	EngineCrashed bool `cbor:"12,keyasint,omitempty"`
}

// Credit lets the sender of an attempt's chunks go on up to, not including, Seq.
type Credit struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Seq     uint64    `cbor:"2,keyasint"`
}

// Resume asks the executor to send an attempt's chunks again from Seq, on this
// session. It is answered by chunks and End, or by End with Unknown when this
// epoch doesn't know the attempt.
type Resume struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Epoch   Epoch     `cbor:"2,keyasint"`
	Seq     uint64    `cbor:"3,keyasint"`
	Window  uint32    `cbor:"4,keyasint"`
	// Organisation is who asks for the stream; the executor answers Unknown if
	// the attempt is another organisation's.
	Organisation string `cbor:"5,keyasint,omitempty"`
}
