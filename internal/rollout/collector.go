package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Outcome is the result of a request at an upstream.
type Outcome int

// The outcomes.
const (
	Good    Outcome = iota
	Bad             // an error of the upstream
	Lost            // no complete answer in time
	Neutral         // says nothing about the version: refused, cancelled
	Unsent          // nothing was sent
)

// Flight is a request in progress at an upstream.
type Flight struct {
	service  fleet.ServiceID
	version  fleet.VersionID
	upstream fleet.UpstreamID
	route    string
	sentAt   time.Time
	cold     bool
	counted  *collected // in which it was counted as sent; nil if there was no roll-out
}

// collected is what an instance has observed of one roll-out.
type collected struct {
	order    fleet.Revision
	target   fleet.VersionID
	arrivals int
	routes   map[string]*RouteTally
	open     map[*Flight]struct{}
}

func (c *collected) tally(f *Flight) *Tally {
	r := c.routes[f.route]
	if r == nil {
		r = &RouteTally{}
		c.routes[f.route] = r
	}
	if f.version == c.target {
		return &r.New
	}
	return &r.Old
}

// Collector counts the requests of an instance by version.
type Collector struct {
	boot     fleet.BootID
	number   uint64
	services map[fleet.ServiceID]*collected
	inFlight map[fleet.ServiceID]map[fleet.VersionID]int
}

// NewCollector returns a collector of the given run of an instance.
func NewCollector(boot fleet.BootID) *Collector {
	return &Collector{boot: boot, services: make(map[fleet.ServiceID]*collected), inFlight: make(map[fleet.ServiceID]map[fleet.VersionID]int)}
}

// SetDirectives begins to collect evidence for new roll-outs, and drops that of others.
func (c *Collector) SetDirectives(list []Directive) {
	next := make(map[fleet.ServiceID]*collected, len(list))
	for _, d := range list {
		if d.Settled {
			continue
		}
		s := c.services[d.Service]
		if s == nil || s.order != d.Order {
			s = &collected{order: d.Order, target: d.Target, routes: make(map[string]*RouteTally), open: make(map[*Flight]struct{})}
		}
		next[d.Service] = s
	}
	c.services = next
}

// Arrived counts a request of a caller to a service.
func (c *Collector) Arrived(id fleet.ServiceID) {
	if s := c.services[id]; s != nil {
		s.arrivals++
	}
}

// Sent counts a request that is sent to an upstream.
func (c *Collector) Sent(now time.Time, u Upstream, route string, cold bool) *Flight {
	f := &Flight{service: u.Service, version: u.Version, upstream: u.ID, route: route, sentAt: now, cold: cold, counted: c.services[u.Service]}
	if c.inFlight[f.service] == nil {
		c.inFlight[f.service] = make(map[fleet.VersionID]int)
	}
	c.inFlight[f.service][f.version]++
	if f.counted != nil {
		f.counted.tally(f).Sent++
		f.counted.open[f] = struct{}{}
	}
	return f
}

// Ended counts the outcome of a request. It reports whether the leader has to learn of it at
// once. The request stays in flight until Released.
func (c *Collector) Ended(now time.Time, f *Flight, o Outcome) (urgent bool) {
	s := f.counted
	if s == nil {
		return false
	}
	delete(s.open, f)
	t := s.tally(f)
	switch o {
	case Good:
		t.Good++
		if !f.cold {
			t.Times.Add(now.Sub(f.sentAt))
		}
	case Lost, Bad:
		if o == Lost && f.cold {
			return false // slow responses of cold upstreams may exceed the deadline
		}
		t.Bad++
		t.Bads |= 1 << (xxhash.Sum64String(string(f.upstream)) % 32)
		return f.version == s.target
	case Neutral:
	case Unsent:
		t.Sent--
	}
	return false
}

// Released counts that a request is no longer in flight.
func (c *Collector) Released(f *Flight) {
	counts := c.inFlight[f.service]
	if counts[f.version]--; counts[f.version] <= 0 {
		delete(counts, f.version)
	}
}

// Evidence returns what was observed of the roll-outs that directives describe.
func (c *Collector) Evidence(now time.Time, g *Gate) []Evidence {
	var list []Evidence
	for id, s := range c.services {
		d, known := g.Directive(id)
		if !known {
			continue
		}
		c.number++
		e := Evidence{Service: id, Order: s.order, Boot: c.boot, Number: c.number, Step: d.Step, Arrivals: s.arrivals, Routes: make(map[string]*RouteTally, len(s.routes))}
		for v, n := range c.inFlight[id] {
			if v != s.target {
				e.OldOpen += n
			}
		}
		for name, r := range s.routes {
			sum := *r
			e.Routes[name] = &sum
		}
		for f := range s.open {
			if f.cold {
				continue
			}
			if r := e.Routes[f.route]; f.version == s.target {
				r.New.Open.Add(now.Sub(f.sentAt))
			} else {
				r.Old.Open.Add(now.Sub(f.sentAt))
			}
		}
		list = append(list, e)
	}
	return list
}
