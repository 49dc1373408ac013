package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"skylarklead/internal/protocol"
	"skylarklead/internal/wire"
)

// heartbeatView returns a group's view of n members, each with one heartbeat received.
func heartbeatView(n int) *View {
	p := DefaultParams
	p.Heartbeats = true
	v := NewView("self", p, rand.New(rand.NewPCG(1, 1)))
	instances := make([]Instance, n)
	for i := range instances {
		id := fmt.Sprintf("endpoint-%03d", i)
		instances[i] = Instance{ID: id, Address: fmt.Sprintf("127.0.0.1:%d", 20000+i), FailureDomain: "hobart-a", Group: "ledger-llm"}
	}
	v.InstancesListed(instances, 0)
	for i := range instances {
		v.HeartbeatReceived(&protocol.Heartbeat{ID: instances[i].ID, Epoch: 1, Seq: 1}, 0)
	}
	return v
}

func BenchmarkTick32(b *testing.B) {
	v := heartbeatView(32)
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += 50 * time.Millisecond
		v.Tick(now)
	}
}

func BenchmarkAppendUsable600(b *testing.B) {
	v := heartbeatView(600)
	dst := make([]Member, 0, 600)
	b.ReportAllocs()
	for b.Loop() {
		dst = v.AppendUsable(dst[:0], "ledger-llm", time.Second)
	}
}

// BenchmarkHeartbeatBytes reports the size of a heartbeat's frame and of one
// crash count in it.
func BenchmarkHeartbeatBytes(b *testing.B) {
	hb := &protocol.Heartbeat{ID: "endpoint-007", Epoch: 1 << 63, Seq: 100_000, ConfigOffset: 4000, Load: protocol.Load{
		Running: 22, Queued: 3, QueuedTokens: 9000, DecodeTokens: 9000, CacheUsed: 300_000, CacheTotal: 400_000,
		EngineUp: true, Incarnation: "0123456789abcdef", Model: "ledger-large", Version: "v7",
	}}
	var plain, full []byte
	for b.Loop() {
		var err error
		if plain, err = wire.Encode(0, hb); err != nil {
			b.Fatal(err)
		}
	}
	hb.CrashCounts = []protocol.CrashCount{{Fingerprint: 1 << 63, Count: 1, AgeMs: 1000}}
	full, err := wire.Encode(0, hb)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(plain)), "B/heartbeat")
	b.ReportMetric(float64(len(full)-len(plain)), "B/strike")
}
