package rollout

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// simulation runs one roll-out without a network: instances with gates and collectors, and
// a leader that gets their reports.
type simulation struct {
	rate        float64 // requests per second
	routes      []simRoute
	old, new    int // upstreams
	instances   int
	duration    time.Duration
	startsAfter time.Duration // time from the order to the start of the new upstreams
	coldFor     time.Duration
	// fault returns whether a request to a new upstream of the given age fails, and by what
	// factor it is slow. load is the upstream's rate relative to that after completion.
	fault func(rng *rand.Rand, route string, age time.Duration, load float64) (bool, float64)
	// oldFault is like fault, for old upstreams; t is the time since the order.
	oldFault func(rng *rand.Rand, upstream int, t time.Duration) (bool, float64)
	// cut returns whether an instance gets no replies and sends no reports at t.
	cut func(instance int, t time.Duration) bool
	// storeDown returns whether writes fail at t, and leaderLost whether the leader is lost
	// then, so that the next one starts 2 s later with the stored record.
	storeDown, leaderLost func(t time.Duration) bool
}

type simRoute struct {
	name  string
	share float64
	work  time.Duration
}

// simResult is what happened in a simulation.
type simResult struct {
	phase          Phase
	reason         string
	endedAt        time.Duration
	sent, arrivals int // until the end of the duration
	lastSent       time.Duration
	bad50          time.Duration // time of bad response number 50
	oldOpenAtEnd   int
	measureAt      time.Duration
	log            string // phases with their times
}

func (r simResult) String() string {
	return fmt.Sprintf("%s %q at %v: %d of %d sent, last at %v, bad response 50 at %v;%s", r.phase, r.reason, r.endedAt, r.sent, r.arrivals, r.lastSent, r.bad50, r.log)
}

type simRequest struct {
	f        *Flight
	instance int
	endsAt   time.Time
	bad      bool
	lost     bool
	isNew    bool
}

const simStep = 10 * time.Millisecond

var simBounds = Bounds{Enabled: true, Share: 0.1, Slack: 50, Rollback: 5 * time.Second}

// run plays the simulation with a seed.
func (s simulation) run(seed uint64) simResult {
	rng := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(1000, 0)
	const service = fleet.ServiceID("svc")
	gates, collectors := make([]*Gate, s.instances), make([]*Collector, s.instances)
	var list []Upstream
	speeds := make(map[fleet.UpstreamID]float64)
	for i := range s.old + s.new {
		u := Upstream{ID: fleet.UpstreamID(fmt.Sprint("u", i)), Service: service, Version: "v1", Usable: true}
		if i >= s.old {
			u.Version = "v2"
		}
		speeds[u.ID] = []float64{0.5, 1, 1, 1.5}[i%4]
		list = append(list, u)
	}
	for i := range gates {
		gates[i], collectors[i] = NewGate(rng), NewCollector("b")
		gates[i].Classify(start, start, nil, list[:s.old])
	}
	order := Order{Service: service, Target: "v2", Duration: s.duration, Revision: 9}
	orders := map[fleet.ServiceID]Order{service: order}
	c, agg := NewController(start, simBounds, order, 1), NewAggregate(9)
	var stored *Record
	var leaderBack time.Time
	classes := make([]map[fleet.UpstreamID]Use, s.instances)
	open := map[*simRequest]bool{}
	var recent []struct {
		at time.Time
		id fleet.UpstreamID
	}
	loads := make(map[fleet.UpstreamID]int)
	var res simResult
	bads := 0
	reported := make([]time.Time, s.instances)
	for i := range reported {
		reported[i] = start.Add(time.Duration(rng.Int64N(int64(700 * time.Millisecond))))
	}
	for now := start; now.Sub(start) < s.duration+6*time.Second; now = now.Add(simStep) {
		t := now.Sub(start)
		known := list[:s.old]
		if t >= s.startsAfter+300*time.Millisecond {
			known = list
		}
		age := t - s.startsAfter
		for len(recent) > 0 && now.Sub(recent[0].at) > time.Second {
			loads[recent[0].id]--
			recent = recent[1:]
		}
		// Responses.
		urgent := map[int]bool{}
		for q := range open {
			if now.Before(q.endsAt) {
				continue
			}
			delete(open, q)
			out := Good
			switch {
			case q.lost:
				out = Lost
			case q.bad:
				out = Bad
			}
			if q.isNew && q.bad {
				if bads++; bads == 50 {
					res.bad50 = t
				}
			}
			if collectors[q.instance].Ended(now, q.f, out) {
				urgent[q.instance] = true
			}
			collectors[q.instance].Released(q.f)
		}
		// Reports.
		leading := now.After(leaderBack)
		for i := range gates {
			if leading && (now.Sub(reported[i]) >= 700*time.Millisecond || urgent[i]) && (s.cut == nil || !s.cut(i, t)) {
				reported[i] = now
				for _, e := range collectors[i].Evidence(now, gates[i]) {
					agg.Merge(fleet.InstanceID(fmt.Sprint(i)), e)
				}
			}
		}
		// The leader.
		if s.leaderLost != nil && leading && s.leaderLost(t) {
			leaderBack = now.Add(2 * time.Second)
			c = NewController(leaderBack, simBounds, order, 1e6)
			if stored != nil {
				c = Continue(leaderBack, simBounds, *stored, 1e6)
			}
			agg = NewAggregate(9)
			leading = false
		}
		if leading && t%(100*time.Millisecond) == 0 {
			in := Input{Totals: agg.Totals(), Others: s.old}
			if t >= s.startsAfter+300*time.Millisecond {
				in.Upstreams = s.new
			}
			if age >= s.coldFor && t >= s.startsAfter+300*time.Millisecond+MatureAge {
				in.Mature = s.new
			}
			d := c.Directive()
			for i := range gates {
				applied, n := agg.Applied(fleet.InstanceID(fmt.Sprint(i)), d.Step)
				if s.cut != nil && s.cut(i, t) {
					in.Silent++
					continue
				}
				in.Members++
				if !applied {
					in.Behind++
				}
				in.OldOpen += n
			}
			c.Step(now, in)
			if rec, ok := c.Save(); ok {
				up := s.storeDown == nil || !s.storeDown(t)
				if up {
					stored = &rec
				}
				c.Saved(now, up)
			}
			for _, e := range c.Events() {
				if changed, ok := e.(PhaseChanged); ok {
					res.log += fmt.Sprintf(" %v %s %v;", t, changed.Record.Phase, changed.Record.Share)
				}
			}
			if c.Record().Phase == PhaseMeasure && res.measureAt == 0 {
				res.measureAt = t
			}
			if res.endedAt == 0 && c.Record().Phase.ended() && c.Stored() {
				res.endedAt = t
				for q := range open {
					if !q.isNew {
						res.oldOpenAtEnd++
					}
				}
			}
		}
		// Replies reach an instance with the next poll, which the leader ends at once.
		for i := range gates {
			if !leading || s.cut != nil && s.cut(i, t) || t%(100*time.Millisecond) != 50*time.Millisecond {
				continue
			}
			d := c.Directive()
			changed := gates[i].SetDirectives(now, []Directive{d})
			collectors[i].SetDirectives([]Directive{d})
			if changed {
				reported[i] = time.Time{} // the next report follows the reply
			}
			if changed || classes[i] == nil || len(known) != s.old && t < s.startsAfter+time.Second {
				classes[i] = gates[i].Classify(now, now, orders, known)
			}
		}
		// Requests.
		expected := s.rate * simStep.Seconds()
		for n := int(expected + rng.Float64()); n > 0; n-- {
			i := rng.IntN(s.instances)
			route := s.routes[0]
			if x := rng.Float64(); len(s.routes) > 1 && x > route.share {
				route = s.routes[1]
			}
			collectors[i].Arrived(service)
			if t < s.duration {
				res.arrivals++
			}
			isNew := classes[i] != nil && gates[i].Pick(now, service, route.name)
			d, _ := gates[i].Directive(service)
			want := UseOpen
			if isNew && !d.Final {
				want = UseTrial
			}
			var ids []Upstream
			for _, u := range known {
				if classes[i][u.ID] == want {
					ids = append(ids, u)
				}
			}
			if len(ids) == 0 {
				continue
			}
			u := ids[rng.IntN(len(ids))]
			isNew = u.Version == "v2"
			q := &simRequest{instance: i, isNew: isNew}
			factor, noise := 1/speeds[u.ID], time.Duration(0)
			if rng.Float64() < 0.2 { // three times slower for periods of 400 ms
				noise = min(2*route.work, 800*time.Millisecond)
			}
			if isNew {
				loads[u.ID]++
				recent = append(recent, struct {
					at time.Time
					id fleet.UpstreamID
				}{now, u.ID})
				if t < s.duration {
					res.sent++
				}
				res.lastSent = t
				if s.fault != nil {
					var slow float64
					q.bad, slow = s.fault(rng, route.name, age, float64(loads[u.ID])/(s.rate/float64(s.new)))
					factor *= slow
				}
				if age < s.coldFor {
					factor *= 4
				}
			} else if s.oldFault != nil {
				var slow float64
				var index int
				_, _ = fmt.Sscanf(string(u.ID), "u%d", &index)
				q.bad, slow = s.oldFault(rng, index, t)
				factor *= slow
			}
			q.f = collectors[i].Sent(now, u, route.name, isNew && age < s.coldFor)
			took := time.Duration(float64(route.work)*factor*(0.8+0.4*rng.Float64())) + noise
			if took > 6*time.Second {
				took, q.bad, q.lost = 6*time.Second, true, true
			}
			q.endsAt = now.Add(took)
			open[q] = true
		}
	}
	res.phase, res.reason = c.Record().Phase, c.Record().Reason
	return res
}
