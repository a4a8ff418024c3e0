package assignment

import (
	"cmp"
	"math"
	"slices"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// maxWarmingHandovers limits the unfinished handovers to a warming upstream. Each
// handover brings requests that queue for the few slots that the upstream can use.
const maxWarmingHandovers = 4

// updateServices adds the shards of new services and clears the owners of the units
// of removed services. A removed service remains in the record until every upstream
// has released its units.
func (p *planner) updateServices() {
	inCatalogue := map[fleet.ServiceID]bool{}
	var added []Ownership
	for _, s := range p.input.Catalogue.Services {
		inCatalogue[s.ID] = true
		if _, ok := p.next.serviceRanges[s.ID]; ok {
			continue
		}
		for i := range s.Shards {
			added = append(added, Ownership{Unit: fleet.Unit{Service: s.ID, Shard: fleet.ShardID(i)}})
		}
	}
	p.addUnits(added)
	removable := map[fleet.ServiceID]bool{}
	for id, s := range p.next.serviceRanges {
		if inCatalogue[id] {
			continue
		}
		removable[id] = true
		for i := s.start; i < s.end; i++ {
			if p.next.Units[i].Owner != "" {
				p.setOwner(i, "", CauseServiceRemoved, "")
			}
			removable[id] = removable[id] && len(p.next.Units[i].Previous) == 0
		}
	}
	if len(removable) > 0 {
		p.deleteUnits(func(i int) bool { return removable[p.next.Units[i].Unit.Service] })
	}
}

// serviceIDs returns the sorted ids of the services in the catalogue that have units.
func (p *planner) serviceIDs() []fleet.ServiceID {
	var ids []fleet.ServiceID
	for _, s := range p.input.Catalogue.Services {
		if _, ok := p.next.serviceRanges[s.ID]; ok {
			ids = append(ids, s.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// distributeShards assigns shards without a usable owner to usable upstreams, then
// moves shards from upstreams above their target to upstreams below it. If no
// upstream of the service is usable, owners stay as they are, and requests are
// refused.
func (p *planner) distributeShards(id fleet.ServiceID) {
	s := p.next.serviceRanges[id]
	var usable []*upstreamInfo
	for _, u := range p.infosByService[id] {
		if u.usable {
			usable = append(usable, u)
		}
	}
	p.findShardsOfEndedPins(s)
	unplaced := p.countShards(s)
	if len(usable) == 0 {
		return
	}
	setTargets(usable, s.pins-s.start)
	noneWarm := !slices.ContainsFunc(usable, func(u *upstreamInfo) bool { return u.warmShare >= 1 })
	for _, i := range unplaced {
		from, cause := p.next.Units[i].Owner, CauseNewService
		if u := p.infoByID[from]; u != nil {
			cause = u.unusableCause
		}
		to := furthestBelowTarget(usable, noneWarm, math.MaxInt)
		p.placeShard(i, to, cause)
	}
	// Optional moves wait until the last plan was learned. Otherwise, moving shards
	// back into a zone, which takes many plans, would delay changes of the member
	// list, which also require that the last plan was learned, and an instance could
	// not leave within 10 s.
	if p.input.Learned {
		p.balanceShards(s, usable)
	}
}

// findShardsOfEndedPins records the shards of pins without an owner. Such a shard
// stays with its owner unless that upstream is lost, because the upstream has not
// released the pin yet.
func (p *planner) findShardsOfEndedPins(s unitRange) {
	p.shardsOfEndedPins = nil
	for i := s.pins; i < s.end; i++ {
		if o := &p.next.Units[i]; o.Owner == "" {
			if p.shardsOfEndedPins == nil {
				p.shardsOfEndedPins = map[fleet.Unit]bool{}
			}
			p.shardsOfEndedPins[p.next.Units[s.shardOf(o.Unit.Pin)].Unit] = true
		}
	}
}

func (s unitRange) shardOf(key fleet.RoutingKey) int { return s.start + int(key.Shard(s.pins-s.start)) }

// countShards sets the shard counts of the upstreams and returns the indexes of the
// shards that need a new owner.
func (p *planner) countShards(s unitRange) (unplaced []int) {
	for i := s.start; i < s.pins; i++ {
		o := &p.next.Units[i]
		owner := p.infoByID[o.Owner]
		if owner == nil || !owner.usable && (owner.unusableCause == CauseUpstreamLost || !p.shardsOfEndedPins[o.Unit]) {
			unplaced = append(unplaced, i)
			continue
		}
		owner.shards++
		if len(o.Previous) > 0 {
			owner.pending++
		}
	}
	return unplaced
}

// acceptsMore reports whether the upstream may receive another shard in this plan.
func (u *upstreamInfo) acceptsMore() bool { return u.warmShare >= 1 || u.pending < maxWarmingHandovers }

// furthestBelowTarget returns, of the upstreams with fewer than shardLimit shards,
// the one that is furthest below its target, or nil. Unless noneWarm is set, it
// skips warming upstreams that have reached maxWarmingHandovers.
func furthestBelowTarget(usable []*upstreamInfo, noneWarm bool, shardLimit int) *upstreamInfo {
	var best *upstreamInfo
	for _, u := range usable {
		if u.shards >= shardLimit || !noneWarm && !u.acceptsMore() {
			continue
		}
		if best == nil || u.shards-u.targetShards < best.shards-best.targetShards {
			best = u
		}
	}
	return best
}

func (p *planner) placeShard(i int, to *upstreamInfo, cause Cause) {
	p.setOwner(i, to.ID, cause, "")
	to.shards++
	to.pending++
}

// balanceShards moves shards without an unfinished handover from upstreams above
// their target to upstreams below it.
func (p *planner) balanceShards(s unitRange, usable []*upstreamInfo) {
	for i := s.start; i < s.pins; i++ {
		o := &p.next.Units[i]
		from := p.infoByID[o.Owner]
		if from == nil || !from.usable || from.shards <= from.targetShards || len(o.Previous) > 0 || p.shardsOfEndedPins[o.Unit] {
			continue
		}
		// The limit of from.shards-1 keeps a cold upstream, whose target is low, from
		// giving a shard to an upstream that would then own more than it does.
		to := furthestBelowTarget(usable, false, from.shards-1)
		if to == nil || to.shards >= to.targetShards {
			continue
		}
		cause := CauseBalance
		if to.warmShare < 1 {
			cause = CauseWarming
		}
		from.shards--
		p.placeShard(i, to, cause)
	}
}

// setTargets divides n shards among the upstreams in proportion to their warm
// shares. An upstream that turned cold keeps its shards up to an equal share: it
// is warm again after about a second of requests, before handovers would pay off.
func setTargets(infos []*upstreamInfo, n int) {
	equalShare := (n + len(infos) - 1) / len(infos)
	remaining := slices.Clone(infos)
	for {
		total := 0.0
		for _, u := range remaining {
			total += u.warmShare
		}
		fixed := false
		shardsLeft := n
		remaining = slices.DeleteFunc(remaining, func(u *upstreamInfo) bool {
			u.targetShards = int(float64(n) * u.warmShare / total)
			if u.warmShare < 1 && u.shards > u.targetShards {
				u.targetShards = min(u.shards, equalShare)
				shardsLeft -= u.targetShards
				fixed = true
				return true
			}
			return false
		})
		if !fixed {
			divideShards(remaining, n, total)
			return
		}
		n = max(shardsLeft, 0)
		if len(remaining) == 0 {
			return
		}
	}
}

// divideShards sets targets in proportion to the warm shares, which add up to
// total, so that the targets add up to n. The shards that are left after rounding
// down go first to upstreams that already own more than their rounded target, so
// that a balanced assignment does not change.
func divideShards(infos []*upstreamInfo, n int, total float64) {
	type part struct {
		*upstreamInfo
		fraction float64
	}
	parts := make([]part, len(infos))
	for i, u := range infos {
		exact := float64(n) * u.warmShare / total
		u.targetShards = int(math.Floor(exact))
		parts[i] = part{u, exact - math.Floor(exact)}
	}
	shardsLeft := n
	for _, u := range infos {
		shardsLeft -= u.targetShards
	}
	slices.SortStableFunc(parts, func(a, b part) int {
		if byHeld := cmp.Compare(min(b.shards-b.targetShards, 1), min(a.shards-a.targetShards, 1)); byHeld != 0 {
			return byHeld
		}
		return cmp.Compare(b.fraction, a.fraction)
	})
	for i := range min(shardsLeft, len(parts)) {
		parts[i].targetShards++
	}
}
