package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
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

// hookedConn calls those of its hooks that are set: before and after each read, whose number
// n counts from 1, and once before the address of the peer is returned. nbhttp asks for that
// when a request is complete and has not been enqueued yet.
type hookedConn struct {
	net.Conn
	beforeRead, afterRead func(n int)
	complete              func()
	reads                 int
	once                  sync.Once
}

func (c *hookedConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

func (c *hookedConn) Read(p []byte) (int, error) {
	c.reads++
	if c.beforeRead != nil {
		c.beforeRead(c.reads)
	}
	n, err := c.Conn.Read(p)
	if c.afterRead != nil {
		c.afterRead(c.reads)
	}
	return n, err
}

func (c *hookedConn) RemoteAddr() net.Addr {
	if c.complete != nil {
		c.once.Do(c.complete)
	}
	return c.Conn.RemoteAddr()
}

// serveHooked makes s serve a connection through hc, and returns the caller's side of it.
func serveHooked(t *testing.T, s *Server, hc *hookedConn) net.Conn {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	caller, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	if hc.Conn, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	go s.addConn(hc).serve()
	if err := caller.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return caller
}

// Guards against a request that has been read, while its connection is closed as idle, and
// gets no answer.
func TestRequestReadBeforeIdleCloseIsAnswered(t *testing.T) {
	s := listen(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	read, resume := make(chan struct{}), make(chan struct{})
	caller := serveHooked(t, s, &hookedConn{afterRead: func(n int) {
		if n == 1 {
			close(read)
			<-resume
		}
	}})
	if _, err := io.WriteString(caller, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-read
	s.closeIdle(time.Now().Add(time.Minute), time.Time{}, time.Second, ClosedIdle)
	close(resume)
	if body := readFinal(t, bufio.NewReader(caller)); body != "/1" {
		t.Errorf("body %q, want /1", body)
	}
}

// Guards against a response that is cut off while the server drains, because its connection was
// found idle just before its request was enqueued.
func TestIdleCheckBeforeEnqueueKeepsResponse(t *testing.T) {
	begun := make(chan struct{})
	s := listen(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "4")
		w.WriteHeader(http.StatusOK)
		close(begun)
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(w, "done")
	})
	s.Drain()
	caller := serveHooked(t, s, &hookedConn{
		beforeRead: func(n int) {
			if n == 2 {
				<-begun
			}
		},
		complete: func() {
			s.closeIdle(time.Now().Add(time.Minute), time.Time{}, drainIdleTimeout, ClosedByServer)
		},
	})
	if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if body := readFinal(t, bufio.NewReader(caller)); body != "done" {
		t.Errorf("body %q, want done", body)
	}
}

// Guards against a whole request that has arrived while the process did not run, of which a part
// or nothing has been read, and whose connection is then closed as idle with a reset.
func TestArrivedRequestSurvivesIdleCheck(t *testing.T) {
	for name, pausedRead := range map[string]int{"unread": 1, "partly read": 2} {
		t.Run(name, func(t *testing.T) {
			s := listen(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
			paused, resume := make(chan struct{}), make(chan struct{})
			caller := serveHooked(t, s, &hookedConn{
				beforeRead: func(n int) {
					if n == pausedRead {
						close(paused)
						<-resume
					}
				},
			})
			const size = 5 * serverReadBufferSize
			if _, err := io.WriteString(caller, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: "+strconv.Itoa(size)+"\r\n\r\n"+strings.Repeat("x", size)); err != nil {
				t.Fatal(err)
			}
			<-paused
			s.closeIdle(time.Now().Add(time.Minute), time.Time{}, time.Second, ClosedIdle)
			close(resume)
			if body := readFinal(t, bufio.NewReader(caller)); body != "/1" {
				t.Errorf("body %q, want /1", body)
			}
		})
	}
}

// Guards against open connections that keep the read timeout of the time when they were opened.
func TestReadTimeoutOfOpenConn(t *testing.T) {
	s := listen(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	c := dial(t, s)
	waitForOnlyConn(t, s)
	s.SetReadTimeout(time.Millisecond)
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read = %v, want io.EOF", err)
	}
}
