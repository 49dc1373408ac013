package retryafter

import (
	"testing"
	"time"
)

// Guards against values that are misread or that overflow.
func TestParse(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"0": 0, "3": 3 * time.Second, "0.25": 250 * time.Millisecond, " 1 ": time.Second, "1e300": Max, "+Inf": Max,
	} {
		if got, ok := Parse(text); !ok || got != want {
			t.Errorf("%q: %v, %v", text, got, ok)
		}
	}
	for _, text := range []string{"", "-1", "NaN", "soon", "Thu, 03 Dec 2026 10:00:00 GMT"} {
		if got, ok := Parse(text); ok {
			t.Errorf("%q is read as %v", text, got)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add("0.5")
	f.Fuzz(func(t *testing.T, text string) {
		if d, _ := Parse(text); d < 0 || d > Max {
			t.Errorf("%q: %v", text, d)
		}
	})
}
