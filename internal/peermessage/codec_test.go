package peermessage

import (
	"bytes"
	"encoding/hex"
	"errors"
	"math"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"skylarklead/internal/attempt"
	"skylarklead/internal/rollout"
	"skylarklead/test/kit"
)

var sender = Sender{ID: "entry-1", Epoch: 7}

// examples returns a message of each kind, by the names in testdata/datagrams.tsv.
func examples() map[string]Message {
	offset := uint64(9)
	return map[string]Message{
		"loads": &Loads{
			Seq: 3, Loads: []Load{{Replica: 1, PrefillTokens: 9000, Running: 2, AddedTokens: 5}, {Replica: 2, Running: 1}},
			MemoryTokens: []uint16{0, 11}, Placements: []Placement{{Levels: []uint64{7, 8}, Replica: 1, Prefilled: true, Saved: 4}},
			StoreReachable: 2001, Drain: &Drain{Open: 100, Left: 4800},
		},
		"digest part":     &Loads{Seq: 4, Loads: []Load{{Replica: 1, Running: 2}}, DigestPart: "a\x002\x001", Forward: true},
		"end":             End{},
		"digest_ack":      DigestAck("a\x001"),
		"rollout_records": RolloutRecords{rollout.Record{}},
		"crashes": Crashes{
			{Fingerprint: 1, Replica: "r-1", Parts: []uint64{2, 3}, RanMs: 40, Together: true, Reporter: 6},
			{Fingerprint: 1, Replica: "r-1", GivenUp: true},
		},
		"sound":        Sound{{Key: 5, AgeMs: 70}},
		"grant":        &Grant{Step: GrantReturned, Key: 5, Number: 8, SettleMs: 1000},
		"reports":      Reports{{Replica: "r-1", Weights: map[string]uint64{"m": 2}, Draining: true, Busy: true, Orders: 3}},
		"notices":      Notices{{Replica: "r-1", Rate: 1.5}, {Replica: "r-2", Lifted: true}, {Replica: "r-3", Leaving: true}},
		"topics_query": &TopicsQuery{Seq: 1, Next: []uint64{0, 1, 2, 3}},
		"topics_response": &TopicsResponse{Seq: 1, Topics: []TopicState{{
			TopicID: 1, Next: 7, CallAgeMs: 20, ResponseAgeMs: 10, Reader: "entry-2", From: 5, Snapshot: true,
			Records: []TopicRecord{{Key: "a", Value: []byte("v")}, {Key: "b", Deleted: true, Offset: &offset}},
		}}},
		"store_hint": StoreHint{},
		"streams": &Streams{
			Begun: []BegunStream{{Stream: 1, Software: 2}}, Asked: []uint64{3}, Unknown: []uint64{4},
			Written: []WrittenUse{{Software: 5, Model: 6}}, Era: 7, AskedUses: []WrittenUse{{Software: 8, Model: 9}},
		},
		"quota": &Quota{Step: QuotaAnswer, Seq: 1, Organisation: "derwent", Units: 500, Left: 20.5},
	}
}

// Guards against builds that misread each other's messages amid a rolling restart: the datagrams in testdata
// were written by the build before this package.
func TestOlderAndNewerBuildsReadEachOther(t *testing.T) {
	recorded := string(kit.Must(os.ReadFile("testdata/datagrams.tsv"))(t))
	seen := make(map[Kind]bool)
	for line := range strings.Lines(recorded) {
		name, text, _ := strings.Cut(strings.TrimSpace(line), "\t")
		data, want := kit.Must(hex.DecodeString(text))(t), examples()[name]
		from, got, err := Decode(data)
		if err != nil || from != sender || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: decoded as %+v of %+v, %v; want %+v", name, got, from, err, want)
			continue
		}
		if again := Encode(sender, want); !bytes.Equal(again, data) {
			t.Errorf("%s: encoded as %x, before as %x", name, again, data)
		}
		seen[got.Kind()] = true
	}
	for _, kind := range Kinds() {
		if !seen[kind] {
			t.Errorf("no datagram of kind %v was recorded", kind)
		}
	}
}

// Guards against a part of a datagram that is decoded as a shorter message.
func TestPartsOfDatagramsAreMalformed(t *testing.T) {
	for name, m := range examples() {
		data := Encode(sender, m)
		for n := range data {
			if _, got, err := Decode(data[:n]); !errors.Is(err, ErrMalformed) {
				t.Errorf("%s, %d of %d bytes: decoded as %+v, %v", name, n, len(data), got, err)
			}
		}
	}
}

// Guards against a message that hides another one.
func TestDatagramsWithSeveralMessagesAreMalformed(t *testing.T) {
	d := datagram{From: "entry-1", Epoch: 7}
	for _, m := range []Message{Reports{{Replica: "r"}}, Crashes{attempt.CrashReport{Replica: "r"}}} {
		m.put(&d)
	}
	if _, m, err := Decode(kit.Must(cbor.Marshal(&d))(t)); !errors.Is(err, ErrMalformed) {
		t.Errorf("decoded as %+v, %v", m, err)
	}
	if _, m, err := Decode(Encode(Sender{}, End{})); !errors.Is(err, ErrMalformed) {
		t.Errorf("without a sender: decoded as %+v, %v", m, err)
	}
}

// Guards against messages of newer builds that are taken for loads, or whose sender counts as silent.
func TestMessagesOfNewerBuildsHaveASender(t *testing.T) {
	newer := struct {
		From  string         `cbor:"1,keyasint"`
		Epoch uint64         `cbor:"2,keyasint"`
		Seq   uint64         `cbor:"3,keyasint"`
		New   map[int]string `cbor:"99,keyasint"`
	}{"entry-1", 7, 0, map[int]string{1: "new"}}
	from, m, err := Decode(kit.Must(cbor.Marshal(&newer))(t))
	if !errors.Is(err, ErrUnknownKind) || from != sender || m != nil {
		t.Errorf("decoded as %+v of %+v, %v", m, from, err)
	}
	newer.Seq = 1
	from, m, err = Decode(kit.Must(cbor.Marshal(&newer))(t))
	if loads, ok := m.(*Loads); err != nil || from != sender || !ok || loads.Seq != 1 {
		t.Errorf("loads with an unknown field: decoded as %+v of %+v, %v", m, from, err)
	}
}

// Guards against entries of older builds that drop the loads of a draining one, since they don't know that it says so.
func TestOlderEntriesReadTheLoadsOfADrainingOne(t *testing.T) {
	data := Encode(sender, &Loads{Seq: 3, Loads: []Load{{Replica: 1, Running: 2}}, Drain: &Drain{Open: 100, Left: 4800}})
	var older struct {
		From  string `cbor:"1,keyasint"`
		Seq   uint64 `cbor:"3,keyasint"`
		Loads []Load `cbor:"4,keyasint,omitempty"`
	}
	if err := decoder.Unmarshal(data, &older); err != nil || older.From != sender.ID || older.Seq != 3 || len(older.Loads) != 1 {
		t.Errorf("%+v, %v", older, err)
	}
}

// Guards against datagrams that panic, and against messages that change when they are sent on.
func FuzzDecode(f *testing.F) {
	for _, m := range examples() {
		f.Add(Encode(sender, m))
	}
	f.Add(Encode(sender, &Quota{Step: 200, Units: math.NaN()}))
	f.Fuzz(func(t *testing.T, data []byte) {
		from, m, err := Decode(data)
		if err != nil {
			if m != nil || errors.Is(err, ErrMalformed) == errors.Is(err, ErrUnknownKind) {
				t.Errorf("%+v with %v", m, err)
			}
			return
		}
		first := Encode(from, m)
		again, second, err := Decode(first)
		if err != nil || again != from || second.Kind() != m.Kind() {
			t.Fatalf("%+v: decoded again as %+v, %v", m, second, err)
		}
		if !bytes.Equal(Encode(again, second), first) {
			t.Errorf("%+v: encoded again as another datagram", m)
		}
	})
}

// Guards against a kind whose recipients and repetition are told nowhere.
func TestThePageNamesEachKind(t *testing.T) {
	page := string(kit.Must(os.ReadFile("../../docs/design/peer-messages.md"))(t))
	for _, kind := range Kinds() {
		if !strings.Contains(page, "| `"+kind.String()+"` |") {
			t.Errorf("docs/design/peer-messages.md has no row for %v", kind)
		}
	}
}
