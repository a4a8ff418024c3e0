package http1

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/lesismal/nbio/nbhttp"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Addr         string // "IP:port"; port 0 selects a free port
	Handler      http.Handler
	MaxConns     int           // open connections; 0 means 20,000
	MaxBody      int           // bytes; 0 means 4 MiB
	ReadTimeout  time.Duration // from one response to the end of the next request; 0 means 60 s
	WriteTimeout time.Duration // without progress in sending a response; 0 means 10 s
	// Bodies bounds the memory of the request bodies, and of large heads, from the bytes that
	// have arrived until the handler has returned. A request for whose body it has no room is
	// passed to the handler at once, and RequestBody returns ErrRequestBodyBudget. If nil,
	// only MaxBody applies.
	Bodies *BodyBudget
	// SmallBodies takes the first 64 KiB of each request as long as it has room, so that small
	// requests are received while large ones use up Bodies. It may be nil.
	SmallBodies *BodyBudget
	// Limits bounds requests and idle connections beside MaxBody and ReadTimeout, until
	// SetLimits replaces it.
	Limits Limits
	// MinRate is the rate in bytes per second at which a request body has to arrive and a
	// response to be read; 0 means that any progress suffices.
	MinRate int
	// MaxRequests bounds the requests in progress on all connections; 0 means that there is no
	// bound. RequestBody returns ErrTooManyRequests for one above it.
	MaxRequests int
	// CheckHead is called before the body of a request is received. It may be nil. If it
	// refuses the request, RequestBody returns ErrRequestRefused.
	CheckHead func(h RequestHead) HeadVerdict
	// OnClosed is called after a connection has closed, with the number of its requests
	// whose handlers had not returned, and for a new connection that was refused. It may be
	// nil.
	OnClosed func(cause CloseCause, requests int)
}

// CloseCause states why a connection of a Server has closed.
type CloseCause string

// The causes of closed connections.
const (
	ClosedByPeer   CloseCause = "peer"          // closed or reset by the peer, or lost
	ClosedHalf     CloseCause = "half-closed"   // by the peer in its sending direction only; its last requests were answered
	ClosedByServer CloseCause = "server"        // during a shutdown, or after a response that announced it
	ClosedIdle     CloseCause = "read-timeout"  // no complete request within ReadTimeout
	ClosedUnread   CloseCause = "write-timeout" // the peer did not read its response
	ClosedAborted  CloseCause = "aborted"       // a response could not be completed
	ClosedInvalid  CloseCause = "malformed"     // bytes that are not HTTP
	ClosedSlowHead CloseCause = "head-timeout"  // a request head was incomplete for Limits.HeadTimeout
	ClosedSlowBody CloseCause = "body-timeout"  // a request body arrived too slowly
	ClosedHeadSize CloseCause = "head-size"     // a request head exceeded Limits.MaxHead
	ClosedMemory   CloseCause = "memory"        // no memory for a request head
	ClosedEvicted  CloseCause = "evicted"       // among the slowest when the server had no room for others
	ClosedFull     CloseCause = "full"          // refused when it was opened, because none could be evicted
)

const (
	defaultServerConns  = 20_000
	defaultMaxBody      = 4 << 20
	defaultReadTimeout  = 60 * time.Second
	defaultWriteTimeout = 10 * time.Second

	// idleCheckInterval is how often the server closes connections whose ReadTimeout has
	// expired, and drainCheckInterval how often a shutdown looks for idle connections.
	idleCheckInterval  = 250 * time.Millisecond
	drainCheckInterval = 20 * time.Millisecond
	// drainIdleTimeout is how long a server that shuts down waits for another request
	// on an idle connection before it closes the connection.
	drainIdleTimeout = 350 * time.Millisecond
	// acceptRetryDelay is the delay after a failed accept, for example because the
	// process has no free descriptors.
	acceptRetryDelay = 5 * time.Millisecond
	// acceptDrainTime is how long a shutdown waits for another connection to accept, in all
	// at most maxAcceptDrainTime. An accept whose deadline has passed fails even if
	// connections wait, so that it is retried acceptRetries times.
	acceptDrainTime    = 10 * time.Millisecond
	maxAcceptDrainTime = 200 * time.Millisecond
	acceptRetries      = 2
)

// Server is an HTTP/1.1 server on one address. Pipelined requests run concurrently,
// and their responses are written in order. The context of a request is cancelled
// when its caller disconnects. A caller that only closes its sending side after its
// requests still gets their responses.
//
// It uses nbhttp's parser for heads, but not its event loop: that closes descriptors on
// other goroutines than the one that polls them, which then applies events of a closed
// connection to a new one with the same descriptor number. It reads bodies itself: nbhttp's
// parser caches and copies them without a bound for the process. It writes responses
// itself: nbhttp's replace a status without a registered text by 200.
type Server struct {
	cfg      ServerConfig
	engine   *nbhttp.Engine // not started; holds the settings of parsers
	listener *net.TCPListener
	draining atomic.Bool
	// finishing states that no connection is accepted but those that wait already, and
	// accepted is closed after the last one.
	finishing atomic.Bool
	accepted  chan struct{}
	limits    atomic.Pointer[Limits] // in force
	stop      chan struct{}

	mu           sync.Mutex
	conns        map[*serverConn]struct{}
	waitingSlots map[*http.Request]*responseSlot // slots of requests that have not started
	requests     requestCounts
	evictedAt    [placeCount]time.Time // last searches for connections to evict
	evicting     int                   // evicted connections that are still open
}

// exchange is a request in flight and the connection that it arrived on.
type exchange struct {
	conn   *serverConn
	cancel context.CancelFunc
}

// Listen starts a server.
func Listen(cfg ServerConfig) (*Server, error) {
	cfg.MaxConns, cfg.MaxBody = orDefault(cfg.MaxConns, defaultServerConns), orDefault(cfg.MaxBody, defaultMaxBody)
	cfg.ReadTimeout, cfg.WriteTimeout = orDefault(cfg.ReadTimeout, defaultReadTimeout), orDefault(cfg.WriteTimeout, defaultWriteTimeout)
	ln, err := net.Listen("tcp", cfg.Addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", cfg.Addr)
	}
	s := &Server{
		cfg: cfg, listener: ln.(*net.TCPListener), stop: make(chan struct{}), accepted: make(chan struct{}),
		conns: make(map[*serverConn]struct{}), waitingSlots: make(map[*http.Request]*responseSlot),
	}
	s.requests.byOwner = make(map[string]int)
	cfg.Limits.IdleTimeout = orDefault(cfg.Limits.IdleTimeout, cfg.ReadTimeout)
	s.SetLimits(cfg.Limits)
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name: "http1-server", SupportServerOnly: true,
		ReadLimit:      maxRequestHead,
		ServerExecutor: func(f func()) { go f() },
		OnRequest:      s.enqueueRequest,
		Handler:        http.HandlerFunc(s.serve),
	})
	go s.accept()
	go s.closeExpired()
	return s, nil
}

func orDefault[T int | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// accept serves new connections until the listener is closed. If a shutdown begins, it
// first accepts those that wait: the close of the listener would reset them.
func (s *Server) accept() {
	defer close(s.accepted)
	var finishBy time.Time
	for timeouts := 0; timeouts <= acceptRetries; {
		if s.finishing.Load() {
			now := time.Now()
			if finishBy.IsZero() {
				finishBy = now.Add(maxAcceptDrainTime)
			}
			if now.After(finishBy) {
				return
			}
			_ = s.listener.SetDeadline(now.Add(acceptDrainTime)) // fails only on a closed listener
		}
		nc, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			timeouts++
			continue
		case err != nil:
			time.Sleep(acceptRetryDelay)
			continue
		}
		timeouts = 0
		if c := s.addConn(nc); c != nil {
			go c.serve()
		} else {
			_ = nc.Close()
			if s.cfg.OnClosed != nil {
				s.cfg.OnClosed(ClosedFull, 0)
			}
		}
	}
}

// finishAccepting closes the listener once no connection waits to be accepted.
func (s *Server) finishAccepting(ctx context.Context) {
	s.finishing.Store(true)
	_ = s.listener.SetDeadline(time.Now()) // wakes accept; fails only on a closed listener
	select {
	case <-s.accepted:
	case <-ctx.Done():
	}
	_ = s.listener.Close()
}

// addConn registers a new connection. It returns nil if the server is stopped, or has
// MaxConns connections of which none can be evicted.
func (s *Server) addConn(nc net.Conn) *serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.stop:
		return nil
	default:
	}
	now := time.Now()
	if !s.hasPlace(now) {
		return nil
	}
	c := &serverConn{Conn: nc, server: s, addr: peerIP(nc), idleSince: now, inFlight: make(map[*exchange]struct{})}
	c.pipeline.conn, c.slotFinished = c, sync.NewCond(&s.mu)
	s.conns[c] = struct{}{}
	return c
}

// peerIP returns the address of the peer without its port, empty if nc is not TCP.
func peerIP(nc net.Conn) string {
	if tcp, ok := nc.(*net.TCPConn); ok {
		return tcp.RemoteAddr().(*net.TCPAddr).IP.String()
	}
	return ""
}

// removeConn unregisters a closed connection and cancels its requests.
func (s *Server) removeConn(c *serverConn) {
	s.mu.Lock()
	delete(s.conns, c)
	c.closed = true
	if c.evicted {
		s.evicting--
	}
	c.setClosing(ClosedByPeer, false)
	requests, cause := len(c.inFlight), c.cause
	for x := range c.inFlight {
		x.cancel()
	}
	s.mu.Unlock()
	if s.cfg.OnClosed != nil {
		s.cfg.OnClosed(cause, requests)
	}
}

// Drain makes the server close each connection after its next response, which has the
// header "Connection: close".
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown stops accepting connections, drains, and waits until all connections have
// closed: after the response to a request in flight, or when no request arrives
// within drainIdleTimeout. It returns ctx's error if ctx ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	s.finishAccepting(ctx)
	drainStart := time.Now()
	tick := time.NewTicker(drainCheckInterval)
	defer tick.Stop()
	defer s.Close()
	for {
		if s.closeIdle(time.Now(), drainStart, drainIdleTimeout, ClosedByServer) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// closeExpired closes connections whose ReadTimeout has expired until the server stops.
func (s *Server) closeExpired() {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-tick.C:
			s.closeIdle(now, time.Time{}, s.ReadTimeout(), ClosedIdle)
		}
	}
}

// closeIdle makes the connections close that have been idle for timeout, counted from
// start at the earliest. During a shutdown a connection on which a request is being received
// is not idle; ReadTimeout bounds it. It returns the number of connections that are open, but
// for those on which only the rest of a refused request is discarded. Their read loops close
// them, because only these know whether bytes of a request have been read: a request that
// has been read is served, and one that has not stays unread, so that its caller may repeat
// it.
func (s *Server) closeIdle(now, start time.Time, timeout time.Duration, cause CloseCause) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := len(s.conns)
	headTimeout := s.Limits().HeadTimeout
	for c := range s.conns {
		if c.discarding(now) {
			open--
		}
		if c.closing || c.expired != "" {
			continue
		}
		if late := c.progress.late(now, headTimeout, s.cfg.MinRate); late != "" {
			c.expire(late)
			continue
		}
		if len(c.inFlight) > 0 || c.pipeline.inFlight > 0 {
			continue // a request may have arrived whose goroutine has not started or not ended
		}
		if cause == ClosedIdle && c.progress.bounded(headTimeout, s.cfg.MinRate) {
			continue
		}
		since := c.idleSince
		if since.Before(start) {
			since = start
		}
		if cause == ClosedByServer && since.Before(c.receivedAt) {
			since = c.receivedAt
		}
		if now.Sub(since) >= timeout {
			c.expire(cause)
		}
	}
	return open
}

// Close stops the server immediately and aborts the requests in flight.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.stop:
		return
	default:
		close(s.stop)
	}
	_ = s.listener.Close()
	for c := range s.conns {
		c.setClosing(ClosedByServer, true)
		c.wakeHalfClosed()
		_ = c.Conn.Close()
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	x := &exchange{cancel: cancel, conn: connOf(w)}
	ordered := &orderedWriter{header: w.Header(), server: s, request: r, exchange: x, slot: s.takeSlot(r), response: responseWriter{conn: x.conn}}
	_, _, _ = w.(http.Hijacker).Hijack() // keeps nbhttp from writing a response
	if !s.startRequest(x) {
		return
	}
	s.cfg.Handler.ServeHTTP(ordered, r.WithContext(ctx))
	ordered.finishResponse(ctx)
	s.endRequest(x)
	ordered.complete()
}

// startRequest registers a request. It returns false if the server has closed the
// connection or is about to close it: the request would get no response and must not
// run. A request whose caller has closed the connection runs, because it has been
// received, but its context is cancelled.
func (s *Server) startRequest(x *exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.conn.closing {
		return false
	}
	x.conn.inFlight[x] = struct{}{}
	if x.conn.closed {
		x.cancel()
	}
	return true
}

// endRequest unregisters a request whose handler has returned. The end of its
// response may still be unwritten; the connection counts as idle from the call of
// finishSlot on.
func (s *Server) endRequest(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(x.conn.inFlight, x)
}
