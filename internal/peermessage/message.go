package peermessage

// Kind is the kind of a message.
type Kind int

// The kinds of messages. kindCount is their number.
const (
	KindLoads Kind = iota
	KindEnd
	KindDigestAck
	KindRolloutRecords
	KindCrashes
	KindSound
	KindGrant
	KindReports
	KindNotices
	KindTopicsQuery
	KindTopicsResponse
	KindStoreHint
	KindStreams
	KindQuota
	kindCount
)

var kindNames = [kindCount]string{
	KindLoads: "loads", KindEnd: "end", KindDigestAck: "digest_ack", KindRolloutRecords: "rollout_records",
	KindCrashes: "crashes", KindSound: "sound", KindGrant: "grant", KindReports: "reports", KindNotices: "notices",
	KindTopicsQuery: "topics_query", KindTopicsResponse: "topics_response", KindStoreHint: "store_hint",
	KindStreams: "streams", KindQuota: "quota",
}

// String returns the kind's name in metrics.
func (k Kind) String() string { return kindNames[k] }

// Kinds returns all kinds.
func Kinds() []Kind {
	kinds := make([]Kind, kindCount)
	for i := range kinds {
		kinds[i] = Kind(i)
	}
	return kinds
}

// Message is what one datagram says. Its types are those of this package.
type Message interface {
	Kind() Kind
	// put sets the message's fields of a datagram.
	put(d *datagram)
}

// Sender identifies the process that sends a datagram.
type Sender struct {
	// ID is the entry's ID, Epoch that of its process.
	ID    string
	Epoch uint64
}
