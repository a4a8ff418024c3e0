package quota

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// minDividedRate is the minimum rate per instance, in requests per second, of a limit
	// that is divided among instances. With a lower rate, an instance would refuse requests
	// that arrive close together while other instances leave their shares unused: 1 in 7
	// requests with a share of 0.4 requests per second, 1 in 20 with a share of 2.
	minDividedRate = 3.0
	// homeSlackShare is the share of Config.Slack that a home uses. A home counts exactly;
	// the rest covers the time in which two instances act as home of the same account.
	homeSlackShare = 0.25
)

// Divided reports whether limit is divided among the given number of instances. A limit
// that is not divided is counted only by the home of its account.
func Divided(limit fleet.Limit, instances int) bool {
	return limit.Unlimited() || float64(limit.Rate) >= minDividedRate*float64(max(instances, 1))
}

// Home counts the requests, at all instances, of the accounts whose home this instance
// is.
type Home struct {
	cfg      Config
	accounts map[fleet.AccountID]*homeBucket
}

type homeBucket struct {
	tokens     float64
	lastRefill time.Time
}

// NewHome returns a Home without buckets.
func NewHome(cfg Config) *Home {
	return &Home{cfg: cfg, accounts: make(map[fleet.AccountID]*homeBucket)}
}

// SetConfig replaces the tolerances.
func (h *Home) SetConfig(cfg Config) { h.cfg = cfg }

// Admit reports whether a request of the account is within its limit, and if so counts
// it. For a refused request, the duration is the time until a token is available.
func (h *Home) Admit(now time.Time, id fleet.AccountID, limit fleet.Limit) (bool, time.Duration) {
	rate := float64(limit.Rate)
	depth := max(1, float64(limit.Burst)+h.cfg.Slack*homeSlackShare)
	p := h.accounts[id]
	if p == nil {
		p = &homeBucket{tokens: max(1, rate*initialTokenTime.Seconds()), lastRefill: now}
		h.accounts[id] = p
	}
	// The time of a request may have been read before that of an earlier call. lastRefill
	// never decreases, since the time in between would be refilled twice.
	if dt := now.Sub(p.lastRefill); dt > 0 {
		p.tokens += rate * dt.Seconds()
		p.lastRefill = now
	}
	p.tokens = min(p.tokens, depth)
	if p.tokens < 1 {
		return false, time.Duration((1 - p.tokens) / rate * float64(time.Second))
	}
	p.tokens--
	return true, 0
}

// CountedByHome empties the account's bucket, because a home counts the requests of
// the account. If the limit is divided again, this instance starts without tokens.
func (t *Table) CountedByHome(now time.Time, id fleet.AccountID, limit fleet.Limit) {
	b := t.accounts[id]
	if b == nil {
		b = &bucket{}
		t.accounts[id] = b
	}
	b.limit, b.tokens, b.demand = limit, 0, 0
	if now.After(b.lastRefill) {
		b.lastRefill = now
	}
}
