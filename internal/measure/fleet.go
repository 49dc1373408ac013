package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"skylarklead/internal/platform"
	"skylarklead/internal/settings"
	"skylarklead/internal/standin/load"
)

// fleetKey is the fleet key, for measurements only.
const fleetKey = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

// weightsVersion is the version that the engines have loaded at the start.
const weightsVersion = "v1"

// FleetOptions configure how a deployment is run.
type FleetOptions struct {
	// Bin is the folder of the programs, Dir that of settings files and logs.
	Bin, Dir string
	Policy   string
	// Engine has settings of the stand-in engines, in the format of POST /control.
	Engine map[string]any
	// TransferTokensPerSecond is the setting of the endpoints of that name.
	TransferTokensPerSecond float64
	// Prepare, if set, is called after the workload's records are published and
	// before the first daemon is started.
	Prepare func(ctx context.Context, f *Fleet) error
	// Settings, if set, changes each daemon's settings before it is started.
	Settings func(*settings.Settings)
}

// node is a daemon and, if it is an endpoint, its back end.
type node struct {
	id      string
	daemon  *process
	backend *process
	// address is the address of the back end, metricsURL the base URL of the
	// daemon's metrics page.
	address, metricsURL string
	settings            *settings.Settings
}

// Fleet is a running deployment.
type Fleet struct {
	deployment  Deployment
	options     FleetOptions
	platform    *process
	platformURL string
	latency     *latencyProxies
	listURLs    map[string]string
	Engines     []*node
	Services    []*node
	Entries     []*node
	processes   []*process
}

// StartFleet starts a deployment with the records of a workload, and waits until
// it is ready to serve.
func StartFleet(ctx context.Context, d Deployment, w load.Workload, o FleetOptions) (*Fleet, error) {
	f := &Fleet{deployment: d, options: o, listURLs: map[string]string{}}
	if err := f.startAll(ctx, w); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startAll(ctx context.Context, w load.Workload) error {
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	if err := f.publish(ctx, w); err != nil {
		return err
	}
	if f.options.Prepare != nil {
		if err := f.options.Prepare(ctx, f); err != nil {
			return err
		}
	}
	for i := range f.deployment.Engines {
		n, err := f.startEndpoint("engine", f.deployment.Group, i)
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, n)
	}
	for i := range f.deployment.Services {
		n, err := f.startEndpoint("service", f.deployment.ServiceGroup, i)
		if err != nil {
			return err
		}
		f.Services = append(f.Services, n)
	}
	for i := range f.deployment.Entries {
		n, err := f.startEntry(i)
		if err != nil {
			return err
		}
		f.Entries = append(f.Entries, n)
	}
	return f.awaitReady(ctx)
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	address, err := freeAddresses.next()
	if err != nil {
		return err
	}
	f.platform, err = f.startProcess("skylark-standin", "platform", "platform", "--listen", address, "--lag", "0s",
		"--weights-bound", strconv.Itoa(f.deployment.ConcurrentLoads))
	if err != nil {
		return err
	}
	f.platformURL = "http://" + address
	if err := waitUntil(ctx, "the platform", func() bool { return isListening(address) }); err != nil {
		return err
	}
	f.latency = newLatencyProxies(f.platformURL, f.deployment.DomainLatency)
	for _, domain := range f.deployment.Domains {
		if f.listURLs[domain], err = f.latency.serveView(domain); err != nil {
			return fmt.Errorf("measure: view of %s: %w", domain, err)
		}
	}
	return nil
}

func (f *Fleet) publish(ctx context.Context, w load.Workload) error {
	records, err := load.ConfigRecords(w)
	if err != nil {
		return err
	}
	log := platform.NewLog(f.platformURL)
	defer log.Close()
	for _, r := range records {
		data, err := json.Marshal(r)
		if err != nil {
			return fmt.Errorf("measure: record %s: %w", r.Key, err)
		}
		if _, err := log.Append(ctx, "config", [][]byte{data}); err != nil {
			return fmt.Errorf("measure: publish %s: %w", r.Key, err)
		}
	}
	return nil
}

func (f *Fleet) startEndpoint(kind, group string, i int) (*node, error) {
	n, err := f.newNode(fmt.Sprintf("%s-%d", group, i), "endpoint", i)
	if err != nil {
		return nil, err
	}
	if n.address, err = freeAddresses.next(); err != nil {
		return nil, err
	}
	args := []string{kind, "--listen", n.address}
	if kind == "engine" {
		control, err := json.Marshal(f.options.Engine)
		if err != nil {
			return nil, fmt.Errorf("measure: engine settings: %w", err)
		}
		args = append(args, "--model", f.deployment.Model, "--version", weightsVersion,
			"--platform", f.platformURL, "--control", string(control), "--seed", strconv.Itoa(i+1))
	}
	if n.backend, err = f.startProcess("skylark-standin", kind+"-"+n.id, args...); err != nil {
		return nil, err
	}
	n.settings.Endpoint = &settings.Endpoint{
		Group:                  group,
		Kind:                   kind,
		Backend:                "http://" + n.address,
		MaxRunning:             settings.DefaultMaxRunning,
		MaxQueue:               settings.DefaultMaxQueue,
		SmallReserve:           settings.DefaultSmallReserve,
		FirstTokenTarget:       settings.DefaultFirstTokenTarget,
		PrefillTokensPerSecond: settings.DefaultPrefillTokensPerSecond,
		DecodeTokenTime:        settings.DefaultDecodeTokenTime,

		TransferTokensPerSecond: f.options.TransferTokensPerSecond,
		TransferWait:            settings.DefaultTransferWait,

		CacheTokens:  settings.DefaultCacheTokens,
		Heartbeat:    settings.DefaultHeartbeat,
		SuspectAfter: settings.DefaultSuspectAfter,
	}
	return n, f.startDaemon(n, group)
}

func (f *Fleet) startEntry(i int) (*node, error) {
	n, err := f.newNode(fmt.Sprintf("entry-%d", i), "entry", i)
	if err != nil {
		return nil, err
	}
	listen, err := freeAddresses.next()
	if err != nil {
		return nil, err
	}
	n.settings.Entry = &settings.Entry{
		Listen:         listen,
		MaxBody:        settings.DefaultMaxBody,
		HedgeAfter:     settings.DefaultHedgeAfter,
		ResumeGrace:    settings.DefaultResumeGrace,
		RequestTimeout: settings.DefaultRequestTimeout,
		RetryShare:     settings.DefaultRetryShare,
		Policy:         f.options.Policy,
	}
	return n, f.startDaemon(n, "")
}

func (f *Fleet) newNode(id, role string, i int) (*node, error) {
	listen, err := freeAddresses.next()
	if err != nil {
		return nil, err
	}
	metrics, err := freeAddresses.next()
	if err != nil {
		return nil, err
	}
	domain := f.deployment.Domains[i%len(f.deployment.Domains)]
	return &node{id: id, metricsURL: "http://" + metrics, settings: &settings.Settings{
		ID:            id,
		Role:          role,
		FailureDomain: domain,
		Listen:        listen,
		Advertise:     listen,
		Metrics:       metrics,
		FleetKey:      fleetKey,
		LogLevel:      "warn",
		Platform: settings.Platform{
			Log:       f.platformURL,
			Instances: f.listURLs[domain],
			Retention: settings.DefaultRetention,
		},
	}}, nil
}

func (f *Fleet) startDaemon(n *node, group string) error {
	if f.options.Settings != nil {
		f.options.Settings(n.settings)
	}
	data, err := json.MarshalIndent(n.settings, "", "  ")
	if err != nil {
		return fmt.Errorf("measure: settings of %s: %w", n.id, err)
	}
	file := filepath.Join(f.options.Dir, n.id+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	if err := f.register(n, group); err != nil {
		return err
	}
	n.daemon, err = f.startProcess("skylarkd", n.id, "--config", file)
	return err
}

func (f *Fleet) register(n *node, group string) error {
	body, err := json.Marshal(platform.Instance{
		ID: n.id, Role: n.settings.Role, Address: n.settings.Advertise,
		FailureDomain: n.settings.FailureDomain, Group: group, State: platform.StateLive,
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, f.platformURL+"/control/instances/"+n.id, bytes.NewReader(body))
	if err != nil {
		return err
	}
	return doRequest(req)
}

// Control posts faults to the control endpoint of a back end or the platform.
func (f *Fleet) Control(base string, faults map[string]any) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPost, base+"/control", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return doRequest(req)
}

func doRequest(req *http.Request) error {
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("measure: %s %s: %s", req.Method, req.URL, resp.Status)
	}
	return nil
}

func (f *Fleet) awaitReady(ctx context.Context) error {
	for _, n := range append(append([]*node{}, f.Engines...), f.Services...) {
		if err := waitUntil(ctx, n.id, func() bool { return isListening(n.settings.Listen) }); err != nil {
			return err
		}
	}
	for _, n := range f.Entries {
		url := "http://" + n.settings.Entry.Listen + "/readyz"
		if err := waitUntil(ctx, n.id, func() bool { return respondsOK(url) }); err != nil {
			return err
		}
	}
	// Two more heartbeat intervals, so that the members of each group discover one
	// another.
	select {
	case <-time.After(2 * settings.DefaultHeartbeat.D()):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func respondsOK(url string) bool {
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *Fleet) startProcess(program, name string, args ...string) (*process, error) {
	p, err := startProcess(filepath.Join(f.options.Bin, program), f.options.Dir, name, args...)
	if err == nil {
		f.processes = append(f.processes, p)
	}
	return p, err
}

// EntryURLs returns the base URLs that callers use.
func (f *Fleet) EntryURLs() []string {
	urls := make([]string, len(f.Entries))
	for i, n := range f.Entries {
		urls[i] = "http://" + n.settings.Entry.Listen
	}
	return urls
}

// daemons returns all daemons: engines' endpoints, services' endpoints, entries.
func (f *Fleet) daemons() []*node {
	all := append([]*node{}, f.Engines...)
	all = append(all, f.Services...)
	return append(all, f.Entries...)
}

// Close stops all processes in the reverse order of their start, and the proxies.
func (f *Fleet) Close() {
	for i := len(f.processes) - 1; i >= 0; i-- {
		f.processes[i].kill()
	}
	if f.latency != nil {
		f.latency.closeAll()
	}
}
