package quota

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// overload is the demand, relative to a limit's rate, from which a home that has no
	// token divides the rate among the requesters. Below it, tokens are free again so soon that
	// a requester which has its part for some time would refuse more than one without a lease.
	overload = 1.2
	// minLeaseRequests is the demand of a requester during a lease from which it gets one. Leases
	// of requesters with less save few token requests, and their parts of the limit are mostly unused:
	// 0.6 to 0.7 of a limit of 10 requests/s was admitted with leases for all of 86 requesters.
	minLeaseRequests = 2.0
	// maxHomeDebt bounds by how much the tokens of a home fall below 0 when it receives what
	// others have admitted, as the time in which they accrue. Those admissions stay in the
	// usage of the window in any case.
	maxHomeDebt = 1 * time.Second
	// requesterTimeout is the time after which a requester that sends no more requests has no demand.
	requesterTimeout = 2 * time.Second
	// leaseTimePerInstance is the time of a lease for each instance of the fleet. With it,
	// the home of a key gets at most 200 requests a second from requesters that have leases, until
	// leases have maxLeaseTime, and minLeaseRequests times as often by those with less demand.
	leaseTimePerInstance = 5 * time.Millisecond
	minLeaseTime         = 100 * time.Millisecond
	maxLeaseTime         = 1 * time.Second
)

// LeaseTime returns how long a requester that was refused sends no more requests, in a fleet of the given
// number of instances.
func LeaseTime(instances int) time.Duration {
	return min(max(time.Duration(instances)*leaseTimePerInstance, minLeaseTime), maxLeaseTime)
}

// requesterState is what a home knows of an instance that requests tokens of a key.
type requesterState struct {
	run         Run
	demand      fleet.PerSecond
	requestedAt time.Time
	lease       fleet.PerSecond // rate that it admits without a request
	leaseEnd    time.Time
	lastUse     uint64 // newest use that it has stated
}

// Grant decides on the requests of a token request. leaseTime is how long a requester that does not
// get all tokens that it wants sends no more requests.
func (h *Home[K]) Grant(now time.Time, key K, limit fleet.Limit, q TokenRequest, self fleet.BootID, leaseTime time.Duration) Grant {
	b := h.refilled(now, key, limit)
	if q.FormerBoot != "" && q.FormerBoot != self && !q.Complete {
		return Grant{Boot: self, NeedComplete: true}
	}
	h.noteUses(now, b, limit, q, self, leaseTime)
	a := b.requesters[q.Requester] // noteUses adds it
	a.lease = 0
	a.demand, a.requestedAt = q.Demand, now
	room := h.windowRoom(now, b, limit)
	g := Grant{Boot: self}
	for g.Admitted < q.Wanted && b.tokens >= 1 && room >= 1 {
		g.Admitted++
		b.tokens--
		room--
	}
	b.used.add(now, now.Add(-h.cfg.Window), float64(g.Admitted))
	if g.Admitted == q.Wanted {
		return g
	}
	tokens := b.tokens
	g.Wait = take(&tokens, float64(limit.Rate), 0).Wait
	if room < 1 {
		g.Wait = max(g.Wait, useInterval)
	}
	if demand := b.demand(now); demand >= overload*limit.Rate && float64(a.demand)*leaseTime.Seconds() >= minLeaseRequests {
		g.Lease, g.Rate = leaseTime, limit.Rate*a.demand/demand
		free := limit.Rate - b.leased()
		if room < 1 || b.tokens < 0 || now.Before(b.inheritedUntil) {
			free = 0
		}
		g.Rate = max(0, min(g.Rate, free))
		a.lease, a.leaseEnd = g.Rate, now.Add(leaseTime)
	}
	return g
}

// refilled returns the bucket of a key with the tokens that it has at now.
func (h *Home[K]) refilled(now time.Time, key K, limit fleet.Limit) *homeBucket {
	rate := float64(limit.Rate)
	depth := max(1, float64(limit.Burst)+h.cfg.Slack*homeSlackShare)
	b := h.buckets[key]
	if b == nil {
		b = &homeBucket{tokens: max(1, rate*initialTokenTime.Seconds()), lastRefill: now, createdAt: now, requesters: make(map[Run]*requesterState)}
		h.buckets[key] = b
	}
	// The time of a request may have been read before that of an earlier call. lastRefill
	// never decreases, since the time in between would be refilled twice.
	if dt := now.Sub(b.lastRefill); dt > 0 {
		leased := b.takeLeased(now, h.cfg.Window)
		b.tokens += rate*dt.Seconds() - leased - b.takeInherited(now)
		b.lastRefill = now
		b.used.add(now, now.Add(-h.cfg.Window), leased)
	}
	b.tokens = min(b.tokens, depth)
	return b
}

// windowRoom returns how many more requests are within the limit over the window that ends
// at now, by what this home knows of all instances.
func (h *Home[K]) windowRoom(now time.Time, b *homeBucket, limit fleet.Limit) float64 {
	most := float64(limit.Rate)*h.cfg.Window.Seconds() + float64(limit.Burst) + h.cfg.Slack*homeSlackShare
	return most - b.used.since(now.Add(-h.cfg.Window))
}

// noteUses counts what the requester has admitted without this run of this home.
func (h *Home[K]) noteUses(now time.Time, b *homeBucket, limit fleet.Limit, q TokenRequest, self fleet.BootID, leaseTime time.Duration) {
	a := b.requesters[q.Requester]
	if a == nil {
		a = &requesterState{run: q.Requester}
		b.requesters[q.Requester], b.list = a, append(b.list, a)
	}
	for _, u := range q.Uses {
		if u.Seq <= a.lastUse { // a requester states uses again if it got no answer
			continue
		}
		a.lastUse = u.Seq
		if u.Former && q.FormerBoot == self {
			continue
		}
		at := now.Add(-u.Age)
		b.used.add(at, now.Add(-h.cfg.Window), float64(u.Requests))
		if at.After(b.createdAt) && !at.Before(b.inheritedUntil) {
			b.tokens -= float64(u.Requests)
		}
	}
	b.tokens = max(b.tokens, min(0, -float64(limit.Rate)*maxHomeDebt.Seconds()))
	if q.ExhaustedBefore > 0 { // then no token was left, and few have accrued since
		b.tokens = min(b.tokens, float64(limit.Rate)*q.ExhaustedBefore.Seconds())
		if until := b.createdAt.Add(leaseTime); b.inheritedUntil.IsZero() && q.ExhaustedBefore < leaseTime {
			b.inherited, b.inheritedUntil = float64(limit.Rate), until
		}
	}
}

// takeInherited returns the number of tokens that have accrued since lastRefill under leases
// of the home before this one, of which it knows only that they may be in force. Their
// requests are counted when requesters report them.
func (b *homeBucket) takeInherited(now time.Time) float64 {
	return b.inherited * max(0, earliest(now, b.inheritedUntil).Sub(b.lastRefill).Seconds())
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// takeLeased returns the number of tokens that have accrued under leases since lastRefill,
// and ends the leases whose time has passed. It forgets the requesters whose uses are all older
// than window.
func (b *homeBucket) takeLeased(now time.Time, window time.Duration) (sum float64) {
	kept := b.list[:0]
	for _, a := range b.list {
		if a.lease > 0 {
			sum += float64(a.lease) * max(0, earliest(now, a.leaseEnd).Sub(b.lastRefill).Seconds())
		}
		if !now.Before(a.leaseEnd) {
			a.lease = 0
		}
		if now.Sub(a.requestedAt) > window+requesterTimeout+maxLeaseTime {
			delete(b.requesters, a.run)
			continue
		}
		kept = append(kept, a)
	}
	clear(b.list[len(kept):])
	b.list = kept
	return sum
}

func (b *homeBucket) leased() (sum fleet.PerSecond) {
	for _, a := range b.list {
		sum += a.lease
	}
	return sum
}

// demand returns the demand of all requesters in requests per second.
func (b *homeBucket) demand(now time.Time) (sum fleet.PerSecond) {
	for _, a := range b.list {
		if now.Sub(a.requestedAt) <= requesterTimeout {
			sum += a.demand
		}
	}
	return sum
}
