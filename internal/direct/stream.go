package direct

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
)

// streamChunk is the size in bytes of the pieces in which a body is passed on. An instance
// holds about three of them for each streamed response.
const streamChunk = 16 << 10

var streamBuffers = sync.Pool{New: func() any { return new([streamChunk]byte) }}

// Sides of a streamed response that ended early, the values of a metric label.
const (
	cutByUpstream = "upstream"
	cutByCaller   = "caller"
	cutByInstance = "instance" // its deadline passed, or the instance stops
)

// copyStream passes the streamed body of out on to the caller. ctx ends when the caller
// disconnects. If the response cannot be completed, the caller's connection is reset: bytes
// have been sent, so that no other upstream may complete it.
func (r *Router) copyStream(ctx context.Context, w http.ResponseWriter, x *exchange, out outcome) {
	defer out.stream.Close()
	buf := streamBuffers.Get().(*[streamChunk]byte)
	defer streamBuffers.Put(buf)
	sent := int64(0)
	for {
		n, err := io.ReadFull(out.stream, buf[:])
		if n > 0 {
			if _, writeErr := w.Write(buf[:n]); writeErr != nil {
				r.noteCut(time.Now(), x, out, sent, cutByCaller, writeErr)
				http1.Abort(w)
				return
			}
			w.(http.Flusher).Flush()
			sent += int64(n)
		}
		if sent == out.stream.Length {
			return
		}
		if err != nil {
			side := cutByUpstream
			switch {
			case ctx.Err() != nil:
				side = cutByCaller
			case x.ended():
				side = cutByInstance
			}
			r.noteCut(time.Now(), x, out, sent, side, err)
			http1.Abort(w)
			return
		}
	}
}

// noteCut records that a streamed response ended after sent bytes of its body.
func (r *Router) noteCut(now time.Time, x *exchange, out outcome, sent int64, side string, err error) {
	r.metrics.cutResponses.WithLabelValues(side).Inc()
	if side == cutByUpstream {
		r.mu.Lock()
		r.upstreams.ResponseCut(now, out.upstream)
		r.mu.Unlock()
	}
	r.log.Warn("response cut off", "request", x.info.ID, "side", side, "bytes", sent, "of", out.stream.Length, "error", err)
}
