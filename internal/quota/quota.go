// Package quota enforces request limits over all instances: those of client accounts and
// those that upstreams name. The key type K identifies what a limit applies to.
//
// The requests under a small limit are counted by one instance, the home of the key,
// from which the other instances request tokens. For a large limit, each instance has a token bucket per
// key. The rate and depth of the bucket are the limit times this instance's share of the
// demand, which instances report to each other; without such reports the share is even.
// An instance that receives no reports any more keeps its last share; what the other
// instances then admit beyond theirs is within the tolerance of the limit.
package quota

import (
	"math"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Config defines how far the platform lets a limit be exceeded.
type Config struct {
	Window  time.Duration // limits are checked over windows of this length
	Overage float64       // tolerated share of the limit, for example 0.1
	Slack   float64       // tolerated requests per window in addition to Overage
	// MinDividedRate is the rate per instance, in requests per second, from which a limit
	// is divided among instances; 0 means minDividedRate.
	MinDividedRate fleet.PerSecond
}

// Decision is the result of a check of a request against its limit.
type Decision struct {
	Admitted bool
	// Wait is the time after which an admitted request may be sent, or after which a
	// refused one finds a token.
	Wait time.Duration
}

const (
	// demandHalfLife is the half-life of the average of a key's demand at one instance.
	demandHalfLife = 1 * time.Second
	// shareHalfLife is the half-life of the average of an instance's share of the demand.
	// With it, the share follows callers that change to another instance within a few
	// seconds, but not the noise of an account with few requests.
	shareHalfLife = 1500 * time.Millisecond
	// minRelativeShare is the minimum share of a limit, relative to an even share. It
	// admits the first requests of callers that change to this instance.
	minRelativeShare = 0.1
	// initialTokenTime sets the tokens of a bucket after the start of the instance: as
	// many as accrue in this time. Callers whose requests were not served during the
	// restart return all at once. The remaining burst is withheld, since the previous run
	// may have used it. The time is less than the tolerated overage, which is 10% of a
	// window.
	initialTokenTime = 400 * time.Millisecond
	// rateMargin is the share of a limit's rate that instances use, since their shares
	// add up to slightly more than 1 while demand rises.
	rateMargin = 0.97
	// dividedSlackShare is the share of Config.Slack that instances divide evenly. It
	// serves accounts of which each instance receives few requests.
	dividedSlackShare = 0.8
	// overdraftLoadLimit is the share of a limit's rate below which the demand at all
	// instances together must be for an instance to exceed its own share. The number of
	// requests by which it may do so is its even part of sharedOverdraft requests or of
	// the share overdraftToleranceShare of the tolerated overage, whichever is more, but
	// at most maxOverdraft.
	overdraftLoadLimit      = 1.0
	sharedOverdraft         = 60.0
	overdraftToleranceShare = 0.5
	maxOverdraft            = 6.0
)

// Table contains the token buckets of one instance.
type Table[K comparable] struct {
	cfg     Config
	started time.Time
	buckets map[K]*bucket
}

type bucket struct {
	limit              fleet.Limit
	tokens             float64
	lastRefill         time.Time
	demand             float64   // requests per second at this instance
	othersDemand       float64   // requests per second at the other instances
	demandShare        float64   // of the demand at all instances; starts as an even share, 0 while unknown
	demandShareUpdated time.Time // when demandShare was last updated
}

// New returns a table without buckets. Buckets start full only if they are created at
// least a window after now, since it is unknown what an earlier run of the instance has
// admitted.
func New[K comparable](now time.Time, cfg Config) *Table[K] {
	return &Table[K]{cfg: cfg, started: now, buckets: make(map[K]*bucket)}
}

// SetConfig replaces the tolerances.
func (t *Table[K]) SetConfig(cfg Config) { t.cfg = cfg }

// Admit is like Reserve for a request that cannot wait. For a refused request, the
// duration is the time until a token is available.
func (t *Table[K]) Admit(now time.Time, key K, limit fleet.Limit, instances int) (bool, time.Duration) {
	d := t.Reserve(now, key, limit, instances, 0)
	return d.Admitted, d.Wait
}

// Reserve decides whether a request that can wait up to maxWait is within the limit of
// its key, and if so counts it. instances is the number of instances, which share a limit
// evenly until demand is known.
func (t *Table[K]) Reserve(now time.Time, key K, limit fleet.Limit, instances int, maxWait time.Duration) Decision {
	if limit.Unlimited() {
		return Decision{Admitted: true}
	}
	b := t.buckets[key]
	if b == nil {
		b = &bucket{lastRefill: now}
		t.buckets[key] = b
	}
	share := b.limitShare(instances)
	depth := max(1, float64(limit.Burst)*share+t.cfg.Slack*dividedSlackShare/float64(max(instances, 1)))
	if b.limit != limit {
		if b.limit.Unlimited() {
			initialTokens := depth * min(1, now.Sub(t.started).Seconds()/t.cfg.Window.Seconds())
			b.tokens = max(1, initialTokens, float64(limit.Rate)*share*initialTokenTime.Seconds())
		}
		b.limit = limit
	}
	rate := float64(limit.Rate) * share * rateMargin
	if dt := now.Sub(b.lastRefill); dt > 0 {
		b.lastRefill = now
		b.demand *= math.Exp2(-dt.Seconds() / demandHalfLife.Seconds())
		b.tokens = min(b.tokens+rate*dt.Seconds(), depth)
	}
	b.demand += math.Ln2 / demandHalfLife.Seconds()
	minTokens := 1.0
	// During the first window the demand at the other instances is not yet known.
	if b.demandShare > 0 && now.Sub(t.started) > t.cfg.Window && b.demand+b.othersDemand < overdraftLoadLimit*float64(limit.Rate) {
		minTokens -= t.overdraft(limit, instances)
	}
	if b.tokens >= minTokens {
		b.tokens--
		return Decision{Admitted: true}
	}
	return take(&b.tokens, rate, maxWait)
}

// maxStatedWait bounds the wait of a refusal, which must fit a time.Duration.
const maxStatedWait = time.Hour

// take takes a token that is available in at most maxWait from a bucket that is refilled
// at the given rate.
func take(tokens *float64, rate float64, maxWait time.Duration) Decision {
	seconds := 0.0
	if *tokens < 1 {
		seconds = (1 - *tokens) / rate // infinite if the rate is 0
	}
	if seconds > maxWait.Seconds() {
		return Decision{Wait: time.Duration(min(seconds, maxStatedWait.Seconds()) * float64(time.Second))}
	}
	*tokens--
	return Decision{Admitted: true, Wait: time.Duration(seconds * float64(time.Second))}
}

// Forget removes the bucket of a key that has no limit any more.
func (t *Table[K]) Forget(key K) { delete(t.buckets, key) }

// overdraft returns the number of requests by which this instance may exceed its share
// of the limit.
func (t *Table[K]) overdraft(limit fleet.Limit, instances int) float64 {
	tolerated := (float64(limit.Rate)*t.cfg.Window.Seconds() + float64(limit.Burst)) * t.cfg.Overage
	return min(maxOverdraft, max(sharedOverdraft, tolerated*overdraftToleranceShare)/float64(max(instances, 1)))
}

// limitShare returns this instance's share of the limit.
func (b *bucket) limitShare(instances int) float64 {
	even := 1 / float64(max(instances, 1))
	if b.demandShare == 0 {
		return even
	}
	return max(b.demandShare, minRelativeShare*even)
}

// Demand returns the present demand for each key at this instance, in requests per
// second.
func (t *Table[K]) Demand(now time.Time) map[K]float64 {
	demand := make(map[K]float64, len(t.buckets))
	for key, b := range t.buckets {
		d := b.demand * math.Exp2(-max(0, now.Sub(b.lastRefill).Seconds())/demandHalfLife.Seconds())
		if d > 0.05 {
			demand[key] = d
		}
	}
	return demand
}

// Learn updates the shares from total, the demand for each key at all instances, and
// own, the part of it that this instance contributed. Both are in requests per second.
func (t *Table[K]) Learn(now time.Time, total, own map[K]float64, instances int) {
	for key, sum := range total {
		b := t.buckets[key]
		if b == nil {
			b = &bucket{lastRefill: now}
			t.buckets[key] = b
		}
		b.othersDemand = max(0, sum-own[key])
		if sum <= 0 {
			continue
		}
		if b.demandShare == 0 {
			b.demandShare, b.demandShareUpdated = 1/float64(max(instances, 1)), now
		}
		oldWeight := math.Exp2(-min(now.Sub(b.demandShareUpdated), shareHalfLife).Seconds() / shareHalfLife.Seconds())
		b.demandShare, b.demandShareUpdated = b.demandShare*oldWeight+min(1, own[key]/sum)*(1-oldWeight), now
	}
}
