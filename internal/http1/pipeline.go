package http1

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// maxConcurrentPerConn limits the requests of one connection that run concurrently;
// further pipelined requests wait.
const maxConcurrentPerConn = 16

// pipeline orders the responses of a connection. nbhttp would run pipelined requests
// sequentially; the server runs them concurrently and writes their responses in the
// order of the requests. Its fields are guarded by Server.mu.
type pipeline struct {
	conn      *serverConn
	newest    *responseSlot // slot of the most recent request
	pending   *responseSlot // slot of the request that has arrived and was not executed yet
	writing   *responseSlot // slot of the response that is being written; nil if there is none
	http10    bool          // a request was in HTTP/1.0
	inFlight  int           // requests
	rejecting bool          // a request was rejected: the connection closes after those in flight
}

// responseSlot is the position of a request's response in the order of its pipeline.
type responseSlot struct {
	pipeline      *pipeline
	prevDone      <-chan struct{} // closed when the previous response has been written
	done          chan struct{}   // closed when this response has been written
	waitBeforeRun bool            // the request runs only after prevDone is closed
	counted       bool            // in Server.requests
	owner         string          // in whose share the request counts, beside that of its address

	responseStarted bool // the response is being written; guarded by Server.mu
}

// execute runs f, which serves the request of the pending slot. It returns false if the
// request was rejected.
func (c *serverConn) execute(f func()) bool {
	s := c.server
	s.mu.Lock()
	slot := c.pipeline.pending // set by the preceding enqueueRequest
	c.pipeline.pending = nil
	s.mu.Unlock()
	if slot == nil {
		return false
	}
	go func() {
		defer s.finishSlot(slot)
		if slot.waitBeforeRun {
			<-slot.prevDone
		}
		f()
	}()
	return true
}

// enqueueRequest assigns a response slot to a request. nbhttp calls it in the order
// of arrival, each time immediately before execute. While the server drains, a request
// that is pipelined behind one without a response is rejected: a caller that keeps
// pipelining would hold its connection open until the server stops, and its last
// requests would be aborted.
func (s *Server) enqueueRequest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pipe := &connOf(w).pipeline
	if s.draining.Load() && pipe.inFlight > 0 && !pipe.newest.responseStarted {
		pipe.rejecting = true
	}
	if pipe.rejecting || pipe.conn.closing {
		return
	}
	counted := false
	if b := pipe.conn.received; b != nil {
		pipe.conn.received = nil
		if counted = !b.refused; counted && b.err == nil && s.full(time.Now(), pipe.conn) {
			b.fail(ErrTooManyRequests)
		}
		r.Body, r.ContentLength = b, b.length()
		r.Close = r.Close || b.err != nil && !b.complete // the end of the body is not known
	}
	slot := pipe.addSlot()
	if counted {
		s.countRequest(slot)
	}
	pipe.pending = slot
	pipe.http10 = pipe.http10 || !r.ProtoAtLeast(1, 1)
	pipe.rejecting = r.Close // no request may follow one that asks to close the connection
	s.waitingSlots[r] = slot
}

// addSlot adds a slot behind the newest one. The caller holds Server.mu.
func (p *pipeline) addSlot() *responseSlot {
	slot := &responseSlot{pipeline: p, done: make(chan struct{}), waitBeforeRun: p.inFlight >= maxConcurrentPerConn}
	if p.newest != nil {
		slot.prevDone = p.newest.done
	} else {
		closed := make(chan struct{})
		close(closed)
		slot.prevDone = closed
	}
	p.newest = slot
	p.inFlight++
	p.conn.clearExpiry() // closeIdle ran after the last read
	return slot
}

// refuse answers a request whose head is not accepted with an empty response of the given
// status, after the responses to the requests in flight, and makes the connection close.
func (c *serverConn) refuse(status int, cause CloseCause) {
	s := c.server
	s.mu.Lock()
	if c.closing || c.pipeline.rejecting {
		s.mu.Unlock()
		return
	}
	c.pipeline.rejecting = true
	c.setClosing(cause, false)
	slot := c.pipeline.addSlot()
	s.mu.Unlock()
	retryAfter := ""
	if status == http.StatusServiceUnavailable {
		retryAfter = "Retry-After: 1\r\n"
	}
	go func() {
		defer s.finishSlot(slot)
		<-slot.prevDone
		c.interimMu.Lock()
		defer c.interimMu.Unlock()
		s.mu.Lock()
		c.pipeline.writing = slot
		s.mu.Unlock()
		// A failed write closes the connection.
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n%sConnection: close\r\n\r\n", status, http.StatusText(status), retryAfter)
	}()
}

// finishSlot releases the next response after the handler of a request has returned,
// and closes a rejecting connection after its last request.
func (s *Server) finishSlot(slot *responseSlot) {
	s.mu.Lock()
	pipe := slot.pipeline
	pipe.inFlight--
	pipe.conn.idleSince = time.Now()
	s.uncountRequest(slot)
	if pipe.writing == slot {
		pipe.writing = nil
	}
	pipe.conn.slotFinished.Signal()
	closeConn := pipe.rejecting && pipe.inFlight == 0
	if closeConn {
		pipe.conn.setClosing(ClosedByServer, true)
	}
	s.mu.Unlock()
	close(slot.done)
	if closeConn {
		_ = pipe.conn.Close()
	}
}

// takeSlot removes and returns the slot of a request that starts.
func (s *Server) takeSlot(r *http.Request) *responseSlot {
	s.mu.Lock()
	defer s.mu.Unlock()
	slot := s.waitingSlots[r]
	delete(s.waitingSlots, r)
	return slot
}

// connOf returns the connection of a request.
func connOf(w http.ResponseWriter) *serverConn { return w.(*nbhttp.Response).Parser.Conn.(*serverConn) }

// orderedWriter delays a response until the previous response of its connection has
// been written. It buffers a response without Content-Length until the handler
// returns and then sets the length: nbhttp would use chunked encoding, and from
// 64 KiB on it then reuses a buffer that it has already released, which corrupts
// other bodies.
type orderedWriter struct {
	http.ResponseWriter
	server         *Server
	request        *http.Request
	exchange       *exchange
	slot           *responseSlot
	started        bool
	bufferedStatus int    // status of the buffered response; 0 if none is buffered
	bufferedBody   []byte // body of the buffered response
}

// WriteHeader waits for the previous response and writes the header. A status without
// Content-Length is buffered instead.
func (w *orderedWriter) WriteHeader(status int) {
	if !w.started && w.Header().Get("Content-Length") == "" {
		if w.bufferedStatus == 0 {
			w.bufferedStatus = status
		}
		return
	}
	w.start(status)
}

func (w *orderedWriter) start(status int) {
	if !w.started {
		w.started = true
		w.awaitPrevious()
		if w.server.beginResponse(w.exchange, w.slot) {
			w.Header().Set("Connection", "close")
			w.request.Close = true
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, or buffers it if the response has no
// Content-Length.
func (w *orderedWriter) Write(b []byte) (int, error) {
	if !w.started && w.bufferedStatus == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if !w.started {
		w.bufferedBody = append(w.bufferedBody, b...)
		return len(b), nil
	}
	return w.ResponseWriter.Write(b)
}

// Flush sends what was written so far.
func (w *orderedWriter) Flush() {
	if f, ok := w.ResponseWriter.(http.Flusher); ok && w.started {
		f.Flush()
	}
}

// Abort resets the connection of a response whose handler cannot complete it, so that the
// part that was written does not look complete. w must be from a Server.
func Abort(w http.ResponseWriter) {
	ow := w.(*orderedWriter)
	ow.started = true
	_, _, _ = ow.ResponseWriter.(http.Hijacker).Hijack() // keeps nbhttp from completing the response
	ow.server.mu.Lock()
	ow.exchange.conn.setClosing(ClosedAborted, true)
	ow.server.mu.Unlock()
	if tcp, ok := ow.exchange.conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = ow.exchange.conn.Conn.Close()
}

// Hijack waits for the previous response and hands over the connection.
func (w *orderedWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	h, ok := w.ResponseWriter.(http.Hijacker)
	if !ok {
		return nil, nil, http.ErrNotSupported
	}
	w.started = true
	w.awaitPrevious()
	return h.Hijack()
}

func (w *orderedWriter) awaitPrevious() {
	if w.slot != nil {
		<-w.slot.prevDone
	}
}

// beginResponse records that the response in slot is being written, and reports
// whether the connection closes after it. It does if the server drains, unless a
// later request has started on the connection, whose response would be lost.
func (s *Server) beginResponse(x *exchange, slot *responseSlot) bool {
	x.conn.interimMu.Lock()
	defer x.conn.interimMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if slot != nil {
		slot.responseStarted = true
		slot.pipeline.writing = slot
	}
	if !s.draining.Load() || slot != nil && slot.pipeline.newest != slot {
		return false
	}
	x.conn.setClosing(ClosedByServer, true)
	return true
}

// finishResponse writes a buffered response. If the handler wrote nothing, it sends
// an empty response, or closes the connection if the caller has disconnected.
func (w *orderedWriter) finishResponse(ctx context.Context) {
	switch {
	case w.started:
		return
	case w.bufferedStatus == 0 && ctx.Err() != nil:
		_ = w.exchange.conn.Close()
		return
	case w.bufferedStatus == 0:
		w.bufferedStatus = http.StatusOK
	}
	if len(w.bufferedBody) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(w.bufferedBody)))
	}
	w.start(w.bufferedStatus)
	if len(w.bufferedBody) > 0 {
		_, _ = w.ResponseWriter.Write(w.bufferedBody) // fails only if the caller has disconnected
	}
}
