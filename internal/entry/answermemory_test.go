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

// Guards against memory that is counted wrongly: whatever answers do, what is held is within the bound, and
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
			if rapid.IntRange(0, 9).Draw(t, "step") == 0 {
				answers[i].discard()
				want[i] = nil
				continue
			}
			data := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "data")
			if answers[i].append(data) == nil {
				want[i] = append(want[i], data...)
			}
			held := 0
			for j, a := range answers {
				pieces, err := a.complete()
				body := slices.Concat(pieces...)
				if err == nil && !bytes.Equal(body, want[j]) {
					t.Fatalf("answer %d has %d bytes, want %d", j, len(body), len(want[j]))
				}
				held += len(body)
			}
			if held != m.used || held > m.capacity {
				t.Fatalf("%d bytes held, %d counted, %d allowed", held, m.used, m.capacity)
			}
		}
	})
}
