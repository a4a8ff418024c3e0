package http1

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// Guards against a response in chunks without end that a pool keeps until the deadline of
// its request.
func TestEndlessChunksOfPool(t *testing.T) {
	// maxWritten covers the largest body, and what the peer can send beyond it before it
	// finds the connection closed.
	const maxWritten = maxPoolBody + 16<<20
	client, err := NewClient()
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	addr, written, closed := endlessPeer{
		prefix:   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		repeated: "8000\r\n" + strings.Repeat("x", 1<<15) + "\r\n", sendBuffer: 32 << 10,
	}.start(t)
	pool := client.NewPool(addr, PoolConfig{})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	res, err := pool.Do(ctx, &Request{Method: http.MethodGet, Target: "/"})
	var lost *LostError
	if !errors.As(err, &lost) {
		t.Errorf("Do = %v, %v, want a LostError", res, err)
	}
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Error("the connection is still open 2 s after the error")
	}
	t.Logf("%v; the peer wrote %d MiB", err, written.Load()>>20)
	if written.Load() > maxWritten {
		t.Errorf("the peer wrote %d MiB, want at most %d MiB", written.Load()>>20, maxWritten>>20)
	}
}
