// Package http1 implements an HTTP/1.1 server on nbhttp's parser, a client on nbhttp,
// and a second client, Transport, on net/http's parser.
//
// The clients keep one connection pool per address and send one request at a time
// on a connection. They distinguish two failures, because the outcome of a refusal
// depends on it: NotSentError means that no byte of the request was written,
// LostError that the peer may have received the request. A connection whose request
// did not end with a complete response is closed and not reused. Pool rejects a
// response with neither Content-Length nor chunked encoding, because the end of such
// a response cannot be distinguished from a truncated one. Transport accepts it if the
// peer has ended the connection by a FIN.
package http1

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
)

func init() {
	// nbio logs connection resets, which are expected in normal operation, at error
	// level.
	logging.SetLevel(logging.LevelNone)
}

// Client is a set of connection pools that are closed together.
type Client struct {
	engine  *nbhttp.Engine
	barrier *loopBarrier

	mu    sync.Mutex
	pools []*Pool
}

// maxPoolBody is the largest response body in bytes. nbhttp's default ReadLimit bounds a
// body with a length to the same size, but not one in chunks.
const maxPoolBody = nbhttp.DefaultHTTPReadLimit

// sharedEngine starts the event loop that all clients of the process share. The
// engine is never stopped: nbio ignores a Stop call made before its pollers run and
// then blocks forever.
var sharedEngine = sync.OnceValues(func() (*Client, error) {
	engine := nbhttp.NewEngine(nbhttp.Config{
		Name: "http1-client", SupportServerOnly: true, MaxHTTPBodySize: maxPoolBody,
		NPoller: 1, // loopBarrier waits for one event loop
		// Response handlers run outside the event loop. If a connection closes while its
		// handler runs, nbio runs the close callback after the handler; the callback locks
		// the parser, which the event loop holds, so the event loop would deadlock.
		ServerExecutor: func(f func()) { go f() },
	})
	// nbio duplicates descriptors without close-on-exec. If a child process inherits
	// one, epoll still delivers events for it after this process has closed it, and
	// these events close any new connection with the same descriptor number.
	engine.Engine.OnOpen(func(c *nbio.Conn) {
		syscall.CloseOnExec(c.Hash())
		if _, ok := c.Session().(*nbhttp.Parser); ok { // not that of loopBarrier
			scanResponses(c)
		}
	})
	if err := engine.Start(); err != nil {
		return nil, errors.Wrap(err, "start client engine")
	}
	barrier, err := newLoopBarrier(engine)
	if err != nil {
		return nil, errors.Wrap(err, "start client engine")
	}
	return &Client{engine: engine, barrier: barrier}, nil
})

// NewClient returns a client without pools.
func NewClient() (*Client, error) {
	shared, err := sharedEngine()
	if err != nil {
		return nil, err
	}
	return &Client{engine: shared.engine, barrier: shared.barrier}, nil
}

// Close closes all pools.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.Close()
	}
	c.pools = nil
}

// Request is an HTTP request with its complete body.
type Request struct {
	Method string
	Target string // path and query as on the request line
	Host   string // Host header; if empty, the address that the request is sent to
	Header http.Header
	Body   []byte
	// Chunks contains the body instead of Body, in parts that are not copied. Pool does not
	// send it.
	Chunks [][]byte
	// Attempts links the attempts of the request at one Transport, which then use different
	// connections. If nil, any connection is used. Pool ignores it.
	Attempts *AttemptGroup
	// Stream allows a Transport to return the body of a successful response as a stream, if
	// the body is too large to be kept. Pool ignores it.
	Stream bool
	// CloseAfter closes the connection after the response, so that no later request can be
	// answered by a second copy of it. Pool ignores it.
	CloseAfter bool
	// BeforeWrite, if not nil, is called once a connection is available. If it returns an
	// error, the request is not sent. Pool ignores it.
	BeforeWrite func() error
}

// Response is an HTTP response with its complete body, or with a stream of it.
type Response struct {
	Status  int
	Header  http.Header
	Trailer http.Header
	Body    []byte
	// Stream, if not nil, is the body instead of Body. It must be read to its end or closed;
	// the end of the request's context closes it too.
	Stream *BodyStream
	// FirstOnConn states that no other response arrived on the connection before this one,
	// so that it cannot belong to an earlier request. Only Transport sets it.
	FirstOnConn bool
	// Early states that the response began to arrive before the request had been written.
	// Only Transport sets it.
	Early bool
}

// NotSentError reports a request of which no byte was written.
type NotSentError struct {
	Addr string
	Err  error
}

func (e *NotSentError) Error() string { return "request to " + e.Addr + " not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// LostError reports a request without a complete response that the peer may have
// received.
type LostError struct {
	Addr string
	Err  error
}

func (e *LostError) Error() string { return "request to " + e.Addr + " lost: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// Errors that a NotSentError or LostError wraps.
var (
	ErrPoolFull   = errors.New("all connections of the pool are in use")
	ErrPoolClosed = errors.New("connection pool is closed")
	ErrUnframed   = errors.New("response has neither Content-Length nor chunked encoding")
)

// PoolConfig sets the limits of a pool.
type PoolConfig struct {
	MaxConns    int           // open connections; 0 means 128
	DialTimeout time.Duration // 0 means 500 ms
	IdleTimeout time.Duration // time after which an idle connection is not reused; 0 means 30 s
}

const (
	defaultMaxConns    = 128
	defaultDialTimeout = 500 * time.Millisecond
	defaultIdleTimeout = 30 * time.Second
)

// Pool is a connection pool for one address.
type Pool struct {
	client *Client
	addr   string
	cfg    PoolConfig

	mu     sync.Mutex
	idle   []*conn // most recently used last
	conns  map[*conn]struct{}
	closed bool
}

// NewPool returns a pool for addr ("IP:port"). Connections are opened on demand.
func (c *Client) NewPool(addr string, cfg PoolConfig) *Pool {
	if cfg.MaxConns <= 0 {
		cfg.MaxConns = defaultMaxConns
	}
	if cfg.DialTimeout <= 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.IdleTimeout <= 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	p := &Pool{client: c, addr: addr, cfg: cfg, conns: make(map[*conn]struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pools = append(c.pools, p)
	return p
}

func (c *Client) removePool(p *Pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pools = slices.DeleteFunc(c.pools, func(q *Pool) bool { return q == p })
}

// Addr returns the address that the pool connects to.
func (p *Pool) Addr() string { return p.addr }

// Close closes all connections; requests in flight fail with a LostError.
func (p *Pool) Close() {
	go p.client.removePool(p) // not synchronously: Client.Close holds the client's lock
	p.mu.Lock()
	p.closed = true
	conns := make([]*conn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.idle = nil
	p.mu.Unlock()
	for _, c := range conns {
		c.close(ErrPoolClosed)
	}
}

// Retire closes the idle connections immediately and the others once their requests
// have ended. Later calls of Do fail with a NotSentError.
func (p *Pool) Retire() {
	p.client.removePool(p)
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

// CloseIdle closes the idle connections. Callers use it when the peer has not
// responded on one connection, because the others may be dead as well.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close(io.EOF)
	}
}

// Do sends req and waits for the complete response or the end of ctx. The error is
// a *NotSentError or a *LostError.
func (p *Pool) Do(ctx context.Context, req *Request) (*Response, error) {
	for attempt := 1; ; attempt++ {
		res, err := p.doOnce(ctx, req)
		if attempt == maxAttempts || !closedBeforeWrite(err) {
			return res, err
		}
	}
}

// maxAttempts limits how often Do tries another connection when the one that it took
// was already closed. nbio closes an idle connection shortly before it reports the
// close.
const maxAttempts = 3

// closedBeforeWrite reports whether a request failed because its connection was closed
// before the request was written.
func closedBeforeWrite(err error) bool {
	var notSent *NotSentError
	return errors.As(err, &notSent) && (errors.Is(err, net.ErrClosed) || errors.Is(err, nbhttp.ErrClientClosed))
}

func (p *Pool) doOnce(ctx context.Context, req *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &NotSentError{Addr: p.addr, Err: err}
	}
	httpReq, err := p.newRequest(req)
	if err != nil {
		return nil, &NotSentError{Addr: p.addr, Err: err}
	}
	c, err := p.acquire()
	if err != nil {
		return nil, &NotSentError{Addr: p.addr, Err: err}
	}
	return c.do(ctx, httpReq, req.encodedSizeBound() <= maxAtomicSize)
}

// maxAtomicSize is the size in bytes up to which a request is written with a single
// write, and so either completely or not at all. It is below the buffer size of
// net/http's Request.Write.
const maxAtomicSize = 3 << 10

// encodedSizeBound returns an upper bound for the size of the encoded request in
// bytes.
func (r *Request) encodedSizeBound() int {
	n := len(r.Method) + len(r.Target) + len(r.Host) + len(r.Body) + 128
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

func (p *Pool) newRequest(req *Request) (*http.Request, error) {
	u, err := url.ParseRequestURI(req.Target)
	if err != nil {
		return nil, errors.Wrapf(err, "target %q", req.Target)
	}
	u.Scheme, u.Host = "http", p.addr
	header := req.Header
	if header == nil {
		header = http.Header{}
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // prevents net/http from adding its default
	}
	r := &http.Request{
		Method: req.Method, URL: u, Host: req.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(req.Body)),
	}
	if len(req.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(req.Body))
	}
	return r, nil
}

// acquire takes an idle connection from the pool or registers a new one, which dials
// when it sends its first request.
func (p *Pool) acquire() (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrPoolClosed
	}
	p.closeExpired(time.Now())
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if c.usable() {
			return c, nil
		}
		delete(p.conns, c)
		go c.nbConn.CloseWithError(io.EOF)
	}
	if len(p.conns) >= p.cfg.MaxConns {
		return nil, ErrPoolFull
	}
	c := newConn(p)
	p.conns[c] = struct{}{}
	return c, nil
}

// closeExpired closes the connections whose idle timeout has expired. It replaces
// nbhttp's idle timeout, which is not disarmed by the next request and would abort
// it. The caller holds mu.
func (p *Pool) closeExpired(now time.Time) {
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleSince) >= p.cfg.IdleTimeout {
		c := p.idle[0]
		p.idle = p.idle[1:]
		delete(p.conns, c)
		go c.nbConn.CloseWithError(io.EOF)
	}
}

// release returns a connection to the pool after its request, or closes it if the pool
// is closed.
func (p *Pool) release(c *conn) {
	p.mu.Lock()
	_, registered := p.conns[c]
	keep := registered && !p.closed
	if keep {
		c.idleSince = time.Now()
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		c.close(io.EOF)
	}
}

// remove removes a closed connection from the pool.
func (p *Pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	for i, d := range p.idle {
		if d == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// conn is a pooled connection, which serves one request at a time.
type conn struct {
	pool   *Pool
	nbConn *nbhttp.ClientConn
	dialed bool // set before the request is written, read after the request has ended
	// netConn is the underlying connection; nil before the first response.
	netConn interface{ IsClosed() (bool, error) }

	idleSince time.Time // guarded by pool.mu
}

func newConn(p *Pool) *conn {
	c := &conn{pool: p}
	c.nbConn = &nbhttp.ClientConn{
		Engine: p.client.engine,
		Dial: func(network, addr string) (net.Conn, error) {
			nc, err := p.dial(network, addr)
			c.dialed = err == nil
			return nc, err
		},
	}
	c.nbConn.OnClose(func() { p.remove(c) })
	return c
}

// dial returns a new connection of which the event loop has no events of an earlier one with
// the same descriptor.
func (p *Pool) dial(network, addr string) (net.Conn, error) {
	nc, err := net.DialTimeout(network, addr, p.cfg.DialTimeout)
	if err != nil {
		return nil, err
	}
	c, err := nbio.NBConn(nc) // duplicates the descriptor and closes nc
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	if err := p.client.barrier.wait(p.cfg.DialTimeout); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// usable reports whether the connection is not known to be closed.
func (c *conn) usable() bool {
	if c.netConn == nil {
		return true
	}
	closed, _ := c.netConn.IsClosed()
	return !closed
}

type result struct {
	res *Response
	err error
}

// do sends req and waits for its response or the end of ctx. atomic states that req
// is written with a single write, so that a failed write sent nothing.
func (c *conn) do(ctx context.Context, req *http.Request, atomic bool) (*Response, error) {
	done := make(chan result, 1)
	send := func() {
		c.nbConn.Do(req, func(res *http.Response, nc net.Conn, err error) {
			if err != nil {
				done <- result{err: c.classify(err, atomic)}
				return
			}
			c.netConn, _ = nc.(interface{ IsClosed() (bool, error) })
			copied, err := copyResponse(req.Method, res)
			if err != nil {
				err = &LostError{Addr: c.pool.addr, Err: err}
			}
			done <- result{res: copied, err: err}
		})
	}
	if c.dialed {
		send()
	} else {
		go func() { // nbhttp's Do blocks while it dials
			// The fork lock keeps a child process from inheriting the duplicated descriptor
			// before OnOpen sets close-on-exec.
			syscall.ForkLock.RLock()
			defer syscall.ForkLock.RUnlock()
			send()
		}()
	}
	select {
	case r := <-done:
		if r.err != nil || r.res.Header.Get("Connection") == "close" {
			c.close(io.EOF)
			return r.res, r.err
		}
		c.pool.release(c)
		return r.res, nil
	case <-ctx.Done():
		c.close(ctx.Err())
		return nil, &LostError{Addr: c.pool.addr, Err: ctx.Err()}
	}
}

// classify returns the NotSentError or LostError for a failed request. It runs in
// the response handler, after the dial. nbhttp returns ErrClientClosed before it
// writes, and net.ErrClosed from a write on a connection that was already closed; a
// connection that closes later yields another error.
func (c *conn) classify(err error, atomic bool) error {
	if !c.dialed || errors.Is(err, nbhttp.ErrClientClosed) || atomic && errors.Is(err, net.ErrClosed) {
		return &NotSentError{Addr: c.pool.addr, Err: err}
	}
	return &LostError{Addr: c.pool.addr, Err: err}
}

// close removes the connection from its pool and closes it asynchronously, because
// nbhttp holds the connection's lock while it dials or runs a handler.
func (c *conn) close(err error) {
	c.pool.remove(c)
	go c.nbConn.CloseWithError(err)
}

// copyResponse copies a response, because nbhttp reuses it after the handler returns.
func copyResponse(method string, res *http.Response) (*Response, error) {
	if res.ProtoMajor != 1 || !isFinalStatus(res.StatusCode) {
		return nil, errors.Wrapf(ErrStatusLine, "%s %d", res.Proto, res.StatusCode)
	}
	framed := res.ContentLength >= 0 || len(res.Header["Transfer-Encoding"]) > 0
	bodiless := method == http.MethodHead || res.StatusCode == http.StatusNoContent || res.StatusCode == http.StatusNotModified
	if !framed && !bodiless {
		return nil, ErrUnframed
	}
	copied := &Response{Status: res.StatusCode, Header: res.Header, Trailer: res.Trailer}
	if res.Body == nil {
		return copied, nil
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read response body")
	}
	copied.Body = body
	return copied, nil
}
