package dispatch

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// phase is the state of a session.
type phase uint8

const (
	phaseHello      phase = iota // hello not answered: the upstream has not adopted the dispatcher fence
	phaseRevoke                  // units that the upstream no longer owns are being revoked
	phaseRenew                   // waiting for the reply to the first renewal
	phaseActive                  // the lease is granted and renewed
	phaseSuperseded              // the upstream has seen a higher dispatcher fence
)

// session is the state of the control calls to one upstream.
//
// earliestLeaseEnd and latestLeaseEnd bound the end of the upstream's lease on the
// dispatcher's clock. The lease ends at stamp + TTL on the upstream's clock. The
// upstream read the stamp between the sending of the call that returned it and the
// receipt of the reply. An acknowledged renewal therefore lasts at least until
// sent + TTL, and an unacknowledged one, which may have arrived, at most until
// received + TTL.
type session struct {
	phase            phase
	boot             fleet.BootID
	stamp            clockReading
	earliestLeaseEnd time.Time
	latestLeaseEnd   time.Time
	missedCalls      int
	lost             bool // MaxMissedCalls were missed in a row, and no renewal was answered since
	nextKeepalive    time.Time
	keepalive        *pendingCall // pending hello or renewal
	grantCall        *pendingCall
	revokeCall       *pendingCall
	bootKnown        bool
	previousRunning  int // running requests of previous dispatchers, as of the last reply
}

// clockReading is a stamp of the upstream's clock with the times, on the
// dispatcher's clock, between which it was read.
type clockReading struct {
	value          Stamp
	sent, received time.Time
}

// pendingCall is a control call that has not ended.
type pendingCall struct {
	seq   uint64
	sent  time.Time
	call  Call
	stamp clockReading // sent with a renewal
}

// restart returns to the hello phase. It keeps latestLeaseEnd, because a renewal that
// was already sent may still extend the lease.
func (s *session) restart(now time.Time) {
	s.phase, s.missedCalls, s.earliestLeaseEnd, s.nextKeepalive = phaseHello, 0, time.Time{}, now
	s.keepalive, s.grantCall, s.revokeCall = nil, nil, nil
}

// canSend reports whether the session and the takeover from the previous
// dispatcher permit sending requests.
func (u *upstream) canSend(now time.Time) bool {
	if u.retired || u.session.phase != phaseActive || !u.previousExcluded(now) {
		return false
	}
	return !u.duty.Fenced || now.Before(u.session.earliestLeaseEnd)
}

// previousExcluded reports whether the previous dispatcher can no longer start
// requests. A fenced upstream rejects them itself once it has seen the higher
// dispatcher fence.
func (u *upstream) previousExcluded(now time.Time) bool {
	return u.duty.Fenced || (!u.duty.InForceSince.IsZero() && !now.Before(u.duty.InForceSince))
}

func (t *Table) advanceSession(now time.Time, u *upstream) {
	s := &u.session
	if !t.hasAuthority(now) || s.phase == phaseSuperseded {
		return
	}
	if u.duty.Fenced && s.phase == phaseActive && !now.Before(s.earliestLeaseEnd) {
		t.endSession(now, u, "the lease may have expired")
	}
	if s.phase == phaseRevoke {
		t.revokeMoved(now, u)
	}
	if s.keepalive != nil || s.phase == phaseRevoke || now.Before(s.nextKeepalive) {
		return
	}
	s.nextKeepalive = now.Add(t.cfg.RenewInterval)
	if s.phase == phaseHello {
		s.keepalive = t.sendControl(now, u, Call{Kind: Hello, Instance: t.cfg.Instance})
		return
	}
	s.keepalive = t.sendControl(now, u, Call{Kind: Renew, Stamp: s.stamp.value, TTL: t.cfg.LeaseTTL})
	if end := s.stamp.received.Add(t.cfg.LeaseTTL); end.After(s.latestLeaseEnd) {
		s.latestLeaseEnd = end
	}
}

// revokeMoved revokes the units that the upstream no longer owns, before the first
// renewal. Until that renewal, grants of the previous dispatcher end with its lease,
// and that dispatcher may already have reported units as released on that ground.
func (t *Table) revokeMoved(now time.Time, u *upstream) {
	s := &u.session
	if s.revokeCall != nil {
		return
	}
	var grants []fleet.Grant
	if u.duty.Fenced {
		for _, x := range u.sortedUnits {
			if !x.owned && x.state == unitDraining {
				grants = append(grants, x.grant())
			}
		}
	}
	if len(grants) == 0 {
		s.phase, s.nextKeepalive = phaseRenew, now
		return
	}
	s.revokeCall = t.sendControl(now, u, Call{Kind: RevokeUnits, Grants: grants})
}

func (t *Table) sendControl(now time.Time, u *upstream, c Call) *pendingCall {
	t.controlSeq++
	c.DispatcherFence = u.duty.Fence
	t.emit(SendControl{Upstream: u.id, Address: u.duty.Address, Seq: t.controlSeq, Call: c, Timeout: t.cfg.RenewInterval})
	return &pendingCall{seq: t.controlSeq, sent: now, call: c, stamp: u.session.stamp}
}

// ControlDone reports the end of a control call.
func (t *Table) ControlDone(now time.Time, res ControlResult) []Action {
	u := t.upstreams[res.Upstream]
	if u == nil || u.retired {
		return nil
	}
	s := &u.session
	switch {
	case s.keepalive != nil && s.keepalive.seq == res.Seq:
		c := s.keepalive
		s.keepalive = nil
		t.keepaliveDone(now, u, c, res)
	case s.grantCall != nil && s.grantCall.seq == res.Seq:
		c := s.grantCall
		s.grantCall = nil
		t.grantDone(now, u, c, res)
	case s.revokeCall != nil && s.revokeCall.seq == res.Seq:
		c := s.revokeCall
		s.revokeCall = nil
		t.revokeDone(now, u, c, res)
	default:
		return nil // the call belongs to an earlier session
	}
	t.advance(now, u)
	return t.takeActions()
}

func (t *Table) keepaliveDone(now time.Time, u *upstream, c *pendingCall, res ControlResult) {
	s := &u.session
	if res.Refused && u.duty.Fenced {
		t.controlRefused(now, u, res)
		return
	}
	if !res.OK && !res.Refused {
		s.missedCalls++
		if s.missedCalls >= t.cfg.MaxMissedCalls && !s.lost {
			t.endSession(now, u, "no response to "+c.call.Kind.String())
			s.lost = true
			t.emit(CloseConnections{Upstream: u.id, Address: u.duty.Address})
			t.emitEvent(u, "lost", "control calls in a row without a response")
		}
		return
	}
	// An unfenced upstream may not implement control calls and refuse them all. Any
	// response shows that it is reachable.
	s.missedCalls = 0
	if t.updateBoot(now, u, res.Reply.Boot) && c.call.Kind == Renew {
		s.restart(now)
		return
	}
	s.previousRunning = res.Reply.Running
	s.stamp = clockReading{value: res.Reply.Stamp, sent: c.sent, received: now}
	if c.call.Kind == Hello {
		s.phase = phaseRevoke
		return
	}
	s.earliestLeaseEnd = c.stamp.sent.Add(t.cfg.LeaseTTL)
	if s.phase != phaseActive {
		s.phase = phaseActive
		t.emitEvent(u, "up", "boot "+string(s.boot))
	}
	s.lost = false
}

// controlRefused handles a control call that a fenced upstream refused.
func (t *Table) controlRefused(now time.Time, u *upstream, res ControlResult) {
	if res.Reply.Fence > u.duty.Fence {
		u.session.restart(now)
		u.session.phase = phaseSuperseded
		u.invalidateGrants()
		t.emitEvent(u, "superseded", "dispatcher fence "+res.Reply.Fence.String())
		return
	}
	t.endSession(now, u, "control call refused")
}

// endSession returns to the hello phase. Every unit has to be granted again.
func (t *Table) endSession(now time.Time, u *upstream, cause string) {
	missedCalls := u.session.missedCalls
	u.session.restart(now)
	u.session.missedCalls = missedCalls
	u.session.nextKeepalive = now.Add(t.cfg.ControlRetryInterval)
	u.invalidateGrants()
	t.emitEvent(u, "session-ended", cause)
}

// updateBoot records the boot id of a reply and reports whether it is new. A new
// process has no grants and is cold, unless the previous dispatcher reported a
// limit for the same boot id.
func (t *Table) updateBoot(now time.Time, u *upstream, boot fleet.BootID) bool {
	s := &u.session
	if s.bootKnown && s.boot == boot {
		return false
	}
	s.boot, s.bootKnown = boot, true
	u.warmup.resetToCold(now, u.duty.ColdSlots)
	if last := u.duty.LastLimit; boot != "" && last.Boot == boot {
		u.warmup.limit = max(u.warmup.limit, min(last.Limit, u.warmup.slots))
	}
	u.invalidateGrants()
	t.emitEvent(u, "new-boot", string(boot))
	return true
}
