package fleet

// Mode is what becomes of a replica's running requests when it loads weights.
type Mode uint8

// The modes.
const (
	// ModeQueue lets what runs finish first.
	ModeQueue Mode = iota
	// ModeRetain goes on with what runs, on the new weights.
	ModeRetain
)

// Order tells a replica to load a version of a model's weights.
type Order struct {
	Replica *Replica
	Model   string
	Version uint64
	Mode    Mode
	// Holder and Fence are the lease under which it is given.
	Holder string
	Fence  uint64
	// ExpectedOrders is the number of orders that the replica has accepted before.
	ExpectedOrders uint64
}

// Reply is a replica's word on an order.
type Reply uint8

// The replies.
const (
	// ReplyUnknown: no answer; it may have been accepted, or may be yet.
	ReplyUnknown Reply = iota
	// ReplyAccepted: it is being carried out.
	ReplyAccepted
	// ReplyInForce: it was in force already.
	ReplyInForce
	// ReplyConflict: another order is under way, or Expected is wrong.
	ReplyConflict
	// ReplyFenced: a holder with a higher fence has given orders.
	ReplyFenced
	// ReplyInvalid: the order was refused for what it says.
	ReplyInvalid
	// ReplyMisdirected: another incarnation answered.
	ReplyMisdirected
	// ReplyNotSent: no connection was made, so the order has no effect.
	ReplyNotSent
)

var replyNames = [...]string{"unknown", "accepted", "holds", "conflict", "fenced", "invalid", "misdirected", "not_sent"}

// String names the reply as logs have it.
func (r Reply) String() string { return replyNames[r] }

// DesiredVersion is the version of a model's weights that the operator wants in use.
type DesiredVersion struct {
	Model   string
	Version uint64
}
