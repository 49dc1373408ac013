package direct

import (
	"net/netip"
	"testing"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/origin"
	"skylarklead/internal/peermessage"
)

// newPeersEntry is newQueueEntry with a socket for messages and a store.
func newPeersEntry(t *testing.T, store fleet.Store) *Entry {
	t.Helper()
	e := newQueueEntry(t)
	e.settings.Direct.Peers = "127.0.0.1:0"
	peers, err := newPeers(e)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peers.conn.Close() })
	e.peers, e.platform.Store = peers, store
	return e
}

// Guards against a stream that began at software without a record and is taken up by the records, at the entry that
// began it or at one that was told.
func TestStreamWithoutARecordIsNotTakenUpByTheRecords(t *testing.T) {
	store := &usesStore{}
	store.set(nil, useV1)
	began, told := newPeersEntry(t, store), newPeersEntry(t, store)
	for _, e := range []*Entry{began, told} {
		if got := e.uses.only(t.Context(), "m"); got != useV1.Use().Software {
			t.Fatalf("%v before, want the only version", got)
		}
	}
	req := newStreamRequest(began, &fleet.Service{Name: "s"}, &fleet.Replica{ID: "a@1", Name: "a", Service: "s"})
	req.params.ID, req.params.Model = "attempt", "m"
	req.announceOrigin()
	told.uses.receive(doubtsMessage(began.state.uses.Doubts(began.clock.now())), fromStore)
	for name, e := range map[string]*Entry{"that began it": began, "that was told": told} {
		if got := e.uses.only(t.Context(), "m"); got != origin.Unknown {
			t.Errorf("%v at the entry %s", got, name)
		}
		if got := e.uses.only(t.Context(), "other"); got != origin.Unknown {
			t.Errorf("%v of a model that nobody serves", got)
		}
	}
}

// Guards against an entry that has just started and decides by the records before others could tell it what began.
func TestEntryThatStartsAsksWhatBegan(t *testing.T) {
	store := &usesStore{}
	store.set(nil, useV1)
	e := newPeersEntry(t, store)
	u := e.uses
	expect := func(what string, want peermessage.DoubtKnowledge, wantOnly origin.Software) {
		t.Helper()
		if got := u.knowledge(e.clock.now()).Knows; got != want {
			t.Errorf("%s: it knows %d, want %d", what, got, want)
		}
		if got := u.only(t.Context(), "m"); got != wantOnly {
			t.Errorf("%s: %v, want %v", what, got, wantOnly)
		}
	}
	v1 := useV1.Use().Software
	u.uninformed.Store(true)
	expect("just started", peermessage.KnowsNothing, origin.Unknown)
	u.receive(&peermessage.Streams{Knows: peermessage.KnowsNothing}, fromStore)
	expect("another one has just started", peermessage.KnowsNothing, origin.Unknown)
	u.receive(&peermessage.Streams{Knows: peermessage.KnowsOutage}, fromStore)
	expect("another one started in an outage", peermessage.KnowsOutage, origin.Unknown)
	u.receive(&peermessage.Streams{Knows: peermessage.KnowsDoubts}, fromStore)
	expect("another one knows", peermessage.KnowsDoubts, v1)
	u.aloneSince.Store(int64(e.clock.now()))
	expect("no other one knew", peermessage.KnowsNothing, v1)
	u.aloneSince.Store(int64(e.clock.now() - e.streamLifetime()))
	expect("no other one knew a lifetime ago", peermessage.KnowsDoubts, v1)
}

// Guards against an entry that never decides since no other one answers, and against one that started in an outage
// after all were lost, and goes by the records.
func TestEntryThatStartsAlone(t *testing.T) {
	for _, outage := range []bool{false, true} {
		store := &usesStore{}
		store.set(nil, useV1)
		e := newPeersEntry(t, store)
		close(e.uses.begun)
		close(e.peers.listRead)
		e.peers.known["lost"] = peerAddress{address: e.peers.conn.LocalAddr().(interface{ AddrPort() netip.AddrPort }).AddrPort()}
		e.uses.uninformed.Store(true)
		e.uses.startedInOutage.Store(outage)
		began := time.Now()
		e.uses.inform(t.Context())
		if waited := time.Since(began); waited < informTimeout {
			t.Errorf("outage %t: asked for %v", outage, waited)
		}
		want := useV1.Use().Software
		if outage {
			want = origin.Unknown
		}
		if got := e.uses.only(t.Context(), "m"); got != want {
			t.Errorf("outage %t: %v, want %v", outage, got, want)
		}
	}
}

// Guards against entries of older builds that take a record which stands for a doubt for a malformed one, or go by the
// others beside it: to them it is one more version.
func TestRecordOfADoubtIsAnotherVersionToOlderBuilds(t *testing.T) {
	l := origin.NewLedger(time.Minute, 0)
	l.BeganUnrecorded("s", "m", time.Second)
	due := l.Due(time.Second, time.Second, func(uint64) int { return 0 })
	if len(due.Write) != 1 {
		t.Fatalf("due %+v", due)
	}
	e, err := decodeEvidence(fleet.Page{Records: []fleet.Record{encodeCompleteRecord(0), encodeUseRecord(useV1, false), encodeUseRecord(due.Write[0], false)}})
	versions := map[origin.Software]bool{}
	for use := range e.Uses {
		if use.Model == useV1.Use().Model {
			versions[use.Software] = true
		}
	}
	if err != nil || !e.Complete || len(versions) != 2 || e.Only("m") != origin.Unknown {
		t.Errorf("%+v, %v", e, err)
	}
}

// Guards against streams that begin, at an entry cut off from the store and from all others, at a version that the others
// no longer list and whose record they remove.
func TestEntryCutOffFromAllBeginsNoStreams(t *testing.T) {
	e := newPeersEntry(t, &usesStore{})
	r := &fleet.Replica{ID: "a", Name: "a", Service: "s", Software: "v1", Slots: 1, Weights: map[string]uint64{"m": 1}}
	e.state.replicas.Put(r, 1, 0)
	e.uses.applyWritten([]origin.Use{useV1.Use()}, 0)
	old := e.clock.now() - e.streamLifetime()/2 - time.Second
	fresh := old + 2*time.Second
	for what, c := range map[string]struct {
		asOf         time.Duration
		known, heard bool
		want         bool
	}{
		"the list is fresh":               {fresh, true, false, true},
		"cut off for half a lifetime":     {old, true, false, false},
		"the store is down for all":       {old, true, true, true},
		"the only entry, without a store": {old, false, false, true},
	} {
		e.state.listReadAt.Store(int64(c.asOf))
		clear(e.peers.known)
		clear(e.peers.receivedAt)
		if c.known {
			e.peers.known["other"] = peerAddress{}
		}
		if c.heard {
			e.peers.receivedAt["other"] = e.clock.now()
		}
		e.checkIsolation(e.clock.now())
		for _, resumable := range []bool{true, false} {
			req := newStreamRequest(e, &fleet.Service{Name: "s"}, nil)
			req.route.Resumable = resumable
			got, _ := e.state.candidates(req.service, "m", req.requiredSoftware(), e.clock.now())
			if want := c.want || !resumable; len(got) == 1 != want {
				t.Errorf("%s: a stream (resumable: %t) may begin at %d replicas, want one: %t", what, resumable, len(got), want)
			}
		}
	}
}
