package http1

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// echoBody answers with the body of a request, or with a status that states why it is
// missing.
func echoBody(w http.ResponseWriter, r *http.Request) {
	chunks, err := RequestBody(r)
	switch err {
	case nil:
	case ErrRequestBodyBudget:
		w.WriteHeader(http.StatusServiceUnavailable)
	case ErrRequestBodyTooLarge:
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
	for _, chunk := range chunks {
		_, _ = w.Write(chunk)
	}
}

// listenBodies starts a server that echoes bodies, and dials it.
func listenBodies(t *testing.T, cfg ServerConfig) (*Server, net.Conn) {
	t.Helper()
	cfg.Addr = "127.0.0.1:0"
	if cfg.Handler == nil {
		cfg.Handler = http.HandlerFunc(echoBody)
	}
	s, err := Listen(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, dialBodies(t, s)
}

func dialBodies(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// Guards against bodies that arrive changed, or with bytes of the next request, and against
// memory that is not returned to the budgets.
func TestRequestBodies(t *testing.T) {
	bodies, small := NewBodyBudget(4<<20), NewBodyBudget(1<<20)
	_, c := listenBodies(t, ServerConfig{Bodies: bodies, SmallBodies: small})
	var requests bytes.Buffer
	var want []string
	for i, size := range []int{0, 1, minBodyChunk, minBodyChunk + 1, smallBodySize, 300_000} {
		body := strings.Repeat(string(rune('a'+i)), size)
		want = append(want, body, body)
		fmt.Fprintf(&requests, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, body)
		requests.WriteString("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n")
		for rest := body; rest != ""; {
			n := min(len(rest), 1+len(rest)/2)
			fmt.Fprintf(&requests, "%X;name=value\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		requests.WriteString("0\r\nT: trailer\r\n\r\n")
	}
	go func() { _, _ = c.Write(requests.Bytes()) }()
	r := bufio.NewReader(c)
	for i := range want {
		if body := readFinal(t, r); body != want[i] {
			t.Errorf("request %d: body %.20q of %d bytes, want %.20q of %d", i, body, len(body), want[i], len(want[i]))
		}
	}
	waitFor(t, func() bool { return bodies.used.Load() == 0 && small.used.Load() == 0 })
}

// Guards against a body that is read although the memory of the process has no room for it,
// against a request before it that gets no answer, and against a refusal that its sender
// does not see because the connection is reset.
func TestBodyWithoutRoomIsRefused(t *testing.T) {
	const size = 6 << 20 // more than the buffers of the sockets take
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + strings.Repeat("x", size)
	chunked := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size))
	tests := map[string]struct {
		maxBody int
		request string
		want    int
	}{
		"length":            {size, length, http.StatusServiceUnavailable},
		"chunked":           {size, chunked, http.StatusServiceUnavailable},
		"too large":         {size - 1, length, http.StatusRequestEntityTooLarge},
		"chunked too large": {size - 1, chunked, http.StatusRequestEntityTooLarge},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			bodies := NewBodyBudget(size / 2)
			_, c := listenBodies(t, ServerConfig{MaxBody: tt.maxBody, Bodies: bodies})
			_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nfirst")
			if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n"+tt.request+"GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			var got []int
			r := bufio.NewReader(c)
			for {
				res, err := http.ReadResponse(r, nil)
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, res.Body)
				got = append(got, res.StatusCode)
			}
			if diff := cmp.Diff([]int{http.StatusOK, tt.want}, got); diff != "" {
				t.Error(diff)
			}
			waitFor(t, func() bool { return bodies.used.Load() == 0 })
		})
	}
}

// Guards against callers that announce large bodies and take their memory without sending
// them.
func TestPartialBodiesTakeWhatWasSent(t *testing.T) {
	const conns = 1000
	bodies, small := NewBodyBudget(64<<20), NewBodyBudget(1<<20)
	s, _ := listenBodies(t, ServerConfig{Bodies: bodies, SmallBodies: small})
	used := func() int64 { return bodies.used.Load() + small.used.Load() }
	open := make([]net.Conn, conns)
	for i := range open {
		open[i] = dialBodies(t, s)
		_, _ = io.WriteString(open[i], "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\npart")
	}
	waitFor(t, func() bool { return used() == conns*minBodyChunk })
	for _, c := range open {
		_ = c.Close()
	}
	waitFor(t, func() bool { return used() == 0 })
}

// Guards against callers that take memory without end by large heads that they do not
// complete.
func TestPartialHeadsStayWithinBudget(t *testing.T) {
	bodies := NewBodyBudget(1 << 20)
	s, _ := listenBodies(t, ServerConfig{Bodies: bodies})
	head := "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", maxRequestHead/2)
	open := make([]net.Conn, 20)
	for i := range open {
		open[i] = dialBodies(t, s)
		_, _ = io.WriteString(open[i], head)
	}
	var refused int
	for _, c := range open {
		_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		if res, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			refused++
			if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
				t.Errorf("response %v", res)
			}
		}
	}
	// Each head takes 112 KiB or more of the budget.
	if kept := len(open) - refused; kept < 1 || kept > 9 {
		t.Errorf("%d of %d heads are kept", kept, len(open))
	}
	for _, c := range open {
		_ = c.Close()
	}
	waitFor(t, func() bool { return bodies.used.Load() == 0 })
}

// Guards against a shutdown that cuts a connection off as idle while a request is being
// received on it.
func TestShutdownAwaitsRequestBeingReceived(t *testing.T) {
	s, c := listenBodies(t, ServerConfig{})
	const parts = 10
	_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", parts)
	waitForOnlyConn(t, s)
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	for range parts {
		time.Sleep(drainIdleTimeout / 3)
		_, _ = io.WriteString(c, "x")
	}
	if body := readFinal(t, bufio.NewReader(c)); body != strings.Repeat("x", parts) {
		t.Errorf("body %q", body)
	}
	_ = c.Close()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Guards against a shutdown that lasts as long as the rest of a refused body is sent.
func TestShutdownDoesNotAwaitRefusedBody(t *testing.T) {
	s, c := listenBodies(t, ServerConfig{MaxBody: 1})
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n")
	if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			if _, err := io.WriteString(c, "x"); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), discardIdleTimeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		t.Error(err)
	}
}

// Guards against a caller that waits for the permission to send its body.
func TestExpectContinue(t *testing.T) {
	_, c := listenBodies(t, ServerConfig{})
	r := bufio.NewReader(c)
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	res, err := http.ReadResponse(r, nil)
	if err != nil || res.StatusCode != http.StatusContinue {
		t.Fatalf("response %v, error %v, want status 100", res, err)
	}
	_, _ = io.WriteString(c, "ok")
	if body := readFinal(t, r); body != "ok" {
		t.Errorf("body %q, want ok", body)
	}
}

// BenchmarkServer measures small requests on one connection through a server.
func BenchmarkServer(b *testing.B) {
	s, err := Listen(ServerConfig{Addr: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "ok")
	})})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	tr := NewTransport(TransportConfig{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxBody: 1 << 10, MaxIdlePerAddr: 1})
	body := bytes.Repeat([]byte("x"), 1000)
	b.ReportAllocs()
	for b.Loop() {
		req := &Request{Method: "POST", Target: "/checkin/a", Body: body, Header: http.Header{"Request-Id": {"r-1"}, "Api-Key": {"key"}, "Request-Deadline-Ms": {"3000"}}}
		if _, err := tr.Do(b.Context(), s.Addr(), req, nil); err != nil {
			b.Fatal(err)
		}
	}
}
