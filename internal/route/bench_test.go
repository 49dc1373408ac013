package route

import (
	"runtime"
	"testing"
	"time"

	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
	"skylarklead/internal/rendezvous"
)

// rootQuery is a request for one of many prefixes, in three levels.
func rootQuery(i int) *Query {
	q := query(0)
	q.Levels = []prefix.Level{
		{Hash: prefix.Hash(1 + i%8), Tokens: 2000},
		{Hash: prefix.Hash(100 + i%100), Tokens: 4000},
		{Hash: prefix.Hash(10000 + i), Tokens: 4400},
	}
	q.PromptTokens = 4500
	return q
}

// newFilledRouter returns a Router with at least roots levels, resident at the endpoints.
func newFilledRouter(roots int, endpoints []Endpoint) *Router {
	r, rng := NewRouter(Params{TransferTokensPerSecond: 200000}), newRand()
	for i := 0; r.Table().Len() < roots; i++ {
		q := rootQuery(i)
		now := time.Duration(i) * time.Millisecond
		got := r.Decide(now, rng, q, endpoints)
		r.RequestFinished(now, Outcome{
			Endpoint: got.Executor, Epoch: got.Epoch, Organisation: q.Organisation,
			Levels: q.Levels, CachedTokens: got.PredictedCached, PromptTokens: q.PromptTokens, Ran: true,
		})
	}
	return r
}

func benchmarkDecide(b *testing.B, fleet, roots int) {
	endpoints := group(fleet)
	r, rng := newFilledRouter(roots, endpoints), newRand()
	queries := make([]*Query, roots)
	for i := range queries {
		queries[i] = rootQuery(i)
	}
	now := 10 * time.Second
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += time.Millisecond
		r.Decide(now, rng, queries[i%len(queries)], endpoints)
	}
}

func BenchmarkDecide8(b *testing.B)   { benchmarkDecide(b, 8, 1000) }
func BenchmarkDecide32(b *testing.B)  { benchmarkDecide(b, 32, 1000) }
func BenchmarkDecide128(b *testing.B) { benchmarkDecide(b, 128, 1000) }

func BenchmarkOwner600(b *testing.B) {
	list := endpointIDs(group(600))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		rendezvous.First(uint64(i), list)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkTableMemory(b *testing.B) {
	const levels = 10000
	endpoints := group(32)
	var bytes uint64
	for b.Loop() {
		before := heapBytes()
		r := newFilledRouter(levels, endpoints)
		bytes = heapBytes() - before
		runtime.KeepAlive(r)
	}
	b.ReportMetric(float64(bytes)/levels, "bytes/level")
}

func BenchmarkFullAdvertisement(b *testing.B) {
	endpoints := group(32)
	r := newFilledRouter(1000, endpoints)
	var residents []protocol.Resident
	for i := range 100 {
		residents = append(residents, protocol.Resident{Hash: prefix.Hash(100 + i), Tokens: 4000})
	}
	a := Advertisement{Endpoint: endpoints[3].ID, Epoch: endpoints[3].Epoch, Residents: residents, Full: true}
	b.ReportAllocs()
	for b.Loop() {
		r.ApplyAdvertisement(time.Minute, a)
	}
}
