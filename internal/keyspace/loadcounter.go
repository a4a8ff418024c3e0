package keyspace

import (
	"math"
	"sort"
	"time"
)

const (
	// slowHalfLife is the half-life of the slow request counts. An upstream of a service
	// with many receives about 6 requests/s; with a half-life of 2 s its estimated load
	// varied by a quarter at random, and keys moved all the time.
	slowHalfLife = 6 * time.Second
	// fastHalfLife is the half-life of the fast request counts, which show sudden load:
	// the queue of an upstream is full within 0.1 to 1 s after some of its keys have become
	// busy. middleHalfLife has to be twice as long, see stepFactor.
	fastHalfLife   = 500 * time.Millisecond
	middleHalfLife = 2 * fastHalfLife
)

// LoadCounter estimates the request rate of each key of a service from exponentially
// decaying counts with three half-lives.
type LoadCounter struct {
	slow, middle, fast decayingCounter
	// sums[k] is the estimated rate of all keys below k, as of the last call of estimate.
	sums  []float64
	surge surge // as of the last call of estimate
}

// surge is what the counters show of all spans whose load has risen suddenly.
type surge struct {
	requests float64 // in the fast counts
	rate     float64 // estimated requests/s
}

// decayingCounter counts requests for each key. Counts decay with a half-life.
type decayingCounter struct {
	halfLife time.Duration
	counts   []float32
}

// NewLoadCounter returns a counter without requests.
func NewLoadCounter() *LoadCounter {
	lc := &LoadCounter{sums: make([]float64, Keys+1)}
	for c, halfLife := range map[*decayingCounter]time.Duration{&lc.slow: slowHalfLife, &lc.middle: middleHalfLife, &lc.fast: fastHalfLife} {
		*c = decayingCounter{halfLife: halfLife, counts: make([]float32, Keys)}
	}
	lc.estimate(nil)
	return lc
}

// Add counts a request for k.
func (lc *LoadCounter) Add(k Key) {
	lc.slow.counts[k]++
	lc.middle.counts[k]++
	lc.fast.counts[k]++
}

// Decay reduces all counts for the time dt since the previous call.
func (lc *LoadCounter) Decay(dt time.Duration) {
	lc.slow.decay(dt)
	lc.middle.decay(dt)
	lc.fast.decay(dt)
}

func (c *decayingCounter) decay(dt time.Duration) {
	f := float32(math.Exp2(-dt.Seconds() / c.halfLife.Seconds()))
	for i, v := range c.counts {
		if v != 0 {
			if v *= f; v < 0.001 {
				v = 0
			}
			c.counts[i] = v
		}
	}
}

// ratePerCount returns the factor from a count to requests per second.
func (c *decayingCounter) ratePerCount() float64 { return math.Ln2 / c.halfLife.Seconds() }

func (c *decayingCounter) rate(s Span) float64 {
	sum := 0.0
	for _, v := range c.counts[s.From : int(s.To)+1] {
		sum += float64(v)
	}
	return sum * c.ratePerCount()
}

// baseRate is the load in requests per second that is assumed for each service in
// addition to the measured one, spread evenly over its keys, so that keys without
// requests are distributed as well.
const baseRate = 2.0

const (
	// surgeDeviations and minSurge decide which spans have a surge: the fast count exceeds
	// the expected one by surgeDeviations times its standard deviation and minSurge
	// requests. With 230 upstreams and ten plans a second, 2.5 deviations were exceeded
	// somewhere at nearly all times.
	surgeDeviations = 3.5
	minSurge        = 3.0
	// riseDeviations and minRise decide which spans may be at the beginning of a surge. They
	// do not move before that is certain, as a part of the busy keys would move together.
	riseDeviations = 1.0
	minRise        = 2.0
	// maxStepFactor bounds the extrapolation of a surge that has just begun. Reports reach
	// the leader over 0.7 s, and 0.15 s after its start a surge is ten times as large as the
	// requests that the leader knows. A lower bound divides the keys among too few
	// upstreams, and a key that moves cannot be moved elsewhere before it has arrived.
	maxStepFactor = 12.0
	// smoothedKeys is the number of keys on either side over which the requests for a key
	// of a surging span are spread, unless it has smoothedRequests. Of many neighbouring
	// keys that have become busy only some have been requested when the surge is detected.
	smoothedKeys     = 8
	smoothedRequests = 3.0
	// minTrend and maxTrend bound the ratio of the present rate of a service to that of the
	// slow counts, which are far behind in the first seconds.
	minTrend, maxTrend = 0.3, 12.0
)

// spanLoad is the load of a span as the counters show it.
type spanLoad struct {
	Span
	slow, middle, fast float64 // requests/s
	surging            bool    // the load has risen suddenly
	rising             bool    // the load may have begun to do so
}

// estimate updates the rates that Rate, Prefix, Suffix and densest use. The slow counts are
// scaled to the present rate of the service. Where the fast counts exceed them by more than
// random variation explains, in one of spans, the rates follow the fast counts.
// It returns the loads of spans.
func (lc *LoadCounter) estimate(spans []Span) []spanLoad {
	loads := make([]spanLoad, len(spans))
	for i, s := range spans {
		loads[i] = spanLoad{Span: s, slow: lc.slow.rate(s), middle: lc.middle.rate(s), fast: lc.fast.rate(s)}
	}
	trend := trendOf(loads)
	for range 2 { // the second time without the spans that surge
		for i := range loads {
			excess, deviation := loads[i].excess(trend, lc.fast.ratePerCount())
			loads[i].surging = excess > minSurge+surgeDeviations*deviation
			loads[i].rising = !loads[i].surging && excess > minRise+riseDeviations*deviation
		}
		trend = trendOf(loads)
	}
	if len(spans) == 0 {
		loads = []spanLoad{{Span: Span{0, maxKey}}}
	}
	factor := surgeFactor(loads, trend)
	lc.surge = surge{}
	sum := 0.0
	for _, l := range loads {
		slow, middle, fast := l.weights(trend)
		fastCounts := lc.fast.counts[l.From : int(l.To)+1]
		if l.surging {
			slow, middle, fast = 0, 0, factor
			fastCounts = smooth(fastCounts)
			lc.surge.requests += l.fast / lc.fast.ratePerCount()
			lc.surge.rate += l.fast * factor
		}
		slow, middle, fast = slow*lc.slow.ratePerCount(), middle*lc.middle.ratePerCount(), fast*lc.fast.ratePerCount()
		for i, n := range fastCounts {
			k := int(l.From) + i
			sum += float64(lc.slow.counts[k])*slow + float64(lc.middle.counts[k])*middle + float64(n)*fast + baseRate/Keys
			lc.sums[k+1] = sum
		}
	}
	return loads
}

// weights returns the weights of the three rates in the estimate of the present one. A
// faster rate counts as far as random variation does not explain its difference to the
// slower ones.
func (l spanLoad) weights(trend float64) (slow, middle, fast float64) {
	estimate := l.slow * trend
	m := shrink(l.middle-estimate, l.middle+estimate, middleHalfLife)
	estimate += m * (l.middle - estimate)
	f := shrink(l.fast-estimate, l.fast+estimate, fastHalfLife)
	return (1 - m) * (1 - f) * trend, m * (1 - f), f
}

// shrink returns the share, from 0 to 1, of the difference between two estimates of a rate
// that is not noise (James-Stein). sum is that of the estimates, and halfLife that of the
// counts of the faster one, whose variance is half of their mean.
func shrink(difference, sum float64, halfLife time.Duration) float64 {
	if difference == 0 {
		return 0
	}
	variance := sum / 2 * math.Ln2 / halfLife.Seconds() / 2
	return max(0, 1-noiseFactor*variance/(difference*difference))
}

// noiseFactor is the multiple of the variance that shrink takes for noise.
const noiseFactor = 3.0

// smooth returns counts with each one spread evenly over the nearest smoothedKeys keys on
// either side, within its cluster: the requested keys with gaps of at most 2*smoothedKeys.
func smooth(counts []float32) []float32 {
	out := make([]float32, len(counts))
	for from := 0; from < len(counts); from++ {
		if counts[from] == 0 {
			continue
		}
		last := from
		for k := from + 1; k < len(counts) && k <= last+2*smoothedKeys; k++ {
			if counts[k] > 0 {
				last = k
			}
		}
		for i := from; i <= last; i++ {
			lo, hi := max(from, i-smoothedKeys), min(last, i+smoothedKeys)
			if counts[i] >= smoothedRequests {
				lo, hi = i, i
			}
			for k := lo; k <= hi && counts[i] > 0; k++ {
				out[k] += counts[i] / float32(hi-lo+1)
			}
		}
		from = last
	}
	return out
}

// surgeFactor returns stepFactor for all spans that surge together. The counts of one span
// with few keys are too small for it.
func surgeFactor(loads []spanLoad, trend float64) float64 {
	fast, middle := 0.0, 0.0
	for _, l := range loads {
		if l.surging {
			// A young surge is a share of the slow counts too.
			before := max(0, l.slow-l.middle*middleHalfLife.Seconds()/slowHalfLife.Seconds()) * trend
			fast, middle = fast+l.fast-before, middle+l.middle-before
		}
	}
	return stepFactor(fast, middle)
}

// trendOf returns the ratio of the present rate to that of the slow counts, over all spans
// without a surge.
func trendOf(loads []spanLoad) float64 {
	slow, middle := 0.0, 0.0
	for _, l := range loads {
		if !l.surging {
			slow, middle = slow+l.slow, middle+l.middle
		}
	}
	if slow <= 0 {
		return 1
	}
	return min(max(middle/slow, minTrend), maxTrend)
}

// excess returns by how many requests the fast count exceeds the slow one, scaled by
// trend, and the standard deviation of the expected fast count.
func (l spanLoad) excess(trend, ratePerCount float64) (excess, deviation float64) {
	expected := l.slow * trend / ratePerCount
	return l.fast/ratePerCount - expected, math.Sqrt(expected)
}

// stepFactor returns the factor from the fast estimate of a rate to the rate itself, if it
// rose from zero at once. With the age a of the step in units of the middle half-life and
// y = 2^-a, the fast estimate is rate*(1-y*y) and the middle one rate*(1-y), so that
// y = fast/middle - 1. Requests are reported up to 0.7 s late, so that the load of a young
// surge is still higher; the result is raised by up to 1+y for it.
func stepFactor(fast, middle float64) float64 {
	if fast <= 0 || middle <= 0 {
		return 1
	}
	y := min(max(fast/middle-1, 0), 1)
	return min((1+y)/max(1-y*y, 1/maxStepFactor), maxStepFactor)
}

// Rate returns the estimated requests per second for a span.
func (lc *LoadCounter) Rate(s Span) float64 { return lc.sums[int(s.To)+1] - lc.sums[s.From] }

// keyRate returns the estimated requests per second for key k.
func (lc *LoadCounter) keyRate(k int) float64 { return lc.sums[k+1] - lc.sums[k] }

// fastKeyRate returns the requests per second for key k by the fast counts alone.
func (lc *LoadCounter) fastKeyRate(k Key) float64 {
	return float64(lc.fast.counts[k]) * lc.fast.ratePerCount()
}

// deviation returns the standard deviation of an estimate from the slow counts.
func (lc *LoadCounter) deviation(rate float64) float64 {
	return math.Sqrt(max(rate, 1) * lc.slow.ratePerCount() / 2)
}

// Prefix returns the longest prefix of s with at most rate requests per second, and
// the rate of the prefix. The last result is false if not even one key fits.
func (lc *LoadCounter) Prefix(s Span, rate float64) (Span, float64, bool) {
	from := int(s.From)
	n := sort.Search(keyCount(s), func(i int) bool { return lc.sums[from+i+1]-lc.sums[from] > rate })
	if n == 0 {
		return Span{}, 0, false
	}
	prefix := Span{s.From, Key(from + n - 1)}
	return prefix, lc.Rate(prefix), true
}

// Suffix returns the longest suffix of s with at most rate requests per second, and
// the rate of the suffix. The last result is false if not even one key fits.
func (lc *LoadCounter) Suffix(s Span, rate float64) (Span, float64, bool) {
	to := int(s.To) + 1
	n := sort.Search(keyCount(s), func(i int) bool { return lc.sums[to]-lc.sums[to-i-1] > rate })
	if n == 0 {
		return Span{}, 0, false
	}
	suffix := Span{Key(to - n), s.To}
	return suffix, lc.Rate(suffix), true
}

// densest returns the part of s with the most requests per key among the longest parts with
// at most rate requests per second, and its rate. Parts with less than half of the rate
// are taken only if there are no others. The last result is false if not even one key fits.
func (lc *LoadCounter) densest(s Span, rate float64) (Span, float64, bool) {
	best, bestRate, found := Span{}, 0.0, false
	to := int(s.From) // end of the part, not included
	for from := int(s.From); from <= int(s.To); from++ {
		to = max(to, from)
		for to <= int(s.To) && lc.sums[to+1]-lc.sums[from] <= rate {
			to++
		}
		if to == from {
			continue
		}
		part := Span{Key(from), Key(to - 1)}
		r := lc.Rate(part)
		small, bestSmall := r < rate/2, bestRate < rate/2
		better := r/float64(keyCount(part)) > bestRate/float64(keyCount(best))
		if !found || bestSmall && !small || small == bestSmall && (small && r > bestRate || !small && better) {
			best, bestRate, found = part, r, true
		}
	}
	if prefix, r, ok := lc.Prefix(best, bestRate*trimShare); found && ok && int(prefix.To) < int(best.To)-1 {
		prefix.To++ // leaves out the keys at the end that have hardly any load
		return prefix, r + lc.keyRate(int(prefix.To)), true
	}
	return best, bestRate, found
}

// trimShare is the share of the rate of a part that is enough for densest.
const trimShare = 0.9
