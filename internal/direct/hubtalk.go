package direct

import (
	"net/netip"
	"slices"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/spread"
)

// ask sends questions.
func (h *hub) ask(questions []spread.Query) {
	for _, q := range questions {
		h.mu.Lock()
		to, ok := h.addresses[q.Peer]
		followers := h.followers
		h.mu.Unlock()
		if !ok {
			continue
		}
		asked := &wordAsk{Seq: q.Seq}
		for _, f := range followers {
			asked.Next = append(asked.Next, f.nextOf())
		}
		h.tel.Metrics.Count("records_asked", 1)
		h.send(&peerMessage{From: h.self.ID, Epoch: uint64(h.tel.Epoch), Ask: asked}, to)
	}
}

// nextOf is one more than the offset from which on a topic isn't known here, 0 where
// nothing of it is.
func (f *follower) nextOf() uint64 {
	if f == nil {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.belief.Known {
		return 0
	}
	return f.belief.Next + 1
}

// asked answers a peer's question.
func (h *hub) asked(a *wordAsk, from netip.AddrPort) {
	now := h.boot()
	h.mu.Lock()
	if _, known := h.askers[from]; known || len(h.askers) < maxAskers {
		h.askers[from] = now
	}
	followers := h.followers
	h.mu.Unlock()
	out := &wordAnswer{Seq: a.Seq}
	room := maxWord - wordOverhead
	for i, f := range followers {
		if f == nil || i >= len(a.Next) {
			continue
		}
		topic, known := f.told(a.Next[i], now, &room)
		if known {
			topic.Number = uint8(i)
			out.Topics = append(out.Topics, topic)
		}
	}
	h.tel.Metrics.Count("records_answered", 1)
	h.send(&peerMessage{From: h.self.ID, Epoch: uint64(h.tel.Epoch), Answer: out}, from)
}

// told is what an entry that knows a topic up to next less one, 0 for nothing, is told of it:
// where it ends and as of when, and the records that it lacks as far as there is room.
func (f *follower) told(next uint64, now time.Duration, room *int) (wordTopic, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.belief.Confirmed() {
		return wordTopic{}, false
	}
	last := f.belief.LastRead()
	t := wordTopic{
		Next: f.belief.Next, Reader: last.Reader,
		MadeMs: ageMs(now - last.CalledAt), AnsweredMs: ageMs(now - last.AnsweredAt),
	}
	if next == 0 || next > f.belief.Next {
		return t, true
	}
	records, kept := f.tail.From(next - 1)
	if kept {
		t.From = next - 1
		t.Records = fitting(records, room)
	}
	return t, true
}

// fitting are the first records that fit into a datagram's room, which they take.
func fitting(records []fleet.Record, room *int) []wordRecord {
	var out []wordRecord
	for _, r := range records {
		takes := len(r.Key) + len(r.Value) + recordOverhead
		if takes > *room {
			break
		}
		*room -= takes
		out = append(out, wordRecord{Key: r.Key, Value: r.Value, Gone: r.Value == nil})
	}
	return out
}

// ageMs is an age in milliseconds, rounded up: what is passed on never gets younger.
func ageMs(age time.Duration) uint64 {
	return uint64((max(0, age) + time.Millisecond - 1) / time.Millisecond)
}

// answered takes a peer's answer, or news that nobody asked for (Seq 0).
func (h *hub) answered(peer string, a *wordAnswer, from netip.AddrPort) {
	now := h.boot()
	if a.Seq == 0 {
		h.heardNews(peer, a, from)
		return
	}
	h.mu.Lock()
	sent, ok := h.sources.QuerySentAt(peer, a.Seq)
	h.mu.Unlock()
	if !ok {
		h.tel.Metrics.Count("records_answers_late", 1)
		return
	}
	told := [topics]bool{}
	var lacks lacking
	for i := range a.Topics {
		t := &a.Topics[i]
		f := h.followed(int(t.Number))
		if f == nil {
			continue
		}
		if !t.possible() {
			h.tel.Metrics.Count("peer_words_malformed", 1)
			continue
		}
		told[t.Number] = true
		r := t.reading(sent)
		if promised(f.topicID) && (t.Reader == h.self.ID || f.tooOld(now-r.CalledAt)) {
			lacks = lacking{peer: peer, topic: f.topic, reader: t.Reader, age: now - r.CalledAt}
		}
		h.take(f, t, r, from)
	}
	if !told[operatorTopicID] || !told[replicasTopicID] {
		lacks = lacking{peer: peer}
	}
	h.mu.Lock()
	if lacks.peer != "" {
		h.told.lacking = lacks
	}
	h.sources.QueryAnswered(a.Seq, lacks.peer == "", now)
	h.mu.Unlock()
	h.step()
}

// reading is what an answer shows to a question that was sent at a time: the ages run back
// from then, so that the way of the answer, or a stop of this process, makes nothing young.
func (t *wordTopic) reading(sent time.Duration) spread.Read {
	return spread.Read{
		Next: t.Next, Reader: t.Reader,
		CalledAt:   sent - time.Duration(t.MadeMs)*time.Millisecond,
		AnsweredAt: sent - time.Duration(t.AnsweredMs)*time.Millisecond,
	}
}

// heardNews takes records that a peer has just read. Which peer doesn't matter: a record
// is the same whoever passes it on.
func (h *hub) heardNews(peer string, a *wordAnswer, from netip.AddrPort) {
	behind := false
	for i := range a.Topics {
		t := &a.Topics[i]
		if f := h.followed(int(t.Number)); f != nil {
			behind = !f.take(t.From, t.records(), spread.Read{Next: t.Next}, from) || behind
		}
	}
	if !behind {
		return
	}
	h.mu.Lock()
	h.sources.QueryNow(peer, h.boot())
	h.mu.Unlock()
	h.step()
}

// take takes what a peer tells of a topic, and fetches what isn't in its message.
func (h *hub) take(f *follower, t *wordTopic, r spread.Read, from netip.AddrPort) {
	if f.take(t.From, t.records(), r, from) {
		h.tel.Metrics.Count("records_from_peers", int64(len(t.Records)))
		return
	}
	h.mu.Lock()
	begun := h.fetching[f.topicID]
	h.fetching[f.topicID] = true
	h.mu.Unlock()
	if begun {
		return
	}
	go func() {
		h.fetch(f, from)
		h.mu.Lock()
		h.fetching[f.topicID] = false
		h.mu.Unlock()
	}()
}

// heard takes a message between hubs. Where this entry reads all for itself it answers none.
func (h *hub) heard(w *peerMessage, from netip.AddrPort) {
	switch {
	case h == nil:
	case w.Ask != nil:
		h.asked(w.Ask, from)
	case w.Answer != nil:
		h.answered(w.From, w.Answer, from)
	case w.Hint:
		h.hinted(w.From)
	}
}

// hinted takes a peer's word that the store answers it.
func (h *hub) hinted(peer string) {
	h.mu.Lock()
	h.sources.HintReceived(peer, h.boot())
	h.mu.Unlock()
	h.step()
}

// news tells of records that this entry has just taken, by whom they came to it, those that
// ask it and the one that it asks; with none, that there are some, which they ask for. What an
// entry writes, and reads back, reaches all others so within milliseconds, and not only
// those that ask it: a hundred entries would claim a free lease after one of them got it. A
// record that is known already goes no further. The follower's mu is held.
func (h *hub) news(f *follower, from uint64, records []fleet.Record, by netip.AddrPort) {
	now := h.boot()
	var to []netip.AddrPort
	h.mu.Lock()
	for address, at := range h.askers {
		if now-at > askedFor {
			delete(h.askers, address)
		} else if address != by {
			to = append(to, address)
		}
	}
	if source, ok := h.addresses[h.sources.Upstream()]; ok && source != by && !slices.Contains(to, source) {
		to = append(to, source)
	}
	h.mu.Unlock()
	if len(to) == 0 {
		return
	}
	for first := true; first || len(records) > 0; first = false {
		room := maxWord - wordOverhead
		part := fitting(records, &room)
		t := wordTopic{Number: uint8(f.topicID), From: from, Next: from + uint64(len(part)), Records: part}
		if len(part) == 0 {
			t.Next = from + uint64(len(records))
		}
		w := &peerMessage{From: h.self.ID, Epoch: uint64(h.tel.Epoch), Answer: &wordAnswer{Topics: []wordTopic{t}}}
		for _, address := range to {
			h.send(w, address)
		}
		if len(part) == 0 {
			return // the next one is too long for a datagram
		}
		from += uint64(len(part))
		records = records[len(part):]
	}
}
