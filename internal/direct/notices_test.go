package direct

import (
	"math"
	"testing"

	"skylarklead/internal/fleet"
	"skylarklead/internal/peermessage"
)

// Guards against notices from peers that name unknown replicas or impossible rates.
func FuzzNotices(f *testing.F) {
	const known = "r-1"
	for _, list := range []peermessage.Notices{
		{{Replica: known, Rate: 1.5}, {Replica: known, Lifted: true}, {Replica: known, Leaving: true}},
		{{Replica: known, Rate: -1}, {Replica: known, Rate: math.Inf(1)}, {Replica: known, Rate: math.NaN()}},
		{{Replica: "r-2", Rate: 3}, {}},
	} {
		f.Add(peermessage.Encode(peermessage.Sender{ID: "entry-1"}, list))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		sender, m, err := peermessage.Decode(data)
		notices, ok := m.(peermessage.Notices)
		if err != nil || !ok {
			return
		}
		e := newPeerNodes(t, 1, 1)[0]
		e.state.replicas.Put(&fleet.Replica{ID: known, Name: known}, 1, 0)
		e.receiveNotices(notices, sender.ID)
		now := e.clock.now()
		if s, limited := e.state.rateLimits.State(known, now); limited && !(s.Rate >= 0 && s.Rate <= math.MaxFloat64) {
			t.Errorf("accepted a rate of %v", s.Rate)
		}
		for _, n := range notices {
			if _, limited := e.state.rateLimits.State(n.Replica, now); limited && n.Replica != known {
				t.Errorf("accepted a rate limit of the unknown replica %q", n.Replica)
			}
		}
	})
}

// Guards against applying an answer to a replica whose address now belongs to another replica.
func TestAnotherReplicasAnswerTellsNothingOfTheOneMeant(t *testing.T) {
	e := newPeerNodes(t, 1, 1)[0]
	r := &fleet.Replica{ID: "r-1", Name: "r-1"}
	e.state.replicas.Put(r, 1, 0)
	req := &request{entry: e.Entry, dispatches: make([]dispatchRecord, 1)}
	notice := fleet.Notice{Leaving: true, HasRateLimit: true, RateLimit: 1}
	req.handleNotice(&placement{replica: r}, &fleet.Answer{Instance: "r-2", NotRun: true, Misdirected: true, Notice: notice})
	if _, limited := e.state.rateLimits.State(r.ID, e.clock.now()); limited || e.state.replicas.Draining(r.ID) {
		t.Error("another replica's notice was applied")
	}
	req.handleNotice(&placement{replica: r}, &fleet.Answer{Instance: r.Name, NotRun: true, Misdirected: true, Notice: notice})
	if _, limited := e.state.rateLimits.State(r.ID, e.clock.now()); !limited || !e.state.replicas.Draining(r.ID) {
		t.Error("the replica's own notice wasn't applied")
	}
}
