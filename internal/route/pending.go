package route

import "time"

const (
	pendingBucket  = 100 * time.Millisecond
	pendingBuckets = 32
)

// work is an amount of work at an endpoint.
type work struct {
	requests int
	prefill  int
	decode   int
}

func (w *work) add(v work) {
	w.requests += v.requests
	w.prefill += v.prefill
	w.decode += v.decode
}

// pending is the work that was decided for one endpoint, by time, so that what
// its last load report can't know yet is added to it. Without it every decision
// between two reports sees the same idle endpoint and goes there as one herd.
type pending struct {
	buckets [pendingBuckets]struct {
		at   int64
		work work
	}
}

func (p *pending) add(now time.Duration, w work) {
	at := int64(now / pendingBucket)
	b := &p.buckets[at%pendingBuckets]
	if b.at != at {
		b.at = at
		b.work = work{}
	}
	b.work.add(w)
}

// since sums what was decided after the load report was taken. The report's
// own bucket counts as unknown to it: a request decided just before the report
// was still on its way.
func (p *pending) since(now, age time.Duration) work {
	last := int64(now / pendingBucket)
	first := max(int64((now-age)/pendingBucket)-1, last-pendingBuckets+1, 0)
	var sum work
	for at := first; at <= last; at++ {
		b := &p.buckets[at%pendingBuckets]
		if b.at == at {
			sum.add(b.work)
		}
	}
	return sum
}
