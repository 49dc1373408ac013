package harness

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"skylarklead/platform/standin"
)

// The commands of deploy/system.toml.
const (
	daemon   = "target/skylarkd"
	template = "deploy/skylarkd.json.tmpl"
)

// Site is a small deployment: daemons, and the stand-in of the platform's store.
type Site struct {
	Store        *standin.Store
	StoreAddress string
	Record       *Record
	// Bounds are the bounds in the daemons' settings.
	Bounds map[string]any
	// MemoryMB is the memory limit of a daemon.
	MemoryMB int

	dir     string
	daemons []*Daemon
	servers []*http.Server
}

// NewSite starts the store. The settings and logs of the daemons are kept in a temporary folder.
func NewSite(record *Record, bounds map[string]any, memoryMB int) (*Site, error) {
	if _, err := os.Stat(daemon); err != nil {
		return nil, fmt.Errorf("harness: build the daemon first: %w", err)
	}
	dir, err := os.MkdirTemp("", "skylark-review-")
	if err != nil {
		return nil, err
	}
	s := &Site{Store: standin.NewStore(), Record: record, Bounds: bounds, MemoryMB: memoryMB, dir: dir}
	s.StoreAddress, err = s.Serve(s.Store)
	return s, err
}

// Serve runs a handler on a free loopback port until Close.
func (s *Site) Serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// Close kills the daemons that still run, and removes their settings. It keeps the logs where a
// variable REVIEW_LOGS names a folder for them.
func (s *Site) Close() {
	for _, d := range s.daemons {
		d.Kill()
	}
	for _, server := range s.servers {
		server.Close()
	}
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		logs, _ := filepath.Glob(filepath.Join(s.dir, "*.log"))
		for _, log := range logs {
			if data, err := os.ReadFile(log); err == nil {
				_ = os.WriteFile(filepath.Join(keep, filepath.Base(log)), data, 0o600)
			}
		}
	}
	os.RemoveAll(s.dir)
}

// Daemon is one daemon, as the platform runs it: a process that ends is started again.
type Daemon struct {
	Name  string
	Front string
	Ready string

	site     *Site
	config   string
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	lastExit string
}

// The ports of daemons are below those that the system gives to outgoing connections: a daemon must
// find its ports free again when it restarts.
const (
	firstPort = 18000
	ports     = 12000
)

// freePort returns a port that was free a moment ago, for TCP and UDP.
func freePort() (int, error) {
	for range 100 {
		port := firstPort + rand.IntN(ports)
		at := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", at)
		if err != nil {
			continue
		}
		udp, err := net.ListenPacket("udp", at)
		l.Close()
		if err == nil {
			udp.Close()
			return port, nil
		}
	}
	return 0, errors.New("harness: no free port")
}

// StartDaemon writes a daemon's settings and starts it.
func (s *Site) StartDaemon(name, zone string) (*Daemon, error) {
	var ports [4]int
	for i := range ports {
		var err error
		if ports[i], err = freePort(); err != nil {
			return nil, err
		}
	}
	at := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	d := &Daemon{Name: name, Front: at(ports[0]), Ready: at(ports[1]), site: s, config: filepath.Join(s.dir, name+".json")}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	settings, err := Render(string(text), map[string]any{
		"node": name, "zone": zone, "ip": "127.0.0.1", "port_range": []int{ports[2], ports[2]},
		"listen":   map[string]any{"front": d.Front, "ready": d.Ready},
		"platform": map[string]any{"addr": s.StoreAddress},
		"limits":   map[string]any{"ram_mb": s.MemoryMB},
		"bounds":   s.Bounds,
	})
	if err != nil {
		return nil, err
	}
	// The port of the metrics is fixed in the template; here all daemons share one address.
	settings = strings.Replace(settings, ":9464", fmt.Sprintf(":%d", ports[3]), 1)
	if err := os.WriteFile(d.config, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	s.daemons = append(s.daemons, d)
	return d, d.Start()
}

// Start starts the process.
func (d *Daemon) Start() error {
	log, err := os.OpenFile(filepath.Join(d.site.dir, d.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(daemon, "--config", d.config)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.exited = cmd, exited
	d.mu.Unlock()
	go func() {
		err := cmd.Wait()
		log.Close()
		d.mu.Lock()
		d.lastExit = fmt.Sprint(err)
		d.mu.Unlock()
		close(exited)
	}()
	return nil
}

// PID is the process's ID.
func (d *Daemon) PID() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd.Process.Pid
}

// Exited is closed once the process has ended.
func (d *Daemon) Exited() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exited
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(sig syscall.Signal) error { return syscall.Kill(d.PID(), sig) }

// Kill kills the process, if it runs, and waits for its end.
func (d *Daemon) Kill() {
	exited := d.Exited()
	select {
	case <-exited:
		return
	default:
	}
	_ = d.Signal(syscall.SIGKILL)
	<-exited
}

// ErrNotReady means that a daemon did not get ready in time.
var ErrNotReady = errors.New("harness: not ready in time")

// AwaitReady waits until the daemon reports that it is ready.
func (d *Daemon) AwaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		resp, err := http.Get("http://" + d.Ready + "/-/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	log, _ := os.ReadFile(filepath.Join(d.site.dir, d.Name+".log"))
	d.site.Record.Line("%s is not ready; the end of its log:\n%s", d.Name, log[max(0, len(log)-2000):])
	return fmt.Errorf("%w: %s", ErrNotReady, d.Name)
}

// MemoryMB is the anonymous memory of the process in MiB: what a limit counts at the least.
func (d *Daemon) MemoryMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.PID()))
	if err != nil {
		return 0
	}
	_, after, ok := bytes.Cut(data, []byte("RssAnon:"))
	if !ok {
		return 0
	}
	var kb int
	if _, err := fmt.Sscan(string(after), &kb); err != nil {
		return 0
	}
	return kb >> 10
}
