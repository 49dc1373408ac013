package harness

import (
	"bufio"
	"encoding/json"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"skylarklead/internal/faultproxy"
)

// Timeout is how long a proof waits for a condition. It is far longer than
// anything should take, since the machine may be busy with other work.
const Timeout = 45 * time.Second

// logTail is how many log lines of each process a failed proof shows.
const logTail = 25

// LogLine is one JSON log line, or {"msg": text} for other output.
type LogLine map[string]any

// Matches reports whether the line has this message and these attribute values, given
// as key, value pairs.
func (l LogLine) Matches(msg string, attrs ...string) bool {
	if l["msg"] != msg {
		return false
	}
	for i := 0; i+1 < len(attrs); i += 2 {
		if l[attrs[i]] != attrs[i+1] {
			return false
		}
	}
	return true
}

// Process is a program that the harness started, with its log.
type Process struct {
	Name string
	t    testing.TB
	args []string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	lines []LogLine
}

// StartProcess runs args and stops it at the end of the test.
func StartProcess(t testing.TB, name string, args ...string) *Process {
	t.Helper()
	p := &Process{Name: name, t: t, args: args}
	p.Restart()
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			p.dump()
		}
	})
	return p
}

// Restart starts the program again after its end, with the same arguments.
func (p *Process) Restart() {
	p.t.Helper()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	// One pipe for both outputs; it ends with the process, which starts no other.
	out, err := cmd.StderrPipe()
	if err != nil {
		p.t.Fatalf("%s: %v", p.Name, err)
	}
	cmd.Stdout = cmd.Stderr
	if err := cmd.Start(); err != nil {
		p.t.Fatalf("%s: %v", p.Name, err)
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = cmd, ended
	p.mu.Unlock()
	go func() {
		defer close(ended)
		sc := bufio.NewScanner(out)
		sc.Buffer(nil, 1<<20)
		for sc.Scan() {
			p.note(sc.Text())
		}
		cmd.Wait()
	}()
}

func (p *Process) note(text string) {
	line := LogLine{}
	if json.Unmarshal([]byte(text), &line) != nil {
		line = LogLine{"msg": text}
	}
	p.mu.Lock()
	p.lines = append(p.lines, line)
	p.mu.Unlock()
}

// Lines returns the log so far, over all starts.
func (p *Process) Lines() []LogLine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lines[:len(p.lines):len(p.lines)]
}

// CountLog returns how many log lines match, as Line.Is does.
func (p *Process) CountLog(msg string, attrs ...string) int {
	n := 0
	for _, line := range p.Lines() {
		if line.Matches(msg, attrs...) {
			n++
		}
	}
	return n
}

func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.ended: // the number may be another process's by now
	default:
		p.cmd.Process.Signal(s)
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.Ended()
}

// Pause freezes the process with SIGSTOP; Continue lets it go on.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// PauseFor is Stop, and Continue after d.
func (p *Process) PauseFor(d time.Duration) {
	p.Pause()
	time.AfterFunc(d, p.Resume)
}

// Resume ends Stop.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Hangup says that the settings have changed.
func (p *Process) Hangup() { p.signal(syscall.SIGHUP) }

// Terminate asks for a graceful stop.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// OwnsLocalAddress reports whether an address is the process's end of a connection.
func (p *Process) OwnsLocalAddress(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return faultproxy.OwnsLocalAddress(p.cmd.Process.Pid, address)
}

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// AwaitEnd waits for the process's end.
func (p *Process) AwaitEnd() {
	p.t.Helper()
	select {
	case <-p.Ended():
	case <-time.After(Timeout):
		p.t.Fatalf("%s has not ended in %v", p.Name, Timeout)
	}
}

// ExitCode returns the code that the process has ended with.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.ExitCode()
}

func (p *Process) dump() {
	lines := p.Lines()
	if len(lines) > logTail {
		lines = lines[len(lines)-logTail:]
	}
	var text strings.Builder
	for _, line := range lines {
		b, _ := json.Marshal(line)
		text.Write(append(b, '\n'))
	}
	p.t.Logf("last lines of %s:\n%s", p.Name, text.String())
}

// Await polls until condition holds and fails the test if it doesn't in time.
func Await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(Timeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("waited %v in vain for: %s", Timeout, what)
		}
		time.Sleep(5 * time.Millisecond) // between two polls
	}
}
