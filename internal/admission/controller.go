package admission

import (
	"maps"
	"time"
)

// Shares are the admitted shares by priority of the targets that are short of capacity.
type Shares map[Target]ByPriority

// StepInterval is the time between two steps of a Controller.
const StepInterval = 250 * time.Millisecond

// forgetTime is how long a target without counts is remembered.
const forgetTime = 10 * time.Second

// settleTime is the time after which the demand counts as known: instances find a new leader
// within it. A limit that follows from the reports of some of them would be far too low.
const settleTime = 2 * time.Second

// Controller computes the admitted shares from counts, at the leader those of all
// instances.
type Controller struct {
	levels   map[Target]*level
	single   bool   // has the counts of a single instance
	seeds    Shares // in force before the demand is known
	seededAt time.Time
	stepDue  time.Time
}

// NewController returns the Controller of a leader. inForce are the shares with which it
// continues: those of the former leader, which it has received as an instance.
func NewController(now time.Time, inForce Shares) *Controller {
	c := &Controller{levels: make(map[Target]*level)}
	c.Continue(now, inForce)
	return c
}

// Continue makes c start from shares that are in force.
func (c *Controller) Continue(now time.Time, inForce Shares) {
	c.seeds, c.seededAt = maps.Clone(inForce), now
}

// Add adds counts of a target. A sharded service is no target as a whole: one hot key makes a
// holder reject requests while the other holders have capacity, and a share of all requests
// would refuse those for them.
func (c *Controller) Add(now time.Time, t Target, counts Counts) {
	l := c.levels[t]
	if l == nil {
		l = &level{meter: meter{halfLife: serviceHalfLife}, trust: trustService}
		if t.Holder != "" {
			l.meter.halfLife, l.trust = holderHalfLife, trustHolder
		}
		if c.single {
			l.meter.halfLife = ownHalfLife
		}
		c.levels[t] = l
	}
	l.heardAt = now
	l.meter.add(now, counts)
}

// Change is the beginning or the end of a shortage.
type Change struct {
	Target    Target
	Short     bool
	Limit     float64 // requests/s
	Requested float64 // requests/s
	Capacity  float64 // requests/s; 0: unknown
}

// Step updates the limits if it is due, and returns the shortages that have begun or ended.
// capacity returns the estimated capacity of a target in requests/s, 0 if it is unknown.
func (c *Controller) Step(now time.Time, capacity func(Target) float64) []Change {
	if now.Before(c.stepDue) {
		return nil
	}
	c.stepDue = now.Add(StepInterval)
	if now.Sub(c.seededAt) > forgetTime {
		clear(c.seeds)
	}
	var changes []Change
	for t, l := range c.levels {
		if now.Sub(l.heardAt) > forgetTime {
			delete(c.levels, t)
			continue
		}
		before := l.short
		c.seed(now, t, l)
		capacityNow := 0.0
		if l.needsCapacity() {
			capacityNow = capacity(t)
		}
		l.step(now, capacityNow)
		if l.short != before {
			rates, _ := l.meter.perSecond()
			changes = append(changes, Change{Target: t, Short: l.short, Limit: l.limit, Requested: rates.Sum(), Capacity: capacityNow})
		}
	}
	return changes
}

// seed continues a limit once the demand is known: the shares that were in force are a rate
// again.
func (c *Controller) seed(now time.Time, t Target, l *level) {
	shares, inForce := c.seeds[t]
	if !inForce || now.Sub(c.seededAt) < settleTime {
		return
	}
	l.meter.advance(now)
	rates, _ := l.meter.perSecond()
	if rates.Sum() == 0 {
		return
	}
	delete(c.seeds, t)
	l.short, l.limit, l.loweredAt = true, 0, now
	for p, rate := range rates {
		l.limit += rate * shares[p]
	}
}

// needsCapacity reports whether there is a shortage, or evidence of one.
func (l *level) needsCapacity() bool {
	e := l.meter.counts.Evidence
	return l.short || e.Rejected > 0 || e.Queued > 0
}

// Shares returns the shares of the targets that are short of capacity. Those that were in
// force before the demand is known hold until then.
func (c *Controller) Shares() Shares {
	out := maps.Clone(c.seeds)
	for t, l := range c.levels {
		if _, seeded := c.seeds[t]; seeded {
			continue
		}
		if s, short := l.shares(); short {
			if out == nil {
				out = make(Shares)
			}
			out[t] = s
		}
	}
	return out
}
