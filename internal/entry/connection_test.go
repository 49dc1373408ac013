package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"skylarklead/test/kit"
)

// Guards against callers whose connection ends without the answer that they should get, or who wait for a refusal until they
// have sent a body that nobody needs.
func TestWhatEndsACallersConnection(t *testing.T) {
	head := func(path, key, lines string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer %s\r\n%s\r\n", path, key, lines)
	}
	const pending = "Content-Length: 1000\r\n"
	for name, c := range map[string]struct {
		sent       string
		halfClosed bool
		// want is a part of the body.
		status int
		want   string
	}{
		"no such path, no body":       {head("/v2", testKey, pending), false, 404, "no such path"},
		"unknown key, no body":        {head(chatPath, "nope", pending), false, 401, "unknown API key"},
		"unknown key, no chunks":      {head(chatPath, "nope", "Transfer-Encoding: chunked\r\n"), false, 401, "unknown API key"},
		"unknown service, no body":    {head("/v1/services/foreign/a", testKey, pending), false, 404, ""},
		"no body in time":             {head(chatPath, testKey, pending) + "{", false, 400, "cut off after 1 bytes"},
		"half-closed within the body": {head(chatPath, testKey, pending) + "{", true, 400, "cut off after 1 bytes"},
		"head too long":               {head(chatPath, testKey, "X-Long: "+strings.Repeat("x", 2*maxHeaderBytes)+"\r\n"), false, 431, ""},
		"half-closed after the body":  {head(chatPath, testKey, fmt.Sprintf("Content-Length: %d\r\n", len(plainBody))) + plainBody, true, 499, "the caller disconnected"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, caller := newTestEntry(t, "llm", newExecutor(t, "ep-1", script{}))
			e.timeouts.body = time.Second
			conn := kit.Must(net.Dial("tcp", caller.serveAsProcess(e)))(t)
			t.Cleanup(func() { conn.Close() })
			_ = conn.SetDeadline(time.Now().Add(kit.Timeout))
			_, _ = io.WriteString(conn, c.sent) // the entry may answer before it has all
			if c.halfClosed {
				_ = conn.(*net.TCPConn).CloseWrite()
			}
			began := time.Now()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("after %v: %v; want %d", time.Since(began), err, c.status)
			}
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode != c.status || !strings.Contains(string(body), c.want) || err != nil {
				t.Errorf("after %v: %d %q, %v; want %d", time.Since(began), resp.StatusCode, body, err, c.status)
			}
			t.Logf("%d after %v", resp.StatusCode, time.Since(began))
		})
	}
}
