package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"skylarklead/internal/config"
	api "skylarklead/internal/engine"
	"skylarklead/internal/platform"
	"skylarklead/internal/protocol"
	"skylarklead/internal/settings"
	"skylarklead/internal/wire"
)

// CtlResult is the exit code and output of a run of skylarkctl.
type CtlResult struct {
	Code           int
	Stdout, Stderr string
}

// Ctl runs skylarkctl with the cluster's platform and fleet key.
func (c *Cluster) Ctl(args ...string) CtlResult {
	c.t.Helper()
	cmd := exec.Command(BinaryPath(c.t, "skylarkctl"), args...)
	cmd.Env = append(os.Environ(),
		"SKYLARK_PLATFORM=http://"+c.Platform.Address,
		"SKYLARK_FLEET_KEY="+fleetKey,
	)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		c.t.Errorf("skylarkctl: %v", err)
	}
	return CtlResult{Code: cmd.ProcessState.ExitCode(), Stdout: out.String(), Stderr: errOut.String()}
}

// RecordFile writes records to a file for skylarkctl and returns its path.
func (c *Cluster) RecordFile(name string, records ...config.Record) string {
	c.t.Helper()
	data, err := json.Marshal(records)
	path := filepath.Join(c.dir, name)
	if err == nil {
		err = os.WriteFile(path, data, 0o600)
	}
	if err != nil {
		c.t.Fatal(err)
	}
	return path
}

// Status returns a daemon's status, or nil if it doesn't answer.
func (c *Cluster) Status(n *Node) *protocol.Status {
	c.t.Helper()
	var all []struct {
		Status *protocol.Status `json:"status"`
	}
	r := c.Ctl("status", "--address", n.Settings.Listen, "-o", "json")
	if json.Unmarshal([]byte(r.Stdout), &all) != nil || len(all) != 1 {
		return nil
	}
	return all[0].Status
}

// AwaitStatus waits until a daemon's status meets a condition.
func (c *Cluster) AwaitStatus(n *Node, what string, met func(*protocol.Status) bool) {
	c.t.Helper()
	Await(c.t, n.ID+" "+what, func() bool {
		s := c.Status(n)
		return s != nil && met(s)
	})
}

// CutOffPlatform makes the platform unreachable for a daemon until ClearFaults.
func (n *Node) CutOffPlatform() {
	n.PlatformProxy.Refuse(true)
	n.PlatformProxy.ResetConnections()
}

// Supervise restarts a back end whenever its process has ended, as the platform
// does, until the returned function is called.
func (b *Backend) Supervise() (stop func()) {
	done, finished := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(finished)
		for {
			select {
			case <-done:
				return
			case <-b.Ended():
				b.Restart()
			}
		}
	}()
	return func() {
		close(done)
		<-finished
	}
}

// Replace starts a second daemon with the same identity and back end as n, as a
// platform does that falsely considers the first one dead.
func (c *Cluster) Replace(n *Node) *Node {
	c.t.Helper()
	s := *n.Settings
	s.Listen = freeAddress(c.t, c.host)
	if n.Settings.Endpoint != nil {
		endpoint := *n.Settings.Endpoint
		s.Endpoint = &endpoint
	}
	twin := &Node{ID: n.ID, Settings: &s, Backend: n.Backend}
	if twin.Backend != nil {
		twin.BackendProxy = c.Proxy(twin.Backend.Address)
		s.Endpoint.Backend = "http://" + twin.BackendProxy.Address()
	}
	c.startNode(twin)
	c.AwaitUp(twin)
	return twin
}

// EngineState returns what an engine reports as loaded.
func (c *Cluster) EngineState(b *Backend) api.State { return get[api.State](c, b, "/v1/orders") }

// LogRecords returns the first page of the records that a stream of the platform's
// log retains.
func (c *Cluster) LogRecords(stream string) []platform.Record {
	c.t.Helper()
	log := platform.NewLog("http://" + c.Platform.Address)
	defer log.Close()
	from := uint64(1)
	for {
		page, err := log.Read(context.Background(), stream, from, platform.MaxPageRecords, 0)
		var retained *platform.OffsetExpiredError
		if errors.As(err, &retained) {
			from = retained.Oldest
			continue
		}
		if err != nil {
			c.t.Fatal(err)
		}
		return page.Records
	}
}

// UnusedAddress returns an address on the same host as address that nothing listens
// on.
func UnusedAddress(t testing.TB, address string) string {
	t.Helper()
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	return freeAddress(t, host)
}

// AddInstance adds an instance to the platform's list, visible at once.
func (c *Cluster) AddInstance(i platform.Instance) {
	c.t.Helper()
	url := "http://" + c.Platform.Address + "/control/instances/" + i.ID + "?now=1"
	if err := request(http.MethodPut, url, i, nil); err != nil {
		c.t.Fatal(err)
	}
}

// BootstrapFile returns the path of the exported state that daemons read if
// Options.Settings is WithBootstrap of the same directory.
func BootstrapFile(dir string) string { return filepath.Join(dir, "state.bootstrap") }

// WithBootstrap returns a function for Options.Settings that sets the bootstrap file
// to that in dir.
func WithBootstrap(dir string) func(*settings.Settings) {
	return func(s *settings.Settings) { s.Bootstrap.File = BootstrapFile(dir) }
}

// Dial opens a session to a daemon in the role of an entry.
func (c *Cluster) Dial(n *Node) *Peer {
	c.t.Helper()
	p := &Peer{ends: make(chan *protocol.End, 1)}
	s, err := wire.Dial(context.Background(), n.Settings.Listen, wire.Options{
		Key:     fleetKeyBytes(),
		Self:    func() protocol.Identity { return protocol.Identity{ID: "test", Role: protocol.RoleEntry, Epoch: 1} },
		Handler: p,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	p.Session = s
	c.t.Cleanup(func() { s.Close(wire.ErrClosed) })
	return p
}

func fleetKeyBytes() []byte {
	s := settings.Settings{FleetKey: fleetKey}
	return s.Key()
}

// Peer is a session of the test itself to a daemon. It supports one Run at a time.
type Peer struct {
	*wire.Session
	ends chan *protocol.End
}

// Handle implements wire.Handler.
func (p *Peer) Handle(_ *wire.Session, _ uint32, m protocol.Message) {
	if end, ok := m.(*protocol.End); ok {
		p.ends <- end
	}
}

// Closed implements wire.Handler.
func (p *Peer) Closed(*wire.Session, error) { close(p.ends) }

// Run sends a Run and waits for its End. It returns nil if the session ends before.
func (p *Peer) Run(run *protocol.Run) *protocol.End {
	if p.Send(run) != nil {
		return nil
	}
	return <-p.ends
}
