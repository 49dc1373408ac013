package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"skylarklead/test/kit"
)

func BenchmarkTableApply(b *testing.B) {
	t := NewTable()
	data := kit.Must(Encode(&Record{Kind: KindRenew, Name: OrderName("endpoint-007"), Holder: "endpoint-007", Epoch: 1 << 63, Fence: 9, DurationMs: 10_000, Seq: 1}))(b)
	var offset uint64
	b.ReportAllocs()
	for b.Loop() {
		offset++
		t.Apply(offset, data, 0)
	}
	b.ReportMetric(float64(len(data)), "log-B/record")
}

func BenchmarkCheck(b *testing.B) {
	l := NewLeases("endpoint-0", 1, DefaultParams, rand.New(rand.NewPCG(1, 1)))
	l.CaughtUp(0)
	for _, a := range l.Acquire(OrderName("endpoint-0"), 0) {
		l.ApplyRecord(1, a.(Append).Data, 0)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := l.Check(OrderName("endpoint-0"), time.Second); !ok {
			b.Fatal("the lease is not held")
		}
	}
}

func FuzzDecode(f *testing.F) {
	seed := kit.Must(Encode(&Record{Kind: KindClaim, Name: PermitName(1), Holder: "endpoint-0", Epoch: 1, DurationMs: 1000, Seq: 1}))(f)
	f.Add(seed)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		l := NewLeases("endpoint-0", 1, DefaultParams, rand.New(rand.NewPCG(1, 1)))
		l.Acquire(PermitName(1), 0)
		l.ApplyRecord(1, data, 0)
		l.CaughtUp(time.Hour)
		if l.Table().Position() != 1 {
			t.Error("the reader did not move past the record")
		}
	})
}
