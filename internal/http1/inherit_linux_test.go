package http1

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against connections that a child process inherits. Epoll delivered their
// events even after this process had closed them, and these events closed new
// connections with the same descriptor number; fleets in the scenarios failed to
// start.
func TestChildProcessInheritsNoConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() { // answers every request on its only connection
		c, err := ln.Accept()
		if err != nil {
			return
		}
		buf := make([]byte, 4096)
		for {
			if _, err := c.Read(buf); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	p := newPool(t, ln.Addr().String())
	for range 3 {
		if _, err := p.Do(t.Context(), &Request{Method: "GET", Target: "/"}); err != nil {
			t.Fatal(err)
		}
		child := exec.Command("sleep", "60")
		if err := child.Start(); err != nil {
			t.Fatal(err)
		}
		links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", child.Process.Pid))
		if err != nil || len(links) == 0 {
			t.Fatalf("descriptors of the child process: %v, error %v", links, err)
		}
		for _, l := range links {
			if target, _ := os.Readlink(l); strings.HasPrefix(target, "socket:") {
				t.Errorf("the child process inherited %s", target)
			}
		}
		if err := child.Process.Kill(); err != nil {
			t.Fatal(err)
		}
		_ = child.Wait()
	}
}
