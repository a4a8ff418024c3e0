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
// that is not divided is counted only by the home of its key.
func (c Config) Divided(limit fleet.Limit, instances int) bool {
	minRate := c.MinDividedRate
	if minRate == 0 {
		minRate = minDividedRate
	}
	return limit.Unlimited() || limit.Rate >= minRate*fleet.PerSecond(max(instances, 1))
}

// Home counts the requests, at all instances, under the limits of the keys whose home
// this instance is.
type Home[K comparable] struct {
	cfg     Config
	buckets map[K]*homeBucket
}

type homeBucket struct {
	tokens     float64
	lastRefill time.Time
	createdAt  time.Time
	requesters map[Run]*requesterState
	list       []*requesterState // the same, for fast iteration
	used       usage             // by all instances, as far as this one knows
	// inherited is the rate of leases of another home, in requests per second, that may be
	// in force until inheritedUntil.
	inherited      float64
	inheritedUntil time.Time
}

// NewHome returns a Home without buckets.
func NewHome[K comparable](cfg Config) *Home[K] {
	return &Home[K]{cfg: cfg, buckets: make(map[K]*homeBucket)}
}

// SetConfig replaces the tolerances.
func (h *Home[K]) SetConfig(cfg Config) { h.cfg = cfg }

// Admit is like Reserve for a request that cannot wait. For a refused request, the
// duration is the time until a token is available.
func (h *Home[K]) Admit(now time.Time, key K, limit fleet.Limit) (bool, time.Duration) {
	d := h.Reserve(now, key, limit, 0)
	return d.Admitted, d.Wait
}

// Reserve decides whether a request that can wait up to maxWait is within the limit of
// its key, and if so counts it.
func (h *Home[K]) Reserve(now time.Time, key K, limit fleet.Limit, maxWait time.Duration) Decision {
	b := h.refilled(now, key, limit)
	d := take(&b.tokens, float64(limit.Rate), maxWait)
	if d.Admitted {
		b.used.add(now, now.Add(-h.cfg.Window), 1)
	}
	return d
}

// Forget removes the bucket of a key that has no limit any more.
func (h *Home[K]) Forget(key K) { delete(h.buckets, key) }

// CountedByHome empties the bucket of a key, because a home counts its requests. If the
// limit is divided again, this instance starts without tokens.
func (t *Table[K]) CountedByHome(now time.Time, key K, limit fleet.Limit) {
	b := t.buckets[key]
	if b == nil {
		b = &bucket{}
		t.buckets[key] = b
	}
	b.limit, b.tokens, b.demand = limit, 0, 0
	if now.After(b.lastRefill) {
		b.lastRefill = now
	}
}
