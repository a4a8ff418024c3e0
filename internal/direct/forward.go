package direct

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// hedgeFactor is the multiple of the typical service time after which an unanswered
	// idempotent request is also sent to a second upstream.
	hedgeFactor = 1.5
	// minHedgeShare is the share of the route's target latency before which a request
	// is not hedged.
	minHedgeShare = 0.3
	// sendMargin is the time reserved for a request to reach an upstream after the last
	// check that it may be sent there. It covers an instance that has used up its share of
	// a core and does not run for a while.
	sendMargin = 300 * time.Millisecond
	// leavingHolderUse is how long the holder of a key still receives requests after this
	// instance detected that it leaves. Its keys move within that time.
	leavingHolderUse = 900 * time.Millisecond
	// evacuatedHolderUse is how long the holder of a key in an evacuated zone still receives
	// requests after the evacuation may have begun. Requests must stop within 5 s.
	evacuatedHolderUse = 2500 * time.Millisecond
	// resumeSpread is the time over which the requests are spread that wait for the end of
	// a pause of their upstreams, and the shortest spread of the retry delays of refused
	// ones.
	resumeSpread = 100 * time.Millisecond
	// unreachableRetryDelay is the delay before a key's holder that could not be
	// reached is tried again.
	unreachableRetryDelay = 100 * time.Millisecond
	// lostRetryDelay is the delay before a request is sent a second time to a holder
	// that lost it; the delay before the third time is twice as long. A holder with a
	// long queue resets connections, and frees a slot about 100 ms later.
	lostRetryDelay = 150 * time.Millisecond
)

// attempt is one try of a request at one upstream, with its result.
type attempt struct {
	upstream *balance.Entry
	id       fleet.UpstreamID
	response *http1.Response
	metadata ResponseMetadata
	err      error
	verdict  balance.Verdict
}

// mayHaveRun reports whether the upstream may have run the request.
func (a attempt) mayHaveRun() bool {
	var notSent *http1.NotSentError
	return !errors.As(a.err, &notSent) && (a.err != nil || !a.metadata.NotRun)
}

// send sends x to an upstream and records the result.
func (r *Router) send(ctx context.Context, x *exchange, upstream *balance.Entry) attempt {
	sentAt := time.Now()
	r.mu.Lock()
	run := upstream.Registration
	r.mu.Unlock()
	a := attempt{upstream: upstream, id: run.ID}
	req := &http1.Request{
		Method: x.method, Target: x.target, Host: x.host, Body: x.body, Attempts: &x.attemptGroup,
		BeforeWrite: func() error { return r.checkSend(time.Now(), x, upstream) },
		Header:      r.platform.Protocol.UpstreamHeader(x.header, ForwardMetadata{Upstream: run.ID, Timeout: x.deadline.Sub(sentAt), Account: x.account.ID}),
	}
	a.response, a.err = r.platform.UpstreamTransport.Do(ctx, run.Addr, req, func(res *http1.Response) bool {
		metadata := r.platform.Protocol.ParseResponse(res.Status, res.Header)
		if !mayAnswer(metadata.ID, x.info.ID, res.FirstOnConn) {
			return false
		}
		if metadata.Leaving { // holds even if the rest of the response is lost
			r.noteLeaving(time.Now(), upstream, x.info.ID, "answer")
		}
		r.notePause(time.Now(), upstream, metadata.Pause, x.info.ID, "answer")
		r.noteLimit(time.Now(), sentAt, upstream, metadata.Limit, !metadata.NotRun, x.info.ID, "answer")
		return true
	})
	now := time.Now()
	if a.err == nil {
		a.metadata = r.platform.Protocol.ParseResponse(a.response.Status, a.response.Header)
		if a.metadata.NotRun && a.metadata.ID == "" && !a.response.FirstOnConn {
			a.err = &http1.LostError{Addr: run.Addr, Err: errors.New("the refusal has no request id and may belong to an earlier request")}
		}
	}
	a.verdict = classify(ctx, a)
	r.mu.Lock()
	noAnswer := a.verdict == balance.Silent && !upstream.AnsweredSince(sentAt)
	r.upstreams.Ended(now, upstream, a.verdict, now.Sub(sentAt), a.metadata.Load)
	x.attempts = append(x.attempts, formatAttempt(a, now.Sub(sentAt)))
	r.mu.Unlock()
	if noAnswer {
		r.platform.UpstreamTransport.CloseIdle(run.Addr) // its other connections may have failed silently too
	}
	return a
}

// noteLeaving records that an upstream has said that it leaves. source is the kind of the
// answer, and id the request that it answers, if any. Unlike the list of upstreams, such
// an answer needs neither the store nor the leader.
func (r *Router) noteLeaving(now time.Time, upstream *balance.Entry, id fleet.RequestID, source string) {
	r.mu.Lock()
	changed, run := r.upstreams.SaidLeaving(now, upstream), upstream.Registration
	if changed {
		close(r.newsReady)
		r.newsReady = make(chan struct{})
	}
	r.mu.Unlock()
	if changed {
		r.log.Info("upstream said that it leaves", "upstream", run.ID, "boot", run.Boot, "request", id, "source", source)
	}
}

// notePause records that an upstream wants no requests for some time. source is the kind
// of the answer that says so, and id the request that it answers, if any.
func (r *Router) notePause(now time.Time, upstream *balance.Entry, p balance.Pause, id fleet.RequestID, source string) {
	if !p.Asked && !p.Invalid {
		return
	}
	r.mu.Lock()
	var added time.Duration
	began := false
	if p.Asked {
		added, began = r.upstreams.Pause(now, upstream, p.For)
	}
	run, until := upstream.Registration, upstream.PausedUntil()
	invalid := p.Invalid || p.For > balance.MaxPause
	logInvalid := invalid && now.Sub(r.invalidPauseLoggedAt) >= invalidLogInterval
	if logInvalid {
		r.invalidPauseLoggedAt = now
	}
	r.mu.Unlock()
	r.metrics.pauseSeconds.WithLabelValues(serviceLabel(run.Service)).Add(added.Seconds())
	if invalid {
		r.metrics.invalidPauses.Inc()
	}
	if logInvalid {
		r.log.Warn("invalid pause of an upstream", "upstream", run.ID, "boot", run.Boot, "request", id, "source", source, "asked", p.For.String())
	}
	if began {
		r.log.Info("upstream paused", "upstream", run.ID, "boot", run.Boot, "request", id, "source", source, "for-ms", until.Sub(now).Milliseconds())
	}
}

// mayAnswer reports whether a response with an id may answer the request with the id
// requestID. Upstreams echo the id of a request. A response without one is accepted on a
// new connection; on a kept one it may belong to an earlier request, which an upstream
// has answered twice, and the answer to this request follows.
func mayAnswer(id, requestID fleet.RequestID, firstOnConn bool) bool {
	return id == requestID || id == "" && firstOnConn
}

// classify returns the verdict on an attempt for load balancing.
func classify(ctx context.Context, a attempt) balance.Verdict {
	var notSent *http1.NotSentError
	switch {
	case a.err != nil && errors.Is(ctx.Err(), context.Canceled):
		return balance.Abandoned
	case errors.Is(a.err, errNotAllowed), errors.Is(a.err, errStopping):
		return balance.Abandoned
	case errors.Is(a.err, http1.ErrConnRejected):
		return balance.Full
	case errors.As(a.err, &notSent):
		return balance.Unreachable
	case a.err != nil:
		return balance.Silent
	case a.metadata.NotHolder:
		return balance.Declined
	case a.metadata.NotRun:
		return balance.Full
	case a.response.Status >= http.StatusInternalServerError:
		return balance.Failed
	case a.response.Status >= http.StatusMultipleChoices:
		return balance.Declined // such an answer says nothing about the service time
	}
	return balance.Answered
}

func formatAttempt(a attempt, took time.Duration) string {
	if a.err != nil {
		return fmt.Sprintf("%s:%v:%dms", a.id, a.err, took.Milliseconds())
	}
	return fmt.Sprintf("%s:%d:%dms", a.id, a.response.Status, took.Milliseconds())
}

// promisesNotRun reports whether status tells a caller that its request has not run and
// may be sent again.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// upstreamOutcome returns the outcome of an attempt that the upstream has answered and
// may have run. If x is not idempotent, a status that promises the contrary is replaced.
func upstreamOutcome(p Protocol, x *exchange, a attempt) outcome {
	if !x.route.Idempotent && promisesNotRun(a.response.Status) {
		return refuse(http.StatusBadGateway, "upstream-lost", 0)
	}
	return outcome{status: a.response.Status, header: p.CallerHeader(a.response.Header), body: a.response.Body}
}

// chooseUpstream selects an upstream by load balancing that is not in tried and whose
// limit admits x now, adds it to tried and counts the request as in flight there. If there
// is none, it returns the reason.
func (r *Router) chooseUpstream(ctx context.Context, now time.Time, x *exchange, tried map[fleet.UpstreamID]bool) (*balance.Entry, string) {
	for {
		r.mu.Lock()
		upstream, reason := r.upstreams.Choose(now, r.query(x, tried))
		if upstream != nil {
			r.upstreams.Started(now, upstream)
		}
		r.mu.Unlock()
		if upstream == nil {
			return nil, reason
		}
		if r.admitSend(ctx, now, x, upstream, 0).Admitted {
			tried[upstream.ID] = true
			return upstream, ""
		}
		r.release(now, upstream)
	}
}

func (r *Router) query(x *exchange, tried map[fleet.UpstreamID]bool) balance.Query {
	return balance.Query{Service: x.service.ID, Zone: r.cfg.Zone, Target: x.route.Target, Exclude: tried}
}

// takeRetry reports whether x may be sent once more, and takes the repetition from the
// service's retry budget if so.
func (r *Router) takeRetry(now time.Time, x *exchange) bool {
	if x.arrivals > x.route.MaxAttempts {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retryBudget(x.service.ID).Take(now, r.instanceCount())
}

// hedgeDelay returns the time after which an idempotent request without an answer is
// also sent to a second upstream.
func (r *Router) hedgeDelay(x *exchange) time.Duration {
	if !x.route.Idempotent || x.route.MaxAttempts < 2 {
		return time.Hour
	}
	r.mu.Lock()
	meanTime := r.upstreams.ServiceMeanTime(x.service.ID)
	r.mu.Unlock()
	return max(time.Duration(hedgeFactor*meanTime*float64(time.Second)), time.Duration(minHedgeShare*float64(x.route.Target)))
}

// forwardToAny sends x to an upstream of an unsharded service. If an attempt fails and
// x may be repeated, it tries another upstream.
func (r *Router) forwardToAny(ctx context.Context, x *exchange) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &fanOut{r: r, x: x, results: make(chan attempt, x.route.MaxAttempts+2), tried: make(map[fleet.UpstreamID]bool)}
	if out, ok := f.launchFirst(ctx); !ok {
		return out
	}
	hedge := time.NewTimer(r.hedgeDelay(x))
	defer hedge.Stop()
	for {
		select {
		case a := <-f.results:
			f.running--
			if out, final := f.handleResult(ctx, a); final {
				return out
			}
		case <-hedge.C:
			if f.running == 1 && f.mayHaveRun < x.route.MaxAttempts && r.takeRetry(time.Now(), x) {
				f.launch(ctx)
			}
		case <-ctx.Done():
			return refuse(http.StatusGatewayTimeout, "timeout", 0)
		}
	}
}

// fanOut tracks the concurrent and consecutive attempts of one request at several
// upstreams.
type fanOut struct {
	r          *Router
	x          *exchange
	results    chan attempt
	tried      map[fleet.UpstreamID]bool
	running    int
	mayHaveRun int // upstreams that have run, may have run or are running the request
	failure    *outcome
}

// launch starts an attempt at one more upstream. If there is none, it returns the
// reason.
func (f *fanOut) launch(ctx context.Context) (string, bool) {
	upstream, reason := f.r.chooseUpstream(ctx, time.Now(), f.x, f.tried)
	if upstream == nil {
		return reason, false
	}
	f.launchAt(ctx, upstream)
	return "", true
}

// launchAt starts an attempt at an upstream that has been chosen.
func (f *fanOut) launchAt(ctx context.Context, upstream *balance.Entry) {
	f.running++
	f.mayHaveRun++
	f.x.arrivals++
	go func() { f.results <- f.r.send(ctx, f.x, upstream) }()
}

// launchReserved reserves the first slot that the limit of an upstream has in time for the
// request, waits for it and starts the attempt. It returns false if there is none.
func (f *fanOut) launchReserved(ctx context.Context) bool {
	for range maxLimitTries {
		now := time.Now()
		f.r.mu.Lock()
		upstream := f.r.upstreams.FirstLimited(now, f.r.query(f.x, f.tried))
		if upstream != nil {
			f.r.upstreams.Started(now, upstream)
		}
		f.r.mu.Unlock()
		if upstream == nil {
			return false
		}
		d := f.r.admitSend(ctx, now, f.x, upstream, f.r.maxLimitWait(now, f.x, upstream))
		if d.Admitted {
			sleep(ctx, d.Wait)
			f.tried[upstream.ID] = true
			f.launchAt(ctx, upstream)
			return true
		}
		f.r.release(now, upstream)
	}
	return false
}

// launchFirst starts the first attempt. If all upstreams pause or have reached their
// limits, it waits for the first one that takes requests again, or refuses at once if that
// is too late.
func (f *fanOut) launchFirst(ctx context.Context) (outcome, bool) {
	for {
		reason, ok := f.launch(ctx)
		if ok || f.launchReserved(ctx) {
			return outcome{}, true
		}
		now := time.Now()
		f.r.mu.Lock()
		resumes, cause, known := f.r.upstreams.FirstResume(now, f.x.service.ID)
		spread := time.Duration(f.r.rng.Float64() * float64(resumeSpread))
		f.r.mu.Unlock()
		switch {
		case !known:
			return refuse(http.StatusServiceUnavailable, reason, retryAfterNotReady), false
		case cause != balance.Paused || resumes.Add(resumeSpread).After(f.x.deadline):
			return f.r.refuseUntil(now, cause, resumes), false
		}
		sleep(ctx, resumes.Add(spread).Sub(now))
		if ctx.Err() != nil {
			return refuse(http.StatusGatewayTimeout, "timeout", 0), false
		}
	}
}

// refuseFull returns the refusal of a request that no upstream has accepted.
func (f *fanOut) refuseFull(now time.Time) outcome {
	f.r.mu.Lock()
	resumes, cause, known := f.r.upstreams.FirstResume(now, f.x.service.ID)
	f.r.mu.Unlock()
	if known {
		return f.r.refuseUntil(now, cause, resumes)
	}
	return refuse(http.StatusServiceUnavailable, "upstreams-full", retryAfterFull)
}

// refuseUntil is refusePaused for a request that any upstream may serve.
func (r *Router) refuseUntil(now time.Time, cause balance.HoldBack, resumes time.Time) outcome {
	if cause == balance.LimitReached {
		return r.refusePaused(now, "upstreams-limited", resumes)
	}
	return r.refusePaused(now, "upstreams-paused", resumes)
}

// refusePaused refuses a request because no upstream that may serve it wants requests
// before the time resumes. The retry delays are spread, so that callers do not return
// all at once.
func (r *Router) refusePaused(now time.Time, reason string, resumes time.Time) outcome {
	left := max(resumes.Sub(now), 0)
	r.mu.Lock()
	defer r.mu.Unlock()
	spread := max(resumeSpread, left/4)
	return refuse(http.StatusServiceUnavailable, reason, left+time.Duration(r.rng.Float64()*float64(spread)))
}

// handleResult processes the end of an attempt. It returns the final outcome and true,
// or false if other attempts are running or a new one was started.
func (f *fanOut) handleResult(ctx context.Context, a attempt) (outcome, bool) {
	x, now := f.x, time.Now()
	if !a.mayHaveRun() {
		f.mayHaveRun--
		var notSent *http1.NotSentError
		if errors.As(a.err, &notSent) {
			x.arrivals--
		}
		if errors.Is(a.err, errStopping) && f.running == 0 {
			return f.finalFailure(ctx, refuse(http.StatusServiceUnavailable, "instance-stops", retryAfterFull)), true
		}
		retry := x.arrivals == 0 || f.r.takeRetry(now, x)
		if f.running == 0 && (!retry || !f.relaunch(ctx)) {
			return f.finalFailure(ctx, f.refuseFull(now)), true
		}
		return outcome{}, false
	}
	if a.err == nil && a.verdict != balance.Failed {
		return upstreamOutcome(f.r.platform.Protocol, x, a), true
	}
	failed := refuse(http.StatusBadGateway, "upstream-lost", 0)
	if a.err == nil {
		failed = upstreamOutcome(f.r.platform.Protocol, x, a)
	}
	if f.failure == nil || a.err == nil {
		f.failure = &failed
	}
	if f.running > 0 {
		return outcome{}, false
	}
	if x.route.Idempotent && f.mayHaveRun < x.route.MaxAttempts && ctx.Err() == nil && f.r.takeRetry(now, x) && f.relaunch(ctx) {
		return outcome{}, false
	}
	return f.finalFailure(ctx, failed), true
}

func (f *fanOut) relaunch(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	_, ok := f.launch(ctx)
	return ok
}

// finalFailure returns the outcome of a request whose attempts have all failed:
// preferably an upstream's own error response, else out. If the request may have run,
// the result does not state that it did not.
func (f *fanOut) finalFailure(ctx context.Context, out outcome) outcome {
	switch {
	case f.failure != nil:
		return *f.failure
	case ctx.Err() != nil && f.mayHaveRun > 0:
		return refuse(http.StatusGatewayTimeout, "timeout", 0)
	}
	return out
}

// forwardToHolder sends x to the upstream that holds its key. It waits while the key is
// being moved.
func (r *Router) forwardToHolder(ctx context.Context, x *exchange) outcome {
	if !x.info.HasRoutingKey {
		return refuse(http.StatusBadRequest, "no-routing-key", 0)
	}
	var reserved *balance.Entry // the holder whose limit has a slot for x
	for {
		changed := r.holderMapChanged()
		now := time.Now()
		upstream, reason, resumes := r.chooseHolder(now, x)
		if upstream != nil && upstream != reserved {
			d := r.admitSend(ctx, now, x, upstream, r.maxLimitWait(now, x, upstream))
			if !d.Admitted || d.Wait > 0 {
				r.release(now, upstream)
			}
			if !d.Admitted {
				reason = "holder-limited"
				return r.refusePaused(now, reason, now.Add(d.Wait))
			}
			if d.Wait > 0 {
				reserved = upstream
				sleep(ctx, d.Wait)
				continue
			}
		}
		reserved = nil
		if upstream == nil {
			if latestWait := x.receivedAt.Add(time.Duration(holderWaitShare * float64(x.route.Target))); resumes.After(latestWait) || resumes.After(x.deadline) {
				return r.refusePaused(now, "holder-paused", resumes)
			}
			if out, ok := r.awaitHolder(ctx, x, changed, reason, holderWaitShare); !ok {
				return out
			}
			continue
		}
		x.arrivals++
		a := r.send(ctx, x, upstream)
		if a.err == nil && !a.metadata.NotRun {
			return upstreamOutcome(r.platform.Protocol, x, a)
		}
		if out, final := r.handleHolderFailure(ctx, x, a, changed); final {
			return out
		}
	}
}

// handleHolderFailure decides whether x is sent again after a failed attempt. If not,
// it returns the final outcome and true.
func (r *Router) handleHolderFailure(ctx context.Context, x *exchange, a attempt, changed <-chan struct{}) (outcome, bool) {
	if ctx.Err() != nil {
		if a.mayHaveRun() {
			return refuse(http.StatusGatewayTimeout, "timeout", 0), true
		}
		return refuse(http.StatusServiceUnavailable, "holder-unavailable", retryAfterFull), true
	}
	var notSent *http1.NotSentError
	retry := false
	switch {
	case errors.Is(a.err, http1.ErrConnRejected):
		return refuse(http.StatusServiceUnavailable, "holder-full", retryAfterFull), true
	case errors.Is(a.err, errStopping):
		return refuse(http.StatusServiceUnavailable, "instance-stops", retryAfterFull), true
	case errors.Is(a.err, errNotAllowed):
		x.arrivals--
		retry = true
	case errors.As(a.err, &notSent):
		x.arrivals--
		retry = true
		sleep(ctx, unreachableRetryDelay)
	case a.mayHaveRun():
		if !x.route.Idempotent || !r.takeRetry(time.Now(), x) {
			return refuse(http.StatusBadGateway, "upstream-lost", retryAfterHolderLost), true
		}
		retry = true
		sleep(ctx, lostRetryDelay*time.Duration(x.arrivals))
	case a.metadata.Pause.Asked:
		// The next call of chooseHolder waits for the end of the pause, or refuses.
		retry = x.arrivals <= x.route.MaxAttempts && r.takeRetry(time.Now(), x)
	case a.metadata.NotHolder:
		if out, ok := r.awaitHolder(ctx, x, changed, "holder-moved", movedWaitShare); !ok {
			return out, true
		}
		retry = r.takeRetry(time.Now(), x)
	case a.metadata.Load == nil || a.metadata.Load.Queued() || x.arrivals > x.route.MaxAttempts:
		return refuse(http.StatusServiceUnavailable, "holder-full", retryAfterFull), true
	default:
		// The upstream refuses some requests although it has free slots; it may accept
		// a repetition.
		retry = r.takeRetry(time.Now(), x)
	}
	if !retry {
		return refuse(http.StatusServiceUnavailable, "retry-budget", retryAfterFull), true
	}
	return outcome{}, false
}

// release states that a request that was counted as in flight at upstream is not sent
// there.
func (r *Router) release(now time.Time, upstream *balance.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upstreams.Ended(now, upstream, balance.Abandoned, 0, nil)
}

// chooseHolder returns the upstream that holds the key of x if it may receive the
// request now, else the reason why not. If the holder pauses, it returns the end of the
// pause too.
func (r *Router) chooseHolder(now time.Time, x *exchange) (*balance.Entry, string, time.Time) {
	holderMap := r.holderMap.Load()
	if holderMap == nil {
		return nil, "no-map", time.Time{}
	}
	id := holderMap.Holder(x.service.ID, x.info.RoutingKey)
	if id == "" {
		return nil, "key-moves", time.Time{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	upstream := r.upstreams.Get(id)
	if upstream == nil {
		return nil, "holder-gone", time.Time{}
	}
	if reason := r.holderEnds(now, upstream); reason != "" {
		return nil, reason, time.Time{}
	}
	if resumes := upstream.PausedUntil(); now.Before(resumes) {
		return nil, "holder-paused", resumes
	}
	if !r.upstreams.AdmitCold(now, upstream) {
		return nil, "holder-cold", time.Time{}
	}
	r.upstreams.Started(now, upstream)
	return upstream, "", time.Time{}
}

// holderEnds returns the reason why the holder of a key receives no requests any more,
// although its keys have not been moved yet, or "". The caller must hold mu.
func (r *Router) holderEnds(now time.Time, upstream *balance.Entry) (reason string) {
	if upstream.Leaving() && (now.Sub(upstream.LeavingSince()) >= leavingHolderUse || now.Sub(upstream.LeavingNotBefore()) >= r.cfg.LeavingUse-sendMargin) {
		reason = "holder-leaves"
	}
	if since, evacuated := r.evacuatedSince[upstream.Zone]; evacuated && now.Sub(since) >= evacuatedHolderUse {
		reason = "holder-evacuated"
	}
	return reason
}

// errStopping means that this instance stops before an upstream could answer a request.
var errStopping = errors.New("the instance stops before the upstream could answer")

// errNotAllowed means that an upstream stopped being usable for a request while the
// request waited for a connection.
var errNotAllowed = errors.New("the upstream may no longer be sent the request")

// checkSend returns errNotAllowed if x may no longer be sent to upstream, and errStopping
// if this instance cannot pass the answer on any more.
func (r *Router) checkSend(now time.Time, x *exchange, upstream *balance.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	serviceTime := time.Duration(r.upstreams.ServiceTime(now, upstream) * float64(time.Second))
	switch {
	case !r.stopAt.IsZero() && now.Add(serviceTime).After(r.stopAt):
		return errStopping
	case r.upstreams.Get(upstream.ID) != upstream, now.Before(upstream.PausedUntil()),
		x.service.Sharded && r.holderEnds(now, upstream) != "",
		!x.service.Sharded && !r.upstreams.Usable(upstream):
		return errNotAllowed
	}
	return nil
}

// awaitHolder waits for a change of the holder map or for holderPollInterval, as long
// as x can still be answered in time. It returns false and a refusal otherwise. The
// wait since the request's arrival is limited to share times the target latency.
func (r *Router) awaitHolder(ctx context.Context, x *exchange, changed <-chan struct{}, reason string, share float64) (outcome, bool) {
	maxWait := time.Duration(share * float64(x.route.Target))
	wait := min(time.Until(x.deadline), maxWait-time.Since(x.receivedAt))
	if wait <= 0 {
		return refuse(http.StatusServiceUnavailable, reason, retryAfterHolderLost), false
	}
	t := time.NewTimer(min(wait, holderPollInterval))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.Canceled) {
			return refuse(http.StatusGatewayTimeout, "caller-left", 0), false
		}
		return refuse(http.StatusServiceUnavailable, reason, retryAfterFull), false
	}
	return outcome{}, true
}

// holderWaitShare is the share of the route's target latency for which a request waits
// for a holder. A key that is being moved has a holder again within it. If the holder
// was lost, the caller is refused with a retry delay.
const holderWaitShare = 0.8

// movedWaitShare replaces holderWaitShare for a request that has already waited at a
// former holder: its answer will be late, but a late answer is better than none.
const movedWaitShare = 1.8

// holderPollInterval is the time after which a waiting request checks for a holder
// again even without a new map, since an upstream may have warmed up or been listed
// meanwhile.
const holderPollInterval = 250 * time.Millisecond
