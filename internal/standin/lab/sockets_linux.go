package lab

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// socketOwner returns the name of the process that holds the remote end of a
// loopback connection, or "". Processes on one loopback address cannot be told
// apart by their addresses.
func socketOwner(local, remote net.Addr, pids map[string]int) string {
	l, r := local.(*net.TCPAddr), remote.(*net.TCPAddr)
	inode := socketInode(procAddr(r), procAddr(l))
	if inode == "" {
		return ""
	}
	for name, pid := range pids {
		dir := filepath.Join("/proc", strconv.Itoa(pid), "fd")
		entries, err := os.ReadDir(dir)
		if err != nil {
			continue // the process has ended
		}
		for _, e := range entries {
			if to, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && to == "socket:["+inode+"]" {
				return name
			}
		}
	}
	return ""
}

// procAddr formats an IPv4 address as /proc/net/tcp does: the address in the
// byte order of the machine.
func procAddr(a *net.TCPAddr) string {
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(a.IP.To4()), a.Port)
}

func socketInode(from, to string) string {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }()
	const local, remote, inode = 1, 2, 9 // columns
	for sc := bufio.NewScanner(f); sc.Scan(); {
		if v := strings.Fields(sc.Text()); len(v) > inode && v[local] == from && v[remote] == to {
			return v[inode]
		}
	}
	return ""
}
