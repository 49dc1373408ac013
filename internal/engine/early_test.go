package engine

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"

	"skylarklead/internal/standin/halfway"
)

// Guards against a part of a service's answer without a length that is taken for the whole one, since the service resets
// the connection while the request is still written, and against a whole one that isn't taken when it ends in order then.
func TestEarlyServiceAnswers(t *testing.T) {
	const rounds, longBody = 60, 32 << 20
	server := halfway.StartFor(t)
	service := NewService("http://" + server.Address)
	request := ServiceRequest{Method: http.MethodPost, Path: "/", Body: bytes.Repeat([]byte("x"), longBody)}
	for ending, want := range map[halfway.Ending]int{halfway.ResetConnection: 0, halfway.HalfClosed: rounds} {
		server.SendEarly("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart", ending)
		whole := 0
		for range rounds {
			var body []byte
			resp, err := service.Call(testContext(t), request)
			if err == nil {
				body, err = io.ReadAll(resp.Body)
				resp.Body.Close()
			}
			if err == nil && string(body) == "part" {
				whole++
			} else if !errors.Is(err, ErrOutcomeUnknown) {
				t.Fatalf("%v: %q, %v; the service may have run it", ending, body, err)
			}
		}
		if whole != want {
			t.Errorf("%v: %d of %d taken for whole answers; want %d", ending, whole, rounds, want)
		}
	}
}
