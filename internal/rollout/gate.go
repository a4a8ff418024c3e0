package rollout

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Use says which requests may use an upstream, by its version.
type Use int

// The uses.
const (
	UseOpen  Use = iota // all requests
	UseTrial            // those that a roll-out sends to the new version
	UseSpare            // none yet: the share of the new version is carried by others
	UseNone             // none
)

// unorderedDelay is the time after which a version that no order names is used: operators
// may write the order some time after the first upstream has registered.
const unorderedDelay = 3 * time.Second

// Upstream is an upstream as the gate sees it.
type Upstream struct {
	ID      fleet.UpstreamID
	Service fleet.ServiceID
	Version fleet.VersionID
	Usable  bool // neither leaving nor evacuated
}

// versions are the versions of a service that all requests may use, and since when others
// have been listed.
type versions struct {
	seenAt  time.Time // when the service was first listed
	allowed map[fleet.VersionID]bool
	heldAt  map[fleet.VersionID]time.Time
}

// Gate is an instance's knowledge of the versions that requests may use.
type Gate struct {
	rng        *rand.Rand
	services   map[fleet.ServiceID]*versions
	directives map[fleet.ServiceID]Directive
	heardAt    time.Time // earliest time at which the leader may have made the directives
	picks      map[fleet.ServiceID]*picks
}

// picks are the requests of a service since its roll-out began.
type picks struct {
	total  int
	routes map[string]*routePicks
}

// routePicks are those of one route. position is the last term of its recurrence.
type routePicks struct {
	n        int
	position float64
}

const (
	// evenShare is the largest share of all requests up to which a route gets more than its
	// part of an even directive, and maxBoost how many times its part it gets at most: a
	// verdict needs about as many responses of each route. With n routes the share is 1/n at
	// most, since the upstreams of the new version would get several times their load
	// otherwise.
	evenShare = 0.5
	maxBoost  = 4
)

// NewGate returns a gate that draws from rng.
func NewGate(rng *rand.Rand) *Gate {
	return &Gate{
		rng: rng, services: make(map[fleet.ServiceID]*versions), directives: make(map[fleet.ServiceID]Directive),
		picks: make(map[fleet.ServiceID]*picks),
	}
}

// SetDirectives replaces the directives by those that the leader made at heardAt or later,
// and reports whether they differ.
func (g *Gate) SetDirectives(heardAt time.Time, list []Directive) bool {
	if heardAt.After(g.heardAt) {
		g.heardAt = heardAt
	}
	changed := len(list) != len(g.directives)
	next := make(map[fleet.ServiceID]Directive, len(list))
	for _, d := range list {
		changed = changed || g.directives[d.Service] != d
		next[d.Service] = d
	}
	for id := range g.directives {
		if _, kept := next[id]; !kept {
			delete(g.picks, id)
		}
	}
	g.directives = next
	return changed
}

// Directive returns the directive of a service, if it has one.
func (g *Gate) Directive(id fleet.ServiceID) (Directive, bool) {
	d, known := g.directives[id]
	return d, known
}

// MayTry reports whether requests may be sent to the new version of a service now, although
// its roll-out is not final.
func (g *Gate) MayTry(now time.Time, id fleet.ServiceID) bool {
	return g.directives[id].Share > 0 && now.Sub(g.heardAt) < MaxSilence
}

// Pick reports whether the next request of a route goes to the new version. The requests of
// a route take successive terms of an additive recurrence, so that the share of few
// requests is right too; see routes.Splitter.
func (g *Gate) Pick(now time.Time, id fleet.ServiceID, route string) bool {
	if !g.MayTry(now, id) {
		return false
	}
	p := g.picks[id]
	if p == nil {
		p = &picks{routes: make(map[string]*routePicks)}
		g.picks[id] = p
	}
	r := p.routes[route]
	if r == nil {
		r = &routePicks{position: g.rng.Float64()}
		p.routes[route] = r
	}
	p.total++
	r.n++
	_, r.position = math.Modf(r.position + 1/math.Phi)
	share := g.directives[id].Share
	if g.directives[id].Even {
		even := min(evenShare, 1/float64(len(p.routes)))
		share *= min(maxBoost, max(1, even*float64(p.total)/float64(r.n)))
	}
	return r.position < share
}

// Classify returns the upstreams that not all requests may use. confirmedAt is when the
// operator state with orders was last known to be current.
func (g *Gate) Classify(now, confirmedAt time.Time, orders map[fleet.ServiceID]Order, list []Upstream) map[fleet.UpstreamID]Use {
	listed := make(map[fleet.ServiceID]map[fleet.VersionID]bool)
	for _, u := range list {
		if listed[u.Service] == nil {
			listed[u.Service] = make(map[fleet.VersionID]bool)
		}
		listed[u.Service][u.Version] = true
	}
	for id, found := range listed {
		g.admitVersions(now, confirmedAt, id, found, orders)
	}
	out := make(map[fleet.UpstreamID]Use)
	trial := make(map[fleet.ServiceID][]fleet.UpstreamID)
	for _, u := range list {
		d, directed := g.directives[u.Service]
		directed = directed && !d.Settled
		switch {
		case directed && d.Target == u.Version && d.Final:
		case directed && d.Target == u.Version:
			out[u.ID] = UseSpare
			if d.Share == 0 {
				out[u.ID] = UseNone
			} else if u.Usable {
				trial[u.Service] = append(trial[u.Service], u.ID)
			}
		case directed && d.Final, !g.services[u.Service].allowed[u.Version]:
			out[u.ID] = UseNone
		}
	}
	for id, ids := range trial {
		for _, upstream := range Subset(ids, g.directives[id].Share, false) {
			out[upstream] = UseTrial
		}
	}
	return out
}

// admitVersions updates the versions of a service that all requests may use. found are those
// that are listed.
func (g *Gate) admitVersions(now, confirmedAt time.Time, id fleet.ServiceID, found map[fleet.VersionID]bool, orders map[fleet.ServiceID]Order) {
	d, directed := g.directives[id]
	order, ordered := orders[id]
	settled := directed && d.Settled // the order has been carried out
	directed, ordered = directed && !settled, ordered && !settled
	named := func(v fleet.VersionID) bool { return directed && d.Target == v || ordered && order.Target == v }
	s := g.services[id]
	if s == nil {
		s = &versions{seenAt: now, allowed: make(map[fleet.VersionID]bool), heldAt: make(map[fleet.VersionID]time.Time)}
		g.services[id] = s
		for v := range found {
			if !named(v) || len(found) == 1 && !directed {
				s.allowed[v] = true
			}
		}
	}
	s.allowed[""] = true // an upstream without a version belongs to none that an order names
	if ordered && !directed && len(found) > 1 {
		delete(s.allowed, order.Target) // until the leader says what the order has led to
	}
	if settled {
		s.allowed[d.Target] = true
	}
	if directed && d.Final {
		clear(s.allowed)
		s.allowed[""], s.allowed[d.Target] = true, true
	}
	for v := range found {
		if s.allowed[v] {
			continue
		}
		if named(v) {
			delete(s.heldAt, v)
			continue
		}
		since, held := s.heldAt[v]
		switch {
		case !held && now.Sub(s.seenAt) < unorderedDelay: // upstreams register one after the other
			s.allowed[v] = true
		case !held:
			s.heldAt[v] = now
		case confirmedAt.Sub(since) >= unorderedDelay:
			s.allowed[v] = true
			delete(s.heldAt, v)
		}
	}
	for v := range s.heldAt {
		if !found[v] {
			delete(s.heldAt, v)
		}
	}
}
