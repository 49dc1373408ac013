package faultproxy

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
)

// Field indexes of a row of /proc/net/tcp, and the inode shown for a closed socket.
const (
	localField = 1
	inodeField = 9
	noInode    = "0"
)

// maxTableReads is how often /proc/net/tcp is read at most to find one connection.
// The kernel returns the table in several reads; if other sockets are opened or
// closed in between, a row can be missing, and the connection would seem to belong
// to no process.
const maxTableReads = 5

// OwnsLocalAddress reports whether address, an IPv4 "ip:port", is the local address
// of a TCP connection that the process has open. It reads /proc, so it works on
// Linux only and for processes of the same user.
func OwnsLocalAddress(pid int, address string) bool {
	dir := fmt.Sprintf("/proc/%d/", pid)
	inodes := socketsBoundTo(dir, address)
	files, _ := os.ReadDir(dir + "fd") // empty if the process has ended
	return slices.ContainsFunc(files, func(f os.DirEntry) bool {
		target, _ := os.Readlink(dir + "fd/" + f.Name())
		return slices.Contains(inodes, target)
	})
}

// socketsBoundTo returns the sockets bound to a local address, in the form of the
// link targets in /proc/PID/fd. Connections to different targets may share a local
// address.
func socketsBoundTo(dir, address string) (sockets []string) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || !a.Addr().Is4() {
		return nil
	}
	ip := a.Addr().As4() // the table has it in host byte order, little-endian here
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port())
	for range maxTableReads {
		table, _ := os.ReadFile(dir + "net/tcp")
		for row := range strings.Lines(string(table)) {
			fields := strings.Fields(row)
			if len(fields) > inodeField && fields[localField] == local && fields[inodeField] != noInode {
				sockets = append(sockets, "socket:["+fields[inodeField]+"]")
			}
		}
		if len(sockets) > 0 {
			break
		}
	}
	return sockets
}
