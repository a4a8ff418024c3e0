package admission

import (
	"math"
	"time"
)

// Evidence counts the results of attempts at upstreams.
type Evidence struct {
	Answered float64 // the upstream has run the request
	Queued   float64 // of these, those whose answer states a queue of one request for each slot or more
	Rejected float64 // refused by a full queue
}

// Counts is what instances have observed over some time.
type Counts struct {
	Requests ByPriority // that arrived, admitted or not
	Evidence Evidence
}

// Times returns the counts multiplied by factor.
func (c Counts) Times(factor float64) Counts {
	c.Requests = c.Requests.Times(factor)
	c.Evidence.Answered *= factor
	c.Evidence.Queued *= factor
	c.Evidence.Rejected *= factor
	return c
}

// meter averages counts over about halfLife.
type meter struct {
	halfLife time.Duration
	at       time.Time
	counts   Counts
	seconds  float64 // that the counts stand for
}

// advance lets the counts decay to now.
func (m *meter) advance(now time.Time) {
	elapsed := now.Sub(m.at)
	if m.at.IsZero() || elapsed <= 0 {
		m.at = now
		return
	}
	m.at = now
	keep := math.Exp2(-elapsed.Seconds() / m.halfLife.Seconds())
	m.counts = m.counts.Times(keep)
	m.seconds = m.seconds*keep + elapsed.Seconds()
}

func (m *meter) add(now time.Time, c Counts) {
	m.advance(now)
	for p, n := range c.Requests {
		m.counts.Requests[p] += n
	}
	m.counts.Evidence.add(c.Evidence)
}

// perSecond returns the rates by priority, and that of answers.
func (m *meter) perSecond() (requested ByPriority, answered float64) {
	if m.seconds < minMeterTime.Seconds() {
		return ByPriority{}, 0
	}
	for p, n := range m.counts.Requests {
		requested[p] = n / m.seconds
	}
	return requested, m.counts.Evidence.Answered / m.seconds
}

const (
	// minMeterTime is the time before which a rate is unknown. The first reports arrive
	// together and would look like a burst.
	minMeterTime = 500 * time.Millisecond
	// serviceHalfLife and holderHalfLife are the half-lives of the averages at the leader. A single holder
	// has few requests, and half a second of them is too few to detect a shortage.
	serviceHalfLife = 500 * time.Millisecond
	holderHalfLife  = time.Second
	// ownHalfLife is that of the averages of a single instance, which sees one request in a
	// hundred.
	ownHalfLife = 4 * time.Second
	// minAttempts is the number of attempts below which there is no evidence.
	minAttempts = 20
	// shortRejected and shortQueued are the shares of rejected and of queued attempts from
	// which on there is a shortage, easedRejected and easedQueued those below which it eases.
	// Uneven load makes queues and a few rejections at four fifths of the capacity.
	shortRejected, easedRejected = 0.05, 0.01
	shortQueued, easedQueued     = 0.5, 0.3
	// queuedUse is the share of the estimated capacity below which queues without rejections
	// are no evidence.
	queuedUse = 0.95
	// evidenceTime is how long the evidence has to last, unless the demand is above strongUse
	// of the estimated capacity: an upstream is three times slower for 400 ms at a time without
	// a lack of capacity.
	evidenceTime = 500 * time.Millisecond
	strongUse    = 1.25
	// reactionTime is the time until a change of a share shows in the evidence: a report, a
	// reply, and the queue of an upstream. Stepping down more often lets the limit swing.
	reactionTime = 1500 * time.Millisecond
	// firstLowered is the first limit relative to the rate of answers, lowered the factor of a
	// later step down. The first one has to empty the queues, which delay all requests.
	firstLowered, lowered = 0.95, 0.93
	// raisePerSec is the part by which the limit grows in a second once the shortage eases, up
	// to the estimated capacity, and raiseBeyondPerSec that above it. Callers that repeat
	// refused requests make the demand look higher than it is until the limit has grown.
	raisePerSec, raiseBeyondPerSec = 1.0, 0.12
	// spareFactor is by how much a limit exceeds the demand before the shortage ends, and
	// the most by which it does.
	spareFactor = 1.2
	// lowestAnswered is the lowest limit relative to the rate of answers. What upstreams have
	// just answered fits into their capacity, but leaves queues as long as they are.
	lowestAnswered = 0.95
	// minAdmitted is the lowest limit relative to the demand if the capacity is unknown.
	minAdmitted = 0.3
)

// trust is how far an estimate of a capacity is relied on: there is no shortage while the
// demand is below this share of it, and no limit is below.
type trust float64

const (
	// trustService is for services whose requests any upstream can serve: if these reject
	// many, all are busy, and the estimate is too high.
	trustService trust = 0.6
	trustHolder  trust = 0.75
)

// level is the limit of a target. It exists only during a shortage.
type level struct {
	meter     meter
	trust     trust
	pressedAt time.Time // since when there has been evidence; zero if there is none
	short     bool
	limit     float64 // requests/s; valid if short
	loweredAt time.Time
	steppedAt time.Time
	heardAt   time.Time // last counts
}

// pressed reports whether the attempts show a shortage at a demand of requested requests/s.
// If the capacity is unknown, rejections show one at a service of which any upstream serves
// any request; elsewhere they may be those of a single holder.
func (l *level) pressed(requested, capacity float64) bool {
	e := l.meter.counts.Evidence
	attempts := e.Answered + e.Rejected
	switch {
	case attempts < minAttempts, requested < float64(l.trust)*capacity, capacity == 0 && l.trust != trustService:
		return false
	case e.Rejected >= shortRejected*attempts:
		return true
	}
	return capacity > 0 && requested >= queuedUse*capacity && e.Queued >= shortQueued*e.Answered
}

func (l *level) eased() bool {
	e := l.meter.counts.Evidence
	return e.Rejected < easedRejected*(e.Answered+e.Rejected) && e.Queued < easedQueued*e.Answered || e.Answered+e.Rejected == 0
}

// step updates the limit. capacity is the estimated capacity in requests/s, 0 if unknown.
func (l *level) step(now time.Time, capacity float64) {
	l.meter.advance(now)
	rates, answered := l.meter.perSecond()
	requested := rates.Sum()
	elapsed := now.Sub(l.steppedAt)
	l.steppedAt = now
	if l.pressed(requested, capacity) && rates.Priorities() > 1 {
		if l.pressedAt.IsZero() {
			l.pressedAt = now
		}
	} else {
		l.pressedAt = time.Time{}
	}
	patience := evidenceTime
	if capacity > 0 && requested > strongUse*capacity {
		patience = 0
	}
	lowest := max(float64(l.trust)*capacity, lowestAnswered*answered)
	if capacity == 0 {
		lowest = minAdmitted * requested
	}
	l.limit = max(l.limit, float64(l.trust)*capacity)
	switch {
	case rates.Priorities() < 2:
		l.short = false
	case !l.short:
		if !l.pressedAt.IsZero() && now.Sub(l.pressedAt) >= patience {
			l.short, l.limit, l.loweredAt = true, max(firstLowered*answered, float64(l.trust)*capacity), now
		}
	case !l.pressedAt.IsZero():
		if now.Sub(l.loweredAt) >= reactionTime {
			l.limit, l.loweredAt = max(l.limit*lowered, min(lowest, l.limit)), now
		}
	default:
		// Single slow or hot upstreams reject a few requests at any limit, so that the limit
		// rises without evidence of a shortage too, though slowly.
		raise := raiseBeyondPerSec
		if l.eased() && l.limit < capacity {
			raise = raisePerSec
		}
		l.limit *= 1 + raise*min(elapsed.Seconds(), 1)
		if l.limit > spareFactor*requested && now.Sub(l.loweredAt) >= reactionTime {
			l.short = false
		}
	}
}

// shares returns the admitted share by priority, and false if all requests are.
func (l *level) shares() (ByPriority, bool) {
	rates, _ := l.meter.perSecond()
	if !l.short || rates.Priorities() < 2 || rates.Sum() <= l.limit {
		return ByPriority{}, false
	}
	return Admitted(l.limit, rates), true
}
