// Package peer implements the control protocol between instances, JSON-RPC 2.0
// over TCP, and names the headers of HTTP requests that are forwarded to a
// dispatcher.
//
// Before the first message, both ends of a control connection prove with an HMAC
// over fresh nonces that they hold the fleet secret. Every call has a deadline. A
// connection on which a call timed out is closed, and the next call dials a new
// one, because a slow response cannot be told apart from a dead connection.
package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 5 * time.Millisecond

// Handler handles the calls of other instances. Its methods are called
// concurrently.
type Handler interface {
	Poll(ctx context.Context, m PollRequest) PollAnswer
	Records(ctx context.Context, m RecordsRequest) RecordsAnswer
	Tokens(ctx context.Context, m TokensRequest) TokensAnswer
	Released(ctx context.Context, m ReleasedRequest) ReleasedAnswer
	HomeRelease(ctx context.Context, m HomeReleaseRequest) HomeReleaseAnswer
	Explain(ctx context.Context, m ExplainRequest) ExplainAnswer
}

// Secret is the secret that all instances of the fleet share. Formatting it with
// package fmt prints a placeholder, so that logs cannot contain it.
type Secret string

// String returns a placeholder.
func (Secret) String() string { return "[fleet secret]" }

// GoString returns a placeholder.
func (Secret) GoString() string { return "[fleet secret]" }

// ForwardToken returns the value of HeaderToken, which authenticates forwarded
// HTTP requests. It is derived from the secret and does not reveal it.
func (s Secret) ForwardToken() string {
	return hex.EncodeToString(s.mac("forward", nil, nil))
}

func (s Secret) mac(role string, ownNonce, peerNonce []byte) []byte {
	h := hmac.New(sha256.New, []byte(s))
	h.Write([]byte(role))
	h.Write(ownNonce)
	h.Write(peerNonce)
	return h.Sum(nil)
}

const (
	// CallTimeout bounds a call, including dialling, and separately the handshake.
	// A poll that takes longer counts as missed.
	CallTimeout = 400 * time.Millisecond
	nonceSize   = 32
)

// Server accepts control connections of other instances.
type Server struct {
	listener net.Listener
	secret   Secret
	handler  Handler
	ctx      context.Context
	cancel   context.CancelFunc
}

// Listen starts a server on addr ("IP:port") that passes calls to h. It returns an
// error if the address cannot be bound.
func Listen(addr string, secret Secret, h Handler) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: ln, secret: secret, handler: h, ctx: ctx, cancel: cancel}
	go s.accept()
	return s, nil
}

// Addr returns the listening address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops accepting connections and closes the open ones. It does not wait for
// calls in progress.
func (s *Server) Close() {
	s.cancel()
	_ = s.listener.Close()
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // for example, the process has no free descriptors
			time.Sleep(acceptRetryDelay)
			continue
		}
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	if err := handshake(c, s.secret, "server", "client"); err != nil {
		_ = c.Close()
		return
	}
	stream := jsonrpc2.NewBufferedStream(c, messageCodec{})
	h := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle).SuppressErrClosed())
	conn := jsonrpc2.NewConn(s.ctx, stream, h, jsonrpc2.SetLogger(discardLogger{}))
	select {
	case <-conn.DisconnectNotify():
	case <-s.ctx.Done():
	}
	_ = conn.Close()
}

// discardLogger drops the log lines of the jsonrpc2 library, which logs every lost
// connection.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	switch req.Method {
	case "poll":
		return handleCall(ctx, req, s.handler.Poll)
	case "records":
		return handleCall(ctx, req, s.handler.Records)
	case "tokens":
		return handleCall(ctx, req, s.handler.Tokens)
	case "released":
		return handleCall(ctx, req, s.handler.Released)
	case "home-release":
		return handleCall(ctx, req, s.handler.HomeRelease)
	case "explain":
		return handleCall(ctx, req, s.handler.Explain)
	default:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method}
	}
}

// handleCall decodes the parameters of req, calls f and encodes its result.
func handleCall[Q, A any, PQ interface {
	*Q
	message
}, PA interface {
	*A
	message
}](ctx context.Context, req *jsonrpc2.Request, f func(context.Context, Q) A) (any, error) {
	if req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: req.Method + ": no parameters"}
	}
	var request Q
	if err := unmarshal(*req.Params, PQ(&request)); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: req.Method + ": " + err.Error()}
	}
	response := f(ctx, request)
	return json.RawMessage(marshal(PA(&response))), nil
}

// handshake exchanges nonces and proofs over c, and fails unless the peer proves
// that it holds the secret. The roles differ between the two ends, so that a proof
// cannot be reflected to its sender.
func handshake(c net.Conn, secret Secret, localRole, peerRole string) error {
	if err := c.SetDeadline(time.Now().Add(CallTimeout)); err != nil {
		return err
	}
	localNonce, peerNonce := make([]byte, nonceSize), make([]byte, nonceSize)
	_, _ = rand.Read(localNonce)
	if _, err := c.Write(localNonce); err != nil {
		return errors.Wrap(err, "send nonce")
	}
	if _, err := io.ReadFull(c, peerNonce); err != nil {
		return errors.Wrap(err, "receive nonce")
	}
	if _, err := c.Write(secret.mac(localRole, localNonce, peerNonce)); err != nil {
		return errors.Wrap(err, "send proof")
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(c, proof); err != nil {
		return errors.Wrap(err, "receive proof")
	}
	if !hmac.Equal(proof, secret.mac(peerRole, peerNonce, localNonce)) {
		return errors.New("the peer does not hold the fleet secret")
	}
	return c.SetDeadline(time.Time{})
}

// Client calls other instances. It keeps one connection per address and replaces
// it after a call on it has timed out or the connection was lost. Each method
// returns an error if the call fails or takes longer than CallTimeout. A Client is
// safe for concurrent use.
type Client struct {
	secret Secret

	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// NewClient returns a client that authenticates with secret. It dials on demand.
func NewClient(secret Secret) *Client {
	return &Client{secret: secret, conns: make(map[string]*jsonrpc2.Conn)}
}

// Close closes every connection. Calls in progress fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, addr)
	}
}

// Poll returns the state of the instance at addr.
func (c *Client) Poll(ctx context.Context, addr string, m PollRequest) (a PollAnswer, err error) {
	err = c.call(ctx, addr, "poll", &m, &a)
	return a, err
}

// Records fetches the records with higher revisions than those in m.Known.
func (c *Client) Records(ctx context.Context, addr string, m RecordsRequest) (a RecordsAnswer, err error) {
	err = c.call(ctx, addr, "records", &m, &a)
	return a, err
}

// Tokens requests a token lease from the home of a limit.
func (c *Client) Tokens(ctx context.Context, addr string, m TokensRequest) (a TokensAnswer, err error) {
	err = c.call(ctx, addr, "tokens", &m, &a)
	return a, err
}

// Released asks whether earlier grants to an upstream have ended. The answer holds
// one element per grant of m; an answer of another length is an error.
func (c *Client) Released(ctx context.Context, addr string, m ReleasedRequest) (a ReleasedAnswer, err error) {
	if err = c.call(ctx, addr, "released", &m, &a); err != nil {
		return a, err
	}
	if len(a.Released) != len(m.Grants) {
		return a, errors.Errorf("released: %d answers for %d grants", len(a.Released), len(m.Grants))
	}
	return a, nil
}

// HomeRelease asks the former home of limits to stop granting their tokens. An
// answer that is Done without one level per limit is an error.
func (c *Client) HomeRelease(ctx context.Context, addr string, m HomeReleaseRequest) (a HomeReleaseAnswer, err error) {
	if err = c.call(ctx, addr, "home-release", &m, &a); err != nil {
		return a, err
	}
	if a.Done && len(a.Levels) != len(m.IDs) {
		return a, errors.Errorf("home-release: %d levels for %d limits", len(a.Levels), len(m.IDs))
	}
	return a, nil
}

// Explain passes an operator's query to the instance at addr.
func (c *Client) Explain(ctx context.Context, addr string, m ExplainRequest) (a ExplainAnswer, err error) {
	err = c.call(ctx, addr, "explain", &m, &a)
	return a, err
}

func (c *Client) call(ctx context.Context, addr, method string, request, response message) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	conn, err := c.conn(ctx, addr)
	if err != nil {
		return errors.Wrapf(err, "%s to %s", method, addr)
	}
	var raw json.RawMessage
	if err := conn.Call(ctx, method, json.RawMessage(marshal(request)), &raw); err != nil {
		var rpcError *jsonrpc2.Error
		if !errors.As(err, &rpcError) {
			c.closeConn(addr, conn)
		}
		return errors.Wrapf(err, "%s to %s", method, addr)
	}
	if err := unmarshal(raw, response); err != nil {
		return errors.Wrapf(err, "%s from %s", method, addr)
	}
	return nil
}

// conn returns the open connection to addr or dials one. If two callers dial at
// the same time, the first connection is kept and the second one closed.
func (c *Client) conn(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	conn := c.conns[addr]
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	var dialer net.Dialer
	netConn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if err := handshake(netConn, c.secret, "client", "server"); err != nil {
		_ = netConn.Close()
		return nil, err
	}
	stream := jsonrpc2.NewBufferedStream(netConn, messageCodec{})
	conn = jsonrpc2.NewConn(context.Background(), stream, ignoreCalls{}, jsonrpc2.SetLogger(discardLogger{}))
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing := c.conns[addr]; existing != nil {
		_ = conn.Close()
		return existing, nil
	}
	c.conns[addr] = conn
	go func() {
		<-conn.DisconnectNotify()
		c.closeConn(addr, conn)
	}()
	return conn, nil
}

// closeConn closes conn and removes it from the client. Calls in progress on it
// fail.
func (c *Client) closeConn(addr string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conns[addr] == conn {
		delete(c.conns, addr)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// ignoreCalls is the handler of the dialling side. The accepting side makes no
// calls, so any that arrive are ignored.
type ignoreCalls struct{}

func (ignoreCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// Headers of HTTP requests that are forwarded to a dispatcher and of their
// responses, in addition to those of package fleet.
const (
	HeaderToken      = "Parsley-Forward-Token"
	HeaderService    = "Parsley-Service"
	HeaderRoutingKey = "Parsley-Routing-Key"
	HeaderClass      = "Parsley-Class"
	HeaderRetryAfter = "Parsley-Retry-After-Ms"
	HeaderDetail     = "Parsley-Detail"
)
