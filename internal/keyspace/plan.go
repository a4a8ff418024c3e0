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
	// speedExponent determines how much speed counts: at an idle service, the capacity of
	// an upstream is multiplied by its relative speed to the power of speedExponent.
	speedExponent = 1.3
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
	co.inherit(now)
	for _, s := range co.services {
		if !s.lastDecay.IsZero() {
			s.keyLoad.Decay(now.Sub(s.lastDecay))
		}
		s.lastDecay = now
		s.estimateLoad(now)
		if len(s.shards) == 0 {
			co.assignInitial(now, s)
			continue
		}
		if co.inheriting {
			continue
		}
		load := s.load()
		co.replaceHolders(now, s, load)
		if balanceByLoad {
			co.rebalance(now, s, load)
		}
		s.hotKeys = s.findHotKeys(load)
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
			sh.blockedUntil, sh.inherited = co.unknownHoldsEnd, co.inheriting
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

// estimateLoad updates the estimates of the load of all keys.
func (s *service) estimateLoad(now time.Time) {
	spans := make([]Span, len(s.shards))
	for i, sh := range s.shards {
		spans[i] = sh.Span
	}
	surging := false
	loads := s.keyLoad.estimate(spans)
	for i, sh := range s.shards {
		l := loads[i]
		sh.surging, s.shards[i].rising = l.surging, l.rising
		surging = surging || l.surging
	}
	switch {
	case !surging:
		s.surgeSince = time.Time{}
	case s.surgeSince.IsZero():
		s.surgeSince = now
	}
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
	sh.recorded, sh.movedAt = false, now
	if sh.state != stateHeld { // else the next call is due once the record is stored
		sh.nextCall = now
	}
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

// splitOut splits the shard with index i so that span becomes a shard of its own, and
// returns that shard and the remaining parts.
func (s *service) splitOut(i int, span Span) (*shard, []*shard) {
	sh := s.shards[i]
	var rest []*shard
	if span.To < sh.To {
		rest = append(rest, s.split(i, span.To))
	}
	if span.From > sh.From {
		rest = append(rest, sh)
		sh = s.split(i, span.From-1)
	}
	return sh, rest
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
