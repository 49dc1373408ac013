package direct

import (
	"net/netip"
	"slices"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/peermessage"
	"skylarklead/internal/spread"
)

const (
	// messageOverhead is the maximum size in bytes of a message without its records: the sender and
	// four topics with their numbers and readers. recordOverhead is the maximum size of a record
	// without its key and value.
	messageOverhead = 360
	recordOverhead  = 12
)

func (h *hub) sendQueries(queries []spread.Query) {
	for _, q := range queries {
		h.mu.Lock()
		to, ok := h.addresses[q.Peer]
		followers := h.followers
		h.mu.Unlock()
		if !ok {
			continue
		}
		query := &peermessage.TopicsQuery{Seq: q.Seq}
		for _, f := range followers {
			query.Next = append(query.Next, f.queryPosition())
		}
		h.tel.Metrics.Count("records_asked", 1)
		h.send(query, to)
	}
}

// queryPosition returns the follower's position as a query encodes it: the next unknown offset plus
// one, or 0 if nothing of the topic is known.
func (f *follower) queryPosition() uint64 {
	if f == nil {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.watermark.Known {
		return 0
	}
	return f.watermark.Next + 1
}

// handleQuery answers a peer's query and subscribes the peer to updates.
func (h *hub) handleQuery(query *peermessage.TopicsQuery, from netip.AddrPort) {
	now := h.boot()
	h.mu.Lock()
	if _, known := h.subscribers[from]; known || len(h.subscribers) < maxSubscribers {
		h.subscribers[from] = now
	}
	followers := h.followers
	h.mu.Unlock()
	response := &peermessage.TopicsResponse{Seq: query.Seq}
	room := peermessage.MaxBytes - messageOverhead
	for i, f := range followers {
		if f == nil || i >= len(query.Next) {
			continue
		}
		topic, known := f.stateSince(query.Next[i], now, &room)
		if known {
			topic.TopicID = uint8(i)
			response.Topics = append(response.Topics, topic)
		}
	}
	h.tel.Metrics.Count("records_answered", 1)
	h.send(response, from)
}

// stateSince returns the state of the topic for a peer at a position (see peermessage.TopicsQuery.Next; 0 if it
// knows nothing): the known offset, its time, and as many of the records that the peer lacks as
// there is room for. It returns false if no read has confirmed the topic yet.
func (f *follower) stateSince(next uint64, now time.Duration, room *int) (peermessage.TopicState, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.watermark.Confirmed() {
		return peermessage.TopicState{}, false
	}
	last := f.watermark.LastRead()
	t := peermessage.TopicState{
		Next: f.watermark.Next, Reader: last.Reader,
		CallAgeMs: ageMs(now - last.CalledAt), ResponseAgeMs: ageMs(now - last.AnsweredAt),
	}
	if next == 0 || next > f.watermark.Next {
		return t, true
	}
	records, kept := f.tail.From(next - 1)
	if kept {
		t.From = next - 1
		t.Records = fitRecords(records, room)
	}
	return t, true
}

// fitRecords returns the longest prefix of records that fits in room, and subtracts its size from
// room.
func fitRecords(records []fleet.Record, room *int) []peermessage.TopicRecord {
	var out []peermessage.TopicRecord
	for _, r := range records {
		takes := len(r.Key) + len(r.Value) + recordOverhead
		if takes > *room {
			break
		}
		*room -= takes
		out = append(out, peermessage.TopicRecord{Key: r.Key, Value: r.Value, Deleted: r.Value == nil})
	}
	return out
}

// ageMs converts an age to milliseconds, rounded up: forwarding must never make data look younger.
func ageMs(age time.Duration) uint64 {
	return uint64((max(0, age) + time.Millisecond - 1) / time.Millisecond)
}

// handleResponse processes a peer's answer, or an update that was not asked for (Seq 0).
func (h *hub) handleResponse(peer string, response *peermessage.TopicsResponse, from netip.AddrPort) {
	now := h.boot()
	if response.Seq == 0 {
		h.handleUpdate(peer, response, from)
		return
	}
	h.mu.Lock()
	sent, ok := h.upstreams.QuerySentAt(peer, response.Seq)
	h.mu.Unlock()
	if !ok {
		h.tel.Metrics.Count("records_answers_late", 1)
		return
	}
	reported := [topicCount]bool{}
	var stale staleResponse
	for i := range response.Topics {
		t := &response.Topics[i]
		f := h.followerOf(int(t.TopicID))
		if f == nil {
			continue
		}
		if !t.Valid() {
			h.tel.Metrics.Count("peer_words_malformed", 1)
			continue
		}
		reported[t.TopicID] = true
		r := readOf(t, sent)
		if mustBeFresh(f.topicID) && (t.Reader == h.self.ID || f.tooStale(now-r.CalledAt)) {
			stale = staleResponse{peer: peer, topic: f.topic, reader: t.Reader, age: now - r.CalledAt}
		}
		h.applyState(f, t, r, from)
	}
	if !reported[operatorTopicID] || !reported[replicasTopicID] {
		stale = staleResponse{peer: peer}
	}
	h.mu.Lock()
	if stale.peer != "" {
		h.loggedStatus.stale = stale
	}
	h.upstreams.QueryAnswered(response.Seq, stale.peer == "", now)
	h.mu.Unlock()
	h.step()
}

// readOf converts the state in an answer into a read, given the time at which the query was sent.
// Ages count back from that time, so that neither a slow answer nor a pause of this process makes
// the data look younger than it is.
func readOf(t *peermessage.TopicState, sent time.Duration) spread.Read {
	return spread.Read{
		Next: t.Next, Reader: t.Reader,
		CalledAt:   sent - time.Duration(t.CallAgeMs)*time.Millisecond,
		AnsweredAt: sent - time.Duration(t.ResponseAgeMs)*time.Millisecond,
	}
}

// handleUpdate applies records that a peer has just read. It does not matter which peer sent them:
// a record is the same whoever forwards it.
func (h *hub) handleUpdate(peer string, update *peermessage.TopicsResponse, from netip.AddrPort) {
	behind := false
	for i := range update.Topics {
		t := &update.Topics[i]
		if f := h.followerOf(int(t.TopicID)); f != nil {
			behind = !f.applyRecords(t.From, t.StoreRecords(), spread.Read{Next: t.Next}, from) || behind
		}
	}
	if !behind {
		return
	}
	h.mu.Lock()
	h.upstreams.QueryNow(peer, h.boot())
	h.mu.Unlock()
	h.step()
}

// applyState applies the state of a topic from a peer, and fetches the records that did not fit in
// the message.
func (h *hub) applyState(f *follower, t *peermessage.TopicState, r spread.Read, from netip.AddrPort) {
	if f.applyRecords(t.From, t.StoreRecords(), r, from) {
		h.tel.Metrics.Count("records_from_peers", int64(len(t.Records)))
		return
	}
	h.startFetch(f, from)
}

// startFetch fetches a topic from a peer unless a fetch of it is under way.
func (h *hub) startFetch(f *follower, from netip.AddrPort) {
	h.mu.Lock()
	inProgress := h.fetching[f.topicID]
	h.fetching[f.topicID] = true
	h.mu.Unlock()
	if inProgress {
		return
	}
	go func() {
		h.fetch(f, from)
		h.mu.Lock()
		h.fetching[f.topicID] = false
		h.mu.Unlock()
	}()
}

// handle dispatches a message between hubs. An entry that reads every topic from the store itself
// has no hub and ignores it.
func (h *hub) handle(sender string, m peermessage.Message, from netip.AddrPort) {
	if h == nil {
		return
	}
	switch m := m.(type) {
	case *peermessage.TopicsQuery:
		h.handleQuery(m, from)
	case *peermessage.TopicsResponse:
		h.handleResponse(sender, m, from)
	case peermessage.StoreHint:
		h.handleHint(sender)
	}
}

// handleHint processes a peer's hint that the store answers it.
func (h *hub) handleHint(peer string) {
	h.mu.Lock()
	h.upstreams.HintReceived(peer, h.boot())
	h.mu.Unlock()
	h.step()
}

// sendUpdate forwards records that have just been applied to the subscribers and to the upstream,
// except to their sender. Without records it only advertises the new offset, and the peers query
// the rest. An entry reads back what it appends, so its records reach all others within
// milliseconds, not only its subscribers; otherwise a hundred entries would try to claim a free
// lease that one of them already has. Records that are already known are not forwarded again. The
// caller holds the follower's mu.
func (h *hub) sendUpdate(f *follower, from uint64, records []fleet.Record, sender netip.AddrPort) {
	now := h.boot()
	var to []netip.AddrPort
	h.mu.Lock()
	for address, at := range h.subscribers {
		if now-at > subscriptionTTL {
			delete(h.subscribers, address)
		} else if address != sender {
			to = append(to, address)
		}
	}
	if upstream, ok := h.addresses[h.upstreams.Upstream()]; ok && upstream != sender && !slices.Contains(to, upstream) {
		to = append(to, upstream)
	}
	h.mu.Unlock()
	if len(to) == 0 {
		return
	}
	for first := true; first || len(records) > 0; first = false {
		room := peermessage.MaxBytes - messageOverhead
		batch := fitRecords(records, &room)
		t := peermessage.TopicState{TopicID: uint8(f.topicID), From: from, Next: from + uint64(len(batch)), Records: batch}
		if len(batch) == 0 {
			t.Next = from + uint64(len(records))
		}
		m := &peermessage.TopicsResponse{Topics: []peermessage.TopicState{t}}
		for _, address := range to {
			h.send(m, address)
		}
		if len(batch) == 0 {
			return // the next record does not fit in a datagram
		}
		from += uint64(len(batch))
		records = records[len(batch):]
	}
}
