package http1

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// TestRejectedConnIsNotSent guards against requests that are reported as lost, with an
// unknown outcome, although the peer reset the connection right after it was opened.
func TestRejectedConnIsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	tr := NewTransport(TransportConfig{DialTimeout: time.Second, IdleTimeout: time.Second, MaxBody: 1 << 10, MaxIdlePerAddr: 1, RejectsExcessConns: true})
	const tries = 20 // on a busy machine the peer may accept later than the transport waits
	for range tries {
		_, err := tr.Do(t.Context(), ln.Addr().String(), &Request{Method: http.MethodGet, Target: "/"}, nil)
		var notSent *NotSentError
		if errors.Is(err, ErrConnRejected) && errors.As(err, &notSent) {
			return
		}
	}
	t.Error("no request failed with ErrConnRejected")
}

// Guards against attempts of one request that share a connection, on which a response to
// the first attempt that is written once more would be taken for that to the second, and
// against a new connection for a second attempt although another idle one exists.
func TestAttemptsUseDifferentConns(t *testing.T) {
	var mu sync.Mutex
	var addrs []string // of the requests, in order
	hold := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		addrs = append(addrs, r.RemoteAddr)
		mu.Unlock()
		if r.URL.Path == "/hold" {
			<-hold
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	defer server.Close()
	tr := NewTransport(TransportConfig{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxBody: 1 << 10, MaxIdlePerAddr: 4})
	defer tr.CloseIdle(server.Listener.Addr().String())
	send := func(target string, g *AttemptGroup) {
		if _, err := tr.Do(t.Context(), server.Listener.Addr().String(), &Request{Method: http.MethodGet, Target: target, Attempts: g}, nil); err != nil {
			t.Error(err)
		}
	}
	var first, second AttemptGroup
	send("/", nil)     // connection a, opened
	send("/", &first)  // a
	send("/", &first)  // b, opened
	send("/", nil)     // b, the last one used
	send("/", &second) // b
	send("/", &second) // a
	var wg sync.WaitGroup
	wg.Go(func() { send("/hold", nil) }) // a
	for {
		mu.Lock()
		held := len(addrs) == 7
		mu.Unlock()
		if held {
			break
		}
		time.Sleep(time.Millisecond)
	}
	send("/", &second) // c, opened: a is in use and b was used
	close(hold)
	wg.Wait()
	names, got := make(map[string]string), ""
	for _, addr := range addrs {
		if names[addr] == "" {
			names[addr] = string(rune('a' + len(names)))
		}
		got += names[addr]
	}
	if want := "aabbbaac"; got != want {
		t.Errorf("connections of the requests: %s, want %s", got, want)
	}
}

func TestStaysOpen(t *testing.T) {
	for name, c := range map[string]struct {
		peer func(net.Conn)
		wait time.Duration
		want bool
	}{
		"quiet":  {func(net.Conn) {}, 2 * time.Millisecond, true},
		"closes": {func(c net.Conn) { _ = c.Close() }, time.Minute, false},
		"sends":  {func(c net.Conn) { _, _ = c.Write([]byte("x")) }, time.Minute, false},
	} {
		conn, peer := net.Pipe()
		go c.peer(peer)
		if got := staysOpen(conn, c.wait); got != c.want {
			t.Errorf("%s: staysOpen = %t, want %t", name, got, c.want)
		}
		_, _ = conn.Close(), peer.Close()
	}
}
