// Package harness starts clusters of real processes for the proofs: daemons,
// stand-ins and fault proxies between them, on loopback addresses of their own.
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

// BuildTagsEnv names an environment variable with build tags for the programs:
// a proof is seen to fail on a build whose mechanism a tag takes out.
const BuildTagsEnv = "SKYLARK_TAGS"

var binaries = sync.OnceValues(buildBinaries)

// buildBinaries builds the programs from the working tree, so that a proof never
// runs an old bin/.
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

// Main runs the tests of a package and removes the programs after them.
func Main(m *testing.M) {
	code := m.Run()
	if dir, _ := binaries(); dir != "" {
		os.RemoveAll(dir)
	}
	os.Exit(code)
}

// BinaryPath returns the path of one of the programs.
func BinaryPath(t testing.TB, name string) string {
	t.Helper()
	dir, err := binaries()
	if err != nil {
		t.Fatal(err)
	}
	return filepath.Join(dir, name)
}

// hosts counts the loopback hosts handed out. Outgoing connections come from
// 127.0.0.1, so a port that is free on another host stays free until its process
// listens on it.
var hosts atomic.Uint32

const (
	firstHost = 2
	lastHost  = 250
	octet     = 256
)

// newHost returns a loopback host of this process's own network: two test runs
// at once must not take the same free port of one host for two of their
// processes, and each then meet the other's.
func newHost() string {
	pid := os.Getpid()
	n := hosts.Add(1) % (lastHost - firstHost + 1)
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/octet%(octet-1), pid%octet, firstHost+n)
}

// handedOut has the addresses that processes were told to listen on. The kernel
// may offer one again before its process listens on it, or between two starts;
// the second process would then fail to start.
var handedOut sync.Map

// freeAddress returns "ip:port" that nothing listens on and that was not handed
// out before.
func freeAddress(t testing.TB, host string) string {
	t.Helper()
	for {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			t.Fatal(err)
		}
		address := l.Addr().String()
		l.Close()
		// A process that another test starts at this moment has a copy of the
		// listener until its exec. A cluster would take the copy for its platform that
		// listens, or the platform would find the address in use.
		for conn, err := net.Dial("tcp", address); err == nil; conn, err = net.Dial("tcp", address) {
			conn.Close()
		}
		if _, taken := handedOut.LoadOrStore(address, true); !taken {
			return address
		}
	}
}
