package keyspace

import (
	"math"
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// settle is how long a leader waits for a further upstream to register before it
	// divides the keys of a service for the first time, and maxSettle how long it waits
	// for all of them: they register over a heartbeat, and one that comes later gets
	// keys only once others have load.
	settle    = 1200 * time.Millisecond
	maxSettle = 4 * time.Second
	// leastMoves is the number of pieces of a service that may move for the sake of
	// balance at the same time; with many upstreams it is one for upstreamsPerMove of
	// them. A move takes about a second, and with 6 at a time 25 of 132 upstreams were
	// overloaded for 6 s on end.
	leastMoves       = 6
	upstreamsPerMove = 3
	// busyEnough is the utilisation below which an upstream keeps its keys: each move
	// interrupts its keys, and requests hardly wait there.
	busyEnough = 0.5
	// imbalance is the difference in utilisation between the busiest and the idlest
	// upstream below which nothing moves.
	imbalance = 0.2
	// surgeDeviations is how many standard deviations above the slow count the fast
	// one must be to count as a surge.
	surgeDeviations = 2.5
	// speedPreference is the power of an upstream's speed that its capacity is weighed
	// with when its service is idle.
	speedPreference = 1.3
	// hotKey is the part of an upstream's capacity from which on one key is placed by
	// itself.
	hotKey = 0.25
	// emptyImbalance replaces both for an upstream without any keys.
	emptyImbalance = 0.05
	// coldCapacity is the part of its capacity that a cold upstream is planned with.
	coldCapacity = 0.05
)

// SetUpstreams replaces the candidates of a service.
func (o *Owner) SetUpstreams(now time.Time, id fleet.ServiceID, list []Upstream) {
	s := o.services[id]
	if s == nil {
		s = &service{id: id, heat: NewHeat()}
		o.services[id] = s
	}
	if s.first.IsZero() && len(list) > 0 {
		s.first = now
	}
	for _, u := range list {
		if _, known := s.upstreams[u.ID]; !known {
			s.latest = now
		}
	}
	s.upstreams = make(map[fleet.UpstreamID]Upstream, len(list))
	s.order = s.order[:0]
	for _, u := range list {
		s.upstreams[u.ID] = u
		s.order = append(s.order, u.ID)
	}
	slices.Sort(s.order)
}

// Plan decides on moves.
func (o *Owner) Plan(now time.Time) {
	for _, s := range o.services {
		if !s.decayed.IsZero() {
			s.heat.Decay(now.Sub(s.decayed))
		}
		s.decayed = now
		s.heat.Surge(s.surges())
		if len(s.pieces) == 0 {
			o.divide(now, s)
			continue
		}
		load := s.load()
		o.replace(now, s, load)
		if evened {
			o.balance(now, s, load)
		}
	}
}

// usable returns the candidates that may hold keys, warm ones if there are any.
func (o *Owner) usable(now time.Time, s *service) []Upstream {
	var warm, cold []Upstream
	for _, id := range s.order {
		switch u := s.upstreams[id]; {
		case !u.Usable || o.contacts[id].unreachable(now):
		case u.Cold:
			cold = append(cold, u)
		default:
			warm = append(warm, u)
		}
	}
	if len(warm) == 0 {
		return cold
	}
	return s.preferFast(warm)
}

// preferFast weighs capacities by speed while the service has room: requests are
// then served sooner than with an even utilisation.
func (s *service) preferFast(list []Upstream) []Upstream {
	capacity := 0.0
	for _, u := range list {
		capacity += u.Capacity
	}
	room := max(0, 1-s.heat.Rate(Span{0, maxKey})/capacity)
	for i, u := range list {
		if u.Speed > 0 {
			list[i].Capacity *= math.Pow(u.Speed, speedPreference*room)
		}
	}
	return list
}

// divide gives each upstream a span by its capacity.
func (o *Owner) divide(now time.Time, s *service) {
	candidates := o.usable(now, s)
	if len(candidates) == 0 || now.Sub(s.latest) < settle && now.Sub(s.first) < maxSettle {
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
		s.pieces = append(s.pieces, &piece{
			Span: Span{Key(from), Key(to - 1)}, holder: u.ID, boot: u.Boot, fence: o.takeFence(), state: granting, due: now,
		})
		from = to
	}
	o.dirty, o.changed = true, true
}

func (o *Owner) takeFence() fleet.Fence {
	f := o.nextFence
	o.nextFence++
	return f
}

// load returns the requests a second that each upstream gets once all moves are
// done.
func (s *service) load() map[fleet.UpstreamID]float64 {
	load := make(map[fleet.UpstreamID]float64)
	for _, p := range s.pieces {
		load[p.goesTo()] += s.heat.Rate(p.Span)
	}
	return load
}

func (p *piece) goesTo() fleet.UpstreamID {
	if p.next != nil {
		return p.next.holder
	}
	return p.holder
}

// surges reports whether an upstream has become busy so suddenly that the slow
// count does not show it yet, and by more than chance.
func (s *service) surges() bool {
	slow, fast := make(map[fleet.UpstreamID]float64), make(map[fleet.UpstreamID]float64)
	for _, p := range s.pieces {
		a, b := s.heat.Rates(p.Span)
		slow[p.goesTo()] += a
		fast[p.goesTo()] += b
	}
	for id, rate := range fast {
		u, known := s.upstreams[id]
		chance := math.Sqrt(max(slow[id], 1) * s.heat.fast.factor() / 2)
		if known && rate > busyEnough*u.Capacity && rate > slow[id]+surgeDeviations*chance {
			return true
		}
	}
	return false
}

// lost reports whether p needs another holder.
func (o *Owner) lost(now time.Time, s *service, p *piece) bool {
	u, known := s.upstreams[p.goesTo()]
	boot := p.boot
	if p.next != nil {
		boot = p.next.boot
	}
	return !known || !u.Usable || u.Boot != boot || o.contacts[p.goesTo()].unreachable(now) || p.next == nil && p.failures >= refusedAfter
}

// replace finds other holders for the pieces of upstreams that are leaving or
// lost. A piece with much load is divided among several.
func (o *Owner) replace(now time.Time, s *service, load map[fleet.UpstreamID]float64) {
	candidates := o.usable(now, s)
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
	for i := 0; i < len(s.pieces); i++ {
		p := s.pieces[i]
		if p.calling || !o.lost(now, s, p) || p.next != nil && p.stored && p.state != held {
			continue
		}
		if p.next != nil && p.stored {
			continue
		}
		rate := s.heat.Rate(p.Span)
		share := total / capacity * candidates[0].Capacity / 2
		if head, _, ok := s.heat.Prefix(p.Span, share); ok && rate > share && head.To < p.To {
			s.split(i, head.To)
			rate = s.heat.Rate(p.Span)
		}
		u, ok := idlest(candidates, load, p.goesTo(), s, p)
		if !ok {
			continue
		}
		load[p.goesTo()] -= rate
		load[u.ID] += rate
		o.move(now, s, p, u, "holder-lost")
	}
}

// idlest returns the candidate with the least utilisation. A piece whose holder
// failed is not planned for that holder again while there is another.
func idlest(candidates []Upstream, load map[fleet.UpstreamID]float64, not fleet.UpstreamID, s *service, p *piece) (Upstream, bool) {
	best, found := Upstream{}, false
	for _, u := range candidates {
		if u.ID == not && len(candidates) > 1 && s.upstreams[not].Boot == p.boot {
			continue
		}
		if !found || load[u.ID]/u.capacity() < load[best.ID]/best.capacity() {
			best, found = u, true
		}
	}
	return best, found
}

func (u Upstream) capacity() float64 {
	if u.Cold {
		return u.Capacity * coldCapacity
	}
	return u.Capacity
}

// move plans that p goes to u.
func (o *Owner) move(now time.Time, s *service, p *piece, u Upstream, cause string) {
	o.moves = append(o.moves, Move{Service: s.id, Span: p.Span, From: p.goesTo(), To: u.ID, Cause: cause, Rate: s.heat.Rate(p.Span)})
	o.dirty = true
	p.stored = false
	p.due = now
	if p.state == granting && !p.everServed && p.maxHold.IsZero() && !p.calling {
		// Nobody was granted it yet.
		p.holder, p.boot, p.fence, p.next, p.failures = u.ID, u.Boot, o.takeFence(), nil, 0
		return
	}
	p.next = &target{holder: u.ID, boot: u.Boot, bump: o.nextFence}
	o.nextFence += maxBumps
	p.next.fence = o.takeFence()
	if cur, known := s.upstreams[p.holder]; known && cur.Boot != p.boot && p.state == held {
		o.changed = true
		p.state = waiting
	}
}

// Move is a decision of the plan.
type Move struct {
	Service fleet.ServiceID
	Span
	From, To fleet.UpstreamID
	Cause    string
	Rate     float64 // requests a second
}

// Moves returns the decisions since the last call.
func (o *Owner) Moves() []Move {
	moves := o.moves
	o.moves = nil
	return moves
}

// split divides the i-th piece after key at. Both parts keep its holder.
func (s *service) split(i int, at Key) *piece {
	p := s.pieces[i]
	tail := *p
	tail.From = at + 1
	p.To = at
	s.pieces = slices.Insert(s.pieces, i+1, &tail)
	return &tail
}

// balance moves load from the busiest to the idlest upstreams.
func (o *Owner) balance(now time.Time, s *service, load map[fleet.UpstreamID]float64) {
	moving := 0
	for _, p := range s.pieces {
		if p.next != nil || p.state != held {
			moving++
		}
	}
	candidates := o.usable(now, s)
	most := max(leastMoves, len(candidates)/upstreamsPerMove)
	for ; moving < most && len(candidates) > 1; moving++ {
		slices.SortStableFunc(candidates, func(a, b Upstream) int {
			return cmpFloat(load[a.ID]/a.capacity(), load[b.ID]/b.capacity())
		})
		idle := candidates[0]
		moved := false
		for i := len(candidates) - 1; i > 0 && !moved; i-- {
			busy := candidates[i]
			used, least := load[busy.ID]/busy.capacity(), imbalance
			if _, holds := load[idle.ID]; !holds {
				least = emptyImbalance
			} else if used < busyEnough {
				break
			}
			if used-load[idle.ID]/idle.capacity() < least {
				break
			}
			moved = o.shift(now, s, busy, idle, load) || o.isolate(now, s, busy, candidates, load)
		}
		if !moved {
			return
		}
	}
}

// shift moves a part of one piece from busy to idle such that both end up alike.
func (o *Owner) shift(now time.Time, s *service, busy, idle Upstream, load map[fleet.UpstreamID]float64) bool {
	want := (load[busy.ID]/busy.capacity() - load[idle.ID]/idle.capacity()) / (1/busy.capacity() + 1/idle.capacity())
	best, bestRate := -1, 0.0
	var bestSpan Span
	for i, p := range s.pieces {
		if p.holder != busy.ID || p.next != nil || p.state != held || p.calling || !p.stored {
			continue
		}
		for _, cut := range []func(Span, float64) (Span, float64, bool){s.heat.Prefix, s.heat.Suffix} {
			span, rate, ok := cut(p.Span, want*1.1)
			if ok && (rate > bestRate*1.1 || rate > bestRate*0.9 && size(span) < size(bestSpan)) {
				best, bestRate, bestSpan = i, rate, span
			}
		}
	}
	if best < 0 || bestRate < want/8 {
		return false
	}
	p := s.cut(best, bestSpan)
	load[busy.ID] -= bestRate
	load[idle.ID] += bestRate
	o.move(now, s, p, idle, "load")
	return true
}

// cut splits the i-th piece such that span is a piece of its own, which it returns.
func (s *service) cut(i int, span Span) *piece {
	p := s.pieces[i]
	if span.To < p.To {
		s.split(i, span.To)
	}
	if span.From > p.From {
		p = s.split(i, span.From-1)
	}
	return p
}

// isolate moves the busiest key of an upstream to where it does the least harm, if
// that key alone is too much to even out. Its neighbours there move away later.
func (o *Owner) isolate(now time.Time, s *service, busy Upstream, candidates []Upstream, load map[fleet.UpstreamID]float64) bool {
	at, key, rate := -1, Key(0), 0.0
	for i, p := range s.pieces {
		if p.holder != busy.ID || p.next != nil || p.state != held || p.calling || !p.stored {
			continue
		}
		for k := int(p.From); k <= int(p.To); k++ {
			if r := s.heat.at(k); r > rate {
				at, key, rate = i, Key(k), r
			}
		}
	}
	if at < 0 || rate < hotKey*busy.capacity() {
		return false
	}
	best, bestUse := busy, load[busy.ID]/busy.capacity()-imbalance
	for _, u := range candidates {
		// Half of what it holds besides can move away.
		if use := (load[u.ID]/2 + rate) / u.capacity(); u.ID != busy.ID && use < bestUse {
			best, bestUse = u, use
		}
	}
	if best.ID == busy.ID {
		return false
	}
	load[busy.ID] -= rate
	load[best.ID] += rate
	o.move(now, s, s.cut(at, Span{key, key}), best, "hot-key")
	return true
}

func size(s Span) int { return int(s.To) - int(s.From) + 1 }

func cmpFloat(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
