package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"skylarklead/internal/standin/halfway"
	"skylarklead/internal/upstream"
)

// forms returns an answer to the request "1" in each form, also after an answer to another request.
func forms() []halfway.Form {
	forms := halfway.Forms(200, "Id: 1\r\nSeal: abc\r\n", "the whole body")
	for _, f := range forms {
		stray := answer("other", "stray")
		f.Name, f.Bytes = "after a stray answer: "+f.Name, stray+f.Bytes
		if f.HeadEnd > 0 {
			f.HeadEnd += len(stray)
		}
		forms = append(forms, f)
	}
	return forms
}

// Guards against a part of an answer that is taken for the whole one, and against one that is taken for bytes
// which are no answer.
func TestAnswersThatStopHalfway(t *testing.T) {
	server := halfway.StartFor(t)
	r := upstream.Replica{ID: "r", Address: server.Address}
	for _, form := range forms() {
		for _, ending := range halfway.Endings {
			t.Run(fmt.Sprint(form.Name, "/", ending), func(t *testing.T) {
				pool := upstream.NewPool()
				for n := range len(form.Bytes) + 1 {
					server.Send(form.Bytes[:n], ending)
					body, err := do(t, pool, r, "1")
					want, whole := form.WholeAt(n, ending)
					switch {
					case whole && ending == halfway.Closed && (err != nil || body != want):
						t.Errorf("whole after %d bytes: %q, %v", n, body, err)
					case err == nil && (!whole || body != want):
						t.Errorf("stopped after %d bytes, %q: taken for the answer %q", n, form.Bytes[:n], body)
					case err != nil && !form.Faulty && errors.Is(err, upstream.ErrMalformed):
						t.Errorf("stopped after %d bytes, %q: %v; the connection was lost", n, form.Bytes[:n], err)
					}
				}
				pool.Close()
				if open := pool.Stats().Open; open != 0 {
					t.Errorf("%d connections left open", open)
				}
			})
		}
	}
}

// Guards against a request that waits until its deadline though its answer has begun in a way that no answer can: with a status
// that is taken for an informational one, or with a head that doesn't end.
func TestFaultyHeadsAreMalformedAtOnce(t *testing.T) {
	for _, sent := range []string{
		"HTTP/1.1 000 None\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 001 None\r\n",
		"HTTP/1.1 099 None\r\n",
		"HTTP/1.1 600 None\r\n",
		"HTTP/1.1 999 None\r\n",
		"HTTP/1.1 20 OK\r\n",
		"HTTP/1.1 +20 OK\r\n",
		"HTTP/1.1 200OK\r\n",
		"HTTP/1.1\r\n",
		"HTTP/1.1 200 OK\r\nA B: c\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n",
		"HTTP/1.1 103 Early Hints\r\nA B: c\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
		"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", 6<<10) + "\r\nA B: c\r\n",
		"no answer",
		"\r\nHTTP/1.1 200 OK\r\n",
	} {
		r := replica(t, func(_ int, c net.Conn, in *bufio.Reader) {
			readRequest(in)
			io.WriteString(c, sent)
			readRequest(in) // until the caller has left
		})
		pool := upstream.NewPool()
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		_, err := pool.Do(ctx, r, 0, request("1", 1), matchesID("1"))
		if !errors.Is(err, upstream.ErrMalformed) {
			t.Errorf("%.60q: %v", sent, err)
		}
		cancel()
		pool.Close()
	}
}

// Guards against a head longer than the connection's buffer that isn't checked, or whose answer isn't taken.
func TestLongHeads(t *testing.T) {
	server := halfway.StartFor(t)
	r := upstream.Replica{ID: "r", Address: server.Address}
	pool := upstream.NewPool()
	defer pool.Close()
	header := "Id: 1\r\nX-Long: " + strings.Repeat("x", 6<<10) + "\r\n"
	for _, form := range halfway.Forms(200, header, "the whole body") {
		server.Send(form.Bytes, halfway.Closed)
		body, err := do(t, pool, r, "1")
		if (err != nil) != form.Faulty || err == nil && body != form.Body {
			t.Errorf("%s: %q, %v", form.Name, body, err)
		}
	}
}
