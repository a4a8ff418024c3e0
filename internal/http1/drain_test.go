package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/lesismal/nbio/nbhttp"
)

// Guards against a caller that keeps pipelining requests while the server drains:
// it would hold its connection open until the server stops and aborts its last
// requests.
func TestDrainRejectsPipelinedRequest(t *testing.T) {
	release := make(chan struct{})
	var ran atomic.Int32
	s := listen(t, func(w http.ResponseWriter, _ *http.Request) {
		ran.Add(1)
		<-release
		_, _ = io.WriteString(w, "done")
	})
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	_, _ = io.WriteString(c, get)
	waitFor(t, func() bool { return ran.Load() == 1 })
	s.Drain()
	_, _ = io.WriteString(c, get+get)
	time.AfterFunc(50*time.Millisecond, func() { close(release) }) // by then the server has read both requests
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	r := bufio.NewReader(c)
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil || string(body) != "done" || !res.Close {
		t.Errorf("response %q, error %v, Connection: close %t", body, err, res.Close)
	}
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read after the response: %v, want io.EOF", err)
	}
	if n := ran.Load(); n != 1 {
		t.Errorf("%d requests ran, want 1", n)
	}
}

// Guards against a shutdown that closes a connection as idle although a request was
// read from it whose goroutine has not started yet.
func TestCloseIdleKeepsConnWithPendingRequest(t *testing.T) {
	s := listen(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	res, err := http.Get("http://" + s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.ReadAll(res.Body)
	_ = res.Body.Close()
	conn := waitForOnlyConn(t, s)
	pipe := &conn.pipeline
	waitFor(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return pipe.inFlight == 0
	})
	s.mu.Lock()
	pipe.inFlight = 1
	s.mu.Unlock()
	later := time.Now().Add(time.Minute)
	s.closeIdle(later, later.Add(-time.Minute), drainIdleTimeout, ClosedByServer)
	s.mu.Lock()
	defer s.mu.Unlock()
	if conn.closing {
		t.Error("connection with an arrived request was closed as idle")
	}
}

// Guards against a draining server that rejects a request as pipelined because it
// arrives just after the previous response, before the goroutine of that request has
// ended.
func TestDrainServesRequestAfterResponse(t *testing.T) {
	s := listen(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	r := bufio.NewReader(c)
	get := func() *http.Response {
		t.Helper()
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.ReadAll(res.Body)
		return res
	}
	get()
	conn := waitForOnlyConn(t, s)
	s.mu.Lock()
	conn.pipeline.inFlight++ // as if the goroutine of the first request had not ended
	s.mu.Unlock()
	s.Drain()
	if res := get(); res.StatusCode != http.StatusOK || !res.Close {
		t.Errorf("status %d, Connection: close %t", res.StatusCode, res.Close)
	}
}

// Guards against a last response that is cut off because the connection is closed while
// a part of the response is still unsent.
func TestDrainSendsLargeResponse(t *testing.T) {
	const size = 8 << 20
	s := listen(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(make([]byte, size))
	})
	s.Drain()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := c.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, res.Body)
	if err != nil || n != size || !res.Close {
		t.Errorf("body of %d bytes, error %v, Connection: close %t; want %d bytes", n, err, res.Close, size)
	}
}

// Guards against a last response that is cut off because the caller sends another request
// while it is written.
func TestRequestDuringLastResponseDoesNotCutIt(t *testing.T) {
	const size = 8 << 20
	s := listen(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(make([]byte, size))
	})
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	s.Drain()
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	conn := waitForBusyConn(t, s)
	waitFor(t, conn.isClosing) // the response is being written
	// The test acts as a read loop that read another request just before.
	parser := nbhttp.NewParser(conn, s.engine, nbhttp.NewServerProcessor(), false, conn.execute)
	if err := parser.Parse([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, res.Body); err != nil || n != size {
		t.Errorf("body of %d bytes, error %v; want %d bytes", n, err, size)
	}
}

// Guards against a request that is read although its connection is being closed as idle:
// a caller may only repeat a request that was not read.
func TestRequestThatCrossesCloseIsNotRead(t *testing.T) {
	s := listen(t, func(http.ResponseWriter, *http.Request) {})
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	conn := waitForOnlyConn(t, s)
	later := time.Now().Add(time.Minute)
	s.closeIdle(later, later.Add(-time.Minute), drainIdleTimeout, ClosedByServer)
	waitFor(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return conn.closed
	})
	waitFor(t, func() bool {
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		return err != nil
	})
}

// Guards against a connection that is closed without an answer because its request runs
// for longer than WriteTimeout, which concerns the sending of a response.
func TestRequestMayRunLongerThanWriteTimeout(t *testing.T) {
	const timeout = 50 * time.Millisecond
	s, err := Listen(ServerConfig{Addr: "127.0.0.1:0", WriteTimeout: timeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-time.After(4 * timeout)
		_, _ = io.WriteString(w, "done")
	})})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	res, err := http.Get("http://" + s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	if err != nil || string(body) != "done" {
		t.Errorf("body %q, error %v", body, err)
	}
}

// Guards against a peer that reads nothing and keeps its connection and the memory of
// its response for ever.
func TestUnreadResponseClosesConn(t *testing.T) {
	closed := make(chan CloseCause, 1)
	s, err := Listen(ServerConfig{
		Addr: "127.0.0.1:0", WriteTimeout: 50 * time.Millisecond,
		OnClosed: func(cause CloseCause, _ int) { closed <- cause },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(64<<20))
			_, _ = w.Write(make([]byte, 64<<20))
		}),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	select {
	case cause := <-closed:
		if diff := cmp.Diff(ClosedUnread, cause); diff != "" {
			t.Error(diff)
		}
	case <-time.After(5 * time.Second):
		t.Error("the connection was not closed")
	}
}

// Guards against a request that runs although its caller asked to close the connection
// after an earlier one: it would get no answer.
func TestRequestBehindCloseDoesNotRun(t *testing.T) {
	var ran atomic.Int32
	s := listen(t, func(w http.ResponseWriter, _ *http.Request) {
		ran.Add(1)
		_, _ = io.WriteString(w, "done")
	})
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n")
	answers, err := io.ReadAll(c)
	if n := strings.Count(string(answers), "200 OK"); err != nil || n != 1 || ran.Load() != 1 {
		t.Errorf("%d answers, %d requests ran, error %v; want 1 and 1", n, ran.Load(), err)
	}
}

// Guards against answers that are lost because bytes that are not HTTP follow their
// requests.
func TestRequestBeforeMalformedBytesIsAnswered(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	s := listen(t, func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-release
		_, _ = io.WriteString(w, "done")
	})
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-arrived
	_, _ = io.WriteString(c, "\x00 is no request")
	conn := waitForBusyConn(t, s)
	waitFor(t, conn.isClosing)
	close(release)
	body, err := io.ReadAll(c)
	if err != nil || !strings.HasSuffix(string(body), "\r\n\r\ndone") {
		t.Errorf("read %q, error %v", body, err)
	}
}

func waitForBusyConn(t *testing.T, s *Server) (conn *serverConn) {
	t.Helper()
	waitFor(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for conn = range s.conns {
			return len(conn.inFlight) > 0
		}
		return false
	})
	return conn
}

// Guards against a peer that reads slowly, but steadily, and has its response cut off.
func TestSlowReaderGetsWholeResponse(t *testing.T) {
	const size, writeTimeout = 1 << 20, 100 * time.Millisecond
	s, err := Listen(ServerConfig{Addr: "127.0.0.1:0", WriteTimeout: writeTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(make([]byte, size))
	})})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10) })
	}}
	c, err := d.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	total := 0
	tick := time.NewTicker(writeTimeout / 5)
	defer tick.Stop()
	for buf := make([]byte, 32<<10); ; <-tick.C {
		n, err := io.ReadFull(res.Body, buf)
		total += n
		if err != nil {
			break
		}
	}
	if total != size {
		t.Errorf("read %d bytes, want %d", total, size)
	}
}

// Guards against a caller that takes memory without end by a request head that does not
// end.
func TestEndlessHeadIsRejected(t *testing.T) {
	s, err := Listen(ServerConfig{Addr: "127.0.0.1:0", MaxBody: 1 << 10, Handler: http.NotFoundHandler()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n")
	line := "X: " + strings.Repeat("x", 1000) + "\r\n"
	sent := 0
	for ; sent < 64<<20; sent += len(line) {
		if _, err := io.WriteString(c, line); err != nil {
			break
		}
	}
	// Besides the limit, the socket buffers take some megabytes.
	if sent > 16<<20 {
		t.Errorf("%d bytes of a request head were taken", sent)
	}
}

// Guards against a caller that takes memory and goroutines without end by pipelining
// requests whose responses it does not await.
func TestPipelineIsNotReadWithoutEnd(t *testing.T) {
	release := make(chan struct{})
	var running atomic.Int32
	s := listen(t, func(w http.ResponseWriter, _ *http.Request) {
		running.Add(1)
		<-release
		_, _ = io.WriteString(w, "ok")
	})
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	const get, count = "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 20_000
	go func() { _, _ = io.WriteString(c, strings.Repeat(get, count)) }()
	conn := waitForBusyConn(t, s)
	waitFor(t, func() bool { return running.Load() == maxConcurrentPerConn })
	s.mu.Lock()
	accepted := conn.pipeline.inFlight
	s.mu.Unlock()
	if limit := maxConcurrentPerConn + serverReadBufferSize/len(get) + 1; accepted > limit {
		t.Errorf("%d requests were accepted from a connection, want at most %d", accepted, limit)
	}
	close(release)
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	r := bufio.NewReader(c)
	for i := range count {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
	}
}

// Guards against a shutdown that resets connections which wait to be accepted.
func TestShutdownServesWaitingConns(t *testing.T) {
	s := listen(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	s.mu.Lock() // keeps connections from being accepted
	var conns []net.Conn
	for range 20 {
		c := dial(t, s)
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	waitFor(t, func() bool { return s.finishing.Load() })
	s.mu.Unlock()
	for i, c := range conns {
		if body := readFinal(t, bufio.NewReader(c)); body != "done" {
			t.Errorf("connection %d: body %q, want done", i, body)
		}
	}
	if err := <-stopped; err != nil {
		t.Errorf("Shutdown = %v", err)
	}
}
