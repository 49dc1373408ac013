package halfway

import (
	"io"
	"net"
	"sync/atomic"
)

// Relay forwards connections to a server. Of what the server sends on the first one it forwards only a part, and then
// ends that connection.
type Relay struct {
	// Address is "ip:port".
	Address  string
	listener net.Listener
	target   string
	after    int64
	ending   Ending
	begun    atomic.Bool
	cut      atomic.Bool
}

// StartRelay starts a relay to target, "ip:port", that ends its first connection after a number of bytes.
func StartRelay(target string, after int, ending Ending) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{Address: l.Addr().String(), listener: l, target: target, after: int64(after), ending: ending}
	go r.accept()
	return r, nil
}

// Close ends the relay, but not the connections that it has begun to forward.
func (r *Relay) Close() { _ = r.listener.Close() }

// Cut reports whether the server sent at least as much as was forwarded before the first connection was ended.
func (r *Relay) Cut() bool { return r.cut.Load() }

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(c.(*net.TCPConn), !r.begun.Swap(true))
	}
}

func (r *Relay) forward(client *net.TCPConn, first bool) {
	defer client.Close()
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer server.Close()
	go func() {
		_, _ = io.Copy(server, client)
		_ = server.(*net.TCPConn).CloseWrite()
	}()
	if !first {
		_, _ = io.Copy(client, server)
		return
	}
	if n, _ := io.CopyN(client, server, r.after); n == r.after {
		r.cut.Store(true)
		if r.ending == ResetConnection {
			_ = client.SetLinger(0)
		}
	}
}
