package direct

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
)

// trustedShare is the share of the requests that run at most once which prefer upstreams
// with recent good answers. The others find further ones.
const trustedShare = 0.75

// reasonNoTime is the reason in the refusal of a request that could not be answered in time.
const reasonNoTime = "no-time"

// choose returns an upstream of an unsharded service for x. It prefers one that is expected
// to answer in time: for a request that runs at most once, of which nobody knows afterwards
// whether it has run, always, and first among those with recent good answers. If none is, it
// returns reasonNoTime, so that nothing is sent. The caller must hold mu.
func (r *Router) choose(now time.Time, q balance.Query, x *exchange) (*balance.Entry, string) {
	left := x.deadline.Sub(now)
	if !x.route.Repeatable() && r.rng.Float64() < trustedShare {
		if e := r.upstreams.ChooseWithin(now, q, left, true); e != nil {
			return e, ""
		}
	}
	e, reason := r.upstreams.Choose(now, q)
	if e == nil {
		return nil, reason
	}
	if w := r.upstreams.Expect(now, e); !w.Stalled && w.Response() <= left {
		return e, ""
	}
	if !x.route.Repeatable() {
		if other := r.upstreams.ChooseWithin(now, q, left, false); other != nil {
			return other, ""
		}
	}
	// Without a queue at the best upstream there is no lack of capacity: the estimated
	// service time is a mean, and the request may take less.
	if best, known := r.upstreams.Earliest(now, x.service.ID, q.Exclude); known && best.Wait > 0 && best.Response() > left {
		return nil, reasonNoTime
	}
	return e, ""
}

// refuseNoTime refuses a request that could not be answered in time. Its caller may return
// when the shortest queue has ended, or as late as it does at all if that is sooner.
func (r *Router) refuseNoTime(now time.Time, x *exchange) outcome {
	r.mu.Lock()
	r.retryBudget(x.service.ID).Withdraw()
	best, _ := r.upstreams.Earliest(now, x.service.ID, nil)
	r.mu.Unlock()
	out := r.refusePaused(now, reasonNoTime, now.Add(best.Wait))
	out.retryAfter = retryDelayWithin(out.retryAfter, x.callerTimeLeft(now))
	return out
}
