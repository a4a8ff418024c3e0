package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Limits that upstreams name, for all instances together, and the platform's rule on them.
const (
	minLimitPause, maxLimitPause       = 500 * time.Millisecond, 2 * time.Second
	minLimitDuration, maxLimitDuration = 5 * time.Second, 9 * time.Second
	maxNamedLimit                      = 3 // requests per second
	limitWindow                        = 4 * time.Second
	limitOverage                       = 1.5
	limitSlack                         = 5
	limitNoticeTime                    = 500 * time.Millisecond // from an answer that names a limit
)

// namedLimit is a time in which a run of an upstream names a limit.
type namedLimit struct {
	upstream   *upstream
	rate       int // requests per second
	begin, end time.Time
}

// injectLimits lets upstreams name limits for a time d, several at a time. It draws from a
// source of its own, so that the other faults of a seed are the same without it.
func (env *testEnv) injectLimits(rng *rand.Rand, d time.Duration) {
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rng.Int64N(int64(most-least)))
	}
	ends := time.Now().Add(d)
	for time.Now().Before(ends) {
		all := env.currentUpstreams()
		u, rate, length := all[rng.IntN(len(all))], 1+rng.IntN(maxNamedLimit), between(minLimitDuration, maxLimitDuration)
		u.mu.Lock()
		if !u.down && u.leftAt.IsZero() && u.limit == nil {
			l := &namedLimit{upstream: u, rate: rate, begin: time.Now(), end: time.Now().Add(length)}
			u.limit = l
			u.SetHeader(http.Header{"Server-Limit": {strconv.Itoa(rate)}})
			time.AfterFunc(length, func() { u.endLimit(l) })
			env.mu.Lock()
			env.limits = append(env.limits, l)
			env.mu.Unlock()
			env.logFault("%s names a limit of %d requests/s for %v", u.ID(), rate, length)
		}
		u.mu.Unlock()
		time.Sleep(between(minLimitPause, maxLimitPause))
	}
}

// endLimit ends l, unless the run that named it has ended before.
func (u *upstream) endLimit(l *namedLimit) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.limit == l {
		l.end, u.limit = time.Now(), nil
		u.SetHeader(nil)
	}
}

// checkNamedLimits returns a violation for each limit above which requests were executed
// within a window, from contactTime after it was first named. Requests count from
// instances that had passed on an answer with the limit limitNoticeTime before, without a
// disturbance since. The caller holds the lock of the execution log.
func (env *testEnv) checkNamedLimits(byID map[string]*callerRequest) (violations []string) {
	env.mu.Lock()
	limits := env.limits
	env.mu.Unlock()
	for _, l := range limits {
		toldAt := make(map[*instance][]time.Time)
		for _, cr := range byID {
			if cr.body != "by "+l.upstream.ID() || cr.sentAt.Before(l.begin) || cr.endedAt.After(l.end) {
				continue
			}
			toldAt[cr.instance] = append(toldAt[cr.instance], cr.endedAt)
		}
		var counted []time.Time
		for id, executions := range env.executions.byRequestID {
			for _, x := range executions {
				cr := byID[id]
				if cr == nil || x.upstream != l.upstream || x.startedAt.Before(l.begin.Add(contactTime)) || x.startedAt.After(l.end) {
					continue
				}
				bound := func(at time.Time) bool {
					return x.startedAt.Sub(at) > limitNoticeTime && !cr.instance.disturbed(at, x.startedAt)
				}
				if slices.ContainsFunc(toldAt[cr.instance], bound) {
					counted = append(counted, x.startedAt)
				}
			}
		}
		slices.SortFunc(counted, time.Time.Compare)
		allowed := limitOverage*float64(l.rate)*limitWindow.Seconds() + limitSlack
		first := 0
		for i, at := range counted {
			for at.Sub(counted[first]) >= limitWindow {
				first++
			}
			if n := i - first + 1; float64(n) > allowed {
				violations = append(violations, fmt.Sprintf("%s, which named %d requests/s at %.2f s, got %d within %v, at %.2f s; %.0f are allowed",
					l.upstream.ID(), l.rate, l.begin.Sub(env.startedAt).Seconds(), n, limitWindow, at.Sub(env.startedAt).Seconds(), allowed))
				break
			}
		}
	}
	return violations
}

// disturbed reports whether a disturbance of the instance, planned or not, overlaps the
// period from from to to.
func (in *instance) disturbed(from, to time.Time) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return slices.ContainsFunc(in.disturbances, func(d disturbance) bool { return d.end.After(from) && d.begin.Before(to) })
}
