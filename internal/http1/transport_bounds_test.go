package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// endlessPeer is a server that answers each request with prefix and then with repeated,
// until the client closes the connection or, if times is not 0, times times.
type endlessPeer struct {
	prefix, repeated string
	times            int
	pause            time.Duration // between two repetitions
	sendBuffer       int           // size of the socket's send buffer in bytes; 0: the system's
}

// start returns the address of the peer, and the number of bytes that it has written.
// closed receives a value for each connection that the client has closed.
func (p endlessPeer) start(t *testing.T) (addr string, written *atomic.Int64, closed <-chan struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	written = new(atomic.Int64)
	closes := make(chan struct{}, 64)
	block := p.repeated
	if p.times == 0 && p.pause == 0 {
		block = strings.Repeat(block, 1+(32<<10)/len(block))
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if p.sendBuffer > 0 {
					_ = c.(*net.TCPConn).SetWriteBuffer(p.sendBuffer)
				}
				in := bufio.NewReader(c)
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				n, err := io.WriteString(c, p.prefix)
				written.Add(int64(n))
				for i := 0; err == nil && (p.times == 0 || i < p.times); i++ {
					time.Sleep(p.pause)
					n, err = io.WriteString(c, block)
					written.Add(int64(n))
				}
				_, _ = io.Copy(io.Discard, in)
				closes <- struct{}{}
			}()
		}
	}()
	return ln.Addr().String(), written, closes
}

// Guards against bytes without end that are read until the deadline of the request, and
// against a connection that stays open after them.
func TestEndlessResponses(t *testing.T) {
	const (
		ok       = "HTTP/1.1 200 OK\r\n"
		chunked  = ok + "Transfer-Encoding: chunked\r\n\r\n"
		skipped  = ok + "Skip: 1\r\nContent-Length: 1\r\n\r\nx"
		maxBody  = 512 << 10
		deadline = 5 * time.Second
		// A client may have received up to a few MB that it does not read.
		maxWritten = 8 << 20
	)
	for name, c := range map[string]struct {
		peer endlessPeer
		want error // nil: any
	}{
		"status line":        {endlessPeer{repeated: "x"}, ErrStatusLine},
		"status text":        {endlessPeer{prefix: "HTTP/1.1 200 ", repeated: "x"}, ErrHeadTooLarge},
		"header lines":       {endlessPeer{prefix: ok, repeated: "X: y\r\n"}, ErrHeadTooLarge},
		"header value":       {endlessPeer{prefix: ok + "X: ", repeated: "y"}, ErrHeadTooLarge},
		"interim responses":  {endlessPeer{repeated: "HTTP/1.1 103 Early Hints\r\n\r\n"}, ErrTooManyResponses},
		"skipped responses":  {endlessPeer{repeated: skipped}, ErrTooManyResponses},
		"skipped body":       {endlessPeer{prefix: ok + "Skip: 1\r\nContent-Length: 999999999999\r\n\r\n", repeated: "x"}, ErrSkippedTooLarge},
		"body with a length": {endlessPeer{prefix: ok + "Content-Length: 999999999999\r\n\r\n", repeated: "x"}, ErrBodyTooLarge},
		"body to the end":    {endlessPeer{prefix: ok + "\r\n", repeated: "x"}, ErrBodyTooLarge},
		"chunks":             {endlessPeer{prefix: chunked, repeated: "1\r\nx\r\n"}, ErrBodyTooLarge},
		"chunk size":         {endlessPeer{prefix: chunked, repeated: "0"}, nil},
		"chunk extension":    {endlessPeer{prefix: chunked + "1;", repeated: "x"}, nil},
		"chunk extensions":   {endlessPeer{prefix: chunked, repeated: "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"}, nil},
		"trailer":            {endlessPeer{prefix: chunked + "1\r\nx\r\n0\r\n", repeated: "X: y\r\n"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			c.peer.sendBuffer = 32 << 10 // small, so that the bytes written are nearly those received
			addr, written, closed := c.peer.start(t)
			tr := NewTransport(TransportConfig{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxBody: maxBody, MaxIdlePerAddr: 4})
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := tr.Do(ctx, addr, &Request{Method: http.MethodGet, Target: "/"}, skipMarked)
			runtime.ReadMemStats(&after)
			var lost *LostError
			if !errors.As(err, &lost) || c.want != nil && !errors.Is(err, c.want) || ctx.Err() != nil {
				t.Errorf("Do = %v, want a LostError with %v before the deadline", err, c.want)
			}
			select {
			case <-closed:
			case <-time.After(2 * time.Second):
				t.Error("the connection is still open 2 s after the error")
			}
			allocated := after.TotalAlloc - before.TotalAlloc
			t.Logf("%v; the peer wrote %d KiB, %d KiB were allocated", err, written.Load()>>10, allocated>>10)
			if written.Load() > maxWritten || allocated > maxWritten {
				t.Errorf("the peer wrote %d bytes and %d were allocated, want at most %d each", written.Load(), allocated, maxWritten)
			}
		})
	}
}

// skipMarked is an accept function that skips the responses with a header Skip.
func skipMarked(res *Response) error {
	if res.Header.Get("Skip") != "" {
		return ErrOtherRequest
	}
	return nil
}

// Guards against bounds that refuse proper responses.
func TestResponsesWithinBounds(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
	for name, peer := range map[string]endlessPeer{
		"large head":        {"HTTP/1.1 200 OK\r\n", strings.Repeat("X: "+strings.Repeat("y", 1000)+"\r\n", 30) + "Content-Length: 4\r\n\r\ngood", 1, 0, 0},
		"interim responses": {strings.Repeat("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n", 3), ok, 1, 0, 0},
		"skipped responses": {strings.Repeat("HTTP/1.1 200 OK\r\nSkip: 1\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 100000), 3), ok, 1, 0, 0},
	} {
		addr, _, _ := peer.start(t)
		tr := NewTransport(TransportConfig{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxBody: 1 << 20, MaxIdlePerAddr: 4})
		res, err := tr.Do(t.Context(), addr, &Request{Method: http.MethodGet, Target: "/"}, skipMarked)
		if err != nil || string(res.Body) != "good" {
			t.Errorf("%s: Do = %v, %v, want the body \"good\"", name, res, err)
		}
		tr.CloseIdle(addr)
	}
}

// Guards against a response that arrives in small parts and holds its request beyond the
// deadline.
func TestSlowResponseEndsAtDeadline(t *testing.T) {
	for name, prefix := range map[string]string{"head": "HTTP/1.1 200 OK\r\nX: ", "body": "HTTP/1.1 200 OK\r\n\r\n"} {
		addr, _, closed := endlessPeer{prefix: prefix, repeated: "y", pause: 20 * time.Millisecond}.start(t)
		tr := NewTransport(TransportConfig{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxBody: 1 << 20, MaxIdlePerAddr: 4})
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err := tr.Do(ctx, addr, &Request{Method: http.MethodGet, Target: "/"}, nil)
		var lost *LostError
		if took := time.Since(start); !errors.As(err, &lost) || !errors.Is(err, context.DeadlineExceeded) || took > 2*time.Second {
			t.Errorf("%s: Do = %v after %v, want a LostError at the deadline of 200 ms", name, err, took)
		}
		select {
		case <-closed:
		case <-time.After(2 * time.Second):
			t.Errorf("%s: the connection is still open 2 s after the deadline", name)
		}
	}
}

// Guards against many large bodies at a time that take more memory than the process has,
// and against a budget that no longer admits a large body after others have failed.
func TestBodiesWithinBudget(t *testing.T) {
	const (
		maxBody  = 16 << 20
		budget   = maxBody * 3 / 2
		requests = 10
		// maxHeap covers the budget, as much garbage of grown buffers, and the peer's part.
		maxHeap = 2*budget + 16<<20
	)
	defer debug.SetGCPercent(debug.SetGCPercent(10))
	cfg := TransportConfig{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxBody: maxBody, MaxIdlePerAddr: 4, Bodies: NewBodyBudget(budget)}
	tr := NewTransport(cfg)
	var peak atomic.Uint64
	stop := make(chan struct{})
	var sampling, sending sync.WaitGroup
	runtime.GC()
	var base runtime.MemStats
	runtime.ReadMemStats(&base)
	sampling.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak.Store(max(peak.Load(), m.HeapAlloc))
		}
	})
	addr, _, _ := endlessPeer{prefix: "HTTP/1.1 200 OK\r\n\r\n", repeated: "x"}.start(t)
	var overBudget atomic.Int32
	for range requests {
		sending.Go(func() {
			_, err := tr.Do(t.Context(), addr, &Request{Method: http.MethodGet, Target: "/"}, nil)
			var lost *LostError
			if !errors.As(err, &lost) || !errors.Is(err, ErrBodyBudget) && !errors.Is(err, ErrBodyTooLarge) {
				t.Errorf("Do = %v, want a LostError", err)
			}
			if errors.Is(err, ErrBodyBudget) {
				overBudget.Add(1)
			}
		})
	}
	sending.Wait()
	close(stop)
	sampling.Wait()
	used := int64(peak.Load()) - int64(base.HeapAlloc)
	t.Logf("peak heap of %d endless bodies: %d MiB; %d were ended by the budget", requests, used>>20, overBudget.Load())
	if used > maxHeap {
		t.Errorf("peak heap %d MiB, want at most %d MiB", used>>20, maxHeap>>20)
	}
	body := strings.Repeat("x", maxBody)
	for name, prefix := range map[string]string{"length": "Content-Length: 16777216\r\n\r\n", "chunked": "Transfer-Encoding: chunked\r\n\r\n1000000\r\n"} {
		addr, _, _ := endlessPeer{prefix: "HTTP/1.1 200 OK\r\nConnection: close\r\n" + prefix, repeated: body + "\r\n0\r\n\r\n", times: 1}.start(t)
		for range 2 {
			res, err := tr.Do(t.Context(), addr, &Request{Method: http.MethodGet, Target: "/"}, nil)
			if err != nil || len(res.Body) != maxBody {
				t.Errorf("%s: Do of the largest body = %v", name, err)
			}
		}
	}
}

// Guards against memory of a body that is given back before its request is done, or never.
func TestBodyIsHeldUntilRelease(t *testing.T) {
	const size = 1 << 20
	addr, _, _ := endlessPeer{prefix: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1048576\r\n\r\n", repeated: strings.Repeat("x", size), times: 1}.start(t)
	tr := NewTransport(TransportConfig{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxBody: size, MaxIdlePerAddr: 4, Bodies: NewBodyBudget(size * 2)})
	send := func(g *AttemptGroup) error {
		_, err := tr.Do(t.Context(), addr, &Request{Method: http.MethodGet, Target: "/", Attempts: g}, nil)
		return err
	}
	var first, second AttemptGroup
	if err := send(&first); err != nil {
		t.Fatal(err)
	}
	if err := send(&second); !errors.Is(err, ErrBodyBudget) {
		t.Errorf("second body while the first is held: %v, want %v", err, ErrBodyBudget)
	}
	first.Release()
	for range 3 {
		if err := send(&first); err != nil { // the group is released already, as by a slower hedged attempt
			t.Errorf("body after the release: %v", err)
		}
	}
}

// Guards against a response whose peer stopped in the middle of its head and closed the
// connection, and that counts as complete.
func TestTruncatedHeadIsNoResponse(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\ngood"
	client, err := NewClient()
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	for end := range len(response) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = conn.Write([]byte(response[:end]))
				}
				_ = conn.Close()
			}
		}()
		addr := ln.Addr().String()
		pool := client.NewPool(addr, PoolConfig{})
		for name, do := range map[string]func(context.Context) (*Response, error){
			"transport": func(ctx context.Context) (*Response, error) {
				return NewTransport(TransportConfig{DialTimeout: time.Second, MaxBody: 100}).Do(ctx, addr, &Request{Method: "GET", Target: "/"}, nil)
			},
			"pool": func(ctx context.Context) (*Response, error) {
				return pool.Do(ctx, &Request{Method: "GET", Target: "/"})
			},
		} {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			if res, err := do(ctx); err == nil {
				t.Errorf("%s: response cut off after %q: status %d, body %q", name, response[:end], res.Status, res.Body)
			}
			cancel()
		}
		_ = ln.Close()
	}
}
