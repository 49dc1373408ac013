package entry

import (
	"bytes"
	"errors"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against an answer that never ends and has shorter ones fail, or takes more than all may.
func TestLongestAnswerIsDropped(t *testing.T) {
	m := newAnswerMemory(100)
	endless, short := &bufferedAnswer{memory: m}, &bufferedAnswer{memory: m}
	var err error
	for range 20 {
		if err = endless.append(make([]byte, 9)); err != nil {
			break
		}
		if err := short.append(make([]byte, 1)); err != nil {
			t.Fatalf("the short answer: %v", err)
		}
	}
	if !errors.Is(err, errAnswerTooLong) {
		t.Errorf("the endless answer: %v", err)
	}
	if _, err := endless.complete(); !errors.Is(err, errAnswerTooLong) {
		t.Errorf("a dropped answer is complete: %v", err)
	}
	// One that is growing drops a longer one that waits.
	waiting := &bufferedAnswer{memory: m}
	if err := waiting.append(make([]byte, 60)); err != nil {
		t.Fatal(err)
	}
	if err := short.append(make([]byte, 40)); err != nil {
		t.Errorf("the shorter of two: %v", err)
	}
	if err := waiting.append([]byte("x")); !errors.Is(err, errAnswerTooLong) {
		t.Errorf("the longer of two: %v", err)
	}
}

// Guards against an answer that is dropped while it is sent: its memory stays taken until it is discarded, and what
// has no room beside it is dropped.
func TestAnswerThatIsSentIsNotDropped(t *testing.T) {
	m := newAnswerMemory(100)
	sent, growing := &bufferedAnswer{memory: m}, &bufferedAnswer{memory: m}
	if err := sent.append(make([]byte, 80)); err != nil {
		t.Fatal(err)
	}
	if _, err := sent.complete(); err != nil {
		t.Fatal(err)
	}
	if err := growing.append(make([]byte, 21)); !errors.Is(err, errAnswerTooLong) {
		t.Errorf("the answer without room: %v", err)
	}
	if pieces, err := sent.complete(); err != nil || len(slices.Concat(pieces...)) != 80 {
		t.Errorf("the answer that is sent: %v", err)
	}
	sent.discard()
	if err := (&bufferedAnswer{memory: m}).append(make([]byte, 100)); err != nil {
		t.Errorf("after it was discarded: %v", err)
	}
}

// Guards against memory that is counted wrongly: whatever answers do, what they take is within the bound, and
// a complete answer has each byte that it was given.
func TestAnswersStayWithinTheirMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newAnswerMemory(64)
		answers, want := make([]*bufferedAnswer, 4), make([][]byte, 4)
		for i := range answers {
			answers[i] = &bufferedAnswer{memory: m}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 3).Draw(t, "answer")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				answers[i].discard()
				want[i] = nil
			case 1:
				if pieces, err := answers[i].complete(); err == nil && !bytes.Equal(slices.Concat(pieces...), want[i]) {
					t.Fatalf("answer %d has %d pieces, want %d bytes", i, len(pieces), len(want[i]))
				}
			default:
				data := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "data")
				if answers[i].append(data) == nil {
					want[i] = append(want[i], data...)
				}
			}
			taken := 0
			for _, a := range answers {
				taken += a.length
			}
			if taken != m.used || taken > m.capacity {
				t.Fatalf("%d bytes taken, %d counted, %d allowed", taken, m.used, m.capacity)
			}
		}
	})
}
