package admission

import "time"

// Retries detects which requests of a route are probably sent a second time. Nothing in a
// request says so, but the caller has waited since the first time, so that it states less
// time than the callers of the route usually do.
type Retries struct {
	longest time.Duration // that callers state
	common  float64       // mean share of the requests that state about that long
}

const (
	// sameTime is the part of the longest stated time from which on a request is taken for a
	// new one. Before a retry, a caller has waited for a refusal and its Retry-After.
	sameTime = 0.97
	// minCommon is the share of the requests that state the longest time without which
	// nothing is known: the callers of the route state times of their own.
	minCommon = 0.2
	// commonWeight is the weight of one request in this share, longestDecay the part of the
	// longest time that is forgotten with each request, so that the time of one odd caller
	// does not count for ever.
	commonWeight = 0.02
	longestDecay = 0.0005
)

// Retry records the time that a request states, 0 if none, and reports whether it is
// probably a retry.
func (r *Retries) Retry(stated time.Duration) bool {
	if stated <= 0 {
		return false
	}
	if stated >= r.longest {
		r.longest = stated
	} else {
		r.longest -= time.Duration(longestDecay * float64(r.longest-stated))
	}
	isNew := float64(stated) >= sameTime*float64(r.longest)
	r.common *= 1 - commonWeight
	if isNew {
		r.common += commonWeight
	}
	return !isNew && r.common >= minCommon
}
