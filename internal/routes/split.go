package routes

import (
	"math"
	"math/rand/v2"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Splitter distributes the requests of an instance over the services of routes, in
// proportion to their weights. Independent random choices would deviate too much: of two
// services with equal weights, one is off by 0.1 in one of 1,500 sets of 300 requests.
//
// A route's requests take successive terms of an additive recurrence, of which any few
// terms are spread evenly. The starts are random, so that the deviations of many instances
// cancel out.
type Splitter struct {
	rng       *rand.Rand
	version   Version
	positions map[string]float64 // last term, from 0 to 1, by route name
}

// NewSplitter returns a Splitter that draws its starts from rng.
func NewSplitter(rng *rand.Rand) *Splitter {
	return &Splitter{rng: rng, positions: make(map[string]float64)}
}

// Pick returns the service that the next request of r is for. v is the version of the
// configuration with r.
func (s *Splitter) Pick(v Version, r *Route) fleet.ServiceID {
	if len(r.TrafficShares) == 1 {
		return r.TrafficShares[0].Service
	}
	if v > s.version {
		clear(s.positions) // names of routes that no longer exist would accumulate
		s.version = v
	}
	position, known := s.positions[r.Name]
	if !known {
		position = s.rng.Float64()
	}
	_, position = math.Modf(position + 1/math.Phi)
	s.positions[r.Name] = position
	return r.serviceAt(position)
}

// serviceAt returns the service whose part of the weights, one after the other, contains
// position. position is from 0 to 1, exclusive.
func (r *Route) serviceAt(position float64) fleet.ServiceID {
	total := 0.0
	for _, p := range r.TrafficShares {
		total += float64(p.Weight)
	}
	end, last := 0.0, r.TrafficShares[0].Service
	for _, p := range r.TrafficShares {
		if p.Weight == 0 {
			continue
		}
		end += float64(p.Weight)
		if last = p.Service; position*total < end {
			break
		}
	}
	return last
}
