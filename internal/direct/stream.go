package direct

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/upstream"
)

const (
	// streamBuffer holds several events.
	streamBuffer = 4 << 10
	// maxEvent bounds one event, in bytes.
	maxEvent = 1 << 20
	// writeMargin is how long after the request's end a write to a slow caller may
	// still hang.
	writeMargin = 500 * time.Millisecond
)

// errEventTooLong is an event beyond maxEvent.
var errEventTooLong = errors.New("direct: event too long")

// events reads the events of a stream, whole ones only: a replica may stop in the
// middle of one, and half an event followed by another replica's next one would
// reach the caller as a piece that nobody made.
type events struct {
	r   *bufio.Reader
	raw []byte
	id  string
}

func newEvents(r io.Reader) *events { return &events{r: bufio.NewReaderSize(r, streamBuffer)} }

// next reads one event with the blank line that ends it. io.EOF is a clean end
// between events.
func (e *events) next() error {
	e.raw, e.id = e.raw[:0], ""
	for {
		begin := len(e.raw)
		if err := e.line(); err != nil {
			if err == io.EOF && len(e.raw) > 0 {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		line := bytes.TrimRight(e.raw[begin:], "\r\n")
		if len(line) == 0 {
			return nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
	}
}

// line appends one line to raw.
func (e *events) line() error {
	for {
		piece, err := e.r.ReadSlice('\n')
		e.raw = append(e.raw, piece...)
		if len(e.raw) > maxEvent {
			return errEventTooLong
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		return err
	}
}

// lastEvent is after which event a stream goes on: what the caller has from this
// answer, else what it said it has.
func (j *request) lastEvent() string {
	if j.lastID != "" {
		return j.lastID
	}
	return j.params.LastEvent
}

// stream passes a replica's events on as they come. Its head goes out with the
// first event: before it the request can still be handed to another replica, or
// be answered with a failure.
func (j *request) stream(p *placement, x *upstream.Exchange) (attempt.DispatchFailure, bool) {
	control := http.NewResponseController(j.w)
	in := newEvents(x.Body)
	for {
		err := in.next()
		if err == io.EOF {
			return j.streamEnded(p, x)
		}
		if err != nil {
			return j.broken(p, err), false
		}
		j.entry.watch.received(p.watched)
		j.beginStream(p, x)
		if _, err := j.w.Write(in.raw); err != nil {
			return j.callerLost(err)
		}
		j.events++
		if in.id != "" {
			j.lastID = in.id
		}
		if in.r.Buffered() > 0 {
			continue
		}
		if err := control.Flush(); err != nil {
			return j.callerLost(err)
		}
	}
}

// beginStream sends the head before the first event. A stream that goes on at
// another replica keeps the head, and with it the seal, of the first.
func (j *request) beginStream(p *placement, x *upstream.Exchange) {
	if j.first > 0 {
		return
	}
	j.first = max(1, j.entry.clock.now()-j.began)
	j.status = x.Status
	j.head(x.Header)
	j.w.WriteHeader(x.Status)
	s := j.entry.state
	s.mu.Lock()
	now := j.entry.clock.now()
	s.feed.FirstEvent(now, &j.query, &p.choice, now-p.at)
	if p.window != nil {
		own := s.feed.PrefillTime(&j.query, &p.choice)
		p.window.ObserveStart(p.work, now-p.at-own, j.route.LatencyTarget-own, now)
	}
	p.done()
	s.dispatch(s.gateOf(j.service), now)
	s.mu.Unlock()
}

func (j *request) streamEnded(p *placement, x *upstream.Exchange) (attempt.DispatchFailure, bool) {
	if j.first == 0 {
		// An answer without an event is complete as it is.
		j.first = max(1, j.entry.clock.now()-j.began)
		j.status = x.Status
		j.head(x.Header)
		j.w.WriteHeader(x.Status)
	}
	j.outcome = outcomeServed
	j.worked(p)
	s := j.entry.state
	s.mu.Lock()
	s.feed.ObserveStream(&j.query, j.entry.clock.now()-j.began-j.first)
	s.mu.Unlock()
	return 0, true
}

// callerLost ends a stream whose caller takes no more.
func (j *request) callerLost(err error) (attempt.DispatchFailure, bool) {
	j.outcome, j.reason = outcomeLeft, err.Error()
	panic(http.ErrAbortHandler)
}
