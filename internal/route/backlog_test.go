package route

import (
	"testing"
	"time"
)

// Guards against callers that wait several times as long as each owner expected, beside idle
// engines, for a second after a crash: the owners of different prefixes place them anew at one
// endpoint, and each knows only its own requests until the endpoint's next report.
func TestBacklogIsToldWhenItRises(t *testing.T) {
	tests := []struct {
		name   string
		at     []int // milliseconds
		tokens []int
		want   []bool
	}{
		{"steady prompts", []int{0, 10, 20}, []int{1000, 1500, 1900}, []bool{false, false, false}},
		{"a new prefix", []int{0, 10}, []int{4000, 4600}, []bool{true, false}},
		{"doubled since", []int{0, 200}, []int{4000, 10000}, []bool{true, true}},
		{"not yet doubled", []int{0, 200}, []int{4000, 9999}, []bool{true, false}},
		{"drained, then a new prefix", []int{0, 200, 300}, []int{4000, 100, 2200}, []bool{true, false, true}},
		{"within the minimum interval, then after it", []int{0, 99, 100}, []int{2000, 9000, 9000}, []bool{true, false, true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b BacklogTrigger
			for i, tokens := range tt.tokens {
				now := time.Duration(tt.at[i]) * time.Millisecond
				if got := b.ShouldReport(now, tokens); got != tt.want[i] {
					t.Errorf("at %v with %d tokens: ShouldReport = %v", now, tokens, got)
				}
			}
		})
	}
}
