package assignment

import (
	"fmt"
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Each swap costs two handovers. Therefore swaps are rate-limited, which also gives
// the averages reported by dispatchers time to reflect the last swap.
const (
	swapInterval = 3 * time.Second // per service
	// minSwapLoadRatio is the lowest ratio of an upstream's load to the mean load at
	// which one of its shards is swapped. At an average utilisation of 35%, an
	// upstream with this ratio still queues few requests.
	minSwapLoadRatio = 1.2
	// minSwapExcessRate is the lowest difference from the mean load, in requests/s, at
	// which a shard is swapped.
	minSwapExcessRate = 5
)

// swapBusyShards swaps, in each service without unfinished handovers, a busy shard
// of the upstream with the highest load for a quiet shard of the one with the
// lowest. Upstreams own equal numbers of shards, but the shards differ in load, and
// requests that queue at one upstream cannot be served by another.
func (p *planner) swapBusyShards() {
	for _, id := range p.serviceIDs() {
		if last, ok := p.input.LastSwap[id]; ok && p.now.Sub(last) < swapInterval {
			continue
		}
		if s := p.next.serviceRanges[id]; !p.hasHandover(s) {
			p.swapShards(s, id)
		}
	}
}

func (p *planner) hasHandover(s unitRange) bool {
	return slices.ContainsFunc(p.next.Units[s.start:s.end], func(o Ownership) bool { return len(o.Previous) > 0 })
}

// swapShards swaps a busy for a quiet shard between the warm upstreams of the service
// with the highest and the lowest average load, if their loads differ enough.
func (p *planner) swapShards(s unitRange, id fleet.ServiceID) {
	var busiest, quietest *upstreamInfo
	sum, n := 0.0, 0
	for _, u := range p.infosByService[id] {
		if !u.usable || u.warmShare < 1 {
			continue
		}
		sum += u.report.Average
		n++
		if busiest == nil || u.report.Average > busiest.report.Average {
			busiest = u
		}
		if quietest == nil || u.report.Average < quietest.report.Average {
			quietest = u
		}
	}
	if n < 2 {
		return
	}
	mean := sum / float64(n)
	if busiest.report.Average < minSwapLoadRatio*mean || busiest.report.Average < mean+minSwapExcessRate {
		return
	}
	busy, ok := p.busyShard(s, busiest, quietest)
	if !ok {
		return
	}
	quiet, ok := p.quietShard(s, quietest)
	if !ok {
		return
	}
	detail := fmt.Sprintf("%s has %.0f requests/s, the mean is %.0f", busiest.ID, busiest.report.Average, mean)
	p.setOwner(busy, quietest.ID, CauseLoad, detail)
	p.setOwner(quiet, busiest.ID, CauseLoad, detail)
}

// busyShard returns the shard of the busiest upstream with the highest rate that is
// not above half of the difference between the two upstreams' loads.
func (p *planner) busyShard(s unitRange, busiest, quietest *upstreamInfo) (int, bool) {
	maxRate := (busiest.report.Average - quietest.report.Average) / 2
	for _, u := range busiest.report.Units { // in descending order of rate
		i := s.start + int(u.Unit.Shard)
		if u.Unit.Pin != "" || u.Rate > maxRate || i >= s.pins {
			continue
		}
		if o := &p.next.Units[i]; o.Unit == u.Unit && o.Owner == busiest.ID && !p.shardsOfEndedPins[o.Unit] {
			return i, true
		}
	}
	return 0, false
}

// quietShard returns a shard of the upstream that is not among the busiest units in
// its report.
func (p *planner) quietShard(s unitRange, owner *upstreamInfo) (int, bool) {
	for i := s.start; i < s.pins; i++ {
		o := &p.next.Units[i]
		busy := slices.ContainsFunc(owner.report.Units, func(u UnitLoad) bool { return u.Unit == o.Unit })
		if o.Owner == owner.ID && !busy && !p.shardsOfEndedPins[o.Unit] {
			return i, true
		}
	}
	return 0, false
}
