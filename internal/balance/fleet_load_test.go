package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// largeFleet is a simulation of instances that send requests to the upstreams of one
// service, of different speeds, which queue what their slots cannot run.
type largeFleet struct {
	rng       *rand.Rand
	now       time.Time
	tables    []*Table
	zones     []fleet.ZoneID // of instances
	upstreams map[fleet.UpstreamID]*simulatedUpstream
	ends      endQueue
	latencies []time.Duration
	work      float64 // seconds of a request at an upstream of speed 1
	target    time.Duration
	knowledge loadKnowledge
	shape     fleetShape
	leader    *Table // that learns from the samples of all instances
	limits    InFlightLog
	limitSeq  uint64
	bytes     int       // of each request
	reportDue time.Time // of the next samples; zero if they are not reported
	crossed   int       // requests that were sent to another zone
	sent      map[fleet.UpstreamID]int
}

// fleetShape describes a fleet. The speeds are given to the upstreams in turn, or at random
// if random is set.
type fleetShape struct {
	instances, upstreams, slots, zones int
	speeds                             []float64
	random                             bool
	noisy                              float64 // share of upstreams that are slowed by other load, for 400 ms each
	seed                               uint64
	reports                            bool // samples reach the leader, and limits in flight the instances
}

// loadKnowledge is what instances know of the load of an upstream when they choose.
type loadKnowledge int

const (
	reportedLoad loadKnowledge = iota // what its answers have reported
	noLoad
	exactLoad
)

type simulatedUpstream struct {
	speed      float64
	running    int
	queue      []*simulatedRequest
	noisy      bool
	noiseUntil time.Time // when noisy changes
}

type simulatedRequest struct {
	instance int
	id       fleet.UpstreamID
	sentAt   time.Time
	endsAt   time.Time
}

// endQueue contains the running requests, those that end first at the front.
type endQueue []*simulatedRequest

func (q endQueue) Len() int           { return len(q) }
func (q endQueue) Less(i, j int) bool { return q[i].endsAt.Before(q[j].endsAt) }
func (q endQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *endQueue) Push(x any)        { *q = append(*q, x.(*simulatedRequest)) }
func (q *endQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newLargeFleet(instances, upstreams int) *largeFleet {
	return newFleet(fleetShape{instances: instances, upstreams: upstreams, slots: 6, zones: 6, speeds: []float64{0.5, 1, 1, 1.5}, random: true})
}

func newFleet(s fleetShape) *largeFleet {
	f := &largeFleet{rng: rand.New(rand.NewPCG(1, 2+s.seed)), now: start, sent: make(map[fleet.UpstreamID]int), upstreams: make(map[fleet.UpstreamID]*simulatedUpstream), shape: s}
	var list []Registration
	for i := range s.upstreams {
		id, n := fleet.UpstreamID(fmt.Sprint("u", i)), i%len(s.speeds)
		if s.random {
			n = f.rng.IntN(len(s.speeds))
		}
		f.upstreams[id] = &simulatedUpstream{speed: s.speeds[n]}
		list = append(list, Registration{ID: id, Service: "desk", Zone: f.zone(i), Addr: string(id), Slots: fleet.Slots(s.slots)})
	}
	var ids []fleet.InstanceID
	for i := range s.instances {
		ids = append(ids, fleet.InstanceID(fmt.Sprint("i", i)))
	}
	for i, id := range ids {
		f.tables, f.zones = append(f.tables, f.newTable(id, ids, list)), append(f.zones, f.zone(i))
	}
	if s.reports {
		f.leader, f.reportDue = f.newTable("leader", ids, list), start
	}
	return f
}

func (f *largeFleet) newTable(id fleet.InstanceID, ids []fleet.InstanceID, list []Registration) *Table {
	t := New(id, f.rng, func(fleet.ServiceID) (time.Duration, fleet.PerSecond) { return 0, 0 })
	t.SetInstances(ids)
	t.Replace(start, list)
	return t
}

func (f *largeFleet) zone(i int) fleet.ZoneID { return zone(i % f.shape.zones) }

func zone(i int) fleet.ZoneID { return fleet.ZoneID(fmt.Sprint("z", i)) }

// report passes the samples of all instances to the leader, and its capacities to them.
func (f *largeFleet) report() {
	for _, t := range f.tables {
		for id, s := range t.TakeSamples(func(fleet.ServiceID) bool { return true }) {
			f.leader.LearnSamples(f.now, id, s)
			f.leader.CountAnswers(f.now, id, s)
		}
	}
	for _, e := range f.leader.Service("desk") {
		f.limits.Update(f.now, f.leader, e.ID)
	}
	limits, seq := f.limits.Since(f.leader, f.limitSeq)
	f.limitSeq = seq
	for _, t := range f.tables {
		t.SetInFlightLimits(f.now, limits)
	}
}

// run sends rate requests a second for the time d.
func (f *largeFleet) run(rate float64, d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		next := f.now.Add(time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second)))
		for len(f.ends) > 0 && f.ends[0].endsAt.Before(next) {
			f.finish(heap.Pop(&f.ends).(*simulatedRequest))
		}
		f.now = next
		if f.leader != nil && f.now.After(f.reportDue) {
			f.report()
			f.reportDue = f.now.Add(700 * time.Millisecond)
		}
		i := f.rng.IntN(len(f.tables))
		f.setKnowledge(f.tables[i])
		e, reason := f.tables[i].Choose(f.now, Query{Service: "desk", Zone: f.zones[i], Target: f.target, Bytes: f.bytes})
		if e == nil {
			panic(reason)
		}
		f.tables[i].Started(f.now, e)
		u := f.upstreams[e.ID]
		f.sent[e.ID]++
		if e.Zone != f.zones[i] {
			f.crossed++
		}
		r := &simulatedRequest{instance: i, id: e.ID, sentAt: f.now}
		if u.running >= f.shape.slots {
			u.queue = append(u.queue, r)
			continue
		}
		f.start(f.now, u, r)
	}
}

// setKnowledge replaces the loads that a table knows, unless they are those reported.
func (f *largeFleet) setKnowledge(t *Table) {
	if f.knowledge == reportedLoad {
		return
	}
	for _, e := range t.Service("desk") {
		e.othersInFlight, e.loadReported = 0, f.now
		if u := f.upstreams[e.ID]; f.knowledge == exactLoad {
			e.othersInFlight = float64(u.running + len(u.queue) - e.InFlight)
		}
	}
}

func (f *largeFleet) start(now time.Time, u *simulatedUpstream, r *simulatedRequest) {
	const spread = 0.8
	work := f.work * math.Exp(spread*f.rng.NormFloat64()-spread*spread/2) / u.speed
	u.running++
	switch {
	case f.shape.noisy == 0 && f.rng.IntN(5) == 0:
		work *= 3 // other load on the machine
	case f.slowedByNoise(now, u):
		work *= noiseSlowdown
	}
	r.endsAt = now.Add(time.Duration(work * float64(time.Second)))
	heap.Push(&f.ends, r)
}

const (
	noiseSlowdown = 3
	noiseTime     = 400 * time.Millisecond
)

// slowedByNoise reports whether other load slows an upstream at now.
func (f *largeFleet) slowedByNoise(now time.Time, u *simulatedUpstream) bool {
	for f.shape.noisy > 0 && !now.Before(u.noiseUntil) {
		u.noisy = !u.noisy
		mean := noiseTime
		if !u.noisy {
			mean = time.Duration(float64(noiseTime) * (1 - f.shape.noisy) / f.shape.noisy)
		}
		if u.noiseUntil.IsZero() {
			u.noisy, u.noiseUntil = f.rng.Float64() < f.shape.noisy, now
		}
		u.noiseUntil = u.noiseUntil.Add(time.Duration(f.rng.ExpFloat64() * float64(mean)))
	}
	return u.noisy
}

func (f *largeFleet) finish(r *simulatedRequest) {
	u, t := f.upstreams[r.id], f.tables[r.instance]
	load := &Load{Running: u.running, Waiting: len(u.queue), Slots: fleet.Slots(f.shape.slots), Slowdown: 1}
	if f.slowedByNoise(r.endsAt, u) {
		load.Slowdown = noiseSlowdown
	}
	u.running--
	if len(u.queue) > 0 {
		f.start(r.endsAt, u, u.queue[0])
		u.queue = u.queue[1:]
	}
	t.Ended(r.endsAt, t.Get(r.id), Answered, r.endsAt.Sub(r.sentAt), load)
	f.latencies = append(f.latencies, r.endsAt.Sub(r.sentAt))
}

// late returns the share of the requests that took longer than the target.
func (f *largeFleet) late() float64 {
	n := 0
	for _, l := range f.latencies {
		if l > f.target {
			n++
		}
	}
	return float64(n) / float64(len(f.latencies))
}

// Guards against instances that forget the reported load of an upstream long before the
// requests that it consists of end. In a large fleet, or with long work, an instance hears
// from an upstream only now and then: each one that has not answered lately would look idle
// and be sent more than it can run. Half or more of what exact knowledge of all loads earns,
// compared with none, has to be reached.
func TestLoadIsRememberedAsLongAsWorkLasts(t *testing.T) {
	for _, c := range []struct {
		instances, upstreams int
		rate                 float64 // requests/s
		work                 float64 // seconds
		target               time.Duration
	}{
		{12, 8, 67, 0.29, 800 * time.Millisecond},
		{195, 170, 861, 0.62, 1500 * time.Millisecond},
		{195, 68, 266, 0.8, 2000 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(c.instances, " instances ", c.upstreams, " upstreams"), func(t *testing.T) {
			t.Parallel()
			late := func(knowledge loadKnowledge) float64 {
				f := newLargeFleet(c.instances, c.upstreams)
				f.work, f.target, f.knowledge = c.work, c.target, knowledge
				f.run(c.rate, 10*time.Second)
				f.latencies = nil
				f.run(c.rate, 12*time.Second)
				return f.late()
			}
			none, exact, reported := late(noLoad), late(exactLoad), late(reportedLoad)
			t.Logf("late: %.3f with reported loads, %.3f with exact ones, %.3f with none", reported, exact, none)
			if reported > (none+exact)/2 {
				t.Errorf("%.3f of the requests are late with reported loads, %.3f with exact ones, %.3f with none", reported, exact, none)
			}
		})
	}
}
