package limit

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// minRetryAfter bounds the calls of holders whose limit is used up.
	minRetryAfter = 10 * time.Millisecond
	// maxRetryAfter is the advice where no token is ever refilled.
	maxRetryAfter = time.Hour
)

// Home keeps the token buckets of the limits whose home this instance is.
type Home struct {
	ttl     time.Duration
	buckets map[fleet.LimitID]*bucket
	next    LeaseID
}

// NewHome returns a home without active limits that grants leases for ttl.
func NewHome(ttl time.Duration) *Home {
	// A random start keeps a close meant for an earlier home from matching a lease
	// of this one.
	return &Home{ttl: ttl, buckets: make(map[fleet.LimitID]*bucket), next: LeaseID(rand.Uint64()>>1) + 1}
}

// Activate makes this instance the home of a limit, with level tokens available.
// The level is what the former home's Release returned, or 0 if the former home is
// gone or there was none. A limit that is active already starts again: an instance
// whose authority lapsed cannot know whether there was another home in between, and
// activates its limits again with level 0.
func (h *Home) Activate(now time.Time, id fleet.LimitID, level fleet.Tokens) {
	h.buckets[id] = &bucket{level: nano(max(level, 0)), last: now}
}

// Active reports whether this instance is the home of the limit.
func (h *Home) Active(id fleet.LimitID) bool {
	_, ok := h.buckets[id]
	return ok
}

// Release ends the role of home and returns the available tokens. A changed limit
// has to be applied before by an empty call, since the bucket refills at the last
// rate that it has seen.
func (h *Home) Release(now time.Time, id fleet.LimitID) fleet.Tokens {
	b, ok := h.buckets[id]
	if !ok {
		return 0
	}
	delete(h.buckets, id)
	b.settle(now)
	return b.level.tokens()
}

// Take answers a call. The limit l is the one of the home's catalogue. An instance
// makes an empty call for every change of a limit: of two changes between two calls
// the first would go unseen, and its lower rate with it. Without Activate nothing is granted and the TTL of
// the lease is 0.
func (h *Home) Take(now time.Time, l fleet.Limit, holder fleet.InstanceID, c Call) Lease {
	b, ok := h.buckets[c.ID]
	if !ok {
		return Lease{}
	}
	b.setLimit(now, l, h.ttl)
	if l.Unlimited() {
		return Lease{Granted: c.Waiting + c.Spare, TTL: h.ttl}
	}
	for _, closed := range c.Closed {
		b.close(holder, closed)
	}
	lease := Lease{Granted: b.grantable(c), TTL: h.ttl}
	if lease.Granted > 0 {
		lease.ID = h.next
		h.next++
		b.grant(lease.ID, holder, lease.Granted, h.ttl)
	}
	if lease.Granted < c.Waiting {
		lease.RetryAfter = b.retryAfter()
	}
	return lease
}

// nanoTokens counts 10⁻⁹ tokens, so that the refill of whole rates over
// nanoseconds is exact.
type nanoTokens int64

const oneToken nanoTokens = 1e9

func nano(n fleet.Tokens) nanoTokens { return nanoTokens(n) * oneToken }

func (n nanoTokens) tokens() fleet.Tokens { return fleet.Tokens(n / oneToken) }

// bucket is a token bucket with its outstanding leases.
type bucket struct {
	limit       fleet.Limit
	seen        bool // limit is set
	level       nanoTokens
	last        time.Time // level was computed for this time
	outstanding fleet.Tokens
	leases      []granted // by id and end; the first is not closed
}

type granted struct {
	id     LeaseID // 0 for what a former home may have granted
	holder fleet.InstanceID
	n      fleet.Tokens // 0 if closed
	end    time.Time
}

// setLimit applies the limit from now on, and first brings the bucket up to now.
func (b *bucket) setLimit(now time.Time, l fleet.Limit, ttl time.Duration) {
	switch {
	case !b.seen:
		b.seen, b.limit = true, l
		b.start(ttl)
	case b.limit.Unlimited() && !l.Unlimited():
		// What was granted without limit is not recorded.
		b.level, b.last, b.limit = 0, now, l
		b.start(ttl)
	}
	// The change came at some time since the last call. The lower rate counts for
	// all of it, since a rate that was cut must not refill the bucket.
	b.limit.Rate = min(b.limit.Rate, l.Rate)
	b.settle(now)
	b.limit = l
	b.cap()
}

// start occupies the places of tokens that are unknown to this home.
func (b *bucket) start(ttl time.Duration) {
	burst := b.limit.Burst
	b.level = min(b.level, nano(burst))
	unknown := min(maxOutstanding(burst), burst-b.level.tokens())
	b.outstanding = unknown
	b.leases = append(b.leases[:0], granted{n: unknown, end: b.last.Add(ttl)})
}

// settle refills up to now, with each lease occupying its place until its end.
func (b *bucket) settle(now time.Time) {
	for len(b.leases) > 0 && (b.leases[0].n == 0 || !b.leases[0].end.After(now)) {
		if first := b.leases[0]; first.n > 0 {
			b.refill(first.end)
			b.outstanding -= first.n
		}
		b.leases = b.leases[1:]
	}
	b.refill(now)
}

// refill ignores a time before the last one: calls may be handled out of order.
func (b *bucket) refill(to time.Time) {
	d := to.Sub(b.last)
	if d <= 0 {
		return
	}
	b.last = to
	add := math.Floor(float64(b.limit.Rate) * float64(d))
	b.level += nanoTokens(min(add, float64(nano(b.limit.Burst))))
	b.cap()
}

// cap keeps available plus outstanding tokens within the burst.
func (b *bucket) cap() {
	b.level = max(0, min(b.level, nano(b.limit.Burst-b.outstanding)))
}

func (b *bucket) close(holder fleet.InstanceID, c Closed) {
	i := sort.Search(len(b.leases), func(i int) bool { return b.leases[i].id >= c.Lease })
	if c.Lease == 0 || i == len(b.leases) || b.leases[i].id != c.Lease || b.leases[i].holder != holder {
		return
	}
	l := &b.leases[i]
	b.outstanding -= l.n
	b.level += nano(max(0, min(c.Unused, l.n)))
	l.n = 0
	b.cap()
}

// grantable gives waiting requests what there is. Spare tokens come from the upper
// quarter of the bucket only, so that few requests are refused for tokens that lie idle
// at another holder.
func (b *bucket) grantable(c Call) fleet.Tokens {
	available := b.level.tokens()
	room := max(0, maxOutstanding(b.limit.Burst)-b.outstanding)
	n := min(max(c.Waiting, 0), available, room)
	spare := min(c.Spare, available-n-(3*b.limit.Burst+3)/4, room-n)
	return n + max(spare, 0)
}

func (b *bucket) grant(id LeaseID, holder fleet.InstanceID, n fleet.Tokens, ttl time.Duration) {
	b.level -= nano(n)
	b.outstanding += n
	b.leases = append(b.leases, granted{id: id, holder: holder, n: n, end: b.last.Add(ttl)})
}

// retryAfter returns 0 if tokens become available by closes rather than by refill.
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
