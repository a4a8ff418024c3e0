package direct

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Times after which a refused caller is asked to come back.
const (
	retryNotReady = 300 * time.Millisecond // until a configuration or a holder is known
	retryLost     = 600 * time.Millisecond // until a key that was lost has a holder
	retryFull     = 120 * time.Millisecond // until slots are free
	minRetryQuota = 200 * time.Millisecond
	maxRetryQuota = 2 * time.Second
)

// configurationWait is how long a request waits at an instance that has just started
// and knows no configuration yet; it reads one within 200 ms if the store answers.
const configurationWait = 400 * time.Millisecond

// exchange is a caller's request on its way.
type exchange struct {
	method, target, host string
	header               http.Header
	body                 []byte
	asked                Asked
	began                time.Time
	deadline             time.Time
	table                *routes.Table
	route                *routes.Route
	account              routes.Account
	service              routes.Service

	sends    int // arrivals at upstreams
	attempts []string
}

// outcome is the answer to a caller.
type outcome struct {
	status     int
	header     http.Header
	body       []byte
	reason     string // why this instance made the answer; empty if an upstream did
	retryAfter time.Duration
}

func refuse(status int, reason string, retryAfter time.Duration) outcome {
	return outcome{status: status, reason: reason, retryAfter: retryAfter}
}

// serve answers a caller.
func (r *Router) serve(w http.ResponseWriter, req *http.Request) {
	x := &exchange{
		method: req.Method, target: req.RequestURI, host: req.Host, header: req.Header, began: time.Now(),
	}
	out := r.handle(req, x)
	r.logRequest(x, out)
	if out.reason != "" {
		if out.status == http.StatusGatewayTimeout && req.Context().Err() != nil {
			return // the caller has left
		}
		out.header = r.out.Protocol.Refusal(x.asked.ID, out.retryAfter)
	}
	h := w.Header()
	for name, values := range out.header {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(out.body)))
	w.WriteHeader(out.status)
	if _, err := w.Write(out.body); err != nil {
		r.log.Debug("answer not delivered", "request", x.asked.ID, "error", err)
	}
}

// handle decides on a request and carries it out.
func (r *Router) handle(req *http.Request, x *exchange) outcome {
	var err error
	if x.asked, err = r.out.Protocol.Asked(req.Header); err != nil {
		return refuse(http.StatusBadRequest, "bad-header", 0)
	}
	if !strings.HasPrefix(x.target, "/") {
		return refuse(http.StatusBadRequest, "bad-target", 0)
	}
	if x.body, err = io.ReadAll(req.Body); err != nil {
		return refuse(http.StatusBadRequest, "bad-body", 0)
	}
	if refused, ok := r.admit(req.Context(), x); !ok {
		return refused
	}
	x.deadline = x.began.Add(x.route.Timeout)
	if x.asked.Budget > 0 && x.asked.Budget < x.route.Timeout {
		x.deadline = x.began.Add(x.asked.Budget)
	}
	ctx, cancel := context.WithDeadline(req.Context(), x.deadline)
	defer cancel()
	if x.service.Sharded {
		return r.forwardToHolder(ctx, x)
	}
	return r.forwardToAny(ctx, x)
}

// admit finds the route, the account and the service of a request, and checks the
// account's limit.
func (r *Router) admit(ctx context.Context, x *exchange) (outcome, bool) {
	if !r.awaitConfiguration(ctx) {
		return refuse(http.StatusServiceUnavailable, "no-configuration", retryNotReady), false
	}
	x.table = r.operator.Load().Table
	path, _, _ := strings.Cut(x.target, "?")
	if x.route = x.table.Match(x.host, path); x.route == nil {
		return refuse(http.StatusNotFound, "no-route", 0), false
	}
	if !x.route.Open && len(x.table.Accounts) > 0 {
		known := false
		if x.account, known = x.table.Account(x.asked.Key); !known || !x.asked.HasKey {
			return refuse(http.StatusUnauthorized, "unknown-key", 0), false
		}
	}
	if ok, wait := r.withinLimit(ctx, x); !ok {
		return refuse(http.StatusTooManyRequests, "over-limit", min(max(wait, minRetryQuota), maxRetryQuota)), false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	x.service = x.table.Services[x.route.Pick(r.rng)]
	r.budget(x.service.ID).Request(x.began, r.instanceCount())
	if x.service.Sharded && x.asked.HasRouting && len(r.asked[x.service.ID]) < maxReportedKeys {
		r.asked[x.service.ID] = append(r.asked[x.service.ID], x.asked.RoutingKey)
	}
	return outcome{}, true
}

// awaitConfiguration waits for the first configuration, and reports whether there is
// one.
func (r *Router) awaitConfiguration(ctx context.Context) bool {
	select {
	case <-r.configured:
		return true
	default:
	}
	t := time.NewTimer(configurationWait)
	defer t.Stop()
	select {
	case <-r.configured:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

func (r *Router) logRequest(x *exchange, out outcome) {
	took := time.Since(x.began)
	r.mu.Lock()
	attempts := strings.Join(x.attempts, " ")
	age := time.Since(r.listed)
	instances := len(r.instances)
	r.mu.Unlock()
	route, service := "", fleet.ServiceID("")
	if x.route != nil {
		route, service = x.route.Name, x.service.ID
	}
	r.metrics.request(service, out.status, out.reason, took)
	fields := []any{
		"request", x.asked.ID, "status", out.status, "took-ms", took.Milliseconds(), "route", route,
		"service", service, "account", x.account.ID, "attempts", attempts,
	}
	if x.table != nil {
		fields = append(fields, "version", uint64(x.table.Version))
	}
	if out.reason == "" {
		r.log.Info("request answered", fields...)
		return
	}
	if x.service.Sharded {
		fields = append(fields, "key", x.asked.RoutingKey)
		if m := r.keys.Load(); m != nil {
			fields = append(fields, "term", m.Version.Term, "map", m.Version.Seq)
		}
	}
	fields = append(fields, "reason", out.reason, "list-age-ms", age.Milliseconds(), "instances", instances)
	r.log.Warn("request refused or failed", fields...)
}
