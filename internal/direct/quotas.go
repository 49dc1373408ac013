package direct

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/peermessage"
	"skylarklead/internal/quota"
	"skylarklead/internal/settings"
	"skylarklead/internal/wait"
)

const (
	// borrowTimeout bounds the wait for a lender's answer, in time in which this process runs: many times a datagram's transit within
	// a region plus the time until the lender gets to run.
	borrowTimeout = 60 * time.Millisecond
	// maxUnits bounds the units in a message.
	maxUnits = 1e12
)

// quotas enforces organisations' quotas together with the other entries.
type quotas struct {
	entry *Entry

	mu     sync.Mutex
	ledger *quota.Ledger
	// seq numbers the requests to lenders.
	seq uint64
	// pending are requests to lenders that are unanswered, by their number.
	pending map[uint64]*pendingBorrow
	silence quota.Silence
}

// pendingBorrow is a request to a lender; granted delivers the units lent.
type pendingBorrow struct {
	organisation, lender string
	granted              chan float64
}

func newQuotas(e *Entry) *quotas {
	return &quotas{
		entry:   e,
		ledger:  quota.NewLedger(e.settings.ID, quotaParams(e.settings.Direct), rand.IntN),
		pending: make(map[uint64]*pendingBorrow),
	}
}

// quotaParams returns the parameters of quotas that the settings set.
func quotaParams(d *settings.Direct) quota.Params {
	return quota.Params{
		Window: d.QuotaWindow.D(), Excess: d.QuotaExcess, Slack: d.QuotaSlack,
		SpendWithin: quota.DefaultSpendWithin, MaxListAge: quota.DefaultMaxListAge,
	}
}

// setParams applies changed settings.
func (q *quotas) setParams(d *settings.Direct) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.SetParams(quotaParams(d), q.entry.bootClock())
}

// setQuotas applies the quotas of a configuration.
func (q *quotas) setQuotas(c *fleet.Configuration) {
	byOrganisation := make(map[string]fleet.Quota)
	for _, o := range c.Organisations {
		if o.Quota.Limited() {
			byOrganisation[o.Name] = o.Quota
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.SetQuotas(byOrganisation, q.entry.bootClock())
}

// setEntries sets the entries that quotas are divided among. self says that the list contains this
// entry, known that it did when it was first read.
func (q *quotas) setEntries(entries []string, self, known bool) {
	now := q.entry.bootClock()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.SetEntries(entries, now)
	if self {
		q.ledger.Joined(known, now)
	}
}

// entriesConfirmed sets the time, on the boot clock, as of which the list of entries is known.
func (q *quotas) entriesConfirmed(asOf time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.ListConfirmed(asOf, q.entry.bootClock())
}

// receive handles a quota message from a peer.
func (q *quotas) receive(sender peermessage.Sender, m *peermessage.Quota, from netip.AddrPort) {
	if !(m.Units >= 0 && m.Units <= maxUnits && m.Left >= 0 && m.Left <= maxUnits) {
		q.entry.tel.Metrics.Count("peer_words_malformed", 1)
		return
	}
	loan := quota.LoanID{Entry: sender.ID, Epoch: sender.Epoch, Seq: m.Seq}
	switch m.Step {
	case peermessage.QuotaBorrow:
		q.mu.Lock()
		lent := q.ledger.Lend(m.Organisation, m.Units, loan, q.entry.bootClock())
		q.mu.Unlock()
		if lent.Units > 0 {
			q.entry.tel.Metrics.Count("quota_lent", 1)
		}
		q.send(&peermessage.Quota{Step: peermessage.QuotaAnswer, Seq: m.Seq, Organisation: m.Organisation, Units: lent.Units, Left: max(0, lent.Remaining)}, from)
	case peermessage.QuotaAnswer:
		q.handleAnswer(m, sender.ID, from)
	case peermessage.QuotaReturn:
		q.mu.Lock()
		q.ledger.LoanReturned(m.Organisation, m.Units, loan, q.entry.bootClock())
		q.mu.Unlock()
	default:
		q.entry.tel.Metrics.Count("peer_words_malformed", 1)
	}
}

// handleAnswer handles a lender's answer. Units that no request waits for any more are returned.
func (q *quotas) handleAnswer(m *peermessage.Quota, peer string, from netip.AddrPort) {
	q.mu.Lock()
	borrow := q.pending[m.Seq]
	awaited := borrow != nil && borrow.lender == peer && borrow.organisation == m.Organisation
	if awaited {
		delete(q.pending, m.Seq)
		q.silence.Answered(peer)
		q.ledger.LenderReported(m.Organisation, peer, m.Left, q.entry.bootClock())
	} else {
		q.silence.AnsweredLate(peer)
	}
	q.mu.Unlock()
	if awaited {
		borrow.granted <- m.Units
	} else if m.Units > 0 {
		q.send(&peermessage.Quota{Step: peermessage.QuotaReturn, Seq: m.Seq, Organisation: m.Organisation, Units: m.Units}, from)
	}
}

func (q *quotas) send(m *peermessage.Quota, to netip.AddrPort) {
	q.entry.peers.sendTo(m, to)
}

// borrow requests units from a lender. answered is false if no answer came in time.
func (q *quotas) borrow(ctx context.Context, organisation, lender string, units float64) (seq uint64, lent float64, answered bool) {
	to, ok := q.entry.peers.address(lender)
	if !ok {
		return 0, 0, false
	}
	pending := &pendingBorrow{organisation: organisation, lender: lender, granted: make(chan float64, 1)}
	q.mu.Lock()
	q.seq++
	seq = q.seq
	q.pending[seq] = pending
	q.mu.Unlock()
	q.send(&peermessage.Quota{Step: peermessage.QuotaBorrow, Seq: seq, Organisation: organisation, Units: units}, to)
	if lent, answered = wait.Answer(ctx, pending.granted, borrowTimeout); answered {
		return seq, lent, true
	}
	q.mu.Lock()
	_, unanswered := q.pending[seq]
	delete(q.pending, seq)
	if unanswered && ctx.Err() == nil {
		q.silence.Missed(lender, q.entry.bootClock())
	}
	q.mu.Unlock()
	if unanswered {
		return seq, 0, false
	}
	return seq, <-pending.granted, true // handleAnswer delivers it
}
