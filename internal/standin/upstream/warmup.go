package upstream

import "time"

// overloadTime is how long an upstream stays broken after it was given more
// concurrent work than it bears.
const overloadTime = time.Second

// warmth models caches that fill with work. A cold upstream bears cold slots;
// the rest come evenly over warmTime of work.
type warmth struct {
	slots, cold int
	warmTime    time.Duration
	worked      time.Duration
	since       time.Time // start of the present work; zero: idle
	brokenUntil time.Time
}

// advance counts work up to now, at which running requests remain.
func (w *warmth) advance(now time.Time, running int) {
	if !w.since.IsZero() {
		w.worked += now.Sub(w.since)
	}
	w.since = time.Time{}
	if running > 0 {
		w.since = now
	}
}

// bears returns how many requests may run at once.
func (w *warmth) bears() int {
	if w.warmTime <= 0 || w.worked >= w.warmTime {
		return w.slots
	}
	return w.cold + int(float64(w.slots-w.cold)*float64(w.worked)/float64(w.warmTime))
}

// cool empties the caches.
func (w *warmth) cool() { w.worked = 0 }

func (w *warmth) broken(now time.Time) bool { return now.Before(w.brokenUntil) }

// check breaks the upstream if it bears fewer than running requests, and
// reports whether this started an overload.
func (w *warmth) check(now time.Time, running int) bool {
	if running <= w.bears() {
		return false
	}
	started := !w.broken(now)
	w.brokenUntil = now.Add(overloadTime)
	return started
}

// slowdown is the factor on the service time.
func (w *warmth) slowdown(now time.Time) float64 {
	f := float64(w.slots) / float64(max(1, w.bears()))
	if w.broken(now) {
		f *= 3
	}
	return f
}
