package http1

import (
	"io"
	"net"
	"os"
	"sync"
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
)

// serverConn is a connection of a Server. nbhttp writes responses to it.
type serverConn struct {
	net.Conn
	server *Server
	// interimMu keeps an interim response from being written while a response is.
	interimMu sync.Mutex

	// The following fields are guarded by Server.mu.
	slotFinished *sync.Cond // signalled by finishSlot
	pipeline     pipeline
	inFlight     map[*exchange]struct{} // started requests
	unparsed     int                    // bytes read since the last complete request
	idleSince    time.Time              // when the last request ended; not meaningful while requests are in flight
	expired      CloseCause             // why the read loop is to close the connection if it has read nothing; empty: it is not
	halfClosed   chan struct{}          // made when the peer has closed its sending side, closed when the connection fails after that
	closing      bool                   // the server has closed the connection or is about to close it
	closed       bool                   // the read loop has ended
	cause        CloseCause             // why the connection closes; empty until that is known
}

// serve reads requests until the connection ends.
func (c *serverConn) serve() {
	parser := nbhttp.NewParser(c, c.server.engine, nbhttp.NewServerProcessor(), false, c.execute)
	buf := make([]byte, serverReadBufferSize)
	var err error
	for err == nil {
		var n int
		n, err = c.Conn.Read(buf)
		if err = c.applyExpiry(n, err); err != nil {
			break
		}
		if n > 0 && !c.isClosing() && (parser.Parse(buf[:n]) != nil || !c.withinReadLimit(n)) {
			c.reject(ClosedInvalid)
		}
		c.awaitPipeline()
	}
	if err == io.EOF {
		c.serveHalfClosed()
	}
	_ = c.Conn.Close()
	parser.CloseAndClean(err)
	c.server.removeConn(c)
}

// applyExpiry decides, after a read that returned n and err, whether a connection that
// closeIdle has marked as expired closes. It returns the error that ends the read loop.
func (c *serverConn) applyExpiry(n int, err error) error {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case c.closing, err != nil && !timedOut, err == nil && c.expired == "":
		return err
	case n == 0 && c.expired != "":
		c.setClosing(c.expired, true)
		return err
	}
	c.expired = ""
	return c.Conn.SetReadDeadline(time.Time{})
}

func (c *serverConn) isClosing() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.closing || c.pipeline.rejecting
}

// withinReadLimit counts n bytes that were read, and reports whether the request that
// they belong to is within the limit. nbhttp limits each line and body, but not the
// number of lines.
func (c *serverConn) withinReadLimit(n int) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.unparsed += n
	return c.unparsed <= c.server.engine.ReadLimit+serverReadBufferSize
}

// awaitPipeline waits until fewer than maxConcurrentPerConn requests are in flight, so
// that a caller that pipelines without end is not read any further.
func (c *serverConn) awaitPipeline() {
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
	c.server.mu.Unlock()
	if err := c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)); err != nil {
		return err
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Write writes b, and fails once the peer has read nothing for WriteTimeout.
func (c *serverConn) Write(b []byte) (int, error) {
	written := 0
	for {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.server.cfg.WriteTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:])
		written += n
		if n > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			continue // the peer reads slowly
		}
		if err != nil {
			c.writeFailed(err)
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
