package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	startTimeout = 20 * time.Second
	pollEvery    = 20 * time.Millisecond
	httpTimeout  = 10 * time.Second
)

// process is a program that this package has started.
type process struct {
	name string
	args []string
	log  string
	cmd  *exec.Cmd
	done chan struct{}
}

// spawn starts bin with args; its output goes to a file in dir.
func spawn(bin, dir, name string, args ...string) (*process, error) {
	p := &process{name: name, args: append([]string{bin}, args...), log: filepath.Join(dir, name+".log")}
	return p, p.start()
}

func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	defer out.Close()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("measure: start %s: %w", p.name, err)
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait() // killed on purpose
		close(done)
	}(p.cmd, p.done)
	return nil
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL) // it may have ended already
	<-p.done
}

func (p *process) restart() error {
	p.kill()
	return p.start()
}

// ports hands out free ports of a loopback host, each once. The host is this
// process's own: outgoing connections come from 127.0.0.1, so that none of them
// takes a port before the process that it was found for listens on it.
type ports struct {
	mu   sync.Mutex
	used map[int]bool
}

// freeAddresses is shared by all fleets of this process, since their host is.
var freeAddresses = ports{used: map[int]bool{}}

const octet = 256

func host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+pid/octet%(octet-1), pid%octet)
}

func (p *ports) next() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		l, err := net.Listen("tcp", host()+":0")
		if err != nil {
			return "", fmt.Errorf("measure: free port: %w", err)
		}
		address := l.Addr().(*net.TCPAddr)
		l.Close()
		if !p.used[address.Port] {
			p.used[address.Port] = true
			return address.String(), nil
		}
	}
}

// await polls until condition holds.
func await(ctx context.Context, what string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("measure: waiting for %s: %w", what, ctx.Err())
		case <-time.After(pollEvery):
		}
	}
	return nil
}

func listens(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

var client = &http.Client{Timeout: httpTimeout}

func getJSON(url string, into any) error {
	resp, err := client.Get(url)
	if err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("measure: %s: %s", url, resp.Status)
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return fmt.Errorf("measure: %s: %w", url, err)
	}
	return nil
}
