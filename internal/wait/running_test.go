package wait

import (
	"context"
	"testing"
	"time"
)

// Guards against a peer that counts as silent since this process was held up and read no answers.
func TestTimeHeldUpIsNoWait(t *testing.T) {
	const interval = 10 * time.Millisecond
	began := time.Now()
	r := runningTime{last: began, longest: interval}
	for i, look := range []struct{ at, want time.Duration }{
		{interval, interval},
		{interval + 300*interval, 2 * interval},
		{302*interval - 1, 3*interval - 1},
	} {
		if r.look(began.Add(look.at)); r.total != look.want {
			t.Errorf("look %d: %v, want %v", i, r.total, look.want)
		}
	}
}

func TestAnswerEnds(t *testing.T) {
	values := make(chan int, 1)
	if _, received := Answer(t.Context(), values, time.Millisecond); received {
		t.Error("received a value that nobody sent")
	}
	ended, end := context.WithCancel(t.Context())
	end()
	if _, received := Answer(ended, values, time.Hour); received {
		t.Error("received a value that nobody sent")
	}
	values <- 7
	if v, received := Answer(t.Context(), values, time.Hour); v != 7 || !received {
		t.Errorf("got %d, %t", v, received)
	}
}
