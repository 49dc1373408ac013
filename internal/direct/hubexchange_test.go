package direct

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/peermessage"
	"skylarklead/internal/settings"
	"skylarklead/internal/spread"
)

// testNode is an entry with a clock that the test sets, one peer that precedes it in the preference
// order, and the messages that it sends.
type testNode struct {
	*hub
	now  time.Duration
	peer string
	sent []peermessage.Message
}

// startTestNode returns an entry that knows all topics up to offset 2, as of 1 s.
func startTestNode(t *testing.T) *testNode {
	t.Helper()
	n := &testNode{now: time.Second}
	s := &settings.Settings{ID: "entry-2", Direct: &settings.Direct{
		MemoryMB: 16, LeavingWithin: settings.Duration(4 * time.Second), ConfigurationWithin: settings.Duration(4 * time.Second),
	}}
	// An entry queries only those that precede it in the order.
	if s.ID, n.peer = "entry-1", "entry-2"; isFirst(s.ID, n.peer) {
		s.ID, n.peer = n.peer, s.ID
	}
	e := newEntry(s, quietTelemetry(t), Platform{Records: listRecords{}})
	e.bootClock = func() time.Duration { return n.now }
	n.hub = newHub(e)
	n.hub.send = func(m peermessage.Message, _ netip.AddrPort) { n.sent = append(n.sent, m) }
	n.hub.fetchTopic = func(netip.AddrPort, int, uint64) (*peermessage.TopicState, error) { return nil, errBulk }
	for topicID := range topicCount {
		f := e.newFollower(topicNames[topicID])
		f.hub, f.topicID, f.keyed = n.hub, topicID, true
		f.watermark, f.tail = spread.NewWatermark(0), spread.NewTail(true)
		f.onSnapshot, f.onRecord = func(fleet.Page) {}, func(fleet.Record) {}
		n.attach(f)
		f.applySnapshot(fleet.Page{Next: 2, End: 2}, spread.Read{Next: 2, CalledAt: n.now, AnsweredAt: n.now}, somePeer)
	}
	n.setPeers(map[string]peerAddress{n.peer: {address: somePeer}})
	return n
}

// isFirst reports whether an entry precedes another in the preference order.
func isFirst(id, other string) bool {
	s := spread.NewUpstreamSelector(spread.Peer{ID: id}, spread.DefaultParams, nil)
	s.SetPeers([]spread.Peer{{ID: other}})
	return s.Mode(0) == spread.ReadingStore
}

// sendQuery makes the entry query its peer and returns the query's number.
func (n *testNode) sendQuery(t *testing.T) uint64 {
	t.Helper()
	n.step()
	for _, m := range n.sent {
		if query, ok := m.(*peermessage.TopicsQuery); ok {
			return query.Seq
		}
	}
	t.Fatal("the peer receives no query")
	return 0
}

// fullResponse returns a response with the state of all topics, at offset 2 and with a given age.
func fullResponse(seq, ageMs uint64) *peermessage.TopicsResponse {
	response := &peermessage.TopicsResponse{Seq: seq}
	for topicID := range topicCount {
		response.Topics = append(response.Topics, peermessage.TopicState{TopicID: uint8(topicID), Next: 2, From: 2, CallAgeMs: ageMs, ResponseAgeMs: ageMs, Reader: "entry-3"})
	}
	return response
}

// The ages in a response count from the query. Counted from the response's arrival, each hop would
// make the data look younger.
func TestAnAnswersAgeRunsFromItsQuestion(t *testing.T) {
	const (
		transit = 100 * time.Millisecond
		age     = 700 * time.Millisecond
	)
	n := startTestNode(t)
	n.now += 5 * time.Second
	seq := n.sendQuery(t)
	n.now += transit
	n.handleResponse(n.peer, fullResponse(seq, uint64(age.Milliseconds())), somePeer)
	if got := n.ageOf(replicasTopicID); got != transit+age {
		t.Errorf("the list is %v old; want %v", got, transit+age)
	}
	if n.upstreams.Upstream() != n.peer {
		t.Error("a peer with fresher data is not the upstream")
	}
}

// An age that overflows a duration would turn into a time in the future.
func TestAnAgeThatCannotBeIsMalformed(t *testing.T) {
	for _, age := range []uint64{math.MaxUint64, math.MaxInt64, math.MaxInt64/uint64(time.Millisecond) + 1} {
		n := startTestNode(t)
		n.now += 5 * time.Second
		before := n.ageOf(replicasTopicID)
		n.handleResponse(n.peer, fullResponse(n.sendQuery(t), age), somePeer)
		if got := n.ageOf(replicasTopicID); got != before {
			t.Errorf("after a reported age of %d ms the list is %v old; want %v", age, got, before)
		}
		if n.upstreams.Upstream() != "" {
			t.Errorf("a peer that reports an age of %d ms is the upstream", age)
		}
	}
}

// Whatever message arrives, no topic gets fresher than the time of the query, and nothing panics.
func FuzzHubMessage(f *testing.F) {
	sender := peermessage.Sender{ID: "entry-1"}
	for _, response := range []*peermessage.TopicsResponse{fullResponse(1, 0), fullResponse(1, math.MaxUint64), {Seq: 0, Topics: []peermessage.TopicState{{TopicID: 255, From: math.MaxUint64, Next: 1}}}} {
		f.Add(peermessage.Encode(sender, response))
	}
	f.Add(peermessage.Encode(sender, &peermessage.TopicsQuery{Seq: 1, Next: []uint64{0, 1, 2, 3, math.MaxUint64}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		from, m, err := peermessage.Decode(data)
		if err != nil {
			return
		}
		n := startTestNode(t)
		n.now += 5 * time.Second
		n.sendQuery(t)
		n.handle(from.ID, m, somePeer)
		for topicID := range topicCount {
			if age := n.ageOf(topicID); age < 0 {
				t.Errorf("topic %d is known as of %v in the future", topicID, -age)
			}
		}
	})
}
