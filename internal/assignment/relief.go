package assignment

import (
	"fmt"
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// A swap costs two handovers, so swaps are few, and they wait until the averages
// that dispatchers report have followed the last one.
const (
	swapPeriod = 3 * time.Second // per service
	// swapAbove is the load relative to the mean from which an upstream is
	// relieved. At 35% utilisation on average it still queues little.
	swapAbove = 1.2
	// swapRate is the load above the mean below which no swap is worth it, in
	// requests/s.
	swapRate = 5
)

// relieve swaps a busy shard of the busiest upstream of each service for a quiet
// one of the least busy. Shards are equal in number, not in load, and a queue at
// one upstream cannot be served by another.
func (p *plan) relieve() {
	for _, id := range p.serviceIDs() {
		if last, ok := p.in.LastSwap[id]; ok && p.now.Sub(last) < swapPeriod {
			continue
		}
		if s := p.next.spans[id]; !p.handingOver(s) {
			p.swap(s, id)
		}
	}
}

func (p *plan) handingOver(s span) bool {
	return slices.ContainsFunc(p.next.Units[s.lo:s.hi], func(o Ownership) bool { return len(o.Previous) > 0 })
}

func (p *plan) swap(s span, id fleet.ServiceID) {
	var busiest, quietest *row
	sum, n := 0.0, 0
	for _, r := range p.services[id] {
		if !r.usable || r.warmth < 1 {
			continue
		}
		sum += r.report.Average
		n++
		if busiest == nil || r.report.Average > busiest.report.Average {
			busiest = r
		}
		if quietest == nil || r.report.Average < quietest.report.Average {
			quietest = r
		}
	}
	if n < 2 {
		return
	}
	mean := sum / float64(n)
	if busiest.report.Average < swapAbove*mean || busiest.report.Average < mean+swapRate {
		return
	}
	hot, ok := p.busyShard(s, busiest, quietest)
	if !ok {
		return
	}
	cold, ok := p.quietShard(s, quietest)
	if !ok {
		return
	}
	detail := fmt.Sprintf("%s has %.0f requests/s, the mean is %.0f", busiest.ID, busiest.report.Average, mean)
	p.give(hot, quietest.ID, CauseLoad, detail)
	p.give(cold, busiest.ID, CauseLoad, detail)
}

// busyShard returns the shard of the busiest upstream that brings it closest to
// the middle between the two without passing it.
func (p *plan) busyShard(s span, busiest, quietest *row) (int, bool) {
	room := (busiest.report.Average - quietest.report.Average) / 2
	for _, u := range busiest.report.Units { // the busiest first
		i := s.lo + int(u.Unit.Shard)
		if u.Unit.Pin != "" || u.Rate > room || i >= s.pins {
			continue
		}
		if o := &p.next.Units[i]; o.Unit == u.Unit && o.Owner == busiest.ID && !p.retiring[o.Unit] {
			return i, true
		}
	}
	return 0, false
}

// quietShard returns a shard of the upstream that is not among its busiest.
func (p *plan) quietShard(s span, r *row) (int, bool) {
	for i := s.lo; i < s.pins; i++ {
		o := &p.next.Units[i]
		busy := slices.ContainsFunc(r.report.Units, func(u UnitLoad) bool { return u.Unit == o.Unit })
		if o.Owner == r.ID && !busy && !p.retiring[o.Unit] {
			return i, true
		}
	}
	return 0, false
}
