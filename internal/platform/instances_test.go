package platform_test

import (
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"

	"skylarklead/internal/platform"
	standin "skylarklead/internal/standin/platform"
	"skylarklead/test/kit"
)

// countingWriter counts the bytes of a server's response bodies.
type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (c countingWriter) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.ResponseWriter.Write(p)
}

// Guards against transferring an unchanged instance list on every poll: with a thousand
// instances and a poll every two seconds that exceeds the whole budget of a daemon's
// control traffic.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	list := []platform.Instance{
		{ID: "a", Role: platform.RoleEndpoint, Address: "127.0.0.1:1", Group: "g", State: platform.StateLive},
		{ID: "b", Role: platform.RoleEndpoint, Address: "127.0.0.1:2", Group: "g", State: platform.StateLive},
	}
	for _, tagged := range []bool{true, false} {
		var sent atomic.Int64
		stand := standin.New(standin.Options{Instances: list})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !tagged {
				r.Header.Del("If-None-Match")
			}
			stand.ServeHTTP(countingWriter{w, &sent}, r)
		}))
		t.Cleanup(server.Close)
		client := platform.NewInstances(server.URL)
		t.Cleanup(client.Close)
		read := func(want []platform.Instance) int64 {
			before := sent.Load()
			got, err := client.List(t.Context())
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Fatalf("tagged %v: list %v, %v, want %v", tagged, got, err, want)
			}
			got[0].ID = "changed by the caller"
			return sent.Load() - before
		}
		first := read(list)
		if again := read(list); tagged && again != 0 || !tagged && again != first {
			t.Errorf("tagged %v: %d bytes, then %d for the same list", tagged, first, again)
		}
		put(t, server.URL+"/control/instances/b?now=1", `{"role":"endpoint","address":"127.0.0.1:3","group":"g","state":"leaving"}`)
		changed := []platform.Instance{list[0], {ID: "b", Role: platform.RoleEndpoint, Address: "127.0.0.1:3", Group: "g", State: platform.StateLeaving}}
		if read(changed) == 0 {
			t.Errorf("tagged %v: the changed list was not sent", tagged)
		}
	}
}

func put(t *testing.T, url, body string) {
	t.Helper()
	req := kit.Must(http.NewRequestWithContext(t.Context(), http.MethodPut, url, strings.NewReader(body)))(t)
	resp, err := http.DefaultClient.Do(req)
	if err != nil || resp.StatusCode != http.StatusNoContent {
		t.Fatalf("put %s: %v %v", url, resp, err)
	}
	resp.Body.Close()
}
