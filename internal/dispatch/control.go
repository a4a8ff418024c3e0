package dispatch

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

type phase uint8

const (
	phaseHello      phase = iota // the dispatcher fence is not adopted
	phaseClear                   // what the upstream no longer owns is being revoked
	phaseRenew                   // the first renewal has not been answered
	phaseUp                      // renewals are answered
	phaseSuperseded              // the upstream has seen a higher dispatcher fence
)

// session is the control relation to an upstream.
//
// leaseMin and leaseMax bound the end of the upstream's lease on the
// dispatcher's clock. The lease ends at stamp + TTL. The stamp was read between
// the sending and the receipt of the call that returned it, so an acknowledged
// renewal lasts at least until sent + TTL, and a renewal that may have arrived
// lasts at most until received + TTL.
type session struct {
	phase     phase
	boot      fleet.BootID
	stamp     stamp
	leaseMin  time.Time
	leaseMax  time.Time
	misses    int
	lost      bool
	nextBeat  time.Time
	beat      *call // hello or renewal without an end yet
	granting  *call
	revoking  *call
	everKnown bool // the boot id has been seen
	foreign   int  // requests of previous dispatchers that still run, as of the last reply
}

type stamp struct {
	value          Stamp
	sent, received time.Time
}

type call struct {
	seq   uint64
	sent  time.Time
	call  Call
	stamp stamp // that a renewal carries
}

// restart begins with a hello again. leaseMax stays: a renewal that was sent
// before may still be valid.
func (s *session) restart(now time.Time) {
	s.phase, s.misses, s.leaseMin, s.nextBeat = phaseHello, 0, time.Time{}, now
	s.beat, s.granting, s.revoking = nil, nil, nil
}

// serves reports whether requests may be sent as far as the session decides.
func (u *upstream) serves(now time.Time) bool {
	if u.retired || u.session.phase != phaseUp || !u.taken(now) {
		return false
	}
	return !u.duty.Fenced || now.Before(u.session.leaseMin)
}

// taken reports whether the previous dispatcher can be ruled out. A fenced
// upstream rules it out itself once it has seen the higher fence.
func (u *upstream) taken(now time.Time) bool {
	return u.duty.Fenced || (!u.duty.Taken.IsZero() && !now.Before(u.duty.Taken))
}

func (t *Table) advanceSession(now time.Time, u *upstream) {
	s := &u.session
	if !t.holds(now) || s.phase == phaseSuperseded {
		return
	}
	if u.duty.Fenced && s.phase == phaseUp && !now.Before(s.leaseMin) {
		t.lose(now, u, "the lease may have expired")
	}
	if s.phase == phaseClear {
		t.clearMoved(now, u)
	}
	if s.beat != nil || s.phase == phaseClear || now.Before(s.nextBeat) {
		return
	}
	s.nextBeat = now.Add(t.cfg.RenewEvery)
	if s.phase == phaseHello {
		s.beat = t.control(now, u, Call{Kind: Hello, Instance: t.cfg.Instance})
		return
	}
	s.beat = t.control(now, u, Call{Kind: Renew, Stamp: s.stamp.value, TTL: t.cfg.LeaseTTL})
	if end := s.stamp.received.Add(t.cfg.LeaseTTL); end.After(s.leaseMax) {
		s.leaseMax = end
	}
}

// clearMoved revokes what the upstream no longer owns before the first renewal.
// Until then the lease of the previous dispatcher bounds what can still run, and
// that dispatcher may already have counted the lease as ended.
func (t *Table) clearMoved(now time.Time, u *upstream) {
	s := &u.session
	if s.revoking != nil {
		return
	}
	var grants []fleet.Grant
	if u.duty.Fenced {
		for _, x := range u.list {
			if !x.mine && x.state == unitDraining {
				grants = append(grants, x.revocation())
			}
		}
	}
	if len(grants) == 0 {
		s.phase, s.nextBeat = phaseRenew, now
		return
	}
	s.revoking = t.control(now, u, Call{Kind: RevokeUnits, Grants: grants})
}

func (t *Table) control(now time.Time, u *upstream, c Call) *call {
	t.seq++
	c.DispatcherFence = u.duty.Fence
	t.emit(SendControl{Upstream: u.id, Address: u.duty.Address, Seq: t.seq, Call: c, Timeout: t.cfg.RenewEvery})
	return &call{seq: t.seq, sent: now, call: c, stamp: u.session.stamp}
}

// ControlDone reports the end of a control call.
func (t *Table) ControlDone(now time.Time, res ControlResult) []Action {
	u := t.ups[res.Upstream]
	if u == nil || u.retired {
		return nil
	}
	s := &u.session
	switch {
	case s.beat != nil && s.beat.seq == res.Seq:
		c := s.beat
		s.beat = nil
		t.beatDone(now, u, c, res)
	case s.granting != nil && s.granting.seq == res.Seq:
		c := s.granting
		s.granting = nil
		t.grantDone(now, u, c, res)
	case s.revoking != nil && s.revoking.seq == res.Seq:
		c := s.revoking
		s.revoking = nil
		t.revokeDone(now, u, c, res)
	default:
		return nil // of an earlier session
	}
	t.advance(now, u)
	return t.take()
}

func (t *Table) beatDone(now time.Time, u *upstream, c *call, res ControlResult) {
	s := &u.session
	if res.Refused && u.duty.Fenced {
		t.refused(now, u, res)
		return
	}
	if !res.OK && !res.Refused {
		s.misses++
		if s.misses >= t.cfg.Misses && !s.lost {
			t.lose(now, u, "no response to "+c.call.Kind.String())
			s.lost = true
			t.emit(CloseConnections{Upstream: u.id, Address: u.duty.Address})
			t.event(u, "lost", "control calls in a row without a response")
		}
		return
	}
	// An unfenced upstream may know no control calls; an answer shows that it is alive.
	s.misses = 0
	if t.rebooted(now, u, res.Reply.Boot) && c.call.Kind == Renew {
		s.restart(now)
		return
	}
	s.foreign = res.Reply.Running
	s.stamp = stamp{value: res.Reply.Stamp, sent: c.sent, received: now}
	if c.call.Kind == Hello {
		s.phase = phaseClear
		return
	}
	s.leaseMin = c.stamp.sent.Add(t.cfg.LeaseTTL)
	if s.phase != phaseUp {
		s.phase = phaseUp
		t.event(u, "up", "boot "+string(s.boot))
	}
	s.lost = false
}

// refused handles a control call that a fenced upstream did not accept.
func (t *Table) refused(now time.Time, u *upstream, res ControlResult) {
	if res.Reply.Fence > u.duty.Fence {
		u.session.restart(now)
		u.session.phase = phaseSuperseded
		u.voidGrants()
		t.event(u, "superseded", "dispatcher fence "+res.Reply.Fence.String())
		return
	}
	t.lose(now, u, "control call refused")
}

// lose goes back to the hello; every unit has to be granted again.
func (t *Table) lose(now time.Time, u *upstream, why string) {
	misses := u.session.misses
	u.session.restart(now)
	u.session.misses = misses
	u.session.nextBeat = now.Add(t.cfg.AskEvery)
	u.voidGrants()
	t.event(u, "session-ended", why)
}

// rebooted notes the boot id. A new process holds no grants and is cold.
func (t *Table) rebooted(now time.Time, u *upstream, boot fleet.BootID) bool {
	s := &u.session
	if s.everKnown && s.boot == boot {
		return false
	}
	s.boot, s.everKnown = boot, true
	u.warming.cool(now, u.duty.ColdSlots)
	if last := u.duty.Last; boot != "" && last.Boot == boot {
		u.warming.limit = max(u.warming.limit, min(last.Limit, u.warming.slots))
	}
	u.voidGrants()
	t.event(u, "new-boot", string(boot))
	return true
}
