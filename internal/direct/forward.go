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
	// hedgeFactor times the typical service time without an answer, an idempotent
	// request is sent to a second upstream.
	hedgeFactor = 1.5
	// minHedge is the part of the target before which no second upstream is tried.
	minHedge = 0.3
	// drainUse is how long the holder of a key still gets requests after it was seen
	// to leave. It must get nothing 2 s after it said so, of which a list takes up to
	// listEvery.
	drainUse = 900 * time.Millisecond
	// evacuateUse is the same for a zone that is evacuated, which may take 5 s.
	evacuateUse = 2500 * time.Millisecond
	// unreachablePause is the time between two tries of an upstream that holds a key
	// and cannot be reached.
	unreachablePause = 100 * time.Millisecond
	// lostPause is the time before the second arrival at a holder that lost the first,
	// twice that before the third. A holder with a long queue resets connections, and a
	// slot is free some 100 ms later.
	lostPause = 150 * time.Millisecond
)

// attempt is a request at one upstream.
type attempt struct {
	upstream *balance.Entry
	id       fleet.UpstreamID
	res      *http1.Response
	answer   Answer
	err      error
	verdict  balance.Verdict
}

// ran reports whether the upstream may have run the request.
func (a attempt) ran() bool {
	var notSent *http1.NotSentError
	return !errors.As(a.err, &notSent) && (a.err != nil || !a.answer.NotRun)
}

// send sends x to an upstream and notes how it ended.
func (r *Router) send(ctx context.Context, x *exchange, e *balance.Entry) attempt {
	began := time.Now()
	a := attempt{upstream: e, id: e.ID}
	req := &http1.Request{
		Method: x.method, Target: x.target, Host: x.host, Body: x.body,
		Header: r.out.Protocol.Forward(x.header, Forwarded{Upstream: e.ID, Left: x.deadline.Sub(began), Account: x.account.ID}),
	}
	a.res, a.err = r.out.Upstream.Do(ctx, e.Addr, req, func(res *http1.Response) bool {
		id := r.out.Protocol.Answer(res.Status, res.Header).ID
		return id == "" || id == x.asked.ID
	})
	now := time.Now()
	if a.err == nil {
		a.answer = r.out.Protocol.Answer(a.res.Status, a.res.Header)
	}
	a.verdict = judge(ctx, a)
	r.mu.Lock()
	silent := a.verdict == balance.Silent && !e.AnsweredSince(began)
	r.upstreams.Ended(now, e, a.verdict, now.Sub(began), a.answer.Load)
	x.attempts = append(x.attempts, describe(a, now.Sub(began)))
	r.mu.Unlock()
	if silent {
		r.out.Upstream.Forget(e.Addr) // its other connections may be silent too
	}
	return a
}

func judge(ctx context.Context, a attempt) balance.Verdict {
	var notSent *http1.NotSentError
	switch {
	case a.err != nil && errors.Is(ctx.Err(), context.Canceled):
		return balance.Abandoned
	case errors.Is(a.err, http1.ErrTurnedAway):
		return balance.Full
	case errors.As(a.err, &notSent):
		return balance.Unreachable
	case a.err != nil:
		return balance.Silent
	case a.answer.Moved:
		return balance.Declined
	case a.answer.NotRun:
		return balance.Full
	case a.res.Status >= http.StatusInternalServerError:
		return balance.Failed
	case a.res.Status >= http.StatusMultipleChoices:
		return balance.Declined // says nothing of the time that work takes
	}
	return balance.Answered
}

func describe(a attempt, took time.Duration) string {
	if a.err != nil {
		return fmt.Sprintf("%s:%v:%dms", a.id, a.err, took.Milliseconds())
	}
	return fmt.Sprintf("%s:%d:%dms", a.id, a.res.Status, took.Milliseconds())
}

func fromUpstream(p Protocol, a attempt) outcome {
	return outcome{status: a.res.Status, header: p.Return(a.res.Header), body: a.res.Body}
}

// choose picks an upstream and counts the request there.
func (r *Router) choose(now time.Time, x *exchange, tried map[fleet.UpstreamID]bool) (*balance.Entry, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, reason := r.upstreams.Choose(now, balance.Query{Service: x.service.ID, Zone: r.cfg.Zone, Target: x.route.Target, Exclude: tried})
	if e != nil {
		r.upstreams.Started(now, e)
	}
	return e, reason
}

// mayRepeat reports whether x may be sent to one more upstream.
func (r *Router) mayRepeat(now time.Time, x *exchange) bool {
	if x.sends > x.route.MaxAttempts {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(x.service.ID).Take(now, r.instanceCount())
}

// hedgeDelay returns the time after which an idempotent request is also sent to
// another upstream.
func (r *Router) hedgeDelay(x *exchange) time.Duration {
	if !x.route.Idempotent || x.route.MaxAttempts < 2 {
		return time.Hour
	}
	r.mu.Lock()
	typical := r.upstreams.Typical(x.service.ID)
	r.mu.Unlock()
	return max(time.Duration(hedgeFactor*typical*float64(time.Second)), time.Duration(minHedge*float64(x.route.Target)))
}

// forwardToAny sends x to an upstream of a service whose upstreams are all alike,
// and to another if that fails and x may be repeated.
func (r *Router) forwardToAny(ctx context.Context, x *exchange) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &fanOut{r: r, x: x, results: make(chan attempt, x.route.MaxAttempts+2), tried: make(map[fleet.UpstreamID]bool)}
	if reason, ok := f.launch(ctx); !ok {
		return refuse(http.StatusServiceUnavailable, reason, retryNotReady)
	}
	hedge := time.NewTimer(r.hedgeDelay(x))
	defer hedge.Stop()
	for {
		select {
		case a := <-f.results:
			f.running--
			if out, final := f.take(ctx, a); final {
				return out
			}
		case <-hedge.C:
			if f.running == 1 && f.ran < x.route.MaxAttempts && r.mayRepeat(time.Now(), x) {
				f.launch(ctx)
			}
		case <-ctx.Done():
			return refuse(http.StatusGatewayTimeout, "timeout", 0)
		}
	}
}

// fanOut is a request at one or more upstreams at the same time.
type fanOut struct {
	r       *Router
	x       *exchange
	results chan attempt
	tried   map[fleet.UpstreamID]bool
	running int
	ran     int // upstreams that may have run the request, or are at it
	failure *outcome
}

// launch sends the request to one more upstream.
func (f *fanOut) launch(ctx context.Context) (string, bool) {
	e, reason := f.r.choose(time.Now(), f.x, f.tried)
	if e == nil {
		return reason, false
	}
	f.tried[e.ID] = true
	f.running++
	f.ran++
	f.x.sends++
	go func() { f.results <- f.r.send(ctx, f.x, e) }()
	return "", true
}

// take decides what the end of an attempt means.
func (f *fanOut) take(ctx context.Context, a attempt) (outcome, bool) {
	x, now := f.x, time.Now()
	if !a.ran() {
		f.ran--
		var notSent *http1.NotSentError
		if errors.As(a.err, &notSent) {
			x.sends--
		}
		again := x.sends == 0 || f.r.mayRepeat(now, x)
		if f.running == 0 && (!again || !f.relaunch(ctx)) {
			return f.giveUp(ctx, refuse(http.StatusServiceUnavailable, "upstreams-full", retryFull)), true
		}
		return outcome{}, false
	}
	if a.err == nil && a.verdict != balance.Failed {
		return fromUpstream(f.r.out.Protocol, a), true
	}
	failed := refuse(http.StatusBadGateway, "upstream-lost", 0)
	if a.err == nil {
		failed = fromUpstream(f.r.out.Protocol, a)
	}
	if f.failure == nil || a.err == nil {
		f.failure = &failed
	}
	if f.running > 0 {
		return outcome{}, false
	}
	if x.route.Idempotent && f.ran < x.route.MaxAttempts && ctx.Err() == nil && f.r.mayRepeat(now, x) && f.relaunch(ctx) {
		return outcome{}, false
	}
	return f.giveUp(ctx, failed), true
}

func (f *fanOut) relaunch(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	_, ok := f.launch(ctx)
	return ok
}

// giveUp returns the best failure: an upstream's own, else out. If something may
// have run, the answer does not promise otherwise.
func (f *fanOut) giveUp(ctx context.Context, out outcome) outcome {
	switch {
	case f.failure != nil:
		return *f.failure
	case ctx.Err() != nil && f.ran > 0:
		return refuse(http.StatusGatewayTimeout, "timeout", 0)
	}
	return out
}

// forwardToHolder sends x to the upstream that holds its key, and waits while the
// key moves.
func (r *Router) forwardToHolder(ctx context.Context, x *exchange) outcome {
	if !x.asked.HasRouting {
		return refuse(http.StatusBadRequest, "no-routing-key", 0)
	}
	for {
		changed := r.keysChanged()
		e, reason := r.holder(time.Now(), x)
		if e == nil {
			if out, ok := r.awaitHolder(ctx, x, changed, reason, holderPatience); !ok {
				return out
			}
			continue
		}
		x.sends++
		a := r.send(ctx, x, e)
		if a.err == nil && !a.answer.NotRun {
			return fromUpstream(r.out.Protocol, a)
		}
		if out, final := r.afterHolder(ctx, x, a, changed); final {
			return out
		}
	}
}

// afterHolder decides whether x is sent again after a failed attempt.
func (r *Router) afterHolder(ctx context.Context, x *exchange, a attempt, changed <-chan struct{}) (outcome, bool) {
	if ctx.Err() != nil {
		if a.ran() {
			return refuse(http.StatusGatewayTimeout, "timeout", 0), true
		}
		return refuse(http.StatusServiceUnavailable, "holder-unavailable", retryFull), true
	}
	var notSent *http1.NotSentError
	again := false
	switch {
	case errors.Is(a.err, http1.ErrTurnedAway):
		return refuse(http.StatusServiceUnavailable, "holder-full", retryFull), true
	case errors.As(a.err, &notSent):
		x.sends--
		again = true
		sleep(ctx, unreachablePause)
	case a.ran():
		if !x.route.Idempotent || !r.mayRepeat(time.Now(), x) {
			return refuse(http.StatusBadGateway, "upstream-lost", retryLost), true
		}
		again = true
		sleep(ctx, lostPause*time.Duration(x.sends))
	case a.answer.Moved:
		if out, ok := r.awaitHolder(ctx, x, changed, "holder-moved", movedPatience); !ok {
			return out, true
		}
		again = r.mayRepeat(time.Now(), x)
	case a.answer.Load == nil || a.answer.Load.Queued() || x.sends > x.route.MaxAttempts:
		return refuse(http.StatusServiceUnavailable, "holder-full", retryFull), true
	default:
		// It refuses a part of its requests without need; the next may be taken.
		again = r.mayRepeat(time.Now(), x)
	}
	if !again {
		return refuse(http.StatusServiceUnavailable, "retry-budget", retryFull), true
	}
	return outcome{}, false
}

// holder returns the upstream that holds the key of x and may get it now.
func (r *Router) holder(now time.Time, x *exchange) (*balance.Entry, string) {
	m := r.keys.Load()
	if m == nil {
		return nil, "no-map"
	}
	id := m.Holder(x.service.ID, x.asked.RoutingKey)
	if id == "" {
		return nil, "key-moves"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.upstreams.Get(id)
	if e == nil {
		return nil, "holder-gone"
	}
	if left, leaves := r.leaves[id]; leaves && e.Draining && now.Sub(left) > drainUse {
		return nil, "holder-leaves"
	}
	if at, evacuated := r.evacuates[e.Zone]; evacuated && now.Sub(at) > evacuateUse {
		return nil, "holder-evacuated"
	}
	if !r.upstreams.AdmitCold(now, e) {
		return nil, "holder-cold"
	}
	r.upstreams.Started(now, e)
	return e, ""
}

// awaitHolder waits for another map while x still has the time to be served.
func (r *Router) awaitHolder(ctx context.Context, x *exchange, changed <-chan struct{}, reason string, targets float64) (outcome, bool) {
	patience := time.Duration(targets * float64(x.route.Target))
	wait := min(time.Until(x.deadline), patience-time.Since(x.began))
	if wait <= 0 {
		return refuse(http.StatusServiceUnavailable, reason, retryLost), false
	}
	t := time.NewTimer(min(wait, holderPoll))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.Canceled) {
			return refuse(http.StatusGatewayTimeout, "caller-left", 0), false
		}
		return refuse(http.StatusServiceUnavailable, reason, retryFull), false
	}
	return outcome{}, true
}

// holderPatience is the part of the target for which a request waits for a holder.
// A key that moves is served again within it; the caller of one that is lost is
// told to come back.
const holderPatience = 0.8

// movedPatience is the same for a request that has waited at a former holder: it is
// late already, and a late answer is worth more than none.
const movedPatience = 1.8

// holderPoll is the time after which a waiting request looks again without a new
// map, since an upstream may be warm or listed by then.
const holderPoll = 250 * time.Millisecond
