package limit

import (
	"math"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// callTimeout is how long a call counts as in flight. It is at least the TTL of
	// every lease, since a lease that arrives after its TTL cannot be used.
	callTimeout = 500 * time.Millisecond
	// prefetchWindow is the time for whose expected demand a holder keeps tokens.
	prefetchWindow = 50 * time.Millisecond
	// maxLeaseAge is the age at which a lease is closed and its unused tokens are
	// returned. Tokens for 50 ms that last three times as long exceed the demand.
	maxLeaseAge = 150 * time.Millisecond
	// maxCloseDelay bounds how long the close of a spent lease is delayed to save
	// calls. Its tokens stay outstanding until then.
	maxCloseDelay = 50 * time.Millisecond
	// maxCachedRefusal bounds how long requests are refused without a new call to the
	// home, because returned tokens can become available before the refill.
	maxCachedRefusal = 100 * time.Millisecond
	// callRetryInterval is the delay before a call is repeated that failed, or that
	// returned no tokens for waiting requests and no RetryAfter.
	callRetryInterval = 5 * time.Millisecond
	// homeTimeout is how long requests wait for a home that does not answer. A new
	// home takes over about 2 s after a loss, and serving a request late is better
	// than refusing one that is within its rate.
	homeTimeout = 2500 * time.Millisecond
	// probeInterval is the interval of calls to a home that has not answered for
	// homeTimeout.
	probeInterval = 50 * time.Millisecond
	// unavailableRetryAfter is the RetryAfter of refusals because the home does not
	// answer.
	unavailableRetryAfter = time.Second
	// idleTimeout is the time after which the state of a limit without requests is
	// removed.
	idleTimeout = 10 * time.Second

	// fastTimeConstant and slowTimeConstant are the time constants of two exponential
	// moving averages of the demand, of which the larger one is used. The fast one
	// follows load that shifts to this holder; the slow one bridges the gaps between
	// requests at low rates.
	fastTimeConstant = 50 * time.Millisecond
	slowTimeConstant = 500 * time.Millisecond
	// minPrefetchDemand is the smallest expected number of requests within
	// prefetchWindow for which a token is kept.
	minPrefetchDemand = 0.1
)

// RequestLimit is a limit that applies to a request.
type RequestLimit struct {
	ID    fleet.LimitID
	Limit fleet.Limit
}

// Decision is the result of Holder.Admit: Admitted, Need or Refused.
type Decision interface{ decision() }

// Admitted means that the request may run and one token of every limit was spent.
type Admitted struct{}

// Need means that tokens are missing and none was spent. The user makes the calls and
// reports the end of each with AddLease or CallFailed. It calls Admit for the request
// again when a call for one of the limits in Waits has ended. Calls is empty if calls
// in flight or those of the next Tick request the tokens.
type Need struct {
	Waits []fleet.LimitID
	Calls []Call
}

// Refused means that the request must be refused. Reason is rate-limited or
// limit-unavailable.
type Refused struct {
	Limit      fleet.LimitID
	Reason     fleet.Reason
	RetryAfter time.Duration
}

func (Admitted) decision() {}
func (Need) decision()     {}
func (Refused) decision()  {}

// Holder keeps the token leases of an instance.
type Holder struct {
	limits map[fleet.LimitID]*limitState
}

// NewHolder returns a holder that has no leases.
func NewHolder() *Holder { return &Holder{limits: make(map[fleet.LimitID]*limitState)} }

// Admit spends one token of every limit, or no token at all.
func (h *Holder) Admit(now time.Time, limits []RequestLimit) Decision {
	missing := false
	for _, b := range limits {
		if b.Limit.Unlimited() {
			continue
		}
		s := h.state(b.ID)
		s.limit, s.lastAdmit = b.Limit, now
		s.dropExpired(now)
		if s.tokens == 0 {
			missing = true
		}
	}
	if missing {
		return h.needOrRefuse(now, limits)
	}
	for _, b := range limits {
		if !b.Limit.Unlimited() {
			h.limits[b.ID].spendToken()
		}
	}
	return Admitted{}
}

func (h *Holder) needOrRefuse(now time.Time, limits []RequestLimit) Decision {
	var refused Refused
	for _, b := range limits {
		if b.Limit.Unlimited() {
			continue
		}
		if r, ok := h.limits[b.ID].cachedRefusal(now, b.ID); ok && r.RetryAfter >= refused.RetryAfter {
			refused = r
		}
	}
	if refused.Limit != "" {
		return refused
	}
	var n Need
	for _, b := range limits {
		s := h.limits[b.ID]
		if b.Limit.Unlimited() || s.tokens > 0 {
			continue
		}
		s.waiting++
		n.Waits = append(n.Waits, b.ID)
		if !s.inFlight(now) && !now.Before(s.nextCall) {
			n.Calls = append(n.Calls, s.startCall(now, b.ID))
		}
	}
	return n
}

// AddLease reports the home's answer to the call that was sent at the given time.
func (h *Holder) AddLease(sent time.Time, id fleet.LimitID, l Lease) {
	s := h.state(id)
	if l.TTL == 0 {
		s.callFailed(sent)
		return
	}
	s.callEnded(sent)
	s.failingSince = time.Time{}
	requested := s.requested
	if l.Granted > 0 {
		s.leases = append(s.leases, lease{id: l.ID, tokens: l.Granted, sent: sent, expiry: sent.Add(l.TTL)})
		s.tokens += l.Granted
	}
	switch {
	case l.RetryAfter > 0:
		s.refuseUntil = sent.Add(min(l.RetryAfter, maxCachedRefusal))
		s.retryAt = sent.Add(l.RetryAfter)
	case l.Granted == 0 && requested > 0:
		s.nextCall = sent.Add(callRetryInterval)
	case l.Granted == 0:
		s.nextSpareCall = sent.Add(prefetchWindow)
	}
}

// CallFailed reports that the call sent at the given time ended without an answer.
func (h *Holder) CallFailed(sent time.Time, id fleet.LimitID) { h.state(id).callFailed(sent) }

// Tick returns the calls that prefetch tokens, request tokens for waiting requests
// again, and close leases. The user must call it every 10 ms.
func (h *Holder) Tick(now time.Time) []Call {
	var calls []Call
	for id, s := range h.limits {
		s.dropExpired(now)
		s.updateDemand(now)
		if s.callDue(now) {
			calls = append(calls, s.startCall(now, id))
		}
		if now.Sub(s.lastAdmit) > idleTimeout && len(s.leases) == 0 && !s.inFlight(now) {
			delete(h.limits, id)
		}
	}
	return calls
}

// Held returns the number of unspent tokens of the limit.
func (h *Holder) Held(now time.Time, id fleet.LimitID) fleet.Tokens {
	s, ok := h.limits[id]
	if !ok {
		return 0
	}
	s.dropExpired(now)
	return s.tokens
}

func (h *Holder) state(id fleet.LimitID) *limitState {
	s, ok := h.limits[id]
	if !ok {
		s = &limitState{}
		h.limits[id] = s
	}
	return s
}

// lease is a lease from the home with its unspent tokens.
type lease struct {
	id           LeaseID
	tokens       fleet.Tokens
	sent, expiry time.Time
}

// limitState is the state of one limit: its leases, the call in flight and the demand.
type limitState struct {
	limit     fleet.Limit
	lastAdmit time.Time
	leases    []lease      // in order of arrival and of spending; none is empty
	tokens    fleet.Tokens // unspent tokens of all leases

	pendingCloses []Closed
	closeDue      time.Time // when to send pendingCloses; zero: not set

	waiting       fleet.Tokens // requests that got Need since the last call
	requested     fleet.Tokens // Call.Waiting of the call in flight
	calling       bool         // a call has not ended
	sent          time.Time    // when the call in flight was sent
	nextCall      time.Time    // earliest time of the next call for waiting requests
	nextSpareCall time.Time    // earliest time of the next call for spare tokens alone
	failingSince  time.Time    // sending of the first failed call since the last answer; zero: none
	measuredAt    time.Time    // when fastRate and slowRate were updated
	spent         int          // tokens spent since measuredAt
	fastRate      float64      // requests/s
	slowRate      float64      // requests/s

	refuseUntil, retryAt time.Time
}

// dropExpired removes expired leases. They are not reported to the home, which expires
// them by itself.
func (s *limitState) dropExpired(now time.Time) {
	if len(s.leases) == 0 {
		return
	}
	kept := s.leases[:0]
	for _, l := range s.leases {
		if now.Before(l.expiry) {
			kept = append(kept, l)
		} else {
			s.tokens -= l.tokens
		}
	}
	s.leases = kept
}

func (s *limitState) spendToken() {
	l := &s.leases[0]
	l.tokens--
	s.tokens--
	s.spent++
	if l.tokens == 0 {
		s.pendingCloses = append(s.pendingCloses, Closed{Lease: l.id})
		s.leases = s.leases[1:]
	}
}

// cachedRefusal returns the refusal that still holds without a new call to the home,
// if there is one.
func (s *limitState) cachedRefusal(now time.Time, id fleet.LimitID) (Refused, bool) {
	if s.tokens > 0 {
		return Refused{}, false
	}
	if !s.failingSince.IsZero() && now.Sub(s.failingSince) >= homeTimeout {
		return Refused{Limit: id, Reason: fleet.ReasonLimitUnavailable, RetryAfter: unavailableRetryAfter}, true
	}
	if now.Before(s.refuseUntil) {
		return Refused{Limit: id, Reason: fleet.ReasonRateLimited, RetryAfter: s.retryAt.Sub(now)}, true
	}
	return Refused{}, false
}

func (s *limitState) inFlight(now time.Time) bool { return s.calling && now.Sub(s.sent) < callTimeout }

// callEnded records the end of the call in flight. It ignores the end of an earlier
// call, which counted as timed out.
func (s *limitState) callEnded(sent time.Time) {
	if s.calling && s.sent.Equal(sent) {
		s.calling = false
	}
}

func (s *limitState) callFailed(sent time.Time) {
	s.callEnded(sent)
	if s.failingSince.IsZero() {
		s.failingSince = sent
	}
	s.nextCall = sent.Add(callRetryInterval)
	if sent.Sub(s.failingSince) >= homeTimeout {
		s.nextCall = sent.Add(probeInterval)
	}
}

// callDue reports whether Tick must make a call.
func (s *limitState) callDue(now time.Time) bool {
	if s.inFlight(now) {
		return false
	}
	if !s.failingSince.IsZero() || s.waiting > 0 {
		return !now.Before(s.nextCall)
	}
	if len(s.leases) > 0 && now.Sub(s.leases[0].sent) >= maxLeaseAge {
		return true
	}
	if n := s.targetTokens(); n > 0 && s.tokens <= n/2 && !now.Before(s.nextSpareCall) {
		return true
	}
	if len(s.pendingCloses) == 0 {
		return false
	}
	if s.closeDue.IsZero() {
		s.closeDue = now.Add(s.closeDelay())
	}
	return !now.Before(s.closeDue)
}

// closeDelay returns a quarter of the time in which the bucket fills, at most
// maxCloseDelay, so that spent leases count only briefly against a small burst.
func (s *limitState) closeDelay() time.Duration {
	if s.limit.Rate <= 0 {
		return 0
	}
	fill := float64(s.limit.Burst) / float64(s.limit.Rate) * float64(time.Second)
	return time.Duration(min(fill/4, float64(maxCloseDelay)))
}

// startCall returns a call that requests all tokens needed now, and closes spent
// leases and those older than maxLeaseAge.
func (s *limitState) startCall(now time.Time, id fleet.LimitID) Call {
	for len(s.leases) > 0 && now.Sub(s.leases[0].sent) >= maxLeaseAge {
		l := s.leases[0]
		s.pendingCloses = append(s.pendingCloses, Closed{Lease: l.id, Unused: l.tokens})
		s.tokens -= l.tokens
		s.leases = s.leases[1:]
	}
	c := Call{ID: id, Waiting: s.waiting, Closed: s.pendingCloses}
	if n := max(s.targetTokens(), s.waiting); s.tokens <= n/2 {
		c.Spare = n - s.tokens
	}
	s.requested, s.waiting = s.waiting, 0
	s.pendingCloses, s.closeDue = nil, time.Time{}
	s.calling, s.sent = true, now
	return c
}

// updateDemand updates the moving averages of the demand to the given time.
func (s *limitState) updateDemand(now time.Time) {
	d := now.Sub(s.measuredAt)
	if s.measuredAt.IsZero() {
		s.measuredAt = now
		return
	}
	if d <= 0 {
		return
	}
	rate := float64(s.spent) / d.Seconds()
	s.fastRate += (rate - s.fastRate) * (1 - math.Exp(-float64(d)/float64(fastTimeConstant)))
	s.slowRate += (rate - s.slowRate) * (1 - math.Exp(-float64(d)/float64(slowTimeConstant)))
	s.measuredAt, s.spent = now, 0
}

// targetTokens returns the number of tokens to hold for the expected demand.
func (s *limitState) targetTokens() fleet.Tokens {
	n := max(s.fastRate, s.slowRate) * prefetchWindow.Seconds()
	if n < minPrefetchDemand {
		return 0
	}
	return fleet.Tokens(math.Ceil(n))
}
