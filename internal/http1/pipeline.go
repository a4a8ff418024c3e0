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
// returns and then sets the length, so that each response has one.
type orderedWriter struct {
	header         http.Header
	server         *Server
	request        *http.Request
	exchange       *exchange
	slot           *responseSlot
	response       responseWriter
	started        bool // the response is being written, or the handler has aborted it or taken the connection
	hijacked       bool
	bufferedStatus int    // status of the buffered response; 0 if none is buffered
	bufferedBody   []byte // body of the buffered response
}

// Header returns the headers of the response.
func (w *orderedWriter) Header() http.Header { return w.header }

// WriteHeader waits for the previous response and writes the header. A status without
// Content-Length is buffered instead. A status that is not final, 200 to 599, resets the
// connection: no response would be the one that the handler means.
func (w *orderedWriter) WriteHeader(status int) {
	switch length, known := contentLength(w.header); {
	case w.started || w.bufferedStatus != 0:
	case !isFinalStatus(status):
		w.awaitPrevious()
		Abort(w)
	case known:
		w.start(status, length)
	default:
		w.bufferedStatus = status
	}
}

// contentLength returns the value of Content-Length, or false if it is missing or invalid.
func contentLength(h http.Header) (int64, bool) {
	n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64)
	return n, err == nil && n >= 0
}

func (w *orderedWriter) start(status int, length int64) {
	w.started = true
	w.awaitPrevious()
	if w.server.beginResponse(w.exchange, w.slot) {
		w.header.Set("Connection", "close")
		w.request.Close = true
	}
	w.response.writeHead(time.Now(), w.request, status, w.header, length)
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
	return w.response.Write(b)
}

// Flush sends what was written so far.
func (w *orderedWriter) Flush() {
	if w.started {
		_ = w.response.flush() // the next Write returns the error
	}
}

// Abort resets the connection of a response whose handler cannot complete it, so that the
// part that was written does not look complete. w must be from a Server.
func Abort(w http.ResponseWriter) {
	ow := w.(*orderedWriter)
	ow.started = true
	ow.response.close(errResponseAborted)
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
	w.started, w.hijacked = true, true
	w.awaitPrevious()
	w.response.close(http.ErrHijacked)
	return w.exchange.conn, nil, nil
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

// finishResponse ends the response of a handler that has returned: it writes what is buffered.
// If the handler wrote nothing, it sends an empty response, or closes the connection if
// the caller has disconnected.
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
	w.header.Set("Content-Length", strconv.Itoa(len(w.bufferedBody)))
	if w.bufferedStatus == http.StatusNoContent || w.bufferedStatus == http.StatusNotModified {
		w.header.Del("Content-Length")
	}
	w.start(w.bufferedStatus, int64(len(w.bufferedBody)))
	_, _ = w.response.Write(w.bufferedBody) // complete detects a failure
}

// complete sends the rest of the response, and closes the connection if no other request may
// follow on it. A response with a part of its body missing is aborted: the caller would
// take the next response for it.
func (w *orderedWriter) complete() {
	if !w.started || w.hijacked {
		return
	}
	defer w.response.close(errResponseEnded)
	switch {
	case w.response.err != nil:
	case w.response.incomplete():
		Abort(w)
		return
	default:
		_ = w.response.flush()
	}
	if w.response.err != nil || w.request.Close {
		_ = w.exchange.conn.Close()
	}
}
