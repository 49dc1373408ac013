// Package harness starts clusters of real processes for the process-level tests:
// daemons, stand-ins for platform, engines and services, and fault proxies between
// them, each cluster on a loopback address of its own.
package harness

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// BuildTagsEnv names the environment variable with the build tags for the programs.
// A tag that disables a mechanism shows that its test fails without it.
const BuildTagsEnv = "SKYLARK_TAGS"

var binaries = sync.OnceValues(buildBinaries)

// buildBinaries builds the programs from the working tree into a temporary
// directory, so that no test runs outdated binaries from bin/.
func buildBinaries() (string, error) {
	mod, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return "", fmt.Errorf("harness: go env: %w", err)
	}
	dir, err := os.MkdirTemp("", "skylark-proofs-")
	if err != nil {
		return "", fmt.Errorf("harness: %w", err)
	}
	cmd := exec.Command("go", "build", "-tags", os.Getenv(BuildTagsEnv), "-o", dir+"/", "./cmd/...")
	cmd.Dir = filepath.Dir(strings.TrimSpace(string(mod)))
	if out, err := cmd.CombinedOutput(); err != nil {
		return dir, fmt.Errorf("harness: build: %w\n%s", err, out)
	}
	return dir, nil
}

// Main runs the tests of a package, removes the binaries and exits.
func Main(m *testing.M) {
	code := m.Run()
	if dir, _ := binaries(); dir != "" {
		os.RemoveAll(dir)
	}
	os.Exit(code)
}

// BinaryPath returns the path of the program of this name, and builds all programs
// on first use.
func BinaryPath(t testing.TB, name string) string {
	t.Helper()
	dir, err := binaries()
	if err != nil {
		t.Fatal(err)
	}
	return filepath.Join(dir, name)
}

// hostsAllocated counts the loopback hosts allocated. Outgoing connections come from
// 127.0.0.1, so they don't take a port that is free on another host before its
// process listens on it.
var hostsAllocated atomic.Uint32

const (
	firstHost = 2
	lastHost  = 250
	octet     = 256
)

// newHost returns a loopback host in a network derived from this process's ID. Two
// test runs at the same time could otherwise choose the same free port of one host,
// and the processes of one run would connect to those of the other.
func newHost() string {
	pid := os.Getpid()
	n := hostsAllocated.Add(1) % (lastHost - firstHost + 1)
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/octet%(octet-1), pid%octet, firstHost+n)
}

// reservedAddresses has the addresses assigned to processes. The kernel may offer
// one again before its process listens on it, or while the process is restarted; the
// second process with that address would fail to start.
var reservedAddresses sync.Map

// freeAddress reserves and returns an "ip:port" that nothing listens on and that was
// not reserved before.
func freeAddress(t testing.TB, host string) string {
	t.Helper()
	for {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			t.Fatal(err)
		}
		address := l.Addr().String()
		l.Close()
		// A process that another test forks at this moment holds a copy of the listener
		// until its exec. Meanwhile a cluster would take that copy for its platform
		// listening, or the platform would find the address in use.
		for conn, err := net.Dial("tcp", address); err == nil; conn, err = net.Dial("tcp", address) {
			conn.Close()
		}
		if _, taken := reservedAddresses.LoadOrStore(address, true); !taken {
			return address
		}
	}
}
