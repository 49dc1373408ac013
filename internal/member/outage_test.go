package member_test

import (
	"testing"
	"time"

	"skylarklead/internal/member"
)

const (
	ms = time.Millisecond

	outageReregister = 2 * time.Second
	outageAct        = 2800 * ms
	outageDetect     = 3200 * ms
)

func newOutage() *member.Outage {
	return member.NewOutage(member.OutageParams{ReregisterWithin: outageReregister, ActWithin: outageAct, DetectWithin: outageDetect, ReportTTL: time.Second})
}

// outageFrom6To12 is the state of a reader whose calls fail from 6 s on. The last of
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

// Guards against a grace period that runs from when a removal is read: a removal that is
// read again every second after an outage would then never take effect.
func TestExcuseRunsFromTheStoresReturn(t *testing.T) {
	o := outageFrom6To12(11900 * ms)
	for at := 12 * time.Second; at < 16*time.Second; at += time.Second {
		if x := o.GracePeriod(at); x.Until != 14*time.Second {
			t.Errorf("removal read at %v: grace period until %v, want 14s", at, x.Until)
		}
	}
	if x := newOutage().GracePeriod(time.Second); x.Until != 0 {
		t.Errorf("grace period until %v without an outage", x.Until)
	}
}

// Guards against requests to a replica that left, because the store's return is taken to be
// its first answer: a call hangs for two seconds, the store returns right after that call
// was made, and a replica leaves.
func TestExcuseEndsWhereTheStoreMayHaveReturnedEarly(t *testing.T) {
	o := outageFrom6To12(10 * time.Second)
	if x := o.GracePeriod(12 * time.Second); x.Until != 12800*ms || x.Evidence != member.EvidenceNone {
		t.Errorf("got %+v; want a grace period of 2.8 s after the last unanswered call", x)
	}
}

func TestPeersWordsOnAnOutage(t *testing.T) {
	const hour = time.Hour
	cases := []struct {
		name string
		// served is what the peer reports at heardAt.
		served, heardAt time.Duration
		want            member.PeerEvidence
		until           time.Duration
	}{
		{"served for an hour", hour, 11900 * ms, member.EvidenceServed, 0},
		{"served from before the outage on", 7 * time.Second, 12 * time.Second, member.EvidenceServed, 0},
		{"not served", 0, 12 * time.Second, member.EvidenceOutage, 14 * time.Second},
		{"served since the outage's end", 100 * ms, 12 * time.Second, member.EvidenceOutage, 14 * time.Second},
		{"served from within the outage on", 3 * time.Second, 12 * time.Second, member.EvidenceOutage, 14 * time.Second},
		{"report from the first moments of the outage", hour, 6100 * ms, member.EvidenceNone, 12800 * ms},
	}
	for _, c := range cases {
		o := outageFrom6To12(10 * time.Second)
		o.PeerReported("peer", c.served, c.heardAt)
		if x := o.GracePeriod(12 * time.Second); x.Evidence != c.want || x.Until != c.until {
			t.Errorf("%s: evidence %v, grace period until %v; want %v, %v", c.name, x.Evidence, x.Until, c.want, c.until)
		}
	}
	o := outageFrom6To12(10 * time.Second)
	o.PeerReported("away-too", 0, 12*time.Second)
	o.PeerReported("served", hour, 12*time.Second)
	if x := o.GracePeriod(12 * time.Second); x.Evidence != member.EvidenceServed {
		t.Errorf("one peer served, one not: evidence %v", x.Evidence)
	}
	o.ForgetPeers(12*time.Second + ms)
	if x := o.GracePeriod(12 * time.Second); x.Evidence != member.EvidenceNone {
		t.Errorf("reports that were dropped: evidence %v", x.Evidence)
	}
}

// Guards against the loss of all replicas after an outage that a peer missed: a gap of a
// second goes unnoticed at a peer whose call hangs, so the peer reports uninterrupted
// service before it can know better.
func TestShortOutageIsNotToldByPeers(t *testing.T) {
	o := newOutage()
	o.CallAnswered(5 * time.Second)
	o.CallFailed(6*time.Second, 6*time.Second)
	o.CallAnswered(7 * time.Second)
	o.PeerReported("peer", time.Hour, 7*time.Second)
	if x := o.GracePeriod(7 * time.Second); x.Evidence != member.EvidenceNone || x.Until != 8800*ms {
		t.Errorf("got %+v; want no evidence and a grace period until 8.8s", x)
	}
}

// Guards against the loss of all replicas after an outage that a suspended peer missed: it
// resumes afterwards and reports uninterrupted service, since none of its calls failed.
func TestGapIsABreakOfService(t *testing.T) {
	o := newOutage()
	if got := o.ServedFor(time.Second); got != 0 {
		t.Fatalf("ServedFor is %v before the first answer", got)
	}
	o.CallAnswered(time.Second)
	o.CallAnswered(4 * time.Second)
	if got := o.ServedFor(5 * time.Second); got != 4*time.Second {
		t.Errorf("ServedFor is %v; want 4 s", got)
	}
	if got := o.ServedFor(4*time.Second + outageDetect + ms); got != 0 {
		t.Errorf("ServedFor is %v without an answer for more than DetectWithin", got)
	}
	o.CallAnswered(10 * time.Second)
	if got := o.ServedFor(11 * time.Second); got != time.Second {
		t.Errorf("ServedFor is %v after a gap; want 1 s", got)
	}
	o.CallFailed(11*time.Second, 12*time.Second)
	if got := o.ServedFor(12 * time.Second); got != 0 {
		t.Errorf("ServedFor is %v while calls fail", got)
	}
}

// Guards against a replica that stays in use after its grace period, until the next Tick
// removes it.
func TestLapsedReplicaIsGoneAtItsTime(t *testing.T) {
	v := listedReplicas("a")
	v.MarkExpired("a", 7, time.Second, 2*time.Second)
	if got := v.UnlistedFor("a", 1500*ms); got != 500*ms {
		t.Errorf("unlisted for %v; want 500 ms", got)
	}
	if h := v.Health("a", 2*time.Second-ms); h != member.Healthy {
		t.Errorf("before the end of the grace period it is %v", h)
	}
	if h := v.Health("a", 2*time.Second); h != member.Left {
		t.Errorf("at the end of the grace period it is %v", h)
	}
}

// Guards against a replica that has left and is in use again for good: its record is
// removed, then a late answer to a request for the replica that had its address before
// names it, and it still reports that it runs. Its report must not override the removal,
// as no later record would remove it.
func TestReplicaThatLeftIsNotAdopted(t *testing.T) {
	for _, at := range []int64{0, 5} {
		v := member.NewReplicas(member.DefaultReplicaParams)
		r := incarnation("a", at)
		v.Put(r, 1, 0)
		v.Remove("a", 2, 0)
		if l := v.Adopt(r, 0); !l.Outdated || v.Get(r.ID) != nil {
			t.Errorf("born %d: adopted after the removal of its record: %+v", at, l)
		}
		v.Put(r, 3, 0)
		if v.Get(r.ID) == nil {
			t.Errorf("born %d: not known again although its record was written again", at)
		}
		unseen := member.NewReplicas(member.DefaultReplicaParams)
		unseen.Remove("a", 2, 0)
		if l := unseen.Adopt(r, 0); !l.Outdated {
			t.Errorf("born %d: adopted although its record was removed before it was read", at)
		}
	}
}

// Guards against long polls that are taken for an outage of the store.
func TestReadsThatWaitAreNoOutage(t *testing.T) {
	o := newOutage()
	for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond {
		if at%(1500*time.Millisecond) == 0 {
			o.CallAnswered(at)
		}
		if o.CheckSilence(at) {
			t.Fatalf("outage begins at %v, %v after an answer", at, at%(1500*time.Millisecond))
		}
	}
}

// Guards against an outage that goes unnoticed because no answer comes and no call is made.
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
		if want := time.Second + outageDetect; begun <= want-1 || begun > want+200*time.Millisecond {
			t.Errorf("outage begins at %v; the last answer came at 1s", begun)
		}
		if peerAway {
			o.PeerReported("entry-2", 0, 7*time.Second)
		}
		if !o.CallAnswered(7 * time.Second) {
			t.Error("the outage doesn't end with an answer")
		}
		if x := o.GracePeriod(7 * time.Second); (x.Until > 7*time.Second) != peerAway {
			t.Errorf("peer reports an outage: %v; grace period until %v", peerAway, x.Until)
		}
	}
}

// Guards against an outage that ends by an answer from before it, which a peer passes on late: the real end then counts for
// none, and records that expired meanwhile get no grace period.
func TestOldAnswerEndsNoOutage(t *testing.T) {
	p := member.OutageParams{ReregisterWithin: 2 * time.Second, ActWithin: 3 * time.Second, DetectWithin: 3 * time.Second, ReportTTL: time.Second}
	for name, c := range map[string]struct {
		silent          bool
		answeredAt, now time.Duration
		want            bool
	}{
		"before the failed call":   {false, 9 * time.Second, 11 * time.Second, true},
		"after the failed call":    {false, 10500 * time.Millisecond, 11 * time.Second, false},
		"too long ago":             {true, 6 * time.Second, 11 * time.Second, true},
		"lately, after a silence":  {true, 10 * time.Second, 11 * time.Second, false},
		"old, and no outage known": {false, 5 * time.Second, 9 * time.Second, false},
	} {
		o := member.NewOutage(p)
		o.CallAnswered(5 * time.Second)
		switch {
		case c.now < 10*time.Second:
		case c.silent:
			o.CheckSilence(10 * time.Second)
		default:
			o.CallFailed(10*time.Second, 10200*time.Millisecond)
		}
		if got := o.SaysNothing(c.answeredAt, c.now); got != c.want {
			t.Errorf("%s: it says nothing: %t, want %t", name, got, c.want)
		}
	}
}
