package platform

import (
	"errors"
	"sync"
	"time"

	client "skylarklead/internal/platform"
)

// errExpired means that the offset to read from is past retention.
var errExpired = errors.New("past retention")

// retention limits the records that a stream keeps; zero is no limit.
type retention struct {
	age   time.Duration
	count int
}

// stream is an append-only sequence of records with consecutive offsets from 1.
type stream struct {
	records  []timedRecord // in offset order, the oldest kept first
	next     uint64
	appended chan struct{} // closed at the next append
}

type timedRecord struct {
	client.Record
	at time.Time
}

// recordLog is the append-only log with all its streams.
type recordLog struct {
	mu      sync.Mutex
	streams map[string]*stream
	now     func() time.Time
}

func newRecordLog(now func() time.Time) *recordLog {
	return &recordLog{streams: map[string]*stream{}, now: now}
}

func (l *recordLog) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{next: 1, appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// append appends records to a stream and returns the first and last offsets.
func (l *recordLog) append(name string, data [][]byte) (first, last uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	first = s.next
	for _, d := range data {
		s.records = append(s.records, timedRecord{client.Record{Offset: s.next, Data: d}, l.now()})
		s.next++
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return first, s.next - 1
}

// read returns a page from an offset on, and a channel that is closed at the next
// append. The only error is errExpired, with only the page's Oldest set.
func (l *recordLog) read(name string, from uint64, limit int, keep retention) (client.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.dropExpired(keep, l.now())
	oldest := s.next - uint64(len(s.records))
	if from < oldest {
		return client.Page{Oldest: oldest}, nil, errExpired
	}
	page := client.Page{Records: []client.Record{}, Oldest: oldest, Next: from}
	if from >= s.next {
		return page, s.appended, nil
	}
	for _, t := range s.records[from-oldest:] {
		if len(page.Records) == limit {
			break
		}
		page.Records = append(page.Records, t.Record)
	}
	page.Next = from + uint64(len(page.Records))
	return page, s.appended, nil
}

// dropExpired drops the records that are past retention.
func (s *stream) dropExpired(keep retention, now time.Time) {
	expired := 0
	if keep.count > 0 {
		expired = max(0, len(s.records)-keep.count)
	}
	if keep.age > 0 {
		for expired < len(s.records) && now.Sub(s.records[expired].at) > keep.age {
			expired++
		}
	}
	s.records = s.records[expired:]
}

// dump returns the records that each stream keeps.
func (l *recordLog) dump(keep retention) map[string]client.Page {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string]client.Page, len(l.streams))
	for name, s := range l.streams {
		s.dropExpired(keep, l.now())
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
