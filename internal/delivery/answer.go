package delivery

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// ResetIncomplete makes a server reset the connections of HTTP/1.0 callers unless their answers are whole. Such an answer
// may be ended by nothing but the end of its connection; if that is orderly, its caller takes a part for the
// whole. The server must listen on a Listener, and have its handler set.
func ResetIncomplete(server *http.Server) {
	next := server.Handler
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if t, ok := c.(interface{ NetConn() net.Conn }); ok {
			c = t.NetConn() // under TLS
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok || r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		c.beginAnswer()
		defer c.abandonAnswer()
		next.ServeHTTP(w, r)
		c.answered.Store(true)
	})
}

// beginAnswer makes any end of the connection a reset, also one by the kernel when the process is killed.
func (c *conn) beginAnswer() {
	c.answered.Store(false)
	_ = c.SetLinger(0) // an error means that the connection has ended
}

// abandonAnswer resets the connection if the handler of its request panicked.
func (c *conn) abandonAnswer() {
	if !c.answered.Load() {
		c.Close()
	}
}

// beginWrite is called before each write. After a write that failed nothing must follow.
func (c *conn) beginWrite() error {
	if c.closed.Load() || c.discards.Load() && c.unwritten.Load() {
		return net.ErrClosed
	}
	c.unwritten.Store(true)
	return nil
}

// endWrite is called after each write.
func (c *conn) endWrite(err error) {
	if err == nil {
		c.unwritten.Store(false)
	}
}
