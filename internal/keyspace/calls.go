package keyspace

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Call is a request to an upstream to take over, renew or release a span of keys.
type Call struct {
	Service  fleet.ServiceID
	Upstream fleet.UpstreamID
	Boot     fleet.BootID
	Span
	Fence    fleet.Fence
	Release  bool          // false for a grant or its renewal
	Hold     time.Duration // requested validity of a grant; of a release, the time after which no grant of the holder is valid
	Handover string        // what the previous holder returned when it released the keys

	shard *shard
}

// Result is the outcome of a call.
type Result int

// The outcomes of a call.
const (
	Done     Result = iota
	Conflict        // the upstream has seen a higher fencing token
	NotSent         // the upstream cannot have received the call
	NoAnswer        // the upstream may have executed the call or may still do so
	Gone            // another upstream listens at the address, so that this one has ended and holds nothing
	Late            // the call was not written, because it was decided on too long ago; says nothing about the upstream
)

// Calls returns the calls that are due. The caller must report the result of each
// with CallEnded.
func (co *Coordinator) Calls(now time.Time) []Call {
	co.inherit(now)
	var calls []Call
	for _, s := range co.services {
		for _, sh := range s.shards {
			if sh.callPending || now.Before(sh.nextCall) {
				continue
			}
			if c, ok := co.nextCallFor(now, s, sh); ok {
				sh.callPending = true
				calls = append(calls, c)
			}
		}
	}
	return calls
}

// nextCallFor advances the state of sh as far as that is possible without a call, and
// returns the next call. It returns false if none is due.
func (co *Coordinator) nextCallFor(now time.Time, s *service, sh *shard) (Call, bool) {
	c := Call{Service: s.id, Upstream: sh.holder, Boot: sh.boot, Span: sh.Span, Fence: sh.fence, Hold: s.grantHold(), Handover: sh.handover, shard: sh}
	if now.Before(sh.blockedUntil) {
		sh.nextCall = sh.blockedUntil
		return Call{}, false
	}
	if sh.next != nil && sh.recorded {
		return co.nextMoveCall(now, s, sh, c)
	}
	if sh.refused {
		return Call{}, false // Plan allocates a new token
	}
	switch sh.state {
	case stateHeld:
		u, known := s.upstreams[sh.holder]
		if known && u.Boot != sh.boot {
			return Call{}, false // a restarted upstream holds no keys; Plan assigns a holder
		}
		c.Handover = ""
		return c, true
	case stateWaiting:
		sh.state = stateGranting
		return c, sh.recorded
	case stateGranting:
		return c, sh.recorded
	}
	return Call{}, false
}

// nextMoveCall returns the next call of a move whose record is stored. It returns
// false if the move is complete without a call.
func (co *Coordinator) nextMoveCall(now time.Time, s *service, sh *shard, c Call) (Call, bool) {
	if now.After(sh.latestHoldEnd) || sh.holder == "" {
		co.completeMove(now, sh, "")
		return Call{}, false
	}
	if u, known := s.upstreams[sh.holder]; known {
		// A restarted upstream starts without keys, but may have received grants before
		// this leader learned of the restart.
		c.Boot = u.Boot
	}
	c.Handover = ""
	c.Fence = sh.next.raisedFence
	if sh.state == stateHeld {
		co.mapChanged = true
	}
	switch {
	case sh.state == stateReleasing:
	case co.reachability[sh.holder].unreachable(now), sh.failures >= maxGrantFailures, sh.next.fenceRaises >= maxFenceRaises:
		sh.state = stateReleasing // another grant would only extend the hold
	case now.After(sh.unconfirmedHoldEnd) && now.After(co.oldCallsEnd):
		sh.state = stateReleasing // no grant can still be in flight
	default:
		sh.state = stateRaisingFence
		return c, true
	}
	c.Release, c.Hold = true, sh.latestHoldEnd.Sub(now)
	return c, true
}

// completeMove makes the next holder of sh its holder. The next call grants the keys
// to it.
func (co *Coordinator) completeMove(now time.Time, sh *shard, handover string) {
	n := sh.next
	sh.holder, sh.boot, sh.fence, sh.next = n.holder, n.boot, n.fence, nil
	sh.handover, sh.state, sh.nextCall, sh.failures = handover, stateGranting, now, 0
	sh.latestHoldEnd, sh.unconfirmedHoldEnd, sh.everGranted, sh.refused = time.Time{}, time.Time{}, false, false
	co.mapChanged = true
	co.markOverstated(now) // a new leader need no longer wait for the former holder
}

// CallEnded updates the state with the result of c, which must come from Calls. handover
// is the text that an upstream returned when it released keys.
func (co *Coordinator) CallEnded(now time.Time, c Call, r Result, handover string) {
	sh := c.shard
	sh.callPending = false
	if r == Late {
		sh.nextCall = now
		return
	}
	co.updateReachability(now, c.Upstream, r)
	if c.Release {
		co.releaseEnded(now, sh, r, handover)
		return
	}
	switch r {
	case Done:
		sh.latestHoldEnd = laterTime(sh.latestHoldEnd, now.Add(time.Duration(float64(c.Hold)*clockDriftFactor)))
	case NoAnswer:
		sh.unconfirmedHoldEnd = laterTime(sh.unconfirmedHoldEnd, latestExpiry(now, c.Hold))
		sh.latestHoldEnd = laterTime(sh.latestHoldEnd, sh.unconfirmedHoldEnd)
	case Gone:
		co.holderEnded(now, sh)
		return
	}
	if sh.state == stateRaisingFence && c.Fence != sh.fence {
		co.fenceRaiseEnded(now, sh, r)
		return
	}
	co.grantEnded(now, sh, r)
}

// holderEnded records that the holder of sh has ended and holds nothing. Plan assigns the
// keys to another upstream.
func (co *Coordinator) holderEnded(now time.Time, sh *shard) {
	sh.latestHoldEnd, sh.unconfirmedHoldEnd, sh.inherited = time.Time{}, time.Time{}, false
	sh.failures, sh.nextCall = maxGrantFailures, now.Add(co.timing.Retry)
	if sh.next != nil {
		sh.nextCall = now
	}
	if sh.state == stateHeld {
		co.mapChanged = true
	}
	sh.state, sh.everGranted = stateGranting, false
}

func (co *Coordinator) updateReachability(now time.Time, id fleet.UpstreamID, r Result) {
	c := co.reachability[id]
	if r == Done || r == Conflict {
		c = reachability{lastDone: now}
	} else {
		c.failures++
		c.lastFailed = now
	}
	if r == Gone {
		c.lastDone = time.Time{} // unreachable from now on
	}
	co.reachability[id] = c
}

// fenceRaiseEnded continues a move after a grant with a higher fencing token.
func (co *Coordinator) fenceRaiseEnded(now time.Time, sh *shard, r Result) {
	sh.nextCall = now
	if r == Done {
		sh.unconfirmedHoldEnd = time.Time{} // the holder refuses older grants from now on
		sh.state = stateReleasing
		return
	}
	sh.next.raisedFence++
	sh.next.fenceRaises++
}

func (co *Coordinator) releaseEnded(now time.Time, sh *shard, r Result, handover string) {
	if sh.next == nil {
		return
	}
	if r == Gone {
		co.completeMove(now, sh, "")
		return
	}
	if r != Done {
		sh.nextCall = now.Add(co.timing.Retry)
		return
	}
	if now.Before(sh.unconfirmedHoldEnd) {
		// A grant that is still in flight could make the upstream take the keys again.
		sh.latestHoldEnd, sh.nextCall = sh.unconfirmedHoldEnd, sh.unconfirmedHoldEnd
		return
	}
	co.completeMove(now, sh, handover)
}

func (co *Coordinator) grantEnded(now time.Time, sh *shard, r Result) {
	switch r {
	case Done:
		sh.failures = 0
		sh.nextCall = now.Add(co.timing.Renew)
		if sh.next != nil && sh.recorded { // a move waited for this call
			sh.nextCall = now
		}
		sh.handover = ""
		if sh.state == stateGranting {
			sh.state, sh.everGranted = stateHeld, true
			if !sh.movedAt.IsZero() {
				sh.movedAt = now
			}
			co.mapChanged = true
		}
		if !sh.blockedUntil.IsZero() {
			sh.blockedUntil = time.Time{}
			co.markOverstated(now)
		}
	case Conflict:
		// Only leaders issue tokens, so the higher token that the upstream has seen came
		// from another leader.
		sh.refused = true
		sh.failures = maxGrantFailures
		sh.nextCall = now.Add(co.timing.Retry)
	default:
		sh.failures++
		sh.nextCall = now.Add(co.timing.Retry)
	}
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// String returns the name of r in logs and metrics.
func (r Result) String() string {
	return [...]string{"done", "conflict", "not-sent", "no-answer", "gone", "late"}[r]
}
