// Package dispatch decides what an instance sends to the upstreams that it
// dispatches for: control calls, grants, requests, and in which order.
//
// The package has no goroutines, sockets or clocks. A Table takes events and
// returns actions; its caller executes them and reports their ends with Done,
// ControlDone and PreviousReleased.
//
// Invariants, each held at the moment a request is sent:
//
//   - the instance has authority, and the start-by time does not pass its end
//   - the unit is granted to the upstream under the fence that the request carries
//   - the lease of a fenced upstream has not expired
//   - open attempts do not exceed the concurrency limit
//   - a non-idempotent request is sent again only if it provably never started
//
// A unit is reported as released only when no request under an older fence can
// still take effect at the upstream.
package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Table holds all upstreams that one instance dispatches for. It is not safe
// for concurrent use.
type Table struct {
	cfg      Config
	until    time.Time // end of authority
	ups      map[fleet.UpstreamID]*upstream
	order    []*upstream // by id, so that actions come in a fixed order
	requests map[fleet.RequestID]*request
	budget   budget
	seq      uint64 // of the last control call
	out      []Action
}

// Config holds the settings of a Table. Zero fields take the defaults.
type Config struct {
	Instance        fleet.InstanceID
	LeaseTTL        time.Duration // 900 ms
	RenewEvery      time.Duration // 200 ms; also the timeout of a control call
	Misses          int           // 3
	AskEvery        time.Duration // 20 ms
	ClockSkew       time.Duration // 250 ms
	LongestDeadline time.Duration // 10 s; used if a duty names no timeout
	LeavingGrace    time.Duration // 2.5 s
	CancelGrace     time.Duration // 100 ms
	SilentAfter     time.Duration // 100 ms
	RetryShare      float64       // 0.1
	MaxQueue        int           // 1,024 per client account and upstream
}

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, def time.Duration) {
		if *d <= 0 {
			*d = def
		}
	}
	set(&c.LeaseTTL, 900*time.Millisecond)
	set(&c.RenewEvery, 200*time.Millisecond)
	set(&c.AskEvery, 20*time.Millisecond)
	set(&c.ClockSkew, 250*time.Millisecond)
	set(&c.LongestDeadline, 10*time.Second)
	// An upstream out of service may get no new request after 3 s; the rest is
	// for the delay between the edit and the duty that shows it.
	set(&c.LeavingGrace, 2500*time.Millisecond)
	// An upstream notices a closed connection after up to 20 ms; until then the
	// cancelled request holds its slot there.
	set(&c.CancelGrace, 100*time.Millisecond)
	set(&c.SilentAfter, 100*time.Millisecond)
	if c.Misses <= 0 {
		c.Misses = 3
	}
	if c.RetryShare <= 0 {
		c.RetryShare = 0.1
	}
	if c.MaxQueue <= 0 {
		c.MaxQueue = 1024
	}
	return c
}

// New returns a table without duties and without authority.
func New(cfg Config) *Table {
	cfg = cfg.withDefaults()
	return &Table{
		cfg: cfg, budget: budget{share: cfg.RetryShare},
		ups: make(map[fleet.UpstreamID]*upstream), requests: make(map[fleet.RequestID]*request),
	}
}

// Duty is an upstream that this instance dispatches for.
type Duty struct {
	Upstream         fleet.UpstreamID
	Service          fleet.ServiceID
	Address          string
	Fence            fleet.Fence // dispatcher fence
	Slots, ColdSlots fleet.Slots
	Fenced           bool
	Leaving          bool
	Taken            time.Time              // when the assignment that names this dispatcher is in force; zero: not yet
	Shards           int                    // of the service
	WarmTime         time.Duration          // work after which the upstream handles Slots
	Last             Warmth                 // last known from the previous dispatcher
	Timeout          time.Duration          // longest deadline of the service; zero: Config.LongestDeadline
	Units            []assignment.Ownership // owned, or with this upstream among Previous
}

// Warmth is the concurrency limit that a run of an upstream was known to handle.
type Warmth struct {
	Boot  fleet.BootID
	Limit fleet.Slots
}

// upstream is the state that the dispatcher keeps for one duty.
type upstream struct {
	id           fleet.UpstreamID
	duty         Duty
	retired      bool // another instance dispatches; open attempts may end
	leavingSince time.Time
	session      session
	warming      warming
	queue        queue
	units        map[fleet.Unit]*unit
	list         []*unit // by unit
	open         []*attempt
	ghosts       []ghost
	nextAsk      time.Time
	nextGrant    time.Time
	nextRevoke   time.Time
	hot          hotKeys
	loads        unitLoads
}

// Assign replaces all duties. An upstream that is no longer a duty gets no new
// requests; its open attempts may end.
func (t *Table) Assign(now time.Time, duties []Duty) []Action {
	named := make(map[fleet.UpstreamID]bool, len(duties))
	for _, d := range duties {
		named[d.Upstream] = true
		t.assign(now, d)
	}
	for _, u := range t.order {
		if !named[u.id] && !u.retired {
			t.retire(now, u)
		}
	}
	t.advanceAll(now)
	return t.take()
}

func (t *Table) assign(now time.Time, d Duty) {
	u := t.ups[d.Upstream]
	if u == nil {
		u = &upstream{
			id: d.Upstream, units: make(map[fleet.Unit]*unit), hot: newHotKeys(now), loads: newUnitLoads(now),
		}
		u.warming.reset(d.ColdSlots)
		t.ups[d.Upstream] = u
		at, _ := slices.BinarySearchFunc(t.order, d.Upstream, func(x *upstream, id fleet.UpstreamID) int {
			return strings.Compare(string(x.id), string(id))
		})
		t.order = slices.Insert(t.order, at, u)
	}
	if u.retired || u.duty.Fence != d.Fence || u.duty.Address != d.Address {
		u.session.restart(now)
		u.session.lost = false
		u.voidGrants()
	}
	u.retired = false
	if !d.Leaving {
		u.leavingSince = time.Time{}
	} else if u.leavingSince.IsZero() {
		u.leavingSince = now
	}
	u.duty = d
	u.warming.bound(d.Slots, d.ColdSlots)
	t.assignUnits(u)
}

func (t *Table) retire(now time.Time, u *upstream) {
	u.retired = true
	u.session.restart(now)
	for _, x := range u.list {
		t.refuseUnit(u, x, fleet.ReasonNoOwner, "another instance dispatches for the upstream")
	}
	t.event(u, "retired", "")
}

// Tick advances everything that depends on time. authorityUntil is the end of
// the instance's authority; nothing is sent at or after it.
func (t *Table) Tick(now, authorityUntil time.Time) []Action {
	t.until = authorityUntil
	t.expire(now)
	t.advanceAll(now)
	t.retrySilent(now)
	return t.take()
}

func (t *Table) holds(now time.Time) bool { return now.Before(t.until) }

func (t *Table) advanceAll(now time.Time) {
	kept := t.order[:0]
	for _, u := range t.order {
		u.hot.roll(now)
		u.loads.roll(now)
		u.ghosts = slices.DeleteFunc(u.ghosts, func(g ghost) bool { return !now.Before(g.runsUntil) })
		if u.retired && len(u.open) == 0 {
			delete(t.ups, u.id)
			continue
		}
		t.advance(now, u)
		kept = append(kept, u)
	}
	clear(t.order[len(kept):])
	t.order = kept
}

// advance sends what has become due for one upstream.
func (t *Table) advance(now time.Time, u *upstream) {
	if u.retired {
		return
	}
	t.advanceSession(now, u)
	t.advanceUnits(now, u)
	t.pump(now, u)
}

// expire refuses waiting requests that passed their deadline, that wait at an
// upstream out of service, or that wait without authority.
func (t *Table) expire(now time.Time) {
	for _, u := range t.order {
		out := u.outOfService(now, t.cfg.LeavingGrace)
		for _, r := range u.waiting() {
			switch {
			case !now.Before(r.Deadline):
				t.drop(u, r, fleet.ReasonDeadline, "deadline passed while waiting for "+string(u.id))
			case !t.holds(now):
				t.drop(u, r, fleet.ReasonNoAuthority, "authority ended while waiting")
			case out:
				t.drop(u, r, fleet.ReasonOutOfService, string(u.id)+" is out of service")
			}
		}
	}
}

func (u *upstream) outOfService(now time.Time, grace time.Duration) bool {
	return !u.leavingSince.IsZero() && now.Sub(u.leavingSince) >= grace
}

// Reports returns what the planner needs to know about every duty.
func (t *Table) Reports(now time.Time) map[fleet.UpstreamID]assignment.Report {
	out := make(map[fleet.UpstreamID]assignment.Report, len(t.order))
	for _, u := range t.order {
		if u.retired {
			continue
		}
		u.hot.roll(now)
		r := assignment.Report{
			Lost: u.session.lost, Boot: u.session.boot, Limit: u.warming.limit, Slots: u.duty.Slots,
			Load: u.hot.load, Hot: slices.Clone(u.hot.top),
			InFlight: fleet.Slots(len(u.open)), Queued: len(u.waiting()),
		}
		r.Average, r.Units = u.loads.report()
		for _, x := range u.list {
			// A unit without an owner, such as an ended pin, is complete when it is
			// released; otherwise when its owner holds it.
			granted := x.mine && x.state == unitGranted && len(x.own.Previous) > 0
			if granted || x.own.Owner == "" && x.state == unitReleased {
				r.Granted = append(r.Granted, fleet.Grant{Unit: x.own.Unit, Fence: x.own.Fence})
			}
		}
		out[u.id] = r
	}
	return out
}

// LeaseLeft returns the shortest time for which the lease of a fenced upstream
// that serves certainly lasts. It returns false if there is none.
func (t *Table) LeaseLeft(now time.Time) (time.Duration, bool) {
	var left time.Duration
	found := false
	for _, u := range t.order {
		if !u.duty.Fenced || u.retired || u.session.phase != phaseUp {
			continue
		}
		if d := u.session.leaseMin.Sub(now); !found || d < left {
			left, found = d, true
		}
	}
	return left, found
}

func (t *Table) emit(a Action) { t.out = append(t.out, a) }

func (t *Table) event(u *upstream, kind, detail string) {
	t.emit(Event{Upstream: u.id, Kind: kind, Detail: detail})
}

func (t *Table) take() []Action {
	out := t.out
	t.out = nil
	return out
}
