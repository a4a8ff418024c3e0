package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Request is a caller's request that has been routed to an upstream.
type Request struct {
	ID         fleet.RequestID
	Account    fleet.AccountID
	Unit       fleet.Unit
	Key        fleet.RoutingKey
	Upstream   fleet.UpstreamID
	Idempotent bool
	Deadline   time.Time
}

// request is the state of a Request. It is kept until the request and all its
// attempts have ended.
type request struct {
	Request
	attempts       int // number of attempts sent
	openAttempts   []*attempt
	finished       bool
	queued         bool           // in the queue of the upstream or in the waiting list of the unit
	newConnection  bool           // the next attempt uses a new connection
	unknownOutcome *fleet.Refusal // refusal of the first failed attempt that may have run; nil: none
}

// attempt is one sending of a request that has not ended.
type attempt struct {
	request   *request
	number    int
	unit      fleet.Unit
	sent      time.Time
	cancelled bool
}

// queue holds the requests that wait for a slot at an upstream: one FIFO per client
// account, served round-robin.
type queue struct {
	accounts []*accountQueue // accounts with waiting requests
	next     int
}

type accountQueue struct {
	account  fleet.AccountID
	requests []*request
}

func (q *queue) find(id fleet.AccountID) int {
	return slices.IndexFunc(q.accounts, func(a *accountQueue) bool { return a.account == id })
}

func (q *queue) push(r *request) {
	i := q.find(r.Account)
	if i < 0 {
		// Insert before the account that is served next, which is the last place of
		// the round, so that the request waits for one round at most.
		i = q.next
		q.accounts = slices.Insert(q.accounts, i, &accountQueue{account: r.Account})
		q.next = (q.next + 1) % len(q.accounts)
	}
	q.accounts[i].requests = append(q.accounts[i].requests, r)
}

func (q *queue) pushFront(r *request) {
	q.push(r)
	a := q.accounts[q.find(r.Account)]
	copy(a.requests[1:], a.requests)
	a.requests[0] = r
}

// pop removes and returns the next request in round-robin order, or nil.
func (q *queue) pop() *request {
	if len(q.accounts) == 0 {
		return nil
	}
	a := q.accounts[q.next]
	r := a.requests[0]
	a.requests[0] = nil
	a.requests = a.requests[1:]
	if len(a.requests) == 0 {
		q.removeAt(q.next)
	} else {
		q.next = (q.next + 1) % len(q.accounts)
	}
	return r
}

func (q *queue) removeAt(i int) {
	q.accounts = slices.Delete(q.accounts, i, i+1)
	if i < q.next {
		q.next--
	}
	if q.next >= len(q.accounts) {
		q.next = 0
	}
}

func (q *queue) remove(r *request) {
	i := q.find(r.Account)
	if i < 0 {
		return
	}
	a := q.accounts[i]
	a.requests = slices.DeleteFunc(a.requests, func(x *request) bool { return x == r })
	if len(a.requests) == 0 {
		q.removeAt(i)
	}
}

// requestsAhead returns how many queued requests are served before a new one of the
// account, and how many of its own the account has queued.
func (q *queue) requestsAhead(id fleet.AccountID) (ahead, own int) {
	if i := q.find(id); i >= 0 {
		own = len(q.accounts[i].requests)
	}
	for _, a := range q.accounts {
		ahead += min(len(a.requests), own+1)
	}
	return ahead, own
}

// expectedWait estimates the time until a new request of the account is sent. It
// also returns how many requests the account has queued.
func (u *upstream) expectedWait(now time.Time, id fleet.AccountID) (wait time.Duration, own int) {
	ahead, own := u.queue.requestsAhead(id)
	limit := max(1, int(u.warmup.limit))
	excess := u.occupiedSlots(now) + ahead + 1 - limit
	if excess <= 0 {
		return 0, own
	}
	rounds := math.Ceil(float64(excess) / float64(limit))
	return time.Duration(rounds * float64(u.warmup.serviceTime)), own
}

// Submit sends, queues or refuses a routed request. Every request ends with exactly
// one Answer or Refuse.
func (t *Table) Submit(now time.Time, r Request) []Action {
	if t.requests[r.ID] != nil {
		return []Action{Event{Upstream: r.Upstream, Kind: "duplicate-request", Detail: string(r.ID)}}
	}
	u := t.upstreams[r.Upstream]
	if refusal := t.checkAdmission(now, u, r); refusal != nil {
		return []Action{Refuse{ID: r.ID, Refusal: *refusal}}
	}
	x := u.units[r.Unit]
	t.retryBudget.credit()
	u.hotKeys.add(r.Key)
	u.unitLoads.add(r.Unit)
	req := &request{Request: r, queued: true}
	t.requests[r.ID] = req
	if x.state == unitGranted {
		u.queue.push(req)
	} else {
		x.waiting = append(x.waiting, req)
	}
	t.sendQueued(now, u)
	return t.takeActions()
}

// checkAdmission returns the refusal of a request that cannot be accepted, or nil.
func (t *Table) checkAdmission(now time.Time, u *upstream, r Request) *fleet.Refusal {
	switch {
	case !t.hasAuthority(now):
		return &fleet.Refusal{Reason: fleet.ReasonNoAuthority, Detail: "the instance has no authority"}
	case !now.Before(r.Deadline):
		return &fleet.Refusal{Reason: fleet.ReasonDeadline, Detail: "the deadline passed before the request was queued"}
	case u == nil || u.retired || u.units[r.Unit] == nil || !u.units[r.Unit].owned:
		return &fleet.Refusal{Reason: fleet.ReasonNoOwner, Detail: "this instance does not dispatch " + r.Unit.String() + " to " + string(r.Upstream)}
	case u.outOfService(now, t.cfg.LeavingGrace):
		return &fleet.Refusal{Reason: fleet.ReasonOutOfService, Detail: string(u.id) + " is out of service"}
	}
	wait, own := u.expectedWait(now, r.Account)
	if own >= t.cfg.MaxQueue || len(u.units[r.Unit].waiting) >= t.cfg.MaxQueue || now.Add(wait).After(r.Deadline) {
		return &fleet.Refusal{
			Reason: fleet.ReasonOverloaded, RetryAfter: max(wait, time.Second),
			Detail: "the queue of " + string(u.id) + " is longer than the deadline allows",
		}
	}
	return nil
}

// sendQueued sends queued requests while the upstream has free slots.
func (t *Table) sendQueued(now time.Time, u *upstream) {
	for t.hasAuthority(now) && u.canSend(now) && u.occupiedSlots(now) < int(u.warmup.limit) {
		r := u.queue.pop()
		if r == nil {
			return
		}
		r.queued = false
		x := u.units[r.Unit]
		switch {
		case !now.Before(r.Deadline):
			t.refuse(r, fleet.Refusal{Reason: fleet.ReasonDeadline, Detail: "deadline passed while waiting for " + string(u.id)})
		case x == nil || !x.owned || x.state != unitGranted || x.grantedFence != x.own.Fence:
			t.refuse(r, fleet.Refusal{Reason: fleet.ReasonNoOwner, Detail: "the unit " + r.Unit.String() + " is not granted"})
		default:
			t.send(now, u, x, r)
		}
	}
}

func (t *Table) send(now time.Time, u *upstream, x *unit, r *request) {
	r.attempts++
	a := &attempt{request: r, number: r.attempts, unit: r.Unit, sent: now}
	r.openAttempts = append(r.openAttempts, a)
	u.openAttempts = append(u.openAttempts, a)
	u.warmup.attemptSent(now, len(u.openAttempts))
	startBy := earlier(r.Deadline, t.authorityUntil)
	if u.duty.Fenced {
		startBy = earlier(startBy, u.session.earliestLeaseEnd)
	}
	t.emit(SendRequest{
		ID: r.ID, Upstream: u.id, Address: u.duty.Address, Attempt: a.number, Unit: r.Unit,
		Fence: x.grantedFence, DispatcherFence: u.duty.Fence, Deadline: r.Deadline, StartBy: startBy, NewConnection: r.newConnection,
	})
	r.newConnection = false
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// occupiedSlots returns the number of slots that requests may occupy at the upstream.
func (u *upstream) occupiedSlots(now time.Time) int {
	n := len(u.openAttempts) + u.session.previousRunning
	for _, g := range u.lingering {
		if now.Before(g.slotUntil) {
			n++
		}
	}
	return n
}

// attemptsUnder returns the number of open attempts that were sent under the unit.
func (u *upstream) attemptsUnder(x *unit) int {
	n := 0
	for _, a := range u.openAttempts {
		if a.unit == x.own.Unit {
			n++
		}
	}
	return n
}

// attemptsForKeysOf returns the number of open attempts for routing keys of the
// unit, including those that were sent under another unit.
func (u *upstream) attemptsForKeysOf(x *unit) int {
	n := 0
	for _, a := range u.openAttempts {
		if u.includesKey(x, a.unit, a.request.Key) {
			n++
		}
	}
	return n
}

// includesKey reports whether x includes the routing key of a request that was sent
// under the unit sent. The two units may differ: a request for a key that is pinned
// now may have been sent under its shard, and one for a key whose pin was removed
// under that pin.
func (u *upstream) includesKey(x *unit, sent fleet.Unit, key fleet.RoutingKey) bool {
	switch own := x.own.Unit; {
	case sent == own:
		return true
	case sent.Service != own.Service:
		return false
	case own.Pin != "":
		return key == own.Pin
	default:
		return sent.Pin != "" && u.duty.Shards > 0 && key.Shard(u.duty.Shards) == own.Shard
	}
}

// waitingRequests returns all requests that wait for the upstream, in its queue or
// for the grant of a unit.
func (u *upstream) waitingRequests() []*request {
	var out []*request
	for _, a := range u.queue.accounts {
		out = append(out, a.requests...)
	}
	for _, x := range u.sortedUnits {
		out = append(out, x.waiting...)
	}
	return out
}

// moveToUnit moves the requests for a unit from the queue to the waiting list of the
// unit.
func (u *upstream) moveToUnit(x *unit) {
	for _, a := range slices.Clone(u.queue.accounts) {
		for _, r := range slices.Clone(a.requests) {
			if r.Unit == x.own.Unit {
				u.queue.remove(r)
				x.waiting = append(x.waiting, r)
			}
		}
	}
}

func (t *Table) refuseUnit(u *upstream, x *unit, reason fleet.Reason, detail string) {
	u.moveToUnit(x)
	for _, r := range slices.Clone(x.waiting) {
		t.refuseWaiting(u, r, reason, detail)
	}
}

// refuseWaiting removes a waiting request and refuses it.
func (t *Table) refuseWaiting(u *upstream, r *request, reason fleet.Reason, detail string) {
	u.queue.remove(r)
	if x := u.units[r.Unit]; x != nil {
		x.waiting = slices.DeleteFunc(x.waiting, func(y *request) bool { return y == r })
	}
	r.queued = false
	t.refuse(r, fleet.Refusal{Reason: reason, Detail: detail})
}
