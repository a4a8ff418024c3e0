package keyspace

import (
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// minConcurrentMoves is the number of shards of a service that may move at the same
	// time to balance load. If it has many upstreams, one shard for each upstreamsPerMove
	// of them may move. A move takes about 1 s: with 6 concurrent moves, 25 of 132
	// upstreams stayed overloaded for 6 s. Parts of a holder with more than its capacity
	// may move to all other upstreams at once: shares of the keys that move one after the
	// other keep the load for several times the duration of a move.
	minConcurrentMoves = 6
	upstreamsPerMove   = 3
	// minBusyUtilisation is the utilisation (a share of the capacity) below which an
	// upstream keeps its keys: requests hardly queue there, and each move interrupts the
	// keys that move.
	minBusyUtilisation = 0.6
	// minImbalance is the difference in utilisation between the most and the least
	// utilised upstream below which no key moves, and imbalanceDeviations the number of
	// standard deviations of the load of the former.
	minImbalance        = 0.25
	imbalanceDeviations = 3.0
	// minStay is the time for which a part stays after a move. The requests that waited for
	// it make a queue at first, and the estimates of the load of its keys settle meanwhile.
	minStay = 2 * time.Second
	// minSurgeRequests is the number of requests from which on the keys of a surge are
	// divided, and maxSurgeWait the time after which they are with fewer: a division by
	// the first requests puts half of the keys on a few upstreams.
	minSurgeRequests = 40.0
	maxSurgeWait     = 200 * time.Millisecond
	// upstreamsPerPart is the number of upstreams for each part into which the keys of a
	// surge are divided.
	upstreamsPerPart = 2
	// minWholeShare is the share of the wanted rate from which on a whole shard moves rather
	// than a part of one, and maxShardsPerUpstream the mean number of shards from which on
	// only whole ones move to level the load. Each shard is renewed by a call of its own
	// twice a second.
	minWholeShare        = 0.4
	maxShardsPerUpstream = 3
	// minImbalanceToEmpty replaces minBusyUtilisation and minImbalance if the least
	// utilised upstream has no keys.
	minImbalanceToEmpty = 0.05
	// hotKeyShare is the share of an upstream's capacity from which on the load of a
	// single key is placed separately.
	hotKeyShare = 0.25
	// overloadUtilisation is the utilisation from which on the load of an upstream is
	// divided among as many others as needed, in one step.
	overloadUtilisation = 0.85
	// spreadUtilisation is the utilisation up to which upstreams take parts of the load
	// of an overloaded one, and spreadMargin the least difference to the mean utilisation
	// of the service.
	spreadUtilisation = 0.5
	spreadMargin      = 1.15
	// hotKeyUtilisation is the utilisation up to which an upstream takes a single key of an
	// overloaded one.
	hotKeyUtilisation = 0.9
)

// balancing is one step of balancing the load of a service.
type balancing struct {
	co         *Coordinator
	now        time.Time
	s          *service
	load       map[fleet.UpstreamID]float64 // requests/s, once all planned moves are complete
	candidates []Upstream
	byHolder   map[fleet.UpstreamID][]*shard // those that may move
	moving     int
}

// rebalance moves load from the most to the least utilised upstreams.
func (co *Coordinator) rebalance(now time.Time, s *service, load map[fleet.UpstreamID]float64) {
	b := &balancing{co: co, now: now, s: s, load: load, candidates: co.usable(now, s), byHolder: make(map[fleet.UpstreamID][]*shard)}
	for _, sh := range s.shards {
		switch {
		case sh.next != nil || sh.state != stateHeld:
			b.moving++
		case sh.callPending || !sh.recorded || sh.rising || sh.surging && !b.surgeKnown():
		case now.Sub(sh.movedAt) >= minStay || b.splits(sh):
			b.byHolder[sh.holder] = append(b.byHolder[sh.holder], sh)
		}
	}
	if len(b.candidates) < 2 {
		return
	}
	b.spreadOverload()
	b.level()
}

// splits reports whether sh has arrived with so much load that it has to be divided at
// once.
func (b *balancing) splits(sh *shard) bool {
	return sh.From < sh.To && b.s.keyLoad.Rate(sh.Span) > b.s.upstreams[sh.holder].Capacity*spreadUtilisation
}

// surgeKnown reports whether enough requests of a surge are known to divide its keys.
func (b *balancing) surgeKnown() bool {
	return b.s.keyLoad.surge.requests >= minSurgeRequests || b.now.Sub(b.s.surgeSince) >= maxSurgeWait
}

// maxPartRate returns the most requests per second of one part of a surge. Its keys go to
// many upstreams, however few requests show it so far.
func (b *balancing) maxPartRate() float64 {
	return b.s.keyLoad.surge.rate * upstreamsPerPart / float64(len(b.candidates))
}

func (b *balancing) utilisation(u Upstream) float64 { return b.load[u.ID] / u.plannedCapacity() }

// sortCandidates orders the candidates by utilisation, the least utilised first.
func (b *balancing) sortCandidates() {
	slices.SortStableFunc(b.candidates, func(x, y Upstream) int { return compareFloats(b.utilisation(x), b.utilisation(y)) })
}

// spreadOverload divides the load of overloaded upstreams among the least utilised ones,
// such that none of these is loaded much more than the mean.
func (b *balancing) spreadOverload() {
	b.sortCandidates()
	total, capacity := 0.0, 0.0
	for _, u := range b.candidates {
		total, capacity = total+b.load[u.ID], capacity+u.plannedCapacity()
	}
	goal := max(spreadUtilisation, spreadMargin*total/capacity)
	byLoad, fastest := slices.Clone(b.candidates), 0.0
	for _, u := range byLoad {
		fastest = max(fastest, u.plannedCapacity())
	}
	targets, next := slices.Clone(b.candidates), 0
	slices.SortStableFunc(targets, func(x, y Upstream) int { return compareFloats(b.room(y, goal), b.room(x, goal)) })
	for _, source := range slices.Backward(byLoad) {
		if b.utilisation(source) < max(overloadUtilisation, goal) {
			return
		}
		if !slices.ContainsFunc(b.byHolder[source.ID], func(sh *shard) bool { return sh.surging }) {
			continue
		}
	parts:
		for ; next < len(targets) && b.moving < len(targets) && b.utilisation(source) > goal; next++ {
			target := targets[next]
			room := b.room(target, goal)
			if room <= 0 {
				break
			}
			key, sh, rate, ok := b.hottestKey(source)
			switch {
			case !ok:
				break parts
			case target.ID == source.ID:
			case b.s.keyLoad.fastKeyRate(key) > fastest && fastest < minHotKeyGain*source.plannedCapacity():
				b.isolate(source, key, sh)
				next--
			case rate <= room:
				if !b.movePart(source, target, min(room, -b.room(source, goal), b.maxPartRate())) {
					break parts
				}
			case (b.load[target.ID]+rate)/target.plannedCapacity() <= max(hotKeyUtilisation, b.utilisation(source)/4):
				b.move(sh, Span{key, key}, source, target, rate, "overload")
			}
		}
		b.moveHotKey(source)
	}
}

// room returns the requests per second by which the load of u is below a utilisation.
func (b *balancing) room(u Upstream, utilisation float64) float64 {
	return utilisation*u.plannedCapacity() - b.load[u.ID]
}

// isolate makes a key that is too hot for any upstream a shard of its own, which stays. The
// other keys of its holder can then move away from it.
func (b *balancing) isolate(holder Upstream, key Key, sh *shard) {
	_, rest := b.s.splitOut(slices.Index(b.s.shards, sh), Span{key, key})
	b.byHolder[holder.ID] = slices.DeleteFunc(b.byHolder[holder.ID], func(o *shard) bool { return o == sh })
	b.byHolder[holder.ID] = append(b.byHolder[holder.ID], rest...)
}

// hottestKey returns the busiest key of an upstream that may move, its shard and its rate.
// ok is false if no key of the upstream may move; the other results mean nothing then.
func (b *balancing) hottestKey(of Upstream) (key Key, hottest *shard, rate float64, ok bool) {
	for _, sh := range b.byHolder[of.ID] {
		for k := int(sh.From); k <= int(sh.To); k++ {
			if r := b.s.keyLoad.keyRate(k); r > rate {
				key, hottest, rate = Key(k), sh, r
			}
		}
	}
	return key, hottest, rate, hottest != nil
}

// movePart moves a part with at most the given rate from one upstream to another, with as
// few keys as possible. It reports whether there is one.
func (b *balancing) movePart(from, to Upstream, rate float64) bool {
	var best *shard
	var bestPart Span
	bestRate := 0.0
	for _, sh := range b.byHolder[from.ID] {
		part, r, ok := b.s.keyLoad.densest(sh.Span, rate)
		if ok && (best == nil || bestRate < rate/2 && r > bestRate || r >= rate/2 && r/float64(keyCount(part)) > bestRate/float64(keyCount(bestPart))) {
			best, bestPart, bestRate = sh, part, r
		}
	}
	if best == nil || bestRate < rate/8 {
		return false
	}
	b.move(best, bestPart, from, to, bestRate, "overload")
	return true
}

// move plans the move of a part of sh.
func (b *balancing) move(sh *shard, part Span, from, to Upstream, rate float64, cause string) {
	moved, rest := b.s.splitOut(slices.Index(b.s.shards, sh), part)
	b.byHolder[from.ID] = slices.DeleteFunc(b.byHolder[from.ID], func(o *shard) bool { return o == sh })
	b.byHolder[from.ID] = append(b.byHolder[from.ID], rest...)
	b.load[from.ID] -= rate
	b.load[to.ID] += rate
	b.moving++
	b.co.planMove(b.now, b.s, moved, to, cause)
}

// level moves load from the most to the least utilised upstreams.
func (b *balancing) level() {
	maxMoving := max(minConcurrentMoves, len(b.candidates)/upstreamsPerMove)
	for b.moving < maxMoving {
		b.sortCandidates()
		leastBusy := b.candidates[0]
		moved := false
		for i := len(b.candidates) - 1; i > 0 && !moved; i-- {
			source := b.candidates[i]
			utilisation := b.utilisation(source)
			minDifference := max(minImbalance, imbalanceDeviations*b.s.keyLoad.deviation(b.load[source.ID])/source.plannedCapacity())
			if _, holds := b.load[leastBusy.ID]; !holds {
				minDifference = minImbalanceToEmpty
			} else if utilisation < minBusyUtilisation {
				return
			}
			if utilisation-b.utilisation(leastBusy) < minDifference {
				break
			}
			moved = b.moveEnd(source, leastBusy) || b.moveHotKey(source)
		}
		if !moved {
			return
		}
	}
}

// moveEnd moves a shard, or a part at an end of one, between two upstreams, chosen so that
// both end up with about the same utilisation. It reports whether it found a suitable part.
func (b *balancing) moveEnd(from, to Upstream) bool {
	wantedRate := (b.utilisation(from) - b.utilisation(to)) / (1/from.plannedCapacity() + 1/to.plannedCapacity())
	var best *shard
	var bestSpan Span
	bestRate := 0.0
	_, holds := b.load[to.ID]
	if holds { // else it may be one that has failed, which gets as few keys as possible
		best, bestSpan, bestRate = b.wholeShard(from, wantedRate)
	}
	if best == nil && (!holds || len(b.s.shards) < maxShardsPerUpstream*len(b.candidates)) {
		best, bestSpan, bestRate = b.endOfShard(from, wantedRate)
	}
	if best == nil || bestRate < wantedRate/8 {
		return false
	}
	b.move(best, bestSpan, from, to, bestRate, "load")
	return true
}

// wholeShard returns the shard of an upstream whose rate is nearest to the wanted one, if
// there is one with about that rate. Moving it creates no further shard.
func (b *balancing) wholeShard(from Upstream, wantedRate float64) (best *shard, span Span, rate float64) {
	for _, sh := range b.byHolder[from.ID] {
		r := b.s.keyLoad.Rate(sh.Span)
		if !sh.surging && r >= wantedRate*minWholeShare && r <= wantedRate*1.1 && r > rate {
			best, span, rate = sh, sh.Span, r
		}
	}
	return best, span, rate
}

// endOfShard returns the part at an end of a shard with about the wanted rate.
func (b *balancing) endOfShard(from Upstream, wantedRate float64) (best *shard, span Span, rate float64) {
	for _, sh := range b.byHolder[from.ID] {
		if sh.surging {
			continue // spreadOverload divides it
		}
		for _, takeEnd := range []func(Span, float64) (Span, float64, bool){b.s.keyLoad.Prefix, b.s.keyLoad.Suffix} {
			part, r, ok := takeEnd(sh.Span, wantedRate*1.1)
			if ok && (r > rate*1.1 || r > rate*0.9 && keyCount(part) < keyCount(span)) {
				best, span, rate = sh, part, r
			}
		}
	}
	return best, span, rate
}

// moveHotKey moves the busiest key of an upstream to the candidate whose utilisation is
// then lowest, if the load of that key alone is too high for the other moves. Later steps
// move other keys away from the new holder. It reports whether the key moves.
func (b *balancing) moveHotKey(from Upstream) bool {
	key, hottest, rate, ok := b.hottestKey(from)
	if !ok || rate < hotKeyShare*from.plannedCapacity() {
		return false
	}
	best, bestUtilisation := from, b.utilisation(from)-minImbalance
	for _, u := range b.candidates {
		// About half of the candidate's other load can move away later.
		if utilisation := (b.load[u.ID]/2 + rate) / u.plannedCapacity(); u.ID != from.ID && utilisation < bestUtilisation {
			best, bestUtilisation = u, utilisation
		}
	}
	if best.ID == from.ID || rate > best.plannedCapacity() && best.plannedCapacity() < minHotKeyGain*from.plannedCapacity() {
		return false
	}
	b.move(hottest, Span{key, key}, from, best, rate, "hot-key")
	return true
}

// minHotKeyGain is the ratio of capacities from which on a key that is too hot for any
// upstream moves. While it moves, its holder still has a full queue.
const minHotKeyGain = 1.5
