package rollout

import (
	"math"
	"time"
)

const (
	// alarmScore is the score from which on a version counts as bad: a version like the old
	// one reaches it about once in 1,000 sequences that begin with a bad response.
	alarmScore = 6.9
	// shiftAlarmScore replaces it after the verdict: the larger share has more sequences.
	shiftAlarmScore = 9.2
	// doubtScore is the score from which on the share does not rise.
	doubtScore = 2.3
	// acceptScore is the score down to which the responses of a route must go before the
	// verdict is that the version is good: a bad one reaches it once in 66 cases.
	acceptScore = -4.2
	// slowAcceptFactor multiplies it for slow responses, whose tests need fewer responses.
	slowAcceptFactor = 1.5
	// sureScore is the score of all routes together at which the last steps are taken, in
	// which a bad version would exceed its bound: a bad one reaches it once in 160,000 cases.
	sureScore = -12
	// smallRouteShare is the share of a service's requests below which a route needs
	// smallRouteScore only, and tinyRouteShare that below which it is not waited for. Such
	// routes have too few requests for a verdict within the time of an order.
	smallRouteShare = 0.1
	smallRouteScore = -1.4
	tinyRouteShare  = 0.02

	// minFailureShare is the least share of failures that a good version is assumed to
	// have, and extraFailureShare what a bad one has in addition.
	minFailureShare   = 0.02
	extraFailureShare = 0.25
	// failureMargin covers the error of the estimated share of failures of the old version.
	failureMargin = 1.2
	// slowGoodShare and slowBadShare are the shares of slow responses of a good and a bad
	// version. Their distance leaves room for one slow machine among three or more.
	slowGoodShare = 0.15
	slowBadShare  = 0.55
	// usualShare is the share of the responses of the old version that are not slow, and
	// minSlowBuckets the distance of a slow response from the median, a factor of 3.4.
	usualShare     = 0.95
	minSlowBuckets = 3
	// shortWindow and longWindow are the times over which the old version is observed. The
	// short one shows a fault that affects both versions before it has changed the mean
	// over the long one.
	shortWindow = 700 * time.Millisecond
	longWindow  = 3 * time.Second
	// minOldTimes is the number of responses of the old version that show its usual times.
	minOldTimes = 20
	// maxBad is the number of bad responses from which on a version is rolled back if the
	// old version does not fail likewise, whatever the other tests say. It is half of the
	// number from which on the time of the rollback counts.
	maxBad      = 25
	maxBadShare = 0.05
)

// sample is the state of the counts at one time.
type sample struct {
	at      time.Time
	old     Tally
	newGood int
}

// routeTest compares the versions on one route by two sequential tests: of failures, and
// of slow responses. Each has the cumulative score of its log-likelihood ratios, which
// never falls below zero and raises the alarm, and a plain sum since the last reset, for
// the verdict that the version is good.
type routeTest struct {
	history                []sample
	seen                   Tally // counts of the new version that the scores include
	failScore, slowScore   float64
	failSum, slowSum       float64
	bucket                 int // the last one of usual times, if bucketKnown
	bucketKnown            bool
	openSlow               int // requests that have been in flight for longer than usual
	recentGood             int // good responses of the new version in the short window
	oldResponses, oldTimes int // of the old version in the long window
}

// since returns the tally of the old version over a window.
func (t *routeTest) since(now time.Time, window time.Duration, old *Tally) Tally {
	base := Tally{}
	for _, s := range t.history {
		if now.Sub(s.at) < window {
			break
		}
		base = s.old
	}
	if len(t.history) > 0 && base.Sent == 0 {
		base = t.history[0].old
	}
	d := Tally{Good: old.Good - base.Good, Bad: old.Bad - base.Bad}
	for i := range d.Times {
		d.Times[i] = max(0, old.Times[i]-base.Times[i])
	}
	return d
}

// failureShare returns the share of bad responses with a weak assumption that there are
// few.
func failureShare(d Tally) float64 {
	const assumed = 40
	return (float64(max(0, d.Bad)) + assumed*minFailureShare) / (float64(max(0, d.Good+d.Bad)) + assumed)
}

// slowBucket returns the last bucket of usual times, or false if too few are known.
func slowBucket(t *Times) (int, bool) {
	n := t.total()
	if n < minOldTimes {
		return 0, false
	}
	median, usual := 0, 0
	for float64(t.above(median)) > 0.5*float64(n) {
		median++
	}
	for float64(t.above(usual)) > (1-usualShare)*float64(n) {
		usual++
	}
	return max(usual, median+minSlowBuckets), true
}

// update adds the responses since the last call.
func (t *routeTest) update(now time.Time, r *RouteTally) {
	long := t.since(now, longWindow, &r.Old)
	// When all requests use the new version, only the total shows how often the old one failed.
	fail := max(failureShare(long), failureShare(t.since(now, shortWindow, &r.Old)), failureShare(r.Old))
	fail = min(0.9, failureMargin*fail+minFailureShare/2)
	t.oldResponses, t.oldTimes = long.Good+long.Bad, long.Times.total()
	good, bad := r.New.Good-t.seen.Good, r.New.Bad-t.seen.Bad
	badFail := min(0.97, fail+extraFailureShare)
	step := float64(bad)*math.Log(badFail/fail) + float64(good)*math.Log((1-badFail)/(1-fail))
	t.failScore, t.failSum = max(0, t.failScore+step), t.failSum+step
	t.openSlow = 0
	if bucket, known := slowBucket(&long.Times); known {
		t.bucket, t.bucketKnown = bucket, true
	}
	if bucket := t.bucket; t.bucketKnown {
		slow := r.New.Times.above(bucket) - t.seen.Times.above(bucket)
		usual := r.New.Times.total() - t.seen.Times.total() - slow
		step := float64(slow)*math.Log(slowBadShare/slowGoodShare) + float64(usual)*math.Log((1-slowBadShare)/(1-slowGoodShare))
		t.slowScore, t.slowSum = max(0, t.slowScore+step), t.slowSum+step
		t.openSlow = r.New.Open.above(bucket)
	}
	t.seen = r.New
	t.history = append(t.history, sample{now, r.Old, r.New.Good})
	t.recentGood = r.New.Good - t.goodBefore(now)
	for len(t.history) > 1 && now.Sub(t.history[1].at) >= longWindow {
		t.history = t.history[1:]
	}
}

// goodBefore returns the good responses of the new version before the short window.
func (t *routeTest) goodBefore(now time.Time) int {
	n := 0
	for _, s := range t.history {
		if now.Sub(s.at) >= shortWindow {
			n = s.newGood
		}
	}
	return n
}

func (t *routeTest) reset() { t.failSum, t.slowSum = 0, 0 }

// slow returns the score of slow responses with the requests that are overdue.
func (t *routeTest) slow() float64 {
	return t.slowScore + float64(t.openSlow)*math.Log(slowBadShare/slowGoodShare)
}

// comparison holds the tests of all routes of a service.
type comparison struct{ routes map[string]*routeTest }

func (c *comparison) update(now time.Time, t Totals) {
	for name, r := range t.Routes {
		test := c.routes[name]
		if test == nil {
			test = &routeTest{}
			c.routes[name] = test
		}
		test.update(now, r)
	}
}

// reset begins a new verdict on whether the version is good.
func (c *comparison) reset() {
	for _, t := range c.routes {
		t.reset()
	}
}

// alarm returns the reason why the version is bad, or "": a score has reached limit. single
// states that the version has one upstream only.
func (c *comparison) alarm(t Totals, limit float64, single bool) (reason, route string) {
	for name, test := range c.routes {
		r := t.Routes[name]
		if r == nil {
			continue
		}
		if test.failScore >= limit && (single || r.New.badUpstreams() > 1) {
			return "failures", name
		}
		// Requests without an answer may wait at one upstream that is stuck, while the others
		// answer.
		if test.slowScore >= limit || test.slow() >= limit && test.openSlow > test.recentGood {
			return "slow-responses", name
		}
	}
	all := t.all()
	if n := all.New.Good + all.New.Bad; all.New.Bad >= maxBad && float64(all.New.Bad)/float64(n) > 2*failureShare(all.Old)+maxBadShare {
		return "failures", ""
	}
	return "", ""
}

// doubtful reports whether a route has more bad or slow responses than a good version
// usually has.
func (c *comparison) doubtful() bool {
	for _, t := range c.routes {
		if t.failScore >= doubtScore || t.slowScore >= doubtScore || t.openSlow > 0 && t.openSlow*3 > t.recentGood {
			return true
		}
	}
	return false
}

// good reports whether the responses since the last reset show that the version is good on
// each route.
func (c *comparison) good() bool {
	total := 0
	for _, t := range c.routes {
		total += t.oldResponses
	}
	if total == 0 || c.doubtful() {
		return false
	}
	for _, t := range c.routes {
		share, want := float64(t.oldResponses)/float64(total), acceptScore
		switch {
		case share < tinyRouteShare:
			continue
		case share < smallRouteShare:
			want = smallRouteScore
		}
		if t.failSum > want || t.slowSum > slowAcceptFactor*want {
			return false
		}
	}
	return true
}

// sure reports whether the responses of all routes since the last reset leave no doubt.
func (c *comparison) sure() bool {
	fail, slow := 0.0, 0.0
	for _, t := range c.routes {
		fail += t.failSum
		slow += t.slowSum
	}
	return c.good() && fail <= sureScore && slow <= sureScore
}
