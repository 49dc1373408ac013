package direct

import (
	"net"
	"net/http"
	"sync"
)

// unusedConns knows the callers' connections on which no request has come. http.Server.Shutdown closes the port at
// once, and waits for the first requests of these connections only to drop them. The zero value knows none.
type unusedConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// closed is set once those that are known were closed.
	closed bool
}

// track is the server's ConnState.
func (u *unusedConns) track(c net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case state != http.StateNew:
		delete(u.conns, c)
	case u.closed:
		c.Close()
	case u.conns == nil:
		u.conns = map[net.Conn]struct{}{c: {}}
	default:
		u.conns[c] = struct{}{}
	}
}

// closeAll closes the connections. The server must be in Shutdown: it drops a request that it has just read.
func (u *unusedConns) closeAll() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	for c := range u.conns {
		c.Close()
	}
}
