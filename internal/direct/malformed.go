package direct

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"skylarklead/internal/fleet"
	"skylarklead/internal/telemetry"
)

const (
	// malformedKeys bounds the keys whose last problem is remembered: several times the
	// replicas of the largest deployment that entries feed directly.
	malformedKeys = 1024
	// malformedEvery is the least time between two lines about the same problem of one
	// key. A writer that repeats itself with each heartbeat would otherwise fill the log.
	malformedEvery = 10 * time.Second
	// malformedKeyShown bounds how much of a key is written, in bytes.
	malformedKeyShown = 64
)

// malformedRecords reports records of the store that can't be used: each is counted, and the
// log says of each key what is wrong with it, again only if that changes or persists.
type malformedRecords struct {
	tel  *telemetry.Telemetry
	mu   sync.Mutex
	last *lru.Cache[string, *problem]
}

// problem is what was last wrong with a key's record.
type problem struct {
	text     string
	loggedAt time.Time
	// hidden counts the records since that were not logged.
	hidden int
}

func newMalformedRecords(tel *telemetry.Telemetry) *malformedRecords {
	last, err := lru.New[string, *problem](malformedKeys)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &malformedRecords{tel: tel, last: last}
}

// report counts a record that can't be used and, where that is news, logs it.
func (m *malformedRecords) report(what string, r fleet.Record, err error) {
	m.tel.Metrics.Count("records_malformed", 1)
	hidden, news := m.news(r.Key, what+": "+err.Error(), time.Now())
	if !news {
		return
	}
	m.tel.Log.Error(what, "key", r.Key[:min(len(r.Key), malformedKeyShown)], "offset", r.Offset,
		"bytes", len(r.Value), "not_logged", hidden, "error", err)
}

// news reports whether to log a problem, and how many records of the key weren't.
func (m *malformedRecords) news(key, text string, now time.Time) (hidden int, news bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, known := m.last.Get(key)
	if known && p.text == text && now.Sub(p.loggedAt) < malformedEvery {
		p.hidden++
		return 0, false
	}
	if known {
		hidden = p.hidden
	}
	m.last.Add(key, &problem{text: text, loggedAt: now})
	return hidden, true
}
