package faultproxy

import (
	"fmt"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// fillTimeout is long for a connection on the same host: one that takes longer meets a full backlog.
	fillTimeout = 100 * time.Millisecond
	// maxFillers is more than a backlog of none holds.
	maxFillers = 8
	// usualBacklog is the backlog after Reconnect.
	usualBacklog = 128
)

// Isolate holds back all data in both directions and has new connections time out, until Reconnect: as when
// the path to the target is lost. The target runs on. It returns once new connections time out. Calls
// nest: each needs one Reconnect.
func (p *Proxy) Isolate() error {
	first := false
	p.set(func() {
		p.isolated++
		first = p.isolated == 1
		p.frozen = true
	})
	if !first {
		return nil
	}
	if err := p.setBacklog(0); err != nil {
		return err
	}
	timeouts := 0
	for range maxFillers {
		conn, err := net.DialTimeout("tcp", p.Address(), fillTimeout)
		if err == nil {
			timeouts = 0
			p.set(func() { p.fillers = append(p.fillers, conn) })
			continue
		}
		// One more, since a connection may have been taken from the backlog meanwhile.
		if timeouts++; timeouts == 2 {
			return nil
		}
	}
	return fmt.Errorf("faultproxy: isolate: %d connections don't fill the backlog", maxFillers)
}

// Reconnect ends Isolate; the data held back is delivered.
func (p *Proxy) Reconnect() error {
	last := false
	p.set(func() {
		p.isolated--
		last = p.isolated == 0
	})
	if !last {
		return nil
	}
	err := p.setBacklog(usualBacklog)
	p.set(func() {
		p.closeFillers()
		p.frozen = false
	})
	return err
}

// closeFillers is called with mu held.
func (p *Proxy) closeFillers() {
	for _, conn := range p.fillers {
		conn.Close()
	}
	p.fillers = nil
}

func (p *Proxy) setBacklog(n int) error {
	raw, err := p.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return fmt.Errorf("faultproxy: set backlog: %w", err)
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), n) }); err != nil {
		return fmt.Errorf("faultproxy: set backlog: %w", err)
	}
	if listenErr != nil {
		return fmt.Errorf("faultproxy: set backlog: %w", listenErr)
	}
	return nil
}

// awaitReconnect waits while the proxy is isolated.
func (p *Proxy) awaitReconnect() {
	for {
		p.mu.Lock()
		waits, changed := p.isolated > 0 && !p.closed, p.changed
		p.mu.Unlock()
		if !waits {
			return
		}
		<-changed
	}
}
