package quota

import (
	"testing"
	"time"
)

// Guards against a lender that rests though it answers, and against one that each request waits for
// though it always answers too late.
func TestLateAnswersEndOneRest(t *testing.T) {
	const now = time.Minute
	var s Silence
	miss := func(at time.Duration) { s.Missed("a", at); s.Missed("a", at+time.Millisecond) }
	for _, step := range []struct {
		name string
		do   func()
		at   time.Duration
		want bool
	}{
		{"never asked", func() {}, now, true},
		{"no answer", func() { miss(now) }, now + silenceRest - 1, false},
		{"a late answer", func() { s.AnsweredLate("a") }, now, true},
		{"no answer again", func() { miss(now) }, now, false},
		{"a second late answer", func() { s.AnsweredLate("a") }, now, false},
		{"after the rest", func() {}, now + silenceRest + time.Millisecond, true},
		{"an answer in time", func() { s.Answered("a"); miss(now); s.AnsweredLate("a") }, now, true},
	} {
		if step.do(); s.Usable("a", step.at) != step.want {
			t.Errorf("%s: usable %t, want %t", step.name, !step.want, step.want)
		}
	}
}
