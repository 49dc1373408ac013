package direct

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"skylarklead/internal/origin"
	"skylarklead/internal/peermessage"
)

const (
	// originTimeout is how long a request waits for other entries to say which software began its
	// stream: several round trips between failure domains.
	originTimeout = 250 * time.Millisecond
	// originRepeat is the pause until the entries that haven't answered are asked again: the datagram
	// or the answer may be lost.
	originRepeat = 60 * time.Millisecond
	// maxMessageStreams bounds the streams of each kind that a message is read for.
	maxMessageStreams = 64
)

// origins knows which software began which streams, as far as this entry was told, and asks others.
type origins struct {
	peers *peers

	mu      sync.Mutex
	table   *origin.Table
	queries map[origin.Stream]*originQuery
}

// originQuery is a question that other entries were asked.
type originQuery struct {
	// pending are the entries that haven't answered; waiters the requests that wait.
	pending map[string]netip.AddrPort
	waiters int
	// answered is closed once one of them knew the stream, or none of them does.
	answered chan struct{}
	closed   bool
}

func newOrigins(p *peers) *origins {
	return &origins{peers: p, table: origin.NewTable(origin.DefaultSize, p.entry.streamLifetime()), queries: make(map[origin.Stream]*originQuery)}
}

// announce records the software that began a stream, here and at its holders.
func (o *origins) announce(s origin.Stream, software origin.Software) {
	now := o.peers.entry.clock.now()
	o.mu.Lock()
	o.table.Record(s, software, now)
	o.mu.Unlock()
	to := make([]netip.AddrPort, 0, origin.HolderCount)
	for _, address := range o.holders(s) {
		to = append(to, address)
	}
	o.send(&peermessage.Streams{Begun: []peermessage.BegunStream{{Stream: uint64(s), Software: uint64(software)}}}, to...)
}

// resolve returns the software that began a stream. It reports false if no entry that was asked knows the
// stream; one whose software can't be told is Unknown.
func (o *origins) resolve(ctx context.Context, s origin.Stream) (origin.Software, bool) {
	if software, ok := o.lookup(s); ok {
		return software, true
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	q := o.begin(s)
	defer o.end(s, q)
	repeat := time.NewTicker(originRepeat)
	defer repeat.Stop()
	for {
		o.send(&peermessage.Streams{Asked: []uint64{uint64(s)}}, o.pending(q)...)
		select {
		case <-q.answered:
		case <-ctx.Done():
		case <-repeat.C:
			continue
		}
		return o.lookup(s)
	}
}

func (o *origins) lookup(s origin.Stream) (origin.Software, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Lookup(s, o.peers.entry.clock.now())
}

// holders returns the addresses of the other entries that are told of a stream.
func (o *origins) holders(s origin.Stream) map[string]netip.AddrPort {
	addresses := make(map[string]netip.AddrPort, origin.HolderCount)
	for _, id := range origin.Holders(s, o.peers.entry.settings.ID, o.peers.allIDs()) {
		if address, known := o.peers.address(id); known {
			addresses[id] = address
		}
	}
	return addresses
}

// begin joins the query for a stream, or begins one.
func (o *origins) begin(s origin.Stream) *originQuery {
	holders := o.holders(s)
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.queries[s]
	if q == nil {
		q = &originQuery{pending: holders, answered: make(chan struct{})}
		o.queries[s] = q
		q.closeIf(len(holders) == 0)
	}
	q.waiters++
	return q
}

func (o *origins) end(s origin.Stream, q *originQuery) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if q.waiters--; q.waiters == 0 {
		delete(o.queries, s)
	}
}

func (o *origins) pending(q *originQuery) []netip.AddrPort {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]netip.AddrPort, 0, len(q.pending))
	for _, address := range q.pending {
		list = append(list, address)
	}
	return list
}

// closeIf ends the query if done is set. The caller holds mu.
func (q *originQuery) closeIf(done bool) {
	if done && !q.closed {
		q.closed = true
		close(q.answered)
	}
}

// receive handles a message of another entry.
func (o *origins) receive(m *peermessage.Streams, id string, from netip.AddrPort) {
	o.peers.entry.uses.receive(m, from)
	now := o.peers.entry.clock.now()
	var answer peermessage.Streams
	o.mu.Lock()
	for _, b := range m.Begun[:min(len(m.Begun), maxMessageStreams)] {
		s := origin.Stream(b.Stream)
		o.table.Record(s, origin.Software(b.Software), now)
		if q := o.queries[s]; q != nil {
			q.closeIf(true)
		}
	}
	for _, asked := range m.Asked[:min(len(m.Asked), maxMessageStreams)] {
		if software, ok := o.table.Lookup(origin.Stream(asked), now); ok {
			answer.Begun = append(answer.Begun, peermessage.BegunStream{Stream: asked, Software: uint64(software)})
		} else {
			answer.Unknown = append(answer.Unknown, asked)
		}
	}
	for _, unknown := range m.Unknown[:min(len(m.Unknown), maxMessageStreams)] {
		if q := o.queries[origin.Stream(unknown)]; q != nil {
			delete(q.pending, id)
			q.closeIf(len(q.pending) == 0)
		}
	}
	o.mu.Unlock()
	if len(m.Asked) > 0 {
		o.send(&answer, from)
	}
}

func (o *origins) send(m *peermessage.Streams, to ...netip.AddrPort) {
	if len(to) > 0 {
		o.peers.sendTo(m, to...)
	}
}
