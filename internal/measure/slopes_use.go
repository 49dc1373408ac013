package measure

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

// daemonUsage returns the usage of all daemons by ID.
func (f *Fleet) daemonUsage() (map[string]usage, error) {
	sockets, err := readSockets()
	if err != nil {
		return nil, err
	}
	uses := map[string]usage{}
	for _, n := range f.daemons() {
		u := usage{at: time.Now(), sockets: map[string]socket{}}
		if err := getJSON(n.metricsURL+"/metrics.json", &u.page); err != nil {
			return nil, err
		}
		pid := n.daemon.cmd.Process.Pid
		if u.rss, err = residentBytes(pid); err != nil {
			return nil, err
		}
		for _, s := range sockets[pid] {
			s.kind = classifySocket(n, s)
			u.sockets[s.local+" "+s.remote] = s
		}
		uses[n.id] = u
	}
	return uses, nil
}

func classifySocket(n *node, s socket) socketKind {
	switch {
	case s.remote == strings.TrimPrefix(n.settings.Platform.Log, "http://"),
		s.remote == strings.TrimPrefix(n.settings.Platform.Instances, "http://"):
		return socketPlatform
	case n.address != "" && s.remote == n.address:
		return socketOther
	case s.local == strings.TrimPrefix(n.metricsURL, "http://"):
		return socketOther
	case n.settings.Entry != nil && s.local == n.settings.Entry.Listen:
		return socketOther
	}
	return socketPeer
}

type socketKind uint8

const (
	socketOther socketKind = iota
	// socketPeer is a session with a peer, socketPlatform a connection to the log
	// or the instance list.
	socketPeer
	socketPlatform
)

// socket has the kernel's statistics of one open TCP connection.
type socket struct {
	kind                    socketKind
	local, remote           string
	bytesOut, bytesIn       float64
	segmentsOut, segmentsIn float64
}

// segmentHeaderBytes is the size of the IP and TCP headers of a segment, with TCP
// timestamps.
const segmentHeaderBytes = 52

func (s socket) wireBytes() float64 {
	return s.bytesOut + s.bytesIn + segmentHeaderBytes*(s.segmentsOut+s.segmentsIn)
}

// wireBytes returns the growth in bytes on the wire of the sockets of a kind that
// are in both before and after.
func wireBytes(before, after map[string]socket, kind socketKind) (sum float64) {
	for key, a := range after {
		if b, ok := before[key]; ok && a.kind == kind {
			sum += a.wireBytes() - b.wireBytes()
		}
	}
	return sum
}

func countSockets(sockets map[string]socket, kind socketKind) (n int) {
	for _, s := range sockets {
		if s.kind == kind {
			n++
		}
	}
	return n
}

// readSockets returns the open connections on loopback by process ID, from the
// command ss of iproute2. The daemons' own metrics count frames only, without
// handshakes and headers.
func readSockets() (map[int][]socket, error) {
	out, err := exec.Command("ss", "-tinpHO", "state", "established", "src", "127.0.0.0/8").Output()
	if err != nil {
		return nil, fmt.Errorf("measure: ss: %w", err)
	}
	sockets := map[int][]socket{}
	for line := range bytes.Lines(out) {
		pid, s, ok := parseSocket(string(line))
		if ok {
			sockets[pid] = append(sockets[pid], s)
		}
	}
	return sockets, nil
}

func parseSocket(line string) (pid int, s socket, ok bool) {
	fields := strings.Fields(line)
	var addresses []string
	for _, field := range fields {
		if _, _, err := net.SplitHostPort(field); err == nil && strings.HasPrefix(field, "127.") {
			addresses = append(addresses, field)
		}
		name, text, found := strings.Cut(field, ":")
		if name == "users" {
			_, rest, _ := strings.Cut(field, "pid=")
			digits, _, _ := strings.Cut(rest, ",")
			pid, _ = strconv.Atoi(digits)
		}
		if !found {
			continue
		}
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			continue
		}
		switch name {
		case "bytes_sent":
			s.bytesOut = n
		case "bytes_received":
			s.bytesIn = n
		case "segs_out":
			s.segmentsOut = n
		case "segs_in":
			s.segmentsIn = n
		}
	}
	if len(addresses) != 2 || pid == 0 {
		return 0, s, false
	}
	s.local, s.remote = addresses[0], addresses[1]
	return pid, s, true
}

// residentBytes returns a process's resident memory.
func residentBytes(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, fmt.Errorf("measure: %w", err)
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, fmt.Errorf("measure: statm of %d: %q", pid, data)
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0, fmt.Errorf("measure: statm of %d: %w", pid, err)
	}
	return pages * float64(os.Getpagesize()), nil
}
