package faultproxy

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
)

// Fields of a row of /proc/net/tcp, and the inode of a connection that is closed.
const (
	localField = 1
	inodeField = 9
	noInode    = "0"
)

// tableReads is how often /proc/net/tcp is read for one connection. The kernel
// hands it out in parts; while other sockets come and go a row can fall between
// two of them, and the connection would look like nobody's.
const tableReads = 5

// OwnsLocalAddress reports whether address, "ip:port" with IPv4, is the end of a TCP
// connection that a process has open. It reads /proc, so it is for Linux, and for
// processes of the same user.
func OwnsLocalAddress(pid int, address string) bool {
	dir := fmt.Sprintf("/proc/%d/", pid)
	inodes := inodesOf(dir, address)
	files, _ := os.ReadDir(dir + "fd") // none of a process that has ended
	return slices.ContainsFunc(files, func(f os.DirEntry) bool {
		target, _ := os.Readlink(dir + "fd/" + f.Name())
		return slices.Contains(inodes, target)
	})
}

// inodesOf returns the sockets bound to a local address, as links to them read.
// Connections to several targets may share one.
func inodesOf(dir, address string) (sockets []string) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || !a.Addr().Is4() {
		return nil
	}
	ip := a.Addr().As4() // the table has it in the host's order
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port())
	for range tableReads {
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
