package admit

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// backlogged returns a Core with a full engine and a queue of many organisations.
func backlogged(organisations, waiting int) *Core {
	c := NewCore(Params{MaxRunning: 32, SmallReserve: 0.25, MaxQueue: waiting, MaxWait: 24 * time.Hour})
	for n := range waiting + 32 {
		c.Arrive(0, item(n, fmt.Sprint("o", n%organisations)))
	}
	return c
}

// BenchmarkTurn measures one item's arrival, start and finish.
func BenchmarkTurn(b *testing.B) {
	for _, size := range []struct{ organisations, waiting int }{{8, 200}, {100, 1000}, {500, 1000}} {
		b.Run(fmt.Sprintf("%d_organisations_%d_waiting", size.organisations, size.waiting), func(b *testing.B) {
			c := backlogged(size.organisations, size.waiting)
			var running []ID
			for id, e := range c.entries {
				if e.running {
					running = append(running, id)
				}
			}
			names := make([]string, size.organisations)
			for i := range names {
				names[i] = fmt.Sprint("o", i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := time.Duration(i) * time.Millisecond
				id := running[0]
				running = running[1:]
				running = append(running, started(c.Finish(now, id, Actual{UncachedTokens: 1000, OutputTokens: 50, Ran: true}))...)
				next := item(0, names[i%len(names)])
				next.ID = ID{byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24), 1}
				running = append(running, started(c.Arrive(now, next))...)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkQueueMemory(b *testing.B) {
	const organisations, waiting = 100, 1000
	var bytes uint64
	for b.Loop() {
		before := heapBytes()
		c := backlogged(organisations, waiting)
		bytes = heapBytes() - before
		runtime.KeepAlive(c)
	}
	b.ReportMetric(float64(bytes)/waiting, "bytes/item")
}
