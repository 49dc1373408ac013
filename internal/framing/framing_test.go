package framing

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"
	"testing/iotest"

	"skylarklead/internal/standin/halfway"
)

// old is the head of an answer whose chunks net/http doesn't read.
const old = "HTTP/1.0 200 OK\r\nA: b\r\nTransfer-encoding : chunked\r\n\r\n"

// Guards against a body that consists of chunks, whatever answers and requests go before it, and however its bytes arrive.
func TestScannerFindsFaultyHeads(t *testing.T) {
	const informational, whole = "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
	for name, c := range map[string]struct {
		// answers are read after a request each.
		answers []string
		faulty  bool
	}{
		"old with a coding":        {[]string{old}, true},
		"bare line feeds":          {[]string{strings.ReplaceAll(old, "\r", "")}, true},
		"after informational ones": {[]string{informational + informational + old}, true},
		"the second answer":        {[]string{whole + "body", old}, true},
		"old without a coding":     {[]string{"HTTP/1.0 200 OK\r\nX: Transfer-Encoding: chunked\r\n\r\n"}, false},
		"chunks":                   {[]string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"}, false},
		"in a body":                {[]string{whole + "\r\n" + old}, false},
		"after 101":                {[]string{"HTTP/1.1 101 Switching Protocols\r\n\r\n" + old}, false},
		"no head":                  {[]string{"junk\r\n" + old}, false},
	} {
		for _, step := range []int{1, 2, 7, 1 << 10} {
			var s scanner
			var err error
			for _, answer := range c.answers {
				s.requestBegins()
				for len(answer) > 0 && err == nil {
					n := min(step, len(answer))
					err = s.read([]byte(answer[:n]))
					answer = answer[n:]
				}
			}
			if errors.Is(err, ErrFaulty) != c.faulty {
				t.Errorf("%s, %d bytes at a time: %v", name, step, err)
			}
		}
	}
}

// Guards against an answer that fails, or a head that isn't checked, since the answer begins before its request is written.
func TestTransportOfAnAnswerBeforeTheRequestIsWritten(t *testing.T) {
	const body = "HTTP/1.0 200 OK\nTransfer-Encoding: x\nno field\n"
	server := halfway.StartFor(t)
	client := &http.Client{Transport: Transport(&http.Transport{})}
	defer client.CloseIdleConnections()
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*len(body))
	for range earlyRounds {
		server.SendEarlyInParts(halfway.Closed, "HTTP/1.1 200 OK\r\n", length, body, body)
		if got, err := postEarly(client, server.Address); err != nil || got != body+body {
			t.Fatalf("%q, %v", got, err)
		}
		server.SendEarlyInParts(halfway.Closed, "HTTP/1.1 200 OK\r\nA", " : b\r\n"+length, body, body)
		if got, err := postEarly(client, server.Address); err == nil {
			t.Fatalf("a faulty head: %q, %v", got, err)
		}
	}
}

// Guards against a line without an end that takes the memory of its reader.
func TestScannerDropsALineWithoutEnd(t *testing.T) {
	var s scanner
	s.requestBegins()
	for range 2 * maxLine >> 10 {
		if err := s.read(bytes.Repeat([]byte("x"), 1<<10)); err != nil {
			t.Fatal(err)
		}
	}
	if !s.past {
		t.Error("still reads a head")
	}
}

// Guards against a head that is read beyond its end, or not to it.
func TestReadHeadEndsAtTheEmptyLine(t *testing.T) {
	const rest = "body\r\n\r\n"
	whole := strings.Replace(old, "Transfer-encoding ", "A-name-longer-than-the-buffer", 1)
	r := bufio.NewReaderSize(iotest.OneByteReader(strings.NewReader(whole+rest)), 16)
	head, err := ReadHead(r)
	left, _ := io.ReadAll(r)
	if string(head) != whole || string(left) != rest || err != nil {
		t.Errorf("head %q, then %q, %v", head, left, err)
	}
	if head, err := ReadHead(bufio.NewReader(strings.NewReader(old[:9]))); string(head) != old[:9] || err != io.EOF {
		t.Errorf("a part: %q, %v", head, err)
	}
}

// Guards against a transport that passes faulty answers on, or fails those that are sound.
func TestTransport(t *testing.T) {
	server := halfway.StartFor(t)
	client := &http.Client{Transport: Transport(&http.Transport{})}
	defer client.CloseIdleConnections()
	for _, form := range halfway.Forms(http.StatusOK, "", "the body") {
		server.Send(form.Bytes, halfway.Closed)
		resp, err := client.Get("http://" + server.Address)
		body := ""
		if err == nil {
			b, readErr := io.ReadAll(resp.Body)
			resp.Body.Close()
			body, err = string(b), readErr
		}
		sound := !form.Faulty || form.Name == "switched protocol" // which the users of the transport reject
		if (err == nil) != sound || sound && body != "the body" {
			t.Errorf("%s: %q, %v", form.Name, body, err)
		}
	}
}

// Guards against connections that aren't reused because their answers are checked.
func TestTransportKeepsConnections(t *testing.T) {
	remotes := map[string]bool{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		remotes[r.RemoteAddr] = true
		b, _ := io.ReadAll(r.Body)
		_, _ = w.Write(b)
	}))
	defer server.Close()
	client := &http.Client{Transport: Transport(&http.Transport{})}
	defer client.CloseIdleConnections()
	for range 3 {
		sent := strings.Repeat(old, 1<<12)
		resp, err := client.Post(server.URL, "text/plain", strings.NewReader(sent))
		if err != nil {
			t.Fatal(err)
		}
		if b, err := io.ReadAll(resp.Body); err != nil || string(b) != sent {
			t.Errorf("%d of %d bytes, %v", len(b), len(sent), err)
		}
		resp.Body.Close()
	}
	if len(remotes) != 1 {
		t.Errorf("%d connections", len(remotes))
	}
}

// Guards against an answer that isn't checked because another one came on its connection before.
func TestTransportChecksEachAnswerOfAConnection(t *testing.T) {
	server := halfway.StartFor(t)
	client := &http.Client{Transport: Transport(&http.Transport{})}
	defer client.CloseIdleConnections()
	for i, begin := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nA B: c\r\n"} {
		server.SendElse(func(*http.Request) string { return begin + "Content-Length: 4\r\n\r\nbody" })
		reused := false
		trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }}
		req, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodPost, "http://"+server.Address, strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := client.Do(req)
		if reused != (i > 0) {
			t.Fatalf("answer %d: connection reused %v", i, reused)
		}
		if faulty := i == 2; faulty != errors.Is(err, ErrFaulty) {
			t.Errorf("answer %d: %v", i, err)
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
}
