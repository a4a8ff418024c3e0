package keyspace

import (
	"math"
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// registrationQuietTime is how long no further upstream must have registered before a
	// leader assigns the keys of a service for the first time, and maxRegistrationWait the
	// longest time that it waits after the first registration. Upstreams register in the
	// course of a heartbeat interval, and one that registers after the assignment gets
	// keys only once the others have load.
	registrationQuietTime = 1200 * time.Millisecond
	maxRegistrationWait   = 4 * time.Second
	// minConcurrentMoves is the number of shards of a service that may move at the same
	// time to balance load. If it has many upstreams, one shard for each upstreamsPerMove
	// of them may move. A move takes about 1 s: with 6 concurrent moves, 25 of 132
	// upstreams stayed overloaded for 6 s.
	minConcurrentMoves = 6
	upstreamsPerMove   = 3
	// minBusyUtilisation is the utilisation (a share of the capacity) below which an
	// upstream keeps its keys: requests hardly queue there, and each move interrupts the
	// keys that move.
	minBusyUtilisation = 0.5
	// minImbalance is the difference in utilisation between the most and the least
	// utilised upstream below which no key moves.
	minImbalance = 0.2
	// surgeDeviations is the number of standard deviations by which the fast estimate of
	// an upstream's load must exceed the slow one to count as a surge.
	surgeDeviations = 2.5
	// speedExponent determines how much speed counts: at an idle service, the capacity of
	// an upstream is multiplied by its relative speed to the power of speedExponent.
	speedExponent = 1.3
	// hotKeyShare is the share of an upstream's capacity from which on the load of a
	// single key is placed separately.
	hotKeyShare = 0.25
	// minImbalanceToEmpty replaces minBusyUtilisation and minImbalance if the least
	// utilised upstream has no keys.
	minImbalanceToEmpty = 0.05
	// coldCapacityShare is the share of its capacity that a cold upstream is planned with.
	coldCapacityShare = 0.05
)

// SetUpstreams replaces the candidates for the keys of a service.
func (co *Coordinator) SetUpstreams(now time.Time, id fleet.ServiceID, list []Upstream) {
	s := co.services[id]
	if s == nil {
		s = co.newService(id)
		co.services[id] = s
	}
	if s.firstSeen.IsZero() && len(list) > 0 {
		s.firstSeen = now
	}
	for _, u := range list {
		if _, known := s.upstreams[u.ID]; !known {
			s.lastJoined = now
		}
	}
	s.upstreams = make(map[fleet.UpstreamID]Upstream, len(list))
	s.sortedIDs = s.sortedIDs[:0]
	for _, u := range list {
		s.upstreams[u.ID] = u
		s.sortedIDs = append(s.sortedIDs, u.ID)
	}
	slices.Sort(s.sortedIDs)
}

// Plan updates the load estimates and decides which shards move to which upstreams.
func (co *Coordinator) Plan(now time.Time) {
	for _, s := range co.services {
		if !s.lastDecay.IsZero() {
			s.keyLoad.Decay(now.Sub(s.lastDecay))
		}
		s.lastDecay = now
		s.keyLoad.SetSurging(s.hasSurge())
		if len(s.shards) == 0 {
			co.assignInitial(now, s)
			continue
		}
		load := s.load()
		co.replaceHolders(now, s, load)
		if balanceByLoad {
			co.rebalance(now, s, load)
		}
	}
}

// usable returns the reachable candidates that may be sent requests. It leaves out the
// cold ones unless all are cold.
func (co *Coordinator) usable(now time.Time, s *service) []Upstream {
	var warm, cold []Upstream
	for _, id := range s.sortedIDs {
		switch u := s.upstreams[id]; {
		case !u.Usable || co.reachability[id].unreachable(now):
		case u.Cold:
			cold = append(cold, u)
		default:
			warm = append(warm, u)
		}
	}
	if len(warm) == 0 {
		return cold
	}
	return s.weighBySpeed(warm)
}

// weighBySpeed raises the capacity of fast upstreams and lowers that of slow ones,
// more so the less the service is utilised. At low load this serves requests sooner
// than equal utilisation does.
func (s *service) weighBySpeed(list []Upstream) []Upstream {
	capacity := 0.0
	for _, u := range list {
		capacity += u.Capacity
	}
	idleShare := max(0, 1-s.keyLoad.Rate(Span{0, maxKey})/capacity)
	for i, u := range list {
		if u.Speed > 0 {
			list[i].Capacity *= math.Pow(u.Speed, speedExponent*idleShare)
		}
	}
	return list
}

// assignInitial divides the keys of a service among its candidates in proportion to
// their capacities.
func (co *Coordinator) assignInitial(now time.Time, s *service) {
	candidates := co.usable(now, s)
	if len(candidates) == 0 || now.Sub(s.lastJoined) < registrationQuietTime && now.Sub(s.firstSeen) < maxRegistrationWait {
		return
	}
	total := 0.0
	for _, u := range candidates {
		total += u.Capacity
	}
	from, sum := 0, 0.0
	for i, u := range candidates {
		sum += u.Capacity
		to := int(sum / total * Keys)
		if i == len(candidates)-1 {
			to = Keys
		}
		if to <= from {
			continue
		}
		sh := &shard{Span: Span{Key(from), Key(to - 1)}, holder: u.ID, boot: u.Boot, fence: co.allocateFence(), state: stateGranting, nextCall: now}
		if now.Before(co.unknownHoldsEnd) {
			sh.blockedUntil = co.unknownHoldsEnd
		}
		s.shards = append(s.shards, sh)
		from = to
	}
	co.recordDirty, co.mapChanged = true, true
}

func (co *Coordinator) allocateFence() fleet.Fence {
	f := co.nextFence
	co.nextFence++
	return f
}

// load returns the requests per second of each upstream once all planned moves are
// complete.
func (s *service) load() map[fleet.UpstreamID]float64 {
	load := make(map[fleet.UpstreamID]float64)
	for _, sh := range s.shards {
		load[sh.plannedHolder()] += s.keyLoad.Rate(sh.Span)
	}
	return load
}

func (sh *shard) plannedHolder() fleet.UpstreamID {
	if sh.next != nil {
		return sh.next.holder
	}
	return sh.holder
}

// hasSurge reports whether the load of an upstream has risen so suddenly that the slow
// estimate does not show it yet, by more than random variation explains.
func (s *service) hasSurge() bool {
	slow, fast := make(map[fleet.UpstreamID]float64), make(map[fleet.UpstreamID]float64)
	for _, sh := range s.shards {
		slowRate, fastRate := s.keyLoad.Rates(sh.Span)
		slow[sh.plannedHolder()] += slowRate
		fast[sh.plannedHolder()] += fastRate
	}
	for id, rate := range fast {
		u, known := s.upstreams[id]
		deviation := math.Sqrt(max(slow[id], 1) * s.keyLoad.fast.ratePerCount() / 2)
		if known && rate > minBusyUtilisation*u.Capacity && rate > slow[id]+surgeDeviations*deviation {
			return true
		}
	}
	return false
}

// needsHolder reports whether sh must be assigned to another holder, or again to the
// same one after a restart or failed grants.
func (co *Coordinator) needsHolder(now time.Time, s *service, sh *shard) bool {
	u, known := s.upstreams[sh.plannedHolder()]
	boot := sh.boot
	if sh.next != nil {
		boot = sh.next.boot
	}
	return !known || !u.Usable || u.Boot != boot || co.reachability[sh.plannedHolder()].unreachable(now) || sh.next == nil && sh.failures >= maxGrantFailures
}

// replaceHolders assigns the shards of upstreams that are leaving or lost to others. It
// splits a shard with much load so that several upstreams share it.
func (co *Coordinator) replaceHolders(now time.Time, s *service, load map[fleet.UpstreamID]float64) {
	candidates := co.usable(now, s)
	if len(candidates) == 0 {
		return
	}
	total, capacity := 0.0, 0.0
	for _, l := range load {
		total += l
	}
	for _, u := range candidates {
		capacity += u.Capacity
	}
	for i := 0; i < len(s.shards); i++ {
		sh := s.shards[i]
		if sh.callPending || !co.needsHolder(now, s, sh) || sh.next != nil && sh.recorded && sh.state != stateHeld {
			continue
		}
		if sh.next != nil && sh.recorded {
			continue
		}
		rate := s.keyLoad.Rate(sh.Span)
		maxRate := total / capacity * candidates[0].Capacity / 2
		if prefix, _, ok := s.keyLoad.Prefix(sh.Span, maxRate); ok && rate > maxRate && prefix.To < sh.To {
			s.split(i, prefix.To)
			rate = s.keyLoad.Rate(sh.Span)
		}
		u, ok := leastUtilised(candidates, load, sh.plannedHolder(), s, sh)
		if !ok {
			continue
		}
		load[sh.plannedHolder()] -= rate
		load[u.ID] += rate
		co.planMove(now, s, sh, u, "holder-lost")
	}
}

// leastUtilised returns the candidate with the lowest utilisation. It skips except, the
// holder that sh is taken from, if there are others and that holder has not restarted.
func leastUtilised(candidates []Upstream, load map[fleet.UpstreamID]float64, except fleet.UpstreamID, s *service, sh *shard) (Upstream, bool) {
	best, found := Upstream{}, false
	for _, u := range candidates {
		if u.ID == except && len(candidates) > 1 && s.upstreams[except].Boot == sh.boot {
			continue
		}
		if !found || load[u.ID]/u.plannedCapacity() < load[best.ID]/best.plannedCapacity() {
			best, found = u, true
		}
	}
	return best, found
}

func (u Upstream) plannedCapacity() float64 {
	if u.Cold {
		return u.Capacity * coldCapacityShare
	}
	return u.Capacity
}

// planMove plans the move of sh to u.
func (co *Coordinator) planMove(now time.Time, s *service, sh *shard, u Upstream, cause string) {
	co.moves = append(co.moves, Move{Service: s.id, Span: sh.Span, From: sh.plannedHolder(), To: u.ID, Cause: cause, Rate: s.keyLoad.Rate(sh.Span)})
	co.recordDirty = true
	sh.recorded = false
	sh.nextCall = now
	if sh.state == stateGranting && !sh.everGranted && sh.latestHoldEnd.IsZero() && !sh.callPending {
		// No grant was sent, so that no release is needed.
		sh.holder, sh.boot, sh.fence, sh.next, sh.failures, sh.refused = u.ID, u.Boot, co.allocateFence(), nil, 0, false
		return
	}
	sh.next = &transfer{holder: u.ID, boot: u.Boot, raisedFence: co.nextFence}
	co.nextFence += maxFenceRaises
	sh.next.fence = co.allocateFence()
	if cur, known := s.upstreams[sh.holder]; known && cur.Boot != sh.boot && sh.state == stateHeld {
		co.mapChanged = true
		sh.state = stateWaiting
	}
}

// Move is a decision of Plan to move a span.
type Move struct {
	Service fleet.ServiceID
	Span
	From, To fleet.UpstreamID
	Cause    string
	Rate     float64 // requests per second
}

// Moves returns the moves that were decided since the last call.
func (co *Coordinator) Moves() []Move {
	moves := co.moves
	co.moves = nil
	return moves
}

// split divides the shard with index i after key at and returns the second part. Both
// parts keep the holder.
func (s *service) split(i int, at Key) *shard {
	sh := s.shards[i]
	tail := *sh
	tail.From = at + 1
	sh.To = at
	s.shards = slices.Insert(s.shards, i+1, &tail)
	return &tail
}

// rebalance moves load from the most to the least utilised upstreams.
func (co *Coordinator) rebalance(now time.Time, s *service, load map[fleet.UpstreamID]float64) {
	moving := 0
	for _, sh := range s.shards {
		if sh.next != nil || sh.state != stateHeld {
			moving++
		}
	}
	candidates := co.usable(now, s)
	maxMoving := max(minConcurrentMoves, len(candidates)/upstreamsPerMove)
	for ; moving < maxMoving && len(candidates) > 1; moving++ {
		slices.SortStableFunc(candidates, func(a, b Upstream) int {
			return compareFloats(load[a.ID]/a.plannedCapacity(), load[b.ID]/b.plannedCapacity())
		})
		leastBusy := candidates[0]
		moved := false
		for i := len(candidates) - 1; i > 0 && !moved; i-- {
			source := candidates[i]
			utilisation, minDifference := load[source.ID]/source.plannedCapacity(), minImbalance
			if _, holds := load[leastBusy.ID]; !holds {
				minDifference = minImbalanceToEmpty
			} else if utilisation < minBusyUtilisation {
				break
			}
			if utilisation-load[leastBusy.ID]/leastBusy.plannedCapacity() < minDifference {
				break
			}
			moved = co.moveLoad(now, s, source, leastBusy, load) || co.moveHotKey(now, s, source, candidates, load)
		}
		if !moved {
			return
		}
	}
}

// moveLoad moves a part of one shard between two upstreams, chosen so that both end up
// with about the same utilisation. It reports whether it found a suitable part.
func (co *Coordinator) moveLoad(now time.Time, s *service, from, to Upstream, load map[fleet.UpstreamID]float64) bool {
	wantedRate := (load[from.ID]/from.plannedCapacity() - load[to.ID]/to.plannedCapacity()) / (1/from.plannedCapacity() + 1/to.plannedCapacity())
	best, bestRate := -1, 0.0
	var bestSpan Span
	for i, sh := range s.shards {
		if sh.holder != from.ID || sh.next != nil || sh.state != stateHeld || sh.callPending || !sh.recorded {
			continue
		}
		for _, takeEnd := range []func(Span, float64) (Span, float64, bool){s.keyLoad.Prefix, s.keyLoad.Suffix} {
			span, rate, ok := takeEnd(sh.Span, wantedRate*1.1)
			if ok && (rate > bestRate*1.1 || rate > bestRate*0.9 && keyCount(span) < keyCount(bestSpan)) {
				best, bestRate, bestSpan = i, rate, span
			}
		}
	}
	if best < 0 || bestRate < wantedRate/8 {
		return false
	}
	sh := s.splitOut(best, bestSpan)
	load[from.ID] -= bestRate
	load[to.ID] += bestRate
	co.planMove(now, s, sh, to, "load")
	return true
}

// splitOut splits the shard with index i so that span becomes a shard of its own, and
// returns that shard.
func (s *service) splitOut(i int, span Span) *shard {
	sh := s.shards[i]
	if span.To < sh.To {
		s.split(i, span.To)
	}
	if span.From > sh.From {
		sh = s.split(i, span.From-1)
	}
	return sh
}

// moveHotKey moves the busiest key of an upstream to the candidate whose utilisation is
// then lowest, if the load of that key alone is too high for moveLoad. Later calls of
// rebalance move other keys away from the new holder. It reports whether the key moves.
func (co *Coordinator) moveHotKey(now time.Time, s *service, from Upstream, candidates []Upstream, load map[fleet.UpstreamID]float64) bool {
	index, key, rate := -1, Key(0), 0.0
	for i, sh := range s.shards {
		if sh.holder != from.ID || sh.next != nil || sh.state != stateHeld || sh.callPending || !sh.recorded {
			continue
		}
		for k := int(sh.From); k <= int(sh.To); k++ {
			if r := s.keyLoad.keyRate(k); r > rate {
				index, key, rate = i, Key(k), r
			}
		}
	}
	if index < 0 || rate < hotKeyShare*from.plannedCapacity() {
		return false
	}
	best, bestUtilisation := from, load[from.ID]/from.plannedCapacity()-minImbalance
	for _, u := range candidates {
		// About half of the candidate's other load can move away later.
		if utilisation := (load[u.ID]/2 + rate) / u.plannedCapacity(); u.ID != from.ID && utilisation < bestUtilisation {
			best, bestUtilisation = u, utilisation
		}
	}
	if best.ID == from.ID {
		return false
	}
	load[from.ID] -= rate
	load[best.ID] += rate
	co.planMove(now, s, s.splitOut(index, Span{key, key}), best, "hot-key")
	return true
}

func keyCount(s Span) int { return int(s.To) - int(s.From) + 1 }

func compareFloats(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
