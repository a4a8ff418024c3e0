package upstream

import "time"

// overloadDuration is the time for which an upstream stays overloaded after more
// requests ran at once than its capacity allows.
const overloadDuration = time.Second

// warmUp models caches that fill while requests run. A cold upstream has a capacity of
// coldSlots concurrent requests. It grows linearly to slots while the upstream is busy
// for warmTime.
type warmUp struct {
	slots, coldSlots int
	warmTime         time.Duration
	busyTime         time.Duration
	busySince        time.Time // start of the busy time not yet in busyTime; zero: idle
	overloadedUntil  time.Time
}

// advance adds the busy time up to now; running is the number of requests that run
// from then on.
func (w *warmUp) advance(now time.Time, running int) {
	if !w.busySince.IsZero() {
		w.busyTime += now.Sub(w.busySince)
	}
	w.busySince = time.Time{}
	if running > 0 {
		w.busySince = now
	}
}

// capacity returns the number of requests that can run at once without overload.
func (w *warmUp) capacity() int {
	if w.warmTime <= 0 || w.busyTime >= w.warmTime {
		return w.slots
	}
	return w.coldSlots + int(float64(w.slots-w.coldSlots)*float64(w.busyTime)/float64(w.warmTime))
}

// reset makes the upstream cold, as if its caches were emptied.
func (w *warmUp) reset() { w.busyTime = 0 }

func (w *warmUp) overloaded(now time.Time) bool { return now.Before(w.overloadedUntil) }

// checkOverload makes the upstream overloaded if running exceeds its capacity, and
// reports whether it was not overloaded before.
func (w *warmUp) checkOverload(now time.Time, running int) bool {
	if running <= w.capacity() {
		return false
	}
	started := !w.overloaded(now)
	w.overloadedUntil = now.Add(overloadDuration)
	return started
}

// slowdown returns the factor by which the service time is multiplied: higher while
// the upstream is cold, and three times as high while it is overloaded.
func (w *warmUp) slowdown(now time.Time) float64 {
	f := float64(w.slots) / float64(max(1, w.capacity()))
	if w.overloaded(now) {
		f *= 3
	}
	return f
}
