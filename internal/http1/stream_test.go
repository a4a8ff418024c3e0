package http1

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
)

const streamedSize = 300 << 10

// startLarge starts a server of net/http whose responses have streamedSize bytes, of which
// it sends those from cut on only if cut is 0. It counts the connections.
func startLarge(t testing.TB, cut int) (addr string, conns *countingListener) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns = &countingListener{Listener: ln}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(streamedSize))
		if cut > 0 {
			_, _ = w.Write(make([]byte, cut))
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(make([]byte, streamedSize))
	}), ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(conns) }() // returns after Close
	t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String(), conns
}

type countingListener struct {
	net.Listener
	mu    sync.Mutex
	count int
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.count++
	}
	return c, err
}

func (l *countingListener) accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count
}

func streamConfig() TransportConfig {
	return TransportConfig{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxBody: 1 << 20, MaxIdlePerAddr: 4, StreamAbove: 100 << 10}
}

var streamRequest = &Request{Method: http.MethodGet, Target: "/", Stream: true}

// Guards against a body that is streamed to a caller that cannot use it, or kept although
// it is too large, and against a refused body that a stream could have passed on.
func TestWhichBodiesAreStreamed(t *testing.T) {
	for name, tc := range map[string]struct {
		above  int64
		budget *BodyBudget
		req    *Request
		want   bool
	}{
		"large":              {100 << 10, nil, streamRequest, true},
		"not allowed":        {100 << 10, nil, &Request{Method: http.MethodGet, Target: "/"}, false},
		"below the size":     {400 << 10, nil, streamRequest, false},
		"no room in memory":  {0, NewBodyBudget(200 << 10), streamRequest, true},
		"room in memory":     {0, NewBodyBudget(2 << 20), streamRequest, false},
		"no body in a HEAD":  {100 << 10, nil, &Request{Method: http.MethodHead, Target: "/", Stream: true}, false},
		"no bound of memory": {0, nil, streamRequest, false},
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := startLarge(t, 0)
			cfg := streamConfig()
			cfg.StreamAbove, cfg.Bodies = tc.above, tc.budget
			res, err := NewTransport(cfg).Do(t.Context(), addr, tc.req, nil)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, res.Stream != nil); diff != "" {
				t.Error(diff)
			}
			if res.Stream != nil {
				res.Stream.Close()
			}
		})
	}
}

// Guards against a connection that is not reused after a complete stream, or reused after
// an incomplete one.
func TestConnectionAfterStream(t *testing.T) {
	addr, conns := startLarge(t, 0)
	tr := NewTransport(streamConfig())
	open := func() *BodyStream {
		t.Helper()
		res, err := tr.Do(t.Context(), addr, streamRequest, nil)
		if err != nil {
			t.Fatal(err)
		}
		return res.Stream
	}
	for range 3 {
		if n, err := io.Copy(io.Discard, open()); n != streamedSize || err != nil {
			t.Fatal(n, err)
		}
	}
	if diff := cmp.Diff(1, conns.accepted()); diff != "" {
		t.Error("connections of complete streams:", diff)
	}
	s := open()
	if _, err := io.ReadFull(s, make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	s.Close()
	s.Close()
	if _, err := io.Copy(io.Discard, open()); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(2, conns.accepted()); diff != "" {
		t.Error("connections after an incomplete stream:", diff)
	}
}

// Guards against a truncated stream that ends like a complete one, and against a stream
// that outlives its request.
func TestIncompleteStream(t *testing.T) {
	addr, _ := startLarge(t, 200<<10)
	res, err := NewTransport(streamConfig()).Do(t.Context(), addr, streamRequest, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, res.Stream); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("truncated stream: error %v, want %v", err, io.ErrUnexpectedEOF)
	}
	addr, _ = startLarge(t, 0)
	ctx, cancel := context.WithCancel(t.Context())
	res, err = NewTransport(streamConfig()).Do(ctx, addr, streamRequest, nil)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	deadline := time.Now().Add(5 * time.Second)
	for err == nil && time.Now().Before(deadline) {
		_, err = res.Stream.Read(make([]byte, 1))
	}
	if err == nil || err == io.EOF {
		t.Errorf("stream of an ended request: error %v", err)
	}
}

// BenchmarkStreams reports the memory of 1,000 streams of 540 KiB at the same time, from
// the upstream's connection to the caller's. The smallest instance has 184 MiB.
func BenchmarkStreams(b *testing.B) {
	const streams, size = 1000, 540 << 10
	for b.Loop() {
		release := make(chan struct{})
		body := bytes.NewReader(make([]byte, size))
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		origin := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(size))
			_, _ = io.CopyN(w, io.NewSectionReader(body, 0, size), size/2)
			w.(http.Flusher).Flush()
			<-release
			_, _ = io.CopyN(w, io.NewSectionReader(body, 0, size), size/2)
		}), ReadHeaderTimeout: time.Minute}
		go func() { _ = origin.Serve(ln) }() // returns after Close
		tr := NewTransport(streamConfig())
		var wg sync.WaitGroup
		var copied sync.WaitGroup
		before := heapInUse()
		for range streams {
			wg.Add(1)
			copied.Add(1)
			go func() {
				defer wg.Done()
				res, err := tr.Do(b.Context(), ln.Addr().String(), streamRequest, nil)
				if err != nil {
					b.Error(err)
					copied.Done()
					return
				}
				buf := make([]byte, 16<<10)
				if _, err := io.CopyBuffer(struct{ io.Writer }{io.Discard}, io.LimitReader(res.Stream, size/2), buf); err != nil {
					b.Error(err)
				}
				copied.Done()
				if _, err := io.CopyBuffer(struct{ io.Writer }{io.Discard}, res.Stream, buf); err != nil {
					b.Error(err)
				}
			}()
		}
		copied.Wait()
		b.ReportMetric(float64(heapInUse()-before)/streams, "B/stream")
		close(release)
		wg.Wait()
		_ = origin.Close()
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
