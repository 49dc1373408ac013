package prefix

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func drawMessages(t *rapid.T) []Message {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Message {
		return Message{
			Role:    rapid.SampledFrom([]string{"system", "user", "assistant"}).Draw(t, "role"),
			Content: strings.Repeat(rapid.StringMatching(`[a-z ]{1,9}`).Draw(t, "text"), rapid.IntRange(0, 60).Draw(t, "times")),
		}
	}), 1, 12).Draw(t, "messages")
}

// Two texts have equal hashes for exactly those whole blocks up to which they are equal.
func TestChainSharesExactlyTheCommonBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.Byte(), 0, 10*BlockBytes).Draw(t, "text")
		other := slices.Clone(text)
		if len(other) > 0 {
			other[rapid.IntRange(0, len(other)-1).Draw(t, "changed")]++
		}
		a, b := Chain(1, text), Chain(1, other)
		if len(a) != len(text)/BlockBytes || len(b) != len(a) {
			t.Fatalf("%d and %d blocks for texts of %d bytes", len(a), len(b), len(text))
		}
		sharedBytes := 0
		for sharedBytes < len(text) && text[sharedBytes] == other[sharedBytes] {
			sharedBytes++
		}
		for i := range a {
			if shared := (i+1)*BlockBytes <= sharedBytes; (a[i] == b[i]) != shared {
				t.Fatalf("block %d: equal %v, the texts share %d bytes", i, a[i] == b[i], sharedBytes)
			}
		}
	})
}

// Guards against serving an organisation from another's cache, or from the cache of other weights,
// when both send the same text: their chains must start from different hashes.
func TestSaltsShareNothing(t *testing.T) {
	text := []byte(strings.Repeat("standing instructions ", 100))
	base := Salt{"huon", "ledger", "v1"}
	for _, other := range []Salt{{"nakhla", "ledger", "v1"}, {"huon", "wahj", "v1"}, {"huon", "ledger", "v2"}, {"huonl", "edger", "v1"}} {
		a, b := Chain(base.Root(), text), Chain(other.Root(), text)
		for _, h := range a {
			if slices.Contains(b, h) {
				t.Errorf("%+v and %+v share a block", base, other)
			}
		}
	}
}

func TestLevels(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		messages := drawMessages(t)
		chain := Chain(7, Flatten(messages))
		levels := Levels(7, messages)
		if len(levels) > MaxLevels {
			t.Fatalf("%d levels, want at most MaxLevels", len(levels))
		}
		previous := 0
		for _, l := range levels {
			if l.Tokens <= previous || l.Tokens%BlockTokens != 0 || chain[l.Tokens/BlockTokens-1] != l.Hash {
				t.Fatalf("level %+v after one of %d tokens does not match the chain", l, previous)
			}
			previous = l.Tokens
		}
		if len(messages) > 1 && previous > EstimateTokens(messages[:len(messages)-1]) {
			t.Fatalf("a level of %d tokens includes the last message", previous)
		}
	})
}

// The last message, which is new in each request, must not change the levels that the request is
// routed by.
func TestLevelsDoNotDependOnTheLastMessage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		messages := append(drawMessages(t), Message{Role: "user", Content: "first"})
		before := Levels(7, messages)
		messages[len(messages)-1].Content = rapid.StringN(0, 400, -1).Draw(t, "question")
		if after := Levels(7, messages); !slices.Equal(before, after) {
			t.Fatalf("levels %v became %v", before, after)
		}
	})
}

func TestShortPromptHasNoLevels(t *testing.T) {
	if levels := Levels(7, []Message{{"user", "hello"}}); len(levels) != 0 {
		t.Errorf("levels %v for a prompt shorter than a block", levels)
	}
}

func BenchmarkLevels(b *testing.B) {
	messages := []Message{
		{"system", strings.Repeat("rule ", 1600)},
		{"system", strings.Repeat("charter ", 1000)},
		{"user", strings.Repeat("question ", 40)},
	}
	b.SetBytes(int64(len(Flatten(messages))))
	b.ReportAllocs()
	for b.Loop() {
		Levels(7, messages)
	}
}
