package limit

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// minRetryAfter bounds the rate of calls from holders while no tokens are
	// available.
	minRetryAfter = 10 * time.Millisecond
	// maxRetryAfter is the largest RetryAfter, also if the bucket is never refilled.
	maxRetryAfter = time.Hour
)

// Home keeps the token buckets of the limits of which an instance is the home.
type Home struct {
	ttl       time.Duration
	buckets   map[fleet.LimitID]*bucket
	nextLease LeaseID
}

// NewHome returns a home that has no active limits and grants leases with the TTL ttl.
func NewHome(ttl time.Duration) *Home {
	// Lease ids start at a random number, so that a close of a lease of an earlier
	// home does not match a lease of this one.
	return &Home{ttl: ttl, buckets: make(map[fleet.LimitID]*bucket), nextLease: LeaseID(rand.Uint64()>>1) + 1}
}

// Activate makes this instance the home of a limit, with level tokens available. The
// level is the result of the previous home's Release, or 0 if the previous home was
// lost or there was none. Activate resets a limit that is already active: an instance
// whose authority expired cannot know whether there was another home in between, so
// it activates its limits again with level 0.
func (h *Home) Activate(now time.Time, id fleet.LimitID, level fleet.Tokens) {
	h.buckets[id] = &bucket{level: toNano(max(level, 0)), refilledAt: now}
}

// Active reports whether this instance is the home of the limit.
func (h *Home) Active(id fleet.LimitID) bool {
	_, ok := h.buckets[id]
	return ok
}

// Release ends this instance's role as home of the limit and returns the available
// tokens. If the limit has changed, the user must apply the change before with an
// empty call to HandleCall, since the bucket refills at the last rate that HandleCall
// was given.
func (h *Home) Release(now time.Time, id fleet.LimitID) fleet.Tokens {
	b, ok := h.buckets[id]
	if !ok {
		return 0
	}
	delete(h.buckets, id)
	b.advance(now)
	return b.level.whole()
}

// HandleCall answers a call. The limit l comes from the catalogue of the home. An instance
// must make an empty call for every change of a limit: otherwise, of two changes
// between two calls, the first one would be missed, and with it a lower rate. For a
// limit that is not active, HandleCall grants nothing and returns a lease with TTL 0.
func (h *Home) HandleCall(now time.Time, l fleet.Limit, holder fleet.InstanceID, c Call) Lease {
	b, ok := h.buckets[c.ID]
	if !ok {
		return Lease{}
	}
	b.setLimit(now, l, h.ttl)
	if l.Unlimited() {
		return Lease{Granted: c.Waiting + c.Spare, TTL: h.ttl}
	}
	for _, closed := range c.Closed {
		b.closeLease(holder, closed)
	}
	lease := Lease{Granted: b.grantable(c), TTL: h.ttl}
	if lease.Granted > 0 {
		lease.ID = h.nextLease
		h.nextLease++
		b.addLease(lease.ID, holder, lease.Granted, h.ttl)
	}
	if lease.Granted < c.Waiting {
		lease.RetryAfter = b.retryAfter()
	}
	return lease
}

// nanoTokens is a number of tokens in units of 10⁻⁹, so that the refill at an integral
// rate over a number of nanoseconds is exact.
type nanoTokens int64

const oneToken nanoTokens = 1e9

func toNano(n fleet.Tokens) nanoTokens { return nanoTokens(n) * oneToken }

func (n nanoTokens) whole() fleet.Tokens { return fleet.Tokens(n / oneToken) }

// bucket is the token bucket of a limit with its outstanding leases.
type bucket struct {
	limit       fleet.Limit
	limitSet    bool       // limit is valid
	level       nanoTokens // available tokens
	refilledAt  time.Time  // time up to which level is refilled
	outstanding fleet.Tokens
	leases      []outstandingLease // in the order of both id and expiry, possibly with closed ones
}

type outstandingLease struct {
	id     LeaseID // 0: tokens that the previous home may have granted
	holder fleet.InstanceID
	tokens fleet.Tokens // 0: the lease is closed
	expiry time.Time
}

// setLimit refills the bucket up to now and then applies the limit.
func (b *bucket) setLimit(now time.Time, l fleet.Limit, ttl time.Duration) {
	switch {
	case !b.limitSet:
		b.limitSet, b.limit = true, l
		b.reserveUnknown(ttl)
	case b.limit.Unlimited() && !l.Unlimited():
		// Tokens granted while the limit was unlimited were not recorded.
		b.level, b.refilledAt, b.limit = 0, now, l
		b.reserveUnknown(ttl)
	}
	// The limit changed at an unknown time since the last call. The lower of the two
	// rates is used for the whole interval, so that the bucket is never refilled at a
	// rate that was no longer in force.
	b.limit.Rate = min(b.limit.Rate, l.Rate)
	b.advance(now)
	b.limit = l
	b.clampLevel()
}

// reserveUnknown counts as outstanding the tokens that the previous home may have
// granted, which this home does not know.
func (b *bucket) reserveUnknown(ttl time.Duration) {
	burst := b.limit.Burst
	b.level = min(b.level, toNano(burst))
	unknown := min(maxOutstanding(burst), burst-b.level.whole())
	b.outstanding = unknown
	b.leases = append(b.leases[:0], outstandingLease{tokens: unknown, expiry: b.refilledAt.Add(ttl)})
}

// advance refills the bucket up to now. The tokens of each lease stay outstanding until
// its expiry.
func (b *bucket) advance(now time.Time) {
	for len(b.leases) > 0 && (b.leases[0].tokens == 0 || !b.leases[0].expiry.After(now)) {
		if first := b.leases[0]; first.tokens > 0 {
			b.refill(first.expiry)
			b.outstanding -= first.tokens
		}
		b.leases = b.leases[1:]
	}
	b.refill(now)
}

// refill adds the tokens of the time since refilledAt. It ignores an earlier time,
// since calls may be handled out of order.
func (b *bucket) refill(to time.Time) {
	d := to.Sub(b.refilledAt)
	if d <= 0 {
		return
	}
	b.refilledAt = to
	add := math.Floor(float64(b.limit.Rate) * float64(d))
	b.level += nanoTokens(min(add, float64(toNano(b.limit.Burst))))
	b.clampLevel()
}

// clampLevel limits available plus outstanding tokens to the burst.
func (b *bucket) clampLevel() {
	b.level = max(0, min(b.level, toNano(b.limit.Burst-b.outstanding)))
}

func (b *bucket) closeLease(holder fleet.InstanceID, c Closed) {
	i := sort.Search(len(b.leases), func(i int) bool { return b.leases[i].id >= c.Lease })
	if c.Lease == 0 || i == len(b.leases) || b.leases[i].id != c.Lease || b.leases[i].holder != holder {
		return
	}
	l := &b.leases[i]
	b.outstanding -= l.tokens
	b.level += toNano(max(0, min(c.Unused, l.tokens)))
	l.tokens = 0
	b.clampLevel()
}

// grantable returns the number of tokens to grant to a call. Waiting requests get all
// available tokens. Spare tokens are granted only from the upper quarter of the bucket,
// so that few requests are refused while unused tokens are held by other holders.
func (b *bucket) grantable(c Call) fleet.Tokens {
	available := b.level.whole()
	room := max(0, maxOutstanding(b.limit.Burst)-b.outstanding)
	n := min(max(c.Waiting, 0), available, room)
	spare := min(c.Spare, available-n-(3*b.limit.Burst+3)/4, room-n)
	return n + max(spare, 0)
}

func (b *bucket) addLease(id LeaseID, holder fleet.InstanceID, n fleet.Tokens, ttl time.Duration) {
	b.level -= toNano(n)
	b.outstanding += n
	b.leases = append(b.leases, outstandingLease{id: id, holder: holder, tokens: n, expiry: b.refilledAt.Add(ttl)})
}

// retryAfter returns the time until a token is refilled, or 0 if tokens become available
// by closes of leases instead.
func (b *bucket) retryAfter() time.Duration {
	if b.level >= oneToken || b.outstanding >= b.limit.Burst && b.limit.Burst > 0 {
		return 0
	}
	wait := float64(oneToken-b.level) / float64(b.limit.Rate)
	if wait >= float64(maxRetryAfter) || b.limit.Burst <= 0 {
		return maxRetryAfter
	}
	return max(minRetryAfter, time.Duration(math.Ceil(wait)))
}
