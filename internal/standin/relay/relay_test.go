package relay

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
)

const (
	// bound ends an operation that would hang.
	bound = 5 * time.Second
	// quiet is how long nothing must arrive.
	quiet = 100 * time.Millisecond
)

// startEcho starts a relay with a route "r" to an echo server.
func startEcho(t *testing.T) (s *Server, addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	if s, err = Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	if addr, err = s.AddRoute("r", "127.0.0.1:0", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	return s, addr
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// receive returns what arrives within the time, up to n bytes.
func receive(c net.Conn, n int, within time.Duration) (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(within))
	buf := make([]byte, n)
	n, err := io.ReadFull(c, buf)
	return string(buf[:n]), err
}

func echoes(t *testing.T, c net.Conn, text string) {
	t.Helper()
	send(t, c, text)
	if got, err := receive(c, len(text), bound); got != text {
		t.Fatalf("echo = %q, %v, want %q", got, err, text)
	}
}

func isSilent(t *testing.T, c net.Conn) {
	t.Helper()
	if got, err := receive(c, 1, quiet); got != "" || !isTimeout(err) {
		t.Fatalf("received %q, %v, want silence", got, err)
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

func apply(t *testing.T, s *Server, f Fault) {
	t.Helper()
	if err := s.SetFault("r", f); err != nil {
		t.Fatal(err)
	}
}

// Guards against a cut that a connection survives with a hole in its stream,
// and against a cut of one direction that stops the other.
func TestCut(t *testing.T) {
	for _, d := range []Direction{ToTarget, ToClient, Both} {
		s, addr := startEcho(t)
		c := dial(t, addr)
		echoes(t, c, "before")
		apply(t, s, Fault{Mode: ModeCut, Direction: d})
		send(t, c, "lost")
		isSilent(t, c)
		want := map[Direction]int64{ToTarget: 6, ToClient: 10, Both: 6}[d]
		s.routes["r"].mu.Lock()
		for c := range s.routes["r"].conns {
			if diff := cmp.Diff(want, c.up.written.Load()); diff != "" {
				t.Errorf("%s: bytes to the target: %s", d, diff)
			}
		}
		s.routes["r"].mu.Unlock()
		apply(t, s, Fault{Mode: ModeOK})
		send(t, c, "after")
		isSilent(t, c)
		echoes(t, dial(t, addr), "new")
	}
}

// Guards against held or delayed bytes that arrive early, never or out of order.
func TestHoldAndDelay(t *testing.T) {
	s, addr := startEcho(t)
	c := dial(t, addr)
	apply(t, s, Fault{Mode: ModeHold, Direction: ToClient})
	send(t, c, "held")
	isSilent(t, c)
	apply(t, s, Fault{Mode: ModeDelay, Delay: quiet})
	start := time.Now()
	send(t, c, " late")
	if got, err := receive(c, 9, bound); got != "held late" || time.Since(start) < 2*quiet {
		t.Errorf("received %q, %v after %v", got, err, time.Since(start))
	}
}

// Guards against a silent connection whose end or reset is noticed, and against
// silence on new connections.
func TestSilent(t *testing.T) {
	s, addr := startEcho(t)
	c := dial(t, addr)
	echoes(t, c, "before")
	apply(t, s, Fault{Mode: ModeSilent})
	echoes(t, dial(t, addr), "new")
	send(t, c, "lost")
	isSilent(t, c)
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	isSilent(t, c)
}

// Guards against a refusal that cuts open connections or outlasts the fault, and
// against a reset that looks like a regular end.
func TestRefuseAndReset(t *testing.T) {
	s, addr := startEcho(t)
	c := dial(t, addr)
	echoes(t, c, "open")
	apply(t, s, Fault{Mode: ModeRefuse})
	if c, err := net.Dial("tcp", addr); err == nil {
		_ = c.Close()
		t.Error("connection was not refused")
	}
	echoes(t, c, "still open")
	apply(t, s, Fault{Mode: ModeOK})
	echoes(t, dial(t, addr), "new")
	apply(t, s, Fault{Mode: ModeReset})
	if _, err := receive(c, 1, bound); err == nil || errors.Is(err, io.EOF) || isTimeout(err) {
		t.Errorf("read = %v, want a reset", err)
	}
}

// Guards against a control API that differs from the package comment.
func TestControl(t *testing.T) {
	s, addr := startEcho(t)
	client, err := http1.NewClient()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	pool := client.NewPool(s.Addr(), http1.PoolConfig{})
	for _, tt := range []struct {
		method, target string
		want           int
	}{
		{"PUT", "/routes?name=n&target=" + addr, http.StatusOK},
		{"PUT", "/routes?name=n&target=" + addr, http.StatusConflict},
		{"PUT", "/routes?name=m", http.StatusBadRequest},
		{"POST", "/routes/n/fault?mode=delay&direction=to-client&delay-ms=5", http.StatusOK},
		{"POST", "/routes/n/fault?mode=odd", http.StatusBadRequest},
		{"POST", "/routes/n/fault?mode=cut&direction=odd", http.StatusBadRequest},
		{"POST", "/routes/absent/fault?mode=ok", http.StatusNotFound},
		{"DELETE", "/routes/r", http.StatusOK},
		{"GET", "/routes", http.StatusOK},
	} {
		res, err := pool.Do(t.Context(), &http1.Request{Method: tt.method, Target: tt.target})
		if err != nil {
			t.Fatal(err)
		}
		if res.Status != tt.want {
			t.Errorf("%s %s = %d %s, want %d", tt.method, tt.target, res.Status, res.Body, tt.want)
		}
		if tt.method == "GET" {
			want := `[{"name":"n","listen":"` + s.routes["n"].addr + `","target":"` + addr + `","refusing":false,"to-target":"ok",` +
				`"to-client":"delay 5ms","connections":0,"bytes-to-target":0,"bytes-to-client":0}]`
			if diff := cmp.Diff(want, string(res.Body)); diff != "" {
				t.Error(diff)
			}
		}
	}
}
