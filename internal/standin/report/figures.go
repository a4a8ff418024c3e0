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

// imbalance compares the busiest upstream of each service with the mean, by
// executions in the steady time before the first event.
func (h *History) imbalance() (out []Figure) {
	from, to := h.steady()
	counts := make(map[fleet.UpstreamID]float64)
	for _, x := range h.Executions {
		if x.Start >= from && x.Start < to {
			counts[x.Upstream]++
		}
	}
	for _, s := range h.Run.Services {
		var total, most, n float64
		for _, u := range h.Run.Upstreams {
			if u.Service == s {
				total, most, n = total+counts[u.ID], max(most, counts[u.ID]), n+1
			}
		}
		if total > 0 {
			out = append(out, Figure{
				Name: "imbalance " + string(s), Value: most * n / total, Unit: "ratio", Worse: Higher,
				Note: fmt.Sprintf("busiest upstream to the mean of %.0f, before the first event", n),
			})
		}
	}
	return out
}

// keyID is a routing key of a service.
type keyID struct {
	service fleet.ServiceID
	key     fleet.RoutingKey
}

// ownerChange is an execution of a key at another upstream than the one before.
type ownerChange struct {
	at       int64
	key      keyID
	from, to fleet.UpstreamID
}

// ownerChanges follows the effects of each key.
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

// churnWindow is how long after a loss the changes of owners are attributed to
// it.
const churnWindow = 5 * time.Second

// churn counts keys whose owner changed, as seen in the upstreams' histories. A
// change is seen only when the key is used again.
func (h *History) churn() (out []Figure) {
	changes := h.ownerChanges()
	from, to := h.span()
	steadyFrom, steadyTo := h.steady()
	steady := 0
	for _, c := range changes {
		if c.at >= steadyFrom && c.at < steadyTo {
			steady++
		}
	}
	perMinute := func(n int, from, to int64) float64 {
		return float64(n) / time.Duration(to-from).Minutes()
	}
	out = append(out,
		Figure{Name: "churn", Value: perMinute(len(changes), from, to), Unit: "keys/min", Worse: Higher, Note: "keys whose owner changed, whole run"},
		Figure{Name: "churn before the first event", Value: perMinute(steady, steadyFrom, steadyTo), Unit: "keys/min", Worse: Higher})
	for _, e := range h.Run.Events {
		if e.Kind != UpstreamLost {
			continue
		}
		lost := h.keysOf(e)
		moved, least := 0, 0
		seen := make(map[keyID]bool)
		for _, c := range changes {
			if c.at <= e.At.UnixNano() || c.at > e.At.Add(churnWindow).UnixNano() || c.key.service != h.serviceOf(e.Name) || seen[c.key] {
				continue
			}
			seen[c.key] = true
			moved++
			if lost[c.key] {
				least++
			}
		}
		if least > 0 {
			out = append(out, Figure{
				Name: "churn after loss of " + e.Name, Value: float64(moved) / float64(least), Unit: "ratio", Worse: Higher,
				Note: fmt.Sprintf("%d keys of the service moved within %s, %d of them had to", moved, churnWindow, least),
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

// keysOf returns the keys whose last effect before the loss was at the lost
// upstream.
func (h *History) keysOf(e Event) map[keyID]bool {
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

// unavailable measures, for each key of a lost upstream, the time from the last
// answer before the loss (or from the lost upstream itself) to the first answer
// after it. The gap contains the key's ordinary time between two answers, which
// limits the resolution. Keys whose median time between answers before the loss
// is above samplingLimit are left out, and so are keys that were not asked for
// (apart from rate-limited requests) within samplingLimit after the loss. The median of the others is reported as
// the sampling limit. The gap of a key without an answer after the loss ends with
// the run.
func (h *History) unavailable() (out []Figure) {
	for _, e := range h.Run.Events {
		if e.Kind == UpstreamLost {
			out = append(out, h.unavailableAfter(e)...)
		}
	}
	return out
}

// samplingLimit is a quarter of the 2 s within which a key must be served again.
const samplingLimit = 500 * time.Millisecond

// answers are the times of a key's answers around a loss.
type answers struct {
	before       []int64
	after        int64 // first one; 0: none
	lastUnserved int64 // arrival of the last request that was not served
	asked        bool  // within samplingLimit after the loss
}

func (h *History) unavailableAfter(e Event) []Figure {
	at := e.At.UnixNano()
	_, end := h.span()
	keys := make(map[keyID]*answers)
	for k := range h.keysOf(e) {
		keys[k] = &answers{}
	}
	atLost := make(map[string]bool)
	for _, x := range h.Executions {
		if string(x.Upstream) == e.Name && x.Effect != 0 && x.Start <= at {
			atLost[x.Client] = true
		}
	}
	for _, c := range h.Calls {
		a := keys[keyID{c.Service, c.Key}]
		if a == nil {
			continue
		}
		limited := c.Reason == string(fleet.ReasonRateLimited)
		a.asked = a.asked || !limited && c.T0 > at && c.T0 <= at+int64(samplingLimit)
		switch {
		case c.Outcome == served && (c.T1 <= at || atLost[c.Client]):
			a.before = append(a.before, c.T1)
		case c.Outcome == served:
			if a.after == 0 || c.T1 < a.after {
				a.after = c.T1
			}
		case c.T1 > at && !limited && c.T0 < e.At.Add(churnWindow).UnixNano():
			a.lastUnserved = max(a.lastUnserved, c.T0)
		}
	}
	var gaps, usual []float64
	lastUnserved, never := int64(0), 0
	for _, a := range keys {
		lastUnserved = max(lastUnserved, a.lastUnserved-at)
		if len(a.before) == 0 || !a.asked {
			continue
		}
		between := a.between()
		if !(between <= samplingLimit.Seconds()) { // also if it is not known
			continue
		}
		usual = append(usual, between)
		if a.after == 0 {
			never++
			a.after = end
		}
		gaps = append(gaps, seconds(a.after-a.before[len(a.before)-1]))
	}
	if len(gaps) == 0 {
		return nil
	}
	name := "unavailable after loss of " + e.Name
	return []Figure{
		{Name: name + " p50", Value: quantile(gaps, 0.5), Unit: "s", Worse: Higher, Note: fmt.Sprintf("%d keys, %d never served again; last answer before to first after", len(gaps), never)},
		{Name: name + " p99", Value: quantile(gaps, 0.99), Unit: "s", Worse: Higher},
		{Name: name + " max", Value: quantile(gaps, 1), Unit: "s", Worse: Higher},
		{Name: name + " sampling limit", Value: quantile(usual, 0.5), Unit: "s", Note: "median over the keys of the median time between two answers before the loss"},
		{Name: name + " last unserved arrival", Value: seconds(lastUnserved), Unit: "s", Worse: Higher, Note: "after the loss, within 5 s; rate-limited requests left out"},
	}
}

// between returns the median time between two answers before the loss. It sorts
// them.
func (a *answers) between() float64 {
	slices.Sort(a.before)
	var gaps []float64
	for i := 1; i < len(a.before); i++ {
		gaps = append(gaps, seconds(a.before[i]-a.before[i-1]))
	}
	return quantile(gaps, 0.5)
}

func seconds(nanos int64) float64 { return float64(nanos) / 1e9 }

// quantile returns the smallest value that at least the share q does not exceed.
func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return math.NaN()
	}
	slices.Sort(v)
	return v[min(len(v)-1, max(0, int(math.Ceil(q*float64(len(v))))-1))]
}

// latency gives percentiles of the served requests, in the steady time and over
// the whole run.
func (h *History) latency() (out []Figure) {
	from, to := h.steady()
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

// outside gives percentiles of the steady latency without the execution at the
// upstream, which removes the spread of the service times.
func (h *History) outside() (out []Figure) {
	from, to := h.steady()
	took := make(map[string]int64, len(h.Executions))
	for _, x := range h.Executions {
		if x.Effect != 0 && x.End != 0 {
			took[x.Client] = x.End - x.Start
		}
	}
	for _, class := range []catalogue.Class{catalogue.Idempotent, catalogue.NonIdempotent} {
		var v []float64
		for _, c := range h.Calls {
			if t, ok := took[c.Client]; ok && c.Class == class && c.Outcome == served && c.T0 >= from && c.T0 < to {
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

// bucket replays the ideal token bucket of a limit.
type bucket struct {
	limit  fleet.Limit
	level  float64
	filled int64
}

func newBucket(l fleet.Limit) *bucket { return &bucket{limit: l, level: float64(l.Burst)} }

// has refills up to now and reports whether a token is left.
func (b *bucket) has(now int64) bool {
	if b.limit.Unlimited() {
		return true
	}
	if b.filled != 0 && now > b.filled {
		b.level = min(float64(b.limit.Burst), b.level+seconds(now-b.filled)*float64(b.limit.Rate))
	}
	b.filled = now
	return b.level >= 1
}

func (b *bucket) take() { b.level-- }

// inside marks the calls that one token bucket per limit, fed by the arrivals,
// would have admitted.
func (h *History) inside() []bool {
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
		if first, second := a.has(c.T0), e.has(c.T0); first && second {
			a.take()
			e.take()
			out[i] = true
		}
	}
	return out
}

// share is what an account offered and got.
type share struct {
	offered, inside, limited, served float64
	weighedInside, weighedServed     float64
}

// service gives the figures of served shares. An account's requests inside its
// rate are counted, not identified: the router may serve another of its requests
// than the ideal bucket would.
func (h *History) service() []Figure {
	weights := make(map[fleet.EntryID]float64)
	for _, e := range h.Run.Entries {
		weights[e.ID] = e.Weight
	}
	shares := make(map[fleet.AccountID]*share)
	inside := h.inside()
	for i, c := range h.Calls {
		s := shares[c.Account]
		if s == nil {
			s = &share{}
			shares[c.Account] = s
		}
		s.offered++
		if inside[i] {
			s.inside++
			s.weighedInside += weights[c.Entry]
		}
		if c.Outcome == served {
			s.served++
			s.weighedServed += weights[c.Entry]
		}
		if c.Outcome == notRun && (c.Reason == string(fleet.ReasonRateLimited) || c.Reason == string(fleet.ReasonLimitUnavailable)) {
			s.limited++
		}
	}
	var limited, refused, in, weighedIn, weighed float64
	worst, who := math.Inf(1), fleet.AccountID("")
	for id, s := range shares {
		limited += max(0, s.inside-(s.offered-s.limited))
		refused += max(0, s.inside-s.served)
		in += s.inside
		weighedIn += s.weighedInside
		weighed += min(s.weighedServed, s.weighedInside)
		if got := min(1, s.served/s.inside); s.inside > 0 && (got < worst || got == worst && id < who) {
			worst, who = got, id
		}
	}
	if in == 0 {
		return nil
	}
	return []Figure{
		{Name: "service figure", Value: weighed / weighedIn, Unit: "share", Worse: Lower, Note: "served share of the requests inside the rate, with the entries' weights"},
		{Name: "worst-served account", Value: worst, Unit: "share", Worse: Lower, Note: string(who) + ": served share of what it offered inside its rate"},
		{Name: "refused by limits inside the rate", Value: limited, Unit: "requests", Worse: Higher},
		{Name: "not served inside the rate", Value: refused, Unit: "requests", Worse: Higher, Note: fmt.Sprintf("of %.0f", in)},
	}
}

// zoneService gives the served share while a zone leaves, is out, and returns.
func (h *History) zoneService() (out []Figure) {
	for i, e := range h.Run.Events {
		if e.Kind != ZoneOut {
			continue
		}
		// The edit was accepted before it came into force.
		from, to := e.At.Add(-time.Second).UnixNano(), int64(math.MaxInt64)
		for _, back := range h.Run.Events[i:] {
			if back.Kind == ZoneIn && back.Name == e.Name {
				to = back.At.Add(churnWindow).UnixNano()
				break
			}
		}
		offered, got := 0.0, 0.0
		for _, c := range h.Calls {
			if c.T0 >= from && c.T0 < to && c.Reason != string(fleet.ReasonRateLimited) {
				offered++
				if c.Outcome == served {
					got++
				}
			}
		}
		if offered > 0 {
			out = append(out, Figure{
				Name: "served while zone " + e.Name + " is out", Value: got / offered, Unit: "share", Worse: Lower,
				Note: "from 1 s before the edit was in force to 5 s after the return; rate-limited requests left out",
			})
		}
	}
	return out
}

// outcomes counts how the calls ended.
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
