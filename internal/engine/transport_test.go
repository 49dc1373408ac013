package engine

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"skylarklead/internal/prefix"
	"skylarklead/test/kit"
)

const testDeadline = 10 * time.Second

// disconnectingServer answers the path /warm and closes the connection of any other request once it
// has read it completely. It counts those.
type disconnectingServer struct {
	base    string
	dropped atomic.Int64
}

func newDisconnectingServer(t *testing.T) *disconnectingServer {
	t.Helper()
	listener := kit.Must(net.Listen("tcp", "127.0.0.1:0"))(t)
	t.Cleanup(func() { listener.Close() })
	s := &disconnectingServer{base: "http://" + listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *disconnectingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if req.URL.Path != "/warm" {
			s.dropped.Add(1)
			return
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a payment that runs twice under one key: a connection is kept from an earlier call,
// and the service reads the payment and crashes before it answers. net/http would resend a request
// with an Idempotency-Key when a kept connection is lost.
func TestLostCallIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodPut} {
		server := newDisconnectingServer(t)
		client := NewService(server.base)
		warm, err := client.Call(testContext(t), ServiceRequest{Method: http.MethodGet, Path: "/warm"})
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, warm.Body)
		warm.Body.Close()
		_, err = client.Call(testContext(t), ServiceRequest{
			ID: "r", Key: "k", Method: method, Path: "/pay", Body: []byte(`{"amount":1}`),
		})
		if !errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrNotRun) {
			t.Errorf("%s: got error %v, want only ErrOutcomeUnknown", method, err)
		}
		if n := server.dropped.Load(); n != 1 {
			t.Errorf("%s: sent %d times, want 1", method, n)
		}
	}
}

// Guards against a prompt that runs twice, or is reported as not run, because the engine reads it and
// crashes before it answers. The outcome of a request that was sent is unknown.
func TestLostCompletionIsUnknown(t *testing.T) {
	server := newDisconnectingServer(t)
	client := NewClient(server.base)
	defer client.Close()
	_, err := client.Complete(testContext(t), Request{ID: "r", Messages: []prefix.Message{{Role: "user", Content: "q"}}})
	if !errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrNotRun) {
		t.Errorf("completion: got error %v, want only ErrOutcomeUnknown", err)
	}
	_, err = client.SendOrder(testContext(t), Order{Fence: 1, Op: OpSetRole})
	if !errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrNotRun) {
		t.Errorf("order: got error %v, want only ErrOutcomeUnknown", err)
	}
	if n := server.dropped.Load(); n != 2 {
		t.Errorf("sent %d times, want 2", n)
	}
}

// Guards against an unknown outcome for a request that can't have run: nobody listens at the address,
// or the caller has already disconnected. Without a connection nothing was sent.
func TestNothingSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	base := "http://" + listener.Addr().String()
	listener.Close()
	_, err = NewService(base).Call(testContext(t), ServiceRequest{Method: http.MethodPost, Path: "/"})
	if !errors.Is(err, ErrNotRun) || errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("refused dial: got error %v, want only ErrNotRun", err)
	}
	server := newDisconnectingServer(t)
	ctx, cancel := context.WithCancel(testContext(t))
	cancel()
	_, err = NewService(server.base).Call(ctx, ServiceRequest{Method: http.MethodPost, Path: "/pay"})
	if !errors.Is(err, ErrNotRun) || !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled: got error %v, want ErrNotRun and context.Canceled", err)
	}
	if n := server.dropped.Load(); n != 0 {
		t.Errorf("sent %d times, want 0", n)
	}
}

func TestRefusalsByStatus(t *testing.T) {
	cases := []struct {
		status int
		body   string
		want   []error
		not    []error
	}{
		{400, `{"error":{"code":"bad_request"}}`, []error{ErrNotRun}, []error{ErrOutcomeUnknown, ErrLoading}},
		{503, `{"error":{"code":"loading"}}`, []error{ErrNotRun, ErrLoading}, []error{ErrOutcomeUnknown}},
		{503, `not JSON`, []error{ErrNotRun}, []error{ErrOutcomeUnknown, ErrLoading}},
		{500, `{}`, []error{ErrOutcomeUnknown}, []error{ErrNotRun}},
		{502, ``, []error{ErrOutcomeUnknown}, []error{ErrNotRun}},
		{307, ``, []error{ErrOutcomeUnknown}, []error{ErrNotRun}},
	}
	for _, c := range cases {
		base := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Location", "/elsewhere")
			w.Header().Set("Retry-After", "3")
			w.WriteHeader(c.status)
			io.WriteString(w, c.body)
		})
		_, err := NewClient(base).Complete(testContext(t), Request{ID: "r"})
		for _, want := range c.want {
			if !errors.Is(err, want) {
				t.Errorf("%d %s: %v isn't %v", c.status, c.body, err, want)
			}
		}
		for _, not := range c.not {
			if errors.Is(err, not) {
				t.Errorf("%d %s: %v is %v", c.status, c.body, err, not)
			}
		}
		var refused *RefusedError
		if errors.As(err, &refused) && refused.RetryAfter != 3*time.Second {
			t.Errorf("%d: Retry-After %v, want 3s", c.status, refused.RetryAfter)
		}
	}
}
