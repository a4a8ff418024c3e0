package balance

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// NamedLimit is the request rate that an answer states its upstream to accept from all
// instances together.
type NamedLimit struct {
	Named   bool
	Rate    fleet.PerSecond // valid if Named
	Invalid bool            // a value could not be read or is out of range, or several differed
}

// Bounds of the effect of a named limit.
const (
	// MinNamedLimit is the lowest limit. With a lower one, hardly any answer could show
	// that the upstream no longer names it.
	MinNamedLimit fleet.PerSecond = 0.25
	// MaxNamedLimit is the highest limit, which no upstream reaches.
	MaxNamedLimit fleet.PerSecond = 1e6
)

// rateLimit is the limit that a run of an upstream names, or its end.
type rateLimit struct {
	rate fleet.PerSecond // 0: none
	at   time.Time       // when it was last named, or was seen to have ended
	// takesAgainAt is when the limit has a slot for a request of this instance; zero if
	// that is unknown.
	takesAgainAt time.Time
}

// RunLimit is the limit of a run in messages between instances.
type RunLimit struct {
	Run  Run
	Rate fleet.PerSecond // 0: the run names no limit any more
	Age  time.Duration   // since it was last named, or was seen to have ended
}

// LimitRate returns the rate that e names as its limit for all instances together, or 0.
func (e *Entry) LimitRate() fleet.PerSecond { return e.limit.rate }

// RunLimit returns the limit of e for a message to another instance.
func (e *Entry) RunLimit(now time.Time) RunLimit {
	return RunLimit{Run: e.run(), Rate: e.limit.rate, Age: max(0, now.Sub(e.limit.at))}
}

// NoteLimit records the limit in an answer of e to a request sent at sentAt. ran
// states that the upstream has run the request: only such an answer without a limit ends
// one, and only if the request was sent after the limit was last named, since answers
// overtake each other. It reports whether the limit has changed.
func (t *Table) NoteLimit(now, sentAt time.Time, e *Entry, l NamedLimit, ran bool) bool {
	switch {
	case l.Named:
		return e.setLimit(now, min(max(l.Rate, MinNamedLimit), MaxNamedLimit))
	case l.Invalid || !ran || e.limit.rate == 0 || !sentAt.After(e.limit.at):
		return false
	}
	return e.setLimit(now, 0)
}

// MergeLimit records the limit of a run that another instance has reported, if it is newer
// than the recorded one. It reports whether the limit has changed.
func (t *Table) MergeLimit(now time.Time, l RunLimit) bool {
	e, at := t.GetRun(l.Run), now.Add(-max(0, l.Age))
	if e == nil || !at.After(e.limit.at) || !(l.Rate >= 0) || l.Rate > MaxNamedLimit {
		return false
	}
	return e.setLimit(at, l.Rate)
}

func (e *Entry) setLimit(at time.Time, rate fleet.PerSecond) bool {
	changed := e.limit.rate != rate
	if changed {
		e.limit.takesAgainAt = time.Time{}
	}
	e.limit.rate, e.limit.at = rate, at
	return changed
}

// NoteLimitReached records that the limit of e has no slot for a request of this instance
// before the given time.
func (t *Table) NoteLimitReached(e *Entry, until time.Time) {
	if e.limit.rate > 0 && until.After(e.limit.takesAgainAt) {
		e.limit.takesAgainAt = until
	}
}

// HoldBack is why an upstream that is usable takes no requests for some time.
type HoldBack int

// The reasons.
const (
	Paused       HoldBack = iota // it has requested a pause
	LimitReached                 // the limit that it names has no slot
)

// resumesAt returns when e takes requests again that pauses or whose limit is reached.
func (e *Entry) resumesAt() time.Time {
	if e.limit.takesAgainAt.After(e.pausedUntil) {
		return e.limit.takesAgainAt
	}
	return e.pausedUntil
}

// FirstLimited returns the upstream of a service whose limit is the first to have a slot
// again, among those that are usable and only held back by their limits, or nil.
func (t *Table) FirstLimited(now time.Time, q Query) *Entry {
	var first *Entry
	for _, e := range t.byService[q.Service] {
		if !t.Usable(e) || q.Exclude[e.ID] || now.Before(e.ejectedUntil) || now.Before(e.pausedUntil) || e.Cold(now) || !now.Before(e.limit.takesAgainAt) {
			continue
		}
		if first == nil || e.limit.takesAgainAt.Before(first.limit.takesAgainAt) {
			first = e
		}
	}
	return first
}

// LimitedUpstreams returns the number of upstreams of each service that name a limit,
// including zeros.
func (t *Table) LimitedUpstreams() map[fleet.ServiceID]int {
	return t.count(func(e *Entry) bool { return e.limit.rate > 0 })
}
