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
	pollInterval = 20 * time.Millisecond
	httpTimeout  = 10 * time.Second
)

// process is a process started by this package.
type process struct {
	name    string
	args    []string
	logFile string
	cmd     *exec.Cmd
	done    chan struct{}
}

// startProcess starts bin with args. Its output is appended to a file in dir.
func startProcess(bin, dir, name string, args ...string) (*process, error) {
	p := &process{name: name, args: append([]string{bin}, args...), logFile: filepath.Join(dir, name+".log")}
	return p, p.start()
}

func (p *process) start() error {
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
		_ = cmd.Wait() // the error says only that it was killed
		close(done)
	}(p.cmd, p.done)
	return nil
}

// kill kills the process and waits for it to exit.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL) // fails if it has already exited
	<-p.done
}

func (p *process) restart() error {
	p.kill()
	return p.start()
}

// portAllocator allocates free ports of a loopback address, each once. The address
// is used by this process only, while outgoing connections use 127.0.0.1. So no
// outgoing connection can occupy a port before the process that it was allocated
// for listens on it.
type portAllocator struct {
	mu   sync.Mutex
	used map[int]bool
}

// freeAddresses is shared by all fleets of this process, since they share the
// loopback address.
var freeAddresses = portAllocator{used: map[int]bool{}}

const octetValues = 256

func loopbackHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+pid/octetValues%(octetValues-1), pid%octetValues)
}

func (p *portAllocator) next() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		l, err := net.Listen("tcp", loopbackHost()+":0")
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

// waitUntil polls until condition holds, at most startTimeout. The error names
// what it waited for.
func waitUntil(ctx context.Context, what string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("measure: waiting for %s: %w", what, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func isListening(address string) bool {
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
