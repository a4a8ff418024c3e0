package dispatch

import (
	"net/http"
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// maxAttempts allows the first attempt and one retry.
const maxAttempts = 2

// retryBudget limits retries and hedged requests to a ratio of the requests, so that
// they cannot multiply the load on a failing upstream.
type retryBudget struct {
	ratio  float64
	tokens float64
}

// maxRetryTokens bounds a burst of retries after a long time without retries.
const maxRetryTokens = 20

func (b *retryBudget) credit() { b.tokens = min(b.tokens+b.ratio, maxRetryTokens) }

func (b *retryBudget) spend() bool {
	// Rounding leaves the sum of ten ratios of 0.1 slightly below 1.
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}

// Done reports the end of attempt n of a request.
func (t *Table) Done(now time.Time, id fleet.RequestID, n int, res Result) []Action {
	r := t.requests[id]
	if r == nil {
		return nil
	}
	i := slices.IndexFunc(r.openAttempts, func(a *attempt) bool { return a.number == n })
	if i < 0 {
		return nil
	}
	a := r.openAttempts[i]
	r.openAttempts = slices.Delete(r.openAttempts, i, i+1)
	u := t.upstreams[r.Upstream]
	u.openAttempts = slices.DeleteFunc(u.openAttempts, func(x *attempt) bool { return x == a })
	t.recordResult(now, u, a, res)
	if res.Kind == Answered {
		t.answer(r, a)
	} else {
		t.handleFailure(now, u, r, res)
	}
	t.removeFinished(r)
	t.advance(now, u)
	return t.takeActions()
}

// recordResult updates the state of the upstream from the result of an attempt.
func (t *Table) recordResult(now time.Time, u *upstream, a *attempt, res Result) {
	u.warmup.attemptEnded(now, len(u.openAttempts))
	switch res.Kind {
	case Answered:
		switch res.Status {
		case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
			u.warmup.resetToCold(now, u.duty.ColdSlots)
		default:
			u.warmup.recordResponse(now, now.Sub(a.sent), res.Status < http.StatusInternalServerError, u.duty.warmupStep())
		}
	case Shed:
		u.warmup.resetToCold(now, u.duty.ColdSlots)
	case NotSent, Lost:
		if !a.cancelled {
			u.warmup.resetToCold(now, u.duty.ColdSlots)
			t.emit(CloseConnections{Upstream: u.id, Address: u.duty.Address})
		}
	default:
	}
	if res.Kind.MayHaveRun() && res.Kind != Answered {
		u.lingering = append(u.lingering, lingeringAttempt{
			unit: a.unit, key: a.request.Key, slotUntil: now.Add(t.cfg.CancelGrace),
			runsUntil: a.request.Deadline.Add(t.cfg.ClockSkew),
		})
	}
	if res.Boot != "" && u.session.bootKnown && res.Boot != u.session.boot && !u.retired {
		t.endSession(now, u, "response of another boot")
	}
}

func (t *Table) answer(r *request, a *attempt) {
	if r.finished {
		return
	}
	r.finished = true
	t.emit(Answer{ID: r.ID, Attempt: a.number})
	t.dequeue(r)
	t.cancelAttempts(r)
}

func (t *Table) cancelAttempts(r *request) {
	for _, a := range r.openAttempts {
		if !a.cancelled {
			a.cancelled = true
			t.emit(CancelRequest{ID: r.ID, Attempt: a.number})
		}
	}
}

func (t *Table) handleFailure(now time.Time, u *upstream, r *request, res Result) {
	refusal := res.refusal()
	if res.Kind.MayHaveRun() && r.unknownOutcome == nil {
		r.unknownOutcome = &refusal
	}
	if res.Kind == Stale {
		t.regrant(u, r.Unit)
	}
	if r.finished || r.queued || len(r.openAttempts) > 0 {
		return
	}
	if !t.retryable(now, u, r, res) || !t.retryBudget.spend() {
		t.refuse(r, refusal)
		return
	}
	r.queued = true
	r.newConnection = res.Kind.MayHaveRun() || res.Kind == NotSent
	if x := u.units[r.Unit]; x.state == unitGranted {
		u.queue.pushFront(r)
	} else {
		x.waiting = append(x.waiting, r)
	}
}

func (t *Table) retryable(now time.Time, u *upstream, r *request, res Result) bool {
	x := u.units[r.Unit]
	if u.retired || x == nil || !x.owned || r.attempts >= maxAttempts || !now.Before(r.Deadline) || !t.hasAuthority(now) {
		return false
	}
	return r.Idempotent || (r.unknownOutcome == nil && !res.Kind.MayHaveRun())
}

// regrant causes a unit to be granted again after the upstream has refused a request
// although the unit was granted to it.
func (t *Table) regrant(u *upstream, id fleet.Unit) {
	if x := u.units[id]; x != nil && x.owned && x.state == unitGranted {
		x.state = unitUngranted
		u.moveToUnit(x)
	}
}

// sendHedges sends idempotent requests a second time, on a new connection, if the
// first attempt has had no response for much longer than the mean service time.
func (t *Table) sendHedges(now time.Time) {
	for _, u := range t.sorted {
		if !t.hasAuthority(now) || !u.canSend(now) {
			continue
		}
		hedgeDelay := max(t.cfg.HedgeDelay, 8*u.warmup.serviceTime)
		for _, a := range slices.Clone(u.openAttempts) {
			r, x := a.request, u.units[a.unit]
			if !r.Idempotent || r.finished || r.attempts >= maxAttempts || now.Sub(a.sent) < hedgeDelay || !now.Before(r.Deadline) {
				continue
			}
			if x == nil || !x.owned || x.state != unitGranted || u.occupiedSlots(now) >= int(u.warmup.limit) || !t.retryBudget.spend() {
				continue
			}
			r.newConnection = true
			t.send(now, u, x, r)
		}
	}
}

// Cancel ends a request whose caller has disconnected.
func (t *Table) Cancel(now time.Time, id fleet.RequestID) []Action {
	r := t.requests[id]
	if r == nil || r.finished {
		return nil
	}
	reason := fleet.ReasonDeadline
	if len(r.openAttempts) > 0 {
		reason = fleet.ReasonTimeout
	}
	t.dequeue(r)
	t.refuse(r, fleet.Refusal{Reason: reason, Detail: "cancelled by the caller"})
	t.cancelAttempts(r)
	if u := t.upstreams[r.Upstream]; u != nil {
		t.sendQueued(now, u)
	}
	return t.takeActions()
}

func (t *Table) dequeue(r *request) {
	u := t.upstreams[r.Upstream]
	if !r.queued || u == nil {
		return
	}
	r.queued = false
	u.queue.remove(r)
	if x := u.units[r.Unit]; x != nil {
		x.waiting = slices.DeleteFunc(x.waiting, func(y *request) bool { return y == r })
	}
}

// refuse ends a request with a refusal. If an earlier attempt may have run, the
// refusal of that attempt is used, because the outcome of the request is unknown.
func (t *Table) refuse(r *request, refusal fleet.Refusal) {
	if r.finished {
		return
	}
	r.finished = true
	if r.unknownOutcome != nil {
		refusal = *r.unknownOutcome
	}
	t.emit(Refuse{ID: r.ID, Refusal: refusal})
	t.removeFinished(r)
}

func (t *Table) removeFinished(r *request) {
	if r.finished && len(r.openAttempts) == 0 {
		delete(t.requests, r.ID)
	}
}
