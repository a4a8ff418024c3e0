package quota

import (
	"math"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Requester is what an instance remembers of the keys whose requests homes count: what it has
// admitted, and the answers by which it admits or refuses without a request.
type Requester[K comparable] struct {
	run    Run // this instance
	window time.Duration
	keys   map[K]*keyState
}

type keyState struct {
	demand   float64 // requests per second at this instance
	demandAt time.Time

	// The last answer with a refusal, which counts until its end.
	home   Run
	rate   fleet.PerSecond // of the lease
	tokens float64
	since  time.Time // up to which tokens have accrued
	until  time.Time
	next   time.Time   // when the home expects a token
	limit  fleet.Limit // at the last request

	exhaustedAt time.Time // until when a home had no token
	exhaustedBy Run

	uses         []knownUse
	seq          uint64
	sealed       uint64                      // uses up to this number are contained in a token request
	acknowledged map[fleet.InstanceID]uint64 // uses up to this number were answered by this home
	boots        map[fleet.InstanceID]fleet.BootID
	failed       map[fleet.InstanceID]bool // homes that may have restarted since their last token request
}

type knownUse struct {
	Use
	at time.Time
	by Run // the home that admitted the requests; zero for a part of the limit
}

const (
	// maxCarriedTokens bounds the tokens that a requester carries from one lease to the next.
	// Without them, a requester with less than one token in a lease would admit nothing.
	maxCarriedTokens = 1.0
	// minRefusalTime is the shortest time for which a refusal counts.
	minRefusalTime = time.Millisecond
	// maxLeaseGap is the time after the end of a lease in which its tokens are carried.
	maxLeaseGap = time.Second
)

// NewRequester returns a Requester that remembers uses for the time window.
func NewRequester[K comparable](run Run, window time.Duration) *Requester[K] {
	return &Requester[K]{run: run, window: window, keys: make(map[K]*keyState)}
}

// SetWindow replaces the time for which uses are remembered.
func (a *Requester[K]) SetWindow(window time.Duration) { a.window = window }

// Forget removes what is remembered of a key that has no limit any more.
func (a *Requester[K]) Forget(key K) { delete(a.keys, key) }

func (a *Requester[K]) state(now time.Time, key K) *keyState {
	s := a.keys[key]
	if s == nil {
		s = &keyState{
			demandAt: now, acknowledged: make(map[fleet.InstanceID]uint64), boots: make(map[fleet.InstanceID]fleet.BootID), failed: make(map[fleet.InstanceID]bool),
		}
		a.keys[key] = s
	}
	return s
}

// Arrive counts a request in the demand for its key. An answer for another limit does not
// count any more.
func (a *Requester[K]) Arrive(now time.Time, key K, limit fleet.Limit) {
	s := a.state(now, key)
	if s.limit != limit {
		s.limit, s.until = limit, time.Time{}
	}
	s.decayDemand(now)
	s.demand += math.Ln2 / demandHalfLife.Seconds()
}

func (s *keyState) decayDemand(now time.Time) {
	if dt := now.Sub(s.demandAt); dt > 0 {
		s.demand *= math.Exp2(-dt.Seconds() / demandHalfLife.Seconds())
		s.demandAt = now
	}
}

// Decide decides on a request by the last answer of a home. It returns false if tokens have
// to be requested.
func (a *Requester[K]) Decide(now time.Time, key K) (Decision, bool) {
	s := a.state(now, key)
	if !now.Before(s.until) {
		return Decision{}, false
	}
	s.accrue(now)
	if s.tokens >= 1 {
		s.tokens--
		a.record(now, s, s.home, 1)
		return Decision{Admitted: true}, true
	}
	wait := latest(s.until, s.next).Sub(now)
	if s.rate > 0 {
		wait = time.Duration(min((1-s.tokens)/float64(s.rate), maxStatedWait.Seconds()) * float64(time.Second))
	}
	return Decision{Wait: wait}, true
}

func (s *keyState) accrue(now time.Time) {
	end := now
	if s.until.Before(end) {
		end = s.until
	}
	if dt := end.Sub(s.since); dt > 0 {
		s.tokens += float64(s.rate) * dt.Seconds()
		s.since = end
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// TokenRequest returns the token request to a home about the given number of requests.
func (a *Requester[K]) TokenRequest(now time.Time, key K, home fleet.InstanceID, wanted int) TokenRequest {
	s := a.state(now, key)
	s.decayDemand(now)
	s.prune(now.Add(-a.window))
	q := TokenRequest{Requester: a.run, Wanted: wanted, Demand: fleet.PerSecond(s.demand), FormerBoot: s.boots[home], Complete: s.failed[home], newest: s.seq}
	last := Run{Instance: home, Boot: s.boots[home]}
	for _, u := range s.uses {
		u.Age, u.Former = max(0, now.Sub(u.at)), u.by == last
		if s.failed[home] || !u.Former && u.Seq > s.acknowledged[home] {
			q.Uses = append(q.Uses, u.Use)
		}
	}
	if s.exhaustedBy != last || s.failed[home] {
		if age := now.Sub(s.exhaustedAt); age <= a.window {
			q.ExhaustedBefore = max(age, time.Millisecond)
		}
	}
	s.sealed = s.seq
	return q
}

// Answered applies the answer of a home to a token request that was sent at sentAt.
func (a *Requester[K]) Answered(now, sentAt time.Time, key K, home fleet.InstanceID, q TokenRequest, g Grant) {
	s := a.state(now, key)
	run := Run{Instance: home, Boot: g.Boot}
	s.failed[home] = g.NeedComplete
	if g.NeedComplete {
		return
	}
	s.boots[home], s.acknowledged[home] = g.Boot, q.newest
	a.record(now, s, run, g.Admitted)
	if g.Admitted >= q.Wanted {
		return
	}
	s.accrue(now)
	if sentAt.Sub(s.until) > maxLeaseGap {
		s.tokens = 0
	}
	s.tokens = min(s.tokens, maxCarriedTokens)
	s.home, s.rate, s.since = run, g.Rate, sentAt
	s.next = now.Add(g.Wait)
	s.until, s.exhaustedAt, s.exhaustedBy = now.Add(min(max(g.Wait, minRefusalTime), maxLeaseTime)), sentAt, run
	if g.Lease > 0 {
		s.until = sentAt.Add(min(g.Lease, maxLeaseTime))
		s.exhaustedAt = s.until // until then, leases use what accrues
	}
}

// Failed records that a home did not answer a token request. It may have got it, and it may have
// restarted.
func (a *Requester[K]) Failed(now time.Time, key K, home fleet.InstanceID) {
	a.state(now, key).failed[home] = true
}

// Admitted records requests that this instance has admitted by its own part of the limit.
func (a *Requester[K]) Admitted(now time.Time, key K, n int) {
	a.record(now, a.state(now, key), Run{}, n)
}

func (a *Requester[K]) record(now time.Time, s *keyState, by Run, n int) {
	if n == 0 {
		return
	}
	if i := len(s.uses) - 1; i >= 0 && s.uses[i].by == by && s.uses[i].Seq > s.sealed && usageIndex(s.uses[i].at) == usageIndex(now) {
		s.uses[i].Requests += n
		s.uses[i].at = now
		return
	}
	s.prune(now.Add(-a.window))
	s.seq++
	s.uses = append(s.uses, knownUse{Use: Use{Seq: s.seq, Requests: n}, at: now, by: by})
}

// prune forgets the uses before oldest.
func (s *keyState) prune(oldest time.Time) {
	first := 0
	for first < len(s.uses) && s.uses[first].at.Before(oldest) {
		first++
	}
	s.uses = append(s.uses[:0], s.uses[first:]...)
}
