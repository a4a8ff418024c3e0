package keyspace

import (
	"math"
	"time"
)

const (
	// slowHalfLife is the half-life of the slow request counts. It is long enough for
	// an upstream to receive the number of requests that its load can be estimated from.
	slowHalfLife = 2 * time.Second
	// fastHalfLife is the half-life of the fast request counts, which show sudden load:
	// the queue of an upstream is full 1 s after some of its keys have become busy.
	fastHalfLife = 500 * time.Millisecond
)

// LoadCounter estimates the request rate of each key of a service from exponentially
// decaying counts with a slow and a fast half-life.
type LoadCounter struct {
	slow, fast decayingCounter
	surging    bool
}

// decayingCounter counts requests for each key. Counts decay with a half-life.
type decayingCounter struct {
	halfLife time.Duration
	counts   []float32
}

// NewLoadCounter returns a counter without requests.
func NewLoadCounter() *LoadCounter {
	return &LoadCounter{
		slow: decayingCounter{halfLife: slowHalfLife, counts: make([]float32, Keys)},
		fast: decayingCounter{halfLife: fastHalfLife, counts: make([]float32, Keys)},
	}
}

// Add counts a request for k.
func (lc *LoadCounter) Add(k Key) {
	lc.slow.counts[k]++
	lc.fast.counts[k]++
}

// Decay reduces all counts for the time dt since the previous call.
func (lc *LoadCounter) Decay(dt time.Duration) {
	lc.slow.decay(dt)
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

// SetSurging selects what Rate, Prefix and Suffix use: the fast counts and their trend
// if on is true, the slow counts otherwise.
func (lc *LoadCounter) SetSurging(on bool) { lc.surging = on }

// Rates returns the requests per second for a span, estimated from the slow and from
// the fast counts.
func (lc *LoadCounter) Rates(s Span) (slow, fast float64) { return lc.slow.rate(s), lc.fast.rate(s) }

// trendFactor extrapolates a surge: this multiple of the difference between the fast
// and the slow rate is added to the fast rate, which lags behind the present one.
const trendFactor = 0.7

// keyRate returns the estimated requests per second for key k.
func (lc *LoadCounter) keyRate(k int) float64 {
	slow := float64(lc.slow.counts[k]) * lc.slow.ratePerCount()
	if !lc.surging {
		return slow + baseRate/Keys
	}
	fast := float64(lc.fast.counts[k]) * lc.fast.ratePerCount()
	return max(0, fast+trendFactor*(fast-slow)) + baseRate/Keys
}

// baseRate is the load in requests per second that is assumed for each service in
// addition to the measured one, spread evenly over its keys, so that keys without
// requests are distributed as well.
const baseRate = 2.0

// Rate returns the estimated requests per second for a span.
func (lc *LoadCounter) Rate(s Span) float64 {
	sum := 0.0
	for k := int(s.From); k <= int(s.To); k++ {
		sum += lc.keyRate(k)
	}
	return sum
}

// Prefix returns the longest prefix of s with at most rate requests per second, and
// the rate of the prefix. The last result is false if not even one key fits.
func (lc *LoadCounter) Prefix(s Span, rate float64) (Span, float64, bool) {
	sum := 0.0
	for k := int(s.From); k <= int(s.To); k++ {
		r := lc.keyRate(k)
		if sum+r > rate {
			return Span{s.From, Key(k - 1)}, sum, k > int(s.From)
		}
		sum += r
	}
	return s, sum, true
}

// Suffix returns the longest suffix of s with at most rate requests per second, and
// the rate of the suffix. The last result is false if not even one key fits.
func (lc *LoadCounter) Suffix(s Span, rate float64) (Span, float64, bool) {
	sum := 0.0
	for k := int(s.To); k >= int(s.From); k-- {
		r := lc.keyRate(k)
		if sum+r > rate {
			return Span{Key(k + 1), s.To}, sum, k < int(s.To)
		}
		sum += r
	}
	return s, sum, true
}
