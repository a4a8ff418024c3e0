package rollout

import (
	"math"
	"math/bits"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Response times are counted in buckets whose bounds grow by timeFactor from minTime.
const (
	minTime    = 20 * time.Millisecond
	timeFactor = 1.5
	// TimeBuckets is the number of buckets. The last one has no upper bound; its lower one
	// is 13 s, above the deadlines of callers.
	TimeBuckets = 18
)

// Times counts requests by their duration.
type Times [TimeBuckets]int

func bucketOf(d time.Duration) int {
	if d <= minTime {
		return 0
	}
	return min(TimeBuckets-1, int(math.Ceil(math.Log(float64(d)/float64(minTime))/math.Log(timeFactor))))
}

// Add counts a request that took d.
func (t *Times) Add(d time.Duration) { t[bucketOf(d)]++ }

func (t *Times) total() int { return t.above(-1) }

// above returns the number of requests in the buckets after i.
func (t *Times) above(i int) int {
	n := 0
	for _, c := range t[i+1:] {
		n += c
	}
	return n
}

// Tally counts the requests of one route to the upstreams of one version, or of all other
// versions.
type Tally struct {
	Sent int
	Good int // answered without an error
	Bad  int // answered with an error of the upstream, or lost
	// Times are those of good requests, and Open the ages of the requests that have no
	// answer. Both leave out upstreams that are cold, where slow responses are expected.
	Times, Open Times
	// Bads marks the upstreams of bad requests, each at one of 32 bits.
	Bads uint32
}

func (t *Tally) add(o *Tally) {
	t.Sent += o.Sent
	t.Good += o.Good
	t.Bad += o.Bad
	t.Bads |= o.Bads
	for i := range t.Times {
		t.Times[i] += o.Times[i]
		t.Open[i] += o.Open[i]
	}
}

// badUpstreams returns the number of upstreams of bad requests, or less.
func (t *Tally) badUpstreams() int { return bits.OnesCount32(t.Bads) }

// RouteTally counts the requests of one route.
type RouteTally struct{ Old, New Tally }

// Evidence is what an instance has observed of a roll-out since it learned of it. All counts
// are totals, so that a lost report loses nothing and a new leader gets all of them.
type Evidence struct {
	Service  fleet.ServiceID
	Order    fleet.Revision
	Boot     fleet.BootID // of the instance
	Number   uint64       // grows with each report of this run of the instance
	Step     uint64       // of the directive that the instance applies
	OldOpen  int          // requests in flight to other versions than the target
	Arrivals int          // requests of callers
	Routes   map[string]*RouteTally
}

// Totals are the sums over all instances.
type Totals struct {
	Arrivals int
	Routes   map[string]*RouteTally
}

func (t *Totals) add(e Evidence) {
	t.Arrivals += e.Arrivals
	for name, r := range e.Routes {
		sum := t.Routes[name]
		if sum == nil {
			sum = &RouteTally{}
			t.Routes[name] = sum
		}
		sum.Old.add(&r.Old)
		sum.New.add(&r.New)
	}
}

// all returns the sum over all routes.
func (t *Totals) all() RouteTally {
	var sum RouteTally
	for _, r := range t.Routes {
		sum.Old.add(&r.Old)
		sum.New.add(&r.New)
	}
	return sum
}

// Aggregate holds the evidence of all instances.
type Aggregate struct {
	order     fleet.Revision
	instances map[fleet.InstanceID]Evidence
	former    Totals // of runs of instances that have ended
}

// NewAggregate returns an aggregate for the roll-out with the given order.
func NewAggregate(order fleet.Revision) *Aggregate {
	return &Aggregate{order: order, instances: make(map[fleet.InstanceID]Evidence), former: Totals{Routes: make(map[string]*RouteTally)}}
}

// Merge replaces the evidence of an instance, unless a newer one is known.
func (a *Aggregate) Merge(id fleet.InstanceID, e Evidence) {
	if e.Order != a.order {
		return
	}
	old, known := a.instances[id]
	if known && old.Boot == e.Boot && old.Number >= e.Number {
		return // reports overtake each other
	}
	if known && old.Boot != e.Boot {
		a.keep(old)
	}
	a.instances[id] = e
}

// Restarted keeps the counts of the run of an instance that has ended. The new run may not
// apply the directive yet, although it has reported nothing of the roll-out.
func (a *Aggregate) Restarted(id fleet.InstanceID) {
	if old, known := a.instances[id]; known {
		a.keep(old)
		delete(a.instances, id)
	}
}

// keep adds the evidence of a run that has ended, whose requests are no longer in flight.
func (a *Aggregate) keep(old Evidence) {
	for _, r := range old.Routes {
		r.Old.Open, r.New.Open = Times{}, Times{}
	}
	a.former.add(old)
}

// Totals returns the sums over all instances.
func (a *Aggregate) Totals() Totals {
	t := Totals{Routes: make(map[string]*RouteTally)}
	t.add(Evidence{Arrivals: a.former.Arrivals, Routes: a.former.Routes})
	for _, e := range a.instances {
		t.add(e)
	}
	return t
}

// Applied returns whether an instance has reported to apply the directive with the given
// step, and its requests in flight to other versions.
func (a *Aggregate) Applied(id fleet.InstanceID, step uint64) (applied bool, oldOpen int) {
	e := a.instances[id]
	return e.Step == step, e.OldOpen
}
