package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
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
	s.mu.Lock()
	pipe := s.pipelines[conn]
	s.mu.Unlock()
	waitFor(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return pipe.inFlight == 0
	})
	s.mu.Lock()
	pipe.inFlight = 1
	s.mu.Unlock()
	later := time.Now().Add(time.Minute)
	s.closeIdle(later, later.Add(-time.Minute))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing[conn] {
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
	pipe := s.pipelines[conn]
	pipe.inFlight++ // as if the goroutine of the first request had not ended
	s.mu.Unlock()
	s.Drain()
	if res := get(); res.StatusCode != http.StatusOK || !res.Close {
		t.Errorf("status %d, Connection: close %t", res.StatusCode, res.Close)
	}
}
