package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"skylarklead/internal/platform"
	"skylarklead/internal/standin/engine"
)

// getOK reports whether a GET of url returns status 200.
func getOK(url string) bool {
	resp, err := httpClient.Get(url)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// request sends in as JSON to a stand-in and decodes its answer into out, if that is
// not nil.
func request(method, url string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s: %s: %s", method, url, resp.Status, data)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}

// Control adds faults to those that a stand-in injects.
func (c *Cluster) Control(b *Backend, faults map[string]any) {
	c.t.Helper()
	if err := request(http.MethodPost, "http://"+b.Address+"/control", faults, nil); err != nil {
		c.t.Fatal(err)
	}
}

// Crash makes an engine drop its connections, requests and cache and restart empty
// within the same process. The reply is ignored: its connection is dropped too.
func (c *Cluster) Crash(b *Backend) {
	body := map[string]any{"crash": true, "crash_mode": "reset"}
	_ = request(http.MethodPost, "http://"+b.Address+"/control", body, nil)
}

// Account returns an engine's account of the requests and orders that it has run.
func (c *Cluster) Account(b *Backend) engine.Stats {
	return get[engine.Stats](c, b, "/control/account")
}

// get returns a stand-in's decoded answer to a GET of path.
func get[T any](c *Cluster, b *Backend, path string) (out T) {
	c.t.Helper()
	if err := request(http.MethodGet, "http://"+b.Address+path, nil, &out); err != nil {
		c.t.Fatal(err)
	}
	return out
}

// Register sets a daemon's entry in the platform's actual instance list. The list
// that processes see is Options.Lag behind, except before the daemon's first start.
func (c *Cluster) Register(n *Node, state string) {
	c.t.Helper()
	instance := platform.Instance{
		ID:            n.ID,
		Role:          n.Settings.Role,
		Address:       n.Settings.Advertise,
		FailureDomain: n.Settings.FailureDomain,
		State:         state,
	}
	if n.Settings.Endpoint != nil {
		instance.Group = n.Settings.Endpoint.Group
	}
	now := ""
	if n.Process == nil {
		now = "?now=1" // visible at once: the daemon hasn't been started yet
	}
	url := "http://" + c.Platform.Address + "/control/instances/" + n.ID + now
	if err := request(http.MethodPut, url, instance, nil); err != nil {
		c.t.Fatal(err)
	}
}
