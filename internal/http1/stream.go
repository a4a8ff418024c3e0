package http1

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
)

// BodyStream is the body of a response that is read from its connection while it is used.
// It ends with io.EOF only after all of its bytes.
type BodyStream struct {
	Length int64 // bytes

	transport *Transport
	addr      string
	conn      *persistentConn
	response  *Response
	body      io.Reader
	writer    *bodyWriter // of the request's body; nil if that has been written
	reusable  bool        // the connection may be used again after the body

	mu    sync.Mutex
	stop  func() bool // ends the effect of the request's context
	left  int64       // bytes
	ended bool
}

// Read reads the next bytes of the body. It must not be called concurrently.
func (s *BodyStream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	s.left -= int64(n)
	switch {
	case s.left == 0:
		s.end(true)
		return n, io.EOF
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		s.end(false)
		return n, errors.Wrap(err, "read response body")
	}
	return n, nil
}

// Close resets the connection, unless the whole body has been read. It may be called at
// any time and more than once.
func (s *BodyStream) Close() { s.end(false) }

// end releases the connection. complete states that the whole body has been read.
func (s *BodyStream) end(complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	keep := s.stop() && complete && s.reusable && s.conn.reader.Buffered() == 0
	if !complete {
		s.writer.abandon()
		s.conn.reset()
		return
	}
	s.transport.settle(s.addr, s.conn, s.response, s.writer, keep)
}

// attach makes the stream end with ctx. It returns false if ctx has ended.
func (s *BodyStream) attach(ctx context.Context, t *Transport, addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transport, s.addr = t, addr
	s.stop = context.AfterFunc(ctx, s.Close)
	return ctx.Err() == nil
}

// streams reports whether the body of res is returned as a stream: the request allows it,
// the length is known, and the body is too large to be kept.
func (cfg *TransportConfig) streams(req *Request, res *http.Response) bool {
	switch {
	case !req.Stream || res.Body == http.NoBody || res.StatusCode < 200 || res.StatusCode >= 300:
		return false
	case res.ContentLength <= unbudgetedBodySize || res.ContentLength > cfg.MaxBody:
		return false
	case cfg.StreamAbove > 0 && res.ContentLength > cfg.StreamAbove:
		return true
	}
	return !cfg.Bodies.hasRoom(res.ContentLength + 1)
}
