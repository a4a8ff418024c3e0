package limit

import (
	"math"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// leaseTTL bounds how long a call counts as in flight; it is at least the TTL
	// of every lease, after which an answer would be worthless.
	leaseTTL = 500 * time.Millisecond
	// ahead is the demand that a holder keeps tokens for.
	ahead = 50 * time.Millisecond
	// returnAfter is the age at which a lease is closed with what is left of it.
	// Tokens for 50 ms that last three times as long exceed the demand.
	returnAfter = 150 * time.Millisecond
	// maxCloseDelay bounds how long a spent lease occupies the bucket for the sake
	// of fewer calls.
	maxCloseDelay = 50 * time.Millisecond
	// maxRefusal bounds how long a refusal is repeated without asking the home,
	// because returned tokens can end the shortage early.
	maxRefusal = 100 * time.Millisecond
	// againAfter separates calls that the home did not answer with a refusal.
	againAfter = 5 * time.Millisecond
	// patience is how long requests wait for a home that does not answer. Another
	// home takes over about 2 s after a loss, and a request that is served late is
	// worth more than one that is refused inside its rate.
	patience = 2500 * time.Millisecond
	// probeAfter separates calls to such a home after that.
	probeAfter = 50 * time.Millisecond
	// unavailableRetry is the advice when the home does not answer.
	unavailableRetry = time.Second
	// forgetAfter removes limits that no request names.
	forgetAfter = 10 * time.Second

	// Time constants of the two demand averages; the larger average counts. The
	// fast one follows load that moves to this holder, the slow one bridges the
	// gaps at low rates.
	fastDemand = 50 * time.Millisecond
	slowDemand = 500 * time.Millisecond
	// minDemand is the expected number of requests within ahead from which a token
	// is kept.
	minDemand = 0.1
)

// Bounded is a limit that a request is subject to.
type Bounded struct {
	ID    fleet.LimitID
	Limit fleet.Limit
}

// Decision is one of Admitted, Need and Refused.
type Decision interface{ decision() }

// Admitted means that a token of every limit has been spent.
type Admitted struct{}

// Need means that tokens are missing and none was spent. The user makes the calls,
// ends each with Add or Fail, and admits the request again when a call for one of
// the limits in Waits has ended. Calls is empty if calls in flight or the next Tick
// cover the need.
type Need struct {
	Waits []fleet.LimitID
	Calls []Call
}

// Refused means that the request must be refused for Reason: rate-limited or
// limit-unavailable.
type Refused struct {
	Limit      fleet.LimitID
	Reason     fleet.Reason
	RetryAfter time.Duration
}

func (Admitted) decision() {}
func (Need) decision()     {}
func (Refused) decision()  {}

// Holder keeps the token leases of this instance.
type Holder struct {
	purses map[fleet.LimitID]*purse
}

// NewHolder returns a holder without leases.
func NewHolder() *Holder { return &Holder{purses: make(map[fleet.LimitID]*purse)} }

// Admit spends a token of every limit, or of none.
func (h *Holder) Admit(now time.Time, limits []Bounded) Decision {
	missing := false
	for _, b := range limits {
		if b.Limit.Unlimited() {
			continue
		}
		p := h.purse(b.ID)
		p.limit, p.asked = b.Limit, now
		p.expire(now)
		if p.left == 0 {
			missing = true
		}
	}
	if missing {
		return h.need(now, limits)
	}
	for _, b := range limits {
		if !b.Limit.Unlimited() {
			h.purses[b.ID].spend()
		}
	}
	return Admitted{}
}

func (h *Holder) need(now time.Time, limits []Bounded) Decision {
	var refused Refused
	for _, b := range limits {
		if b.Limit.Unlimited() {
			continue
		}
		if r, ok := h.purses[b.ID].refuse(now, b.ID); ok && r.RetryAfter >= refused.RetryAfter {
			refused = r
		}
	}
	if refused.Limit != "" {
		return refused
	}
	var n Need
	for _, b := range limits {
		p := h.purses[b.ID]
		if b.Limit.Unlimited() || p.left > 0 {
			continue
		}
		p.waiting++
		n.Waits = append(n.Waits, b.ID)
		if !p.inFlight(now) && !now.Before(p.callAt) {
			n.Calls = append(n.Calls, p.call(now, b.ID))
		}
	}
	return n
}

// Add ends a call that was sent at the given time with the home's answer.
func (h *Holder) Add(sent time.Time, id fleet.LimitID, l Lease) {
	p := h.purse(id)
	if l.TTL == 0 {
		p.fail(sent)
		return
	}
	p.ended(sent)
	p.failing = time.Time{}
	wanted := p.asking
	if l.Granted > 0 {
		p.leases = append(p.leases, lease{id: l.ID, left: l.Granted, sent: sent, end: sent.Add(l.TTL)})
		p.left += l.Granted
	}
	switch {
	case l.RetryAfter > 0:
		p.refuseUntil = sent.Add(min(l.RetryAfter, maxRefusal))
		p.retryAt = sent.Add(l.RetryAfter)
	case l.Granted == 0 && wanted > 0:
		p.callAt = sent.Add(againAfter)
	case l.Granted == 0:
		p.spareAt = sent.Add(ahead)
	}
}

// Fail ends a call without an answer.
func (h *Holder) Fail(sent time.Time, id fleet.LimitID) { h.purse(id).fail(sent) }

// Tick returns the calls that fetch tokens ahead, ask again for waiting requests and
// close leases. It is due every 10 ms.
func (h *Holder) Tick(now time.Time) []Call {
	var calls []Call
	for id, p := range h.purses {
		p.expire(now)
		p.measure(now)
		if p.due(now) {
			calls = append(calls, p.call(now, id))
		}
		if now.Sub(p.asked) > forgetAfter && len(p.leases) == 0 && !p.inFlight(now) {
			delete(h.purses, id)
		}
	}
	return calls
}

// Held returns the number of unspent tokens of the limit.
func (h *Holder) Held(now time.Time, id fleet.LimitID) fleet.Tokens {
	p, ok := h.purses[id]
	if !ok {
		return 0
	}
	p.expire(now)
	return p.left
}

func (h *Holder) purse(id fleet.LimitID) *purse {
	p, ok := h.purses[id]
	if !ok {
		p = &purse{}
		h.purses[id] = p
	}
	return p
}

// lease is what is left of a lease of the home.
type lease struct {
	id        LeaseID
	left      fleet.Tokens
	sent, end time.Time
}

// purse holds the leases of one limit.
type purse struct {
	limit  fleet.Limit
	asked  time.Time // last Admit
	leases []lease   // in order of arrival; the first with tokens is spent first
	left   fleet.Tokens

	closed     []Closed
	closedFrom time.Time // the first close is due from this time

	waiting  fleet.Tokens // requests told to wait since the last call
	asking   fleet.Tokens // Waiting of the call in flight
	flying   bool
	sent     time.Time // of the call in flight
	callAt   time.Time // no call for waiting requests before
	spareAt  time.Time // no call for spare tokens alone before
	failing  time.Time // first of the calls that failed without a success since
	measured time.Time
	spent    int // since measured
	fast     float64
	slow     float64 // requests per second

	refuseUntil, retryAt time.Time
}

// expire drops leases that have ended. They are not reported: the home drops them
// by itself.
func (p *purse) expire(now time.Time) {
	if len(p.leases) == 0 {
		return
	}
	kept := p.leases[:0]
	for _, l := range p.leases {
		if now.Before(l.end) {
			kept = append(kept, l)
		} else {
			p.left -= l.left
		}
	}
	p.leases = kept
}

func (p *purse) spend() {
	l := &p.leases[0]
	l.left--
	p.left--
	p.spent++
	if l.left == 0 {
		p.closed = append(p.closed, Closed{Lease: l.id})
		p.leases = p.leases[1:]
	}
}

func (p *purse) refuse(now time.Time, id fleet.LimitID) (Refused, bool) {
	if p.left > 0 {
		return Refused{}, false
	}
	if !p.failing.IsZero() && now.Sub(p.failing) >= patience {
		return Refused{Limit: id, Reason: fleet.ReasonLimitUnavailable, RetryAfter: unavailableRetry}, true
	}
	if now.Before(p.refuseUntil) {
		return Refused{Limit: id, Reason: fleet.ReasonRateLimited, RetryAfter: p.retryAt.Sub(now)}, true
	}
	return Refused{}, false
}

func (p *purse) inFlight(now time.Time) bool { return p.flying && now.Sub(p.sent) < leaseTTL }

// ended ignores the end of a call that no longer counts as in flight.
func (p *purse) ended(sent time.Time) {
	if p.flying && p.sent.Equal(sent) {
		p.flying = false
	}
}

func (p *purse) fail(sent time.Time) {
	p.ended(sent)
	if p.failing.IsZero() {
		p.failing = sent
	}
	p.callAt = sent.Add(againAfter)
	if sent.Sub(p.failing) >= patience {
		p.callAt = sent.Add(probeAfter)
	}
}

// due reports whether a call is to be made without a request that waits now.
func (p *purse) due(now time.Time) bool {
	if p.inFlight(now) {
		return false
	}
	if !p.failing.IsZero() || p.waiting > 0 {
		return !now.Before(p.callAt)
	}
	if len(p.leases) > 0 && now.Sub(p.leases[0].sent) >= returnAfter {
		return true
	}
	if n := p.target(); n > 0 && p.left <= n/2 && !now.Before(p.spareAt) {
		return true
	}
	if len(p.closed) == 0 {
		return false
	}
	if p.closedFrom.IsZero() {
		p.closedFrom = now.Add(p.closeDelay())
	}
	return !now.Before(p.closedFrom)
}

// closeDelay is a quarter of the time in which the bucket fills, so that spent
// leases never occupy much of a small one.
func (p *purse) closeDelay() time.Duration {
	if p.limit.Rate <= 0 {
		return 0
	}
	fill := float64(p.limit.Burst) / float64(p.limit.Rate) * float64(time.Second)
	return time.Duration(min(fill/4, float64(maxCloseDelay)))
}

// call starts a call for everything that is due.
func (p *purse) call(now time.Time, id fleet.LimitID) Call {
	for len(p.leases) > 0 && now.Sub(p.leases[0].sent) >= returnAfter {
		l := p.leases[0]
		p.closed = append(p.closed, Closed{Lease: l.id, Unused: l.left})
		p.left -= l.left
		p.leases = p.leases[1:]
	}
	c := Call{ID: id, Waiting: p.waiting, Closed: p.closed}
	if n := max(p.target(), p.waiting); p.left <= n/2 {
		c.Spare = n - p.left
	}
	p.asking, p.waiting = p.waiting, 0
	p.closed, p.closedFrom = nil, time.Time{}
	p.flying, p.sent = true, now
	return c
}

// measure brings the demand averages up to now.
func (p *purse) measure(now time.Time) {
	d := now.Sub(p.measured)
	if p.measured.IsZero() {
		p.measured = now
		return
	}
	if d <= 0 {
		return
	}
	rate := float64(p.spent) / d.Seconds()
	p.fast += (rate - p.fast) * (1 - math.Exp(-float64(d)/float64(fastDemand)))
	p.slow += (rate - p.slow) * (1 - math.Exp(-float64(d)/float64(slowDemand)))
	p.measured, p.spent = now, 0
}

// target is the number of tokens to hold.
func (p *purse) target() fleet.Tokens {
	n := max(p.fast, p.slow) * ahead.Seconds()
	if n < minDemand {
		return 0
	}
	return fleet.Tokens(math.Ceil(n))
}
