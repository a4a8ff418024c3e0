package http1

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// ServerConfig describes one listening server.
type ServerConfig struct {
	Addr         string // "IP:port"; port 0 picks a free one
	Handler      http.Handler
	MaxConns     int           // 0 means 20,000
	MaxBody      int           // bytes; 0 means 4 MiB
	ReadTimeout  time.Duration // from one answer to the end of the next request; 0 means 60 s
	WriteTimeout time.Duration // 0 means 10 s
}

const (
	defaultServerConns  = 20_000
	defaultMaxBody      = 4 << 20
	defaultReadTimeout  = 60 * time.Second
	defaultWriteTimeout = 10 * time.Second

	// disconnectCheck is how often requests in flight are checked for a caller
	// that has gone; nbhttp reports a close only after the handler returns.
	disconnectCheck = 20 * time.Millisecond
	// drainIdle is how long a draining server waits for another request on the
	// connections it has not yet told to close.
	drainIdle = 500 * time.Millisecond
)

// Server serves one address. The context of a request ends when its caller
// disconnects or the server stops.
type Server struct {
	engine   *nbhttp.Engine
	handler  http.Handler
	listener *listener
	draining atomic.Bool
	inflight atomic.Int64
	lastUse  atomic.Int64 // Unix nanoseconds of the last request's end
	stop     chan struct{}

	mu      sync.Mutex
	running map[*exchange]struct{}
}

// exchange is a request in flight.
type exchange struct {
	conn   interface{ IsClosed() (bool, error) }
	cancel context.CancelFunc
}

// Listen starts a server.
func Listen(cfg ServerConfig) (*Server, error) {
	s := &Server{handler: cfg.Handler, stop: make(chan struct{}), running: make(map[*exchange]struct{})}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name: "http1-server", Network: "tcp", Addrs: []string{cfg.Addr},
		MaxLoad:                 orDefault(cfg.MaxConns, defaultServerConns),
		MaxHTTPBodySize:         orDefault(cfg.MaxBody, defaultMaxBody),
		ReadLimit:               orDefault(cfg.MaxBody, defaultMaxBody) + http.DefaultMaxHeaderBytes,
		KeepaliveTime:           orDefault(cfg.ReadTimeout, defaultReadTimeout),
		WriteTimeout:            orDefault(cfg.WriteTimeout, defaultWriteTimeout),
		ReleaseWebsocketPayload: true,
		Handler:                 http.HandlerFunc(s.serve),
		Listen: func(network, addr string) (net.Listener, error) {
			ln, err := net.Listen(network, addr)
			s.listener = &listener{Listener: ln, stopped: make(chan struct{})}
			return s.listener, err
		},
	})
	// The acceptor hands a connection to the poller through epoll, which the race
	// detector does not see as an order. The counter is one that it sees.
	var opened atomic.Int64
	s.engine.OnOpen(func(net.Conn) { opened.Add(1) })
	s.engine.OnData(func(c *nbio.Conn, data []byte) {
		opened.Load()
		c.DataHandler()(c, data)
	})
	if err := s.engine.Start(); err != nil {
		return nil, errors.Wrapf(err, "listen on %s", cfg.Addr)
	}
	go s.watchDisconnects()
	return s, nil
}

// listener stops accepting before the engine stops. The engine's accept loop
// would spin on a closed listener, so Accept waits for the engine instead.
type listener struct {
	net.Listener
	once    sync.Once
	stopped chan struct{}
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		<-l.stopped
	}
	return c, err
}

// Close is called by the engine when it stops.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.stopped) })
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

// Drain makes every further answer ask the caller to close its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown drains, waits until no request is in flight and none has arrived for
// a moment, and closes what is left. It returns ctx's error if that comes first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	_ = s.listener.Listener.Close()
	idleFrom := time.Now()
	tick := time.NewTicker(disconnectCheck)
	defer tick.Stop()
	defer s.Close()
	for {
		if last := time.Unix(0, s.lastUse.Load()); last.After(idleFrom) {
			idleFrom = last
		}
		if s.inflight.Load() == 0 && time.Since(idleFrom) >= drainIdle {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// Close stops at once; requests in flight are cut.
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
	s.inflight.Add(1)
	defer func() {
		s.lastUse.Store(time.Now().UnixNano())
		s.inflight.Add(-1)
	}()
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
		r.Close = true
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	x := &exchange{cancel: cancel}
	if res, ok := w.(*nbhttp.Response); ok {
		if c, ok := res.Parser.Conn.(*nbhttp.Conn); ok {
			x.conn, _ = c.Conn.(interface{ IsClosed() (bool, error) })
		} else {
			x.conn, _ = res.Parser.Conn.(interface{ IsClosed() (bool, error) })
		}
	}
	if c, ok := x.conn.(net.Conn); ok {
		// The deadline for the arrival of a request would cut one that takes longer.
		_ = c.SetReadDeadline(time.Time{})
	}
	s.mu.Lock()
	s.running[x] = struct{}{}
	s.mu.Unlock()
	s.handler.ServeHTTP(w, r.WithContext(ctx))
	s.mu.Lock()
	delete(s.running, x)
	s.mu.Unlock()
}

func (s *Server) watchDisconnects() {
	tick := time.NewTicker(disconnectCheck)
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
	for x := range s.running {
		if x.conn == nil {
			continue
		}
		if closed, _ := x.conn.IsClosed(); closed {
			x.cancel()
		}
	}
}
