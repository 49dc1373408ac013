package cachemap

import (
	"runtime"
	"testing"

	"skylarklead/internal/prefix"
)

// blockHash spreads hashes as the chain does.
func blockHash(i int) prefix.Hash { return prefix.Hash(uint64(i+1) * 0x9E3779B97F4A7C15) }

func filled(blocks int) *View {
	p := New(Params{})
	p.Connected(1)
	for i := range blocks {
		p.Apply(0, stored(uint64(i+1), blockHash(i)))
	}
	return p
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkApplyEvent(b *testing.B) {
	p := filled(23000)
	seq := p.NextSeq()
	hashes := make([]prefix.Hash, 1)
	kinds := [...]Kind{Removed, Stored}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		hashes[0] = blockHash(i / 2 % 23000)
		p.Apply(0, Event{Seq: seq, Incarnation: "i1", Weights: "w1", Kind: kinds[i%2], Hashes: hashes})
		seq++
	}
}

func BenchmarkResident(b *testing.B) {
	p := filled(23000)
	chain := make([]prefix.Hash, 256)
	for i := range chain {
		chain[i] = blockHash(i)
	}
	b.ReportAllocs()
	for b.Loop() {
		p.Resident(chain)
	}
}

func BenchmarkPictureMemory(b *testing.B) {
	const blocks = 23000
	var bytes uint64
	for b.Loop() {
		before := heapBytes()
		p := filled(blocks)
		bytes = heapBytes() - before
		runtime.KeepAlive(p)
	}
	b.ReportMetric(float64(bytes)/blocks, "bytes/block")
}
