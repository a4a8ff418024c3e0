package limit

import (
	"math"
	"math/rand/v2"
	"slices"
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

// Activate makes this instance the home of the limit l, with level tokens available.
// The level is the result of the previous home's Release, or 0 if the previous home was
// lost or there was none. Activate resets a limit that is already active: an instance
// whose authority expired cannot know whether there was another home in between, so
// it activates its limits again with level 0. As for SetLimit, now must not be earlier
// than the time from which l is known.
func (h *Home) Activate(now time.Time, id fleet.LimitID, l fleet.Limit, level fleet.Tokens) {
	b := &bucket{limit: l, refilledAt: now}
	b.reserveUnknown(toNano(max(level, 0)), h.ttl)
	h.buckets[id] = b
}

// SetLimit applies a change of an active limit. The user must call it for every change:
// of two changes at once, the first one would be missed, and with it a lower rate. The
// time must be read after the change is known: with an earlier reading, the bucket
// would be refilled at the new rate for time before the change. SetLimit ignores a limit
// that is not active.
func (h *Home) SetLimit(now time.Time, id fleet.LimitID, l fleet.Limit) {
	if b, ok := h.buckets[id]; ok {
		b.setLimit(now, l, h.ttl)
	}
}

// Active reports whether this instance is the home of the limit.
func (h *Home) Active(id fleet.LimitID) bool {
	_, ok := h.buckets[id]
	return ok
}

// Release ends this instance's role as home of the limit and returns the available
// tokens. If the limit has changed, the user must apply the change before with
// SetLimit.
func (h *Home) Release(now time.Time, id fleet.LimitID) fleet.Tokens {
	b, ok := h.buckets[id]
	if !ok {
		return 0
	}
	delete(h.buckets, id)
	b.advance(now)
	return b.level.whole()
}

// HandleCall answers a call. It does not take the limit, since the time of a call may
// have been read before a pause in which the limit changed. For a limit that is not
// active, HandleCall grants nothing and returns a lease with TTL 0.
func (h *Home) HandleCall(now time.Time, holder fleet.InstanceID, c Call) Lease {
	b, ok := h.buckets[c.ID]
	if !ok {
		return Lease{}
	}
	b.advance(now)
	if b.limit.Unlimited() {
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
	level       nanoTokens // available tokens
	refilledAt  time.Time  // time up to which level is refilled
	outstanding fleet.Tokens
	// releasedLevel is the level that the previous home released, and unknownUntil the
	// end of the TTL in which tokens of the previous home may be held.
	releasedLevel nanoTokens
	unknownUntil  time.Time
	leases        []outstandingLease // in the order of both id and expiry, possibly with closed ones
}

type outstandingLease struct {
	id     LeaseID // 0: tokens that the previous home may have granted
	holder fleet.InstanceID
	tokens fleet.Tokens // 0: the lease is closed
	expiry time.Time
}

// setLimit refills the bucket up to now and then applies the limit.
func (b *bucket) setLimit(now time.Time, l fleet.Limit, ttl time.Duration) {
	if b.limit.Unlimited() && !l.Unlimited() {
		// Tokens granted while the limit was unlimited were not recorded.
		b.advance(now)
		b.leases, b.outstanding, b.limit = b.leases[:0], 0, l
		b.reserveUnknown(0, ttl)
		return
	}
	// The limit changed at an unknown time since the last call. The lower of the two
	// rates and bursts is used for the whole interval, so that the bucket is never
	// refilled at a rate, or beside unknown tokens up to a burst, that was no longer in
	// force.
	b.limit = fleet.Limit{Rate: min(b.limit.Rate, l.Rate), Burst: min(b.limit.Burst, l.Burst)}
	b.advance(now)
	b.limit = l
	b.raiseUnknown()
	b.clampLevel()
}

// reserveUnknown sets the level of a new bucket, and counts as outstanding the tokens
// that the previous home may have granted, which this home does not know.
func (b *bucket) reserveUnknown(level nanoTokens, ttl time.Duration) {
	b.releasedLevel, b.unknownUntil = level, b.refilledAt.Add(ttl)
	b.level = min(level, toNano(b.limit.Burst))
	b.raiseUnknown()
	b.clampLevel()
}

// raiseUnknown reserves as many unknown tokens as the present limit allows. A previous
// home may have learned a raised burst before this one, so the reservation follows the
// burst until the TTL has passed. After a lower burst, the reservation stays.
func (b *bucket) raiseUnknown() {
	burst := b.limit.Burst
	unknown := min(maxOutstanding(burst), burst-min(b.releasedLevel.whole(), burst))
	if unknown <= 0 || !b.refilledAt.Before(b.unknownUntil) {
		return
	}
	if len(b.leases) == 0 || b.leases[0].id != 0 {
		b.leases = slices.Insert(b.leases, 0, outstandingLease{expiry: b.unknownUntil})
	}
	if l := &b.leases[0]; unknown > l.tokens {
		b.outstanding += unknown - l.tokens
		l.tokens = unknown
	}
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
