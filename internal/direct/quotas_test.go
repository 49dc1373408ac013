package direct

import (
	"context"
	"math"
	"testing"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/peermessage"
	"skylarklead/internal/quota"
)

// Guards against an entry of a large fleet that borrows only from its own failure domain, the only one
// whose messages it receives regularly, and refuses requests though entries elsewhere hold units.
func TestUnitsAreLentAcrossFailureDomains(t *testing.T) {
	const entries, each = 40, 1000
	all := startPeerNodes(t, entries, 4)
	names := make([]string, entries)
	for i, e := range all {
		names[i] = e.settings.ID
	}
	organisation := &fleet.Organisation{Name: "derwent", Quota: fleet.Quota{Rate: 60_000, Burst: 60_000, Tokens: true, DefaultUnits: each}}
	for _, e := range all {
		e.quotas.setQuotas(&fleet.Configuration{Organisations: []*fleet.Organisation{organisation}})
		e.quotas.setEntries(names, true, true)
		e.quotas.entriesConfirmed(e.bootClock())
	}
	held := func() (units float64) {
		for _, e := range all {
			if s, ok := e.quotas.state("derwent"); ok {
				units += s.Level
			}
		}
		return units
	}
	for limit := time.Now().Add(5 * time.Second); held() < organisation.Quota.Burst && time.Now().Before(limit); {
		time.Sleep(10 * time.Millisecond)
	}
	refused := 0
	for _, e := range all {
		req := &request{entry: e.Entry, ctx: t.Context(), organisation: organisation}
		if !req.reserveQuota() {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of %d entries got no units of a quota that is not exhausted", refused, entries)
	}
}

// Guards against units that are spent later than they may be held, as the process was held up meanwhile.
func TestUnitsThatTookTooLongAreNotSpent(t *testing.T) {
	e := newPeerNodes(t, 1, 1)[0]
	organisation := &fleet.Organisation{Name: "derwent", Quota: fleet.Quota{Rate: 1000, Burst: 1000, DefaultUnits: 1}}
	now, jump := e.bootClock(), 2*quota.DefaultSpendWithin
	looks := 0
	e.quotas.setQuotas(&fleet.Configuration{Organisations: []*fleet.Organisation{organisation}})
	e.quotas.setEntries([]string{"entry-0"}, true, true)
	e.bootClock = func() time.Duration {
		if looks++; looks == 3 { // after the units were withdrawn
			now += jump
		}
		return now + time.Second
	}
	req := &request{entry: e.Entry, ctx: t.Context(), organisation: organisation}
	if !req.reserveQuota() {
		t.Fatal("no units")
	}
	if age := e.bootClock() - req.reservation.reservedAt; age > quota.DefaultSpendWithin {
		t.Errorf("holds units withdrawn %v ago", age)
	}
}

// Guards against requests that each wait anew for entries that don't answer.
func TestASilentLenderIsLeftAlone(t *testing.T) {
	all := newPeerNodes(t, 3, 1) // nobody listens
	organisation := &fleet.Organisation{Name: "derwent", Quota: fleet.Quota{Rate: 1000, Burst: 1000}}
	e := all[0]
	e.quotas.setQuotas(&fleet.Configuration{Organisations: []*fleet.Organisation{organisation}})
	e.quotas.setEntries([]string{"entry-1", "entry-2"}, false, false)
	for try := range 2 {
		began := time.Now()
		req := &request{entry: e.Entry, ctx: context.Background(), organisation: organisation}
		if req.reserveQuota() || !req.quotaStats.unreachable {
			t.Errorf("try %d: got units though no lender answers, or lenders not reported unreachable", try)
		}
		if took := time.Since(began); try > 0 && took > borrowTimeout/2 {
			t.Errorf("the second request waited %v", took)
		}
	}
}

// Guards against a lender that isn't asked for a second though its answer came a moment late.
func TestALateAnswerShowsThatALenderAnswers(t *testing.T) {
	all := newPeerNodes(t, 2, 1)
	borrower, lender := all[0], all[1]
	organisation := &fleet.Organisation{Name: "derwent", Quota: fleet.Quota{Rate: 1000, Burst: 1000, DefaultUnits: 1}}
	stopped := borrower.bootClock()
	borrower.bootClock = func() time.Duration { return stopped } // no rest ends by its time
	for _, e := range all {
		e.quotas.setQuotas(&fleet.Configuration{Organisations: []*fleet.Organisation{organisation}})
		e.quotas.setEntries([]string{"entry-0", "entry-1"}, true, true)
		e.quotas.entriesConfirmed(e.bootClock())
	}
	reserve := func() bool {
		return (&request{entry: borrower.Entry, ctx: t.Context(), organisation: organisation}).reserveQuota()
	}
	go borrower.peers.receive()
	if reserve() {
		t.Fatal("got units before the lender read the question")
	}
	go lender.peers.receive()
	for limit := time.Now().Add(5 * time.Second); !reserve(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("no units of a lender that answers")
		}
	}
}

// Whatever datagrams arrive, a share never holds more than its maximum, and nothing panics.
func FuzzQuotaMessage(f *testing.F) {
	for _, m := range []*peermessage.Quota{
		{Step: peermessage.QuotaBorrow, Seq: 1, Organisation: "derwent", Units: 500},
		{Step: peermessage.QuotaAnswer, Seq: 1, Organisation: "derwent", Units: maxUnits, Left: -1},
		{Step: peermessage.QuotaReturn, Seq: 1, Organisation: "derwent", Units: math.MaxFloat64},
		{Step: 200, Seq: math.MaxUint64, Units: math.NaN()},
	} {
		f.Add(peermessage.Encode(peermessage.Sender{ID: "entry-1"}, m))
	}
	const burst = 1000
	organisation := &fleet.Organisation{Name: "derwent", Quota: fleet.Quota{Rate: burst, Burst: burst}}
	f.Fuzz(func(t *testing.T, data []byte) {
		sender, m, err := peermessage.Decode(data)
		loan, ok := m.(*peermessage.Quota)
		if err != nil || !ok {
			return
		}
		e := newPeerNodes(t, 1, 1)[0]
		e.quotas.setQuotas(&fleet.Configuration{Organisations: []*fleet.Organisation{organisation}})
		e.quotas.setEntries([]string{e.settings.ID}, true, true)
		for range 2 {
			e.quotas.receive(sender, loan, e.address())
		}
		if s, ok := e.quotas.state("derwent"); !ok || !(s.Level >= 0 && s.Level <= burst) {
			t.Errorf("%v units left, of %d at most", s.Level, burst)
		}
	})
}
