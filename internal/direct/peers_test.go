package direct

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"skylarklead/internal/route"
	"skylarklead/internal/settings"
)

// Symptom: an entry hears nothing of a peer, and both send to the same replicas.
// Sequence: a fleet of many replicas is under load; a word with all of them, and as many
// placements as it may have, is longer than the reader's buffer.
// Cause: bounds of the parts that don't add up to the whole.
func TestTheLongestWordFitsADatagram(t *testing.T) {
	w := &word{From: strings.Repeat("x", 24), Epoch: math.MaxUint64, Seq: math.MaxUint32, Served: math.MaxUint32}
	for range maxWordLoads - maxWordPlacements*placementLoads {
		w.Loads = append(w.Loads, wordLoad{Replica: math.MaxUint64, Reading: math.MaxUint32, Running: 200, Taken: math.MaxUint16})
	}
	levels := make([]uint64, maxWordLevels)
	for i := range levels {
		levels[i] = math.MaxUint64
	}
	for range maxWordPlacements {
		w.Placements = append(w.Placements, wordPlacement{Levels: levels, Replica: math.MaxUint64, Read: true})
	}
	checkLength(t, w)
	for range maxWordPlacements * placementLoads {
		w.Loads = append(w.Loads, w.Loads[0])
	}
	w.Placements = nil
	checkLength(t, w)
}

// Guards against notices of replicas that don't fit a datagram together.
func TestTheLongestNoticesFitADatagram(t *testing.T) {
	w := &word{From: strings.Repeat("x", 24), Epoch: math.MaxUint64}
	for range maxMessageNotices {
		w.Notices = append(w.Notices, noticeMessage{Replica: strings.Repeat("r", 50), Rate: math.MaxFloat64})
	}
	checkLength(t, w)
}

func checkLength(t *testing.T, w *word) {
	t.Helper()
	data, err := cbor.Marshal(w)
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > maxWord {
		t.Errorf("%d bytes; the reader takes %d", len(data), maxWord)
	}
}

// Guards against words that leave out replicas at work, as these don't all fit.
func TestAWordTellsOfTheReplicasAtWork(t *testing.T) {
	const (
		replicas = 160
		atWork   = 10
	)
	toldTaken := make(map[uint64]uint16)
	loads := make(map[uint64]route.Load)
	for id := range uint64(replicas) {
		loads[id] = route.Load{Taken: uint16(id + 1)}
		if id < atWork {
			loads[id] = route.Load{Running: 1, Reading: 4000, Taken: uint16(id + 1)}
		}
	}
	told := map[uint64]bool{}
	for words := 0; words*maxWordLoads < replicas+2*maxWordLoads; words++ {
		working := 0
		for _, l := range telling(loads, toldTaken, maxWordLoads) {
			told[l.Replica] = true
			if l.Running > 0 {
				working++
			}
		}
		if working != atWork {
			t.Fatalf("word %d tells of %d replicas at work of %d", words, working, atWork)
		}
	}
	if len(told) != replicas {
		t.Errorf("%d of %d replicas' counts were told", len(told), replicas)
	}
	if again := telling(loads, toldTaken, maxWordLoads); len(again) != atWork {
		t.Errorf("a word has %d loads though nothing but %d has changed", len(again), atWork)
	}
}

// Guards against too large a share of the retry budget before the list of entries was read.
func TestPeersHeardOfAreNotAllThereAre(t *testing.T) {
	s := &settings.Settings{ID: "entry-1", Direct: &settings.Direct{Memory: 16, Peers: "127.0.0.1:0"}}
	e := newEntry(s, quietTelemetry(t), Platform{})
	p, err := newPeers(e)
	if err != nil {
		t.Fatal(err)
	}
	defer p.conn.Close()
	e.peers = p
	for i := range 2 {
		p.heardOf(fmt.Sprint("peer-", i), somePeer)
	}
	if n := e.state.entryCount(); n < assumedEntries {
		t.Errorf("the budget is shared among %d entries before the list of them was read", n)
	}
	close(p.read)
	p.counted()
	if n := e.state.entryCount(); n != 3 {
		t.Errorf("%d entries are counted once the list was read; there are 3", n)
	}
}
