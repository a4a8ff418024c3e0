package balance

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Expectation is the estimated response time of an upstream for one more request.
type Expectation struct {
	Wait    time.Duration // in the queue of the upstream
	Work    time.Duration // service time
	Stalled bool          // it has had requests of this instance for long without answering any
}

// Response returns the time until the response.
func (x Expectation) Response() time.Duration { return x.Wait + x.Work }

// Expect returns the estimated response time of e, from the same estimates as Choose, without
// its additional costs.
func (t *Table) Expect(now time.Time, e *Entry) Expectation {
	c := t.newChoice(now, Query{Service: e.Service, Zone: e.Zone})
	return c.expect(e)
}

func (c *choice) expect(e *Entry) Expectation {
	loadAge := c.now.Sub(e.loadReported)
	serviceTime := e.serviceTime(c.now, c.serviceMean)
	x := Expectation{Stalled: e.InFlight > 0 && c.now.Sub(e.lastProgress).Seconds() > stalledTimeFactor*serviceTime}
	if e.load.Slowdown > 1 {
		serviceTime *= 1 + (e.load.Slowdown-1)*decay(loadAge, slowdownHalfLife)
	}
	inFlight, slots := c.inFlight(e, loadAge), max(e.inFlightLimit(c.now), 1)
	x.Work = seconds(serviceTime)
	x.Wait = seconds(serviceTime * max(0, inFlight+1-slots) / slots)
	return x
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Available reports whether e may be sent a request now, apart from the limits of cold
// upstreams.
func (t *Table) Available(now time.Time, e *Entry) bool {
	return t.Usable(e) && !now.Before(e.ejectedUntil) && !now.Before(e.pausedUntil) && !now.Before(e.limit.takesAgainAt)
}

// Earliest returns the estimate of the available upstream of a service that is not in exclude
// and has the shortest response time. It returns false if there is none.
func (t *Table) Earliest(now time.Time, id fleet.ServiceID, exclude map[fleet.UpstreamID]bool) (Expectation, bool) {
	var best Expectation
	found := false
	c := t.newChoice(now, Query{Service: id})
	for _, e := range t.byService[id] {
		if !t.Available(now, e) || exclude[e.ID] {
			continue
		}
		if x := c.expect(e); !found || x.Response() < best.Response() {
			best, found = x, true
		}
	}
	return best, found
}

// trustTime is how long a good answer makes an upstream trusted, as long as a failure counts.
const trustTime = evidenceHalfLife

// maxTrustedFailureRate is the failure rate below which an upstream is trusted.
const maxTrustedFailureRate = 0.05

// ChooseWithin is Choose among the upstreams that are warm, not stalled, and expected to
// respond within left. If trusted is set, it is among those that have also answered lately,
// without failing, and are expected to start the request at once. It returns nil if there is
// none.
func (t *Table) ChooseWithin(now time.Time, q Query, left time.Duration, trusted bool) *Entry {
	var best *Entry
	bestCost := 0.0
	c, list := t.newChoice(now, q), t.byService[q.Service]
	if trusted && len(list) > recentSize {
		list = t.recent[q.Service]
	}
	for _, e := range list {
		if trusted && (now.Sub(e.lastAnswer) > trustTime || e.failureRate*decay(now.Sub(e.failureRateUpdated), evidenceHalfLife) > maxTrustedFailureRate) {
			continue
		}
		if q.Exclude[e.ID] || e.Cold(now) || !t.Available(now, e) {
			continue
		}
		x := c.expect(e)
		if x.Stalled || x.Response() > left || trusted && x.Wait > 0 {
			continue
		}
		if cost := c.cost(e); best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}
