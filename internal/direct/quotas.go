package direct

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/quota"
	"skylarklead/internal/settings"
)

const (
	// lendTimeout is how long a lender's answer may take, many times a datagram's way within
	// a region and the lender's turn on its processor.
	lendTimeout = 60 * time.Millisecond
	// silentFor is how long an entry that did not answer is asked for nothing: several times
	// what a start takes. In a large fleet only the own failure domain's entries are heard
	// of otherwise.
	silentFor = time.Second
	// maxUnits bounds what a message may ask for.
	maxUnits = 1e12
)

// quotas holds organisations to their limits together with the other entries.
type quotas struct {
	entry *Entry

	mu     sync.Mutex
	ledger *quota.Ledger
	seq    uint64
	// asked are the questions without an answer so far.
	asked map[uint64]*lending
	// silent is until when entries that did not answer are left alone.
	silent map[string]time.Duration
}

// lending is a question to a lender; answer brings the units lent.
type lending struct {
	organisation, lender string
	answer               chan float64
}

// quotaMessage is about units of an organisation's limit: a question, its answer, or units that
// are given back.
type quotaMessage struct {
	Kind         uint8   `cbor:"1,keyasint"`
	Seq          uint64  `cbor:"2,keyasint"`
	Organisation string  `cbor:"3,keyasint"`
	Units        float64 `cbor:"4,keyasint,omitempty"`
	// Left, in an answer, is what the lender has left.
	Left float64 `cbor:"5,keyasint,omitempty"`
}

// The kinds of wordQuota.
const (
	quotaAsk uint8 = iota
	quotaAnswer
	quotaReturn
)

func newQuotas(e *Entry) *quotas {
	return &quotas{
		entry:  e,
		ledger: quota.NewLedger(e.settings.ID, quotaParams(e.settings.Direct), rand.IntN),
		asked:  make(map[uint64]*lending),
		silent: make(map[string]time.Duration),
	}
}

// quotaParams are a limit's parts by the settings.
func quotaParams(d *settings.Direct) quota.Params {
	return quota.Params{
		Window: d.QuotaWindow.D(), Excess: d.QuotaExcess, Slack: d.QuotaSlack,
		SpendWithin: quota.DefaultSpendWithin, MaxListAge: quota.DefaultMaxListAge,
	}
}

// setParams takes other settings.
func (q *quotas) setParams(d *settings.Direct) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.SetParams(quotaParams(d), q.entry.bootClock())
}

// setLimits takes the setLimits of a configuration.
func (q *quotas) setLimits(c *fleet.Configuration) {
	limits := make(map[string]fleet.Quota)
	for _, o := range c.Organisations {
		if o.Quota.Limited() {
			limits[o.Name] = o.Quota
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.SetLimits(limits, q.entry.bootClock())
}

// setEntries takes the list of entries. self says that it has this one, known that it had
// when it was read first.
func (q *quotas) setEntries(entries []string, self, known bool) {
	now := q.entry.bootClock()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.SetEntries(entries, now)
	if self {
		q.ledger.Joined(known, now)
	}
}

// entriesConfirmed says as of when the list of entries is known, by the boot clock.
func (q *quotas) entriesConfirmed(asOf time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.ListConfirmed(asOf, q.entry.bootClock())
}

// receive takes a peer's message.
func (q *quotas) receive(w *peerMessage, from netip.AddrPort) {
	m := w.Quota
	if !(m.Units >= 0 && m.Units <= maxUnits && m.Left >= 0 && m.Left <= maxUnits) {
		q.entry.tel.Metrics.Count("peer_words_malformed", 1)
		return
	}
	by := quota.LoanID{Entry: w.From, Epoch: w.Epoch, Seq: m.Seq}
	switch m.Kind {
	case quotaAsk:
		q.mu.Lock()
		lent := q.ledger.Lend(m.Organisation, m.Units, by, q.entry.bootClock())
		q.mu.Unlock()
		if lent.Units > 0 {
			q.entry.tel.Metrics.Count("quota_lent", 1)
		}
		q.send(&quotaMessage{Kind: quotaAnswer, Seq: m.Seq, Organisation: m.Organisation, Units: lent.Units, Left: max(0, lent.Remaining)}, from)
	case quotaAnswer:
		q.answered(m, w.From, from)
	case quotaReturn:
		q.mu.Lock()
		q.ledger.LoanReturned(m.Organisation, m.Units, by, q.entry.bootClock())
		q.mu.Unlock()
	default:
		q.entry.tel.Metrics.Count("peer_words_malformed", 1)
	}
}

// answered takes a lender's answer. One that nobody waits for any more is given back.
func (q *quotas) answered(m *quotaMessage, peer string, from netip.AddrPort) {
	q.mu.Lock()
	asked := q.asked[m.Seq]
	mine := asked != nil && asked.lender == peer && asked.organisation == m.Organisation
	if mine {
		delete(q.asked, m.Seq)
		delete(q.silent, peer)
		q.ledger.LenderReported(m.Organisation, peer, m.Left, q.entry.bootClock())
	}
	q.mu.Unlock()
	if mine {
		asked.answer <- m.Units
	} else if m.Units > 0 {
		q.send(&quotaMessage{Kind: quotaReturn, Seq: m.Seq, Organisation: m.Organisation, Units: m.Units}, from)
	}
}

func (q *quotas) send(m *quotaMessage, to netip.AddrPort) {
	q.entry.peers.sendTo(&peerMessage{From: q.entry.settings.ID, Epoch: uint64(q.entry.tel.Epoch), Quota: m}, to)
}

// borrow asks a lender for units. answered is false if none came in time.
func (q *quotas) borrow(ctx context.Context, organisation, lender string, units float64) (seq uint64, lent float64, answered bool) {
	to, ok := q.entry.peers.address(lender)
	if !ok {
		return 0, 0, false
	}
	l := &lending{organisation: organisation, lender: lender, answer: make(chan float64, 1)}
	q.mu.Lock()
	q.seq++
	seq = q.seq
	q.asked[seq] = l
	q.mu.Unlock()
	q.send(&quotaMessage{Kind: quotaAsk, Seq: seq, Organisation: organisation, Units: units}, to)
	timeout := time.NewTimer(lendTimeout)
	defer timeout.Stop()
	select {
	case lent = <-l.answer:
		return seq, lent, true
	case <-timeout.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	delete(q.asked, seq)
	if ctx.Err() == nil {
		q.silent[lender] = q.entry.bootClock() + silentFor
	}
	q.mu.Unlock()
	select {
	case lent = <-l.answer: // it came meanwhile
		return seq, lent, true
	default:
		return seq, 0, false
	}
}
