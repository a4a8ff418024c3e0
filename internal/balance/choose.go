package balance

import (
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/rollout"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// costJitter is the range of the random factor on each cost, so that instances with
	// the same knowledge do not all choose the same upstream.
	costJitter = 0.2
	// otherZoneCost is the additional cost of an upstream in another zone, as a share of
	// the route's target latency, while the upstreams of the service have queues.
	otherZoneCost = 0.08
	// roomOtherZoneCost replaces otherZoneCost while the mean load of the service is below
	// maxRoomLoad, in requests for each slot. The zone of the instance then has room, and
	// bytes between zones have a price. With this cost under queues, more requests are late.
	roomOtherZoneCost = 0.12
	maxRoomLoad       = 0.9
	// failureCost is the additional cost of a failure rate of 1, as a multiple of the
	// route's target latency.
	failureCost = 4.0
	// stalledTimeFactor is the multiple of the service time after which an upstream with
	// requests in flight and no answer counts as stalled.
	stalledTimeFactor = 4
	// recentSize is the number of upstreams of a service that answered last, which Choose
	// always compares: those whose load this instance knows. In a large fleet it knows
	// nothing recent of the others.
	recentSize = 16
	// sampleSize is the number of upstreams that Choose draws at random from those in the
	// zone of the instance, and once more from all of them.
	sampleSize = 2
	// sampleTries is the number of draws for each upstream of a sample, since a draw may
	// give one that has been drawn before.
	sampleTries = 3
	// weightsTTL is the time for which the weights of a service's upstreams are used.
	// Computing them takes as long as comparing all upstreams.
	weightsTTL = 250 * time.Millisecond
	// maxOtherZoneLoad limits the load, in requests for each slot, that is assumed of an
	// upstream in another zone. Requests leave the zone of the instance only if its
	// upstreams have queues.
	maxOtherZoneLoad = 1.0
	// LargeBody is the size in bytes of a request with its response from which on
	// largeOtherZoneCost applies in place of roomOtherZoneCost.
	LargeBody          = 16 << 10
	largeOtherZoneCost = 0.2
)

// Query contains the criteria by which Choose selects an upstream.
type Query struct {
	Service fleet.ServiceID
	Zone    fleet.ZoneID  // of this instance
	Target  time.Duration // target latency of the route
	Bytes   int           // expected size of the bodies of the request and its response
	Exclude map[fleet.UpstreamID]bool
	Use     rollout.Use // of the upstreams to choose from
}

// Choose returns the upstream with the lowest estimated cost, or nil if there is no
// candidate. The second result is then the reason why the last candidate was excluded. Of a
// service with many upstreams, it compares those that answered last and random samples of
// the others, drawn by their capacities, and all upstreams only if these contain no
// candidate.
func (t *Table) Choose(now time.Time, q Query) (*Entry, string) {
	list := t.byService[q.Service]
	c := t.newChoice(now, q)
	if len(list) > recentSize+2*sampleSize && chooseByCost && q.Use == rollout.UseOpen {
		c.compareSamples(list)
		if c.best != nil {
			return c.best, c.reason
		}
	}
	for _, e := range list {
		c.compare(e)
	}
	return c.best, c.reason
}

// choice is the comparison of upstreams for one request.
type choice struct {
	t            *Table
	now          time.Time
	q            Query
	target       float64 // seconds
	zoneCost     float64 // seconds, of another zone
	serviceMean  float64 // of the service time, in seconds
	loadHalfLife time.Duration
	meanLoad     float64 // of the service, in requests for each slot
	best         *Entry
	bestCost     float64
	reason       string // why the last candidate was excluded
}

func (t *Table) newChoice(now time.Time, q Query) choice {
	c := choice{
		t: t, now: now, q: q, target: q.Target.Seconds(), serviceMean: t.serviceMean(q.Service),
		loadHalfLife: t.loadHalfLife(q.Service), meanLoad: t.meanLoad[q.Service],
	}
	c.reason = "no-upstream"
	share := otherZoneCost
	switch {
	case c.meanLoad > maxRoomLoad:
	case q.Bytes >= LargeBody:
		share = largeOtherZoneCost
	default:
		share = roomOtherZoneCost
	}
	c.zoneCost = share * c.target
	return c
}

// compareSamples compares the upstreams that answered last, a sample of those in the zone of
// the instance, and one of all upstreams.
func (c *choice) compareSamples(list []*Entry) {
	t, w := c.t, c.t.weights[c.q.Service]
	if w == nil || c.now.Sub(w.at) > weightsTTL || c.now.Before(w.at) {
		w = t.newWeights(c.now, list)
		t.weights[c.q.Service] = w
	}
	var seen [recentSize + 2*sampleSize]*Entry
	n := copy(seen[:], t.recent[c.q.Service])
	for _, e := range seen[:n] {
		c.compare(e)
	}
	for _, group := range []*weighted{w.zones[c.q.Zone], &w.all} {
		for tries, drawn := 0, 0; tries < sampleTries*sampleSize && drawn < sampleSize; tries++ {
			e := group.draw(t.rng.Float64())
			if e == nil || slices.Contains(seen[:n], e) {
				continue
			}
			seen[n] = e
			drawn++
			n++
			c.compare(e)
		}
	}
}

// compare makes e the best upstream if it is a candidate and costs less than the best so far.
func (c *choice) compare(e *Entry) {
	t, now := c.t, c.now
	if e.use != c.q.Use || !t.InService(e) || c.q.Exclude[e.ID] {
		return
	}
	if now.Before(e.ejectedUntil) {
		c.reason = "upstreams-unreachable"
		return
	}
	if now.Before(e.pausedUntil) {
		c.reason = "upstreams-paused"
		return
	}
	if now.Before(e.limit.takesAgainAt) {
		c.reason = "upstreams-limited"
		return
	}
	cost := c.cost(e)
	if c.best != nil && cost >= c.bestCost {
		return
	}
	if e.Cold(now) && !t.AdmitCold(now, e) {
		c.reason = "upstreams-cold"
		return
	}
	c.best, c.bestCost = e, cost
}

// cost returns the estimated response time of e in seconds, plus additional costs for
// failures, stalled upstreams and other zones.
func (c *choice) cost(e *Entry) float64 {
	if !chooseByCost {
		return c.t.rng.Float64()
	}
	loadAge := c.now.Sub(e.loadReported)
	serviceTime := e.serviceTime(c.now, c.serviceMean)
	if e.load.Slowdown > 1 {
		serviceTime *= 1 + (e.load.Slowdown-1)*decay(loadAge, slowdownHalfLife)
	}
	inFlight, slots := c.inFlight(e, loadAge), max(e.inFlightLimit(c.now), 1)
	wait := serviceTime * max(0, inFlight+1-slots) / slots
	// The service time rises a little with the number of used slots. The term also spreads
	// requests over upstreams with free slots.
	seconds := serviceTime*(1+0.3*min(1, inFlight/slots)) + wait
	if e.failureRate > 0 {
		seconds += failureCost * c.target * e.failureRate * decay(c.now.Sub(e.failureRateUpdated), evidenceHalfLife)
	}
	if e.InFlight > 0 && c.now.Sub(e.lastProgress).Seconds() > stalledTimeFactor*serviceTime {
		seconds += c.target
	}
	if e.Zone != c.q.Zone {
		seconds += c.zoneCost
	}
	return seconds * (1 - costJitter/2 + costJitter*c.t.rng.Float64())
}

// inFlight returns the estimated requests in flight at e, of all instances. As the last stated
// load of e gets older, the estimate approaches the mean of the service. Without that, an
// upstream that has not answered lately would look idle.
func (c *choice) inFlight(e *Entry, loadAge time.Duration) float64 {
	known, expected := decay(loadAge, c.loadHalfLife), c.meanLoad
	if e.Zone != c.q.Zone {
		expected = min(expected, maxOtherZoneLoad)
	}
	return float64(e.InFlight) + e.othersInFlight*known + expected*float64(e.Slots)*(1-known)
}

func (t *Table) loadHalfLife(id fleet.ServiceID) time.Duration {
	return max(minLoadHalfLife, time.Duration(loadMeanTimes*t.meanTimes[id]*float64(time.Second)))
}
