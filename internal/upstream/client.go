// Package upstream implements the client for upstreams: it sends control calls and
// callers' requests.
//
// Requests, control calls and renewals use separate connections, so that an
// unresponsive connection of one kind does not delay the others. After a control call
// without a response the next one uses a new connection.
package upstream

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/dispatch"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Client sends requests and control calls to upstreams and pools the connections to
// them.
type Client struct {
	client *http1.Client

	mu    sync.Mutex
	pools map[string]*addrPools
}

// addrPools holds the connection pools for one address. renew carries Hello and Renew
// calls, control the other control calls.
type addrPools struct {
	requests, control, renew *http1.Pool
}

type (
	// Call is a control call that package dispatch has requested.
	Call = dispatch.Call
	// Reply is the response to a control call.
	Reply = dispatch.Reply
)

const (
	// maxRequestConns leaves room for the control connections within the 120
	// connections that an upstream accepts.
	maxRequestConns = 100
	maxControlConns = 4
	dialTimeout     = 200 * time.Millisecond
)

// New returns a client without open connections.
func New(client *http1.Client) *Client {
	return &Client{client: client, pools: make(map[string]*addrPools)}
}

func (c *Client) poolsFor(addr string) *addrPools {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[addr]
	if p == nil {
		newPool := func(n int) *http1.Pool {
			return c.client.NewPool(addr, http1.PoolConfig{MaxConns: n, DialTimeout: dialTimeout})
		}
		p = &addrPools{requests: newPool(maxRequestConns), control: newPool(maxControlConns), renew: newPool(maxControlConns)}
		c.pools[addr] = p
	}
	return p
}

// CloseIdle closes the idle request connections to addr.
func (c *Client) CloseIdle(addr string) { c.poolsFor(addr).requests.CloseIdle() }

// Remove closes all connections to addr and removes their pools. Requests in flight
// fail as lost.
func (c *Client) Remove(addr string) {
	c.mu.Lock()
	p := c.pools[addr]
	delete(c.pools, addr)
	c.mu.Unlock()
	if p != nil {
		p.requests.Close()
		p.control.Close()
		p.renew.Close()
	}
}

// RefusedError reports a control call that the upstream answered with a status other
// than 200 and below 500.
type RefusedError struct {
	Addr   string
	Kind   dispatch.CallKind
	Status int
	Fence  fleet.Fence // highest dispatcher fence that the upstream has seen; 0 if it sent none
}

func (e *RefusedError) Error() string {
	return e.Kind.String() + " refused by " + e.Addr + ": status " + strconv.Itoa(e.Status) + ", fence " + e.Fence.String()
}

// Control sends a control call and waits for the reply. The error is a *RefusedError
// if the upstream refused the call.
func (c *Client) Control(ctx context.Context, addr string, call Call) (Reply, error) {
	p := c.poolsFor(addr).control
	if call.Kind == dispatch.Hello || call.Kind == dispatch.Renew {
		p = c.poolsFor(addr).renew
	}
	res, err := p.Do(ctx, &http1.Request{
		Method: http.MethodPost, Target: controlPath + call.Kind.String(),
		Header: http.Header{"Content-Type": {"application/json"}}, Body: EncodeCall(call),
	})
	if err != nil {
		p.CloseIdle()
		return Reply{}, errors.Wrapf(err, "%s to %s", call.Kind, addr)
	}
	if res.Status >= http.StatusInternalServerError {
		return Reply{}, errors.Errorf("%s to %s: status %d", call.Kind, addr, res.Status)
	}
	reply, err := DecodeReply(res.Body)
	if res.Status != http.StatusOK {
		return Reply{}, &RefusedError{Addr: addr, Kind: call.Kind, Status: res.Status, Fence: reply.Fence}
	}
	if err != nil {
		return Reply{}, errors.Wrapf(err, "%s to %s: decode response", call.Kind, addr)
	}
	return reply, nil
}

// ControlResult converts the results of Control to the result of action a.
func ControlResult(a dispatch.SendControl, reply Reply, err error) dispatch.ControlResult {
	res := dispatch.ControlResult{Upstream: a.Upstream, Seq: a.Seq, Reply: reply, OK: err == nil}
	var refused *RefusedError
	if errors.As(err, &refused) {
		res.Refused, res.Reply.Fence = true, refused.Fence
	}
	return res
}

// Request is one attempt to send a caller's request to an upstream.
type Request struct {
	Send    dispatch.SendRequest
	Account fleet.AccountID
	Method  string
	Target  string
	Host    string
	Header  http.Header // without the caller key
	Body    []byte
}

// Error reports an attempt that yielded no response for the caller. It wraps a
// *fleet.Refusal.
type Error struct {
	Kind    dispatch.ResultKind
	Boot    fleet.BootID // set if the upstream answered
	Refusal *fleet.Refusal
	Err     error // cause, or nil
}

func (e *Error) Error() string {
	if e.Err == nil {
		return e.Refusal.Error()
	}
	return e.Refusal.Error() + ": " + e.Err.Error()
}

// Unwrap returns the refusal.
func (e *Error) Unwrap() error { return e.Refusal }

// Result converts the results of Do to the argument of dispatch.Table.Done.
func Result(res *http1.Response, err error) dispatch.Result {
	var e *Error
	switch {
	case err == nil:
		return dispatch.Result{Kind: dispatch.Answered, Status: res.Status, Boot: fleet.BootID(res.Header.Get(fleet.HeaderBoot))}
	case errors.As(err, &e):
		return dispatch.Result{Kind: e.Kind, Boot: e.Boot, Refusal: e.Refusal}
	default:
		return dispatch.Result{Kind: dispatch.Lost}
	}
}

// Do sends one attempt and waits for the response, the deadline or the end of ctx.
// The error is an *Error.
func (c *Client) Do(ctx context.Context, addr string, r Request) (*http1.Response, error) {
	now := time.Now()
	if !now.Before(r.Send.StartBy) || !now.Before(r.Send.Deadline) {
		return nil, newError(dispatch.Skipped, fleet.ReasonDeadline, "the time to start has passed", nil)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Send.Deadline)
	defer cancel()
	p := c.poolsFor(addr).requests
	if r.Send.NewConnection {
		p.CloseIdle()
	}
	res, err := p.Do(ctx, &http1.Request{
		Method: r.Method, Target: r.Target, Host: r.Host, Body: r.Body, Header: requestHeader(now, r),
	})
	if err != nil {
		return nil, classifyError(err)
	}
	if err := checkResponse(r.Send.ID, res); err != nil {
		// The connection has already been returned to the pool and is closed with the
		// other idle ones.
		if err.Kind == dispatch.BadAnswer {
			p.CloseIdle()
		}
		return nil, err
	}
	return res, nil
}

func requestHeader(now time.Time, r Request) http.Header {
	h := r.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	for _, name := range []string{fleet.HeaderShard, fleet.HeaderPin, fleet.HeaderAccount, fleet.HeaderOutcome, fleet.HeaderReason} {
		h.Del(name)
	}
	if r.Send.Unit.Pin != "" {
		h.Set(fleet.HeaderPin, url.PathEscape(string(r.Send.Unit.Pin)))
	} else {
		h.Set(fleet.HeaderShard, strconv.FormatUint(uint64(r.Send.Unit.Shard), 10))
	}
	if r.Account != "" {
		h.Set(fleet.HeaderAccount, string(r.Account))
	}
	h.Set(fleet.HeaderDispatcherFence, r.Send.DispatcherFence.String())
	h.Set(fleet.HeaderFence, r.Send.Fence.String())
	h.Set(fleet.HeaderRequestID, string(r.Send.ID))
	h.Set(fleet.HeaderDeadline, strconv.FormatInt(r.Send.Deadline.Sub(now).Milliseconds(), 10))
	h.Set(fleet.HeaderStartBy, strconv.FormatInt(startByMillis(now, r.Send.StartBy), 10))
	return h
}

// startByMillis converts the start-by time to Unix milliseconds on the current wall
// clock. It uses the monotonic clock readings, because the wall clock may have been
// set since the start-by time was computed.
func startByMillis(now, by time.Time) int64 {
	return now.Round(0).Add(by.Sub(now)).UnixMilli()
}

func newError(kind dispatch.ResultKind, reason fleet.Reason, detail string, cause error) *Error {
	return &Error{Kind: kind, Refusal: &fleet.Refusal{Reason: reason, Detail: detail}, Err: cause}
}

func classifyError(err error) *Error {
	var notSent *http1.NotSentError
	switch {
	case errors.As(err, &notSent) && (errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)):
		return newError(dispatch.Skipped, fleet.ReasonDeadline, "the deadline passed before the request was sent", err)
	case errors.As(err, &notSent) && (errors.Is(err, http1.ErrPoolFull) || errors.Is(err, http1.ErrPoolClosed)):
		return newError(dispatch.Skipped, fleet.ReasonOverloaded, "no connection to the upstream is free", err)
	case errors.As(err, &notSent):
		return newError(dispatch.NotSent, fleet.ReasonNoOwner, "no connection to the owner", err)
	case errors.Is(err, context.DeadlineExceeded):
		return newError(dispatch.TimedOut, fleet.ReasonTimeout, "no response before the deadline", err)
	default:
		return newError(dispatch.Lost, fleet.ReasonConnectionLost, "the connection to the upstream was lost", err)
	}
}

// checkResponse returns nil if a response may be passed on to the caller, and the
// error of the attempt otherwise.
func checkResponse(id fleet.RequestID, res *http1.Response) *Error {
	boot := fleet.BootID(res.Header.Get(fleet.HeaderBoot))
	if res.Header.Get(fleet.HeaderRequestID) != string(id) || boot == "" {
		return newError(dispatch.BadAnswer, fleet.ReasonBadAnswer, "the response belongs to another request", nil)
	}
	if res.Header.Get(fleet.HeaderOutcome) != string(fleet.NotRun) {
		return nil
	}
	var err *Error
	switch res.Status {
	case http.StatusConflict:
		err = newError(dispatch.Stale, fleet.ReasonNoOwner, "the upstream does not hold the grant", nil)
	case http.StatusServiceUnavailable:
		err = newError(dispatch.Shed, fleet.ReasonOverloaded, "the upstream has no free slot", nil)
		err.Refusal.RetryAfter = time.Second
	default:
		err = newError(dispatch.Skipped, fleet.ReasonDeadline, "the upstream received the request too late", nil)
	}
	err.Boot = boot
	return err
}
