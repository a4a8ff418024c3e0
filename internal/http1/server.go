package http1

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Addr         string // "IP:port"; port 0 selects a free port
	Handler      http.Handler
	MaxConns     int           // open connections; 0 means 20,000
	MaxBody      int           // bytes; 0 means 4 MiB
	ReadTimeout  time.Duration // from one response to the end of the next request; 0 means 60 s
	WriteTimeout time.Duration // 0 means 10 s
	// OnClosed is called after a connection has closed, with the number of its requests
	// whose handlers had not returned. It may be nil.
	OnClosed func(cause CloseCause, requests int)
}

// CloseCause states why a connection of a Server has closed.
type CloseCause string

// The causes of closed connections.
const (
	ClosedByPeer   CloseCause = "peer"          // closed or reset by the peer, or lost
	ClosedByServer CloseCause = "server"        // during a shutdown, or after a response that announced it
	ClosedIdle     CloseCause = "read-timeout"  // no complete request within ReadTimeout
	ClosedUnread   CloseCause = "write-timeout" // no complete response within WriteTimeout
	ClosedInvalid  CloseCause = "malformed"     // bytes that are not HTTP
)

// closeCause classifies the error with which nbio has closed a connection.
func closeCause(err error) CloseCause {
	var errno syscall.Errno
	switch {
	case err == nil:
		return ClosedByServer
	case errors.Is(err, nbio.ErrReadTimeout):
		return ClosedIdle
	case errors.Is(err, nbio.ErrWriteTimeout):
		return ClosedUnread
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed), errors.As(err, &errno):
		return ClosedByPeer
	}
	return ClosedInvalid
}

const (
	defaultServerConns  = 20_000
	defaultMaxBody      = 4 << 20
	defaultReadTimeout  = 60 * time.Second
	defaultWriteTimeout = 10 * time.Second

	// disconnectCheckInterval is how often the server checks whether the callers of
	// requests in flight have disconnected. It polls because nbhttp reports a closed
	// connection only after the handler returns.
	disconnectCheckInterval = 20 * time.Millisecond
	// drainIdleTimeout is how long a server that shuts down waits for another request
	// on an idle connection before it closes the connection.
	drainIdleTimeout = 350 * time.Millisecond
)

// Server is an HTTP/1.1 server on one address. Pipelined requests run concurrently,
// and their responses are written in order. The context of a request is cancelled
// when its caller disconnects.
type Server struct {
	engine   *nbhttp.Engine
	handler  http.Handler
	listener *listener
	draining atomic.Bool
	stop     chan struct{}

	mu           sync.Mutex
	inFlight     map[*exchange]struct{}
	idleSince    map[net.Conn]time.Time // open connections without a started request
	requestCount map[net.Conn]int       // started requests of the other open connections
	pipelines    map[net.Conn]*pipeline
	waitingSlots map[*http.Request]*responseSlot // slots of requests that have not started
	closing      map[net.Conn]bool               // connections that the server has closed or is about to close
}

// exchange is a request in flight and the connection that it arrived on.
type exchange struct {
	conn   net.Conn
	cancel context.CancelFunc
}

// Listen starts a server.
func Listen(cfg ServerConfig) (*Server, error) {
	s := &Server{
		handler: cfg.Handler, stop: make(chan struct{}), inFlight: make(map[*exchange]struct{}),
		idleSince: make(map[net.Conn]time.Time), requestCount: make(map[net.Conn]int), pipelines: make(map[net.Conn]*pipeline),
		waitingSlots: make(map[*http.Request]*responseSlot), closing: make(map[net.Conn]bool),
	}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name: "http1-server", Network: "tcp", Addrs: []string{cfg.Addr},
		MaxLoad:                 orDefault(cfg.MaxConns, defaultServerConns),
		MaxHTTPBodySize:         orDefault(cfg.MaxBody, defaultMaxBody),
		ReadLimit:               orDefault(cfg.MaxBody, defaultMaxBody) + http.DefaultMaxHeaderBytes,
		KeepaliveTime:           orDefault(cfg.ReadTimeout, defaultReadTimeout),
		WriteTimeout:            orDefault(cfg.WriteTimeout, defaultWriteTimeout),
		ReleaseWebsocketPayload: true,
		OnRequest:               s.enqueueRequest,
		Handler:                 http.HandlerFunc(s.serve),
		Listen: func(network, addr string) (net.Listener, error) {
			ln, err := net.Listen(network, addr)
			s.listener = &listener{Listener: ln, engineStopped: make(chan struct{})}
			return s.listener, err
		},
	})
	// The acceptor passes a connection to the poller through epoll, which the race
	// detector does not know as a synchronization. The atomic counter adds a
	// happens-before edge that the race detector knows.
	var opened atomic.Int64
	s.engine.OnOpen(func(c net.Conn) {
		opened.Add(1)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.idleSince[c] = time.Now()
	})
	s.engine.OnClose(func(c net.Conn, err error) {
		s.mu.Lock()
		requests := s.requestCount[c]
		delete(s.idleSince, c)
		delete(s.requestCount, c)
		delete(s.pipelines, c)
		s.mu.Unlock()
		if cfg.OnClosed != nil {
			cfg.OnClosed(closeCause(err), requests)
		}
	})
	s.engine.OnData(func(c *nbio.Conn, data []byte) {
		opened.Load()
		s.enablePipelining(c)
		c.DataHandler()(c, data)
	})
	if err := s.engine.Start(); err != nil {
		return nil, errors.Wrapf(err, "listen on %s", cfg.Addr)
	}
	go s.watchDisconnects()
	return s, nil
}

// listener allows the listening socket to be closed before the engine stops. The
// engine's accept loop would spin on a closed listener, so Accept then blocks until
// the engine stops.
type listener struct {
	net.Listener
	once          sync.Once
	engineStopped chan struct{}
}

// Accept waits for a connection. If the socket is closed, it blocks until the engine
// calls Close.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		<-l.engineStopped
	}
	return c, err
}

// Close closes the listening socket and releases Accept. The engine calls it when it
// stops.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.engineStopped) })
	return l.Listener.Close()
}

func orDefault[T int | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Drain makes the server close each connection after its next response, which has the
// header "Connection: close".
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown stops accepting connections, drains, and waits until all connections have
// closed: after the response to a request in flight, or when no request arrives
// within drainIdleTimeout. It returns ctx's error if ctx ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	_ = s.listener.Listener.Close()
	drainStart := time.Now()
	tick := time.NewTicker(disconnectCheckInterval)
	defer tick.Stop()
	defer s.Close()
	for {
		if s.closeIdle(time.Now(), drainStart) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// closeIdle closes the connections that have been idle for drainIdleTimeout, counted
// from drainStart at the earliest. It returns the number of connections that were
// open before.
func (s *Server) closeIdle(now, drainStart time.Time) int {
	s.mu.Lock()
	var expired []net.Conn
	for c, since := range s.idleSince {
		if pipe := s.pipelines[c]; pipe != nil && pipe.inFlight > 0 {
			continue // a request has arrived, but its goroutine has not started or not ended
		}
		if since.Before(drainStart) {
			since = drainStart
		}
		if now.Sub(since) >= drainIdleTimeout {
			expired = append(expired, c)
		}
	}
	open := len(s.idleSince) + len(s.requestCount)
	for _, c := range expired {
		s.closing[c] = true
	}
	s.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
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
	go s.engine.Stop()
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	x := &exchange{cancel: cancel, conn: connOf(w)}
	ordered := &orderedWriter{ResponseWriter: w, server: s, request: r, exchange: x, slot: s.takeSlot(r)}
	if !s.startRequest(x) {
		_ = x.conn.Close()
		return
	}
	defer s.endRequest(x)
	s.handler.ServeHTTP(ordered, r.WithContext(ctx))
	ordered.finishResponse(ctx)
}

// startRequest registers a request. It returns false if the server has closed the
// connection or is about to close it: the request would get no response and must not
// run. A request whose caller has closed the connection runs, because it has been
// received.
func (s *Server) startRequest(x *exchange) bool {
	if x.conn != nil {
		// The read deadline covers the arrival of a request. Without the reset it would
		// abort a request that runs longer.
		_ = x.conn.SetReadDeadline(time.Time{})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing[x.conn] {
		return false
	}
	s.inFlight[x] = struct{}{}
	_, idle := s.idleSince[x.conn]
	if idle || s.requestCount[x.conn] > 0 {
		delete(s.idleSince, x.conn)
		s.requestCount[x.conn]++
	}
	return true
}

// endRequest unregisters a request whose handler has returned. The end of its
// response may still be unwritten; drainIdleTimeout leaves time for that before the
// idle connection is closed.
func (s *Server) endRequest(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, x)
	if s.requestCount[x.conn] > 1 {
		s.requestCount[x.conn]--
	} else if s.requestCount[x.conn] == 1 {
		delete(s.requestCount, x.conn)
		s.idleSince[x.conn] = time.Now()
	}
}

func (s *Server) watchDisconnects() {
	tick := time.NewTicker(disconnectCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-tick.C:
			s.cancelDisconnected()
		}
	}
}

func (s *Server) cancelDisconnected() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for x := range s.inFlight {
		c, ok := x.conn.(interface{ IsClosed() (bool, error) })
		if !ok {
			continue
		}
		if closed, _ := c.IsClosed(); closed {
			x.cancel()
		}
	}
}
