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

// socketOwner returns the name of the process that holds the remote end of a
// loopback connection, or "". Processes on one loopback address cannot be told
// apart by their addresses. The kernel is asked for the one socket: /proc/net/tcp
// lists those of the whole machine and takes milliseconds to read, for every
// connection.
func socketOwner(local, remote net.Addr, pids map[string]int) string {
	inode, err := socketInode(remote.(*net.TCPAddr), local.(*net.TCPAddr))
	if errors.Is(err, unix.ENOENT) {
		return "" // closed since
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "find the owner of the connection from %s to %s: %v\n", remote, local, err)
		return ""
	}
	link := "socket:[" + strconv.FormatUint(uint64(inode), 10) + "]"
	// A program may move a new connection to another descriptor while it is searched.
	for range ownerSearches {
		if name := linkOwner(link, pids); name != "" {
			return name
		}
		time.Sleep(ownerPause)
	}
	return ""
}

const (
	ownerSearches = 3
	ownerPause    = time.Millisecond // moving a connection takes two system calls
)

// linkOwner returns the name of the process with a descriptor that leads to link.
func linkOwner(link string, pids map[string]int) string {
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

// socketInode asks the kernel for the inode of an IPv4 socket. The client library's
// own SocketGet walks the table of all sockets.
func socketInode(local, remote *net.TCPAddr) (uint32, error) {
	// struct inet_diag_req_v2: family, protocol, extensions, padding, states, id.
	id := []byte{unix.AF_INET, unix.IPPROTO_TCP, 0, 0}
	id = binary.NativeEndian.AppendUint32(id, allStates)
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
	if len(found) != 1 || len(found[0]) < inodeEnd {
		return 0, errors.Errorf("%d sockets from %s to %s", len(found), local, remote)
	}
	return binary.NativeEndian.Uint32(found[0][inodeEnd-4:]), nil
}

const (
	allStates = 1<<32 - 1 // of connections, as a bit mask
	inodeEnd  = 72        // size of struct inet_diag_msg, whose last field is the inode
)
