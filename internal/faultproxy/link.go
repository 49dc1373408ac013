package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// readBytes bounds one chunk and, with queueLength, the memory of a frozen link.
	readBytes   = 32 << 10
	queueLength = 64
)

// disposition is what to do with a chunk: forward it, hold it until the proxy's
// state changes, discard it, or reset the link.
type disposition int

const (
	pass disposition = iota
	hold
	discard
	resetLink
)

// chunk is the data of one read, to be forwarded at due. Without data it stands for
// the end of the stream, by RST if reset is set and otherwise by FIN.
type chunk struct {
	data  []byte
	reset bool
	due   time.Time
}

// link is one client connection and its connection to the target. ends[dir] is the
// connection that dir's data is read from. The proxy's lock guards the fields below
// once.
type link struct {
	ends               [directions]*net.TCPConn
	done               chan struct{} // closed by resetBoth
	once               sync.Once
	bytesLost          [directions]bool // Drop has discarded data of this direction
	frozen             bool             // by FreezeClients
	loseReply          bool             // a request matched LoseReplies
	replyLost          bool             // its reply has been counted as lost
	finishedDirections int
}

// client returns the client's address, "ip:port".
func (l *link) client() string { return l.ends[Upstream].RemoteAddr().String() }

// resetBoth resets the connections of both sides, once.
func (l *link) resetBoth() {
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

// receive reads one direction of a link and queues what it reads, up to the end of
// the stream or of the link.
func (p *Proxy) receive(l *link, dir Direction, queue chan<- chunk) {
	defer p.goroutines.Done()
	defer close(queue)
	for {
		buf := make([]byte, readBytes)
		n, err := l.ends[dir].Read(buf)
		if dir == Upstream {
			p.matchRequest(l, buf[:n])
		}
		if n > 0 && !p.enqueue(l, dir, queue, chunk{data: buf[:n]}) {
			return
		}
		if err != nil {
			p.enqueue(l, dir, queue, chunk{reset: !errors.Is(err, io.EOF)})
			return
		}
	}
}

// enqueue queues a chunk with its due time, or returns false if the link is closed.
func (p *Proxy) enqueue(l *link, dir Direction, queue chan<- chunk, c chunk) bool {
	c.due = time.Now().Add(p.delayOf(dir))
	select {
	case queue <- c:
		return true
	case <-l.done:
		return false
	}
}

// forward writes the queued chunks of one direction when they are due.
func (p *Proxy) forward(l *link, dir Direction, queue <-chan chunk) {
	defer p.goroutines.Done()
	to := l.ends[1-dir]
	for c := range queue {
		if !p.awaitForward(l, dir, c.due) {
			continue
		}
		if len(c.data) == 0 {
			p.finish(l, to, c.reset)
			return
		}
		if _, err := to.Write(c.data); err != nil {
			p.closeLink(l)
		}
	}
}

// finish forwards the end of one direction. A reset, or the end of the second
// direction, closes the link.
func (p *Proxy) finish(l *link, to *net.TCPConn, reset bool) {
	to.CloseWrite()
	p.mu.Lock()
	l.finishedDirections++
	last := l.finishedDirections == int(directions)
	p.mu.Unlock()
	if last || reset {
		p.closeLink(l)
	}
}

// closeLink resets a link and removes it from the proxy.
func (p *Proxy) closeLink(l *link) {
	l.resetBoth()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// awaitForward waits until a chunk may be forwarded. It returns false if the chunk
// is to be discarded.
func (p *Proxy) awaitForward(l *link, dir Direction, due time.Time) bool {
	if !l.sleepUntil(due) {
		return false
	}
	for {
		d, changed := p.decide(l, dir)
		switch d {
		case pass:
			return true
		case discard:
			return false
		case resetLink:
			p.closeLink(l)
			return false
		}
		select {
		case <-changed:
		case <-l.done:
			return false
		}
	}
}

// sleepUntil returns false if the link was closed before due.
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
