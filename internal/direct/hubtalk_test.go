package direct

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"skylarklead/internal/fleet"
	"skylarklead/internal/settings"
	"skylarklead/internal/spread"
)

// listening is an entry whose clock a test sets, with one peer before it in the order, and what
// it sends.
type listening struct {
	*hub
	now  time.Duration
	peer string
	sent []*peerMessage
}

// startListening returns an entry that knows the list of replicas up to offset 2, as of 1 s.
func startListening(t *testing.T) *listening {
	t.Helper()
	l := &listening{now: time.Second}
	s := &settings.Settings{ID: "entry-2", Direct: &settings.Direct{
		Memory: 16, LeavingWithin: settings.Duration(4 * time.Second), ConfigurationWithin: settings.Duration(4 * time.Second),
	}}
	// The first in the order is asked by the other one.
	if s.ID, l.peer = "entry-1", "entry-2"; isFirst(s.ID, l.peer) {
		s.ID, l.peer = l.peer, s.ID
	}
	e := newEntry(s, quietTelemetry(t), Platform{Records: listRecords{}})
	e.bootClock = func() time.Duration { return l.now }
	l.hub = newHub(e)
	l.hub.send = func(w *peerMessage, _ netip.AddrPort) { l.sent = append(l.sent, w) }
	l.hub.fetchTopic = func(netip.AddrPort, int, uint64) (*wordTopic, error) { return nil, errBulk }
	for number := range topics {
		f := e.newFollower(topicNames[number])
		f.hub, f.topicID, f.keyed = l.hub, number, true
		f.belief, f.tail = spread.NewWatermark(0), spread.NewTail(true)
		f.onSnapshot, f.onRecord = func(fleet.Page) {}, func(fleet.Record) {}
		l.attach(f)
		f.takeWhole(fleet.Page{Next: 2, End: 2}, spread.Read{Next: 2, CalledAt: l.now, AnsweredAt: l.now}, somePeer)
	}
	l.listed(map[string]peerAddress{l.peer: {address: somePeer}})
	return l
}

// isFirst reports whether an entry comes before another in the order that all share.
func isFirst(id, other string) bool {
	s := spread.NewUpstreamSelector(spread.Peer{ID: id}, spread.DefaultParams, nil)
	s.SetPeers([]spread.Peer{{ID: other}})
	return s.Mode(0) == spread.ReadingStore
}

// ask has the entry ask its peer and returns the question's number.
func (l *listening) ask(t *testing.T) uint64 {
	t.Helper()
	l.step()
	for _, w := range l.sent {
		if w.Ask != nil {
			return w.Ask.Seq
		}
	}
	t.Fatal("the peer isn't asked")
	return 0
}

// told is an answer that tells of all topics, at offset 2, with an age.
func told(seq, ageMs uint64) *wordAnswer {
	a := &wordAnswer{Seq: seq}
	for number := range topics {
		a.Topics = append(a.Topics, wordTopic{Number: uint8(number), Next: 2, From: 2, MadeMs: ageMs, AnsweredMs: ageMs, Reader: "entry-3"})
	}
	return a
}

// Guards against knowledge that grows younger by the way of an answer.
func TestAnAnswersAgeRunsFromItsQuestion(t *testing.T) {
	const (
		underWay = 100 * time.Millisecond
		age      = 700 * time.Millisecond
	)
	l := startListening(t)
	l.now += 5 * time.Second
	seq := l.ask(t)
	l.now += underWay
	l.answered(l.peer, told(seq, uint64(age.Milliseconds())), somePeer)
	if got := l.ageOf(replicasTopicID); got != underWay+age {
		t.Errorf("the list is %v old; want %v", got, underWay+age)
	}
	if l.sources.Upstream() != l.peer {
		t.Error("a peer that knows more isn't listened to")
	}
}

// Guards against an age too long for a time, which would turn into one that lies ahead.
func TestAnAgeThatCannotBeIsMalformed(t *testing.T) {
	for _, age := range []uint64{math.MaxUint64, math.MaxInt64, math.MaxInt64/uint64(time.Millisecond) + 1} {
		l := startListening(t)
		l.now += 5 * time.Second
		before := l.ageOf(replicasTopicID)
		l.answered(l.peer, told(l.ask(t), age), somePeer)
		if got := l.ageOf(replicasTopicID); got != before {
			t.Errorf("told an age of %d ms the list is %v old; it is %v", age, got, before)
		}
		if l.sources.Upstream() != "" {
			t.Errorf("a peer that tells an age of %d ms is listened to", age)
		}
	}
}

// Whatever comes by datagram, no belief gets younger than its question and nothing panics.
func FuzzHubMessage(f *testing.F) {
	for _, a := range []*wordAnswer{told(1, 0), told(1, math.MaxUint64), {Seq: 0, Topics: []wordTopic{{Number: 255, From: math.MaxUint64, Next: 1}}}} {
		data, err := cbor.Marshal(&peerMessage{From: "entry-1", Answer: a})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	data, err := cbor.Marshal(&peerMessage{From: "entry-1", Ask: &wordAsk{Seq: 1, Next: []uint64{0, 1, 2, 3, math.MaxUint64}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		var w peerMessage
		if messageDecoder.Unmarshal(data, &w) != nil {
			return
		}
		l := startListening(t)
		l.now += 5 * time.Second
		l.ask(t)
		l.heard(&w, somePeer)
		for number := range topics {
			if age := l.ageOf(number); age < 0 {
				t.Errorf("topic %d is known as of %v from now", number, -age)
			}
		}
	})
}
