package report

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// imbalance computes, for each service, the ratio of the executions at its busiest
// upstream to the mean of its upstreams, over the steady period.
func (h *History) imbalance() (out []Figure) {
	from, to := h.steadyPeriod()
	counts := make(map[fleet.UpstreamID]float64)
	for _, x := range h.Executions {
		if x.Start >= from && x.Start < to {
			counts[x.Upstream]++
		}
	}
	for _, s := range h.Run.Services {
		var total, busiest, n float64
		for _, u := range h.Run.Upstreams {
			if u.Service == s {
				total, busiest, n = total+counts[u.ID], max(busiest, counts[u.ID]), n+1
			}
		}
		if total > 0 {
			out = append(out, Figure{
				Name: "imbalance " + string(s), Value: busiest * n / total, Unit: "ratio", Worse: Higher,
				Note: fmt.Sprintf("busiest upstream to the mean of %.0f, before the first event", n),
			})
		}
	}
	return out
}

// keyID identifies a routing key of a service.
type keyID struct {
	service fleet.ServiceID
	key     fleet.RoutingKey
}

// ownerChange is a change of the upstream at which requests with a key take effect.
type ownerChange struct {
	at       int64
	key      keyID
	from, to fleet.UpstreamID
}

// ownerChanges returns the owner changes of all keys, sorted by time.
func (h *History) ownerChanges() (out []ownerChange) {
	last := make(map[keyID]fleet.UpstreamID)
	for _, x := range h.Executions {
		if x.Effect == 0 {
			continue
		}
		k := keyID{x.Service, x.Key}
		if from, ok := last[k]; ok && from != x.Upstream {
			out = append(out, ownerChange{x.Start, k, from, x.Upstream})
		}
		last[k] = x.Upstream
	}
	return out
}

// churnWindow is the period after the loss of an upstream in which owner changes
// are attributed to the loss.
const churnWindow = 5 * time.Second

// churn computes the rate of owner changes, and for each lost upstream the ratio
// of the keys that moved to the keys that had to move. It relies on the histories
// of the upstreams and thus sees a change only when the key is used again.
func (h *History) churn() (out []Figure) {
	changes := h.ownerChanges()
	from, to := h.span()
	steadyFrom, steadyTo := h.steadyPeriod()
	steadyChanges := 0
	for _, c := range changes {
		if c.at >= steadyFrom && c.at < steadyTo {
			steadyChanges++
		}
	}
	perMinute := func(n int, from, to int64) float64 {
		return float64(n) / time.Duration(to-from).Minutes()
	}
	out = append(out,
		Figure{Name: "churn", Value: perMinute(len(changes), from, to), Unit: "keys/min", Worse: Higher, Note: "keys whose owner changed, whole run"},
		Figure{Name: "churn before the first event", Value: perMinute(steadyChanges, steadyFrom, steadyTo), Unit: "keys/min", Worse: Higher})
	for _, e := range h.Run.Events {
		if e.Kind != UpstreamLost {
			continue
		}
		lost := h.keysOwnedAt(e)
		moved, necessary := 0, 0
		seen := make(map[keyID]bool)
		for _, c := range changes {
			if c.at <= e.At.UnixNano() || c.at > e.At.Add(churnWindow).UnixNano() || c.key.service != h.serviceOf(e.Name) || seen[c.key] {
				continue
			}
			seen[c.key] = true
			moved++
			if lost[c.key] {
				necessary++
			}
		}
		if necessary > 0 {
			out = append(out, Figure{
				Name: "churn after loss of " + e.Name, Value: float64(moved) / float64(necessary), Unit: "ratio", Worse: Higher,
				Note: fmt.Sprintf("%d keys of the service moved within %s, %d of them had to", moved, churnWindow, necessary),
			})
		}
	}
	return out
}

func (h *History) serviceOf(upstream string) fleet.ServiceID {
	for _, u := range h.Run.Upstreams {
		if string(u.ID) == upstream {
			return u.Service
		}
	}
	return ""
}

// keysOwnedAt returns the keys whose last effect before the loss e was at the lost
// upstream.
func (h *History) keysOwnedAt(e Event) map[keyID]bool {
	owner := make(map[keyID]fleet.UpstreamID)
	for _, x := range h.Executions {
		if x.Effect != 0 && x.Start <= e.At.UnixNano() {
			owner[keyID{x.Service, x.Key}] = x.Upstream
		}
	}
	out := make(map[keyID]bool)
	for k, u := range owner {
		if string(u) == e.Name {
			out[k] = true
		}
	}
	return out
}

// unavailability computes how long the keys of each lost upstream were not served.
//
// The gap of a key is the time from its last served response before the loss, or
// from the lost upstream, to the first one after the loss. If there is none after
// the loss, the gap ends with the run. A gap includes the key's usual interval
// between responses, which limits the resolution. Therefore keys are left out if
// their median interval before the loss is above samplingLimit, or if no request
// for them, other than rate-limited ones, arrived within samplingLimit after the
// loss. The median of the other keys' median intervals is reported as the
// sampling limit.
func (h *History) unavailability() (out []Figure) {
	for _, event := range h.Run.Events {
		if event.Kind == UpstreamLost {
			out = append(out, h.unavailabilityAfter(event)...)
		}
	}
	return out
}

// samplingLimit is the longest median interval between responses at which the gap
// of a key is measured: a quarter of the 2 s within which a key must be served
// again.
const samplingLimit = 500 * time.Millisecond

// keyAnswers holds the times of the served responses and the requests of a key
// around a loss, in Unix nanoseconds.
type keyAnswers struct {
	beforeLoss         []int64
	firstAfterLoss     int64 // first served response after the loss; 0 means none
	lastUnserved       int64 // arrival of the last request that was not served
	requestedAfterLoss bool  // a request arrived within samplingLimit after the loss
}

func (h *History) unavailabilityAfter(e Event) []Figure {
	at := e.At.UnixNano()
	_, end := h.span()
	keys := make(map[keyID]*keyAnswers)
	for k := range h.keysOwnedAt(e) {
		keys[k] = &keyAnswers{}
	}
	servedByLost := make(map[string]bool)
	for _, x := range h.Executions {
		if string(x.Upstream) == e.Name && x.Effect != 0 && x.Start <= at {
			servedByLost[x.ClientID] = true
		}
	}
	for _, c := range h.Calls {
		a := keys[keyID{c.Service, c.Key}]
		if a == nil {
			continue
		}
		rateLimited := c.Reason == string(fleet.ReasonRateLimited)
		a.requestedAfterLoss = a.requestedAfterLoss || !rateLimited && c.T0 > at && c.T0 <= at+int64(samplingLimit)
		switch {
		case c.Outcome == served && (c.T1 <= at || servedByLost[c.ClientID]):
			a.beforeLoss = append(a.beforeLoss, c.T1)
		case c.Outcome == served:
			if a.firstAfterLoss == 0 || c.T1 < a.firstAfterLoss {
				a.firstAfterLoss = c.T1
			}
		case c.T1 > at && !rateLimited && c.T0 < e.At.Add(churnWindow).UnixNano():
			a.lastUnserved = max(a.lastUnserved, c.T0)
		}
	}
	var gaps, medianIntervals []float64
	lastUnserved, neverServed := int64(0), 0
	for _, a := range keys {
		lastUnserved = max(lastUnserved, a.lastUnserved-at)
		if len(a.beforeLoss) == 0 || !a.requestedAfterLoss {
			continue
		}
		interval := a.medianInterval()
		if !(interval <= samplingLimit.Seconds()) { // also true if interval is NaN
			continue
		}
		medianIntervals = append(medianIntervals, interval)
		if a.firstAfterLoss == 0 {
			neverServed++
			a.firstAfterLoss = end
		}
		gaps = append(gaps, seconds(a.firstAfterLoss-a.beforeLoss[len(a.beforeLoss)-1]))
	}
	if len(gaps) == 0 {
		return nil
	}
	name := "unavailable after loss of " + e.Name
	return []Figure{
		{Name: name + " p50", Value: quantile(gaps, 0.5), Unit: "s", Worse: Higher, Note: fmt.Sprintf("%d keys, %d never served again; last answer before to first after", len(gaps), neverServed)},
		{Name: name + " p99", Value: quantile(gaps, 0.99), Unit: "s", Worse: Higher},
		{Name: name + " max", Value: quantile(gaps, 1), Unit: "s", Worse: Higher},
		{Name: name + " sampling limit", Value: quantile(medianIntervals, 0.5), Unit: "s", Note: "median over the keys of the median time between two answers before the loss"},
		{Name: name + " last unserved arrival", Value: seconds(lastUnserved), Unit: "s", Worse: Higher, Note: "after the loss, within 5 s; rate-limited requests left out"},
	}
}

// medianInterval sorts beforeLoss and returns the median time in seconds between
// successive responses, or NaN if there are fewer than two.
func (a *keyAnswers) medianInterval() float64 {
	slices.Sort(a.beforeLoss)
	var gaps []float64
	for i := 1; i < len(a.beforeLoss); i++ {
		gaps = append(gaps, seconds(a.beforeLoss[i]-a.beforeLoss[i-1]))
	}
	return quantile(gaps, 0.5)
}

func seconds(nanos int64) float64 { return float64(nanos) / 1e9 }

// quantile sorts v and returns its smallest element that is not less than a
// fraction q of the elements, or NaN if v is empty.
func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return math.NaN()
	}
	slices.Sort(v)
	return v[min(len(v)-1, max(0, int(math.Ceil(q*float64(len(v))))-1))]
}

// latency computes latency percentiles of the served requests by class, over the
// whole run and over the steady period.
func (h *History) latency() (out []Figure) {
	from, to := h.steadyPeriod()
	for _, period := range []struct {
		name     string
		from, to int64
	}{{"", 0, math.MaxInt64}, {" steady", from, to}} {
		for _, class := range []catalogue.Class{catalogue.Idempotent, catalogue.NonIdempotent} {
			hist := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			for _, c := range h.Calls {
				if c.Class == class && c.Outcome == served && c.T0 >= period.from && c.T0 < period.to {
					_ = hist.RecordValue(min(max(1, (c.T1-c.T0)/1000), time.Minute.Microseconds()))
				}
			}
			if hist.TotalCount() == 0 {
				continue
			}
			for _, p := range []struct {
				name string
				at   float64
			}{{"p50", 50}, {"p99", 99}, {"p99.9", 99.9}} {
				out = append(out, Figure{
					Name: "latency " + string(class) + period.name + " " + p.name, Unit: "ms", Worse: Higher,
					Value: float64(hist.ValueAtPercentile(p.at)) / 1000, Note: fmt.Sprintf("%d requests", hist.TotalCount()),
				})
			}
		}
	}
	return out
}

// latencyOutsideUpstream computes percentiles of the latency minus the execution
// time at the upstream, over the steady period. Unlike the whole latency, it does
// not vary with the service times.
func (h *History) latencyOutsideUpstream() (out []Figure) {
	from, to := h.steadyPeriod()
	executionTimes := make(map[string]int64, len(h.Executions))
	for _, x := range h.Executions {
		if x.Effect != 0 && x.End != 0 {
			executionTimes[x.ClientID] = x.End - x.Start
		}
	}
	for _, class := range []catalogue.Class{catalogue.Idempotent, catalogue.NonIdempotent} {
		var v []float64
		for _, c := range h.Calls {
			if t, ok := executionTimes[c.ClientID]; ok && c.Class == class && c.Outcome == served && c.T0 >= from && c.T0 < to {
				v = append(v, float64(c.T1-c.T0-t)/1e6)
			}
		}
		if len(v) == 0 {
			continue
		}
		for _, p := range []struct {
			name string
			q    float64
		}{{"p50", 0.5}, {"p99", 0.99}} {
			out = append(out, Figure{
				Name: outsidePrefix + string(class) + " steady " + p.name, Value: quantile(v, p.q), Unit: "ms", Worse: Higher,
			})
		}
	}
	return out
}

// bucket is a single token bucket that enforces a limit exactly.
type bucket struct {
	limit      fleet.Limit
	tokens     float64
	refilledAt int64 // Unix nanoseconds; 0 before the first refill
}

func newBucket(l fleet.Limit) *bucket { return &bucket{limit: l, tokens: float64(l.Burst)} }

// refill adds the tokens up to now and reports whether at least one is available.
func (b *bucket) refill(now int64) bool {
	if b.limit.Unlimited() {
		return true
	}
	if b.refilledAt != 0 && now > b.refilledAt {
		b.tokens = min(float64(b.limit.Burst), b.tokens+seconds(now-b.refilledAt)*float64(b.limit.Rate))
	}
	b.refilledAt = now
	return b.tokens >= 1
}

func (b *bucket) take() { b.tokens-- }

// admissible returns, for each call, whether it would be admitted if one token
// bucket per account and one per entry were applied to the arrivals.
func (h *History) admissible() []bool {
	accounts, entries := make(map[fleet.AccountID]*bucket), make(map[fleet.EntryID]*bucket)
	for _, a := range h.Run.Accounts {
		accounts[a.ID] = newBucket(a.Limit)
	}
	for _, e := range h.Run.Entries {
		entries[e.ID] = newBucket(e.Limit)
	}
	out := make([]bool, len(h.Calls))
	for i, c := range h.Calls {
		a, e := accounts[c.Account], entries[c.Entry]
		if a == nil || e == nil {
			continue
		}
		if first, second := a.refill(c.T0), e.refill(c.T0); first && second {
			a.take()
			e.take()
			out[i] = true
		}
	}
	return out
}

// accountTotals counts the requests of an account: those offered, those that ideal
// token buckets would admit, those refused by a limit and those served. The
// weighted totals use the weights of the entries.
type accountTotals struct {
	offered, withinRate, rateLimited, served float64
	weightedWithinRate, weightedServed       float64
}

// servedShares computes which share of the requests within the limits was served.
// It compares numbers of requests per account, not individual requests, because
// the router may admit other requests of an account than the ideal buckets do.
func (h *History) servedShares() []Figure {
	weights := make(map[fleet.EntryID]float64)
	for _, e := range h.Run.Entries {
		weights[e.ID] = e.Weight
	}
	totals := make(map[fleet.AccountID]*accountTotals)
	admissible := h.admissible()
	for i, c := range h.Calls {
		s := totals[c.Account]
		if s == nil {
			s = &accountTotals{}
			totals[c.Account] = s
		}
		s.offered++
		if admissible[i] {
			s.withinRate++
			s.weightedWithinRate += weights[c.Entry]
		}
		if c.Outcome == served {
			s.served++
			s.weightedServed += weights[c.Entry]
		}
		if c.Outcome == notRun && (c.Reason == string(fleet.ReasonRateLimited) || c.Reason == string(fleet.ReasonLimitUnavailable)) {
			s.rateLimited++
		}
	}
	var limited, notServed, withinRate, weightedWithinRate, weightedServed float64
	worstShare, worstAccount := math.Inf(1), fleet.AccountID("")
	for id, s := range totals {
		limited += max(0, s.withinRate-(s.offered-s.rateLimited))
		notServed += max(0, s.withinRate-s.served)
		withinRate += s.withinRate
		weightedWithinRate += s.weightedWithinRate
		weightedServed += min(s.weightedServed, s.weightedWithinRate)
		if got := min(1, s.served/s.withinRate); s.withinRate > 0 && (got < worstShare || got == worstShare && id < worstAccount) {
			worstShare, worstAccount = got, id
		}
	}
	if withinRate == 0 {
		return nil
	}
	return []Figure{
		{Name: "service figure", Value: weightedServed / weightedWithinRate, Unit: "share", Worse: Lower, Note: "served share of the requests inside the rate, with the entries' weights"},
		{Name: "worst-served account", Value: worstShare, Unit: "share", Worse: Lower, Note: string(worstAccount) + ": served share of what it offered inside its rate"},
		{Name: "refused by limits inside the rate", Value: limited, Unit: "requests", Worse: Higher},
		{Name: "not served inside the rate", Value: notServed, Unit: "requests", Worse: Higher, Note: fmt.Sprintf("of %.0f", withinRate)},
	}
}

// zoneServedShare computes, for each zone that was taken out of service, the served
// share of requests from its removal until after its return.
func (h *History) zoneServedShare() (out []Figure) {
	for i, e := range h.Run.Events {
		if e.Kind != ZoneOut {
			continue
		}
		// The edit was accepted before it came into force, so the period starts 1 s earlier.
		from, to := e.At.Add(-time.Second).UnixNano(), int64(math.MaxInt64)
		for _, back := range h.Run.Events[i:] {
			if back.Kind == ZoneIn && back.Name == e.Name {
				to = back.At.Add(churnWindow).UnixNano()
				break
			}
		}
		offered, servedCount := 0.0, 0.0
		for _, c := range h.Calls {
			if c.T0 >= from && c.T0 < to && c.Reason != string(fleet.ReasonRateLimited) {
				offered++
				if c.Outcome == served {
					servedCount++
				}
			}
		}
		if offered > 0 {
			out = append(out, Figure{
				Name: "served while zone " + e.Name + " is out", Value: servedCount / offered, Unit: "share", Worse: Lower,
				Note: "from 1 s before the edit was in force to 5 s after the return; rate-limited requests left out",
			})
		}
	}
	return out
}

// outcomes counts the calls by outcome and reason.
func (h *History) outcomes() []Figure {
	counts := make(map[string]float64)
	var unknowns float64
	for _, c := range h.Calls {
		if c.Outcome == unknown {
			unknowns++
		}
		if c.Outcome != served {
			counts[c.Outcome+" "+c.Reason]++
		}
	}
	from, to := h.span()
	out := []Figure{
		{Name: "requests", Value: float64(len(h.Calls)), Unit: "requests"},
		{Name: "offered rate", Value: float64(len(h.Calls)) / seconds(to-from), Unit: "requests/s"},
		{Name: "unknown outcomes", Value: unknowns, Unit: "requests", Worse: Higher},
	}
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		out = append(out, Figure{Name: "outcome " + name, Value: counts[name], Unit: "requests", Worse: Higher})
	}
	return out
}
