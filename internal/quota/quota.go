// Package quota enforces the request limits of client accounts over all instances.
//
// The requests of an account with a small limit are counted by one instance, the home
// of the account, which the other instances ask. For a large limit, each instance has a
// token bucket per account. The rate and depth of the bucket are the account's limit
// times this instance's share of the account's demand, which instances learn from each
// other. An instance that receives no reports keeps its last share; what the other
// instances then admit beyond theirs is within the tolerance of the limit.
package quota

import (
	"math"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Config defines how far the platform lets an account exceed its limit.
type Config struct {
	Window  time.Duration // limits are checked over windows of this length
	Overage float64       // tolerated share of the limit, for example 0.1
	Slack   float64       // tolerated requests per window in addition to Overage
}

const (
	// demandHalfLife is the half-life of the average of an account's demand at one
	// instance.
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
type Table struct {
	cfg      Config
	started  time.Time
	accounts map[fleet.AccountID]*bucket
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
func New(now time.Time, cfg Config) *Table {
	return &Table{cfg: cfg, started: now, accounts: make(map[fleet.AccountID]*bucket)}
}

// SetConfig replaces the tolerances.
func (t *Table) SetConfig(cfg Config) { t.cfg = cfg }

// Admit reports whether a request of the account is within its limit, and if so counts
// it. instances is the number of instances, which share a limit evenly until demand is
// known. For a refused request, the duration is the time until a token is available.
func (t *Table) Admit(now time.Time, id fleet.AccountID, limit fleet.Limit, instances int) (bool, time.Duration) {
	if limit.Unlimited() {
		return true, 0
	}
	b := t.accounts[id]
	if b == nil {
		b = &bucket{lastRefill: now}
		t.accounts[id] = b
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
	if b.tokens < minTokens {
		return false, time.Duration((1 - b.tokens) / rate * float64(time.Second))
	}
	b.tokens--
	return true, 0
}

// overdraft returns the number of requests by which this instance may exceed its share
// of the limit.
func (t *Table) overdraft(limit fleet.Limit, instances int) float64 {
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

// Demand returns the present demand of each account at this instance, in requests per
// second.
func (t *Table) Demand(now time.Time) map[fleet.AccountID]float64 {
	demand := make(map[fleet.AccountID]float64, len(t.accounts))
	for id, b := range t.accounts {
		d := b.demand * math.Exp2(-max(0, now.Sub(b.lastRefill).Seconds())/demandHalfLife.Seconds())
		if d > 0.05 {
			demand[id] = d
		}
	}
	return demand
}

// Learn updates the shares from total, the demand of each account at all instances, and
// own, the part of it that this instance contributed. Both are in requests per second.
func (t *Table) Learn(now time.Time, total, own map[fleet.AccountID]float64, instances int) {
	for id, sum := range total {
		b := t.accounts[id]
		if b == nil {
			b = &bucket{lastRefill: now}
			t.accounts[id] = b
		}
		b.othersDemand = max(0, sum-own[id])
		if sum <= 0 {
			continue
		}
		if b.demandShare == 0 {
			b.demandShare, b.demandShareUpdated = 1/float64(max(instances, 1)), now
		}
		oldWeight := math.Exp2(-min(now.Sub(b.demandShareUpdated), shareHalfLife).Seconds() / shareHalfLife.Seconds())
		b.demandShare, b.demandShareUpdated = b.demandShare*oldWeight+min(1, own[id]/sum)*(1-oldWeight), now
	}
}
