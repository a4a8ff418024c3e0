package soak

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// execution is a request whose execution an upstream started.
type execution struct {
	startedAt time.Time
	upstream  *upstream
	account   string
}

// executionLog records what upstreams observed.
type executionLog struct {
	mu              sync.Mutex
	byRequestID     map[string][]execution
	violations      []string                 // guarantees found broken when an execution started
	withdrawnAt     map[string]time.Time     // by caller key
	delayAfterLeave map[string]time.Duration // by request id: from the upstream's leave to the start of the execution
}

func newExecutionLog() *executionLog {
	return &executionLog{byRequestID: make(map[string][]execution), withdrawnAt: make(map[string]time.Time), delayAfterLeave: make(map[string]time.Duration)}
}

// recordWithdrawal records that a caller key was removed from the configuration.
func (r *executionLog) recordWithdrawal(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdrawnAt[key] = time.Now()
}

// recordStart records that an upstream starts to execute a request, and checks the
// request's target, its account, that it carries no caller key, and that only one
// upstream holds its key.
func (r *executionLog) recordStart(env *testEnv, u *upstream, req *http.Request) {
	now := time.Now()
	id := req.Header.Get("Request-Id")
	parts := strings.Split(strings.Trim(req.URL.Path, "/"), "/") // entry, account, request id
	u.mu.Lock()
	leftAt := u.leftAt
	u.mu.Unlock()
	var holders []string
	if u.service == "vault" {
		key, _ := strconv.Atoi(req.Header.Get("Shard-Key"))
		for _, other := range env.currentUpstreams() {
			if other.service == "vault" && other.Holds(key) {
				holders = append(holders, other.ID())
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byRequestID[id] = append(r.byRequestID[id], execution{startedAt: now, upstream: u, account: req.Header.Get("Tenant")})
	if len(parts) != 3 || parts[2] != id {
		r.violations = append(r.violations, fmt.Sprintf("%s: executed with target %s", id, req.URL.Path))
		return
	}
	if account := req.Header.Get("Tenant"); account != parts[1] {
		r.violations = append(r.violations, fmt.Sprintf("%s of account %s: executed for account %q", id, parts[1], account))
	}
	if key := req.Header.Get("Api-Key"); key != "" {
		r.violations = append(r.violations, fmt.Sprintf("%s: the caller key was forwarded to the upstream", id))
	}
	if len(holders) > 1 {
		r.violations = append(r.violations, fmt.Sprintf("%s: its key is held by upstreams %v at once, %v after the start", id, holders, now.Sub(env.startedAt)))
	}
	if !leftAt.IsZero() {
		r.delayAfterLeave[id] = now.Sub(leftAt)
	}
}

// checkRequests compares the responses that callers received with the executions that
// upstreams recorded, and returns the violations of the platform's guarantees.
func (env *testEnv) checkRequests(requests []*callerRequest) (violations []string) {
	r := env.executions
	r.mu.Lock()
	defer r.mu.Unlock()
	violations = append(violations, r.violations...)
	byID := make(map[string]*callerRequest)
	for _, cr := range requests {
		byID[cr.id] = cr
		executions := r.byRequestID[cr.id]
		report := func(format string, args ...any) {
			violations = append(violations, fmt.Sprintf("%s (%s, %s, sent at %.2f s): ", cr.id, cr.entry, cr.instance.name, cr.sentAt.Sub(env.startedAt).Seconds())+fmt.Sprintf(format, args...))
		}
		if cr.entry == "book" && len(executions) > 1 {
			report("executed %d times", len(executions))
		}
		if cr.promisesNotRun() && len(executions) > 0 && cr.entry == "book" {
			report("answered with status %d but executed", cr.status)
		}
		if cr.status == http.StatusOK && !slices.ContainsFunc(executions, func(x execution) bool { return cr.body == "by "+x.upstream.ID() && cr.seal == "seal-"+x.upstream.ID() }) {
			report("body %q and seal %q are of no upstream that executed the request", cr.body, cr.seal)
		}
		if cr.status == http.StatusNotFound || cr.status == http.StatusBadRequest {
			report("answered with status %d", cr.status)
		}
		var timeout interface{ Timeout() bool }
		timedOut := errors.As(cr.err, &timeout) && timeout.Timeout()
		if cr.err != nil && !timedOut && len(executions) > 0 && env.undisturbed(cr, false) {
			report("connection closed without a response although the request was executed: %v", cr.err)
		}
		env.checkTimeBounds(cr, executions, report)
	}
	for id := range r.byRequestID {
		if byID[id] == nil {
			violations = append(violations, id+": executed although no caller sent it")
		}
	}
	violations = append(violations, env.checkFences()...)
	violations = append(violations, env.checkNamedLimits(byID)...)
	return append(violations, env.checkRateLimits()...)
}

// checkFences returns a violation for each grant whose fencing token was not above those
// with which other upstreams had the keys. Grants do not count if they arrived shortly
// after a paused process continued, or after the link to the upstream healed.
func (env *testEnv) checkFences() (violations []string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, v := range env.grants.Violations() {
		shortlyBefore := func(at time.Time) bool { return !v.At.Before(at) && v.At.Sub(at) <= thawSlack }
		if v.Held || slices.ContainsFunc(env.thawedAt, shortlyBefore) || slices.ContainsFunc(env.healedAt[v.Upstream], shortlyBefore) {
			continue
		}
		text := fmt.Sprintf("%.2f s: %s", v.At.Sub(env.startedAt).Seconds(), v)
		if len(violations) == 0 {
			text += fmt.Sprintf("\nholders of key %d, after a start at %s:\n%s", v.First, env.startedAt.Format("15:04:05.000"), env.grants.Trace(v.First))
		}
		violations = append(violations, text)
	}
	return violations
}

// checkTimeBounds checks the bounds on time: that requests stop reaching an upstream that
// has left, and that withdrawn and new caller keys take effect. They hold only while
// neither the instance nor the store is disturbed. The caller holds the lock of the
// execution log.
func (env *testEnv) checkTimeBounds(cr *callerRequest, executions []execution, report func(string, ...any)) {
	r := env.executions
	if !env.allUndisturbed(cr) {
		return
	}
	if delay := r.delayAfterLeave[cr.id]; delay > drainTime {
		report("reached upstream %s %v after it had left", executions[len(executions)-1].upstream.ID(), delay)
	}
	if at, withdrawn := r.withdrawnAt[cr.callerKey]; withdrawn && cr.sentAt.Sub(at) > inForceTime && len(executions) > 0 {
		report("executed with a caller key withdrawn %v before the request", cr.sentAt.Sub(at))
	}
	if cr.status == http.StatusUnauthorized {
		if _, withdrawn := r.withdrawnAt[cr.callerKey]; !withdrawn && cr.sentAt.Sub(env.startedAt) > inForceTime && !env.keyChangedRecently(cr) {
			report("refused although its caller key is in force")
		}
	}
}

// keyChangedRecently reports whether the caller key of cr was issued so shortly before
// the request that it may not be in force yet. The time of issue follows "+" in the
// key; the first key of an account has none.
func (env *testEnv) keyChangedRecently(cr *callerRequest) bool {
	_, timestamp, changed := strings.Cut(cr.callerKey, "+")
	if !changed {
		return false
	}
	changedAt, err := time.ParseInLocation("20060102 150405.000", cr.sentAt.Format("20060102 ")+timestamp, time.Local)
	return err != nil || cr.sentAt.Sub(changedAt) < inForceTime+time.Second
}

// undisturbed reports whether the instance of cr was free of disturbances from contactTime
// before cr was sent to its end. Planned restarts count as disturbances if planned is
// set.
func (env *testEnv) undisturbed(cr *callerRequest, planned bool) bool {
	cr.instance.mu.Lock()
	defer cr.instance.mu.Unlock()
	return !disturbedBetween(cr.instance.disturbances, cr.sentAt, cr.endedAt, planned)
}

// allUndisturbed reports whether both the instance of cr and the store were free of
// disturbances, planned ones included, from contactTime before cr was sent to its end.
func (env *testEnv) allUndisturbed(cr *callerRequest) bool {
	env.mu.Lock()
	storeDisturbed := disturbedBetween(env.storeDisturbances, cr.sentAt, cr.endedAt, true)
	env.mu.Unlock()
	return !storeDisturbed && env.undisturbed(cr, true)
}

// checkRateLimits returns a violation for each account that had more requests executed
// within any quotaWindow than its rate, burst and tolerance allow.
func (env *testEnv) checkRateLimits() (violations []string) {
	byAccount := make(map[string][]time.Time)
	for _, executions := range env.executions.byRequestID {
		for _, ex := range executions {
			byAccount[ex.account] = append(byAccount[ex.account], ex.startedAt)
		}
	}
	for _, a := range initialConfig().accounts {
		if a.rate == 0 {
			continue
		}
		allowed := (float64(a.rate)*quotaWindow.Seconds()+float64(a.burst+1))*(1+quotaOverage) + quotaSlack
		times := byAccount[a.name]
		slices.SortFunc(times, time.Time.Compare)
		first := 0
		for i, startedAt := range times {
			for startedAt.Sub(times[first]) >= quotaWindow {
				first++
			}
			if n := i - first + 1; float64(n) > allowed {
				violations = append(violations, fmt.Sprintf("account %s: %d requests executed within %v, at %.2f s; %.0f are allowed", a.name, n, quotaWindow, startedAt.Sub(env.startedAt).Seconds(), allowed))
				break
			}
		}
	}
	return violations
}
