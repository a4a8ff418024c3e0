package dispatch

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// warming keeps the concurrency limit of an upstream and its service times.
type warming struct {
	limit, slots fleet.Slots
	run          fleet.Slots   // successes in a row at the present limit
	busy         time.Duration // time with an open attempt at the present limit
	busySince    time.Time     // zero: no attempt is open
	service      time.Duration // moving average; 0: not measured
	baseline     time.Duration // moving average while warm; 0: not measured
}

// warmMargin stretches the warm time, because the time in which the dispatcher has
// an open attempt includes the network and a little more than the upstream's work.
const warmMargin = 2

// warmStep is the work after which the upstream handles one more request.
func (d Duty) warmStep() time.Duration {
	if d.Slots <= d.ColdSlots {
		return 0
	}
	return warmMargin * d.WarmTime / time.Duration(d.Slots-d.ColdSlots)
}

func (w *warming) reset(cold fleet.Slots) { w.limit = max(1, cold) }

func (w *warming) bound(slots, cold fleet.Slots) {
	w.slots = max(1, slots)
	w.limit = max(1, min(w.limit, w.slots))
	if w.limit < cold {
		w.limit = min(cold, w.slots)
	}
}

// cool assumes that the upstream is cold.
func (w *warming) cool(now time.Time, cold fleet.Slots) {
	w.limit = min(w.limit, max(1, cold))
	w.restart(now)
}

func (w *warming) restart(now time.Time) {
	w.run, w.busy = 0, 0
	if !w.busySince.IsZero() {
		w.busySince = now
	}
}

func (w *warming) sent(now time.Time, open int) {
	if open == 1 {
		w.busySince = now
	}
}

// ended counts the end of an attempt, however it ended.
func (w *warming) ended(now time.Time, open int) {
	if !w.busySince.IsZero() {
		w.busy += now.Sub(w.busySince)
		w.busySince = now
	}
	if open == 0 {
		w.busySince = time.Time{}
	}
}

// done counts a response. The limit grows by 1 after as many good responses in a
// row as its value, and not before the upstream has worked for step at the
// present limit: caches warm with work, not with time.
func (w *warming) done(now time.Time, took time.Duration, ok bool, step time.Duration) {
	if !ok {
		w.run = 0
		return
	}
	w.service = average(w.service, took)
	if w.limit >= w.slots {
		w.baseline = average(w.baseline, took)
		return
	}
	if w.baseline > 0 && took >= 2*w.baseline {
		w.run = 0
		return
	}
	w.run++
	if w.run >= w.limit && w.busy >= step {
		w.limit++
		w.restart(now)
	}
}

// average weighs the last 16 or so values.
func average(old, v time.Duration) time.Duration {
	if old == 0 {
		return v
	}
	return old + (v-old)/16
}
