package delivery

import (
	"bytes"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"
)

// testTimeout is when a caller of these tests gives up.
const testTimeout = 10 * time.Second

// part is the part of an answer that its caller surely gets.
const part = "data: part\n\n"

// serve serves a handler as the roles do.
func serve(t *testing.T, secure bool, h http.HandlerFunc) *httptest.Server {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	s.Listener = NewListener(s.Listener, DefaultLimit)
	ResetIncomplete(s.Config)
	s.EnableHTTP2 = false
	if secure {
		s.StartTLS()
	} else {
		s.Start()
	}
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

// dial connects a caller that reads little ahead.
func dial(t *testing.T, s *httptest.Server, secure bool) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	if secure {
		c = tls.Client(c, &tls.Config{RootCAs: s.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs, ServerName: "example.com"})
	}
	return c
}

// expire makes each later write of an answer fail, as if its caller had read nothing until the deadline.
func expire(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
}

// Guards against a part of an answer that an HTTP/1.0 caller takes for all of it, since its connection ends in order: when a
// write fails, which closes the connection, when a flush fails, which doesn't, when the server's own last flush fails, when the
// handler panics, when the server is closed, and when the process is killed.
func TestAPartOfAnHTTP10AnswerEndsInAReset(t *testing.T) {
	for name, end := range map[string]func(*httptest.Server, http.ResponseWriter, *http.Request){
		"a write fails": func(_ *httptest.Server, w http.ResponseWriter, _ *http.Request) {
			expire(w)
			if _, err := w.Write(answer); err == nil {
				t.Error("the write succeeded")
			}
		},
		"a write fails, then a panic": func(_ *httptest.Server, w http.ResponseWriter, _ *http.Request) {
			expire(w)
			_, _ = w.Write(answer)
			panic(http.ErrAbortHandler)
		},
		"a flush fails": func(_ *httptest.Server, w http.ResponseWriter, _ *http.Request) {
			expire(w)
			_, _ = io.WriteString(w, part)
			if err := http.NewResponseController(w).Flush(); err == nil {
				t.Error("the flush succeeded")
			}
		},
		"the last flush fails": func(_ *httptest.Server, w http.ResponseWriter, _ *http.Request) {
			expire(w)
			_, _ = io.WriteString(w, part)
		},
		"a panic": func(*httptest.Server, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"a panic after an unflushed write": func(_ *httptest.Server, w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, part)
			panic(http.ErrAbortHandler)
		},
		"closed server": func(s *httptest.Server, _ http.ResponseWriter, r *http.Request) {
			_ = s.Config.Close()
			<-r.Context().Done()
		},
		"killed process": func(_ *httptest.Server, _ http.ResponseWriter, r *http.Request) {
			// The kernel closes the socket without the server.
			_ = r.Context().Value(connKey{}).(*conn).TCPConn.Close()
		},
	} {
		for _, secure := range []bool{false, true} {
			if secure && name == "closed server" {
				continue // crypto/tls announces the end of its own accord; no server with TLS is closed while it serves
			}
			t.Run(fmt.Sprintf("%s/TLS %v", name, secure), func(t *testing.T) {
				var s *httptest.Server
				s = serve(t, secure, func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.WriteString(w, part)
					_ = http.NewResponseController(w).Flush()
					end(s, w, r)
				})
				c := dial(t, s, secure)
				if _, err := io.WriteString(c, "GET / HTTP/1.0\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
				if got, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) || !strings.HasSuffix(string(got), "\r\n\r\n"+part) {
					t.Errorf("got %q, then %v; want the part and a reset", got, err)
				}
			})
		}
	}
}

// Guards against a whole answer that looks broken to an HTTP/1.0 caller, or loses its end: to a caller that reads late, and to
// one that keeps its connection.
func TestAWholeHTTP10AnswerEndsInOrder(t *testing.T) {
	for _, secure := range []bool{false, true} {
		t.Run(fmt.Sprintf("TLS %v", secure), func(t *testing.T) {
			returned := make(chan struct{}, 1)
			s := serve(t, secure, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/kept" {
					_, _ = io.WriteString(w, part) // gets a length from the server
					return
				}
				_, _ = w.Write(answer)
				returned <- struct{}{}
			})
			c := dial(t, s, secure)
			if _, err := io.WriteString(c, "GET /kept HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			if !secure { // a TLS client must read to write
				<-returned
			}
			got, err := io.ReadAll(c)
			if err != nil || !bytes.HasSuffix(got, append([]byte("\r\n\r\n"), answer...)) || !bytes.Contains(got, []byte("\r\n\r\n"+part+"HTTP/1.0 200 OK")) {
				t.Errorf("%d bytes, %v; want two whole answers", len(got), err)
			}
		})
	}
}
