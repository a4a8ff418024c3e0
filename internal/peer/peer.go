// Package peer carries messages between instances: jsonrpc2 over TCP for
// control, and HTTP for requests that are forwarded to a dispatcher.
//
// Both ends of a control connection prove with an HMAC over fresh nonces that
// they hold the fleet secret before the first message. A call has a deadline; a
// connection on which a call timed out is closed and the next call dials anew,
// because a connection that went silent for good looks no different.
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

// Handler answers the messages of other instances.
type Handler interface {
	Poll(ctx context.Context, m PollRequest) PollAnswer
	Records(ctx context.Context, m RecordsRequest) RecordsAnswer
	Tokens(ctx context.Context, m TokensRequest) TokensAnswer
	Released(ctx context.Context, m ReleasedRequest) ReleasedAnswer
	HomeRelease(ctx context.Context, m HomeReleaseRequest) HomeReleaseAnswer
	Explain(ctx context.Context, m ExplainRequest) ExplainAnswer
}

// Secret is the fleet's shared secret. Its String hides it.
type Secret string

// String returns a placeholder.
func (Secret) String() string { return "[fleet secret]" }

// GoString returns a placeholder.
func (Secret) GoString() string { return "[fleet secret]" }

// ForwardToken returns the value that authenticates forwarded HTTP requests.
func (s Secret) ForwardToken() string {
	return hex.EncodeToString(s.mac("forward", nil, nil))
}

func (s Secret) mac(role string, mine, theirs []byte) []byte {
	h := hmac.New(sha256.New, []byte(s))
	h.Write([]byte(role))
	h.Write(mine)
	h.Write(theirs)
	return h.Sum(nil)
}

const (
	// CallTimeout bounds a call and the handshake; a poll that takes longer
	// counts as missed.
	CallTimeout = 400 * time.Millisecond
	nonceSize   = 32
)

// Server accepts control connections.
type Server struct {
	listener net.Listener
	secret   Secret
	handler  Handler
	ctx      context.Context
	cancel   context.CancelFunc
}

// Listen starts a server on addr ("IP:port").
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

// Close stops accepting and ends every connection.
func (s *Server) Close() {
	s.cancel()
	_ = s.listener.Close()
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	if err := handshake(c, s.secret, "server", "client"); err != nil {
		_ = c.Close()
		return
	}
	stream := jsonrpc2.NewBufferedStream(c, jsonrpc2.VarintObjectCodec{})
	h := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle).SuppressErrClosed())
	conn := jsonrpc2.NewConn(s.ctx, stream, h, jsonrpc2.SetLogger(silent{}))
	select {
	case <-conn.DisconnectNotify():
	case <-s.ctx.Done():
	}
	_ = conn.Close()
}

// silent drops the library's log lines; it logs every lost connection.
type silent struct{}

func (silent) Printf(string, ...any) {}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	switch req.Method {
	case "poll":
		return answer(ctx, req, s.handler.Poll)
	case "records":
		return answer(ctx, req, s.handler.Records)
	case "tokens":
		return answer(ctx, req, s.handler.Tokens)
	case "released":
		return answer(ctx, req, s.handler.Released)
	case "home-release":
		return answer(ctx, req, s.handler.HomeRelease)
	case "explain":
		return answer(ctx, req, s.handler.Explain)
	default:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method}
	}
}

func answer[Q, A any, PQ interface {
	*Q
	message
}, PA interface {
	*A
	message
}](ctx context.Context, req *jsonrpc2.Request, f func(context.Context, Q) A) (any, error) {
	if req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: req.Method + ": no parameters"}
	}
	var q Q
	if err := unmarshal(*req.Params, PQ(&q)); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: req.Method + ": " + err.Error()}
	}
	a := f(ctx, q)
	return json.RawMessage(marshal(PA(&a))), nil
}

// handshake proves on both sides that the other holds the secret.
func handshake(c net.Conn, secret Secret, me, other string) error {
	if err := c.SetDeadline(time.Now().Add(CallTimeout)); err != nil {
		return err
	}
	mine, theirs := make([]byte, nonceSize), make([]byte, nonceSize)
	_, _ = rand.Read(mine)
	if _, err := c.Write(mine); err != nil {
		return errors.Wrap(err, "send nonce")
	}
	if _, err := io.ReadFull(c, theirs); err != nil {
		return errors.Wrap(err, "receive nonce")
	}
	if _, err := c.Write(secret.mac(me, mine, theirs)); err != nil {
		return errors.Wrap(err, "send proof")
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(c, proof); err != nil {
		return errors.Wrap(err, "receive proof")
	}
	if !hmac.Equal(proof, secret.mac(other, theirs, mine)) {
		return errors.New("the peer does not hold the fleet secret")
	}
	return c.SetDeadline(time.Time{})
}

// Client calls other instances. It keeps one connection per address and
// replaces it after a call that timed out.
type Client struct {
	secret Secret

	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// NewClient returns a client without connections.
func NewClient(secret Secret) *Client {
	return &Client{secret: secret, conns: make(map[string]*jsonrpc2.Conn)}
}

// Close ends every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, addr)
	}
}

// Poll asks what the instance at addr knows.
func (c *Client) Poll(ctx context.Context, addr string, m PollRequest) (a PollAnswer, err error) {
	err = c.call(ctx, addr, "poll", &m, &a)
	return a, err
}

// Records fetches the records that are newer than m.Known.
func (c *Client) Records(ctx context.Context, addr string, m RecordsRequest) (a RecordsAnswer, err error) {
	err = c.call(ctx, addr, "records", &m, &a)
	return a, err
}

// Tokens asks the home of a limit for tokens.
func (c *Client) Tokens(ctx context.Context, addr string, m TokensRequest) (a TokensAnswer, err error) {
	err = c.call(ctx, addr, "tokens", &m, &a)
	return a, err
}

// Released asks whether grants at an upstream have ended. The answer has one
// element per grant.
func (c *Client) Released(ctx context.Context, addr string, m ReleasedRequest) (a ReleasedAnswer, err error) {
	if err = c.call(ctx, addr, "released", &m, &a); err != nil {
		return a, err
	}
	if len(a.Released) != len(m.Grants) {
		return a, errors.Errorf("released: %d answers for %d grants", len(a.Released), len(m.Grants))
	}
	return a, nil
}

// HomeRelease asks a former home to stop granting tokens.
func (c *Client) HomeRelease(ctx context.Context, addr string, m HomeReleaseRequest) (a HomeReleaseAnswer, err error) {
	if err = c.call(ctx, addr, "home-release", &m, &a); err != nil {
		return a, err
	}
	if a.Done && len(a.Levels) != len(m.IDs) {
		return a, errors.Errorf("home-release: %d levels for %d limits", len(a.Levels), len(m.IDs))
	}
	return a, nil
}

// Explain passes an operator's query on.
func (c *Client) Explain(ctx context.Context, addr string, m ExplainRequest) (a ExplainAnswer, err error) {
	err = c.call(ctx, addr, "explain", &m, &a)
	return a, err
}

func (c *Client) call(ctx context.Context, addr, method string, q, a message) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	conn, err := c.conn(ctx, addr)
	if err != nil {
		return errors.Wrapf(err, "%s to %s", method, addr)
	}
	var raw json.RawMessage
	if err := conn.Call(ctx, method, json.RawMessage(marshal(q)), &raw); err != nil {
		var answered *jsonrpc2.Error
		if !errors.As(err, &answered) {
			c.drop(addr, conn)
		}
		return errors.Wrapf(err, "%s to %s", method, addr)
	}
	if err := unmarshal(raw, a); err != nil {
		return errors.Wrapf(err, "%s from %s", method, addr)
	}
	return nil
}

func (c *Client) conn(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	conn := c.conns[addr]
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if err := handshake(nc, c.secret, "client", "server"); err != nil {
		_ = nc.Close()
		return nil, err
	}
	stream := jsonrpc2.NewBufferedStream(nc, jsonrpc2.VarintObjectCodec{})
	conn = jsonrpc2.NewConn(context.Background(), stream, refuseCalls{}, jsonrpc2.SetLogger(silent{}))
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[addr]; other != nil {
		_ = conn.Close()
		return other, nil
	}
	c.conns[addr] = conn
	go func() {
		<-conn.DisconnectNotify()
		c.drop(addr, conn)
	}()
	return conn, nil
}

// drop closes conn. Calls that wait on it end with an error.
func (c *Client) drop(addr string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conns[addr] == conn {
		delete(c.conns, addr)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// refuseCalls ignores calls from the accepting side, which makes none.
type refuseCalls struct{}

func (refuseCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// Headers of requests that are forwarded to a dispatcher, beside those of
// package fleet.
const (
	HeaderToken      = "Parsley-Forward-Token"
	HeaderService    = "Parsley-Service"
	HeaderRoutingKey = "Parsley-Routing-Key"
	HeaderClass      = "Parsley-Class"
	HeaderRetryAfter = "Parsley-Retry-After-Ms"
	HeaderDetail     = "Parsley-Detail"
)
