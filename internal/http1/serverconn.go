package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/lesismal/nbio/nbhttp"
)

const (
	// serverReadBufferSize is the size in bytes of a connection's read buffer. Most requests
	// fit into it.
	serverReadBufferSize = 4 << 10
	// lingerTimeout is how long a connection that the server has closed is still read.
	// Closing a socket that has unread bytes resets it, and the reset can overtake the
	// last response.
	lingerTimeout = 300 * time.Millisecond
	// maxWritePiece is the largest size in bytes of one write of a response. The end of each
	// counts as progress of its reader. Links that bring less of it in minUnreadTime are slow
	// enough to be evicted.
	maxWritePiece = 32 << 10
)

// serverConn is a connection of a Server. nbhttp writes responses to it.
type serverConn struct {
	net.Conn
	server *Server
	addr   string // of the peer, without its port
	// writingSince is when the write in progress, of at most maxWritePiece, began, in ns since
	// 1970; 0 if there is none.
	writingSince atomic.Int64
	// interimMu keeps an interim response from being written while a response is.
	interimMu sync.Mutex

	// The following fields are guarded by Server.mu.
	slotFinished *sync.Cond // signalled by finishSlot
	pipeline     pipeline
	inFlight     map[*exchange]struct{} // started requests
	received     *requestBody           // of the request that is enqueued next
	receivedAt   time.Time              // when bytes were read last
	refusedBody  bool                   // the rest of a refused body may follow
	lingerSince  time.Time              // when Close was called first
	idleSince    time.Time              // when the last response was written; not meaningful while requests are in flight
	progress     progress               // of the request that is being received
	owner        string                 // that CheckHead stated last
	evicted      bool                   // counts in Server.evicting until it is closed
	aborted      bool                   // was closed by evict
	incomplete   CloseCause             // why a request is not waited for any longer
	expired      CloseCause             // why the read loop is to close the connection if it has read nothing; empty: it is not
	halfClosed   chan struct{}          // made when the peer has closed its sending side, closed when the connection fails after that
	closing      bool                   // the server has closed the connection or is about to close it
	closed       bool                   // the read loop has ended
	cause        CloseCause             // why the connection closes; empty until that is known
}

// errConnClosing ends the reading of requests on a connection that is about to close.
var errConnClosing = errors.New("the connection is closing")

// connReader reads the requests of a connection.
type connReader struct{ conn *serverConn }

// Read returns errConnClosing if no further request may start on the connection.
func (r connReader) Read(p []byte) (int, error) {
	for {
		n, err := r.conn.Conn.Read(p)
		if r.conn.isExpired(err) {
			n, err = r.conn.readArrived(p)
		}
		if err = r.conn.applyExpiry(n, err); err != nil {
			return 0, err
		}
		if r.conn.isClosing() {
			return 0, errConnClosing
		}
		if n > 0 {
			return n, nil
		}
	}
}

// serve reads requests until the connection ends.
func (c *serverConn) serve() {
	parser := nbhttp.NewParser(c, c.server.engine, nbhttp.NewServerProcessor(), false, c.execute)
	reader := bufio.NewReaderSize(connReader{c}, serverReadBufferSize)
	var head []byte // reused
	var err error
	for err == nil {
		if cap(head) > serverReadBufferSize {
			head = nil
		}
		head, err = c.readRequest(reader, parser, head[:0])
		if err == nil {
			err = c.awaitPipeline(reader)
		}
	}
	if errors.Is(err, errConnClosing) {
		err = c.discard()
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		c.serveHalfClosed()
	}
	_ = c.Conn.Close()
	parser.CloseAndClean(err)
	c.server.removeConn(c)
}

// readRequest reads a request, its head into buf, and starts it. It returns the buffer of
// the head for reuse.
func (c *serverConn) readRequest(r *bufio.Reader, parser *nbhttp.Parser, buf []byte) ([]byte, error) {
	body := &requestBody{small: c.server.cfg.SmallBodies, large: c.server.cfg.Bodies}
	defer func() {
		if body != nil {
			_ = body.Close()
		}
	}()
	body.awaitRoom = c.awaitRoom
	if _, err := r.Peek(1); err != nil {
		return nil, err
	}
	c.beginPhase(phaseHead)
	defer c.beginPhase(phaseNone)
	raw, err := readHead(r, buf, body, c.server.Limits().MaxHead)
	switch {
	case errors.Is(err, errIncomplete):
		c.refuseIncomplete()
		return nil, errConnClosing
	case errors.Is(err, errNotHTTP):
		c.reject(ClosedInvalid)
		return nil, errConnClosing
	case errors.Is(err, errRequestHead):
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, ClosedHeadSize)
		return nil, errConnClosing
	case errors.Is(err, errHeadBudget):
		c.refuse(http.StatusServiceUnavailable, ClosedMemory)
		return nil, errConnClosing
	case err != nil:
		return nil, err
	}
	head, err := parseHead(raw)
	if err != nil {
		c.refuse(http.StatusBadRequest, ClosedInvalid)
		return nil, errConnClosing
	}
	if body.refused = !c.checkHead(head); body.refused {
		head.trim()
	}
	if !body.takeFields(head.fields) {
		c.refuse(http.StatusServiceUnavailable, ClosedMemory)
		return nil, errConnClosing
	}
	if err := c.readBody(r, head, body); err != nil {
		return nil, err
	}
	c.setReceived(body)
	if err := parser.Parse(head.raw); err != nil {
		c.refuse(http.StatusBadRequest, ClosedInvalid)
	}
	body = c.setReceived(nil) // not nil if the request was rejected
	if c.isClosing() {
		return nil, errConnClosing
	}
	return raw, nil
}

// setReceived sets the body of the request that enqueueRequest is called for next, and
// returns the previous one if no request has taken it.
func (c *serverConn) setReceived(b *requestBody) *requestBody {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	previous := c.received
	c.received = b
	c.refusedBody = c.refusedBody || b != nil && b.err != nil && !b.complete
	return previous
}

// readBody reads the body of a request into b. The error is one of the connection; if the
// body is refused, b contains the reason.
func (c *serverConn) readBody(r *bufio.Reader, head requestHead, b *requestBody) error {
	maxBody := int64(c.server.Limits().MaxBody)
	switch {
	case !head.chunked && head.length == 0:
		if b.complete = true; b.refused {
			b.fail(ErrRequestRefused)
		}
		return nil
	case !head.chunked && head.length > maxBody:
		b.fail(ErrRequestBodyTooLarge)
		return nil
	case b.refused:
		return b.skip(r, head)
	case head.length > smallBodySize && !b.fits(head.length):
		b.fail(ErrRequestBodyBudget)
		return nil
	}
	if head.expectContinue && r.Buffered() == 0 {
		c.writeContinue()
	}
	c.beginPhase(phaseBody)
	var err error
	if head.chunked {
		err = b.receiveChunked(r, maxBody)
	} else {
		err = b.receive(r, head.length, head.length)
	}
	if errors.Is(err, errIncomplete) {
		b.fail(c.incompleteError())
		return nil
	}
	b.complete = err == nil && b.err == nil
	return err
}

// writeContinue asks the caller for the body that it has announced. If a request is in
// flight, the caller could take that for its response, and sends the body later unasked.
func (c *serverConn) writeContinue() {
	c.interimMu.Lock()
	defer c.interimMu.Unlock()
	c.server.mu.Lock()
	skip := c.pipeline.inFlight > 0 || c.closing
	c.server.mu.Unlock()
	if !skip {
		_, _ = io.WriteString(c, interimResponse) // a failed write closes the connection
	}
}

func (c *serverConn) isClosing() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.closing || c.pipeline.rejecting
}

// awaitPipeline waits until fewer than maxConcurrentPerConn requests are in flight, so
// that a caller that pipelines without end is not read any further. If nothing is left to
// parse in r, it reads on until more arrives, and so learns if the caller has left.
func (c *serverConn) awaitPipeline(r *bufio.Reader) error {
	for c.pipelineFull() {
		if r.Buffered() > 0 {
			c.awaitSlot()
		} else if _, err := r.Peek(1); err != nil {
			return err
		}
	}
	return nil
}

func (c *serverConn) pipelineFull() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.pipeline.inFlight >= maxConcurrentPerConn
}

// awaitSlot waits until fewer than maxConcurrentPerConn requests are in flight.
func (c *serverConn) awaitSlot() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	for c.pipeline.inFlight >= maxConcurrentPerConn {
		c.slotFinished.Wait()
	}
}

// reject makes the connection close after the responses to the requests in flight.
func (c *serverConn) reject(cause CloseCause) {
	c.server.mu.Lock()
	c.pipeline.rejecting = true
	c.setClosing(cause, c.pipeline.inFlight == 0)
	closing := c.closing
	c.server.mu.Unlock()
	if closing {
		_ = c.Conn.Close()
	}
}

// setClosing records the first cause for which the connection closes, and, if now is
// set, that no further request may start on it. The caller holds Server.mu.
func (c *serverConn) setClosing(cause CloseCause, now bool) {
	if c.cause == "" {
		c.cause = cause
	}
	c.closing = c.closing || now
}

// Close sends the end of the connection after the responses that were written. The read
// loop then closes the socket when the peer has closed it too, or after lingerTimeout.
func (c *serverConn) Close() error {
	c.server.mu.Lock()
	c.setClosing(ClosedByServer, true)
	linger := lingerTimeout
	if c.refusedBody {
		linger = discardIdleTimeout
	}
	now := time.Now()
	if c.lingerSince.IsZero() {
		c.lingerSince = now
	}
	c.server.mu.Unlock()
	if err := c.Conn.SetReadDeadline(now.Add(linger)); err != nil {
		return err
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Write writes b, and fails once the peer has read nothing, or less than MinRate, for
// WriteTimeout.
func (c *serverConn) Write(b []byte) (int, error) {
	defer c.writingSince.Store(0)
	written := 0
	for {
		n, err := c.writePiece(b[written:min(len(b), written+maxWritePiece)])
		written += n
		if err != nil {
			c.writeFailed(err)
		}
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// writePiece writes b like Write.
func (c *serverConn) writePiece(b []byte) (int, error) {
	written := 0
	minProgress := max(1, int(float64(c.server.cfg.MinRate)*c.server.cfg.WriteTimeout.Seconds()))
	for {
		now := time.Now()
		c.writingSince.Store(now.UnixNano())
		if err := c.Conn.SetWriteDeadline(now.Add(c.server.cfg.WriteTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:])
		written += n
		if n >= minProgress && errors.Is(err, os.ErrDeadlineExceeded) {
			continue // the peer reads slowly
		}
		return written, err
	}
}

// writeFailed closes the connection, on which a response ends early.
func (c *serverConn) writeFailed(err error) {
	cause := ClosedByPeer
	if errors.Is(err, os.ErrDeadlineExceeded) {
		cause = ClosedUnread
	}
	c.server.mu.Lock()
	c.setClosing(cause, true)
	c.wakeHalfClosed()
	c.server.mu.Unlock()
	_ = c.Conn.Close()
}

// SetReadDeadline does nothing: the server closes idle connections itself, because a
// deadline could expire just as a request arrives. nbhttp calls it after each response.
func (c *serverConn) SetReadDeadline(time.Time) error { return nil }
