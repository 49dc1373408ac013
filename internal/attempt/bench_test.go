package attempt

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"skylarklead/internal/protocol"
)

func benchHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func benchAttempt(i int) (a protocol.AttemptID) {
	binary.LittleEndian.PutUint64(a[:], uint64(i))
	return a
}

func benchKey(i int) (k KeyDigest) {
	binary.LittleEndian.PutUint64(k[:], uint64(i))
	return k
}

func BenchmarkRegistryMemory(b *testing.B) {
	const attempts = 10000
	var bytes uint64
	for b.Loop() {
		before := benchHeap()
		r := NewRegistry(time.Hour)
		for i := range attempts {
			r.Arrive(benchAttempt(i), 0)
			r.End(benchAttempt(i), protocol.Done, 0)
		}
		bytes = benchHeap() - before
		runtime.KeepAlive(r)
	}
	b.ReportMetric(float64(bytes)/attempts, "bytes/attempt")
}

// benchRecords returns the encoded claim records of one process, with batch keys each.
// Each batch settles the claims of the one before.
func benchRecords(b *testing.B, keys, batch int) [][]byte {
	var records [][]byte
	var settles []Settlement
	for i := 0; i < keys; i += batch {
		record := &ClaimBatch{Endpoint: "client-portal-2", Epoch: 7, Settlements: settles}
		settles = nil
		for k := i; k < i+batch; k++ {
			record.Claims = append(record.Claims, Claim{Key: benchKey(k), Fingerprint: uint64(k) << 40, AgeMs: 40})
			settles = append(settles, Settlement{Key: benchKey(k), Claim: uint64(len(records) + 1), Outcome: protocol.Done})
		}
		data, err := EncodeClaims(record)
		if err != nil {
			b.Fatal(err)
		}
		records = append(records, data)
	}
	return records
}

func benchmarkClaims(b *testing.B, batch int) {
	const keys = 4096
	records := benchRecords(b, keys, batch)
	var heap uint64
	size := 0
	for _, r := range records {
		size += len(r)
	}
	b.ReportAllocs()
	for b.Loop() {
		before := benchHeap()
		o := NewOnce("client-portal-1", 3, DefaultOnceParams)
		for i, r := range records {
			o.ApplyRecord(uint64(i+1), r, 0)
		}
		heap = benchHeap() - before
		runtime.KeepAlive(o)
	}
	b.ReportMetric(float64(heap)/keys, "heap-bytes/key")
	b.ReportMetric(float64(size)/keys, "log-bytes/key")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/keys, "ns/key")
}

func BenchmarkClaims1(b *testing.B)  { benchmarkClaims(b, 1) }
func BenchmarkClaims8(b *testing.B)  { benchmarkClaims(b, 8) }
func BenchmarkClaims64(b *testing.B) { benchmarkClaims(b, 64) }
