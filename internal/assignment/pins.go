package assignment

import (
	"cmp"
	"fmt"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Each pin costs a handover. Therefore the number of pins per period is limited,
// and a pin ends only when the key's load is far below the pinning threshold.
const (
	pinPeriod        = 10 * time.Second
	maxPinsPerPeriod = 4     // per service and period
	minHotShare      = 0.10  // lowest share of its upstream's load at which a key is pinned
	maxColdShare     = 0.025 // share of its upstream's load below which a pin ends
	// minHotRate is the lowest rate in requests/s at which a key is pinned.
	minHotRate = 20
)

// updatePins moves pins away from unusable upstreams, unpins keys whose load has
// dropped, and pins hot keys.
func (p *planner) updatePins() {
	var added []Ownership
	for _, id := range p.serviceIDs() {
		recent := 0
		for _, at := range p.input.RecentPins[id] {
			if p.now.Sub(at) < pinPeriod {
				recent++
			}
		}
		p.reassignPins(id)
		if recent == 0 {
			p.unpinColdKeys(id)
		}
		added = append(added, p.pinHotKeys(id, maxPinsPerPeriod-recent)...)
	}
	p.addUnits(added)
}

func (p *planner) reassignPins(id fleet.ServiceID) {
	s := p.next.serviceRanges[id]
	for i := s.pins; i < s.end; i++ {
		o := &p.next.Units[i]
		owner := p.infoByID[o.Owner]
		if owner == nil || owner.usable {
			continue
		}
		if to := p.leastLoaded(id, nil); to != nil {
			p.setOwner(i, to.ID, owner.unusableCause, "")
		}
	}
}

// unpinColdKeys ends the pins of keys whose load has dropped, in two steps. The pin
// first moves to the owner of its shard. Once that handover is complete, the
// pin's owner is cleared, and the shard's ownership applies to the key again.
func (p *planner) unpinColdKeys(id fleet.ServiceID) {
	s := p.next.serviceRanges[id]
	for i := s.pins; i < s.end; i++ {
		o, shard := &p.next.Units[i], &p.next.Units[s.shardOf(p.next.Units[i].Unit.Pin)]
		owner := p.infoByID[o.Owner]
		if owner == nil || !owner.usable || len(o.Previous) > 0 || !owner.isCold(o.Unit.Pin) {
			continue
		}
		switch to := p.infoByID[shard.Owner]; {
		case to == nil || !to.usable || len(shard.Previous) > 0:
		case to == owner:
			p.setOwner(i, "", CauseUnpin, "")
		default:
			p.setOwner(i, to.ID, CauseUnpin, "")
		}
	}
}

// isCold reports whether the key's share of the upstream's load is low enough to end its
// pin.
func (u *upstreamInfo) isCold(key fleet.RoutingKey) bool {
	for _, h := range u.report.Hot {
		if h.Key == key {
			return h.Rate < maxColdShare*u.report.Load
		}
	}
	return true
}

// pinCandidate is a hot key, the owner of its shard, and the index of the shard.
type pinCandidate struct {
	HotKey
	owner *upstreamInfo
	shard int
}

func (p *planner) pinHotKeys(id fleet.ServiceID, maxPins int) (added []Ownership) {
	for _, c := range p.pinCandidates(id) {
		if maxPins <= 0 {
			return added
		}
		to := p.leastLoaded(id, c.owner)
		if to == nil || to.expectedLoad+c.Rate >= c.owner.expectedLoad {
			continue // the key is most of the load: moving it would only move the overload
		}
		maxPins--
		to.expectedLoad += c.Rate
		c.owner.expectedLoad -= c.Rate
		added = append(added, p.pinKey(id, c, to))
	}
	return added
}

// pinCandidates returns the keys that may be pinned, in descending order of rate.
func (p *planner) pinCandidates(id fleet.ServiceID) []pinCandidate {
	s := p.next.serviceRanges[id]
	var candidates []pinCandidate
	seen := map[fleet.RoutingKey]bool{}
	for _, u := range p.infosByService[id] {
		for _, h := range u.report.Hot {
			if h.Key == "" || !utf8.ValidString(string(h.Key)) || h.Rate < minHotRate || h.Rate < minHotShare*u.report.Load {
				continue
			}
			if _, pinned := p.next.pinIndex[fleet.Unit{Service: id, Pin: h.Key}]; pinned || seen[h.Key] {
				continue
			}
			i := s.shardOf(h.Key)
			if o := &p.next.Units[i]; u.usable && o.Owner == u.ID && len(o.Previous) == 0 {
				seen[h.Key] = true
				candidates = append(candidates, pinCandidate{h, u, i})
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b pinCandidate) int { return cmp.Compare(b.Rate, a.Rate) })
	return candidates
}

// pinKey removes the key from its shard and returns the new pin. The shard gets a
// new fence so that its owner refuses requests for the key that were sent earlier.
func (p *planner) pinKey(id fleet.ServiceID, c pinCandidate, to *upstreamInfo) Ownership {
	shard := p.writableUnit(c.shard)
	shard.Fence = p.takeFence()
	o := Ownership{
		Unit: fleet.Unit{Service: id, Pin: c.Key}, Owner: to.ID,
		Fence: p.takeFence(), Previous: []fleet.UpstreamID{shard.Owner},
	}
	p.addMove(Move{
		Unit: o.Unit, From: shard.Owner, To: to.ID, Fence: o.Fence, Cause: CausePin,
		Detail: fmt.Sprintf("%.0f of %.0f requests/s", c.Rate, c.owner.report.Load),
	})
	return o
}

// leastLoaded returns the usable upstream of the service with the highest warm
// share and, among equal ones, the lowest load. It never returns exclude.
func (p *planner) leastLoaded(id fleet.ServiceID, exclude *upstreamInfo) *upstreamInfo {
	var best *upstreamInfo
	for _, u := range p.infosByService[id] {
		if !u.usable || u == exclude {
			continue
		}
		if best == nil || cmp.Or(-cmp.Compare(u.warmShare, best.warmShare), cmp.Compare(u.expectedLoad, best.expectedLoad)) < 0 {
			best = u
		}
	}
	return best
}
