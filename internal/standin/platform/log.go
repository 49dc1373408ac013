package platform

import (
	"errors"
	"sync"
	"time"

	client "skylarklead/internal/platform"
)

// errRetained is a read past retention.
var errRetained = errors.New("past retention")

// retention bounds what a stream keeps; zero is no bound.
type retention struct {
	age   time.Duration
	count int
}

// stream is one sequence of records. Its first offset is 1.
type stream struct {
	records []timedRecord // in offset order, the oldest kept first
	next    uint64
	grown   chan struct{} // closed at the next append
}

type timedRecord struct {
	client.Record
	at time.Time
}

// records is the log: all streams.
type records struct {
	mu      sync.Mutex
	streams map[string]*stream
	now     func() time.Time
}

func newRecords(now func() time.Time) *records {
	return &records{streams: map[string]*stream{}, now: now}
}

func (r *records) stream(name string) *stream {
	s := r.streams[name]
	if s == nil {
		s = &stream{next: 1, grown: make(chan struct{})}
		r.streams[name] = s
	}
	return s
}

// append puts data on a stream and returns the first and last offsets.
func (r *records) append(name string, data [][]byte) (first, last uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stream(name)
	first = s.next
	for _, d := range data {
		s.records = append(s.records, timedRecord{client.Record{Offset: s.next, Data: d}, r.now()})
		s.next++
	}
	close(s.grown)
	s.grown = make(chan struct{})
	return first, s.next - 1
}

// read returns a page from an offset on, and a channel closed once the stream
// has grown. The error is errRetained, with only the page's Oldest set.
func (r *records) read(name string, from uint64, limit int, keep retention) (client.Page, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stream(name)
	s.drop(keep, r.now())
	oldest := s.next - uint64(len(s.records))
	if from < oldest {
		return client.Page{Oldest: oldest}, nil, errRetained
	}
	page := client.Page{Records: []client.Record{}, Oldest: oldest, Next: from}
	if from >= s.next {
		return page, s.grown, nil
	}
	for _, t := range s.records[from-oldest:] {
		if len(page.Records) == limit {
			break
		}
		page.Records = append(page.Records, t.Record)
	}
	page.Next = from + uint64(len(page.Records))
	return page, s.grown, nil
}

// drop forgets what is past retention.
func (s *stream) drop(keep retention, now time.Time) {
	gone := 0
	if keep.count > 0 {
		gone = max(0, len(s.records)-keep.count)
	}
	if keep.age > 0 {
		for gone < len(s.records) && now.Sub(s.records[gone].at) > keep.age {
			gone++
		}
	}
	s.records = s.records[gone:]
}

// dump returns what every stream keeps.
func (r *records) dump(keep retention) map[string]client.Page {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string]client.Page, len(r.streams))
	for name, s := range r.streams {
		s.drop(keep, r.now())
		page := client.Page{
			Records: make([]client.Record, 0, len(s.records)),
			Oldest:  s.next - uint64(len(s.records)),
			Next:    s.next,
		}
		for _, t := range s.records {
			page.Records = append(page.Records, t.Record)
		}
		all[name] = page
	}
	return all
}
