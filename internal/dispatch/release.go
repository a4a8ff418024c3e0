package dispatch

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// clockDriftMargin covers the drift between the clocks of dispatcher and upstream
// over one lease.
const clockDriftMargin = 10 * time.Millisecond

// lingeringAttempt is an attempt that ended without a response and may still run at
// the upstream.
type lingeringAttempt struct {
	unit      fleet.Unit
	key       fleet.RoutingKey
	slotUntil time.Time // when the upstream has detected the closed connection and freed the slot
	runsUntil time.Time // when the deadline has passed on every clock
}

// sendRevocations revokes units that have no open attempts.
func (t *Table) sendRevocations(now time.Time, u *upstream) {
	// A grant call that is still in transit could arrive after the revocation.
	if u.session.revokeCall != nil || u.session.grantCall != nil || now.Before(u.nextRevoke) {
		return
	}
	var grants []fleet.Grant
	for _, x := range u.sortedUnits {
		due := x.state == unitDraining || (x.state == unitRevokedUnconfirmed && u.takeoverInForce(now))
		if len(grants) < maxGrants && !x.owned && due && u.attemptsForKeysOf(x) == 0 && (x.own.Unit.Pin == "" || u.shardFencesCurrent()) {
			grants = append(grants, x.grant())
			x.state = unitRevoking
		}
	}
	if len(grants) > 0 {
		u.session.revokeCall = t.sendControl(now, u, Call{Kind: RevokeUnits, Grants: grants})
	}
}

// shardFencesCurrent reports whether every shard is granted under its present fence
// or released. A pin takes its key out of a shard, and the shard gets a new fence.
// Until the shard is granted under it, a delayed request for the key could still
// start under the old fence.
func (u *upstream) shardFencesCurrent() bool {
	for _, x := range u.sortedUnits {
		if x.own.Unit.Pin != "" || x.grantedFence == 0 || x.state == unitReleased {
			continue
		}
		if !x.owned || x.state != unitGranted || x.grantedFence != x.own.Fence {
			return false
		}
	}
	return true
}

// takeoverInForce reports whether the previous dispatcher had lost its authority by
// the given time. A revocation sent earlier does not release the unit: an upstream
// that restarts forgets the dispatcher fence, and the previous dispatcher could
// grant the unit again.
func (u *upstream) takeoverInForce(at time.Time) bool {
	return !u.duty.InForceSince.IsZero() && !at.Before(u.duty.InForceSince)
}

func (t *Table) revokeDone(now time.Time, u *upstream, c *pendingCall, res ControlResult) {
	for _, g := range c.call.Grants {
		x := u.units[g.Unit]
		if x == nil || x.owned || x.state == unitReleased {
			continue
		}
		switch {
		case !res.OK || x.own.Fence != g.Fence:
			x.state = unitDraining
		case u.takeoverInForce(c.sent):
			t.markReleased(u, x, "revoked")
		default:
			x.state = unitRevokedUnconfirmed
		}
	}
	if !res.OK {
		u.nextRevoke = now.Add(t.cfg.ControlRetryInterval)
	}
	switch {
	case res.Refused:
		t.controlRefused(now, u, res)
	case u.session.phase == phaseRevoke && !res.OK:
		t.endSession(now, u, "no response to revoke")
	}
	u.removeReleased()
}

// releaseExpired releases units without a confirmation from the upstream once no
// request for them can take effect there any more.
func (t *Table) releaseExpired(now time.Time, u *upstream) {
	for _, x := range u.sortedUnits {
		if x.owned || x.state == unitReleased {
			continue
		}
		switch {
		case u.duty.Fenced && t.leaseExpired(now, u):
			t.markReleased(u, x, "lease ended")
		case !u.duty.Fenced && t.noRequestRunning(now, u, x):
			t.markReleased(u, x, "no request outstanding")
		}
	}
	u.removeReleased()
}

// leaseExpired reports whether the lease of an upstream without a session must have
// expired. A previous dispatcher may have renewed it until the assignment to this
// dispatcher came into force.
func (t *Table) leaseExpired(now time.Time, u *upstream) bool {
	s := &u.session
	if s.phase != phaseHello || u.duty.InForceSince.IsZero() {
		return false
	}
	end := u.duty.InForceSince.Add(t.cfg.LeaseTTL)
	if s.latestLeaseEnd.After(end) {
		end = s.latestLeaseEnd
	}
	return now.After(end.Add(clockDriftMargin))
}

// noRequestRunning reports whether no request for the unit can still run at an
// unfenced upstream, whether sent by this dispatcher or by a previous one.
func (t *Table) noRequestRunning(now time.Time, u *upstream, x *unit) bool {
	if u.duty.InForceSince.IsZero() {
		return false
	}
	maxTimeout := u.duty.Timeout
	if maxTimeout <= 0 {
		maxTimeout = t.cfg.MaxRequestTimeout
	}
	if now.Before(u.duty.InForceSince.Add(maxTimeout + t.cfg.ClockSkew)) {
		return false
	}
	for _, a := range u.openAttempts {
		if u.includesKey(x, a.unit, a.request.Key) && !now.After(a.request.Deadline.Add(t.cfg.ClockSkew)) {
			return false
		}
	}
	for _, g := range u.lingering {
		if u.includesKey(x, g.unit, g.key) && !now.After(g.runsUntil) {
			return false
		}
	}
	return true
}

func (t *Table) markReleased(u *upstream, x *unit, cause string) {
	x.state = unitReleased
	t.emitEvent(u, "released", x.own.Unit.String()+": "+cause)
}

// Released answers a release query of another dispatcher. For each grant it returns
// whether all grants of that unit at the upstream with a lower fence are released.
func (t *Table) Released(now time.Time, up fleet.UpstreamID, grants []fleet.Grant) []bool {
	out := make([]bool, len(grants))
	u := t.upstreams[up]
	if u == nil || u.retired {
		return out
	}
	t.releaseExpired(now, u)
	for i, g := range grants {
		out[i] = u.hasReleased(g)
	}
	return out
}

// hasReleased reports whether the unit is released for a new grant g. This table's
// assignment must give the unit the fence of g or a later one: an older assignment
// does not cover grants that another dispatcher of the upstream made since.
func (u *upstream) hasReleased(g fleet.Grant) bool {
	x := u.units[g.Unit]
	return x != nil && !x.owned && x.state == unitReleased && x.own.Fence >= g.Fence
}
