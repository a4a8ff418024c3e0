package rollout

import (
	"math"
	"time"
)

const (
	// probeShare is sent to the new version while its upstreams are cold, to notice one that
	// fails at once.
	probeShare = 0.03
	// measureShare is sent to it for the verdict, and measureHolderShare in a sharded
	// service, whose keys take a second to move back.
	measureShare       = 0.12
	measureHolderShare = 0.08
	// firstShift and secondShift are the shares after the verdict, before all requests move.
	firstShift        = 0.25
	secondShift       = 0.5
	firstHolderShift  = 0.3
	secondHolderShift = 0.6
	// matureShare is the share of the upstreams of the new version that must have run for
	// long enough that a late fault shows; see MatureAge.
	matureShare = 0.7
	// stepTime is the least time between two steps. The responses of the step before have
	// arrived within it. In a sharded service, keys move for about a second.
	stepTime       = 700 * time.Millisecond
	holderStepTime = 1200 * time.Millisecond
	// reactionTime is the time from a fault until its version gets no requests: the service
	// time, the report and the reply.
	reactionTime       = 1200 * time.Millisecond
	holderReactionTime = 2 * time.Second
	// oldDrainTime is the time for which requests to the old version may end before the
	// roll-out becomes final; afterwards it waits for the rest.
	oldDrainTime = 1500 * time.Millisecond
	// successorDelay is the least time between the last record of a leader and the
	// decisions of its successor.
	successorDelay = 2 * time.Second
	// successorSettleTime is the time after which most instances have reported to a new
	// leader.
	successorSettleTime = 1500 * time.Millisecond
	// throttleShare and throttleSlack are the parts of the bound up to which requests are
	// sent before the verdict, and resumeShare is the part of those at which they are sent
	// again. The rest is for requests that are not reported yet.
	throttleShare = 0.7
	throttleSlack = 0.4
	resumeShare   = 0.9
	// minUpstreamsShare is the least number of upstreams of the new version, relative to the
	// others, with which it gets all requests.
	minUpstreamsShare = 0.4
	// maxBehindShare is the share of the instances that may not have applied a step when the
	// next one is taken: an instance that was lost is not waited for.
	maxBehindShare = 0.2
	// undecidedShare is the share of the order's duration after which a leader without a
	// verdict says so.
	undecidedShare = 0.6
	// minRateTime is the time over which arrivals are counted before their rate is used.
	minRateTime = 500 * time.Millisecond
	// forgetMargin is how long before the end of the duration the leader stops waiting for
	// instances that have been silent for so long that they were removed.
	forgetMargin = time.Second
)

// MatureAge is the time since an upstream was first listed after which faults show that
// begin some seconds after its start.
const MatureAge = 3200 * time.Millisecond

// Input is what the leader knows when it takes a step.
type Input struct {
	Totals Totals
	// Upstreams is the number of usable upstreams of the target, Mature that of those which
	// are warm and have been listed for MatureAge, and Others that of other versions.
	Upstreams, Mature, Others int
	Sharded                   bool
	OldHolders                bool // other versions hold keys, or keys are in a move
	// Members is the number of instances, Behind that of those which report and have not
	// applied the directive, Silent that of those which may have requests in flight to other
	// versions and have stopped reporting, and OldOpen the number of such requests of others.
	Members, Behind, Silent, OldOpen int
}

// Event is something that a leader logs.
type Event interface{ event() }

// PhaseChanged reports a new phase or share.
type PhaseChanged struct {
	Record Record
	Route  string // on which the fault of a bad version showed; empty: on all
}

// Undecided reports that a large part of the duration has passed without a verdict.
type Undecided struct{ Record Record }

func (PhaseChanged) event() {}
func (Undecided) event()    {}

// Controller is the leader's state of the roll-out of one service.
type Controller struct {
	bounds    Bounds
	rec       Record // in force
	next      *Record
	dirty     bool // the stored record is not rec
	saving    *Record
	step      uint64
	startedAt time.Time // of the roll-out
	phaseAt   time.Time // when rec came into force
	resetAt   time.Time // when the sums for the verdict are reset again; zero if they are not
	throttled bool
	undecided bool
	cleared   bool // during the shift, there was no doubt that the version is good
	compared  comparison
	firstAt   time.Time // when arrivals were first reported
	firstSeen int       // arrivals then
	in        Input
	events    []Event
}

// NewController returns the state of a roll-out that an order starts. step is that of the
// first directive, higher than those of other controllers.
func NewController(now time.Time, b Bounds, o Order, step uint64) *Controller {
	return &Controller{
		bounds: b, rec: Record{Order: o, Phase: PhaseWaiting}, dirty: true, step: step, startedAt: now, phaseAt: now,
		compared: comparison{routes: make(map[string]*routeTest)},
	}
}

// Continue returns the state of a roll-out that another leader has recorded.
func Continue(now time.Time, b Bounds, rec Record, step uint64) *Controller {
	return &Controller{
		bounds: b, rec: rec, step: step, startedAt: now.Add(-rec.Elapsed - successorDelay), phaseAt: now,
		resetAt: now.Add(successorSettleTime), compared: comparison{routes: make(map[string]*routeTest)},
	}
}

// Record returns the record in force.
func (c *Controller) Record() Record { return c.rec }

// Directive returns what the instances are to do.
func (c *Controller) Directive() Directive {
	d := Directive{Service: c.rec.Order.Service, Order: c.rec.Order.Revision, Target: c.rec.Order.Target, Step: c.step}
	switch c.rec.Phase {
	case PhaseProbe:
		d.Share = probeShare
		if c.in.Sharded {
			d.Share = 0 // no key moves to cold upstreams
		}
	case PhaseMeasure:
		d.Share, d.Even = measureShare, true
		if c.in.Sharded {
			d.Share = measureHolderShare
		}
	case PhaseShift:
		d.Share = c.rec.Share
	case PhaseFinal, PhaseCompleted:
		d.Share, d.Final = 1, true
	}
	if c.rec.Settled {
		d.Share, d.Final, d.Settled = 0, false, true
	}
	if c.throttled {
		d.Share, d.Even = 0, false
	}
	return d
}

// Save returns the record that has to be stored next, or false if none has, or one is being
// stored. The caller ends it by Saved.
func (c *Controller) Save() (Record, bool) {
	switch {
	case c.saving != nil:
		return Record{}, false
	case c.dirty:
		r := c.rec
		c.saving = &r
	case c.next != nil:
		c.saving = c.next
	default:
		return Record{}, false
	}
	return *c.saving, true
}

// Saved records whether the record that Save returned was stored.
func (c *Controller) Saved(now time.Time, stored bool) {
	saved := c.saving
	c.saving = nil
	if !stored || saved == nil {
		return
	}
	if c.next == saved && !c.rec.Phase.ended() {
		c.next = nil
		c.enter(now, *saved, "")
		return
	}
	c.dirty = c.dirty && (saved.Phase != c.rec.Phase || saved.Settled != c.rec.Settled)
}

// Restored records that the store was restored from a copy and may lack the last record.
func (c *Controller) Restored() { c.dirty = true }

// settleTime is the time after the completion of a roll-out within which the upstreams of
// other versions have stopped.
const settleTime = 10 * time.Second

// Settle ends the restriction to the target of a completed roll-out: no other version is
// listed, or the listed ones are so late that they have nothing to do with it.
func (c *Controller) Settle(now time.Time, othersListed bool) {
	if c.rec.Phase == PhaseCompleted && !c.rec.Settled && !c.dirty && (!othersListed || now.Sub(c.phaseAt) > settleTime) {
		c.rec.Settled, c.dirty = true, true
		c.step++
	}
}

// Stored reports whether the record in force is stored.
func (c *Controller) Stored() bool { return !c.dirty }

// Events returns the events since the last call.
func (c *Controller) Events() []Event {
	list := c.events
	c.events = nil
	return list
}

// enter puts a record in force.
func (c *Controller) enter(now time.Time, r Record, route string) {
	if r.Phase == PhaseMeasure {
		c.compared.reset()
	}
	c.rec, c.phaseAt, c.throttled = r, now, false
	c.step++
	c.events = append(c.events, PhaseChanged{Record: r, Route: route})
}

// propose lets a phase come into force once it is stored.
func (c *Controller) propose(now time.Time, p Phase, share float64) {
	if c.next != nil || c.dirty {
		return
	}
	r := c.snapshot(now)
	r.Phase, r.Share = p, share
	c.next = &r
}

func (c *Controller) snapshot(now time.Time) Record {
	r := c.rec
	sent, arrivals := c.counts()
	r.Elapsed, r.Sent, r.Arrivals = c.elapsed(now), sent, arrivals
	return r
}

// rollBack ends the roll-out at once; the record follows.
func (c *Controller) rollBack(now time.Time, reason, route string) {
	r := c.snapshot(now)
	r.Phase, r.Share, r.Reason = PhaseRolledBack, 0, reason
	c.next, c.dirty = nil, true
	c.enter(now, r, route)
}

// Withdraw ends the roll-out because its order was withdrawn or replaced. A final one is
// completed. It reports whether the roll-out has ended.
func (c *Controller) Withdraw(now time.Time) bool {
	if phases[c.rec.Phase] < phases[PhaseFinal] && (c.next == nil || c.next.Phase != PhaseFinal) {
		c.rollBack(now, "order-withdrawn", "")
	}
	return c.rec.Phase.ended()
}

func (c *Controller) elapsed(now time.Time) time.Duration { return now.Sub(c.startedAt) }

// counts returns the requests that were sent to the new version, and those that reached the
// service.
func (c *Controller) counts() (sent, arrivals int) {
	all := c.in.Totals.all()
	return max(all.New.Sent, c.rec.Sent), max(c.in.Totals.Arrivals, c.rec.Arrivals)
}

// Counts returns the requests that were sent to the new version, its bad responses, and the
// requests that reached the service.
func (c *Controller) Counts() (sent, bad, arrivals int) {
	sent, arrivals = c.counts()
	return sent, c.in.Totals.all().New.Bad, arrivals
}

// Step decides on the next phase.
func (c *Controller) Step(now time.Time, in Input) {
	wasSharded := c.in.Sharded
	c.in = in
	if wasSharded != in.Sharded {
		c.step++
	}
	if c.rec.Phase.ended() {
		return
	}
	if !c.resetAt.IsZero() && !now.Before(c.resetAt) {
		c.compared.reset()
		c.resetAt = time.Time{}
		c.firstAt = time.Time{} // the counts of instances that reported later are no arrivals since then
	}
	if c.firstAt.IsZero() && in.Totals.Arrivals > 0 {
		c.firstAt, c.firstSeen = now, in.Totals.Arrivals
	}
	c.compared.update(now, in.Totals)
	if phases[c.rec.Phase] < phases[PhaseFinal] {
		final := c.saving != nil && c.saving.Phase == PhaseFinal // may be stored already
		limit := alarmScore
		if c.rec.Phase == PhaseShift {
			limit = shiftAlarmScore
		}
		if reason, route := c.compared.alarm(in.Totals, limit, subsetSize(in.Upstreams, c.Directive().Share, in.Sharded) < 2); reason != "" && !final {
			c.rollBack(now, reason, route)
			return
		}
	}
	c.throttle(now)
	c.advance(now)
}

// advance proposes the next phase if its conditions are met.
func (c *Controller) advance(now time.Time) {
	in := c.in
	switch c.rec.Phase {
	case PhaseWaiting:
		switch {
		case in.Upstreams > 0 && in.Others == 0 && in.OldOpen == 0 && !in.OldHolders:
			c.propose(now, PhaseFinal, 1) // all upstreams have the version
		case in.Upstreams > 0:
			c.propose(now, PhaseProbe, 0)
		case c.elapsed(now) > c.rec.Order.Duration && !c.dirty:
			c.rollBack(now, "no-upstreams", "")
		}
	case PhaseProbe:
		if float64(in.Mature) >= matureShare*float64(in.Upstreams) && in.Mature >= min(minTrial(in.Sharded), in.Upstreams) && in.Mature > 0 {
			c.propose(now, PhaseMeasure, 0)
		}
	case PhaseMeasure:
		share := firstShift
		if in.Sharded {
			share = firstHolderShift
		}
		if c.resetAt.IsZero() && c.compared.good() && c.mayShift(now, share) {
			c.propose(now, PhaseShift, share)
		}
		c.noteUndecided(now)
	case PhaseShift:
		c.advanceShift(now)
		if c.throttled {
			c.noteUndecided(now)
		}
	case PhaseFinal:
		silent := in.Silent > 0 && c.elapsed(now) < c.rec.Order.Duration-forgetMargin
		if in.Behind == 0 && in.OldOpen == 0 && !in.OldHolders && !silent && now.After(c.phaseAt) {
			c.propose(now, PhaseCompleted, 1)
		}
	}
}

// advanceShift raises the share of a version that seems good.
func (c *Controller) advanceShift(now time.Time) {
	stay, second := stepTime, secondShift
	if c.in.Sharded {
		stay, second = holderStepTime, secondHolderShift
	}
	if now.Sub(c.phaseAt) < stay || c.compared.doubtful() || float64(c.in.Behind) > maxBehindShare*float64(c.in.Members) || !c.resetAt.IsZero() {
		return
	}
	switch {
	case c.rec.Share < second:
		if c.mayShift(now, second) {
			c.propose(now, PhaseShift, second)
		}
	case c.rec.Share < 1:
		if c.compared.sure() && c.mayShift(now, 1) {
			c.propose(now, PhaseShift, 1)
		}
	case c.in.OldOpen == 0 && !c.in.OldHolders || now.Sub(c.phaseAt) > oldDrainTime && !c.in.OldHolders:
		c.propose(now, PhaseFinal, 1)
	}
}

// rate returns the requests per second that reach the service, or false if they have not
// been counted for long enough.
func (c *Controller) rate(now time.Time) (perSecond float64, known bool) {
	d := now.Sub(c.firstAt)
	if c.firstAt.IsZero() || !c.resetAt.IsZero() || d < minRateTime {
		return 0, false
	}
	return float64(c.in.Totals.Arrivals-c.firstSeen) / d.Seconds(), true
}

// mayShift reports whether the version may get a share of the requests: it has upstreams
// for them, and a fault that shows only then must be noticed before the bound is reached,
// unless there is no doubt that the version is good.
func (c *Controller) mayShift(now time.Time, share float64) bool {
	if float64(c.in.Upstreams) < minUpstreamsShare*share*float64(c.in.Others) {
		return false
	}
	return c.compared.sure() || c.boundUsed(now, share) <= 1
}

// boundUsed returns which part of the bound the requests to the new version use that are sent
// with a share until a fault has been noticed, or +Inf if the rate of arrivals is unknown.
func (c *Controller) boundUsed(now time.Time, share float64) float64 {
	reaction := reactionTime
	if c.in.Sharded {
		reaction = holderReactionTime
	}
	rate, known := c.rate(now)
	if !known {
		return math.Inf(1)
	}
	sent, arrivals := c.counts()
	left := max(0, c.rec.Order.Duration-c.elapsed(now)).Seconds()
	limit := c.bounds.Share*(float64(arrivals)+rate*left) + c.bounds.Slack
	return (float64(sent) + share*rate*reaction.Seconds()) / limit
}

// throttle stops the requests to the new version while they are near the bound, as long as
// there is no verdict, and during the shift as long as there has been a doubt.
func (c *Controller) throttle(now time.Time) {
	throttled := false
	switch c.rec.Phase {
	case PhaseProbe, PhaseMeasure:
		sent, arrivals := c.counts()
		limit := throttleShare*c.bounds.Share*float64(arrivals) + throttleSlack*c.bounds.Slack
		throttled = float64(sent) > limit || c.throttled && float64(sent) > resumeShare*limit
	case PhaseShift:
		c.cleared = c.cleared || c.compared.sure()
		if _, known := c.rate(now); !known || c.rec.Share == 1 {
			return
		}
		used := c.boundUsed(now, c.rec.Share)
		throttled = !c.cleared && (used > 1 || c.throttled && used > resumeShare)
	default:
		return
	}
	if throttled != c.throttled {
		c.throttled = throttled
		c.step++
	}
}

func (c *Controller) noteUndecided(now time.Time) {
	if !c.undecided && float64(c.elapsed(now)) > undecidedShare*float64(c.rec.Order.Duration) {
		c.undecided = true
		c.events = append(c.events, Undecided{Record: c.snapshot(now)})
	}
}
