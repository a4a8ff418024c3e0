package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Transport sends requests over persistent connections to any number of addresses.
// Unlike Pool it can skip a response that belongs to an earlier request, and it
// accepts a response that is delimited by the end of its connection. nbhttp's client
// supports neither, so Transport parses responses with net/http.
type Transport struct {
	cfg TransportConfig

	rests *BodyBudget // of the rests of bodies that are written after their responses

	mu            sync.Mutex
	idle          map[string][]*persistentConn // most recently used last
	underWay      map[string]underWay          // by address
	underWayTotal int64                        // bytes, to all addresses
	idleCount     int                          // of all addresses
}

// TransportConfig configures a Transport.
type TransportConfig struct {
	DialTimeout    time.Duration
	IdleTimeout    time.Duration // a connection that was idle for longer is not reused
	MaxBody        int64         // largest response body in bytes
	MaxIdlePerAddr int           // idle connections kept per address
	MaxIdle        int           // idle connections kept; 0 means that only MaxIdlePerAddr applies
	// Bodies bounds the memory of response bodies; it may be shared by several transports.
	// A body counts until Do returns, or until Release of Request.Attempts. If nil, only
	// MaxBody applies.
	Bodies *BodyBudget
	// StreamAbove is the size in bytes from which on the body of a response is returned as a
	// stream, if the request allows that and the length is known. If 0, only bodies for which
	// Bodies has no room are streamed.
	StreamAbove int64
	// RejectsExcessConns states that peers with too many connections accept a new one and
	// reset it immediately. The outcome of a request written before the reset arrives is
	// unknown, so a new connection is used only after the time in which a reset would
	// have arrived.
	RejectsExcessConns bool
	// CloseIdleOnError closes all idle connections to an address when reading a response from
	// it fails, because the other connections may be dead as well. It suits peers that
	// respond quickly.
	CloseIdleOnError bool
	// WriteStallTimeout is how long a peer may take no byte of a body of more than 16 KiB; 0
	// means 5 s. The request then counts as lost.
	WriteStallTimeout time.Duration
}

// keepAliveMargin is subtracted from the timeout in a peer's Keep-Alive header, so
// that the peer does not close a connection while a request is on its way.
const keepAliveMargin = 1500 * time.Millisecond

// ErrConnRejected reports that the peer closed a new connection immediately.
var ErrConnRejected = errors.New("peer closed the connection immediately after accepting it")

const (
	// rejectRTTs is the time, in round-trip times, within which the reset of a new
	// connection arrives; rejectMargin is added for the peer's processing.
	rejectRTTs   = 1.5
	rejectMargin = time.Millisecond
	// maxRejectWait limits that wait if the dial was slow for another reason.
	maxRejectWait = 10 * time.Millisecond
)

// Bounds on what a peer may send before the response to a request. Without them a faulty
// peer could send bytes without end, which take memory until the deadline of the request.
const (
	// maxHeadSize is the largest response head in bytes. It is small because a header map of
	// short lines takes many times their bytes.
	maxHeadSize = 32 << 10
	// maxInterim and maxSkipped are the largest numbers of interim (1xx) responses and of
	// responses that accept refuses. A sound peer sends one or two interim responses, and a
	// connection with leftover bytes is not reused, so that few responses are skipped.
	maxInterim = 8
	maxSkipped = 8
	// maxSkippedSize is the largest size in bytes of the bodies of all skipped responses.
	maxSkippedSize = 1 << 20
)

// Errors that a LostError of a Transport wraps if the peer exceeds a bound.
var (
	ErrHeadTooLarge     = errors.Errorf("response head exceeds %d bytes", maxHeadSize)
	ErrTooManyResponses = errors.Errorf("more than %d interim responses, or %d responses to other requests", maxInterim, maxSkipped)
	ErrSkippedTooLarge  = errors.Errorf("responses to other requests exceed %d bytes", maxSkippedSize)
)

// ErrOtherRequest is what the accept function of Transport.Do returns for a response to another
// request.
var ErrOtherRequest = errors.New("the response belongs to another request")

// NewTransport returns a transport without open connections.
func NewTransport(cfg TransportConfig) *Transport {
	return &Transport{
		cfg: cfg, rests: NewBodyBudget(maxRests), idle: make(map[string][]*persistentConn), underWay: make(map[string]underWay),
	}
}

// AttemptGroup makes the attempts of one request use different connections. A response
// carries the id of its request, not of the attempt: if a peer writes its response to an
// earlier attempt once more, only the connection tells it from that to a later attempt.
// The bodies of the responses count in TransportConfig.Bodies until Release. The zero
// value is ready for use.
type AttemptGroup struct {
	mu       sync.Mutex
	conns    []*persistentConn // connections on which an attempt was written
	bodies   []heldBody
	released bool
}

// heldBody is a buffer of size bytes that counts in a budget.
type heldBody struct {
	budget *BodyBudget
	size   int64
}

// Release states that the bodies of the responses are no longer used. Bodies of attempts
// that end later count only until their Do returns.
func (g *AttemptGroup) Release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.bodies {
		b.budget.release(b.size)
	}
	g.bodies, g.released = nil, true
}

// hold keeps a buffer of size bytes counted in budget until Release. Without a group, or
// after Release, it is released at once.
func (g *AttemptGroup) hold(budget *BodyBudget, size int64) {
	if g != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		if !g.released {
			g.bodies = append(g.bodies, heldBody{budget, size})
			return
		}
	}
	budget.release(size)
}

func (g *AttemptGroup) used(pc *persistentConn) bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Contains(g.conns, pc)
}

func (g *AttemptGroup) add(pc *persistentConn) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns = append(g.conns, pc)
}

// persistentConn is a connection of a Transport, which serves one request at a time.
type persistentConn struct {
	conn    net.Conn
	source  *headReader // reads from conn
	reader  *bufio.Reader
	expires time.Time
	// answered states that a response, other than an interim one, has arrived.
	answered bool
	// boundedSend states that the send buffer has sendBufferSize.
	boundedSend bool
}

// readBufferSize is the size in bytes of a connection's read buffer. It is also the bound
// that net/http sets on a trailer and on the line with the size of a chunk.
const readBufferSize = 2 << 10

// headReader reads from a connection. It checks response heads, and bounds their bytes.
type headReader struct {
	conn    net.Conn
	inHead  bool
	left    int         // bytes that may still be read while inHead
	scanner headScanner // of the head
	err     error       // of scanner; returned again since net/http ignores errors where it looks ahead
}

// Read returns ErrHeadTooLarge if the head exceeds its bound, and the error of scanner instead of
// bytes that it refuses.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.inHead {
		return r.conn.Read(p)
	}
	switch {
	case r.err != nil:
		return 0, r.err
	case r.left <= 0:
		return 0, ErrHeadTooLarge
	}
	n, err := r.conn.Read(p[:min(len(p), r.left)])
	r.left -= n
	if _, r.err = r.scanner.scan(p[:n]); r.err != nil {
		return 0, r.err
	}
	return n, err
}

// beginHead states that the next response head begins with the bytes that buffer contains, which
// Read has returned before.
func (r *headReader) beginHead(buffer *bufio.Reader) error {
	r.inHead, r.left, r.scanner = true, maxHeadSize, headScanner{}
	buffered, err := buffer.Peek(buffer.Buffered())
	if err != nil {
		return err
	}
	_, err = r.scanner.scan(buffered)
	return err
}

// endHead states that the head has been read.
func (r *headReader) endHead() { r.inHead, r.scanner = false, headScanner{} }

// CloseIdle closes the idle connections to addr.
func (t *Transport) CloseIdle(addr string) {
	t.mu.Lock()
	conns := t.idle[addr]
	delete(t.idle, addr)
	t.idleCount -= len(conns)
	t.mu.Unlock()
	for _, pc := range conns {
		_ = pc.conn.Close()
	}
}

// CloseExpired closes the idle connections whose idle timeout has expired.
func (t *Transport) CloseExpired(now time.Time) {
	var expired []*persistentConn
	t.mu.Lock()
	for addr, conns := range t.idle {
		kept := conns[:0]
		for _, pc := range conns {
			if now.Before(pc.expires) {
				kept = append(kept, pc)
			} else {
				expired = append(expired, pc)
			}
		}
		if t.idle[addr] = kept; len(kept) == 0 {
			delete(t.idle, addr)
		}
	}
	t.idleCount -= len(expired)
	t.mu.Unlock()
	for _, pc := range expired {
		_ = pc.conn.Close()
	}
}

// Do sends req to addr and returns the first complete response that accept returns no error
// for; a nil accept accepts every response. accept is called before the body is read. If it
// returns ErrOtherRequest, the response is skipped, and on any other error the connection is
// closed, since nothing that follows can be the response. The error is a *NotSentError or a *LostError. If ctx ends first, the connection
// is closed; a streamed body counts as part of the response in this.
//
// A response may arrive before a body of more than 16 KiB has been written, or writing may
// fail because the peer has responded and closed the connection. The response is returned
// nevertheless. The connection is then used again only if the rest of the body has been
// written. The memory of the body is not used after Do, or after the end of a stream.
func (t *Transport) Do(ctx context.Context, addr string, req *Request, accept func(*Response) error) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &NotSentError{Addr: addr, Err: err}
	}
	share, err := t.reserve(addr, req.bodySize())
	if err != nil {
		return nil, &NotSentError{Addr: addr, Err: err}
	}
	defer share.drop()
	for {
		pc, reused, err := t.acquire(ctx, addr, req.Attempts)
		if err != nil {
			return nil, &NotSentError{Addr: addr, Err: err}
		}
		if req.BeforeWrite != nil {
			if err := req.BeforeWrite(); err != nil {
				if !reused || !t.putBack(addr, pc) {
					_ = pc.conn.Close()
				}
				return nil, &NotSentError{Addr: addr, Err: err}
			}
		}
		req.Attempts.add(pc)
		res, err := t.roundTrip(ctx, addr, pc, req, share, accept)
		if _, notSent := err.(*NotSentError); notSent && reused && ctx.Err() == nil {
			continue // the peer has closed the idle connection
		}
		return res, err
	}
}

// roundTrip sends req on pc and returns the response. It keeps or closes pc.
func (t *Transport) roundTrip(ctx context.Context, addr string, pc *persistentConn, req *Request, share *bodyShare, accept func(*Response) error) (*Response, error) {
	w := newBodyWriter(pc, req, share, t.cfg.WriteStallTimeout)
	stop := cancelWith(ctx, pc.conn, w)
	n, err := writeStart(pc.conn, addr, req, req.bodySize())
	switch {
	case err != nil && n == 0:
		stop()
		pc.reset()
		return nil, &NotSentError{Addr: addr, Err: err}
	case err != nil && ctx.Err() == nil: // the peer may have responded before it closed the connection
		if w == nil {
			w = &bodyWriter{conn: pc.conn, done: make(chan struct{})}
		}
		w.finish(err)
	case err == nil && w != nil:
		w.start()
	}
	if w != nil {
		accept = w.accepting(accept)
	}
	res, keep, err := pc.readResponse(req, t.cfg, w, accept)
	stopped := stop()
	if err == nil && res.Stream != nil {
		res.Stream.writer = w
		if stopped && res.Stream.attach(ctx, t, addr) {
			return res, nil
		}
		w.abandon()
		pc.reset()
		return nil, &LostError{Addr: addr, Err: ctx.Err()}
	}
	switch {
	case ctx.Err() != nil || err != nil && w != nil:
		if ctx.Err() != nil && err != nil {
			err = ctx.Err()
		} else if failure := w.failure(); failure != nil && errors.Is(err, os.ErrDeadlineExceeded) {
			err = failure
		}
		w.abandon()
		pc.reset()
	case err != nil:
		_ = pc.conn.Close()
	default:
		t.settle(addr, pc, res, w, keep && stopped && !req.CloseAfter)
	}
	if err != nil {
		if t.cfg.CloseIdleOnError {
			t.CloseIdle(addr)
		}
		return nil, &LostError{Addr: addr, Err: err}
	}
	req.Attempts.hold(t.cfg.Bodies, int64(cap(res.Body)))
	return res, nil
}

// cancelWith makes the end of ctx end reading from conn, and writing to it also by w, until
// the returned function is called.
func cancelWith(ctx context.Context, conn net.Conn, w *bodyWriter) (stop func() bool) {
	if w != nil {
		return context.AfterFunc(ctx, w.cancel)
	}
	return context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
}

// acquire returns a usable idle connection to addr that no attempt of g has used (reused
// is true) or opens one.
func (t *Transport) acquire(ctx context.Context, addr string, g *AttemptGroup) (pc *persistentConn, reused bool, err error) {
	now := time.Now()
	for {
		pc := t.popIdle(addr, g)
		if pc == nil {
			break
		}
		if now.Before(pc.expires) && pc.usable() {
			return pc, true, nil
		}
		_ = pc.conn.Close()
	}
	d := net.Dialer{Timeout: t.cfg.DialTimeout, KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if t.cfg.RejectsExcessConns && errors.Is(err, syscall.ECONNRESET) {
		// The connection was reset before the dial returned. Without a listener the error
		// would be ECONNREFUSED.
		return nil, false, ErrConnRejected
	}
	if err != nil {
		return nil, false, err
	}
	if t.cfg.RejectsExcessConns {
		rtt := time.Since(now)
		if !staysOpen(conn, min(time.Duration(rejectRTTs*float64(rtt))+rejectMargin, maxRejectWait)) {
			_ = conn.Close()
			return nil, false, ErrConnRejected
		}
	}
	source := &headReader{conn: conn}
	return &persistentConn{conn: conn, source: source, reader: bufio.NewReaderSize(source, readBufferSize)}, false, nil
}

// staysOpen reports whether the peer neither closes the new connection nor sends
// anything on it for d.
func staysOpen(conn net.Conn, d time.Duration) bool {
	if err := conn.SetReadDeadline(time.Now().Add(d)); err != nil {
		return false
	}
	var b [1]byte
	if _, err := conn.Read(b[:]); !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return conn.SetReadDeadline(time.Time{}) == nil
}

// popIdle removes and returns the most recently used idle connection to addr that no
// attempt of g has used, or returns nil if there is none.
func (t *Transport) popIdle(addr string, g *AttemptGroup) *persistentConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := t.idle[addr]
	for i, pc := range slices.Backward(conns) {
		if !g.used(pc) {
			t.idle[addr] = slices.Delete(conns, i, i+1)
			t.idleCount--
			return pc
		}
	}
	return nil
}

// putIdle keeps pc for later requests, at most for the idle timeout that the peer
// announced in its response. It returns false if pc cannot be kept.
func (t *Transport) putIdle(addr string, pc *persistentConn, res *Response, now time.Time) bool {
	keep := t.cfg.IdleTimeout
	if peerTimeout, ok := parseKeepAliveTimeout(res.Header.Get("Keep-Alive")); ok {
		keep = min(keep, peerTimeout-keepAliveMargin)
	}
	if keep <= 0 {
		return false
	}
	pc.expires = now.Add(keep)
	return t.putBack(addr, pc)
}

// putBack keeps pc for later requests until it expires, unless there are enough.
func (t *Transport) putBack(addr string, pc *persistentConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.idle[addr]) >= t.cfg.MaxIdlePerAddr || t.cfg.MaxIdle > 0 && t.idleCount >= t.cfg.MaxIdle {
		return false
	}
	t.idleCount++
	t.idle[addr] = append(t.idle[addr], pc)
	return true
}

// parseKeepAliveTimeout returns the timeout parameter of a Keep-Alive header.
func parseKeepAliveTimeout(header string) (time.Duration, bool) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		s, err := strconv.Atoi(strings.TrimSpace(value))
		return time.Duration(s) * time.Second, err == nil
	}
	return 0, false
}

// usable reports whether the peer has neither closed the idle connection nor sent
// anything on it. Bytes that arrive before a request do not belong to its response.
func (pc *persistentConn) usable() bool {
	sc, ok := pc.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), b[:])
		wouldBlock = err == syscall.EAGAIN
		return true
	})
	return wouldBlock && err == nil
}

// reset closes the connection with a TCP reset, which discards unsent bytes: a request
// that has been abandoned must not arrive later.
func (pc *persistentConn) reset() {
	if tcp, ok := pc.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = pc.conn.Close()
}

// readHead reads the head of a response.
func (pc *persistentConn) readHead(method string) (*http.Response, error) {
	defer pc.source.endHead()
	if err := pc.source.beginHead(pc.reader); err != nil {
		return nil, errors.Wrap(err, "read response header")
	}
	if err := checkStatusLine(pc.reader); err != nil {
		return nil, errors.Wrap(err, "read response header")
	}
	res, err := http.ReadResponse(pc.reader, &http.Request{Method: method})
	if err != nil {
		return nil, errors.Wrap(err, "read response header")
	}
	if err := checkStatus(res); err != nil {
		return nil, errors.Wrap(err, "read response header")
	}
	return res, nil
}

// readResponse returns the first response for which accept returns no error, and whether
// the connection can be reused. It skips those for which accept returns ErrOtherRequest. The body of the response counts in cfg.Bodies. w writes
// the request, and is nil if that has been written.
func (pc *persistentConn) readResponse(req *Request, cfg TransportConfig, w *bodyWriter, accept func(*Response) error) (*Response, bool, error) {
	interim, skipped, skippedSize := 0, 0, int64(0)
	for interim <= maxInterim && skipped <= maxSkipped {
		res, err := pc.readHead(req.Method)
		if err != nil {
			return nil, false, err
		}
		if res.StatusCode < minFinalStatus {
			interim++
			continue
		}
		response := &Response{Status: res.StatusCode, Header: res.Header, FirstOnConn: !pc.answered}
		pc.answered = true
		if accept != nil {
			err = accept(response)
		}
		if err != nil && !errors.Is(err, ErrOtherRequest) {
			return nil, false, err
		}
		if err != nil {
			if res.Close {
				return nil, false, errors.New("connection closed after a response to another request")
			}
			n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxSkippedSize-skippedSize+1))
			if err != nil {
				return nil, false, errors.Wrap(err, "read response body")
			}
			skipped++
			if skippedSize += n; skippedSize > maxSkippedSize {
				return nil, false, ErrSkippedTooLarge
			}
			if err := checkTrailer(res.Trailer); err != nil {
				return nil, false, errors.Wrap(err, "read response trailer")
			}
			continue
		}
		if cfg.streams(req, res) {
			response.Stream = &BodyStream{Length: res.ContentLength, left: res.ContentLength, conn: pc, response: response, body: res.Body, reusable: !res.Close}
			return response, true, nil
		}
		if response.Body, err = readBody(res, cfg.MaxBody, cfg.Bodies); err != nil {
			return nil, false, err
		}
		if err := checkEnd(res, w); err != nil {
			cfg.Bodies.release(int64(cap(response.Body)))
			return nil, false, err
		}
		response.Trailer = res.Trailer
		return response, !res.Close && pc.reader.Buffered() == 0, nil
	}
	return nil, false, ErrTooManyResponses
}

// checkEnd checks what follows the body of res, which has been read: its trailer, or the end of
// the connection. w writes the request.
func checkEnd(res *http.Response, w *bodyWriter) error {
	if err := checkTrailer(res.Trailer); err != nil {
		return errors.Wrap(err, "read response trailer")
	}
	if !endsWithConn(res) {
		return nil
	}
	if err := w.checkStreamEnd(); err != nil {
		return errors.Wrap(err, "read response body")
	}
	return nil
}
