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

// job is a request that has passed authentication and limits.
type job struct {
	entry    catalogue.Entry
	account  fleet.AccountID
	key      fleet.RoutingKey
	deadline time.Time
	request  *http1.Request
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	st := s.state.Load()
	switch r.URL.Path {
	case "/-/live":
		return
	case "/-/ready":
		if st.out || len(st.upstreams) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	j, refusal := s.decide(st, r)
	if refusal != nil {
		refuse(w, refusal)
		return
	}
	res, refusal := s.forward(r.Context(), j)
	if refusal != nil {
		refuse(w, refusal)
		return
	}
	for name, values := range res.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(res.Status)
	_, _ = w.Write(res.Body)
}

func (s *Server) decide(st *state, r *http.Request) (job, *fleet.Refusal) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return job{}, &fleet.Refusal{Reason: fleet.ReasonBadRequest}
	}
	bearer := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	account, ok := st.accounts[fleet.CallerKey(bearer).Hash()]
	if !ok {
		return job{}, &fleet.Refusal{Reason: fleet.ReasonUnauthenticated}
	}
	entry, ok := match(st.catalogue, r.URL.Path)
	if !ok {
		return job{}, &fleet.Refusal{Reason: fleet.ReasonNoRoute}
	}
	for _, id := range []fleet.LimitID{fleet.AccountLimit(account), fleet.EntryLimit(entry.ID)} {
		if l := st.limiters[id]; l != nil && !l.Allow() {
			return job{}, &fleet.Refusal{Reason: fleet.ReasonRateLimited, RetryAfter: time.Second}
		}
	}
	timeout, err := strconv.Atoi(r.Header.Get(fleet.HeaderDeadline))
	if err != nil || timeout <= 0 {
		timeout = int(catalogue.DefaultTimeout.Milliseconds())
	}
	header := r.Header.Clone()
	header.Del("Authorization")
	return job{
		entry: entry, account: account, key: routingKey(entry, r), deadline: time.Now().Add(time.Duration(timeout) * time.Millisecond),
		request: &http1.Request{Method: r.Method, Target: r.URL.RequestURI(), Header: header, Body: body},
	}, nil
}

func match(c *catalogue.Catalogue, path string) (best catalogue.Entry, ok bool) {
	for _, e := range c.Entries {
		if strings.HasPrefix(path, e.PathPrefix) && len(e.PathPrefix) > len(best.PathPrefix) {
			best, ok = e, true
		}
	}
	return best, ok
}

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

// forward sends the request to the upstream that the hash names, and an
// idempotent one once more if it failed.
func (s *Server) forward(ctx context.Context, j job) (*http1.Response, *fleet.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	tries := 1
	if j.entry.Class == catalogue.Idempotent {
		tries = 2
	}
	var refusal *fleet.Refusal
	for range tries {
		res, failed := s.attempt(ctx, j)
		if failed == nil {
			return res, nil
		}
		// An attempt that may have run decides the outcome of the whole request.
		if refusal == nil || refusal.Reason.Outcome() == fleet.NotRun {
			refusal = failed
		}
	}
	return nil, refusal
}

func (s *Server) attempt(ctx context.Context, j job) (*http1.Response, *fleet.Refusal) {
	st := s.state.Load() // read again for a retry, since the list may have changed
	owner := load.Owner(st.upstreams, j.entry.Service, j.key)
	if owner.Addr == "" {
		return nil, &fleet.Refusal{Reason: fleet.ReasonNoOwner}
	}
	id := string(s.cfg.Name) + "-" + strconv.FormatInt(s.nextID.Add(1), 36)
	request := *j.request
	request.Header = j.request.Header.Clone()
	load.SetUpstreamHeaders(request.Header, time.Now(), load.Outgoing{ID: id, Account: j.account, Key: j.key, Deadline: j.deadline})
	res, err := st.pools[owner.Addr].Do(ctx, &request)
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

func refuse(w http.ResponseWriter, r *fleet.Refusal) {
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
