package peermessage

// QuotaStep is what a Quota says.
type QuotaStep uint8

// The steps of a loan. Others are those of newer builds.
const (
	QuotaBorrow QuotaStep = iota
	QuotaAnswer
	QuotaReturn
)

// Quota is about units of an organisation's quota: a request to lend, its answer, or a return of units.
type Quota struct {
	Step         QuotaStep `cbor:"1,keyasint"`
	Seq          uint64    `cbor:"2,keyasint"`
	Organisation string    `cbor:"3,keyasint"`
	Units        float64   `cbor:"4,keyasint,omitempty"`
	// Left, in an answer, is what remains of the lender's share.
	Left float64 `cbor:"5,keyasint,omitempty"`
}

// Kind implements Message.
func (*Quota) Kind() Kind { return KindQuota }

func (m *Quota) put(d *datagram) { d.Quota = m }
