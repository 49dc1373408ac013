package direct

import (
	"compress/flate"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gorilla/mux"

	"skylarklead/internal/fleet"
	"skylarklead/internal/peermessage"
	"skylarklead/internal/strictcbor"
	"skylarklead/internal/upstream"
)

const (
	// bulkPath, followed by a topic ID, serves peers what does not fit in a datagram.
	bulkPath = "/records/"
	// bulkTimeout bounds a fetch. A list of thousands of replicas takes some hundred milliseconds
	// over a link of 20 Mbit/s.
	bulkTimeout = 2 * time.Second
	// maxBulkBytes bounds a peer's answer. One is read at a time.
	maxBulkBytes = 8 << 20
	// bulkConnections is the number of idle connections kept to each peer, bulkIdle how long they
	// are kept.
	bulkConnections = 1
	bulkIdle        = 10 * time.Second
)

var (
	errBulk = errors.New("direct: fetching records from a peer failed")

	bulkDecoder = strictcbor.Decoder(strictcbor.Bounds{MapPairs: 16, ArrayElements: 1 << 20})
)

// bulkClient fetches from peers what does not fit in a datagram.
type bulkClient struct {
	client *http.Client
	// reading is held while an answer is read and decoded, which takes several times its memory.
	reading sync.Mutex
}

func newBulk() *bulkClient {
	return &bulkClient{client: &http.Client{Transport: &http.Transport{
		DialContext:         upstream.Dialer().DialContext,
		MaxIdleConnsPerHost: bulkConnections,
		IdleConnTimeout:     bulkIdle,
		DisableCompression:  true,

		MaxResponseHeaderBytes: upstream.MaxHeadBytes,
	}}}
}

// fetch fetches a topic from a peer, from the known offset on or whole, and applies it.
func (h *hub) fetch(f *follower, from netip.AddrPort) {
	sent := h.boot()
	began := time.Now()
	t, err := h.fetchTopic(from, f.topicID, f.queryPosition())
	if err == nil && !t.Valid() {
		err = fmt.Errorf("%w: reported age of %d ms is out of range", errBulk, max(t.CallAgeMs, t.ResponseAgeMs))
	}
	if err != nil {
		h.tel.Metrics.Count("records_fetches_failed", 1)
		h.tel.Log.Info("fetching records from peer failed", "stream", f.topic, "from", from.String(), "error", err)
		if !f.keyed {
			f.requestStoreRead()
		}
		return
	}
	h.tel.Log.Info("records fetched", "stream", f.topic, "from", from.String(), "whole", t.Snapshot,
		"records", len(t.Records), "next", t.Next, "age_ms", t.CallAgeMs, "took_ms", ms(time.Since(began)))
	r := readOf(t, sent)
	if !t.Snapshot {
		if !f.keyed {
			f.startAt(t.From)
		}
		f.applyRecords(t.From, t.StoreRecords(), r, from)
		return
	}
	page := fleet.Page{Records: t.StoreRecords(), Next: t.Next, End: t.Next}
	f.applySnapshot(page, r, from)
}

// fetchFromAny fetches a topic of which nothing is known from any peer, since the store doesn't answer. An entry
// queries only those before it in the shared order, and the first one none: after a rolling restart during an
// outage they may know nothing either. What a peer serves by, an entry that starts may serve by too.
func (h *hub) fetchFromAny(f *follower) {
	if f.queryPosition() > 0 {
		return
	}
	h.mu.Lock()
	addresses := slices.Collect(maps.Values(h.addresses))
	h.mu.Unlock()
	if len(addresses) > 0 {
		h.startFetch(f, addresses[rand.IntN(len(addresses))])
	}
}

// maxPreRestorePeers is how many peers a starting entry asks for records that the store may have
// lost.
const maxPreRestorePeers = 2

// fetchPreRestore asks peers for records of a topic that the store may have lost when it was
// restored from an older copy. An entry that starts after that and reads the store itself knows
// only the copy.
func (h *hub) fetchPreRestore(f *follower) {
	h.mu.Lock()
	addresses := slices.Collect(maps.Values(h.addresses))
	h.mu.Unlock()
	fetched := 0
	for _, address := range addresses {
		if fetched == maxPreRestorePeers {
			return
		}
		t, err := h.fetchTopic(address, f.topicID, 0)
		if err != nil || !t.Snapshot {
			h.tel.Metrics.Count("records_fetches_failed", 1)
			continue
		}
		fetched++
		f.applyPreRestore(t.StoreRecords())
	}
}

func (b *bulkClient) fetch(from netip.AddrPort, topicID int, next uint64) (*peermessage.TopicState, error) {
	ctx, cancel := context.WithTimeout(context.Background(), bulkTimeout)
	defer cancel()
	address := url.URL{
		Scheme: "http", Host: from.String(), Path: bulkPath + strconv.Itoa(topicID),
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
		return nil, fmt.Errorf("%w: response status %d", errBulk, resp.StatusCode)
	}
	b.reading.Lock()
	defer b.reading.Unlock()
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(resp.Body), maxBulkBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errBulk, err)
	}
	if len(data) > maxBulkBytes {
		return nil, fmt.Errorf("%w: response exceeds %d bytes", errBulk, maxBulkBytes)
	}
	var t peermessage.TopicState
	if err := bulkDecoder.Unmarshal(data, &t); err != nil {
		return nil, fmt.Errorf("%w: %w", errBulk, err)
	}
	return &t, nil
}

// serveBulk serves fetches of peers on a listener until the server is closed.
func (h *hub) serveBulk(l net.Listener) *http.Server {
	r := mux.NewRouter()
	r.HandleFunc(bulkPath+"{number}", h.serveTopic).Methods(http.MethodGet)
	server := &http.Server{Handler: r, ReadHeaderTimeout: defaultLimits.HeaderTimeout, MaxHeaderBytes: maxOwnHeadBytes, IdleTimeout: bulkIdle}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			h.tel.Log.Error("server of records for peers failed", "error", err)
		}
	}()
	return server
}

func (h *hub) serveTopic(w http.ResponseWriter, r *http.Request) {
	topicID, err := strconv.Atoi(mux.Vars(r)["number"])
	next, nextErr := strconv.ParseUint(r.URL.Query().Get("next"), 10, 64)
	if err != nil || nextErr != nil {
		http.Error(w, "expected a topic ID and an offset", http.StatusBadRequest)
		return
	}
	f := h.followerOf(topicID)
	if f == nil {
		http.NotFound(w, r)
		return
	}
	t, ok := f.bulkState(next)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	data, err := cbor.Marshal(t)
	if err != nil {
		panic(err) // the state consists of plain values
	}
	h.tel.Metrics.Count("records_given", int64(len(t.Records)))
	out, err := flate.NewWriter(w, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	// A peer whose connection broke fetches elsewhere.
	_, _ = out.Write(data)
	_ = out.Close()
}

// unkeyedHistory is how far back the records of a topic without keys go that a new peer receives:
// twice the longest lease. A peer that begins there misses no lease that may still hold.
const unkeyedHistory = 10 * time.Second

// unkeyedBulk returns all records kept of a topic without keys, for a peer that knows nothing of
// it. It returns false if the history is too short or if the peer lacks records that are no longer
// kept; those must be read from the store. The caller holds mu.
func (f *follower) unkeyedBulk(t *peermessage.TopicState, next uint64) (*peermessage.TopicState, bool) {
	first, records, ok := f.tail.Since(unkeyedHistory, f.boot())
	if next > 0 || !ok || t.Next != f.watermark.Next {
		return nil, false
	}
	room := maxBulkBytes
	t.From, t.Records = first, fitRecords(records, &room)
	return t, true
}

// bulkState returns the state of the topic for a peer at a position (see peermessage.TopicsQuery.Next; 0 if it
// knows nothing), as a snapshot if the records after it are not kept.
func (f *follower) bulkState(next uint64) (*peermessage.TopicState, bool) {
	room := maxBulkBytes
	f.mu.Lock()
	reloading := f.reload && f.keyed
	f.mu.Unlock()
	t, known := f.stateSince(next, f.boot(), &room)
	if !known || reloading {
		return nil, false
	}
	if t.From+uint64(len(t.Records)) >= t.Next && next > 0 {
		return &t, true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.keyed {
		return f.unkeyedBulk(&t, next)
	}
	if t.Next != f.watermark.Next {
		return nil, false // new records were just applied; the peer retries
	}
	t.Snapshot, t.From, t.Records = true, 0, nil
	for _, r := range f.tail.Newest(f.boot()) {
		offset := r.Offset
		t.Records = append(t.Records, peermessage.TopicRecord{Key: r.Key, Value: r.Value, Offset: &offset})
	}
	return &t, true
}
