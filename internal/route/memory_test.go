package route

import (
	"math/rand/v2"
	"testing"
	"time"
)

// longPromptMemory is the memory of an engine that ten long prompts fill, in tokens.
const longPromptMemory = 96_000

func longPrompt() PickQuery {
	return PickQuery{Service: "s", PromptTokens: 9_200, OutputTokens: 400, MaxWaitMs: 10_000}
}

func shortPrompt() PickQuery {
	return PickQuery{Service: "s", PromptTokens: 700, OutputTokens: 260, MaxWaitMs: 10_000}
}

// Guards against long prompts that are placed until an engine's memory runs out and running streams
// are preempted. The load is of long prompts that are read at once, beside short ones.
func TestEnginesAreNotFilledBeyondTheirMemory(t *testing.T) {
	p := NewPicker(DefaultPickerParams, rand.New(rand.NewPCG(1, 1)))
	p.UpdatePeerLoads("peer", 1, 1, map[uint64]Load{ReplicaKey("a"): {Running: 3, MemoryTokens: 30_000}}, 0)
	candidates := []PickCandidate{{ID: "a", Engine: true, Slots: 48, MemoryTokens: longPromptMemory}}
	placed := 0
	for range 20 {
		q := longPrompt()
		choice, ok := p.Pick(0, &q, candidates)
		if !ok {
			break
		}
		p.Dispatched(0, &q, &choice)
		p.FirstEvent(0, &q, &choice, time.Millisecond)
		placed++
	}
	// The peer's three and the own ones need 9,600 tokens each, of 0.8 x 96,000.
	if placed != 4 {
		t.Errorf("%d long prompts placed beside three", placed)
	}
	short := shortPrompt()
	if _, ok := p.Pick(0, &short, candidates); !ok {
		t.Error("there is memory for a short prompt")
	}
	empty := append(candidates, PickCandidate{ID: "b", Engine: true, Slots: 48, MemoryTokens: longPromptMemory})
	q := longPrompt()
	if choice, ok := p.Pick(0, &q, empty); !ok || choice.ID != "b" {
		t.Errorf("picked %q", choice.ID)
	}
}

// Guards against memory that stays counted after a request has ended: the replica would get no more.
func TestMemoryIsFreeAfterTheLastRequest(t *testing.T) {
	p := NewPicker(DefaultPickerParams, rand.New(rand.NewPCG(1, 1)))
	p.UpdatePeerLoads("peer", 1, 1, nil, 0)
	candidates := []PickCandidate{{ID: "a", Engine: true, Slots: 48, MemoryTokens: longPromptMemory}}
	for _, began := range []bool{true, false} {
		q := longPrompt()
		choice, _ := p.Pick(0, &q, candidates)
		p.Dispatched(0, &q, &choice)
		if began {
			p.FirstEvent(0, &q, &choice, time.Millisecond)
		}
		p.Finished(&q, &choice, began)
		if l := p.Loads()[ReplicaKey("a")]; l.MemoryTokens != 0 || l.Running != 0 || l.PrefillTokens != 0 {
			t.Errorf("first event %v: %+v is left", began, l)
		}
	}
	// A request larger than the bound runs where nothing else does.
	q := PickQuery{Service: "s", PromptTokens: longPromptMemory, MaxWaitMs: 10_000}
	if _, ok := p.Pick(0, &q, candidates); !ok {
		t.Error("an idle replica refuses a large request")
	}
}
