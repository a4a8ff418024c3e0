package direct

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Retry delays that are returned to refused callers.
const (
	retryAfterNotReady   = 300 * time.Millisecond // until a configuration or a holder is known
	retryAfterHolderLost = 600 * time.Millisecond // until a key whose holder was lost has a new one
	retryAfterFull       = 120 * time.Millisecond // until slots are free
	retryAfterBodies     = time.Second            // until memory for a body is free
	minRetryAfterLimit   = 200 * time.Millisecond // bounds for accounts over their limits
	maxRetryAfterLimit   = 2 * time.Second
)

// maxConfigurationWait is how long a request waits at a newly started instance that has
// no configuration yet. The instance reads one within 200 ms if the store answers.
const maxConfigurationWait = 400 * time.Millisecond

// exchange is a caller's request in progress.
type exchange struct {
	method, target, host string
	header               http.Header
	body                 [][]byte // in chunks
	info                 RequestMetadata
	receivedAt           time.Time
	deadline             time.Time
	table                *routes.Table
	route                *routes.Route
	account              routes.Account
	service              routes.Service

	picked, trial bool // whether a version was picked, and whether it is that of a roll-out

	sends        sends
	arrivals     int                // number of times that the request was sent to an upstream
	attempts     []string           // descriptions of the attempts, for the log
	attemptGroup http1.AttemptGroup // of all attempts; released once the answer is written
	cancel       func()             // ends the context of all attempts
	ended        func() bool        // reports whether that context has ended
}

// outcome is the answer to a caller.
type outcome struct {
	status     int
	header     http.Header
	body       []byte
	stream     *http1.BodyStream // the body, if it is not nil
	upstream   *balance.Entry    // that made the answer; nil if this instance did
	reason     string            // why this instance generated the answer; empty if it is an upstream's
	retryAfter time.Duration
}

// reasonTimeout is the reason in the refusal of a request whose time has ended.
const reasonTimeout = "timeout"

func refuse(status int, reason string, retryAfter time.Duration) outcome {
	return outcome{status: status, reason: reason, retryAfter: retryAfter}
}

// serve handles a caller's request.
func (r *Router) serve(w http.ResponseWriter, req *http.Request) {
	x := &exchange{
		method: req.Method, target: req.RequestURI, host: req.Host, header: req.Header, receivedAt: time.Now(), cancel: func() {},
	}
	defer x.attemptGroup.Release()
	out := r.handle(req, x)
	defer x.cancel()
	r.logRequest(x, out)
	if out.reason != "" {
		if (out.status == http.StatusGatewayTimeout || out.reason == reasonTimeout) && req.Context().Err() != nil {
			return // the caller has closed the connection
		}
		out.header = r.platform.Protocol.RefusalHeader(x.info.ID, out.retryAfter)
	}
	h := w.Header()
	for name, values := range out.header {
		h[name] = values
	}
	if out.stream != nil {
		h.Set("Content-Length", strconv.FormatInt(out.stream.Length, 10))
		w.WriteHeader(out.status)
		r.copyStream(req.Context(), w, x, out)
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(out.body)))
	w.WriteHeader(out.status)
	if _, err := w.Write(out.body); err != nil {
		r.log.Debug("sending the answer to the caller failed", "request", x.info.ID, "error", err)
	}
}

// handle decides on a request and forwards it.
func (r *Router) handle(req *http.Request, x *exchange) outcome {
	var err error
	if x.info, err = r.platform.Protocol.ParseRequest(req.Header); err != nil {
		return refuse(http.StatusBadRequest, "bad-header", 0)
	}
	if !strings.HasPrefix(x.target, "/") {
		return refuse(http.StatusBadRequest, "bad-target", 0)
	}
	x.body, err = http1.RequestBody(req)
	if err != nil && !errors.Is(err, http1.ErrRequestRefused) {
		return refuseBody(err)
	}
	if refused, ok := r.admit(req.Context(), x); !ok {
		return refused
	}
	if err != nil { // the configuration has changed since the head was checked
		return refuse(http.StatusServiceUnavailable, "no-configuration", retryAfterNotReady)
	}
	x.deadline = x.receivedAt.Add(x.route.Timeout)
	if x.info.Timeout > 0 && x.info.Timeout < x.route.Timeout {
		x.deadline = x.receivedAt.Add(x.info.Timeout)
	}
	ctx, cancel := context.WithDeadline(req.Context(), x.deadline)
	stop := context.AfterFunc(r.stopping, cancel)
	x.cancel = func() { stop(); cancel() }
	x.ended = func() bool { return ctx.Err() != nil }
	if x.service.Sharded {
		return x.withoutFalsePromise(r.forwardToHolder(ctx, x))
	}
	return r.forwardToAny(ctx, x)
}

// withoutFalsePromise replaces a refusal that promises that x has not run, if an earlier
// attempt may have run: a repeated request may be refused after its first attempt was lost.
func (x *exchange) withoutFalsePromise(out outcome) outcome {
	if out.upstream == nil && promisesNotRun(out.status) && x.sends.close() {
		return refuse(http.StatusBadGateway, "upstream-lost", 0)
	}
	return out
}

// refuseBody refuses a request whose body was not received.
func refuseBody(err error) outcome {
	switch {
	case errors.Is(err, http1.ErrRequestBodyBudget):
		return refuse(http.StatusServiceUnavailable, "body-memory", retryAfterBodies)
	case errors.Is(err, http1.ErrTooManyRequests):
		return refuse(http.StatusServiceUnavailable, "too-many-requests", retryAfterBodies)
	case errors.Is(err, http1.ErrRequestBodySlow):
		return refuse(http.StatusRequestTimeout, "body-slow", 0)
	case errors.Is(err, http1.ErrRequestBodyTooLarge):
		return refuse(http.StatusRequestEntityTooLarge, "body-too-large", 0)
	}
	return refuse(http.StatusBadRequest, "bad-body", 0)
}

// admit determines the route, the account and the service of a request, and checks the
// account's limit. If the request is refused, it returns the refusal and false.
func (r *Router) admit(ctx context.Context, x *exchange) (outcome, bool) {
	if !r.awaitConfiguration(ctx) {
		return refuse(http.StatusServiceUnavailable, "no-configuration", retryAfterNotReady), false
	}
	x.table = r.operatorState.Load().Table
	path, _, _ := strings.Cut(x.target, "?")
	if x.route = x.table.Match(x.host, path); x.route == nil {
		return refuse(http.StatusNotFound, "no-route", 0), false
	}
	if !x.route.Public && len(x.table.Accounts) > 0 {
		known := false
		if x.account, known = x.table.Account(x.info.CallerKey); !known || !x.info.HasCallerKey {
			return refuse(http.StatusUnauthorized, "unknown-key", 0), false
		}
	}
	if ok, wait := r.withinLimit(ctx, x); !ok {
		return refuse(http.StatusTooManyRequests, "over-limit", min(max(wait, minRetryAfterLimit), maxRetryAfterLimit)), false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := false
	if x.service, known = x.table.Services[r.splitter.Pick(x.table.Version, x.route)]; !known {
		return refuse(http.StatusServiceUnavailable, "unknown-service", retryAfterNotReady), false
	}
	r.retryBudget(x.service.ID).Request(x.receivedAt, r.instanceCount())
	r.collector.Arrived(x.service.ID)
	if x.service.Sharded && x.info.HasRoutingKey && len(r.requestedKeys[x.service.ID]) < maxReportedKeys {
		r.requestedKeys[x.service.ID] = append(r.requestedKeys[x.service.ID], x.info.RoutingKey)
	}
	return outcome{}, true
}

// awaitConfiguration waits up to maxConfigurationWait for the first configuration, and
// reports whether there is one.
func (r *Router) awaitConfiguration(ctx context.Context) bool {
	select {
	case <-r.configured:
		return true
	default:
	}
	t := time.NewTimer(maxConfigurationWait)
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
	took := time.Since(x.receivedAt)
	r.mu.Lock()
	attempts := strings.Join(x.attempts, " ")
	age := time.Since(r.listedAt)
	instances := len(r.instances)
	r.mu.Unlock()
	route, service := "", fleet.ServiceID("")
	if x.route != nil {
		route, service = x.route.Name, x.service.ID
	}
	r.metrics.countRequest(service, out.status, out.reason, took)
	fields := []any{
		"request", x.info.ID, "status", out.status, "took-ms", took.Milliseconds(), "route", route,
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
		fields = append(fields, "key", x.info.RoutingKey)
		if m := r.holderMap.Load(); m != nil {
			fields = append(fields, "term", m.Version.Term, "map", m.Version.Seq)
		}
	}
	fields = append(fields, "reason", out.reason, "list-age-ms", age.Milliseconds(), "instances", instances)
	r.log.Warn("request refused or failed", fields...)
}
