package wire

import (
	"fmt"
	"testing"

	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
)

// benchMessages returns messages with names of typical length. A number in a message's
// name is its count of tokens, candidates or changed residents, or its bytes of text.
func benchMessages() map[string]protocol.Message {
	const request, owner, address = "req-0123456789abcdef", "ledger-llm-17", "10.20.3.117:7400"
	messages := map[string]protocol.Message{
		"ask": &protocol.Ask{
			Request: request, Organisation: "derwent-foodbank", Group: "ledger-llm", Model: "ledger-llm", Version: "v1",
			Levels: benchLevels(4), PromptTokens: 3000, MaxTokens: 256, Fingerprint: 1 << 63, DeadlineMs: 60000, FailureDomain: "huonville-c",
		},
		"chunk-1-token": &protocol.Chunk{Seq: 300, Data: []byte("word")},
		"credit":        &protocol.Credit{Seq: 300},
		"end":           &protocol.End{Seq: 300, Outcome: protocol.Done, PromptTokens: 3000, CachedTokens: 2900, CompletionTokens: 300, FinishReason: "stop"},
		"run-16KB": &protocol.Run{
			Request: request, Organisation: "derwent-foodbank", Group: "ledger-llm", Model: "ledger-llm", Version: "v1",
			Messages: []prefix.Message{{Role: "user", Content: string(make([]byte, 16<<10))}}, Levels: benchLevels(4),
			Instructions: 1 << 20, PromptTokens: 4000, MaxTokens: 256, Fingerprint: 1 << 63, DeadlineMs: 60000, Window: 32, Owner: owner, ConfigOffset: 1 << 20,
		},
	}
	for _, n := range []int{0, 2, 8} {
		d := &protocol.Decision{Request: request, Owner: owner, Executor: protocol.Target{Endpoint: owner, Address: address, Epoch: 1 << 63}, Reason: "holder", PredictedCached: 2900}
		for i := range n {
			d.Candidates = append(d.Candidates, protocol.Candidate{Endpoint: fmt.Sprintf("ledger-llm-%d", i), Score: 12.3456789, CachedTokens: 2900, WaitMs: 12.3456789})
		}
		messages[fmt.Sprintf("decision-%d", n)] = d
	}
	for _, n := range []int{0, 8, 64} {
		hb := &protocol.Heartbeat{ID: owner, Epoch: 1 << 63, Seq: 1 << 20, ConfigOffset: 1 << 20, Load: protocol.Load{
			Running: 22, Queued: 3, QueuedTokens: 9000, DecodeTokens: 9000, CacheUsed: 360000, CacheTotal: 368000,
			EngineUp: true, Incarnation: "0123456789abcdef", Model: "ledger-llm", Version: "v1", CacheViewAgeMs: 250, Organisations: 3,
		}}
		for i := range n {
			hb.Residents = append(hb.Residents, protocol.Resident{Hash: prefix.Hash(uint64(i+1) * 0x9E3779B97F4A7C15), Tokens: 2400})
		}
		messages[fmt.Sprintf("heartbeat-%d", n)] = hb
	}
	return messages
}

func benchLevels(n int) (levels []prefix.Level) {
	for i := range n {
		levels = append(levels, prefix.Level{Hash: prefix.Hash(uint64(i+1) * 0x9E3779B97F4A7C15), Tokens: 800 * (i + 1)})
	}
	return levels
}

func BenchmarkEncodeDecode(b *testing.B) {
	for name, m := range benchMessages() {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			bytes := 0
			for b.Loop() {
				frame, err := Encode(1, m)
				if err != nil {
					b.Fatal(err)
				}
				if _, _, err := Decode(frame); err != nil {
					b.Fatal(err)
				}
				bytes = len(frame)
			}
			b.ReportMetric(float64(bytes), "frame-bytes")
		})
	}
}
