// Package http1 speaks HTTP/1.1 on nbhttp: a client with one pool of
// connections per address, and a server.
//
// The client carries one request at a time on a connection. It keeps two
// failures apart, because refusals depend on it: a NotSentError means that no
// byte of the request was written, a LostError that the peer may have received
// it. A connection whose request did not end with a whole answer is closed and
// never used again. An answer without framing (neither a length nor chunks) is
// an error, since its end cannot be told from a cut.
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
	// nbio logs connection resets, which are routine here, at error level.
	logging.SetLevel(logging.LevelNone)
}

// Client is a group of pools that close together.
type Client struct {
	engine *nbhttp.Engine

	mu    sync.Mutex
	pools []*Pool
}

// sharedEngine starts the event loops of all clients of the process. They are
// never stopped: nbio loses a Stop that comes before its pollers run, and then
// waits for ever.
var sharedEngine = sync.OnceValues(func() (*nbhttp.Engine, error) {
	engine := nbhttp.NewEngine(nbhttp.Config{
		Name: "http1-client", SupportServerOnly: true,
		// Not in the event loop: nbio runs the end of a connection that closes
		// meanwhile after the answer's handler, and that locks the parser, which the
		// event loop holds. The event loop would wait for itself.
		ServerExecutor: func(f func()) { go f() },
	})
	// nbio duplicates descriptors without close-on-exec. A child process that
	// inherits one keeps its events coming after it was closed here, and they close
	// each new connection that gets its number.
	engine.Engine.OnOpen(func(c *nbio.Conn) { syscall.CloseOnExec(c.Hash()) })
	if err := engine.Start(); err != nil {
		return nil, errors.Wrap(err, "start client engine")
	}
	return engine, nil
})

// NewClient returns a client without pools.
func NewClient() (*Client, error) {
	engine, err := sharedEngine()
	if err != nil {
		return nil, err
	}
	return &Client{engine: engine}, nil
}

// Close closes every pool.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.Close()
	}
	c.pools = nil
}

// Request is an HTTP request with its whole body.
type Request struct {
	Method string
	Target string // path and query as on the request line
	Host   string // Host header; the address of the pool if empty
	Header http.Header
	Body   []byte
}

// Response is an HTTP answer that has arrived whole.
type Response struct {
	Status  int
	Header  http.Header
	Trailer http.Header
	Body    []byte
}

// NotSentError reports a request of which no byte was written.
type NotSentError struct {
	Addr string
	Err  error
}

func (e *NotSentError) Error() string { return "request to " + e.Addr + " not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// LostError reports a request that may have been received although no whole
// answer arrived.
type LostError struct {
	Addr string
	Err  error
}

func (e *LostError) Error() string { return "request to " + e.Addr + " lost: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// Causes inside a NotSentError or LostError.
var (
	ErrPoolFull   = errors.New("every connection is in use")
	ErrPoolClosed = errors.New("pool is closed")
	ErrUnframed   = errors.New("answer has neither a length nor chunks")
)

// PoolConfig bounds a pool.
type PoolConfig struct {
	MaxConns    int           // connections open at once; 0 means 128
	DialTimeout time.Duration // 0 means 500 ms
	IdleTimeout time.Duration // an idle connection is closed after this; 0 means 30 s
}

const (
	defaultMaxConns    = 128
	defaultDialTimeout = 500 * time.Millisecond
	defaultIdleTimeout = 30 * time.Second
)

// Pool keeps connections to one address.
type Pool struct {
	client *Client
	addr   string
	cfg    PoolConfig

	mu     sync.Mutex
	idle   []*conn // most recently used last
	open   map[*conn]struct{}
	closed bool
}

// NewPool returns a pool for addr ("IP:port"). It opens no connection yet.
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
	p := &Pool{client: c, addr: addr, cfg: cfg, open: make(map[*conn]struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pools = append(c.pools, p)
	return p
}

func (c *Client) forget(p *Pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pools = slices.DeleteFunc(c.pools, func(q *Pool) bool { return q == p })
}

// Addr returns the address of the pool.
func (p *Pool) Addr() string { return p.addr }

// Close closes every connection; requests in flight end with a LostError.
func (p *Pool) Close() {
	go p.client.forget(p) // Client.Close holds the client's lock
	p.mu.Lock()
	p.closed = true
	open := make([]*conn, 0, len(p.open))
	for c := range p.open {
		open = append(open, c)
	}
	p.idle = nil
	p.mu.Unlock()
	for _, c := range open {
		c.close(ErrPoolClosed)
	}
}

// Retire closes the idle connections now and the others after their requests.
// Further requests are not sent.
func (p *Pool) Retire() {
	p.client.forget(p)
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

// CloseIdle closes the idle connections, for use when the peer went silent on
// one of them.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close(io.EOF)
	}
}

// Do sends req and waits for the whole answer or the end of ctx. The error is a
// *NotSentError or a *LostError.
func (p *Pool) Do(ctx context.Context, req *Request) (*Response, error) {
	for attempt := 1; ; attempt++ {
		res, err := p.try(ctx, req)
		if attempt == maxAttempts || !closedBeforeWrite(err) {
			return res, err
		}
	}
}

// maxAttempts bounds the attempts to find an open connection. nbio closes an idle
// connection a moment before it says so; and an event for a connection that was
// just closed can close another one that got its file descriptor.
const maxAttempts = 3

func closedBeforeWrite(err error) bool {
	var notSent *NotSentError
	return errors.As(err, &notSent) && (errors.Is(err, net.ErrClosed) || errors.Is(err, nbhttp.ErrClientClosed))
}

func (p *Pool) try(ctx context.Context, req *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &NotSentError{Addr: p.addr, Err: err}
	}
	httpReq, err := p.newRequest(req)
	if err != nil {
		return nil, &NotSentError{Addr: p.addr, Err: err}
	}
	c, err := p.get()
	if err != nil {
		return nil, &NotSentError{Addr: p.addr, Err: err}
	}
	return c.do(ctx, httpReq, req.size() <= oneWrite)
}

// oneWrite is below the buffer of net/http's Request.Write, so that a request of
// this size is written at once or not at all.
const oneWrite = 3 << 10

// size returns the bytes of the request, or a little more.
func (r *Request) size() int {
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
		header["User-Agent"] = []string{""} // net/http would add its own
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

func (p *Pool) get() (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrPoolClosed
	}
	p.closeStale(time.Now())
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if c.usable() {
			return c, nil
		}
		delete(p.open, c)
		go c.cc.CloseWithError(io.EOF)
	}
	if len(p.open) >= p.cfg.MaxConns {
		return nil, ErrPoolFull
	}
	c := newConn(p)
	p.open[c] = struct{}{}
	return c, nil
}

// closeStale closes connections that were idle for too long. nbhttp's own idle
// timeout stays armed during the next request and would cut it. The caller holds
// mu.
func (p *Pool) closeStale(now time.Time) {
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleSince) >= p.cfg.IdleTimeout {
		c := p.idle[0]
		p.idle = p.idle[1:]
		delete(p.open, c)
		go c.cc.CloseWithError(io.EOF)
	}
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	_, open := p.open[c]
	keep := open && !p.closed
	if keep {
		c.idleSince = time.Now()
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		c.close(io.EOF)
	}
}

// drop forgets a closed connection.
func (p *Pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
	for i, d := range p.idle {
		if d == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// conn carries one request at a time.
type conn struct {
	pool   *Pool
	cc     *nbhttp.ClientConn
	dialed bool // written before the request is, read after its end
	// nc is the connection below, known from the first answer on.
	nc interface{ IsClosed() (bool, error) }

	idleSince time.Time // guarded by the pool
}

func newConn(p *Pool) *conn {
	c := &conn{pool: p}
	c.cc = &nbhttp.ClientConn{
		Engine: p.client.engine,
		Dial: func(network, addr string) (net.Conn, error) {
			nc, err := net.DialTimeout(network, addr, p.cfg.DialTimeout)
			c.dialed = err == nil
			return nc, err
		},
	}
	c.cc.OnClose(func() { p.drop(c) })
	return c
}

// usable reports whether the connection was not seen to close.
func (c *conn) usable() bool {
	if c.nc == nil {
		return true
	}
	closed, _ := c.nc.IsClosed()
	return !closed
}

type result struct {
	res *Response
	err error
}

// do sends req. If atomic, the request is written at once or not at all.
func (c *conn) do(ctx context.Context, req *http.Request, atomic bool) (*Response, error) {
	done := make(chan result, 1)
	send := func() {
		c.cc.Do(req, func(res *http.Response, nc net.Conn, err error) {
			if err != nil {
				done <- result{err: c.classify(err, atomic)}
				return
			}
			c.nc, _ = nc.(interface{ IsClosed() (bool, error) })
			whole, err := readWhole(req.Method, res)
			if err != nil {
				err = &LostError{Addr: c.pool.addr, Err: err}
			}
			done <- result{res: whole, err: err}
		})
	}
	if c.dialed {
		send()
	} else {
		go func() { // Do blocks while it dials
			// No child process may be forked between the duplication of the descriptor
			// and OnOpen.
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
		c.pool.put(c)
		return r.res, nil
	case <-ctx.Done():
		c.close(ctx.Err())
		return nil, &LostError{Addr: c.pool.addr, Err: ctx.Err()}
	}
}

// classify runs in the handler, after the dial has ended. ErrClientClosed comes
// before the write, net.ErrClosed from a write on a connection that was closed
// already; a connection that closes later ends with another error.
func (c *conn) classify(err error, atomic bool) error {
	if !c.dialed || errors.Is(err, nbhttp.ErrClientClosed) || atomic && errors.Is(err, net.ErrClosed) {
		return &NotSentError{Addr: c.pool.addr, Err: err}
	}
	return &LostError{Addr: c.pool.addr, Err: err}
}

// close does not wait: nbhttp holds the connection's lock while it dials or
// calls a handler.
func (c *conn) close(err error) {
	c.pool.drop(c)
	go c.cc.CloseWithError(err)
}

// readWhole copies the answer, since nbhttp reuses it after the handler.
func readWhole(method string, res *http.Response) (*Response, error) {
	framed := res.ContentLength >= 0 || len(res.Header["Transfer-Encoding"]) > 0
	bodiless := method == http.MethodHead || res.StatusCode == http.StatusNoContent || res.StatusCode == http.StatusNotModified
	if !framed && !bodiless {
		return nil, ErrUnframed
	}
	out := &Response{Status: res.StatusCode, Header: res.Header, Trailer: res.Trailer}
	if res.Body == nil {
		return out, nil
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	out.Body = body
	return out, nil
}
