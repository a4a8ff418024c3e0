package lab

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/vishvananda/netlink/nl"
	"golang.org/x/sys/unix"
)

// socketOwner returns the name of the process in pids that holds the remote end of a
// loopback connection, or "" if none does. All processes use the same loopback
// address, so the addresses do not identify them. It queries the kernel for the one
// socket, because /proc/net/tcp lists all sockets of the machine and takes
// milliseconds to read for each connection.
func socketOwner(local, remote net.Addr, pids map[string]int) string {
	inode, err := socketInode(remote.(*net.TCPAddr), local.(*net.TCPAddr))
	if errors.Is(err, unix.ENOENT) {
		return "" // the socket has been closed
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "find the process that owns the connection from %s to %s: %v\n", remote, local, err)
		return ""
	}
	link := "socket:[" + strconv.FormatUint(uint64(inode), 10) + "]"
	// A process may move a new connection to another descriptor during the search.
	for range maxOwnerSearches {
		if name := socketLinkOwner(link, pids); name != "" {
			return name
		}
		time.Sleep(ownerSearchInterval)
	}
	return ""
}

const (
	maxOwnerSearches    = 3
	ownerSearchInterval = time.Millisecond // a process moves a connection with two system calls
)

// socketLinkOwner returns the name of the process that has a descriptor whose symbolic
// link in /proc reads link, or "".
func socketLinkOwner(link string, pids map[string]int) string {
	for name, pid := range pids {
		dir := filepath.Join("/proc", strconv.Itoa(pid), "fd")
		entries, err := os.ReadDir(dir)
		if err != nil {
			continue // the process has ended
		}
		for _, e := range entries {
			if to, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && to == link {
				return name
			}
		}
	}
	return ""
}

// socketInode queries the kernel for the inode of an IPv4 TCP socket. SocketGet of the
// netlink package is not used, because it walks the table of all sockets.
func socketInode(local, remote *net.TCPAddr) (uint32, error) {
	// The request is a struct inet_diag_req_v2: family, protocol, extensions, padding,
	// states, socket id.
	id := []byte{unix.AF_INET, unix.IPPROTO_TCP, 0, 0}
	id = binary.NativeEndian.AppendUint32(id, allTCPStates)
	id = binary.BigEndian.AppendUint16(id, uint16(local.Port))
	id = binary.BigEndian.AppendUint16(id, uint16(remote.Port))
	id = append(append(id, local.IP.To4()...), make([]byte, net.IPv6len-net.IPv4len)...)
	id = append(append(id, remote.IP.To4()...), make([]byte, net.IPv6len-net.IPv4len)...)
	id = binary.NativeEndian.AppendUint32(id, 0) // any interface
	id = binary.NativeEndian.AppendUint32(id, nl.TCPDIAG_NOCOOKIE)
	id = binary.NativeEndian.AppendUint32(id, nl.TCPDIAG_NOCOOKIE)

	req := nl.NewNetlinkRequest(nl.SOCK_DIAG_BY_FAMILY, unix.NLM_F_ACK)
	req.AddRawData(id)
	found, err := req.Execute(unix.NETLINK_INET_DIAG, nl.SOCK_DIAG_BY_FAMILY)
	if err != nil {
		return 0, err
	}
	if len(found) != 1 || len(found[0]) < inetDiagMsgSize {
		return 0, errors.Errorf("unexpected reply from the kernel: %d sockets from %s to %s", len(found), local, remote)
	}
	return binary.NativeEndian.Uint32(found[0][inetDiagMsgSize-4:]), nil
}

const (
	allTCPStates    = 1<<32 - 1 // bit mask of all TCP connection states
	inetDiagMsgSize = 72        // bytes of struct inet_diag_msg, whose last field is the inode
)
