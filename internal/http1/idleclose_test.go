package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// readFinal reads the next response that is not an interim one.
func readFinal(t *testing.T, r *bufio.Reader) string {
	t.Helper()
	for {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("read the response: %v", err)
		}
		if res.StatusCode < 200 {
			continue
		}
		body, err := io.ReadAll(res.Body)
		if err != nil {
			t.Fatalf("read the response: %v", err)
		}
		return string(body)
	}
}

// pausedConn returns the bytes of a read only after resume is closed, like a process that
// does not run for a while after the system call.
type pausedConn struct {
	net.Conn
	read   chan struct{} // closed once the bytes have been read
	resume <-chan struct{}
	once   sync.Once
}

func (c *pausedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.once.Do(func() {
		close(c.read)
		<-c.resume
	})
	return n, err
}

// Guards against a request that has been read, while its connection is closed as idle, and
// gets no answer.
func TestRequestReadBeforeIdleCloseIsAnswered(t *testing.T) {
	s := listen(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	caller, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	read, resume := make(chan struct{}), make(chan struct{})
	go s.addConn(&pausedConn{Conn: nc, read: read, resume: resume}).serve()
	if _, err := io.WriteString(caller, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-read
	s.closeIdle(time.Now().Add(time.Minute), time.Time{}, time.Second, ClosedIdle)
	close(resume)
	if err := caller.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if body := readFinal(t, bufio.NewReader(caller)); body != "/1" {
		t.Errorf("body %q, want /1", body)
	}
}
