package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Request is a caller's request that was routed to an upstream.
type Request struct {
	ID         fleet.RequestID
	Account    fleet.AccountID
	Unit       fleet.Unit
	Key        fleet.RoutingKey
	Upstream   fleet.UpstreamID
	Idempotent bool
	Deadline   time.Time
}

// request is a Request until it has ended and all its attempts have.
type request struct {
	Request
	sent     int // attempts sent so far
	open     []*attempt
	finished bool
	queued   bool           // in queue or in the waiting list of the unit
	fresh    bool           // next attempt on a new connection
	unknown  *fleet.Refusal // an attempt may have run
}

// attempt is a request that was sent and has not ended.
type attempt struct {
	request   *request
	n         int
	unit      fleet.Unit
	sent      time.Time
	cancelled bool
}

// queue holds the requests that wait for a slot, one FIFO per client account,
// served round-robin.
type queue struct {
	ring []*accountQueue // accounts with waiting requests
	next int
}

type accountQueue struct {
	account  fleet.AccountID
	requests []*request
}

func (q *queue) find(id fleet.AccountID) int {
	return slices.IndexFunc(q.ring, func(a *accountQueue) bool { return a.account == id })
}

func (q *queue) push(r *request) {
	i := q.find(r.Account)
	if i < 0 {
		// Behind the account that is served next last, so that a new arrival
		// waits one round at most.
		i = q.next
		q.ring = slices.Insert(q.ring, i, &accountQueue{account: r.Account})
		q.next = (q.next + 1) % len(q.ring)
	}
	q.ring[i].requests = append(q.ring[i].requests, r)
}

func (q *queue) pushFront(r *request) {
	q.push(r)
	a := q.ring[q.find(r.Account)]
	copy(a.requests[1:], a.requests)
	a.requests[0] = r
}

// pop removes the next request in turn, or returns nil.
func (q *queue) pop() *request {
	if len(q.ring) == 0 {
		return nil
	}
	a := q.ring[q.next]
	r := a.requests[0]
	a.requests[0] = nil
	a.requests = a.requests[1:]
	if len(a.requests) == 0 {
		q.removeAt(q.next)
	} else {
		q.next = (q.next + 1) % len(q.ring)
	}
	return r
}

func (q *queue) removeAt(i int) {
	q.ring = slices.Delete(q.ring, i, i+1)
	if i < q.next {
		q.next--
	}
	if q.next >= len(q.ring) {
		q.next = 0
	}
}

func (q *queue) remove(r *request) {
	i := q.find(r.Account)
	if i < 0 {
		return
	}
	a := q.ring[i]
	a.requests = slices.DeleteFunc(a.requests, func(x *request) bool { return x == r })
	if len(a.requests) == 0 {
		q.removeAt(i)
	}
}

// ahead returns how many requests are served before a new one of the account,
// and how many the account itself has waiting.
func (q *queue) ahead(id fleet.AccountID) (ahead, own int) {
	if i := q.find(id); i >= 0 {
		own = len(q.ring[i].requests)
	}
	for _, a := range q.ring {
		ahead += min(len(a.requests), own+1)
	}
	return ahead, own
}

// expectedWait estimates the time until a new request of the account is sent.
func (u *upstream) expectedWait(now time.Time, id fleet.AccountID) (wait time.Duration, own int) {
	ahead, own := u.queue.ahead(id)
	limit := max(1, int(u.warming.limit))
	beyond := u.occupied(now) + ahead + 1 - limit
	if beyond <= 0 {
		return 0, own
	}
	rounds := math.Ceil(float64(beyond) / float64(limit))
	return time.Duration(rounds * float64(u.warming.service)), own
}

// Submit takes a routed request. It ends with one Answer or Refuse.
func (t *Table) Submit(now time.Time, r Request) []Action {
	if t.requests[r.ID] != nil {
		return []Action{Event{Upstream: r.Upstream, Kind: "duplicate-request", Detail: string(r.ID)}}
	}
	u := t.ups[r.Upstream]
	if refusal := t.check(now, u, r); refusal != nil {
		return []Action{Refuse{ID: r.ID, Refusal: *refusal}}
	}
	x := u.units[r.Unit]
	t.budget.earn()
	u.hot.add(r.Key)
	u.loads.add(r.Unit)
	req := &request{Request: r, queued: true}
	t.requests[r.ID] = req
	if x.state == unitGranted {
		u.queue.push(req)
	} else {
		x.waiting = append(x.waiting, req)
	}
	t.pump(now, u)
	return t.take()
}

// check returns why a request is not accepted, or nil.
func (t *Table) check(now time.Time, u *upstream, r Request) *fleet.Refusal {
	switch {
	case !t.holds(now):
		return &fleet.Refusal{Reason: fleet.ReasonNoAuthority, Detail: "the instance has no authority"}
	case !now.Before(r.Deadline):
		return &fleet.Refusal{Reason: fleet.ReasonDeadline, Detail: "the deadline passed before the request was queued"}
	case u == nil || u.retired || u.units[r.Unit] == nil || !u.units[r.Unit].mine:
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

// pump sends queued requests while slots are free.
func (t *Table) pump(now time.Time, u *upstream) {
	for t.holds(now) && u.serves(now) && u.occupied(now) < int(u.warming.limit) {
		r := u.queue.pop()
		if r == nil {
			return
		}
		r.queued = false
		x := u.units[r.Unit]
		switch {
		case !now.Before(r.Deadline):
			t.refuse(r, fleet.Refusal{Reason: fleet.ReasonDeadline, Detail: "deadline passed while waiting for " + string(u.id)})
		case x == nil || !x.mine || x.state != unitGranted || x.held != x.own.Fence:
			t.refuse(r, fleet.Refusal{Reason: fleet.ReasonNoOwner, Detail: "the unit " + r.Unit.String() + " is not granted"})
		default:
			t.send(now, u, x, r)
		}
	}
}

func (t *Table) send(now time.Time, u *upstream, x *unit, r *request) {
	r.sent++
	a := &attempt{request: r, n: r.sent, unit: r.Unit, sent: now}
	r.open = append(r.open, a)
	u.open = append(u.open, a)
	u.warming.sent(now, len(u.open))
	startBy := earlier(r.Deadline, t.until)
	if u.duty.Fenced {
		startBy = earlier(startBy, u.session.leaseMin)
	}
	t.emit(SendRequest{
		ID: r.ID, Upstream: u.id, Address: u.duty.Address, Attempt: a.n, Unit: r.Unit,
		Fence: x.held, DispatcherFence: u.duty.Fence, Deadline: r.Deadline, StartBy: startBy, Fresh: r.fresh,
	})
	r.fresh = false
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// occupied counts the slots that requests may hold at the upstream.
func (u *upstream) occupied(now time.Time) int {
	n := len(u.open) + u.session.foreign
	for _, g := range u.ghosts {
		if now.Before(g.slotUntil) {
			n++
		}
	}
	return n
}

// openIn counts the open attempts under the unit.
func (u *upstream) openIn(x *unit) int {
	n := 0
	for _, a := range u.open {
		if a.unit == x.own.Unit {
			n++
		}
	}
	return n
}

// openFor counts the open attempts for keys of the unit, whatever unit they were
// sent under.
func (u *upstream) openFor(x *unit) int {
	n := 0
	for _, a := range u.open {
		if u.concerns(x, a.unit, a.request.Key) {
			n++
		}
	}
	return n
}

// concerns reports whether a request for the key that was sent under the unit
// sent is for a key of x. A key that was pinned may have been sent under its
// shard, and a key whose pin ended under its pin.
func (u *upstream) concerns(x *unit, sent fleet.Unit, key fleet.RoutingKey) bool {
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

// waiting returns all requests that wait at the upstream.
func (u *upstream) waiting() []*request {
	var out []*request
	for _, a := range u.queue.ring {
		out = append(out, a.requests...)
	}
	for _, x := range u.list {
		out = append(out, x.waiting...)
	}
	return out
}

// unqueue moves the requests of a unit from the queue to the unit.
func (u *upstream) unqueue(x *unit) {
	for _, a := range slices.Clone(u.queue.ring) {
		for _, r := range slices.Clone(a.requests) {
			if r.Unit == x.own.Unit {
				u.queue.remove(r)
				x.waiting = append(x.waiting, r)
			}
		}
	}
}

func (t *Table) refuseUnit(u *upstream, x *unit, reason fleet.Reason, detail string) {
	u.unqueue(x)
	for _, r := range slices.Clone(x.waiting) {
		t.drop(u, r, reason, detail)
	}
}

// drop refuses a waiting request.
func (t *Table) drop(u *upstream, r *request, reason fleet.Reason, detail string) {
	u.queue.remove(r)
	if x := u.units[r.Unit]; x != nil {
		x.waiting = slices.DeleteFunc(x.waiting, func(y *request) bool { return y == r })
	}
	r.queued = false
	t.refuse(r, fleet.Refusal{Reason: reason, Detail: detail})
}
