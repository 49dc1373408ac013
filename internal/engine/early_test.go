package engine

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"

	"skylarklead/internal/standin/halfway"
	"skylarklead/test/kit"
)

// Guards against a part of a service's answer without a length that is taken for the whole one, since the service resets
// the connection while the request is still written.
func TestEarlyServiceAnswerThatIsReset(t *testing.T) {
	const rounds, longBody = 60, 32 << 20
	server := kit.Must(halfway.Start())(t)
	defer server.Close()
	server.SendEarly("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart", halfway.ResetConnection)
	service := NewService("http://" + server.Address)
	request := ServiceRequest{Method: http.MethodPost, Path: "/", Body: bytes.Repeat([]byte("x"), longBody)}
	taken := 0
	for range rounds {
		resp, err := service.Call(testContext(t), request)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		if err == nil {
			taken++
		} else if !errors.Is(err, ErrOutcomeUnknown) {
			t.Fatalf("%v; the service may have run it", err)
		}
	}
	if taken > 0 {
		t.Errorf("%d of %d parts taken for whole answers", taken, rounds)
	}
}
