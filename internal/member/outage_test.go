package member_test

import (
	"testing"
	"time"

	"skylarklead/internal/member"
)

const (
	ms = time.Millisecond

	outageBack     = 2 * time.Second
	outageUnheeded = 2800 * ms
	outageSeen     = 3200 * ms
)

func newOutage() *member.Outage {
	return member.NewOutage(member.OutageParams{ReregisterWithin: outageBack, ActWithin: outageUnheeded, DetectWithin: outageSeen, ReportTTL: time.Second})
}

// outageFrom6To12 is the account of a reader whose calls fail from 6 s on. The last of
// them is made at missed, and the first answer comes at 12 s.
func outageFrom6To12(missed time.Duration) *member.Outage {
	o := newOutage()
	for at := time.Second; at < 6*time.Second; at += time.Second {
		o.CallAnswered(at)
	}
	o.CallFailed(5500*ms, 6*time.Second)
	o.CallFailed(missed, 12*time.Second-ms)
	o.CallAnswered(12 * time.Second)
	return o
}

// Symptom: as in the tests of the entry's reader. Sequence: a removal is read now and
// again, once a second, after an outage. Cause: the time runs from its reading.
func TestExcuseRunsFromTheStoresReturn(t *testing.T) {
	o := outageFrom6To12(11900 * ms)
	for at := 12 * time.Second; at < 16*time.Second; at += time.Second {
		if x := o.GracePeriod(at); x.Until != 14*time.Second {
			t.Errorf("read at %v a removal is excused until %v", at, x.Until)
		}
	}
	if x := newOutage().GracePeriod(time.Second); x.Until != 0 {
		t.Errorf("excused until %v though nothing was amiss", x.Until)
	}
}

// Symptom: requests go to a replica that left, as the entry learnt late that the store was
// back. Sequence: a call hangs for two seconds; the store returns as that begins, and a
// replica leaves. Cause: the store's return taken for the first answer.
func TestExcuseEndsWhereTheStoreMayHaveReturnedEarly(t *testing.T) {
	o := outageFrom6To12(10 * time.Second)
	if x := o.GracePeriod(12 * time.Second); x.Until != 12800*ms || x.Evidence != member.EvidenceNone {
		t.Errorf("got %+v; want 2.8 s after the last call without an answer", x)
	}
}

func TestPeersWordsOnAnOutage(t *testing.T) {
	const hour = time.Hour
	cases := []struct {
		name string
		// served is what the peer says at heardAt.
		served, heardAt time.Duration
		want            member.PeerEvidence
		until           time.Duration
	}{
		{"served since long ago", hour, 11900 * ms, member.EvidenceServed, 0},
		{"served since before the outage", 7 * time.Second, 12 * time.Second, member.EvidenceServed, 0},
		{"not served", 0, 12 * time.Second, member.EvidenceOutage, 14 * time.Second},
		{"served since the outage's end", 100 * ms, 12 * time.Second, member.EvidenceOutage, 14 * time.Second},
		{"served since a moment in the outage", 3 * time.Second, 12 * time.Second, member.EvidenceOutage, 14 * time.Second},
		{"a word from the outage's first moments", hour, 6100 * ms, member.EvidenceNone, 12800 * ms},
	}
	for _, c := range cases {
		o := outageFrom6To12(10 * time.Second)
		o.PeerReported("peer", c.served, c.heardAt)
		if x := o.GracePeriod(12 * time.Second); x.Evidence != c.want || x.Until != c.until {
			t.Errorf("%s: %v, excused until %v; want %v, %v", c.name, x.Evidence, x.Until, c.want, c.until)
		}
	}
	o := outageFrom6To12(10 * time.Second)
	o.PeerReported("away-too", 0, 12*time.Second)
	o.PeerReported("served", hour, 12*time.Second)
	if x := o.GracePeriod(12 * time.Second); x.Evidence != member.EvidenceServed {
		t.Errorf("one peer served, one not: %v", x.Evidence)
	}
	o.ForgetPeers(12*time.Second + ms)
	if x := o.GracePeriod(12 * time.Second); x.Evidence != member.EvidenceNone {
		t.Errorf("words that were dropped: %v", x.Evidence)
	}
}

// Symptom: after an outage no replica is left, though all run. Sequence: the store is away;
// a break of a second goes unnoticed at a peer whose call hangs, and the peer says that it was served
// all along. Cause: a word that comes before the peer can know.
func TestShortOutageIsNotToldByPeers(t *testing.T) {
	o := newOutage()
	o.CallAnswered(5 * time.Second)
	o.CallFailed(6*time.Second, 6*time.Second)
	o.CallAnswered(7 * time.Second)
	o.PeerReported("peer", time.Hour, 7*time.Second)
	if x := o.GracePeriod(7 * time.Second); x.Evidence != member.EvidenceNone || x.Until != 8800*ms {
		t.Errorf("got %+v", x)
	}
}

// Symptom: as above. Sequence: a peer stands still through an outage, goes on after it, and
// says that the store has answered it since long ago. Cause: no call of it has failed.
func TestGapIsABreakOfService(t *testing.T) {
	o := newOutage()
	if got := o.ServedFor(time.Second); got != 0 {
		t.Fatalf("served for %v before the first answer", got)
	}
	o.CallAnswered(time.Second)
	o.CallAnswered(4 * time.Second)
	if got := o.ServedFor(5 * time.Second); got != 4*time.Second {
		t.Errorf("served for %v; want 4 s", got)
	}
	if got := o.ServedFor(4*time.Second + outageSeen + ms); got != 0 {
		t.Errorf("served for %v though no answer came for long", got)
	}
	o.CallAnswered(10 * time.Second)
	if got := o.ServedFor(11 * time.Second); got != time.Second {
		t.Errorf("served for %v after a gap; want 1 s", got)
	}
	o.CallFailed(11*time.Second, 12*time.Second)
	if got := o.ServedFor(12 * time.Second); got != 0 {
		t.Errorf("served for %v while calls fail", got)
	}
}

// Symptom: a replica that has left stays in use until a sweep comes by. Sequence: its time
// to come back is over. Cause: only the sweep looked at that time.
func TestLapsedReplicaIsGoneAtItsTime(t *testing.T) {
	v := listed("a")
	v.MarkExpired("a", 7, time.Second, 2*time.Second)
	if got := v.UnlistedFor("a", 1500*ms); got != 500*ms {
		t.Errorf("off the list for %v; want 500 ms", got)
	}
	if h := v.Health("a", 2*time.Second-ms); h != member.Healthy {
		t.Errorf("before its time it is %v", h)
	}
	if h := v.Health("a", 2*time.Second); h != member.Left {
		t.Errorf("at its time it is %v", h)
	}
}

// Symptom: a replica that has left is in use again, and nothing takes it off. Sequence: it
// leaves by having its record removed; a late answer for the one that had its address before names
// it, and it says that it runs. Cause: its own word goes before the removal, after which
// the list has nothing more to say of it.
func TestReplicaThatLeftIsNotAdopted(t *testing.T) {
	for _, at := range []int64{0, 5} {
		v := member.NewReplicas(member.DefaultReplicaParams)
		r := born("a", at)
		v.Put(r, 1, 0)
		v.Remove("a", 2, 0)
		if l := v.Adopt(r, 0); !l.Outdated || v.Get(r.ID) != nil {
			t.Errorf("born %d: adopted after its record was removed: %+v", at, l)
		}
		v.Put(r, 3, 0)
		if v.Get(r.ID) == nil {
			t.Errorf("born %d: not back though its record is", at)
		}
		unseen := member.NewReplicas(member.DefaultReplicaParams)
		unseen.Remove("a", 2, 0)
		if l := unseen.Adopt(r, 0); !l.Outdated {
			t.Errorf("born %d: adopted though its record was removed unseen", at)
		}
	}
}

// Guards against reads that wait long and are taken for an outage of the store.
func TestReadsThatWaitAreNoOutage(t *testing.T) {
	o := newOutage()
	for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond {
		if at%(1500*time.Millisecond) == 0 {
			o.CallAnswered(at)
		}
		if o.CheckSilence(at) {
			t.Fatalf("an outage begins at %v, %v after an answer", at, at%(1500*time.Millisecond))
		}
	}
}

// Guards against an outage that goes unnoticed where nobody's answer comes and no call is made.
func TestATimeWithoutAnswersIsAnOutage(t *testing.T) {
	for _, peerAway := range []bool{false, true} {
		o := newOutage()
		o.CallAnswered(time.Second)
		begun := time.Duration(0)
		for at := time.Second; at < 7*time.Second; at += 100 * time.Millisecond {
			if o.CheckSilence(at) {
				begun = at
			}
		}
		if want := time.Second + outageSeen; begun <= want-1 || begun > want+200*time.Millisecond {
			t.Errorf("the outage begins at %v; the last answer came at 1s", begun)
		}
		if peerAway {
			o.PeerReported("entry-2", 0, 7*time.Second)
		}
		if !o.CallAnswered(7 * time.Second) {
			t.Error("the outage doesn't end")
		}
		if x := o.GracePeriod(7 * time.Second); (x.Until > 7*time.Second) != peerAway {
			t.Errorf("a peer was away %v: a removal is excused until %v", peerAway, x.Until)
		}
	}
}
