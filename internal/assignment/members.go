package assignment

import (
	"maps"
	"slices"
	"strings"

	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

func sortedKeys[K ~string, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// changeMembers changes the member list, at most once per learned assignment,
// and the draining instances. A list change keeps the list before it, and the
// kept list is dropped once majorities of both have learned the change. Without
// it, an instance that was told only the old list could find a majority there
// that knows nothing of a change in force.
//
// An instance that returns under another boot id is replaced, and its old run is
// left out of the kept list: what that run learned is forgotten, and a majority
// of the live members is a majority of the list without it, too.
func (p *plan) changeMembers() {
	if p.in.Learned || len(p.next.Members) == 0 { // without members nobody has to learn
		restarted := map[fleet.InstanceID]bool{}
		members, previous := p.memberLists(restarted)
		switch {
		case !slices.Equal(members, p.next.Members):
			p.restarted = restarted
			p.next.Members, p.next.PreviousMembers = members, previous
			p.changed = true
		case len(p.next.PreviousMembers) > 0:
			p.next.PreviousMembers = nil
			p.changed = true
		}
	}
	if draining := p.draining(); !slices.Equal(draining, p.next.Draining) {
		p.next.Draining = draining
		p.changed = true
	}
}

func (p *plan) memberLists(restarted map[fleet.InstanceID]bool) (members, previous []Member) {
	var notes []Move
	note := func(cause Cause, id fleet.InstanceID, detail string) {
		notes = append(notes, Move{Cause: cause, Detail: "instance " + string(id) + detail})
	}
	busy := map[fleet.InstanceID]bool{}
	for _, u := range p.next.Upstreams {
		busy[u.Dispatcher] = true
	}
	joining := map[fleet.InstanceID]Member{}
	for _, m := range p.in.Joining {
		joining[m.ID] = m
	}
	known := map[fleet.InstanceID]bool{}
	for _, m := range p.next.PreviousMembers {
		known[m.ID] = true
	}
	for _, m := range p.next.Members {
		known[m.ID] = true
		if j, ok := joining[m.ID]; ok && j.Boot != m.Boot {
			note(CauseMemberJoined, m.ID, " restarted")
			members = append(members, j)
			restarted[m.ID] = true
			continue
		}
		previous = append(previous, m)
		if slices.Contains(p.in.Lost, m.ID) {
			note(CauseMemberLost, m.ID, "")
		} else if slices.Contains(p.in.Leaving, m.ID) && !busy[m.ID] {
			note(CauseMemberLeft, m.ID, "")
		} else {
			members = append(members, m)
		}
	}
	for _, id := range sortedKeys(joining) {
		if known[id] || slices.Contains(p.in.Lost, id) || slices.Contains(p.in.Leaving, id) {
			continue
		}
		members = append(members, joining[id])
		note(CauseMemberJoined, id, "")
	}
	if len(members) == 0 {
		return p.next.Members, nil // an empty list would have no majority
	}
	p.moves = append(p.moves, notes...)
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return members, previous
}

// draining lists the members that are to give up their roles.
func (p *plan) draining() []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, m := range p.next.Members {
		_, out := p.in.Catalogue.Out(catalogue.OutageInstance, string(m.ID))
		_, zone := p.in.Catalogue.Out(catalogue.OutageZone, string(m.Zone))
		if out || zone || slices.Contains(p.in.Leaving, m.ID) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// maxDispatcherSpread is the difference in dispatched upstreams between two
// instances from which on one upstream per plan moves. A difference of 1 is
// unavoidable, and one of 2 is not worth a handover of the dispatcher role.
const maxDispatcherSpread = 2

// assignDispatchers gives every upstream a member in service as dispatcher, one
// of the upstream's zone if there is one. A dispatcher that restarted gets a new
// fence even if it stays: its earlier run may have counted a unit as released
// because the lease had ended, and renewals under the same fence would revive the
// grant for requests that the earlier run has sent.
func (p *plan) assignDispatchers() {
	d := p.dispatchers()
	for i := range p.next.Upstreams {
		u := &p.next.Upstreams[i]
		if d.active[u.Dispatcher] && !p.restarted[u.Dispatcher] {
			continue
		}
		to, ok := d.best(u.Zone)
		if !ok {
			continue
		}
		cause := CauseDispatcherLost
		if u.Dispatcher == "" {
			cause = CauseUpstreamJoined
		} else if slices.Contains(p.next.Draining, u.Dispatcher) && !slices.Contains(p.in.Lost, u.Dispatcher) {
			cause = CauseDispatcherDraining
		}
		p.dispatch(d, u, to, cause)
	}
	for i := range p.next.Upstreams {
		u := &p.next.Upstreams[i]
		to, ok := d.best(u.Zone)
		if !ok || to == u.Dispatcher || !d.active[u.Dispatcher] {
			continue
		}
		near, nearer := d.zone[u.Dispatcher] == u.Zone, d.zone[to] == u.Zone
		if nearer && !near || near == nearer && d.count[u.Dispatcher] > d.count[to]+maxDispatcherSpread {
			p.dispatch(d, u, to, CauseBalance)
			return
		}
	}
}

func (p *plan) dispatch(d *dispatchers, u *Upstream, to fleet.InstanceID, cause Cause) {
	d.count[u.Dispatcher]--
	d.count[to]++
	detail := "dispatcher " + string(u.Dispatcher) + " to " + string(to)
	u.Dispatcher, u.Fence = to, p.fence()
	p.move(Move{From: u.ID, To: u.ID, Fence: u.Fence, Cause: cause, Detail: detail})
}

// dispatchers holds the instances that may become dispatchers.
type dispatchers struct {
	ids    []fleet.InstanceID
	active map[fleet.InstanceID]bool
	zone   map[fleet.InstanceID]fleet.ZoneID
	count  map[fleet.InstanceID]int
}

func (p *plan) dispatchers() *dispatchers {
	d := &dispatchers{
		active: map[fleet.InstanceID]bool{}, zone: map[fleet.InstanceID]fleet.ZoneID{},
		count: map[fleet.InstanceID]int{},
	}
	var all []fleet.InstanceID
	for _, m := range p.next.Members {
		if slices.Contains(p.in.Lost, m.ID) {
			continue
		}
		all = append(all, m.ID)
		d.zone[m.ID] = m.Zone
		if !slices.Contains(p.next.Draining, m.ID) {
			d.ids = append(d.ids, m.ID)
		}
	}
	if len(d.ids) == 0 {
		d.ids = all // draining instances are better than none
	}
	for _, id := range d.ids {
		d.active[id] = true
	}
	for _, u := range p.next.Upstreams {
		d.count[u.Dispatcher]++
	}
	return d
}

// best returns the least used instance, in the zone if there is one.
func (d *dispatchers) best(zone fleet.ZoneID) (fleet.InstanceID, bool) {
	var best fleet.InstanceID
	for _, id := range d.ids {
		near, nearest := d.zone[id] == zone, d.zone[best] == zone
		if best == "" || near && !nearest || near == nearest && d.count[id] < d.count[best] {
			best = id
		}
	}
	return best, best != ""
}
