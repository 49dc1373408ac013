package direct

import (
	"math"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Symptom: an entry hears nothing of a peer, and both send to the same replicas.
// Sequence: a fleet of many replicas is under load; a word with all of them, and as many
// placements as it may have, is longer than the reader's buffer.
// Cause: bounds of the parts that don't add up to the whole.
func TestTheLongestWordFitsADatagram(t *testing.T) {
	w := &word{From: strings.Repeat("x", 24), Epoch: math.MaxUint64, Seq: math.MaxUint32, Served: math.MaxUint32}
	for range maxWordLoads {
		w.Loads = append(w.Loads, wordLoad{Replica: math.MaxUint64, Reading: math.MaxUint32, Running: 200, Taken: math.MaxUint16})
	}
	levels := make([]uint64, maxWordLevels)
	for i := range levels {
		levels[i] = math.MaxUint64
	}
	for range maxWordPlacements {
		w.Placements = append(w.Placements, wordPlacement{Levels: levels, Replica: math.MaxUint64, Read: true})
	}
	data, err := cbor.Marshal(w)
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > maxWord {
		t.Errorf("%d bytes; the reader takes %d", len(data), maxWord)
	}
}
