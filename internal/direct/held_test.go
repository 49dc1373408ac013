package direct

import (
	"bytes"
	"errors"
	"net/http/httptest"
	"testing"

	"pgregory.net/rapid"
)

// Guards against answers that are held back and take more memory than is reserved for them.
func TestHeldAnswersTakeWhatIsReserved(t *testing.T) {
	const answers, size = 60, 140 << 10
	memory := newBodyMemory(answers*maxHeldAnswer, func() {})
	event := make([]byte, 120)
	reserved, taken := 0, 0
	for range answers {
		h := newHeldAnswer(httptest.NewRecorder(), memory)
		for h.length() < size {
			if _, err := h.Write(event); err != nil {
				t.Fatal(err)
			}
		}
		reserved += h.reserved
		for _, piece := range h.pieces {
			taken += cap(piece)
		}
	}
	if taken > reserved {
		t.Errorf("%d KB taken, %d KB reserved", taken>>10, reserved>>10)
	}
}

// Guards against an answer held back in pieces that isn't what was written.
func TestHeldAnswerIsWhatWasWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHeldAnswer(httptest.NewRecorder(), newBodyMemory(maxHeldAnswer, func() {}))
		var want []byte
		for _, size := range rapid.SliceOf(rapid.IntRange(0, 3*heldPiece)).Draw(t, "sizes") {
			part := bytes.Repeat([]byte{byte(len(want)%251 + 1)}, size)
			n, err := h.Write(part)
			if len(want)+size > maxHeldAnswer {
				if n != 0 || !errors.Is(err, errHeldTooLong) {
					t.Fatalf("%d bytes after %d: %d, %v", size, len(want), n, err)
				}
				continue
			}
			if n != size || err != nil {
				t.Fatalf("%d bytes after %d: %d, %v", size, len(want), n, err)
			}
			want = append(want, part...)
		}
		if got := bytes.Join(h.pieces, nil); !bytes.Equal(got, want) {
			t.Fatalf("%d bytes, want %d", len(got), len(want))
		}
	})
}
