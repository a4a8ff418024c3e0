package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// unitState is how far the grant or the release of a unit at an upstream has advanced.
type unitState uint8

const (
	unitAwaitingRelease unitState = iota // previous owners have not released the unit
	unitUngranted                        // no grant sent
	unitGranting
	unitGranted
	unitDraining // no longer owned; not revoked yet, attempts may be open
	unitRevoking
	unitRevokedUnconfirmed // revoked while the previous dispatcher might still have had authority
	unitReleased
)

// maxGrants is the largest number of units in one control call. It keeps the call
// well within its timeout.
const maxGrants = 512

// unit is the state of a unit at one upstream.
type unit struct {
	own          assignment.Ownership // as in the present assignment
	owned        bool                 // the upstream is the owner
	unassigned   bool                 // the assignment no longer names the upstream
	state        unitState
	grantedFence fleet.Fence // fence of the last grant; 0: never granted
	releasedBy   map[fleet.UpstreamID]bool
	waiting      []*request
}

// grant returns the unit with its present fence. A revoke call with it revokes all
// grants of the unit up to that fence.
func (x *unit) grant() fleet.Grant { return fleet.Grant{Unit: x.own.Unit, Fence: x.own.Fence} }

func (t *Table) assignUnits(u *upstream) {
	named := make(map[fleet.Unit]bool, len(u.duty.Units))
	for _, own := range u.duty.Units {
		named[own.Unit] = true
		t.assignUnit(u, own)
	}
	for _, x := range u.sortedUnits {
		if !named[x.own.Unit] {
			x.unassigned = true
			t.startRelease(u, x)
		}
	}
	u.removeReleased()
}

func (t *Table) assignUnit(u *upstream, own assignment.Ownership) {
	owned := own.Owner == u.id
	x := u.units[own.Unit]
	if x == nil {
		x = &unit{state: unitDraining}
		u.insertUnit(x, own)
		t.refusePinned(u, own.Unit)
	}
	changed := x.own.Fence != own.Fence || x.owned != owned || x.unassigned
	x.own, x.unassigned = own, false
	if !owned {
		t.startRelease(u, x)
		return
	}
	x.owned = true
	if changed {
		u.moveToUnit(x)
		x.state, x.releasedBy = unitAwaitingRelease, make(map[fleet.UpstreamID]bool)
	}
}

// refusePinned refuses requests for a newly pinned key that are queued under its
// shard. The instance that routed them sends them to the owner of the pin.
func (t *Table) refusePinned(u *upstream, pin fleet.Unit) {
	if pin.Pin == "" {
		return
	}
	for _, r := range u.waitingRequests() {
		if r.Key == pin.Pin && r.Unit.Service == pin.Service && r.Unit != pin {
			t.refuseWaiting(u, r, fleet.ReasonNoOwner, "the key "+pin.String()+" moved out of its shard")
		}
	}
}

func (u *upstream) insertUnit(x *unit, own assignment.Ownership) {
	u.units[own.Unit] = x
	at, _ := slices.BinarySearchFunc(u.sortedUnits, own.Unit, func(y *unit, id fleet.Unit) int {
		return compareUnits(y.own.Unit, id)
	})
	x.own.Unit = own.Unit
	u.sortedUnits = slices.Insert(u.sortedUnits, at, x)
}

func compareUnits(a, b fleet.Unit) int {
	if c := strings.Compare(string(a.Service), string(b.Service)); c != 0 {
		return c
	}
	if a.Shard != b.Shard {
		return int(int64(a.Shard) - int64(b.Shard))
	}
	return strings.Compare(string(a.Pin), string(b.Pin))
}

// startRelease starts the release of a unit that the upstream no longer owns, and
// refuses the requests that wait for it. The instance that routed them sends them to
// the new owner.
func (t *Table) startRelease(u *upstream, x *unit) {
	t.refuseUnit(u, x, fleet.ReasonNoOwner, "the unit "+x.own.Unit.String()+" moved to another upstream")
	u.unitLoads.remove(x.own.Unit)
	if x.owned {
		x.owned, x.state = false, unitDraining
	}
}

func (u *upstream) removeReleased() {
	u.sortedUnits = slices.DeleteFunc(u.sortedUnits, func(x *unit) bool {
		drop := x.unassigned && x.state == unitReleased && u.attemptsUnder(x) == 0
		if drop {
			delete(u.units, x.own.Unit)
		}
		return drop
	})
}

// invalidateGrants resets the state of the units after the upstream may have lost
// its grants: owned units are granted again, others revoked again.
func (u *upstream) invalidateGrants() {
	for _, x := range u.sortedUnits {
		switch x.state {
		case unitGranting, unitGranted:
			x.state = unitUngranted
			u.moveToUnit(x)
		case unitRevoking, unitRevokedUnconfirmed:
			x.state = unitDraining
		default:
		}
	}
}

func (t *Table) advanceUnits(now time.Time, u *upstream) {
	t.releaseExpired(now, u)
	if !t.hasAuthority(now) {
		return
	}
	t.queryPrevious(now, u)
	if !u.canSend(now) {
		return
	}
	if u.duty.Fenced {
		t.sendGrants(now, u)
		t.sendRevocations(now, u)
		return
	}
	for _, x := range u.sortedUnits {
		if x.grantable(u) {
			t.markGranted(u, x)
		}
	}
}

// grantable reports whether a grant may be sent. Attempts under an older fence have
// to end first, since the upstream would refuse them after the grant.
func (x *unit) grantable(u *upstream) bool {
	return x.owned && x.state == unitUngranted &&
		(x.grantedFence == x.own.Fence || u.attemptsUnder(x) == 0)
}

// queryPrevious asks the dispatchers of previous owners whether they have released
// the units. For upstreams of the same table it looks up the answer.
func (t *Table) queryPrevious(now time.Time, u *upstream) {
	if now.Before(u.nextReleaseQuery) {
		return
	}
	var queries []AskReleased
	for _, x := range u.sortedUnits {
		if !x.owned || x.state != unitAwaitingRelease {
			continue
		}
		g := fleet.Grant{Unit: x.own.Unit, Fence: x.own.Fence}
		for _, prev := range x.own.Previous {
			if prev == u.id || x.releasedBy[prev] {
				continue
			}
			if p := t.upstreams[prev]; p != nil && !p.retired {
				x.releasedBy[prev] = p.hasReleased(g)
				continue
			}
			i := slices.IndexFunc(queries, func(a AskReleased) bool { return a.Previous == prev })
			if i < 0 {
				i = len(queries)
				queries = append(queries, AskReleased{Upstream: u.id, Previous: prev})
			}
			queries[i].Grants = append(queries[i].Grants, g)
		}
		x.endWaitIfReleased(u)
	}
	for _, a := range queries {
		t.emit(a)
	}
	if len(queries) > 0 {
		u.nextReleaseQuery = now.Add(t.cfg.ControlRetryInterval)
	}
}

// endWaitIfReleased makes the unit ready to be granted if all previous owners have
// released it.
func (x *unit) endWaitIfReleased(u *upstream) {
	if x.state != unitAwaitingRelease || !x.owned {
		return
	}
	for _, prev := range x.own.Previous {
		if prev != u.id && !x.releasedBy[prev] {
			return
		}
	}
	x.state = unitUngranted
}

// PreviousReleased reports the answer to AskReleased: at the upstream previous, all
// grants of the units with lower fences than in grants are released.
func (t *Table) PreviousReleased(now time.Time, up fleet.UpstreamID, grants []fleet.Grant, previous fleet.UpstreamID) []Action {
	u := t.upstreams[up]
	if u == nil || u.retired {
		return nil
	}
	for _, g := range grants {
		// An answer to a query with an older fence does not cover grants between
		// that fence and the present one.
		if x := u.units[g.Unit]; x != nil && x.owned && x.own.Fence == g.Fence {
			x.releasedBy[previous] = true
			x.endWaitIfReleased(u)
		}
	}
	t.advance(now, u)
	return t.takeActions()
}

func (t *Table) sendGrants(now time.Time, u *upstream) {
	if u.session.grantCall != nil || now.Before(u.nextGrant) {
		return
	}
	var grants []fleet.Grant
	for _, x := range u.sortedUnits {
		if len(grants) < maxGrants && x.grantable(u) {
			grants = append(grants, fleet.Grant{Unit: x.own.Unit, Fence: x.own.Fence})
			x.state = unitGranting
		}
	}
	if len(grants) > 0 {
		u.session.grantCall = t.sendControl(now, u, Call{Kind: GrantUnits, Grants: grants})
	}
}

func (t *Table) grantDone(now time.Time, u *upstream, c *pendingCall, res ControlResult) {
	for _, g := range c.call.Grants {
		x := u.units[g.Unit]
		if x == nil || x.state != unitGranting || x.own.Fence != g.Fence {
			continue
		}
		if res.OK {
			t.markGranted(u, x)
		} else {
			x.state = unitUngranted
		}
	}
	if !res.OK {
		u.nextGrant = now.Add(t.cfg.ControlRetryInterval)
	}
	if res.Refused {
		t.controlRefused(now, u, res)
	}
}

func (t *Table) markGranted(u *upstream, x *unit) {
	x.state, x.grantedFence = unitGranted, x.own.Fence
	for _, r := range x.waiting {
		u.queue.push(r)
	}
	x.waiting = nil
	if len(x.own.Previous) > 0 {
		t.emitEvent(u, "granted", x.own.Unit.String()+" fence "+x.own.Fence.String())
	}
}
