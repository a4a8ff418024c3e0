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
	// opTimeout ends an operation that does not finish.
	opTimeout = 5 * time.Second
	// silencePeriod is the time for which checkSilent expects that nothing arrives.
	silencePeriod = 100 * time.Millisecond
)

// startEcho starts a relay with a route "r" to an echo server and returns the listen
// address of the route.
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

// receive reads up to n bytes and returns those that arrive within the time.
func receive(c net.Conn, n int, within time.Duration) (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(within))
	buf := make([]byte, n)
	n, err := io.ReadFull(c, buf)
	return string(buf[:n]), err
}

func checkEcho(t *testing.T, c net.Conn, text string) {
	t.Helper()
	send(t, c, text)
	if got, err := receive(c, len(text), opTimeout); got != text {
		t.Fatalf("echo = %q, %v, want %q", got, err, text)
	}
}

func checkSilent(t *testing.T, c net.Conn) {
	t.Helper()
	if got, err := receive(c, 1, silencePeriod); got != "" || !isTimeout(err) {
		t.Fatalf("received %q, %v, want nothing before the timeout", got, err)
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

func setFault(t *testing.T, s *Server, f Fault) {
	t.Helper()
	if err := s.SetFault("r", f); err != nil {
		t.Fatal(err)
	}
}

// TestCut guards against connections that deliver later bytes although earlier ones
// were dropped, and against a cut of one direction that also stops the other.
func TestCut(t *testing.T) {
	for _, d := range []Direction{ToTarget, ToClient, Both} {
		s, addr := startEcho(t)
		c := dial(t, addr)
		checkEcho(t, c, "before")
		setFault(t, s, Fault{Mode: ModeCut, Direction: d})
		send(t, c, "lost")
		checkSilent(t, c)
		want := map[Direction]int64{ToTarget: 6, ToClient: 10, Both: 6}[d]
		s.routes["r"].mu.Lock()
		for c := range s.routes["r"].conns {
			if diff := cmp.Diff(want, c.toTarget.writtenBytes.Load()); diff != "" {
				t.Errorf("%s: bytes to the target: %s", d, diff)
			}
		}
		s.routes["r"].mu.Unlock()
		setFault(t, s, Fault{Mode: ModeOK})
		send(t, c, "after")
		checkSilent(t, c)
		checkEcho(t, dial(t, addr), "new")
	}
}

// TestHoldAndDelay guards against held or delayed bytes that arrive early, out of
// order or not at all.
func TestHoldAndDelay(t *testing.T) {
	s, addr := startEcho(t)
	c := dial(t, addr)
	setFault(t, s, Fault{Mode: ModeHold, Direction: ToClient})
	send(t, c, "held")
	checkSilent(t, c)
	setFault(t, s, Fault{Mode: ModeDelay, Delay: silencePeriod})
	start := time.Now()
	send(t, c, " late")
	if got, err := receive(c, 9, opTimeout); got != "held late" || time.Since(start) < 2*silencePeriod {
		t.Errorf("received %q, %v after %v", got, err, time.Since(start))
	}
}

// TestSilent guards against a silent connection whose end the other side notices, and
// against new connections that are silent.
func TestSilent(t *testing.T) {
	s, addr := startEcho(t)
	c := dial(t, addr)
	checkEcho(t, c, "before")
	setFault(t, s, Fault{Mode: ModeSilent})
	checkEcho(t, dial(t, addr), "new")
	send(t, c, "lost")
	checkSilent(t, c)
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	checkSilent(t, c)
}

// TestRefuseAndReset guards against ModeRefuse closing open connections or outlasting
// the fault, and against a reset that the client sees as a regular end of the stream.
func TestRefuseAndReset(t *testing.T) {
	s, addr := startEcho(t)
	c := dial(t, addr)
	checkEcho(t, c, "open")
	setFault(t, s, Fault{Mode: ModeRefuse})
	if c, err := net.Dial("tcp", addr); err == nil {
		_ = c.Close()
		t.Error("connection was not refused")
	}
	checkEcho(t, c, "still open")
	setFault(t, s, Fault{Mode: ModeOK})
	checkEcho(t, dial(t, addr), "new")
	setFault(t, s, Fault{Mode: ModeReset})
	if _, err := receive(c, 1, opTimeout); err == nil || errors.Is(err, io.EOF) || isTimeout(err) {
		t.Errorf("read = %v, want a reset", err)
	}
}

// TestControl guards against a control API that differs from the package comment.
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
