package answer

import (
	"testing"

	"pgregory.net/rapid"

	"skylarklead/internal/prefix"
)

func TestExpected(t *testing.T) {
	plain := []prefix.Message{{Role: "user", Content: "how much is left of the grant?"}}
	echo := []prefix.Message{{Role: "user", Content: "echo:r17 balance?"}, {Role: "assistant", Content: "x"}}
	if got := Expected(plain, 3); len(got) != 3*TokenBytes {
		t.Errorf("answer without an echo %q has %d bytes", got, len(got))
	}
	if got := Expected(echo, 2); got[:6] != "[r17] " || len(got) != 6+TokenBytes {
		t.Errorf("echo answer %q", got)
	}
	if Expected(plain, 8) == Expected(plain[:0], 8) {
		t.Error("two different prompts have the same answer")
	}
}

// An answer that is interrupted after any token and continued with Continue is
// the same as an uninterrupted one.
func TestContinue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`(echo:[a-z]{1,12} )?[a-z ]{0,40}`).Draw(t, "prompt")
		messages := []prefix.Message{{Role: "system", Content: "charter"}, {Role: "user", Content: text}}
		total := rapid.IntRange(0, 40).Draw(t, "total")
		cut := rapid.IntRange(0, total).Draw(t, "cut")
		whole := Expected(messages, total)
		partial := Expected(messages, cut)
		a, generated := Continue(append(messages, prefix.Message{Role: "assistant", Content: partial}))
		if generated != cut || partial+a.Text(generated, total) != whole {
			t.Fatalf("have %d of %d: %q + %q != %q", generated, cut, partial, a.Text(generated, total), whole)
		}
	})
}
