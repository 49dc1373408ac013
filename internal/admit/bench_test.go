package admit

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"
)

// benchmarkArrive has 16 items running and the given number waiting, of 16
// organisations. In each step one item ends and one arrives.
func benchmarkArrive(b *testing.B, waiting int) {
	c := NewCore(Params{MaxQueue: 2 * (waiting + 1), MaxWait: time.Hour})
	next := 0
	arrive := func(now time.Duration) []Action {
		var id ID
		binary.LittleEndian.PutUint64(id[:], uint64(next))
		item := Item{ID: id, Organisation: fmt.Sprintf("organisation-%d", next%16), UncachedTokens: 100, MaxTokens: 100}
		next++
		return c.Arrive(now, item)
	}
	var running []ID
	take := func(actions []Action) {
		for _, a := range actions {
			if s, ok := a.(Start); ok {
				running = append(running, s.ID)
			}
		}
	}
	for range DefaultMaxRunning + waiting {
		take(arrive(0))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := time.Duration(i) * time.Millisecond
		if len(running) > 0 {
			id := running[0]
			running = running[1:]
			take(c.Finish(now, id, Actual{UncachedTokens: 100, OutputTokens: 100, Ran: true}))
		}
		take(arrive(now))
	}
}

func BenchmarkArriveFinish(b *testing.B)          { benchmarkArrive(b, 0) }
func BenchmarkArriveFinishWaiting64(b *testing.B) { benchmarkArrive(b, 64) }
