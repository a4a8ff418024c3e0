// Package relay is a TCP relay that injects network faults between processes.
// One relay serves many routes, each from a listen address to a target address.
//
// Control API:
//
//	PUT    /routes?name=&listen=&target=   adds a route; answers {"listen":"IP:port"}
//	DELETE /routes/NAME                    removes a route and resets its connections
//	GET    /routes                         lists the routes with their state
//	POST   /routes/NAME/fault?mode=&direction=to-target|to-client|both&delay-ms=&client=
//
// Modes that stay in force until they are replaced:
//
//	ok      forwards everything
//	cut     drops the bytes of the direction. A connection that has lost bytes
//	        stays cut after the fault, because its stream is incomplete
//	hold    queues the bytes of the direction and delivers them after the fault
//	delay   delivers the bytes of the direction delay-ms after their arrival
//	refuse  refuses new connections; open connections are not affected
//
// Modes that act once, on the connections that are open at that moment:
//
//	silent  drops everything in both directions for good, also the end of the stream
//	reset   resets the connections
//
// The direction is to-target, to-client or both (the default). The modes refuse,
// silent, reset and ok apply to both directions. A fault with a client applies only
// to the connections of the client with this name; see [Server.Identify]. The mode
// ok ends the faults of all clients.
package relay

import (
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
)

// Mode is the type of a fault. The package comment describes the modes.
type Mode string

// Modes of faults.
const (
	ModeOK     Mode = "ok"
	ModeCut    Mode = "cut"
	ModeHold   Mode = "hold"
	ModeDelay  Mode = "delay"
	ModeRefuse Mode = "refuse"
	ModeSilent Mode = "silent"
	ModeReset  Mode = "reset"
)

// Direction selects the direction of forwarding that a fault applies to.
type Direction string

// Directions.
const (
	ToTarget Direction = "to-target"
	ToClient Direction = "to-client"
	Both     Direction = "both"
)

// Fault is a fault of a route, or with ModeOK the end of its faults.
type Fault struct {
	Mode      Mode
	Direction Direction     // empty means Both
	Delay     time.Duration // for ModeDelay
	Client    string        // name of the client; empty: all clients; ignored by ModeRefuse
}

// Server is a running relay with its control API.
type Server struct {
	controlAPI *http1.Server

	mu       sync.Mutex
	routes   map[string]*route
	closed   bool
	identify func(local, remote net.Addr) string // nil: clients are not identified
}

// Identify sets the function that returns the client's name for a new connection. Its
// arguments are the addresses of the relay's end of the connection. It applies to
// routes that are added later.
func (s *Server) Identify(f func(local, remote net.Addr) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.identify = f
}

// Start starts a relay without routes. Its control API listens on addr.
func Start(addr string) (*Server, error) {
	s := &Server{routes: make(map[string]*route)}
	var err error
	if s.controlAPI, err = http1.Listen(http1.ServerConfig{Addr: addr, Handler: s.handler()}); err != nil {
		return nil, errors.Wrap(err, "start relay")
	}
	return s, nil
}

// Addr returns the address of the control API.
func (s *Server) Addr() string { return s.controlAPI.Addr() }

// Close removes every route and stops the control API.
func (s *Server) Close() {
	s.mu.Lock()
	routes := s.routes
	s.routes, s.closed = make(map[string]*route), true
	s.mu.Unlock()
	for _, r := range routes {
		r.close()
	}
	s.controlAPI.Close()
}

// Errors of the control API.
var (
	errRouteExists = errors.New("route exists")
	errNoRoute     = errors.New("no such route")
	errRelayClosed = errors.New("relay is closed")
)

// AddRoute adds a route that forwards connections to the address listen ("IP:port";
// port 0 selects a free port) to target, and returns the listen address.
func (s *Server) AddRoute(name, listen, target string) (string, error) {
	if name == "" || target == "" {
		return "", errors.New("name or target is empty")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return "", errRelayClosed
	}
	if _, ok := s.routes[name]; ok {
		return "", errors.Wrap(errRouteExists, name)
	}
	r := &route{target: target, conns: make(map[*connection]struct{}), clientImpairments: make(map[string]impairments), identify: s.identify}
	if err := r.listen(listen); err != nil {
		return "", errors.Wrapf(err, "route %s", name)
	}
	s.routes[name] = r
	return r.addr, nil
}

// RemoveRoute removes a route, closes its listener and resets its connections.
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

// SetFault applies a fault to a route.
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
	if err := r.applyFault(f); err != nil {
		return errors.Wrapf(err, "route %s", name)
	}
	return nil
}

// route forwards the connections of one listener to one target.
type route struct {
	target string
	addr   string

	mu       sync.Mutex
	listener net.Listener // nil while new connections are refused
	closed   bool
	conns    map[*connection]struct{}
	impairments
	clientImpairments map[string]impairments // by client name; replaces the route's impairments for that client
	identify          func(local, remote net.Addr) string
}

// impairments holds the impairment of each direction.
type impairments struct {
	toTarget impairment
	toClient impairment
}

// impairmentsFor returns the impairments that apply to a client's connections.
func (r *route) impairmentsFor(client string) impairments {
	if imps, ok := r.clientImpairments[client]; ok {
		return imps
	}
	return r.impairments
}

// listen opens the listener and starts to accept connections. The caller holds r.mu,
// or no other goroutine knows the route yet.
func (r *route) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	r.listener, r.addr = ln, ln.Addr().String()
	go r.acceptLoop(ln)
	return nil
}

func (r *route) acceptLoop(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go r.relayConn(c.(*net.TCPConn))
	}
}

// dialTimeout limits the time that a client waits for a target that does not answer.
const dialTimeout = 5 * time.Second

// relayConn dials the target and forwards until both directions have ended. If the
// target cannot be reached, the client's connection is reset.
func (r *route) relayConn(client *net.TCPConn) {
	name := ""
	if r.identify != nil {
		name = r.identify(client.LocalAddr(), client.RemoteAddr())
	}
	nc, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		resetConn(client)
		return
	}
	target := nc.(*net.TCPConn)
	c := &connection{
		clientName: name, client: client, target: target,
		toTarget: newPipe(client, target), toClient: newPipe(target, client),
	}
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		c.reset()
		return
	}
	r.conns[c] = struct{}{}
	c.setImpairments(r.impairmentsFor(name))
	r.mu.Unlock()
	c.run()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

func (r *route) applyFault(f Fault) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return errNoRoute
	}
	switch f.Mode {
	case ModeOK:
		clear(r.clientImpairments)
		r.setImpairment(Fault{Direction: Both}, impairment{mode: ModeOK})
		if r.listener == nil {
			return r.listen(r.addr)
		}
	case ModeCut, ModeHold, ModeDelay:
		r.setImpairment(f, impairment{mode: f.Mode, delay: f.Delay})
	case ModeRefuse:
		if r.listener != nil {
			_ = r.listener.Close()
			r.listener = nil
		}
	case ModeSilent:
		for c := range r.conns {
			if f.matches(c) {
				c.toTarget.startDropping()
				c.toClient.startDropping()
			}
		}
	case ModeReset:
		for c := range r.conns {
			if f.matches(c) {
				c.reset()
			}
		}
	default:
		return errors.Errorf("mode %q, want ok, cut, hold, delay, refuse, silent or reset", f.Mode)
	}
	return nil
}

func (f Fault) matches(c *connection) bool { return f.Client == "" || f.Client == c.clientName }

// setImpairment sets the impairment of f's direction on the client's open and future
// connections. The caller holds r.mu.
func (r *route) setImpairment(f Fault, imp impairment) {
	next := r.impairmentsFor(f.Client)
	if f.Direction != ToClient {
		next.toTarget = imp
	}
	if f.Direction != ToTarget {
		next.toClient = imp
	}
	if f.Client == "" {
		r.impairments = next
	} else {
		r.clientImpairments[f.Client] = next
	}
	for c := range r.conns {
		c.setImpairments(r.impairmentsFor(c.clientName))
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

// resetConn closes the connection with a TCP reset.
func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
