package direct

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// chooseUpstream selects an upstream by load balancing that is not in tried and whose
// limit admits x now, adds it to tried and counts the request as in flight there. If there
// is none, it returns the reason.
func (r *Router) chooseUpstream(ctx context.Context, now time.Time, x *exchange, tried map[fleet.UpstreamID]bool) (*balance.Entry, string) {
	for {
		r.mu.Lock()
		upstream, reason := r.chooseVersion(now, x, r.query(x, tried))
		var id fleet.UpstreamID
		if upstream != nil {
			id = upstream.ID
			r.upstreams.Started(now, upstream)
		}
		r.mu.Unlock()
		if upstream == nil {
			return nil, reason
		}
		if r.admitSend(ctx, now, x, upstream, 0).Admitted {
			tried[id] = true
			return upstream, ""
		}
		r.release(now, upstream)
	}
}

// query returns the criteria for an upstream of x. The caller must hold mu.
func (r *Router) query(x *exchange, tried map[fleet.UpstreamID]bool) balance.Query {
	return balance.Query{Service: x.service.ID, Zone: r.cfg.Zone, Target: x.route.Target, Bytes: r.responseSizes.expected(x), Exclude: tried}
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
	if !x.route.Repeatable() || x.route.MaxAttempts < 2 || x.trial {
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
	if out, ok := r.admitByPriority(time.Now(), x); !ok {
		return out
	}
	f := &fanOut{r: r, x: x, results: make(chan attempt, x.route.MaxAttempts+2), tried: make(map[fleet.UpstreamID]bool), streaming: -1}
	defer f.cancelOthers()
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
			return f.refuseExpired()
		}
	}
}

// refuseExpired refuses a request whose time has ended, or whose caller has left, before an
// attempt has ended.
func (f *fanOut) refuseExpired() outcome {
	if f.x.sends.close() {
		return refuse(http.StatusGatewayTimeout, "timeout", 0)
	}
	return refuse(http.StatusServiceUnavailable, "timeout", retryAfterFull)
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
	cancels    []context.CancelFunc // of all attempts
	streaming  int                  // index of the attempt whose response body is streamed; -1 if there is none
}

// cancelOthers ends all attempts but the one whose response body is streamed.
func (f *fanOut) cancelOthers() {
	for i, cancel := range f.cancels {
		if i != f.streaming {
			cancel()
		}
	}
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
	index := len(f.cancels)
	ctx, cancel := context.WithCancel(ctx)
	f.cancels = append(f.cancels, cancel)
	go func() {
		f.results <- f.r.send(ctx, f.x, upstream, index)
	}()
}

// launchReserved reserves the first slot that the limit of an upstream has in time for the
// request, waits for it and starts the attempt. It returns false if there is none.
func (f *fanOut) launchReserved(ctx context.Context) bool {
	for range maxLimitTries {
		now := time.Now()
		f.r.mu.Lock()
		upstream := f.r.upstreams.FirstLimited(now, f.r.query(f.x, f.tried))
		var id fleet.UpstreamID
		if upstream != nil {
			id = upstream.ID
			f.r.upstreams.Started(now, upstream)
		}
		f.r.mu.Unlock()
		if upstream == nil {
			return false
		}
		d := f.r.admitSend(ctx, now, f.x, upstream, f.r.maxLimitWait(now, f.x, upstream))
		if d.Admitted {
			sleep(ctx, d.Wait)
			f.tried[id] = true
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
		if !ok && reason == reasonNoTime {
			return f.r.refuseNoTime(time.Now(), f.x), false
		}
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
		if f.r.stopping.Err() != nil {
			return refuse(http.StatusServiceUnavailable, "instance-stops", retryAfterFull), false
		}
		if ctx.Err() != nil {
			return f.refuseExpired(), false
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
		if a.response.Stream != nil {
			f.streaming = a.index
		}
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
	if x.route.Repeatable() && f.mayHaveRun < x.route.MaxAttempts && ctx.Err() == nil && f.r.takeRetry(now, x) && f.relaunch(ctx) {
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
