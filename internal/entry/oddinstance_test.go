package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// Guards against requests that fail, or a process that ends, because the instance list has an endpoint whose port is out of range.
func TestEndpointWithAPortOutOfRange(t *testing.T) {
	sound := newExecutor(t, "ep-1", answersAll)
	for _, port := range []string{"65536", "-1", "http", strings.Repeat("9", 400)} {
		_, caller := newTestEntry(t, "llm", sound, &executor{id: "ep-odd", address: "127.0.0.1:" + port})
		for i := range 10 {
			body := strings.Replace(streamBody, "hi", fmt.Sprint("hi ", i), 1) // has another owner
			resp := caller.chat(body)
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				t.Errorf("port %.20s: status %d", port, resp.StatusCode)
			}
		}
	}
}
