package direct

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
)

// forwardToHolder sends x to the upstream that holds its key. It waits while the key is
// being moved. A refusal promises that x has not run only if no attempt may have run it.
func (r *Router) forwardToHolder(ctx context.Context, x *exchange) outcome {
	out := r.tryHolder(ctx, x)
	if out.reason != "" && promisesNotRun(out.status) && x.sends.close() {
		return refuse(http.StatusBadGateway, "upstream-lost", retryAfterHolderLost)
	}
	return out
}

// tryHolder is forwardToHolder without regard to earlier attempts in refusals.
func (r *Router) tryHolder(ctx context.Context, x *exchange) outcome {
	if !x.info.HasRoutingKey {
		return refuse(http.StatusBadRequest, "no-routing-key", 0)
	}
	if out, refused := r.refuseHotKey(time.Now(), x); refused {
		return out
	}
	if out, ok := r.admitByPriority(time.Now(), x); !ok {
		return out
	}
	var reserved *balance.Entry // the holder whose limit has a slot for x
	for {
		changed := r.holderMapChanged()
		now := time.Now()
		upstream, reason, resumes := r.chooseHolder(now, x)
		if upstream != nil && upstream != reserved {
			if out, refused := r.refuseForLoad(now, x, upstream); refused {
				r.release(now, upstream)
				return out
			}
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
		r.noteSentToHolder(upstream)
		a := r.send(ctx, x, upstream, x.arrivals)
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
	case errors.Is(a.err, http1.ErrConnRejected), errors.Is(a.err, http1.ErrBodiesUnderWay):
		return refuse(http.StatusServiceUnavailable, "holder-full", r.holderRetryDelay(time.Now(), x, a.upstream)), true
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
		if !x.route.Repeatable() || !r.takeRetry(time.Now(), x) {
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
		return refuse(http.StatusServiceUnavailable, "holder-full", r.holderRetryDelay(time.Now(), x, a.upstream)), true
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
	if !r.versionAllowed(now, upstream) {
		reason = "version-not-allowed"
	}
	return reason
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
		if errors.Is(ctx.Err(), context.Canceled) && r.stopping.Err() == nil {
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
