package dispatch

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// driftMargin covers the drift between the clocks of dispatcher and upstream
// over one lease.
const driftMargin = 10 * time.Millisecond

// ghost is an attempt that ended without a response and may still run.
type ghost struct {
	unit      fleet.Unit
	key       fleet.RoutingKey
	slotUntil time.Time // the upstream has noticed the closed connection
	runsUntil time.Time // the deadline has passed on every clock
}

// sendRevocations revokes units that have no open attempts.
func (t *Table) sendRevocations(now time.Time, u *upstream) {
	// A grant on its way could overtake the revocation.
	if u.session.revoking != nil || u.session.granting != nil || now.Before(u.nextRevoke) {
		return
	}
	var grants []fleet.Grant
	for _, x := range u.list {
		due := x.state == unitDraining || (x.state == unitCleared && u.confirmed(now))
		if len(grants) < maxGrants && !x.mine && due && u.openFor(x) == 0 && (x.own.Unit.Pin == "" || u.shardsSettled()) {
			grants = append(grants, x.revocation())
			x.state = unitRevoking
		}
	}
	if len(grants) > 0 {
		u.session.revoking = t.control(now, u, Call{Kind: RevokeUnits, Grants: grants})
	}
}

// shardsSettled reports whether no shard is held under an older fence. A pin takes
// its key out of a shard and gives the shard a new fence. Until that is granted,
// a delayed request for the key could still start under the old one.
func (u *upstream) shardsSettled() bool {
	for _, x := range u.list {
		if x.own.Unit.Pin != "" || x.held == 0 || x.state == unitReleased {
			continue
		}
		if !x.mine || x.state != unitGranted || x.held != x.own.Fence {
			return false
		}
	}
	return true
}

// confirmed reports whether the previous dispatcher had no authority any more.
// Until then a revocation is no release: an upstream that restarts forgets the
// dispatcher fence, and the previous dispatcher could grant the unit again.
func (u *upstream) confirmed(at time.Time) bool {
	return !u.duty.Taken.IsZero() && !at.Before(u.duty.Taken)
}

func (t *Table) revokeDone(now time.Time, u *upstream, c *call, res ControlResult) {
	for _, g := range c.call.Grants {
		x := u.units[g.Unit]
		if x == nil || x.mine || x.state == unitReleased {
			continue
		}
		switch {
		case !res.OK || x.own.Fence != g.Fence:
			x.state = unitDraining
		case u.confirmed(c.sent):
			t.release(u, x, "revoked")
		default:
			x.state = unitCleared
		}
	}
	if !res.OK {
		u.nextRevoke = now.Add(t.cfg.AskEvery)
	}
	switch {
	case res.Refused:
		t.refused(now, u, res)
	case u.session.phase == phaseClear && !res.OK:
		t.lose(now, u, "no response to revoke")
	}
	u.forgetGone()
}

// expireReleases releases units that can no longer have an effect although the
// upstream has confirmed nothing.
func (t *Table) expireReleases(now time.Time, u *upstream) {
	for _, x := range u.list {
		if x.mine || x.state == unitReleased {
			continue
		}
		switch {
		case u.duty.Fenced && t.leaseOver(now, u):
			t.release(u, x, "lease ended")
		case !u.duty.Fenced && t.quiet(now, u, x):
			t.release(u, x, "no request outstanding")
		}
	}
	u.forgetGone()
}

// leaseOver reports whether the lease of an upstream that does not answer must
// have ended. A previous dispatcher may have renewed it until this one's
// assignment was in force.
func (t *Table) leaseOver(now time.Time, u *upstream) bool {
	s := &u.session
	if s.phase != phaseHello || u.duty.Taken.IsZero() {
		return false
	}
	end := u.duty.Taken.Add(t.cfg.LeaseTTL)
	if s.leaseMax.After(end) {
		end = s.leaseMax
	}
	return now.After(end.Add(driftMargin))
}

// quiet reports whether no request for the unit can still run at an unfenced
// upstream: neither an own one nor one of a previous dispatcher.
func (t *Table) quiet(now time.Time, u *upstream, x *unit) bool {
	if u.duty.Taken.IsZero() {
		return false
	}
	longest := u.duty.Timeout
	if longest <= 0 {
		longest = t.cfg.LongestDeadline
	}
	if now.Before(u.duty.Taken.Add(longest + t.cfg.ClockSkew)) {
		return false
	}
	for _, a := range u.open {
		if u.concerns(x, a.unit, a.request.Key) && !now.After(a.request.Deadline.Add(t.cfg.ClockSkew)) {
			return false
		}
	}
	for _, g := range u.ghosts {
		if u.concerns(x, g.unit, g.key) && !now.After(g.runsUntil) {
			return false
		}
	}
	return true
}

func (t *Table) release(u *upstream, x *unit, why string) {
	x.state = unitReleased
	t.event(u, "released", x.own.Unit.String()+": "+why)
}

// Released answers another dispatcher: is every grant of the unit at the
// upstream with a lower fence released?
func (t *Table) Released(now time.Time, up fleet.UpstreamID, grants []fleet.Grant) []bool {
	out := make([]bool, len(grants))
	u := t.ups[up]
	if u == nil || u.retired {
		return out
	}
	t.expireReleases(now, u)
	for i, g := range grants {
		out[i] = u.hasReleased(g)
	}
	return out
}

// hasReleased needs an assignment that names the asker's fence or a later one.
// An older assignment says nothing about grants that another dispatcher of the
// upstream made since.
func (u *upstream) hasReleased(g fleet.Grant) bool {
	x := u.units[g.Unit]
	return x != nil && !x.mine && x.state == unitReleased && x.own.Fence >= g.Fence
}
