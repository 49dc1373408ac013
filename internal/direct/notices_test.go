package direct

import (
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"skylarklead/internal/fleet"
)

// Guards against another entry's notices that name replicas nobody knows, or rates that can't be.
func FuzzNotices(f *testing.F) {
	const known = "r-1"
	for _, list := range [][]noticeMessage{
		{{Replica: known, Rate: 1.5}, {Replica: known, Lifted: true}, {Replica: known, Leaving: true}},
		{{Replica: known, Rate: -1}, {Replica: known, Rate: math.Inf(1)}, {Replica: known, Rate: math.NaN()}},
		{{Replica: "r-2", Rate: 3}, {}},
	} {
		data, err := cbor.Marshal(&peerMessage{From: "entry-1", Notices: list})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var w peerMessage
		if messageDecoder.Unmarshal(data, &w) != nil || len(w.Notices) == 0 {
			return
		}
		e := newPeerNodes(t, 1, 1)[0]
		e.state.replicas.Put(&fleet.Replica{ID: known, Name: known}, 1, 0)
		e.receiveNotices(w.Notices, w.From)
		now := e.clock.now()
		if s, limited := e.state.rateLimits.State(known, now); limited && !(s.Rate >= 0 && s.Rate <= math.MaxFloat64) {
			t.Errorf("a rate of %v is believed", s.Rate)
		}
		for _, n := range w.Notices {
			if _, limited := e.state.rateLimits.State(n.Replica, now); limited && n.Replica != known {
				t.Errorf("a limit of %q is believed, which isn't known", n.Replica)
			}
		}
	})
}

// Guards against an answer of a replica that has another's address, and is taken for that one's.
func TestAnotherReplicasAnswerTellsNothingOfTheOneMeant(t *testing.T) {
	e := newPeerNodes(t, 1, 1)[0]
	r := &fleet.Replica{ID: "r-1", Name: "r-1"}
	e.state.replicas.Put(r, 1, 0)
	j := &request{entry: e.Entry, hands: make([]hand, 1)}
	notice := fleet.Notice{Leaving: true, HasRateLimit: true, RateLimit: 1}
	j.noteNotice(&placement{replica: r}, &fleet.Answer{Instance: "r-2", NotRun: true, Misdirected: true, Notice: notice})
	if _, limited := e.state.rateLimits.State(r.ID, e.clock.now()); limited || e.state.replicas.Draining(r.ID) {
		t.Error("another replica's notice is taken")
	}
	j.noteNotice(&placement{replica: r}, &fleet.Answer{Instance: r.Name, NotRun: true, Misdirected: true, Notice: notice})
	if _, limited := e.state.rateLimits.State(r.ID, e.clock.now()); !limited || !e.state.replicas.Draining(r.ID) {
		t.Error("the replica's own notice isn't taken")
	}
}
