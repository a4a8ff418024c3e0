package assignment

import (
	"cmp"
	"math"
	"slices"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// maxWarmingHandovers bounds the unfinished handovers to a warming upstream. Each
// brings requests that queue for its few slots.
const maxWarmingHandovers = 4

// changeServices adds the shards of new services and retires those of removed
// ones: a removed service stays until every upstream has released its units.
func (p *plan) changeServices() {
	kept := map[fleet.ServiceID]bool{}
	var added []Ownership
	for _, s := range p.in.Catalogue.Services {
		kept[s.ID] = true
		if _, ok := p.next.spans[s.ID]; ok {
			continue
		}
		for i := range s.Shards {
			added = append(added, Ownership{Unit: fleet.Unit{Service: s.ID, Shard: fleet.ShardID(i)}})
		}
	}
	p.addUnits(added)
	dead := map[fleet.ServiceID]bool{}
	for id, s := range p.next.spans {
		if kept[id] {
			continue
		}
		dead[id] = true
		for i := s.lo; i < s.hi; i++ {
			if p.next.Units[i].Owner != "" {
				p.give(i, "", CauseServiceRemoved, "")
			}
			dead[id] = dead[id] && len(p.next.Units[i].Previous) == 0
		}
	}
	if len(dead) > 0 {
		p.deleteUnits(func(i int) bool { return dead[p.next.Units[i].Unit.Service] })
	}
}

// serviceIDs returns the services of the catalogue that have units.
func (p *plan) serviceIDs() []fleet.ServiceID {
	var ids []fleet.ServiceID
	for _, s := range p.in.Catalogue.Services {
		if _, ok := p.next.spans[s.ID]; ok {
			ids = append(ids, s.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// distribute gives shards without a usable owner to usable upstreams, then moves
// shards from those above their target to those below. If no upstream of the
// service is usable, the owners stay, and requests are refused.
func (p *plan) distribute(id fleet.ServiceID) {
	s := p.next.spans[id]
	var usable []*row
	for _, r := range p.services[id] {
		if r.usable {
			usable = append(usable, r)
		}
	}
	p.findRetiring(s)
	evicted := p.count(s)
	if len(usable) == 0 {
		return
	}
	setTargets(usable, s.pins-s.lo)
	noWarm := !slices.ContainsFunc(usable, func(r *row) bool { return r.warmth >= 1 })
	for _, i := range evicted {
		from, cause := p.next.Units[i].Owner, CauseNewService
		if r := p.byID[from]; r != nil {
			cause = r.why
		}
		to := neediest(usable, noWarm, math.MaxInt)
		p.take(i, to, cause)
	}
	// Moves that nothing requires wait until the last plan was learned. Otherwise a
	// refill of a zone, which takes many plans, would hold off changes of the member
	// list, which need that too: an instance could not leave within 10 s.
	if p.in.Learned {
		p.balance(s, usable)
	}
}

// findRetiring notes the shards of pins without an owner. They stay where they
// are while their upstream lives, because it has not yet released the pin.
func (p *plan) findRetiring(s span) {
	p.retiring = nil
	for i := s.pins; i < s.hi; i++ {
		if o := &p.next.Units[i]; o.Owner == "" {
			if p.retiring == nil {
				p.retiring = map[fleet.Unit]bool{}
			}
			p.retiring[p.next.Units[s.shardOf(o.Unit.Pin)].Unit] = true
		}
	}
}

func (s span) shardOf(key fleet.RoutingKey) int { return s.lo + int(key.Shard(s.pins-s.lo)) }

// count counts the shards of each upstream and returns those to be placed.
func (p *plan) count(s span) (evicted []int) {
	for i := s.lo; i < s.pins; i++ {
		o := &p.next.Units[i]
		r := p.byID[o.Owner]
		if r == nil || !r.usable && (r.why == CauseUpstreamLost || !p.retiring[o.Unit]) {
			evicted = append(evicted, i)
			continue
		}
		r.count++
		if len(o.Previous) > 0 {
			r.pending++
		}
	}
	return evicted
}

// open reports whether the upstream may take another shard now.
func (r *row) open() bool { return r.warmth >= 1 || r.pending < maxWarmingHandovers }

// neediest returns the upstream with fewer than most shards that is furthest
// below its target. Warming upstreams at their bound are passed over unless there
// is no warm one.
func neediest(usable []*row, noWarm bool, most int) *row {
	var best *row
	for _, r := range usable {
		if r.count >= most || !noWarm && !r.open() {
			continue
		}
		if best == nil || r.count-r.target < best.count-best.target {
			best = r
		}
	}
	return best
}

func (p *plan) take(i int, to *row, cause Cause) {
	p.give(i, to.ID, cause, "")
	to.count++
	to.pending++
}

// balance moves shards with no unfinished handover towards the targets.
func (p *plan) balance(s span, usable []*row) {
	for i := s.lo; i < s.pins; i++ {
		o := &p.next.Units[i]
		from := p.byID[o.Owner]
		if from == nil || !from.usable || from.count <= from.target || len(o.Previous) > 0 || p.retiring[o.Unit] {
			continue
		}
		// A cold upstream does not give to one that has as many.
		to := neediest(usable, false, from.count-1)
		if to == nil || to.count >= to.target {
			continue
		}
		cause := CauseBalance
		if to.warmth < 1 {
			cause = CauseWarming
		}
		from.count--
		p.take(i, to, cause)
	}
}

// setTargets divides n shards in proportion to warmth. An upstream that turned
// cold keeps what it has up to an equal share: it warms again within about
// a second of requests, sooner than handovers would pay.
func setTargets(rows []*row, n int) {
	equal := (n + len(rows) - 1) / len(rows)
	rest := slices.Clone(rows)
	for {
		total := 0.0
		for _, r := range rest {
			total += r.warmth
		}
		held := false
		left := n
		rest = slices.DeleteFunc(rest, func(r *row) bool {
			r.target = int(float64(n) * r.warmth / total)
			if r.warmth < 1 && r.count > r.target {
				r.target = min(r.count, equal)
				left -= r.target
				held = true
				return true
			}
			return false
		})
		if !held {
			share(rest, n, total)
			return
		}
		n = max(left, 0)
		if len(rest) == 0 {
			return
		}
	}
}

// share sets targets that sum up to n. What the rounding leaves goes to those
// that hold it already, so that a settled table does not move.
func share(rows []*row, n int, total float64) {
	type part struct {
		*row
		fraction float64
	}
	parts := make([]part, len(rows))
	for i, r := range rows {
		exact := float64(n) * r.warmth / total
		r.target = int(math.Floor(exact))
		parts[i] = part{r, exact - math.Floor(exact)}
	}
	left := n
	for _, r := range rows {
		left -= r.target
	}
	slices.SortStableFunc(parts, func(a, b part) int {
		if holds := cmp.Compare(min(b.count-b.target, 1), min(a.count-a.target, 1)); holds != 0 {
			return holds
		}
		return cmp.Compare(b.fraction, a.fraction)
	})
	for i := range min(left, len(parts)) {
		parts[i].target++
	}
}
