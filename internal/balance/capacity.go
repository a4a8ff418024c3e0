package balance

import (
	"math"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Capacity is the load that an upstream serves within its usual service time.
type Capacity struct {
	Rate     float64 // requests per second
	InFlight float64 // requests in flight, of all instances
}

// MinServiceTime is the shortest assumed service time in seconds. Without it, an upstream
// that answered a few requests immediately would be assigned all keys.
const MinServiceTime = 0.005

const (
	// leaderLimitTTL is the time for which a limit from the leader holds. The leader
	// repeats limits below the slots every limitRepeatInterval. A limit of a lost leader
	// would otherwise hold for as long as the upstream runs.
	leaderLimitTTL      = 30 * time.Second
	limitRepeatInterval = 10 * time.Second
	// significantInFlightChange is the change of a limit in flight, as a share of it, from
	// which on the leader sends it.
	significantInFlightChange = 0.15
)

// Capacity returns the capacity of e. The leader learns it from the answers to all
// instances. Another instance learns the rate from the answers to itself, and the limit in
// flight from the leader if that is below the slots of e.
func (t *Table) Capacity(now time.Time, e *Entry) Capacity {
	inFlight, relativeTime := e.curve.limit(float64(e.Slots))
	c := Capacity{Rate: inFlight / max(t.LongMeanTime(now, e)*relativeTime, MinServiceTime), InFlight: inFlight}
	if e.leaderLimitValid(now) {
		c.InFlight = e.leaderLimit
	}
	if limit := float64(e.LimitRate()); limit > 0 {
		c.Rate = min(c.Rate, limit)
	}
	return c
}

func (e *Entry) leaderLimitValid(now time.Time) bool {
	return e.leaderLimit > 0 && now.Sub(e.leaderLimitAt) < leaderLimitTTL
}

// inFlightLimit returns the requests in flight, of all instances, that e handles well.
func (e *Entry) inFlightLimit(now time.Time) float64 {
	if e.leaderLimitValid(now) {
		return e.leaderLimit
	}
	if e.ownLimit > 0 {
		return e.ownLimit
	}
	return float64(e.Slots)
}

// UpstreamCapacity is the capacity of an upstream and its slots.
type UpstreamCapacity struct {
	Capacity
	Slots fleet.Slots
}

// Capacities returns the capacities of the upstreams of each service that has any.
func (t *Table) Capacities(now time.Time) map[fleet.ServiceID][]UpstreamCapacity {
	out := make(map[fleet.ServiceID][]UpstreamCapacity, len(t.byService))
	for id, entries := range t.byService {
		for _, e := range entries {
			out[id] = append(out[id], UpstreamCapacity{Capacity: t.Capacity(now, e), Slots: e.Slots})
		}
	}
	return out
}

// InFlightLimit is the limit in flight of an upstream, of all instances together, in
// messages between instances.
type InFlightLimit struct {
	ID    fleet.UpstreamID
	Boot  fleet.BootID
	Limit float64
}

// SetInFlightLimits records limits from the leader.
func (t *Table) SetInFlightLimits(now time.Time, limits []InFlightLimit) {
	for _, l := range limits {
		if e := t.entries[l.ID]; e != nil && e.Boot == l.Boot && l.Limit >= 1 {
			e.leaderLimit, e.leaderLimitAt = min(l.Limit, float64(max(e.Slots, 1))), now
		}
	}
}

// InFlightLog contains the limits in flight that a leader has sent, each with the version
// in which it last changed.
type InFlightLog struct {
	seq  uint64
	sent map[fleet.UpstreamID]sentInFlight
}

type sentInFlight struct {
	boot  fleet.BootID
	limit float64
	at    time.Time
	seq   uint64
}

// InFlightChange is the result of InFlightLog.Update.
type InFlightChange struct {
	Crossed bool // the limit has fallen below the slots, or has reached them again
	Limit   float64
}

// Update records the learned limit of an upstream. A limit is sent if it is below the slots
// of the upstream, or has been since that started.
func (l *InFlightLog) Update(now time.Time, t *Table, id fleet.UpstreamID) InFlightChange {
	e := t.entries[id]
	if e == nil {
		return InFlightChange{}
	}
	slots := float64(e.Slots)
	limit, _ := e.curve.limit(slots)
	last, known := l.sent[id]
	known = known && last.boot == e.Boot
	if !known {
		last = sentInFlight{limit: slots}
	}
	changed := math.Abs(limit-last.limit) >= significantInFlightChange*last.limit
	due := last.limit < slots && now.Sub(last.at) >= limitRepeatInterval
	if !changed && !due {
		return InFlightChange{}
	}
	if l.sent == nil {
		l.sent = make(map[fleet.UpstreamID]sentInFlight)
	}
	l.seq++
	l.sent[id] = sentInFlight{boot: e.Boot, limit: limit, at: now, seq: l.seq}
	return InFlightChange{Crossed: (limit < slots) != (last.limit < slots), Limit: limit}
}

// Since returns the limits that were sent after version seq, and the present version.
func (l *InFlightLog) Since(t *Table, seq uint64) ([]InFlightLimit, uint64) {
	var limits []InFlightLimit
	for id, last := range l.sent {
		e := t.entries[id]
		if e == nil || e.Boot != last.boot {
			delete(l.sent, id)
			continue
		}
		if last.seq > seq {
			limits = append(limits, InFlightLimit{ID: id, Boot: last.boot, Limit: last.limit})
		}
	}
	return limits, l.seq
}
