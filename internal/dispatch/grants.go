package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

type unitState uint8

const (
	unitWaiting   unitState = iota // previous owners have not released
	unitUngranted                  // to be granted
	unitGranting
	unitGranted
	unitDraining // not owned any more; attempts are open
	unitRevoking
	unitCleared // revoked before the previous dispatcher could be ruled out
	unitReleased
)

// maxGrants bounds the units of one control call, so that the call fits well
// within its timeout.
const maxGrants = 512

// unit is the state of a unit at one upstream.
type unit struct {
	own      assignment.Ownership
	mine     bool // the upstream is the owner
	gone     bool // the assignment does not name the upstream any more
	state    unitState
	held     fleet.Fence // last granted fence
	released map[fleet.UpstreamID]bool
	waiting  []*request
}

// revocation names every grant that the upstream may hold of the unit.
func (x *unit) revocation() fleet.Grant { return fleet.Grant{Unit: x.own.Unit, Fence: x.own.Fence} }

func (t *Table) assignUnits(u *upstream) {
	named := make(map[fleet.Unit]bool, len(u.duty.Units))
	for _, own := range u.duty.Units {
		named[own.Unit] = true
		t.assignUnit(u, own)
	}
	for _, x := range u.list {
		if !named[x.own.Unit] {
			x.gone = true
			t.disown(u, x)
		}
	}
	u.forgetGone()
}

func (t *Table) assignUnit(u *upstream, own assignment.Ownership) {
	mine := own.Owner == u.id
	x := u.units[own.Unit]
	if x == nil {
		x = &unit{state: unitDraining}
		u.add(x, own)
		t.refusePinned(u, own.Unit)
	}
	changed := x.own.Fence != own.Fence || x.mine != mine || x.gone
	x.own, x.gone = own, false
	if !mine {
		t.disown(u, x)
		return
	}
	x.mine = true
	if changed {
		u.unqueue(x)
		x.state, x.released = unitWaiting, make(map[fleet.UpstreamID]bool)
	}
}

// refusePinned refuses requests for a newly pinned key that wait under its shard;
// their instance sends them to the owner of the pin.
func (t *Table) refusePinned(u *upstream, pin fleet.Unit) {
	if pin.Pin == "" {
		return
	}
	for _, r := range u.waiting() {
		if r.Key == pin.Pin && r.Unit.Service == pin.Service && r.Unit != pin {
			t.drop(u, r, fleet.ReasonNoOwner, "the key "+pin.String()+" moved out of its shard")
		}
	}
}

func (u *upstream) add(x *unit, own assignment.Ownership) {
	u.units[own.Unit] = x
	at, _ := slices.BinarySearchFunc(u.list, own.Unit, func(y *unit, id fleet.Unit) int {
		return compareUnits(y.own.Unit, id)
	})
	x.own.Unit = own.Unit
	u.list = slices.Insert(u.list, at, x)
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

// disown starts the release of a unit. Requests that wait for it are refused;
// their instance sends them to the new owner.
func (t *Table) disown(u *upstream, x *unit) {
	t.refuseUnit(u, x, fleet.ReasonNoOwner, "the unit "+x.own.Unit.String()+" moved to another upstream")
	u.loads.forget(x.own.Unit)
	if x.mine {
		x.mine, x.state = false, unitDraining
	}
}

func (u *upstream) forgetGone() {
	u.list = slices.DeleteFunc(u.list, func(x *unit) bool {
		drop := x.gone && x.state == unitReleased && u.openIn(x) == 0
		if drop {
			delete(u.units, x.own.Unit)
		}
		return drop
	})
}

// voidGrants notes that the upstream may hold none of its grants any more.
func (u *upstream) voidGrants() {
	for _, x := range u.list {
		switch x.state {
		case unitGranting, unitGranted:
			x.state = unitUngranted
			u.unqueue(x)
		case unitRevoking, unitCleared:
			x.state = unitDraining
		default:
		}
	}
}

func (t *Table) advanceUnits(now time.Time, u *upstream) {
	t.expireReleases(now, u)
	if !t.holds(now) {
		return
	}
	t.askPrevious(now, u)
	if !u.serves(now) {
		return
	}
	if u.duty.Fenced {
		t.sendGrants(now, u)
		t.sendRevocations(now, u)
		return
	}
	for _, x := range u.list {
		if x.grantable(u) {
			t.granted(u, x)
		}
	}
}

// grantable reports whether a grant may be sent. Attempts under an older fence
// end first, since the upstream would refuse them after the grant.
func (x *unit) grantable(u *upstream) bool {
	return x.mine && x.state == unitUngranted &&
		(x.held == x.own.Fence || u.openIn(x) == 0)
}

// askPrevious asks the dispatchers of previous owners for releases. Upstreams of
// the same table answer at once.
func (t *Table) askPrevious(now time.Time, u *upstream) {
	if now.Before(u.nextAsk) {
		return
	}
	var asks []AskReleased
	for _, x := range u.list {
		if !x.mine || x.state != unitWaiting {
			continue
		}
		g := fleet.Grant{Unit: x.own.Unit, Fence: x.own.Fence}
		for _, prev := range x.own.Previous {
			if prev == u.id || x.released[prev] {
				continue
			}
			if p := t.ups[prev]; p != nil && !p.retired {
				x.released[prev] = p.hasReleased(g)
				continue
			}
			i := slices.IndexFunc(asks, func(a AskReleased) bool { return a.Previous == prev })
			if i < 0 {
				i = len(asks)
				asks = append(asks, AskReleased{Upstream: u.id, Previous: prev})
			}
			asks[i].Grants = append(asks[i].Grants, g)
		}
		x.endWait(u)
	}
	for _, a := range asks {
		t.emit(a)
	}
	if len(asks) > 0 {
		u.nextAsk = now.Add(t.cfg.AskEvery)
	}
}

// endWait ends the wait for previous owners if all of them have released.
func (x *unit) endWait(u *upstream) {
	if x.state != unitWaiting || !x.mine {
		return
	}
	for _, prev := range x.own.Previous {
		if prev != u.id && !x.released[prev] {
			return
		}
	}
	x.state = unitUngranted
}

// PreviousReleased reports that the dispatcher of previous has released all
// older grants of the units there.
func (t *Table) PreviousReleased(now time.Time, up fleet.UpstreamID, grants []fleet.Grant, previous fleet.UpstreamID) []Action {
	u := t.ups[up]
	if u == nil || u.retired {
		return nil
	}
	for _, g := range grants {
		// An answer to a question under an older fence says nothing about grants
		// between that fence and the present one.
		if x := u.units[g.Unit]; x != nil && x.mine && x.own.Fence == g.Fence {
			x.released[previous] = true
			x.endWait(u)
		}
	}
	t.advance(now, u)
	return t.take()
}

func (t *Table) sendGrants(now time.Time, u *upstream) {
	if u.session.granting != nil || now.Before(u.nextGrant) {
		return
	}
	var grants []fleet.Grant
	for _, x := range u.list {
		if len(grants) < maxGrants && x.grantable(u) {
			grants = append(grants, fleet.Grant{Unit: x.own.Unit, Fence: x.own.Fence})
			x.state = unitGranting
		}
	}
	if len(grants) > 0 {
		u.session.granting = t.control(now, u, Call{Kind: GrantUnits, Grants: grants})
	}
}

func (t *Table) grantDone(now time.Time, u *upstream, c *call, res ControlResult) {
	for _, g := range c.call.Grants {
		x := u.units[g.Unit]
		if x == nil || x.state != unitGranting || x.own.Fence != g.Fence {
			continue
		}
		if res.OK {
			t.granted(u, x)
		} else {
			x.state = unitUngranted
		}
	}
	if !res.OK {
		u.nextGrant = now.Add(t.cfg.AskEvery)
	}
	if res.Refused {
		t.refused(now, u, res)
	}
}

func (t *Table) granted(u *upstream, x *unit) {
	x.state, x.held = unitGranted, x.own.Fence
	for _, r := range x.waiting {
		u.queue.push(r)
	}
	x.waiting = nil
	if len(x.own.Previous) > 0 {
		t.event(u, "granted", x.own.Unit.String()+" fence "+x.own.Fence.String())
	}
}
