package http1

import (
	"net"
	"net/http"
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
