package assignment

import (
	"maps"
	"slices"
	"strings"

	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

func sortedKeys[K ~string, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// updateMembers updates the member list, at most once per learned assignment, and
// the list of draining instances. A change of the member list keeps the old list
// as PreviousMembers until majorities of both lists have learned the change.
// Without the old list, an instance that knows only that list could get a majority
// of it in which no member knows a change that is already in force.
//
// A member with a new boot id replaces the member with the old one, whose run is
// left out of PreviousMembers: the revisions that this run had learned are lost,
// and a majority of the remaining members is also a majority of the list without it.
func (p *planner) updateMembers() {
	if p.input.Learned || len(p.next.Members) == 0 { // an empty list has no members that have to learn it
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
	if draining := p.drainingMembers(); !slices.Equal(draining, p.next.Draining) {
		p.next.Draining = draining
		p.changed = true
	}
}

// memberLists returns the next member list and the list to keep as PreviousMembers. It
// adds the members that are replaced by a new run to restarted, and keeps the present
// list if the next one would be empty.
func (p *planner) memberLists(restarted map[fleet.InstanceID]bool) (members, previous []Member) {
	var changes []Move
	addChange := func(cause Cause, id fleet.InstanceID, detail string) {
		changes = append(changes, Move{Cause: cause, Detail: "instance " + string(id) + detail})
	}
	isDispatcher := map[fleet.InstanceID]bool{}
	for _, u := range p.next.Upstreams {
		isDispatcher[u.Dispatcher] = true
	}
	joining := map[fleet.InstanceID]Member{}
	for _, m := range p.input.Joining {
		joining[m.ID] = m
	}
	inLists := map[fleet.InstanceID]bool{}
	for _, m := range p.next.PreviousMembers {
		inLists[m.ID] = true
	}
	for _, m := range p.next.Members {
		inLists[m.ID] = true
		if j, ok := joining[m.ID]; ok && j.Boot != m.Boot {
			addChange(CauseMemberJoined, m.ID, " restarted")
			members = append(members, j)
			restarted[m.ID] = true
			continue
		}
		previous = append(previous, m)
		if slices.Contains(p.input.Lost, m.ID) {
			addChange(CauseMemberLost, m.ID, "")
		} else if slices.Contains(p.input.Leaving, m.ID) && !isDispatcher[m.ID] {
			addChange(CauseMemberLeft, m.ID, "")
		} else {
			members = append(members, m)
		}
	}
	for _, id := range sortedKeys(joining) {
		if inLists[id] || slices.Contains(p.input.Lost, id) || slices.Contains(p.input.Leaving, id) {
			continue
		}
		members = append(members, joining[id])
		addChange(CauseMemberJoined, id, "")
	}
	if len(members) == 0 {
		return p.next.Members, nil // an empty list would have no majority
	}
	p.moves = append(p.moves, changes...)
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return members, previous
}

// drainingMembers returns the members that must hand over their dispatcher roles
// and token buckets: those that are leaving or out of service, also by their zone.
func (p *planner) drainingMembers() []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, m := range p.next.Members {
		_, instanceOut := p.input.Catalogue.Out(catalogue.OutageInstance, string(m.ID))
		_, zoneOut := p.input.Catalogue.Out(catalogue.OutageZone, string(m.Zone))
		if instanceOut || zoneOut || slices.Contains(p.input.Leaving, m.ID) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// maxDispatcherImbalance is the largest accepted difference between the numbers of
// upstreams of two dispatchers. Above it, each plan moves one upstream. A
// difference of 1 is unavoidable, and a difference of 2 does not justify a handover
// of the dispatcher role.
const maxDispatcherImbalance = 2

// assignDispatchers gives each upstream without a usable dispatcher a new one, if
// possible a member in the upstream's zone that is not draining, and then makes at
// most one move to improve the balance. A restarted dispatcher gets a new fence
// even if it keeps the upstream: its earlier run may have counted a unit as
// released because the lease had expired, and renewing the lease under the same
// fence would make that grant valid again for requests that the earlier run sent.
func (p *planner) assignDispatchers() {
	d := p.newDispatcherPool()
	for i := range p.next.Upstreams {
		u := &p.next.Upstreams[i]
		if d.isCandidate[u.Dispatcher] && !p.restarted[u.Dispatcher] {
			continue
		}
		to, ok := d.leastUsed(u.Zone)
		if !ok {
			continue
		}
		cause := CauseDispatcherLost
		if u.Dispatcher == "" {
			cause = CauseUpstreamJoined
		} else if slices.Contains(p.next.Draining, u.Dispatcher) && !slices.Contains(p.input.Lost, u.Dispatcher) {
			cause = CauseDispatcherDraining
		}
		p.setDispatcher(d, u, to, cause)
	}
	for i := range p.next.Upstreams {
		u := &p.next.Upstreams[i]
		to, ok := d.leastUsed(u.Zone)
		if !ok || to == u.Dispatcher || !d.isCandidate[u.Dispatcher] {
			continue
		}
		currentInZone, candidateInZone := d.zones[u.Dispatcher] == u.Zone, d.zones[to] == u.Zone
		if candidateInZone && !currentInZone || currentInZone == candidateInZone && d.upstreamCounts[u.Dispatcher] > d.upstreamCounts[to]+maxDispatcherImbalance {
			p.setDispatcher(d, u, to, CauseBalance)
			return
		}
	}
}

func (p *planner) setDispatcher(d *dispatcherPool, u *Upstream, to fleet.InstanceID, cause Cause) {
	d.upstreamCounts[u.Dispatcher]--
	d.upstreamCounts[to]++
	detail := "dispatcher " + string(u.Dispatcher) + " to " + string(to)
	u.Dispatcher, u.Fence = to, p.takeFence()
	p.addMove(Move{From: u.ID, To: u.ID, Fence: u.Fence, Cause: cause, Detail: detail})
}

// dispatcherPool holds the instances that may become dispatchers and the number of
// upstreams of each.
type dispatcherPool struct {
	candidates     []fleet.InstanceID
	isCandidate    map[fleet.InstanceID]bool
	zones          map[fleet.InstanceID]fleet.ZoneID
	upstreamCounts map[fleet.InstanceID]int
}

func (p *planner) newDispatcherPool() *dispatcherPool {
	d := &dispatcherPool{
		isCandidate: map[fleet.InstanceID]bool{}, zones: map[fleet.InstanceID]fleet.ZoneID{},
		upstreamCounts: map[fleet.InstanceID]int{},
	}
	var all []fleet.InstanceID
	for _, m := range p.next.Members {
		if slices.Contains(p.input.Lost, m.ID) {
			continue
		}
		all = append(all, m.ID)
		d.zones[m.ID] = m.Zone
		if !slices.Contains(p.next.Draining, m.ID) {
			d.candidates = append(d.candidates, m.ID)
		}
	}
	if len(d.candidates) == 0 {
		d.candidates = all // use draining instances if there are no others
	}
	for _, id := range d.candidates {
		d.isCandidate[id] = true
	}
	for _, u := range p.next.Upstreams {
		d.upstreamCounts[u.Dispatcher]++
	}
	return d
}

// leastUsed returns the candidate with the fewest upstreams, preferring candidates
// in the zone.
func (d *dispatcherPool) leastUsed(zone fleet.ZoneID) (fleet.InstanceID, bool) {
	var best fleet.InstanceID
	for _, id := range d.candidates {
		idInZone, bestInZone := d.zones[id] == zone, d.zones[best] == zone
		if best == "" || idInZone && !bestInZone || idInZone == bestInZone && d.upstreamCounts[id] < d.upstreamCounts[best] {
			best = id
		}
	}
	return best, best != ""
}
