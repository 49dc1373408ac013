package direct

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/runcopy"
	"skylarklead/internal/upstream"
)

const (
	// sseBuffer is the size of the read buffer, in bytes: room for several events.
	sseBuffer = 4 << 10
	// maxEventSize bounds one event, in bytes: it has a few tokens, and all connections to a replica may
	// carry a stream.
	maxEventSize = 128 << 10
	// writeMargin is how long after the request's deadline a write to a slow caller may still
	// block.
	writeMargin = 500 * time.Millisecond
)

// errEventTooLong reports an event beyond maxEventSize.
var errEventTooLong = fmt.Errorf("%w: event of more than %d bytes", upstream.ErrMalformed, maxEventSize)

// errNoEvents reports a stream of which nothing but its head came before the end of its connection. A replica that stops
// after the head looks like this; one that has nothing to send can say so with a length or chunks.
var errNoEvents = errors.New("direct: the connection ended before the first event of its stream")

// sseReader reads whole server-sent events. A replica may stop in the middle of an event; if half of
// it were forwarded, followed by the next event of another replica, the caller would see an event
// that no replica sent.
type sseReader struct {
	r   *bufio.Reader
	raw []byte
	id  string
}

func newSSEReader(r io.Reader) *sseReader { return &sseReader{r: bufio.NewReaderSize(r, sseBuffer)} }

// next reads one event with the blank line that ends it. It returns io.EOF only between events.
func (s *sseReader) next() error {
	s.raw, s.id = s.raw[:0], ""
	for {
		begin := len(s.raw)
		if err := s.readLine(); err != nil {
			if err == io.EOF && len(s.raw) > 0 {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		line := bytes.TrimRight(s.raw[begin:], "\r\n")
		if len(line) == 0 {
			return nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.id = string(bytes.TrimSpace(id))
		}
	}
}

// readLine appends one line to raw.
func (s *sseReader) readLine() error {
	for {
		chunk, err := s.r.ReadSlice('\n')
		s.raw = append(s.raw, chunk...)
		if len(s.raw) > maxEventSize {
			return errEventTooLong
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		return err
	}
}

// resumeAfter is the event after which a stream is to continue: the last one that the caller got from
// this answer, else the one that the caller's request named.
func (req *request) resumeAfter() string {
	if req.lastEventID != "" {
		return req.lastEventID
	}
	return req.params.LastEvent
}

// forwardStream forwards a replica's events as they arrive. Its head is sent with the first event:
// before that, the request can still be retried at another replica or be answered with a failure.
func (req *request) forwardStream(p *placement, x *upstream.Exchange) (attempt.DispatchFailure, bool) {
	control := http.NewResponseController(req.w)
	in := newSSEReader(x.Body)
	for {
		err := in.next()
		if err == io.EOF && p.events == 0 && x.CloseDelimited() {
			err = errNoEvents
		}
		if err == io.EOF {
			return req.finishStream(p, x)
		}
		if err != nil {
			return req.handleBrokenAnswer(p, err), false
		}
		req.entry.monitor.received(p.inFlight)
		p.lastEventAt = req.entry.clock.now()
		if p.events++; p.events == 1 {
			p.firstEventAt = p.lastEventAt
		}
		switch req.checkEvent(p, in) {
		case runcopy.Drop:
			continue
		case runcopy.BreakOff:
			return req.handleBrokenAnswer(p, errEventsDontJoin), false
		}
		req.startStream(p, x)
		req.checkWriting(p)
		req.offerBody(p, x)
		if _, err := req.w.Write(in.raw); err != nil {
			return req.callerDisconnected(err)
		}
		req.eventCount++
		if in.id != "" {
			req.lastEventID = in.id
		}
		if in.r.Buffered() > 0 {
			continue
		}
		if err := control.Flush(); err != nil {
			return req.callerDisconnected(err)
		}
	}
}

// startStream sends the head before the first event. A stream that continues at another replica keeps
// the head, and with it the seal, of the first replica.
func (req *request) startStream(p *placement, x *upstream.Exchange) {
	if req.firstByte > 0 {
		return
	}
	req.firstByte = max(1, req.entry.clock.now()-req.started)
	req.begunAt = p.replica
	req.announceOrigin()
	req.status = x.Status
	req.copyHeaders(x.Header)
	req.setIncomplete(true)
	req.w.WriteHeader(x.Status)
	s := req.entry.state
	s.mu.Lock()
	now := req.entry.clock.now()
	if p.continuation == nil {
		s.picker.FirstEvent(now, &req.query, &p.choice, now-p.pickedAt)
	}
	if p.window != nil {
		own := s.picker.PrefillTime(&req.query, &p.choice)
		p.window.ObserveStart(p.work, now-p.pickedAt-own, req.route.LatencyTarget-own, now)
	}
	p.endWork()
	s.placeQueued(s.queueOf(req.service), now)
	s.mu.Unlock()
}

// offerBody lets the body's memory be used for others once the replica has it and has begun to answer. The
// body is needed only if the stream breaks off and may go on elsewhere.
func (req *request) offerBody(p *placement, x *upstream.Exchange) {
	if p.bodyOffered || !x.RequestWritten() {
		return
	}
	p.bodyOffered = true
	if req.route.Repeatable() || p.backup != nil {
		req.entry.bodyMemory.offer(&req.body)
	} else {
		req.entry.bodyMemory.release(&req.body)
	}
}

// finishStream records the end of a complete stream.
func (req *request) finishStream(p *placement, x *upstream.Exchange) (attempt.DispatchFailure, bool) {
	if req.firstByte == 0 {
		// A stream without events is complete.
		req.firstByte = max(1, req.entry.clock.now()-req.started)
		req.status = x.Status
		req.copyHeaders(x.Header)
		req.w.WriteHeader(x.Status)
	}
	req.setIncomplete(false)
	req.outcome = outcomeServed
	if p.events > 0 {
		req.recordSuccess(p)
	} else {
		req.recordAnswered(p)
	}
	s := req.entry.state
	s.mu.Lock()
	if p.continuation == nil {
		s.picker.ObserveStream(&req.query, req.entry.clock.now()-req.started-req.firstByte)
	}
	s.mu.Unlock()
	return 0, true
}

// callerDisconnected ends a stream whose caller can't be written to.
func (req *request) callerDisconnected(err error) (attempt.DispatchFailure, bool) {
	if errors.Is(err, errHeldTooLong) {
		req.abort(err.Error())
		return 0, true
	}
	req.outcome, req.reason = outcomeCallerLeft, err.Error()
	req.breakOff()
	return 0, true
}
