package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a caller that closes its sending side after its requests, and is then
// taken for one that has left: its requests were cancelled, and it got no response.
func TestHalfClosedCallerIsAnswered(t *testing.T) {
	s := listen(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(time.Second):
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c := dial(t, s)
	if _, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(c)
	if diff := cmp.Diff([]string{"/1", "/2"}, []string{readFinal(t, r), readFinal(t, r)}); diff != "" {
		t.Errorf("responses (-want +got):\n%s", diff)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("read behind the responses: %v, want io.EOF", err)
	}
}

// Guards against an interim response that is written into the middle of a response.
func TestNoInterimWithinResponse(t *testing.T) {
	s := listen(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "4")
		w.WriteHeader(http.StatusOK)
		for range 4 {
			time.Sleep(150 * time.Millisecond)
			_, _ = io.WriteString(w, "x")
			w.(http.Flusher).Flush()
		}
	})
	c := dial(t, s)
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if body := readFinal(t, bufio.NewReader(c)); body != "xxxx" {
		t.Errorf("body %q, want xxxx", body)
	}
}

// Guards against requests that go on for half a second or more after their caller has
// closed its connection, also if as many are in flight as one connection may have.
func TestCallerThatLeftCancelsRequests(t *testing.T) {
	for _, n := range []int{2, maxConcurrentPerConn} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			cancelled, started := make(chan time.Time, n), make(chan struct{}, n)
			s := listen(t, func(_ http.ResponseWriter, r *http.Request) {
				started <- struct{}{}
				<-r.Context().Done()
				cancelled <- time.Now()
			})
			c := dial(t, s)
			if _, err := io.WriteString(c, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", n)); err != nil {
				t.Fatal(err)
			}
			for range n {
				<-started
			}
			left := time.Now()
			_ = c.Close()
			for range n {
				select {
				case at := <-cancelled:
					if d := at.Sub(left); d >= 500*time.Millisecond {
						t.Errorf("cancelled after %s, want less than 500ms", d)
					}
				case <-time.After(5 * time.Second):
					t.Fatal("a request was not cancelled")
				}
			}
		})
	}
}

// Guards against a server that cannot stop because of a caller that closed its sending side.
func TestCloseEndsHalfClosedConn(t *testing.T) {
	s := listen(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	c := dial(t, s)
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	conn := waitForBusyConn(t, s)
	waitFor(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return conn.halfClosed != nil
	})
	s.Close()
	waitFor(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns) == 0
	})
}

func dial(t *testing.T, s *Server) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return c.(*net.TCPConn)
}
