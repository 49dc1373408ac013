package member

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"skylarklead/internal/protocol"
)

func benchView(members int) (*View, []string) {
	v := NewView("self", DefaultParams, rand.New(rand.NewPCG(1, 1)))
	var listed []Instance
	var ids []string
	for i := range members {
		id := fmt.Sprintf("ledger-llm-%d", i)
		listed = append(listed, Instance{ID: id, Address: "10.20.3.117:7400", FailureDomain: "huonville-c", Group: "ledger-llm"})
		ids = append(ids, id)
	}
	v.InstancesListed(listed, 0)
	return v, ids
}

func BenchmarkHeard32(b *testing.B) {
	v, ids := benchView(32)
	hb := &protocol.Heartbeat{Epoch: 7}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		hb.ID, hb.Seq = ids[i%len(ids)], uint64(i+1)
		v.HeartbeatReceived(hb, time.Duration(i))
	}
}

func BenchmarkListed600(b *testing.B) {
	v, ids := benchView(600)
	var listed []Instance
	for _, id := range ids {
		listed = append(listed, Instance{ID: id, Group: "ledger-llm"})
	}
	b.ReportAllocs()
	for b.Loop() {
		v.InstancesListed(listed, 0)
	}
}

func BenchmarkViewMemory600(b *testing.B) {
	const members = 600
	heap := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	var bytes uint64
	for b.Loop() {
		before := heap()
		v, _ := benchView(members)
		bytes = heap() - before
		runtime.KeepAlive(v)
	}
	b.ReportMetric(float64(bytes)/members, "bytes/member")
}
