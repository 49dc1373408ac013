package direct

import (
	"compress/flate"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gorilla/mux"

	"skylarklead/internal/fleet"
	"skylarklead/internal/strictcbor"
	"skylarklead/internal/upstream"
)

const (
	// bulkPath, with a topic's number, is where an entry gives its peers what doesn't fit
	// into a datagram.
	bulkPath = "/records/"
	// bulkTimeout bounds a fetch: a list of thousands of replicas over a link of 20 Mbit/s
	// takes some hundred milliseconds.
	bulkTimeout = 2 * time.Second
	// maxBulk bounds what a peer can make this entry build, in bytes.
	maxBulk = 32 << 20
	// bulkConnections bounds the connections kept to each peer.
	bulkConnections = 1
	bulkIdle        = 10 * time.Second
)

var (
	errBulk = errors.New("direct: records not fetched from a peer")

	bulkMode = strictcbor.Decoder(strictcbor.Bounds{MapPairs: 16, ArrayElements: 1 << 20})
)

// bulk fetches from peers what doesn't fit into a datagram.
type bulk struct{ client *http.Client }

func newBulk() *bulk {
	return &bulk{client: &http.Client{Transport: &http.Transport{
		DialContext:         upstream.Dialer().DialContext,
		MaxIdleConnsPerHost: bulkConnections,
		IdleConnTimeout:     bulkIdle,
		DisableCompression:  true,
	}}}
}

// fetch fetches a topic from a peer, from what is known here on or whole.
func (h *hub) fetch(f *follower, from netip.AddrPort) {
	sent := h.boot()
	began := time.Now()
	t, err := h.fetchTopic(from, f.topicID, f.nextOf())
	if err == nil && !t.possible() {
		err = fmt.Errorf("%w: an age of %d ms", errBulk, max(t.MadeMs, t.AnsweredMs))
	}
	if err != nil {
		h.tel.Metrics.Count("records_fetches_failed", 1)
		h.tel.Log.Info("records not fetched", "stream", f.topic, "from", from.String(), "error", err)
		if !f.keyed {
			f.askStore()
		}
		return
	}
	h.tel.Log.Info("records fetched", "stream", f.topic, "from", from.String(), "whole", t.Whole,
		"records", len(t.Records), "next", t.Next, "age_ms", t.MadeMs, "took_ms", ms(time.Since(began)))
	r := t.reading(sent)
	if !t.Whole {
		if !f.keyed {
			f.begin(t.From)
		}
		f.take(t.From, t.records(), r, from)
		return
	}
	page := fleet.Page{Records: t.records(), Next: t.Next, End: t.Next}
	f.takeWhole(page, r, from)
}

// mostBefore is how many peers an entry that starts asks for what the store may have lost.
const mostBefore = 2

// askBefore asks peers for a topic's records that the store may have lost when it came back from
// an older copy: an entry that starts then, and reads the store itself, knows only the copy.
func (h *hub) askBefore(f *follower) {
	h.mu.Lock()
	addresses := slices.Collect(maps.Values(h.addresses))
	h.mu.Unlock()
	asked := 0
	for _, address := range addresses {
		if asked == mostBefore {
			return
		}
		t, err := h.fetchTopic(address, f.topicID, 0)
		if err != nil || !t.Whole {
			h.tel.Metrics.Count("records_fetches_failed", 1)
			continue
		}
		asked++
		f.takeBefore(t.records())
	}
}

func (b *bulk) get(from netip.AddrPort, number int, next uint64) (*wordTopic, error) {
	ctx, cancel := context.WithTimeout(context.Background(), bulkTimeout)
	defer cancel()
	address := url.URL{
		Scheme: "http", Host: from.String(), Path: bulkPath + strconv.Itoa(number),
		RawQuery: "next=" + strconv.FormatUint(next, 10),
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errBulk, err)
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errBulk, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: answered %d", errBulk, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(resp.Body), maxBulk+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errBulk, err)
	}
	if len(data) > maxBulk {
		return nil, fmt.Errorf("%w: more than %d bytes", errBulk, maxBulk)
	}
	var t wordTopic
	if err := bulkMode.Unmarshal(data, &t); err != nil {
		return nil, fmt.Errorf("%w: %w", errBulk, err)
	}
	return &t, nil
}

// serveBulk answers peers' fetches on a listener until it is closed.
func (h *hub) serveBulk(l net.Listener) *http.Server {
	r := mux.NewRouter()
	r.HandleFunc(bulkPath+"{number}", h.give).Methods(http.MethodGet)
	server := &http.Server{Handler: r, ReadHeaderTimeout: defaultLimits.HeaderTimeout, IdleTimeout: bulkIdle}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			h.tel.Log.Error("peers are given no records any more", "error", err)
		}
	}()
	return server
}

func (h *hub) give(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.Atoi(mux.Vars(r)["number"])
	next, nextErr := strconv.ParseUint(r.URL.Query().Get("next"), 10, 64)
	if err != nil || nextErr != nil {
		http.Error(w, "a topic's number and an offset are wanted", http.StatusBadRequest)
		return
	}
	f := h.followed(number)
	if f == nil {
		http.NotFound(w, r)
		return
	}
	t, ok := f.given(next)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	data, err := cbor.Marshal(t)
	if err != nil {
		panic(err) // it is made of plain values
	}
	h.tel.Metrics.Count("records_given", int64(len(t.Records)))
	out, err := flate.NewWriter(w, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	// A peer that has gone reads on elsewhere.
	_, _ = out.Write(data)
	_ = out.Close()
}

// entriesHistory is how far back a peer is given the topic without keys: twice as long as the
// longest lease. Who begins there lacks no lease that could hold.
const entriesHistory = 10 * time.Second

// givenFrom gives a peer that knows nothing of a topic without keys all that is kept of it; false
// where that isn't enough, or where records are missing that it wants: they are at the store.
// The caller holds mu.
func (f *follower) givenFrom(t *wordTopic, next uint64) (*wordTopic, bool) {
	first, records, ok := f.tail.Since(entriesHistory, f.boot())
	if next > 0 || !ok || t.Next != f.belief.Next {
		return nil, false
	}
	room := maxBulk
	t.From, t.Records = first, fitting(records, &room)
	return t, true
}

// given is what a peer is given that knows a topic up to next less one, 0 for nothing.
func (f *follower) given(next uint64) (*wordTopic, bool) {
	unbounded := maxBulk
	f.mu.Lock()
	reread := f.reread && f.keyed
	f.mu.Unlock()
	t, known := f.told(next, f.boot(), &unbounded)
	if !known || reread {
		return nil, false
	}
	if t.From+uint64(len(t.Records)) >= t.Next && next > 0 {
		return &t, true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.keyed {
		return f.givenFrom(&t, next)
	}
	if t.Next != f.belief.Next {
		return nil, false // it has just gone on; the peer asks again
	}
	t.Whole, t.From, t.Records = true, 0, nil
	for _, r := range f.tail.Newest(f.boot()) {
		offset := r.Offset
		t.Records = append(t.Records, wordRecord{Key: r.Key, Value: r.Value, Offset: &offset})
	}
	return &t, true
}
