package engine

import (
	"fmt"
	"strings"
	"testing"

	"skylarklead/internal/cachemap"
	"skylarklead/internal/prefix"
)

// benchmarkCacheEvents decodes an event stream and applies it to a cache view, as an endpoint
// process does, without the socket.
func benchmarkCacheEvents(b *testing.B, hashesEach int) {
	const events = 1000
	var body strings.Builder
	for i := range events {
		kind := []string{"stored", "removed"}[i%2]
		hashes := make([]string, hashesEach)
		for k := range hashes {
			hashes[k] = fmt.Sprintf("%q", fmt.Sprintf("%016x", uint64(i/2*hashesEach+k+1)*0x9E3779B97F4A7C15))
		}
		fmt.Fprintf(&body, "data: {\"seq\":%d,\"incarnation\":\"0123456789abcdef\",\"weights_version\":\"v1\",\"type\":%q,\"hashes\":[%s]}\n\n",
			i+1, kind, strings.Join(hashes, ","))
	}
	text := body.String()
	b.ReportAllocs()
	for b.Loop() {
		view := cachemap.New(cachemap.Params{})
		view.Connected(1)
		n := 0
		_ = readCacheEvents(strings.NewReader(text), func(e CacheEvent) error {
			n++
			hashes := make([]prefix.Hash, len(e.Hashes))
			copy(hashes, e.Hashes)
			view.Apply(0, cachemap.Event{Seq: e.Seq, Incarnation: e.Incarnation, Weights: e.Weights, Kind: cachemap.Kind(e.Type), Hashes: hashes})
			return nil
		})
		if n != events {
			b.Fatalf("%d events read, want %d", n, events)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/events, "ns/event")
	b.ReportMetric(float64(len(text))/events, "bytes/event")
}

func BenchmarkCacheEvents1(b *testing.B) { benchmarkCacheEvents(b, 1) }
func BenchmarkCacheEvents8(b *testing.B) { benchmarkCacheEvents(b, 8) }
