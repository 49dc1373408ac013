package fleet

// Mode says what happens to a replica's running requests when it loads weights.
type Mode uint8

const (
	// ModeQueue lets running requests finish first.
	ModeQueue Mode = iota
	// ModeRetain continues running requests on the new weights.
	ModeRetain
)

// Order tells a replica to load a version of a model's weights.
type Order struct {
	Replica *Replica
	Model   string
	Version uint64
	Mode    Mode
	// Holder and Fence are the lease holder that sends it and its fencing number.
	Holder string
	Fence  uint64
	// ExpectedOrders is the number of orders that the replica must have accepted before. It
	// refuses the order as a conflict if the number differs.
	ExpectedOrders uint64
}

// Reply is a replica's answer to an order.
type Reply uint8

const (
	// ReplyUnknown: no answer; the order may have been accepted, or may be accepted later.
	ReplyUnknown Reply = iota
	// ReplyAccepted: the order is being executed.
	ReplyAccepted
	// ReplyInForce: the version was loaded already.
	ReplyInForce
	// ReplyConflict: another order is in progress, or ExpectedOrders is wrong.
	ReplyConflict
	// ReplyFenced: a holder with a higher fence has sent orders.
	ReplyFenced
	// ReplyInvalid: the order was refused for its content.
	ReplyInvalid
	// ReplyMisdirected: another incarnation answered.
	ReplyMisdirected
	// ReplyNotSent: no connection was made, so the order has no effect.
	ReplyNotSent
)

var replyNames = [...]string{"unknown", "accepted", "holds", "conflict", "fenced", "invalid", "misdirected", "not_sent"}

// String returns the name of the reply in logs.
func (r Reply) String() string { return replyNames[r] }

// DesiredVersion is the version of a model's weights that the operator wants in use.
type DesiredVersion struct {
	Model   string
	Version uint64
}
