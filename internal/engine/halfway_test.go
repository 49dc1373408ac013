package engine

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"

	"skylarklead/internal/standin/halfway"
	"skylarklead/test/kit"
)

// eachPart calls fn for each part of each form of an answer, closed and reset.
func eachPart(t *testing.T, header, body string, fn func(t *testing.T, base, where, want string, whole, complete bool)) {
	t.Helper()
	server := kit.Must(halfway.Start())(t)
	t.Cleanup(server.Close)
	for _, form := range halfway.Forms(http.StatusOK, header, body) {
		for _, ending := range halfway.Endings {
			t.Run(fmt.Sprint(form.Name, "/", ending), func(t *testing.T) {
				for n := range len(form.Bytes) + 1 {
					server.Send(form.Bytes[:n], ending)
					want, whole := form.WholeAt(n, ending)
					where := fmt.Sprintf("stopped after %d bytes, %q", n, form.Bytes[:n])
					fn(t, "http://"+server.Address, where, want, whole, whole && ending == halfway.Closed)
				}
			})
		}
	}
}

// Guards against a part of a service's answer that is taken for the whole one.
func TestServiceAnswersThatStopHalfway(t *testing.T) {
	eachPart(t, "Content-Type: text/plain\r\n", "the whole body", func(t *testing.T, base, where, want string, whole, complete bool) {
		var body []byte
		resp, err := NewService(base).Call(testContext(t), ServiceRequest{Method: http.MethodPost, Path: "/", Body: []byte("x")})
		if err == nil {
			body, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		switch {
		case complete && (err != nil || string(body) != want):
			t.Errorf("%s: %q, %v; want the whole answer %q", where, body, err, want)
		case err == nil && (!whole || string(body) != want):
			t.Errorf("%s: taken for the answer %d %q", where, resp.Status, body)
		case err != nil && !errors.Is(err, ErrOutcomeUnknown):
			t.Errorf("%s: %v; the service may have run it", where, err)
		}
	})
}
