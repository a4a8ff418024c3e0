// Package quota keeps client accounts within their limits over all instances.
//
// A small limit is counted by one instance, its account's home, which the others ask.
// For a large one each instance has a token bucket for each account. Its rate and its depth are
// the account's limit times the instance's part of the account's demand, which
// instances learn from each other. An instance that hears nothing keeps the part
// that it had; what the others then use beyond their own part is within the
// tolerance of the limit.
package quota

import (
	"math"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Config is what the platform tolerates beyond a limit.
type Config struct {
	Window  time.Duration // limits are checked over windows of this length
	Overage float64       // share of the limit
	Slack   float64       // requests
}

const (
	// demandHalfLife is the time over which an instance averages an account's demand.
	demandHalfLife = 1 * time.Second
	// shareHalfLife is the time in which an instance's part of the demand goes half of
	// the way to what was measured: it follows callers within a few seconds, and does
	// not follow the noise of an account with few requests.
	shareHalfLife = 1500 * time.Millisecond
	// minShare is the least part of a limit, relative to an even one. It serves
	// callers that turn to another instance.
	minShare = 0.1
	// startTime is the time whose requests an instance admits at once after its start:
	// callers whose requests it could not take come back together. The rest of a burst
	// may have been used by its last run. It is less than what the tolerated share of
	// 10% of a window leaves.
	startTime = 400 * time.Millisecond
	// rateMargin is the part of a limit's rate that instances use, since their parts
	// add up to a little more than one while demand rises.
	rateMargin = 0.97
	// slackUsed is the part of the tolerated requests that instances divide evenly,
	// for accounts of which each instance sees few requests.
	slackUsed = 0.8
	// relaxed is the part of a limit below which the demand of all instances together
	// lets an instance go beyond its own part: by its part of allOverdraft requests or
	// of overdraftUsed of the tolerated share, whichever is more, and by maxOverdraft at
	// most.
	relaxed       = 1.0
	allOverdraft  = 60.0
	overdraftUsed = 0.5
	maxOverdraft  = 6.0
)

// Table holds the buckets of one instance.
type Table struct {
	cfg      Config
	started  time.Time
	accounts map[fleet.AccountID]*bucket
}

type bucket struct {
	limit  fleet.Limit
	tokens float64
	filled time.Time
	demand float64   // requests per second
	others float64   // requests per second at the other instances
	part   float64   // of the demand of all instances; even at first, 0 until it is known
	parted time.Time // when part was measured last
}

// New returns a table without buckets. What an earlier run of the instance has
// admitted is unknown, so buckets are full only a window after now.
func New(now time.Time, cfg Config) *Table {
	return &Table{cfg: cfg, started: now, accounts: make(map[fleet.AccountID]*bucket)}
}

// SetConfig replaces what the platform tolerates.
func (t *Table) SetConfig(cfg Config) { t.cfg = cfg }

// Admit reports whether a request of the account is within its limit. instances is
// the number of instances, which share a limit evenly until demand is known. The
// duration is the time until a token is there.
func (t *Table) Admit(now time.Time, id fleet.AccountID, limit fleet.Limit, instances int) (bool, time.Duration) {
	if limit.Unlimited() {
		return true, 0
	}
	b := t.accounts[id]
	if b == nil {
		b = &bucket{filled: now}
		t.accounts[id] = b
	}
	share := b.share(instances)
	depth := max(1, float64(limit.Burst)*share+t.cfg.Slack*slackUsed/float64(max(instances, 1)))
	if b.limit != limit {
		if b.limit.Unlimited() {
			saved := depth * min(1, now.Sub(t.started).Seconds()/t.cfg.Window.Seconds())
			b.tokens = max(1, saved, float64(limit.Rate)*share*startTime.Seconds())
		}
		b.limit = limit
	}
	rate := float64(limit.Rate) * share * rateMargin
	if dt := now.Sub(b.filled); dt > 0 {
		b.filled = now
		b.demand *= math.Exp2(-dt.Seconds() / demandHalfLife.Seconds())
		b.tokens = min(b.tokens+rate*dt.Seconds(), depth)
	}
	b.demand += math.Ln2 / demandHalfLife.Seconds()
	least := 1.0
	// After a start the demand of the others is not known yet.
	if b.part > 0 && now.Sub(t.started) > t.cfg.Window && b.demand+b.others < relaxed*float64(limit.Rate) {
		least -= t.overdraft(limit, instances)
	}
	if b.tokens < least {
		return false, time.Duration((1 - b.tokens) / rate * float64(time.Second))
	}
	b.tokens--
	return true, 0
}

// overdraft returns the requests by which an instance may go beyond its part.
func (t *Table) overdraft(limit fleet.Limit, instances int) float64 {
	tolerated := (float64(limit.Rate)*t.cfg.Window.Seconds() + float64(limit.Burst)) * t.cfg.Overage
	return min(maxOverdraft, max(allOverdraft, tolerated*overdraftUsed)/float64(max(instances, 1)))
}

// share returns this instance's part of the limit.
func (b *bucket) share(instances int) float64 {
	even := 1 / float64(max(instances, 1))
	if b.part == 0 {
		return even
	}
	return max(b.part, minShare*even)
}

// Demand returns the present demand of each account in requests per second.
func (t *Table) Demand(now time.Time) map[fleet.AccountID]float64 {
	demand := make(map[fleet.AccountID]float64, len(t.accounts))
	for id, b := range t.accounts {
		d := b.demand * math.Exp2(-max(0, now.Sub(b.filled).Seconds())/demandHalfLife.Seconds())
		if d > 0.05 {
			demand[id] = d
		}
	}
	return demand
}

// Learn takes over the demand of all instances together, as it was when own was
// this instance's part of it.
func (t *Table) Learn(now time.Time, total, own map[fleet.AccountID]float64, instances int) {
	for id, sum := range total {
		b := t.accounts[id]
		if b == nil {
			b = &bucket{filled: now}
			t.accounts[id] = b
		}
		b.others = max(0, sum-own[id])
		if sum <= 0 {
			continue
		}
		if b.part == 0 {
			b.part, b.parted = 1/float64(max(instances, 1)), now
		}
		kept := math.Exp2(-min(now.Sub(b.parted), shareHalfLife).Seconds() / shareHalfLife.Seconds())
		b.part, b.parted = b.part*kept+min(1, own[id]/sum)*(1-kept), now
	}
}
