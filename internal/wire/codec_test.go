package wire

import (
	"bytes"
	"errors"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
	"skylarklead/test/kit"
)

var (
	textGen   = rapid.StringN(0, 40, 200)
	levelsGen = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) prefix.Level {
		return prefix.Level{Hash: prefix.Hash(rapid.Uint64().Draw(t, "hash")), Tokens: rapid.IntRange(0, 1<<20).Draw(t, "tokens")}
	}), 1, 8)
	attemptGen = rapid.Custom(func(t *rapid.T) (a protocol.AttemptID) {
		copy(a[:], rapid.SliceOfN(rapid.Byte(), len(a), len(a)).Draw(t, "attempt"))
		return a
	})
)

// drawMessage returns a message of any kind. Those of the kinds with most fields have
// random values.
func drawMessage(t *rapid.T) protocol.Message {
	kind := protocol.Kind(rapid.IntRange(int(protocol.KindChallenge), int(protocol.KindLast)).Draw(t, "kind"))
	m := messageConstructors[kind]()
	switch m := m.(type) {
	case *protocol.Ask:
		m.Request, m.Organisation, m.Levels = textGen.Draw(t, "request"), textGen.Draw(t, "org"), levelsGen.Draw(t, "levels")
		m.Fingerprint, m.DeadlineMs = rapid.Uint64().Draw(t, "fingerprint"), rapid.Int64().Draw(t, "deadline")
		m.Exclude = rapid.SliceOfN(textGen, 1, 4).Draw(t, "exclude")
	case *protocol.Run:
		m.Attempt, m.Request, m.Partial = attemptGen.Draw(t, "attempt"), textGen.Draw(t, "request"), textGen.Draw(t, "partial")
		m.Messages = []prefix.Message{{Role: textGen.Draw(t, "role"), Content: textGen.Draw(t, "content")}}
		m.FirstSeq, m.Window = rapid.Uint64().Draw(t, "seq"), rapid.Uint32().Draw(t, "window")
	case *protocol.Chunk:
		m.Attempt, m.Seq = attemptGen.Draw(t, "attempt"), rapid.Uint64().Draw(t, "seq")
		m.Data = rapid.SliceOfN(rapid.Byte(), 1, 100).Draw(t, "data")
	case *protocol.End:
		m.Attempt, m.Seq, m.Outcome = attemptGen.Draw(t, "attempt"), rapid.Uint64().Draw(t, "seq"), protocol.Unknown
		m.Message, m.Redirect = textGen.Draw(t, "message"), &protocol.Target{Endpoint: textGen.Draw(t, "id")}
	case *protocol.Exported:
		m.Incarnation, m.Hashes = textGen.Draw(t, "incarnation"), []prefix.Hash{prefix.Hash(rapid.Uint64().Draw(t, "hash"))}
		m.Blob = rapid.SliceOfN(rapid.Byte(), 1, 100).Draw(t, "blob")
	}
	return m
}

func TestEveryMessageComesBackAsSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent, ref := drawMessage(t), rapid.Uint32().Draw(t, "ref")
		frame := kit.Must(Encode(ref, sent))(t)
		gotRef, got, err := Decode(frame)
		if err != nil {
			t.Fatal(err)
		}
		if gotRef != ref || !reflect.DeepEqual(got, sent) {
			t.Fatalf("sent %d %+v, got %d %+v", ref, sent, gotRef, got)
		}
	})
}

func TestKindsAreComplete(t *testing.T) {
	for kind := protocol.KindChallenge; kind <= protocol.KindLast; kind++ {
		if m := messageConstructors[kind](); m.Kind() != kind {
			t.Errorf("kind %d constructs %T of kind %d", kind, m, m.Kind())
		}
	}
}

// A frame that claims more elements than it has, nests deeply or has an unknown kind
// must be refused. Decoded without bounds, one such frame makes a daemon run out of
// memory or crash.
func TestMalformedFrames(t *testing.T) {
	deep := append(bytes.Repeat([]byte{0x81}, 1000), 0x00)
	for name, frame := range map[string][]byte{
		"empty":           {},
		"not an array":    {0xa0},
		"unknown kind":    {0x83, 0x18, 0xff, 0x00, 0xa0},
		"kind zero":       {0x83, 0x00, 0x00, 0xa0},
		"body of no map":  {0x83, 0x04, 0x00, 0x61, 'x'},
		"truncated":       {0x83, 0x04, 0x00},
		"trailing bytes":  {0x83, 0x04, 0x00, 0xa0, 0x00},
		"array too large": {0x83, 0x04, 0x00, 0xa1, 0x06, 0x9b, 0, 0, 0, 1, 0, 0, 0, 0},
		"nested":          append([]byte{0x83, 0x04, 0x00}, deep...),
		"indefinite":      {0x9f, 0x04, 0x00, 0xa0, 0xff},
		"doubled field":   {0x83, 0x04, 0x00, 0xa2, 0x01, 0x61, 'a', 0x01, 0x61, 'b'},
	} {
		if _, m, err := Decode(frame); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: got %T, %v", name, m, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	for kind := protocol.KindChallenge; kind <= protocol.KindLast; kind++ {
		frame := kit.Must(Encode(uint32(kind), messageConstructors[kind]()))(f)
		f.Add(frame)
	}
	full, _ := Encode(1, &protocol.Run{
		Request: "r", Messages: []prefix.Message{{Role: "user", Content: "c"}},
		Levels: []prefix.Level{{Hash: 1, Tokens: 16}}, Call: &protocol.Call{Method: "POST", Path: "/pay"},
	})
	f.Add(full)
	f.Fuzz(func(t *testing.T, frame []byte) {
		ref, m, err := Decode(frame)
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Fatalf("error doesn't wrap ErrMalformed: %v", err)
			}
			return
		}
		again, err := Encode(ref, m)
		if err != nil {
			t.Fatalf("decoded %T can't be encoded: %v", m, err)
		}
		if _, _, err := Decode(again); err != nil {
			t.Fatalf("own encoding of %T can't be decoded: %v", m, err)
		}
	})
}
