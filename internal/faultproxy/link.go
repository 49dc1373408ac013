package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// readBytes bounds one piece, and with queueLength what a frozen link holds.
	readBytes   = 32 << 10
	queueLength = 64
)

type verdict int

const (
	pass verdict = iota
	hold
	discard
	cutLink
)

// piece is what one read gave, to be forwarded at due. No data is the end of the
// stream, by reset if so marked.
type piece struct {
	data  []byte
	reset bool
	due   time.Time
}

// link is one connection through the proxy. ends[dir] is where dir's bytes come
// from. What stands below once is guarded by the proxy's lock.
type link struct {
	ends      [directions]*net.TCPConn
	done      chan struct{}
	once      sync.Once
	holed     [directions]bool
	frozen    bool
	loseReply bool
	replyLost bool
	finished  int
}

// client is the address that the dialing side dialled from.
func (l *link) client() string { return l.ends[Upstream].RemoteAddr().String() }

// cut resets both sides.
func (l *link) cut() {
	l.once.Do(func() {
		close(l.done)
		for _, end := range l.ends {
			reset(end)
		}
	})
}

// reset closes a connection with RST instead of FIN.
func reset(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

func (p *Proxy) receive(l *link, dir Direction, queue chan<- piece) {
	defer p.pumps.Done()
	defer close(queue)
	for {
		buf := make([]byte, readBytes)
		n, err := l.ends[dir].Read(buf)
		if dir == Upstream {
			p.noteRequest(l, buf[:n])
		}
		if n > 0 && !p.enqueue(l, dir, queue, piece{data: buf[:n]}) {
			return
		}
		if err != nil {
			p.enqueue(l, dir, queue, piece{reset: !errors.Is(err, io.EOF)})
			return
		}
	}
}

func (p *Proxy) enqueue(l *link, dir Direction, queue chan<- piece, pc piece) bool {
	pc.due = time.Now().Add(p.delayOf(dir))
	select {
	case queue <- pc:
		return true
	case <-l.done:
		return false
	}
}

func (p *Proxy) forward(l *link, dir Direction, queue <-chan piece) {
	defer p.pumps.Done()
	to := l.ends[1-dir]
	for pc := range queue {
		if !p.await(l, dir, pc.due) {
			continue
		}
		if len(pc.data) == 0 {
			p.finish(l, to, pc.reset)
			return
		}
		if _, err := to.Write(pc.data); err != nil {
			p.end(l)
		}
	}
}

// finish passes on the end of one direction; a reset or the second end closes
// the link.
func (p *Proxy) finish(l *link, to *net.TCPConn, reset bool) {
	to.CloseWrite()
	p.mu.Lock()
	l.finished++
	last := l.finished == int(directions)
	p.mu.Unlock()
	if last || reset {
		p.end(l)
	}
}

// end cuts and forgets a link.
func (p *Proxy) end(l *link) {
	l.cut()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// await waits until a piece may be forwarded, or reports that it is not to be.
func (p *Proxy) await(l *link, dir Direction, due time.Time) bool {
	if !l.sleepUntil(due) {
		return false
	}
	for {
		verdict, changed := p.fate(l, dir)
		switch verdict {
		case pass:
			return true
		case discard:
			return false
		case cutLink:
			p.end(l)
			return false
		}
		select {
		case <-changed:
		case <-l.done:
			return false
		}
	}
}

func (l *link) sleepUntil(due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.done:
		return false
	}
}
