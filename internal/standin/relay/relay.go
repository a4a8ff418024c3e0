// Package relay is a TCP relay that injects network faults between processes.
// One relay serves many routes, each from a listening address to a target.
//
// Control API:
//
//	PUT    /routes?name=&listen=&target=   adds a route; answers {"listen":"IP:port"}
//	DELETE /routes/NAME                    removes it and closes its connections
//	GET    /routes                         lists routes with their state
//	POST   /routes/NAME/fault?mode=&direction=to-target|to-client|both&delay-ms=&client=
//
// Modes that last until the next one:
//
//	ok      forwards everything
//	cut     drops the bytes of the direction. A connection that has lost bytes
//	        stays cut, since its stream has a hole
//	hold    keeps the bytes of the direction and delivers them after the fault
//	delay   delivers the bytes of the direction after delay-ms
//	refuse  refuses new connections; open ones go on
//
// Modes that act once, on the connections open at that moment:
//
//	silent  nothing passes on them any more, not even their end
//	reset   they are reset
//
// A direction is to-target, to-client or both (the default); refuse, silent,
// reset and ok apply to the whole route. A fault with a client concerns only the
// connections of the client with this name, see Identify; ok ends all faults.
package relay

import (
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
)

// Mode is what a fault does; see the package comment.
type Mode string

// Modes of a fault.
const (
	ModeOK     Mode = "ok"
	ModeCut    Mode = "cut"
	ModeHold   Mode = "hold"
	ModeDelay  Mode = "delay"
	ModeRefuse Mode = "refuse"
	ModeSilent Mode = "silent"
	ModeReset  Mode = "reset"
)

// Direction selects the bytes that a fault applies to.
type Direction string

// Directions.
const (
	ToTarget Direction = "to-target"
	ToClient Direction = "to-client"
	Both     Direction = "both"
)

// Fault is a change of a route's behaviour.
type Fault struct {
	Mode      Mode
	Direction Direction     // empty means Both
	Delay     time.Duration // of ModeDelay
	Client    string        // empty: all; not for ModeRefuse
}

// Server is a running relay with its control API.
type Server struct {
	http *http1.Server

	mu       sync.Mutex
	routes   map[string]*route
	closed   bool
	identify func(local, remote net.Addr) string // nil: clients have no names
}

// Identify makes the server name the clients of new connections. The arguments
// are the addresses of the relay's end.
func (s *Server) Identify(f func(local, remote net.Addr) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.identify = f
}

// Start starts a relay without routes. Its control API listens on addr.
func Start(addr string) (*Server, error) {
	s := &Server{routes: make(map[string]*route)}
	var err error
	if s.http, err = http1.Listen(http1.ServerConfig{Addr: addr, Handler: s.handler()}); err != nil {
		return nil, errors.Wrap(err, "start relay")
	}
	return s, nil
}

// Addr returns the address of the control API.
func (s *Server) Addr() string { return s.http.Addr() }

// Close ends every route and the control API.
func (s *Server) Close() {
	s.mu.Lock()
	routes := s.routes
	s.routes, s.closed = make(map[string]*route), true
	s.mu.Unlock()
	for _, r := range routes {
		r.close()
	}
	s.http.Close()
}

// Errors of the control API.
var (
	errExists   = errors.New("route exists")
	errNoRoute  = errors.New("no such route")
	errStopping = errors.New("relay is closed")
)

// AddRoute forwards connections to listen ("IP:port"; port 0 picks a free one)
// on to target, and returns the listening address.
func (s *Server) AddRoute(name, listen, target string) (string, error) {
	if name == "" || target == "" {
		return "", errors.New("name or target is empty")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return "", errStopping
	}
	if _, ok := s.routes[name]; ok {
		return "", errors.Wrap(errExists, name)
	}
	r := &route{target: target, conns: make(map[*relayed]struct{}), ofClient: make(map[string]behaviours), identify: s.identify}
	if err := r.listen(listen); err != nil {
		return "", errors.Wrapf(err, "route %s", name)
	}
	s.routes[name] = r
	return r.addr, nil
}

// RemoveRoute closes the route's listener and connections.
func (s *Server) RemoveRoute(name string) error {
	s.mu.Lock()
	r, ok := s.routes[name]
	delete(s.routes, name)
	s.mu.Unlock()
	if !ok {
		return errors.Wrap(errNoRoute, name)
	}
	r.close()
	return nil
}

// SetFault changes the behaviour of a route.
func (s *Server) SetFault(name string, f Fault) error {
	s.mu.Lock()
	r, ok := s.routes[name]
	s.mu.Unlock()
	if !ok {
		return errors.Wrap(errNoRoute, name)
	}
	if f.Direction == "" {
		f.Direction = Both
	}
	switch f.Direction {
	case ToTarget, ToClient, Both:
	default:
		return errors.Errorf("direction %q, want to-target, to-client or both", f.Direction)
	}
	if err := r.apply(f); err != nil {
		return errors.Wrapf(err, "route %s", name)
	}
	return nil
}

// route forwards the connections of one listener.
type route struct {
	target string
	addr   string

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	closed   bool
	conns    map[*relayed]struct{}
	behaviours
	ofClient map[string]behaviours // in place of the route's
	identify func(local, remote net.Addr) string
}

type behaviours struct {
	toTarget behaviour
	toClient behaviour
}

// of returns the behaviours for a client.
func (r *route) of(client string) behaviours {
	if b, ok := r.ofClient[client]; ok {
		return b
	}
	return r.behaviours
}

// listen opens the listener. The caller holds the lock or owns the route.
func (r *route) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	r.listener, r.addr = ln, ln.Addr().String()
	go r.accept(ln)
	return nil
}

func (r *route) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go r.connect(c.(*net.TCPConn))
	}
}

// dialTimeout bounds the time that a caller hangs on a dead target.
const dialTimeout = 5 * time.Second

// connect dials the target and forwards until both directions have ended. A
// client whose target cannot be reached is reset.
func (r *route) connect(client *net.TCPConn) {
	name := ""
	if r.identify != nil {
		name = r.identify(client.LocalAddr(), client.RemoteAddr())
	}
	nc, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	target := nc.(*net.TCPConn)
	c := &relayed{
		name: name, client: client, target: target,
		up: newPipe(client, target), down: newPipe(target, client),
	}
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		c.reset()
		return
	}
	r.conns[c] = struct{}{}
	c.follow(r.of(name))
	r.mu.Unlock()
	c.run()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

func (r *route) apply(f Fault) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return errNoRoute
	}
	switch f.Mode {
	case ModeOK:
		clear(r.ofClient)
		r.behave(Fault{Direction: Both}, behaviour{mode: ModeOK})
		if r.listener == nil {
			return r.listen(r.addr)
		}
	case ModeCut, ModeHold, ModeDelay:
		r.behave(f, behaviour{mode: f.Mode, delay: f.Delay})
	case ModeRefuse:
		if r.listener != nil {
			_ = r.listener.Close()
			r.listener = nil
		}
	case ModeSilent:
		for c := range r.conns {
			if f.concerns(c) {
				c.up.silence()
				c.down.silence()
			}
		}
	case ModeReset:
		for c := range r.conns {
			if f.concerns(c) {
				c.reset()
			}
		}
	default:
		return errors.Errorf("mode %q, want ok, cut, hold, delay, refuse, silent or reset", f.Mode)
	}
	return nil
}

func (f Fault) concerns(c *relayed) bool { return f.Client == "" || f.Client == c.name }

// behave changes a direction of the present and future connections. The caller
// holds the lock.
func (r *route) behave(f Fault, b behaviour) {
	next := r.of(f.Client)
	if f.Direction != ToClient {
		next.toTarget = b
	}
	if f.Direction != ToTarget {
		next.toClient = b
	}
	if f.Client == "" {
		r.behaviours = next
	} else {
		r.ofClient[f.Client] = next
	}
	for c := range r.conns {
		c.follow(r.of(c.name))
	}
}

func (r *route) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if r.listener != nil {
		_ = r.listener.Close()
	}
	for c := range r.conns {
		c.reset()
	}
}

// reset closes the connection with a TCP reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
