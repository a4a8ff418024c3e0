package instance

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/internal/caller"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/peer"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// outcomeGrace is how much longer than the deadline an instance waits for a
	// dispatcher, which can tell more precisely whether the request has run.
	outcomeGrace = 200 * time.Millisecond
	// maxForwardConns is the maximum number of connections to one other instance.
	maxForwardConns      = 4096
	internalHeaderPrefix = "Parsley-"
)

// forward sends the job to the instance that dispatches for the owner of its key.
func (n *Instance) forward(ctx context.Context, m assignment.Member, j *job) (*http1.Response, *fleet.Refusal) {
	left := time.Until(j.deadline)
	if left <= 0 {
		return nil, &fleet.Refusal{Reason: fleet.ReasonDeadline, Detail: "the deadline passed before the request was sent"}
	}
	header := j.header.Clone()
	header.Set(peer.HeaderToken, n.secret.ForwardToken())
	header.Set(peer.HeaderService, string(j.service.ID))
	header.Set(peer.HeaderRoutingKey, strconv.QuoteToASCII(string(j.key)))
	header.Set(peer.HeaderClass, string(j.class))
	header.Set(fleet.HeaderRequestID, string(j.id))
	header.Set(fleet.HeaderAccount, string(j.account))
	header.Set(fleet.HeaderDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	res, err := n.forwardPool(m.ForwardAddress).Do(ctx, &http1.Request{
		Method: j.method, Target: j.target, Host: j.host, Header: header, Body: j.body,
	})
	if err != nil {
		// The other idle connections have probably failed as well.
		n.forwardPool(m.ForwardAddress).CloseIdle()
		return nil, forwardRefusal(err, m.ID)
	}
	if got := res.Header.Get(fleet.HeaderRequestID); got != string(j.id) {
		return nil, &fleet.Refusal{Reason: fleet.ReasonBadAnswer, Detail: "the dispatcher answered another request"}
	}
	if reason := res.Header.Get(fleet.HeaderReason); reason != "" {
		return nil, refusalFromHeader(res.Header)
	}
	stripInternalHeaders(res.Header)
	return res, nil
}

func (n *Instance) forwardPool(addr string) *http1.Pool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.forwardPools[addr]
	if !ok {
		p = n.http.NewPool(addr, http1.PoolConfig{MaxConns: maxForwardConns})
		n.forwardPools[addr] = p
	}
	return p
}

// closeUnusedConnections closes the connections to instances and upstreams that
// the assignment no longer contains. The caller holds mu.
func (n *Instance) closeUnusedConnections(s *snapshot) {
	memberAddrs := make(map[string]bool, len(s.assignment.Members))
	for _, m := range s.assignment.Members {
		memberAddrs[m.ForwardAddress] = true
	}
	for addr, p := range n.forwardPools {
		if !memberAddrs[addr] {
			p.Retire()
			delete(n.forwardPools, addr)
		}
	}
	upstreamAddrs := make(map[string]bool, len(s.assignment.Upstreams))
	for _, u := range s.assignment.Upstreams {
		upstreamAddrs[u.Address] = true
	}
	for _, u := range n.connectedAssignment.Upstreams {
		if !upstreamAddrs[u.Address] {
			go n.upstreams.Remove(u.Address)
		}
	}
	n.connectedAssignment = s.assignment
}

func refusalFromHeader(h http.Header) *fleet.Refusal {
	r := &fleet.Refusal{Reason: fleet.Reason(h.Get(fleet.HeaderReason)), Detail: h.Get(peer.HeaderDetail)}
	if ms, err := strconv.ParseInt(h.Get(peer.HeaderRetryAfter), 10, 64); err == nil {
		r.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return r
}

func stripInternalHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, internalHeaderPrefix) {
			delete(h, name)
		}
	}
}

// ServeHTTP dispatches a request that another instance forwarded.
func (n *Instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(peer.HeaderToken) != n.secret.ForwardToken() {
		http.Error(w, "forwarding needs the fleet secret", http.StatusForbidden)
		return
	}
	w.Header().Set(fleet.HeaderRequestID, r.Header.Get(fleet.HeaderRequestID))
	j, refusal := n.forwardedJob(r)
	if refusal != nil {
		writeForwardedRefusal(w, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline.Add(outcomeGrace))
	defer cancel()
	res, refusal := n.dispatchJob(ctx, j)
	if refusal != nil {
		writeForwardedRefusal(w, refusal)
		return
	}
	caller.CopyHeader(w.Header(), res.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(res.Body)))
	w.WriteHeader(res.Status)
	_, _ = w.Write(res.Body)
}

func (n *Instance) forwardedJob(r *http.Request) (*job, *fleet.Refusal) {
	service, ok := n.snapshot().service(fleet.ServiceID(r.Header.Get(peer.HeaderService)))
	if !ok {
		return nil, noOwnerRefusal("the dispatcher does not know the service")
	}
	key, err := strconv.Unquote(r.Header.Get(peer.HeaderRoutingKey))
	if err != nil {
		return nil, &fleet.Refusal{Reason: fleet.ReasonBadRequest, Detail: "forwarded routing key is not quoted"}
	}
	ms, err := strconv.ParseInt(r.Header.Get(fleet.HeaderDeadline), 10, 64)
	if err != nil {
		return nil, &fleet.Refusal{Reason: fleet.ReasonBadRequest, Detail: "forwarded deadline is not a number"}
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, &fleet.Refusal{Reason: fleet.ReasonBadRequest, Detail: "forwarded body cannot be read"}
	}
	header := r.Header.Clone()
	id, account, class := header.Get(fleet.HeaderRequestID), header.Get(fleet.HeaderAccount), header.Get(peer.HeaderClass)
	stripInternalHeaders(header)
	return &job{
		id: fleet.RequestID(id), account: fleet.AccountID(account), service: service, key: fleet.RoutingKey(key),
		class: catalogue.Class(class), deadline: time.Now().Add(time.Duration(ms) * time.Millisecond),
		method: r.Method, target: r.URL.RequestURI(), host: r.Host, header: header, body: body,
	}, nil
}

func writeForwardedRefusal(w http.ResponseWriter, r *fleet.Refusal) {
	h := w.Header()
	h.Set(fleet.HeaderOutcome, string(r.Reason.Outcome()))
	h.Set(fleet.HeaderReason, string(r.Reason))
	h.Set(peer.HeaderDetail, r.Detail)
	h.Set(peer.HeaderRetryAfter, strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	h.Set("Content-Length", "0")
	w.WriteHeader(r.Reason.Status())
}
