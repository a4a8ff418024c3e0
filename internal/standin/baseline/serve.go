package baseline

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/load"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// admittedRequest is a request that has passed authentication and rate limits.
type admittedRequest struct {
	entry    catalogue.Entry
	account  fleet.AccountID
	key      fleet.RoutingKey
	deadline time.Time
	request  *http1.Request
}

// serve answers health checks, and authenticates, limits and forwards requests.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	snap := s.snapshot.Load()
	switch r.URL.Path {
	case "/-/live":
		return
	case "/-/ready":
		if snap.outOfService || len(snap.upstreams) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	req, refusal := s.admit(snap, r)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	res, refusal := s.forward(r.Context(), req)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	for name, values := range res.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(res.Status)
	_, _ = w.Write(res.Body)
}

// admit authenticates a request, finds its entry and charges the rate limits of the
// account and the entry.
func (s *Server) admit(snap *snapshot, r *http.Request) (admittedRequest, *fleet.Refusal) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return admittedRequest{}, &fleet.Refusal{Reason: fleet.ReasonBadRequest}
	}
	bearer := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	account, ok := snap.accounts[fleet.CallerKey(bearer).Hash()]
	if !ok {
		return admittedRequest{}, &fleet.Refusal{Reason: fleet.ReasonUnauthenticated}
	}
	entry, ok := matchEntry(snap.catalogue, r.URL.Path)
	if !ok {
		return admittedRequest{}, &fleet.Refusal{Reason: fleet.ReasonNoRoute}
	}
	for _, id := range []fleet.LimitID{fleet.AccountLimit(account), fleet.EntryLimit(entry.ID)} {
		if l := snap.limiters[id]; l != nil && !l.Allow() {
			return admittedRequest{}, &fleet.Refusal{Reason: fleet.ReasonRateLimited, RetryAfter: time.Second}
		}
	}
	timeout, err := strconv.Atoi(r.Header.Get(fleet.HeaderDeadline))
	if err != nil || timeout <= 0 {
		timeout = int(catalogue.DefaultTimeout.Milliseconds())
	}
	header := r.Header.Clone()
	header.Del("Authorization")
	return admittedRequest{
		entry: entry, account: account, key: routingKey(entry, r), deadline: time.Now().Add(time.Duration(timeout) * time.Millisecond),
		request: &http1.Request{Method: r.Method, Target: r.URL.RequestURI(), Header: header, Body: body},
	}, nil
}

// matchEntry returns the entry with the longest path prefix that path starts with.
func matchEntry(c *catalogue.Catalogue, path string) (best catalogue.Entry, ok bool) {
	for _, e := range c.Entries {
		if strings.HasPrefix(path, e.PathPrefix) && len(e.PathPrefix) > len(best.PathPrefix) {
			best, ok = e, true
		}
	}
	return best, ok
}

// routingKey extracts the routing key of a request as its entry configures it: from a
// header, a query parameter or a segment of the path.
func routingKey(e catalogue.Entry, r *http.Request) fleet.RoutingKey {
	switch e.RoutingKey.From {
	case catalogue.FromHeader:
		return fleet.RoutingKey(r.Header.Get(e.RoutingKey.Name))
	case catalogue.FromQuery:
		return fleet.RoutingKey(r.URL.Query().Get(e.RoutingKey.Name))
	default:
		segments := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
		if i := e.RoutingKey.Segment; i < len(segments) {
			return fleet.RoutingKey(segments[i])
		}
		return ""
	}
}

// forward sends a request to the upstream that its routing key hashes to. It retries
// an idempotent request once after a failed attempt.
func (s *Server) forward(ctx context.Context, req admittedRequest) (*http1.Response, *fleet.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	attempts := 1
	if req.entry.Class == catalogue.Idempotent {
		attempts = 2
	}
	var refusal *fleet.Refusal
	for range attempts {
		res, failed := s.attempt(ctx, req)
		if failed == nil {
			return res, nil
		}
		// A refusal with an unknown outcome takes precedence over one with not-run,
		// because the request may have been executed.
		if refusal == nil || refusal.Reason.Outcome() == fleet.NotRun {
			refusal = failed
		}
	}
	return nil, refusal
}

// attempt sends a request once to the upstream that owns its routing key.
func (s *Server) attempt(ctx context.Context, req admittedRequest) (*http1.Response, *fleet.Refusal) {
	snap := s.snapshot.Load() // loaded for each attempt, since a retry may find a newer list
	owner := load.StaticOwner(snap.upstreams, req.entry.Service, req.key)
	if owner.Addr == "" {
		return nil, &fleet.Refusal{Reason: fleet.ReasonNoOwner}
	}
	id := string(s.cfg.Name) + "-" + strconv.FormatInt(s.nextID.Add(1), 36)
	request := *req.request
	request.Header = req.request.Header.Clone()
	load.SetUpstreamHeaders(request.Header, time.Now(), load.UpstreamRequest{ID: id, Account: req.account, Key: req.key, Deadline: req.deadline})
	res, err := snap.pools[owner.Addr].Do(ctx, &request)
	var notSent *http1.NotSentError
	switch {
	case errors.As(err, &notSent):
		return nil, &fleet.Refusal{Reason: fleet.ReasonNoOwner}
	case errors.Is(err, context.DeadlineExceeded):
		return nil, &fleet.Refusal{Reason: fleet.ReasonTimeout}
	case err != nil:
		return nil, &fleet.Refusal{Reason: fleet.ReasonConnectionLost}
	case res.Header.Get(fleet.HeaderRequestID) != id:
		return nil, &fleet.Refusal{Reason: fleet.ReasonBadAnswer}
	case res.Header.Get(fleet.HeaderOutcome) == string(fleet.NotRun):
		return nil, &fleet.Refusal{Reason: fleet.ReasonOverloaded, RetryAfter: time.Second}
	}
	return res, nil
}

// writeRefusal answers a refused request with its outcome and reason, in headers and as
// JSON.
func writeRefusal(w http.ResponseWriter, r *fleet.Refusal) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(fleet.HeaderOutcome, string(r.Reason.Outcome()))
	h.Set(fleet.HeaderReason, string(r.Reason))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(r.RetryAfter.Seconds())))
	}
	w.WriteHeader(r.Reason.Status())
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("outcome", func(e *jx.Encoder) { e.Str(string(r.Reason.Outcome())) })
		e.Field("reason", func(e *jx.Encoder) { e.Str(string(r.Reason)) })
	})
	_, _ = w.Write(e.Bytes())
}
