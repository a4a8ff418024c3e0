package dispatch

import (
	"net/http"
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// maxAttempts is the first attempt and one retry.
const maxAttempts = 2

// budget allows retries for a share of the requests, so that retries cannot
// multiply the load of an upstream that fails.
type budget struct {
	share  float64
	tokens float64
}

// maxBudget bounds a burst of retries after a long time without any.
const maxBudget = 20

func (b *budget) earn() { b.tokens = min(b.tokens+b.share, maxBudget) }

func (b *budget) spend() bool {
	// The sum of many shares of 0.1 falls short of 1 by rounding.
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}

// Done reports the end of an attempt.
func (t *Table) Done(now time.Time, id fleet.RequestID, n int, res Result) []Action {
	r := t.requests[id]
	if r == nil {
		return nil
	}
	i := slices.IndexFunc(r.open, func(a *attempt) bool { return a.n == n })
	if i < 0 {
		return nil
	}
	a := r.open[i]
	r.open = slices.Delete(r.open, i, i+1)
	u := t.ups[r.Upstream]
	u.open = slices.DeleteFunc(u.open, func(x *attempt) bool { return x == a })
	t.measure(now, u, a, res)
	if res.Kind == Answered {
		t.answer(r, a)
	} else {
		t.failed(now, u, r, res)
	}
	t.forget(r)
	t.advance(now, u)
	return t.take()
}

// measure updates what the dispatcher knows about the upstream.
func (t *Table) measure(now time.Time, u *upstream, a *attempt, res Result) {
	u.warming.ended(now, len(u.open))
	switch res.Kind {
	case Answered:
		switch res.Status {
		case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
			u.warming.cool(now, u.duty.ColdSlots)
		default:
			u.warming.done(now, now.Sub(a.sent), res.Status < http.StatusInternalServerError, u.duty.warmStep())
		}
	case Shed:
		u.warming.cool(now, u.duty.ColdSlots)
	case NotSent, Lost:
		if !a.cancelled {
			u.warming.cool(now, u.duty.ColdSlots)
			t.emit(CloseConnections{Upstream: u.id, Address: u.duty.Address})
		}
	default:
	}
	if res.Kind.Ran() && res.Kind != Answered {
		u.ghosts = append(u.ghosts, ghost{
			unit: a.unit, key: a.request.Key, slotUntil: now.Add(t.cfg.CancelGrace),
			runsUntil: a.request.Deadline.Add(t.cfg.ClockSkew),
		})
	}
	if res.Boot != "" && u.session.everKnown && res.Boot != u.session.boot && !u.retired {
		t.lose(now, u, "response of another boot")
	}
}

func (t *Table) answer(r *request, a *attempt) {
	if r.finished {
		return
	}
	r.finished = true
	t.emit(Answer{ID: r.ID, Attempt: a.n})
	t.dequeue(r)
	t.cancelOpen(r)
}

func (t *Table) cancelOpen(r *request) {
	for _, a := range r.open {
		if !a.cancelled {
			a.cancelled = true
			t.emit(CancelRequest{ID: r.ID, Attempt: a.n})
		}
	}
}

func (t *Table) failed(now time.Time, u *upstream, r *request, res Result) {
	refusal := res.refusal()
	if res.Kind.Ran() && r.unknown == nil {
		r.unknown = &refusal
	}
	if res.Kind == Stale {
		t.regrant(u, r.Unit)
	}
	if r.finished || r.queued || len(r.open) > 0 {
		return
	}
	if !t.retryable(now, u, r, res) || !t.budget.spend() {
		t.refuse(r, refusal)
		return
	}
	r.queued = true
	r.fresh = res.Kind.Ran() || res.Kind == NotSent
	if x := u.units[r.Unit]; x.state == unitGranted {
		u.queue.pushFront(r)
	} else {
		x.waiting = append(x.waiting, r)
	}
}

func (t *Table) retryable(now time.Time, u *upstream, r *request, res Result) bool {
	x := u.units[r.Unit]
	if u.retired || x == nil || !x.mine || r.sent >= maxAttempts || !now.Before(r.Deadline) || !t.holds(now) {
		return false
	}
	return r.Idempotent || (r.unknown == nil && !res.Kind.Ran())
}

// regrant repairs a difference between the grants that the upstream holds and
// those that it was sent.
func (t *Table) regrant(u *upstream, id fleet.Unit) {
	if x := u.units[id]; x != nil && x.mine && x.state == unitGranted {
		x.state = unitUngranted
		u.unqueue(x)
	}
}

// retrySilent sends idempotent requests a second time when the first attempt
// has been silent for much longer than requests take.
func (t *Table) retrySilent(now time.Time) {
	for _, u := range t.order {
		if !t.holds(now) || !u.serves(now) {
			continue
		}
		silence := max(t.cfg.SilentAfter, 8*u.warming.service)
		for _, a := range slices.Clone(u.open) {
			r, x := a.request, u.units[a.unit]
			if !r.Idempotent || r.finished || r.sent >= maxAttempts || now.Sub(a.sent) < silence || !now.Before(r.Deadline) {
				continue
			}
			if x == nil || !x.mine || x.state != unitGranted || u.occupied(now) >= int(u.warming.limit) || !t.budget.spend() {
				continue
			}
			r.fresh = true
			t.send(now, u, x, r)
		}
	}
}

// Cancel ends a request whose caller has gone.
func (t *Table) Cancel(now time.Time, id fleet.RequestID) []Action {
	r := t.requests[id]
	if r == nil || r.finished {
		return nil
	}
	reason := fleet.ReasonDeadline
	if len(r.open) > 0 {
		reason = fleet.ReasonTimeout
	}
	t.dequeue(r)
	t.refuse(r, fleet.Refusal{Reason: reason, Detail: "cancelled by the caller"})
	t.cancelOpen(r)
	if u := t.ups[r.Upstream]; u != nil {
		t.pump(now, u)
	}
	return t.take()
}

func (t *Table) dequeue(r *request) {
	u := t.ups[r.Upstream]
	if !r.queued || u == nil {
		return
	}
	r.queued = false
	u.queue.remove(r)
	if x := u.units[r.Unit]; x != nil {
		x.waiting = slices.DeleteFunc(x.waiting, func(y *request) bool { return y == r })
	}
}

// refuse ends a request. If an earlier attempt may have run, that attempt's
// refusal is the truthful one.
func (t *Table) refuse(r *request, refusal fleet.Refusal) {
	if r.finished {
		return
	}
	r.finished = true
	if r.unknown != nil {
		refusal = *r.unknown
	}
	t.emit(Refuse{ID: r.ID, Refusal: refusal})
	t.forget(r)
}

func (t *Table) forget(r *request) {
	if r.finished && len(r.open) == 0 {
		delete(t.requests, r.ID)
	}
}
