package cachemap

import (
	"runtime"
	"testing"

	"skylarklead/internal/prefix"
)

// blockHash distributes hashes as a chain of block hashes does.
func blockHash(i int) prefix.Hash { return prefix.Hash(uint64(i+1) * 0x9E3779B97F4A7C15) }

func newFilledView(blocks int) *View {
	v := New(Params{})
	v.Connected(1)
	for i := range blocks {
		v.Apply(0, stored(uint64(i+1), blockHash(i)))
	}
	return v
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkApplyEvent(b *testing.B) {
	v := newFilledView(23000)
	seq := v.NextSeq()
	hashes := make([]prefix.Hash, 1)
	kinds := [...]Kind{Removed, Stored}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		hashes[0] = blockHash(i / 2 % 23000)
		v.Apply(0, Event{Seq: seq, Incarnation: "i1", Weights: "w1", Kind: kinds[i%2], Hashes: hashes})
		seq++
	}
}

func BenchmarkResident(b *testing.B) {
	v := newFilledView(23000)
	chain := make([]prefix.Hash, 256)
	for i := range chain {
		chain[i] = blockHash(i)
	}
	b.ReportAllocs()
	for b.Loop() {
		v.Resident(chain)
	}
}

func BenchmarkPictureMemory(b *testing.B) {
	const blocks = 23000
	var bytes uint64
	for b.Loop() {
		before := heapBytes()
		v := newFilledView(blocks)
		bytes = heapBytes() - before
		runtime.KeepAlive(v)
	}
	b.ReportMetric(float64(bytes)/blocks, "bytes/block")
}
