package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"skylarklead/test/kit"
)

// prose returns n bytes of text that compress about as well as prose.
func prose(r *rand.Rand, n int) string {
	var b strings.Builder
	for b.Len() < n {
		fmt.Fprintf(&b, "%x ", r.IntN(4096))
	}
	return b.String()[:n]
}

// organisationLog returns the log of n organisations, each with instructions of
// length bytes.
func organisationLog(tb testing.TB, n, length int) []LogEntry {
	tb.Helper()
	r := rand.New(rand.NewPCG(1, 2))
	entries := make([]LogEntry, n)
	for i := range n {
		digest := sha256.Sum256(fmt.Append(nil, i))
		data := fmt.Appendf(nil, `{"schema":2,"kind":"organisation","key":"org-%05d","base":0,"operator":"ada","nonce":"%016x",`+
			`"body":{"key_digests":[%q],"models":[{"name":"ledger-7b","versions":["v1"]}],"services":["portal"],"instructions":[%q],"weight":1}}`,
			i, i, hex.EncodeToString(digest[:]), prose(r, length))
		entries[i] = LogEntry{Offset: uint64(i + 1), Data: data}
	}
	return entries
}

func mustParse(tb testing.TB, records [][]byte) []Record {
	tb.Helper()
	all := make([]Record, len(records))
	for i, data := range records {
		r := kit.Must(ParseRecord(data, "part"))(tb)
		all[i] = r
	}
	return all
}

// The parts of two writers are interleaved on the log, and one writer stopped before
// its last part.
func TestAssembler(t *testing.T) {
	s, _ := NewState().ApplyAll(organisationLog(t, 10, 400))
	records := kit.Must(snapshotRecords(s, "first", 500))(t)
	parts := kit.Must(snapshotRecords(s, "second", 500))(t)
	first, second := mustParse(t, records), mustParse(t, parts)
	if len(first) < 3 {
		t.Fatalf("only %d parts", len(first))
	}
	rapid.Check(t, func(t *rapid.T) {
		var log []Record
		cut := rapid.IntRange(0, len(first)-1).Draw(t, "cut")
		log = append(log, first[:cut]...)
		log = append(log, second...)
		log = append(log, second[0]) // a duplicate append
		log = rapid.Permutation(log).Draw(t, "log")
		var a Assembler
		found := 0
		for _, r := range log {
			got := kit.Must(a.Add(r))(t)
			if got == nil {
				continue
			}
			found++
			state := kit.Must(got.Decode())(t)
			if describe(t, state) != describe(t, s) {
				t.Fatal("the snapshot differs from its state")
			}
		}
		if found != 1 {
			t.Fatalf("%d snapshots found, want 1", found)
		}
	})
}

func TestDamagedState(t *testing.T) {
	s, _ := NewState().ApplyAll(organisationLog(t, 3, 10))
	data := mustEncode(t, s)
	for i := range data {
		damaged := bytes.Clone(data)
		damaged[i] ^= 0x10
		got, err := DecodeState(damaged)
		if err == nil && !bytes.Equal(mustEncode(t, got), data) {
			t.Fatalf("damage to byte %d changed the state undetected", i)
		}
		if err != nil && !errors.Is(err, ErrMalformedState) {
			t.Fatalf("byte %d: %v", i, err)
		}
	}
}

// Input from an authenticated but faulty peer never decreases the offset, nor leads
// to a state that can't be encoded and decoded again.
func FuzzMerge(f *testing.F) {
	own, _ := NewState().ApplyAll(organisationLog(f, 2, 10))
	peer, _ := own.Apply(3, []byte(`{"schema":1,"kind":"organisation","key":"org-00000","base":1,"delete":true}`))
	peer, _ = peer.Apply(4, []byte(`{"schema":9,"kind":"group","key":"g","base":0,"body":1}`))
	for _, after := range []uint64{0, 2} {
		body := kit.Must(encMode.Marshal(peer.contentsSince(after)))(f)
		f.Add(body, uint64(4), after)
	}
	f.Fuzz(func(t *testing.T, body []byte, offset, after uint64) {
		whole, err := encMode.Marshal(encodedState{Format: stateFormat, Offset: offset, After: after, Digest: digestOf(body), Contents: body})
		if err != nil {
			t.Skip("not CBOR")
		}
		data := kit.Must(compress(whole))(t)
		merged, err := own.Merge(data)
		if err != nil {
			return
		}
		if merged.Offset < own.Offset {
			t.Fatalf("offset went back to %d", merged.Offset)
		}
		kit.Must(DecodeState(mustEncode(t, merged)))(t)
	})
}

const benchmarkOrganisations = 11000

func BenchmarkApplyAll11000(b *testing.B) {
	entries := organisationLog(b, benchmarkOrganisations, 1000)
	b.ReportAllocs()
	for b.Loop() {
		NewState().ApplyAll(entries)
	}
}

func BenchmarkApplyOneAt11000(b *testing.B) {
	s, _ := NewState().ApplyAll(organisationLog(b, benchmarkOrganisations, 1000))
	data := []byte(`{"schema":2,"kind":"organisation","key":"org-00007","base":8,"body":{"weight":2}}`)
	b.ReportAllocs()
	for b.Loop() {
		if _, v := s.Apply(benchmarkOrganisations+1, data); !v.Accepted {
			b.Fatal(v)
		}
	}
}

func BenchmarkEncode11000(b *testing.B) {
	s, _ := NewState().ApplyAll(organisationLog(b, benchmarkOrganisations, 1000))
	b.ReportAllocs()
	for b.Loop() {
		b.ReportMetric(float64(len(mustEncode(b, s))), "encoded-bytes")
	}
}

func BenchmarkDecode11000(b *testing.B) {
	s, _ := NewState().ApplyAll(organisationLog(b, benchmarkOrganisations, 1000))
	data := mustEncode(b, s)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeState(data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkChangeAt11000(b *testing.B) {
	s, _ := NewState().ApplyAll(organisationLog(b, benchmarkOrganisations, 1000))
	for b.Loop() {
		data, err := EncodeSince(s, s.Offset-1)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "encoded-bytes")
	}
}

// liveHeapBytes returns the size of the live heap after a collection.
func liveHeapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkMemory11000(b *testing.B) {
	data := mustEncode(b, func() *State {
		s, _ := NewState().ApplyAll(organisationLog(b, benchmarkOrganisations, 1000))
		return s
	}())
	for b.Loop() {
		before := liveHeapBytes()
		s, err := DecodeState(data)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(liveHeapBytes()-before), "state-bytes")
		runtime.KeepAlive(s)
	}
}
