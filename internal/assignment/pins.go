package assignment

import (
	"cmp"
	"fmt"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// A pin costs a handover, so pins are few per period and a key that is no longer
// hot has to be far below the threshold before its pin ends.
const (
	pinPeriod = 10 * time.Second
	pinsMax   = 4 // per service and period
	hotShare  = 0.10
	coldShare = 0.025
	// hotRate is the rate below which no key is worth a pin, in requests/s.
	hotRate = 20
)

// changePins evicts pins, ends those of keys that turned cold and pins hot keys.
func (p *plan) changePins() {
	var added []Ownership
	for _, id := range p.serviceIDs() {
		recent := 0
		for _, at := range p.in.LastPin[id] {
			if p.now.Sub(at) < pinPeriod {
				recent++
			}
		}
		p.evictPins(id)
		if recent == 0 {
			p.unpin(id)
		}
		added = append(added, p.pinHot(id, pinsMax-recent)...)
	}
	p.addUnits(added)
}

func (p *plan) evictPins(id fleet.ServiceID) {
	s := p.next.spans[id]
	for i := s.pins; i < s.hi; i++ {
		o := &p.next.Units[i]
		r := p.byID[o.Owner]
		if r == nil || r.usable {
			continue
		}
		if to := p.leastLoaded(id, nil); to != nil {
			p.give(i, to.ID, r.why, "")
		}
	}
}

// unpin returns cold keys to the owners of their shards. Once the owner has
// been granted the key, the pin gives up its owner, and the shard serves the key.
func (p *plan) unpin(id fleet.ServiceID) {
	s := p.next.spans[id]
	for i := s.pins; i < s.hi; i++ {
		o, shard := &p.next.Units[i], &p.next.Units[s.shardOf(p.next.Units[i].Unit.Pin)]
		r := p.byID[o.Owner]
		if r == nil || !r.usable || len(o.Previous) > 0 || !r.cold(o.Unit.Pin) {
			continue
		}
		switch to := p.byID[shard.Owner]; {
		case to == nil || !to.usable || len(shard.Previous) > 0:
		case to == r:
			p.give(i, "", CauseUnpin, "")
		default:
			p.give(i, to.ID, CauseUnpin, "")
		}
	}
}

func (r *row) cold(key fleet.RoutingKey) bool {
	for _, h := range r.report.Hot {
		if h.Key == key {
			return h.Rate < coldShare*r.report.Load
		}
	}
	return true
}

type hotKey struct {
	HotKey
	owner *row
	shard int
}

func (p *plan) pinHot(id fleet.ServiceID, budget int) (added []Ownership) {
	for _, h := range p.hotKeys(id) {
		if budget <= 0 {
			return added
		}
		to := p.leastLoaded(id, h.owner)
		if to == nil || to.load+h.Rate >= h.owner.load {
			continue // the key alone is the load: moving it moves the problem
		}
		budget--
		to.load += h.Rate
		h.owner.load -= h.Rate
		added = append(added, p.pin(id, h, to))
	}
	return added
}

// hotKeys returns the keys to pin, the hottest first.
func (p *plan) hotKeys(id fleet.ServiceID) []hotKey {
	s := p.next.spans[id]
	var hot []hotKey
	seen := map[fleet.RoutingKey]bool{}
	for _, r := range p.services[id] {
		for _, h := range r.report.Hot {
			if h.Key == "" || !utf8.ValidString(string(h.Key)) || h.Rate < hotRate || h.Rate < hotShare*r.report.Load {
				continue
			}
			if _, pinned := p.next.pins[fleet.Unit{Service: id, Pin: h.Key}]; pinned || seen[h.Key] {
				continue
			}
			i := s.shardOf(h.Key)
			if o := &p.next.Units[i]; r.usable && o.Owner == r.ID && len(o.Previous) == 0 {
				seen[h.Key] = true
				hot = append(hot, hotKey{h, r, i})
			}
		}
	}
	slices.SortStableFunc(hot, func(a, b hotKey) int { return cmp.Compare(b.Rate, a.Rate) })
	return hot
}

// pin takes the key out of its shard. The shard gets a new fence so that its
// owner refuses requests for the key that were sent before.
func (p *plan) pin(id fleet.ServiceID, h hotKey, to *row) Ownership {
	shard := p.unit(h.shard)
	shard.Fence = p.fence()
	o := Ownership{
		Unit: fleet.Unit{Service: id, Pin: h.Key}, Owner: to.ID,
		Fence: p.fence(), Previous: []fleet.UpstreamID{shard.Owner},
	}
	p.move(Move{
		Unit: o.Unit, From: shard.Owner, To: to.ID, Fence: o.Fence, Cause: CausePin,
		Detail: fmt.Sprintf("%.0f of %.0f requests/s", h.Rate, h.owner.report.Load),
	})
	return o
}

// leastLoaded returns the usable upstream of the service with the lowest load
// other than one. Warm upstreams come first.
func (p *plan) leastLoaded(id fleet.ServiceID, other *row) *row {
	var best *row
	for _, r := range p.services[id] {
		if !r.usable || r == other {
			continue
		}
		if best == nil || cmp.Or(-cmp.Compare(r.warmth, best.warmth), cmp.Compare(r.load, best.load)) < 0 {
			best = r
		}
	}
	return best
}
