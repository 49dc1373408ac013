package direct

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"skylarklead/internal/fleet"
	"skylarklead/internal/telemetry"
)

const (
	// maxMalformedKeys bounds the keys whose last problem is kept: several times the replicas of the
	// largest deployment that entries route to directly.
	maxMalformedKeys = 1024
	// malformedLogInterval is the least time between two log lines about the same problem of one
	// key. A writer that repeats the record with each heartbeat would otherwise flood the log.
	malformedLogInterval = 10 * time.Second
	// maxLoggedKeyBytes bounds how much of a key is logged.
	maxLoggedKeyBytes = 64
)

// malformedRecords reports malformed records of the store. Each is counted; a key's problem is
// logged only when it changes or persists.
type malformedRecords struct {
	tel  *telemetry.Telemetry
	mu   sync.Mutex
	last *lru.Cache[string, *problem]
}

// problem is the last problem with a key's record.
type problem struct {
	text     string
	loggedAt time.Time
	// suppressed counts the records since then that were not logged.
	suppressed int
}

func newMalformedRecords(tel *telemetry.Telemetry) *malformedRecords {
	last, err := lru.New[string, *problem](maxMalformedKeys)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &malformedRecords{tel: tel, last: last}
}

// report counts a malformed record and logs it unless it repeats a recent problem of its key.
func (m *malformedRecords) report(what string, r fleet.Record, err error) {
	m.tel.Metrics.Count("records_malformed", 1)
	suppressed, due := m.shouldLog(r.Key, what+": "+err.Error(), time.Now())
	if !due {
		return
	}
	m.tel.Log.Error(what, "key", r.Key[:min(len(r.Key), maxLoggedKeyBytes)], "offset", r.Offset,
		"bytes", len(r.Value), "not_logged", suppressed, "error", err)
}

// reportAnswer counts bytes of a replica that are no answer, and logs them as report does.
func (m *malformedRecords) reportAnswer(replica string, err error) {
	m.tel.Metrics.Count("answers_malformed", 1)
	if suppressed, due := m.shouldLog(replica, err.Error(), time.Now()); due {
		m.tel.Log.Warn("replica sent bytes that are no answer", "replica", replica, "not_logged", suppressed, "error", err)
	}
}

// shouldLog reports whether to log a problem, and how many records of the key were not logged
// before it.
func (m *malformedRecords) shouldLog(key, text string, now time.Time) (suppressed int, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, known := m.last.Get(key)
	if known && p.text == text && now.Sub(p.loggedAt) < malformedLogInterval {
		p.suppressed++
		return 0, false
	}
	if known {
		suppressed = p.suppressed
	}
	m.last.Add(key, &problem{text: text, loggedAt: now})
	return suppressed, true
}
