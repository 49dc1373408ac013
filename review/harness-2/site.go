package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"skylarklead/platform/standin"
)

const (
	host       = "jepu9.example"
	streamPath = "/lepu270/2f"
	payPath    = "/fiti832/ti23/2f"
	lookPath   = "/filo73/de11/2f"
	llm        = "huvo11a"
	portal     = "kafi81c"
	model      = "daka510000"
	// grace is the time from SIGTERM to SIGKILL.
	grace = 8 * time.Second
	// heartbeat is the pause between a replica's records.
	heartbeat = 1200 * time.Millisecond
	// startTimeout bounds the start of an entry.
	startTimeout = 10 * time.Second
)

var zones = []string{"hobart-a", "kingston-b", "huonville-c"}

// entry is a process of the project, started with the deploy file's command.
type entry struct {
	name, front, ready string
	// words are the command, settings and log the paths of its files.
	words         []string
	settings, log string
	cmd           *exec.Cmd
	exited        chan struct{}
}

// site is a small deployment: a store, replicas and one entry in each zone.
type site struct {
	log      *record
	dir      string
	store    *standin.Store
	server   *http.Server
	address  string
	replicas []*replica
	entries  []*entry
	stop     chan struct{}
	loops    sync.WaitGroup
	// troubled is set while replicas are faulty.
	troubled atomic.Bool
}

// newSite starts a store with a configuration. The caller must call end.
func newSite(log *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{log: log, dir: dir, store: standin.NewStore(), stop: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address, s.server = l.Addr().String(), &http.Server{Handler: s.store}
	go func() { _ = s.server.Serve(l) }()
	s.store.Put("keyed.op", "config", configuration())
	return s, nil
}

// configuration has the routes and services of the small deployment that the harness plays.
func configuration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{"name": "r-6sz9frg", "host": host, "path_prefix": "/lepu270/", "kind": "streaming", "timeout_ms": 15000, "slo_ms": 500, "prio": 0,
				"service": llm, "attempts": 1, "public": false, "sticky": true, "can_resume": false, "gap_target_ms": 500},
			map[string]any{"name": "r-27eya6u", "host": host, "path_prefix": "/fiti832/", "kind": "mutating", "timeout_ms": 2000, "slo_ms": 300, "prio": 2,
				"service": portal, "attempts": 1, "public": false},
			map[string]any{"name": "r-filo73", "host": host, "path_prefix": "/filo73/", "kind": "idempotent", "timeout_ms": 2000, "slo_ms": 300, "prio": 2,
				"service": portal, "attempts": 2, "public": false},
		},
		"services": []any{
			map[string]any{"name": llm, "health_path": healthPath, "max_conns": 360, "proto": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kv_capacity": 108789, "kv_token_bytes": 18432, "link_mbps": 370000.0, "moves": true,
					"backups": false, "stride": 5, "max_inflight": 12, "models": []any{map[string]any{"name": model}}}},
			map[string]any{"name": portal, "health_path": healthPath, "max_conns": 96, "proto": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "sese880", "api_keys": []string{apiKey}, "prio": 1, "isolated": false}},
	}
}

// addReplica starts a replica and keeps its record in the store up to date.
func (s *site) addReplica(r *replica) error {
	r.log = s.log
	if err := r.start(); err != nil {
		return err
	}
	s.replicas = append(s.replicas, r)
	r.crashed = func(id string) {
		time.AfterFunc(3*heartbeat, func() { s.store.Put("keyed.servers", id, nil) })
	}
	r.back = func(id string) { s.store.Put("keyed.servers", id, r.entry()) }
	s.store.Put("keyed.servers", r.id, r.entry())
	s.loops.Go(func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-s.stop:
				return
			case <-tick.C:
				r.mu.Lock()
				id, down := r.id, r.down
				r.mu.Unlock()
				if !down {
					s.store.Put("keyed.servers", id, r.entry())
				}
			}
		}
	})
	return nil
}

// addPortals starts n replicas of the plain service.
func (s *site) addPortals(n int, setUp func(*replica)) error {
	for i := range n {
		r := &replica{id: fmt.Sprintf("i-portal%d", i+1), service: portal, zone: zones[i%len(zones)], slots: 6, queue: 24}
		setUp(r)
		if err := s.addReplica(r); err != nil {
			return err
		}
	}
	return nil
}

// addEngines starts n replicas of the language model.
func (s *site) addEngines(n int) error {
	for i := range n {
		r := &replica{id: fmt.Sprintf("i-engine%d", i+1), service: llm, zone: zones[i%len(zones)], model: model, slots: 64, queue: 192}
		if err := s.addReplica(r); err != nil {
			return err
		}
	}
	return nil
}

var (
	runPattern      = regexp.MustCompile(`(?m)^run = "(.*)"$`)
	templatePattern = regexp.MustCompile(`(?m)^template = "(.*)"$`)
)

// addEntry starts an entry with the command and the settings template of the deploy file.
func (s *site) addEntry() (*entry, error) {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	runLine, templateLine := runPattern.FindSubmatch(deploy), templatePattern.FindSubmatch(deploy)
	if runLine == nil || templateLine == nil {
		return nil, errors.New("deploy/system.toml has no run command or template")
	}
	text, err := os.ReadFile(string(templateLine[1]))
	if err != nil {
		return nil, err
	}
	zone := zones[len(s.entries)%len(zones)]
	e := &entry{name: "edge-" + zone + "-1"}
	fields, err := s.fields(e, zone)
	if err != nil {
		return nil, err
	}
	settings, err := render(string(text), fields)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(s.dir, e.name+".json")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	e.words = strings.Fields(strings.ReplaceAll(string(runLine[1]), "/etc/skylarklead/boot.toml", path))
	e.settings, e.log = path, filepath.Join(s.dir, e.name+".log")
	if err := e.start(); err != nil {
		return nil, err
	}
	s.entries = append(s.entries, e)
	return e, s.awaitReady(e)
}

// start starts the entry's process, at first or again.
func (e *entry) start() error {
	cmd, exited := exec.Command(e.words[0], e.words[1:]...), make(chan struct{})
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SKYLARKLEAD_SETTINGS=" + e.settings}
	out, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	e.cmd, e.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		out.Close()
		close(exited)
	}()
	return nil
}

// fields returns the settings that the platform has for an entry, on a loopback address of its own.
func (s *site) fields(e *entry, zone string) (map[string]any, error) {
	for range 20 {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
		e.front, e.ready = ip+":8782", ip+":8789"
		if !allFree(e.front, e.ready, ip+":7340", ip+":9464") {
			continue
		}
		return map[string]any{
			"node": e.name, "zone": zone, "ip": ip, "port_range": []int{7340, 7355},
			"listen":   map[string]any{"front": e.front, "ready": e.ready},
			"platform": map[string]any{"addr": s.address},
			"limits":   map[string]any{"ram_mb": 134},
			"bounds": map[string]any{
				"grace_s": int(grace.Seconds()), "budget_ratio": 0.2, "budget_extra": 52, "budget_window_s": 10, "lease_ms": 3000,
				"version_ms": 10000, "skew_max_ms": 5000, "config_ms": 2000, "drain_ms": 2000, "checks_fence": true,
			},
		}, nil
	}
	return nil, errors.New("no free loopback address")
}

func allFree(addresses ...string) bool {
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

func (s *site) awaitReady(e *entry) error {
	client := &http.Client{Timeout: time.Second}
	for limit := time.Now().Add(startTimeout); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + e.ready + "/-/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			s.log.add("ready      %s", e.name)
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready after %v", e.name, startTimeout)
}

// terminate stops an entry as the platform does: SIGTERM, and SIGKILL after the grace period.
func (s *site) terminate(e *entry) {
	s.log.add("SIGTERM    %s", e.name)
	_ = e.cmd.Process.Signal(syscall.SIGTERM)
	s.loops.Go(func() {
		select {
		case <-e.exited:
			s.log.add("exited     %s", e.name)
		case <-time.After(grace):
			s.log.add("SIGKILL    %s", e.name)
			_ = e.cmd.Process.Kill()
		case <-s.stop:
		}
	})
}

// runsOf returns the runs of a request at all replicas.
func (s *site) runsOf(id string) []run {
	var out []run
	for _, r := range s.replicas {
		out = append(out, r.runsOf(id)...)
	}
	return out
}

// end ends all processes and servers. The entries' logs are kept in keep if it isn't "".
func (s *site) end(keep string) {
	close(s.stop)
	for _, e := range s.entries {
		_ = e.cmd.Process.Kill()
		<-e.exited
	}
	for _, r := range s.replicas {
		r.listener.Close()
	}
	s.server.Close()
	s.loops.Wait()
	if keep != "" {
		_ = os.CopyFS(keep, os.DirFS(s.dir))
	}
	_ = os.RemoveAll(s.dir)
}
