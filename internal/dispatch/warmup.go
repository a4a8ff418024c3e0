package dispatch

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// warmup adapts the concurrency limit of an upstream from its cold to its warm value
// and measures its service times.
type warmup struct {
	limit, slots    fleet.Slots
	successes       fleet.Slots   // consecutive successes at the present limit
	busy            time.Duration // time with at least one open attempt at the present limit
	busySince       time.Time     // zero: no attempt is open
	serviceTime     time.Duration // moving average; 0: not measured
	warmServiceTime time.Duration // moving average at the full limit; 0: not measured
}

// warmTimeFactor multiplies Duty.WarmTime, because the time in which the dispatcher
// has an open attempt includes network delay and other overhead besides the
// upstream's work.
const warmTimeFactor = 2

// warmupStep returns the busy time after which the limit may grow by 1.
func (d Duty) warmupStep() time.Duration {
	if d.Slots <= d.ColdSlots {
		return 0
	}
	return warmTimeFactor * d.WarmTime / time.Duration(d.Slots-d.ColdSlots)
}

func (w *warmup) reset(cold fleet.Slots) { w.limit = max(1, cold) }

func (w *warmup) setBounds(slots, cold fleet.Slots) {
	w.slots = max(1, slots)
	w.limit = max(1, min(w.limit, w.slots))
	if w.limit < cold {
		w.limit = min(cold, w.slots)
	}
}

// resetToCold lowers the limit to that of a cold upstream.
func (w *warmup) resetToCold(now time.Time, cold fleet.Slots) {
	w.limit = min(w.limit, max(1, cold))
	w.restartStep(now)
}

func (w *warmup) restartStep(now time.Time) {
	w.successes, w.busy = 0, 0
	if !w.busySince.IsZero() {
		w.busySince = now
	}
}

func (w *warmup) attemptSent(now time.Time, open int) {
	if open == 1 {
		w.busySince = now
	}
}

// attemptEnded records the end of an attempt, with or without a response.
func (w *warmup) attemptEnded(now time.Time, open int) {
	if !w.busySince.IsZero() {
		w.busy += now.Sub(w.busySince)
		w.busySince = now
	}
	if open == 0 {
		w.busySince = time.Time{}
	}
}

// recordResponse records a response. The limit grows by 1 after as many consecutive
// successes as its value, but only once the upstream has been busy for step at the
// present limit, because caches warm up by work and not by elapsed time. A response
// that takes at least twice the service time at the full limit counts as a failure.
func (w *warmup) recordResponse(now time.Time, took time.Duration, ok bool, step time.Duration) {
	if !ok {
		w.successes = 0
		return
	}
	w.serviceTime = movingAverage(w.serviceTime, took)
	if w.limit >= w.slots {
		w.warmServiceTime = movingAverage(w.warmServiceTime, took)
		return
	}
	if w.warmServiceTime > 0 && took >= 2*w.warmServiceTime {
		w.successes = 0
		return
	}
	w.successes++
	if w.successes >= w.limit && w.busy >= step {
		w.limit++
		w.restartStep(now)
	}
}

// movingAverage returns the exponential moving average with weight 1/16 for v, so
// that about the last 16 values count.
func movingAverage(old, v time.Duration) time.Duration {
	if old == 0 {
		return v
	}
	return old + (v-old)/16
}
