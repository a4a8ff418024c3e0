// Package dispatch decides which control calls and requests an instance sends to
// the upstreams that it dispatches for, and in which order.
//
// The package has no goroutines, sockets or clocks. A Table is a state machine: its
// methods take events and return actions. The caller executes the actions and
// reports their ends with Done, ControlDone and PreviousReleased.
//
// When a request is sent, these invariants hold:
//
//   - the instance has authority, and the start-by time is not after its end
//   - the unit is granted to the upstream under the fence that the request carries
//   - the lease of a fenced upstream has not expired
//   - the number of open attempts does not exceed the concurrency limit
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
	cfg            Config
	authorityUntil time.Time // end of the instance's authority
	upstreams      map[fleet.UpstreamID]*upstream
	sorted         []*upstream // by id, so that the order of actions is deterministic
	requests       map[fleet.RequestID]*request
	retryBudget    retryBudget
	controlSeq     uint64 // sequence number of the last control call
	actions        []Action
}

// Config holds the settings of a Table. A zero field takes the default given in its
// comment.
type Config struct {
	Instance             fleet.InstanceID
	LeaseTTL             time.Duration // 900 ms; TTL of an upstream's lease
	RenewInterval        time.Duration // 200 ms; also the timeout of a control call
	MaxMissedCalls       int           // 3; unanswered calls in a row after which the upstream is lost
	ControlRetryInterval time.Duration // 20 ms; before a control call or release query is repeated
	ClockSkew            time.Duration // 250 ms; between the clocks of instance and upstream
	MaxRequestTimeout    time.Duration // 10 s; of a service whose duty has no Timeout
	LeavingGrace         time.Duration // 2.5 s; for which a leaving upstream still gets requests
	CancelGrace          time.Duration // 100 ms; for which a cancelled request keeps its slot
	HedgeDelay           time.Duration // 100 ms; minimum age of an attempt that is hedged
	RetryRatio           float64       // 0.1; retries and hedged requests per request
	MaxQueue             int           // 1,024 requests per client account and upstream, and per ungranted unit
}

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, def time.Duration) {
		if *d <= 0 {
			*d = def
		}
	}
	set(&c.LeaseTTL, 900*time.Millisecond)
	set(&c.RenewInterval, 200*time.Millisecond)
	set(&c.ControlRetryInterval, 20*time.Millisecond)
	set(&c.ClockSkew, 250*time.Millisecond)
	set(&c.MaxRequestTimeout, 10*time.Second)
	// An upstream taken out of service must get no new request after 3 s. The other
	// 0.5 s cover the delay from the catalogue edit to the duty with Leaving set.
	set(&c.LeavingGrace, 2500*time.Millisecond)
	// An upstream detects a closed connection within 20 ms. Until then the cancelled
	// request occupies its slot there.
	set(&c.CancelGrace, 100*time.Millisecond)
	set(&c.HedgeDelay, 100*time.Millisecond)
	if c.MaxMissedCalls <= 0 {
		c.MaxMissedCalls = 3
	}
	if c.RetryRatio <= 0 {
		c.RetryRatio = 0.1
	}
	if c.MaxQueue <= 0 {
		c.MaxQueue = 1024
	}
	return c
}

// New returns a table that has no duties and no authority.
func New(cfg Config) *Table {
	cfg = cfg.withDefaults()
	return &Table{
		cfg: cfg, retryBudget: retryBudget{ratio: cfg.RetryRatio},
		upstreams: make(map[fleet.UpstreamID]*upstream), requests: make(map[fleet.RequestID]*request),
	}
}

// Duty assigns the dispatching for one upstream to this instance.
type Duty struct {
	Upstream         fleet.UpstreamID
	Service          fleet.ServiceID
	Address          string
	Fence            fleet.Fence // dispatcher fence
	Slots, ColdSlots fleet.Slots // concurrency limits of the warm and the cold upstream
	Fenced           bool        // the upstream checks fences
	Leaving          bool        // the upstream is being taken out of service
	// InForceSince is when the assignment that names this dispatcher came into force. From
	// then on no previous dispatcher has authority. Zero means not yet.
	InForceSince time.Time
	Shards       int                    // number of shards of the service
	WarmTime     time.Duration          // busy time after which a cold upstream can handle Slots requests
	LastLimit    KnownLimit             // as last reported by the previous dispatcher
	Timeout      time.Duration          // longest request timeout of the service; 0: Config.MaxRequestTimeout
	Units        []assignment.Ownership // units that the upstream owns, or that name it in Previous
}

// KnownLimit is the concurrency limit that one process of an upstream, identified by
// its boot id, had reached.
type KnownLimit struct {
	Boot  fleet.BootID
	Limit fleet.Slots
}

// upstream is the state of one duty.
type upstream struct {
	id               fleet.UpstreamID
	duty             Duty
	retired          bool // another instance dispatches now; open attempts may still end
	leavingSince     time.Time
	session          session
	warmup           warmup
	queue            queue
	units            map[fleet.Unit]*unit
	sortedUnits      []*unit // in the order of compareUnits
	openAttempts     []*attempt
	lingering        []lingeringAttempt
	nextReleaseQuery time.Time
	nextGrant        time.Time
	nextRevoke       time.Time
	hotKeys          hotKeys
	unitLoads        unitLoads
}

// Assign replaces all duties. An upstream without a duty gets no new requests, and
// its open attempts may still end.
func (t *Table) Assign(now time.Time, duties []Duty) []Action {
	named := make(map[fleet.UpstreamID]bool, len(duties))
	for _, d := range duties {
		named[d.Upstream] = true
		t.assign(now, d)
	}
	for _, u := range t.sorted {
		if !named[u.id] && !u.retired {
			t.retire(now, u)
		}
	}
	t.advanceAll(now)
	return t.takeActions()
}

func (t *Table) assign(now time.Time, d Duty) {
	u := t.upstreams[d.Upstream]
	if u == nil {
		u = &upstream{
			id: d.Upstream, units: make(map[fleet.Unit]*unit), hotKeys: newHotKeys(now), unitLoads: newUnitLoads(now),
		}
		u.warmup.reset(d.ColdSlots)
		t.upstreams[d.Upstream] = u
		at, _ := slices.BinarySearchFunc(t.sorted, d.Upstream, func(x *upstream, id fleet.UpstreamID) int {
			return strings.Compare(string(x.id), string(id))
		})
		t.sorted = slices.Insert(t.sorted, at, u)
	}
	if u.retired || u.duty.Fence != d.Fence || u.duty.Address != d.Address {
		u.session.restart(now)
		u.session.lost = false
		u.invalidateGrants()
	}
	u.retired = false
	if !d.Leaving {
		u.leavingSince = time.Time{}
	} else if u.leavingSince.IsZero() {
		u.leavingSince = now
	}
	u.duty = d
	u.warmup.setBounds(d.Slots, d.ColdSlots)
	t.assignUnits(u)
}

func (t *Table) retire(now time.Time, u *upstream) {
	u.retired = true
	u.session.restart(now)
	for _, x := range u.sortedUnits {
		t.refuseUnit(u, x, fleet.ReasonNoOwner, "another instance dispatches for the upstream")
	}
	t.emitEvent(u, "retired", "")
}

// Tick advances all state that depends on time. authorityUntil is the end of the
// instance's authority; nothing is sent at or after it.
func (t *Table) Tick(now, authorityUntil time.Time) []Action {
	t.authorityUntil = authorityUntil
	t.refuseExpired(now)
	t.advanceAll(now)
	t.sendHedges(now)
	return t.takeActions()
}

func (t *Table) hasAuthority(now time.Time) bool { return now.Before(t.authorityUntil) }

func (t *Table) advanceAll(now time.Time) {
	kept := t.sorted[:0]
	for _, u := range t.sorted {
		u.hotKeys.rotateWindow(now)
		u.unitLoads.rotateWindow(now)
		u.lingering = slices.DeleteFunc(u.lingering, func(g lingeringAttempt) bool { return !now.Before(g.runsUntil) })
		if u.retired && len(u.openAttempts) == 0 {
			delete(t.upstreams, u.id)
			continue
		}
		t.advance(now, u)
		kept = append(kept, u)
	}
	clear(t.sorted[len(kept):])
	t.sorted = kept
}

// advance sends the control calls and queued requests that are due for an upstream.
func (t *Table) advance(now time.Time, u *upstream) {
	if u.retired {
		return
	}
	t.advanceSession(now, u)
	t.advanceUnits(now, u)
	t.sendQueued(now, u)
}

// refuseExpired refuses waiting requests whose deadline has passed or whose upstream
// is out of service, and all of them if the instance has no authority.
func (t *Table) refuseExpired(now time.Time) {
	for _, u := range t.sorted {
		out := u.outOfService(now, t.cfg.LeavingGrace)
		for _, r := range u.waitingRequests() {
			switch {
			case !now.Before(r.Deadline):
				t.refuseWaiting(u, r, fleet.ReasonDeadline, "deadline passed while waiting for "+string(u.id))
			case !t.hasAuthority(now):
				t.refuseWaiting(u, r, fleet.ReasonNoAuthority, "authority ended while waiting")
			case out:
				t.refuseWaiting(u, r, fleet.ReasonOutOfService, string(u.id)+" is out of service")
			}
		}
	}
}

func (u *upstream) outOfService(now time.Time, grace time.Duration) bool {
	return !u.leavingSince.IsZero() && now.Sub(u.leavingSince) >= grace
}

// Reports returns the planner's input for every upstream with a duty.
func (t *Table) Reports(now time.Time) map[fleet.UpstreamID]assignment.Report {
	out := make(map[fleet.UpstreamID]assignment.Report, len(t.sorted))
	for _, u := range t.sorted {
		if u.retired {
			continue
		}
		u.hotKeys.rotateWindow(now)
		r := assignment.Report{
			Lost: u.session.lost, Boot: u.session.boot, Limit: u.warmup.limit, Slots: u.duty.Slots,
			Load: u.hotKeys.rate, Hot: slices.Clone(u.hotKeys.top),
			InFlight: fleet.Slots(len(u.openAttempts)), Queued: len(u.waitingRequests()),
		}
		r.Average, r.Units = u.unitLoads.report()
		for _, x := range u.sortedUnits {
			// The transfer of a unit is complete when its owner holds the grant or, for
			// a unit without an owner, such as a removed pin, when it is released.
			granted := x.owned && x.state == unitGranted && len(x.own.Previous) > 0
			if granted || x.own.Owner == "" && x.state == unitReleased {
				r.Granted = append(r.Granted, fleet.Grant{Unit: x.own.Unit, Fence: x.own.Fence})
			}
		}
		out[u.id] = r
	}
	return out
}

// LeaseLeft returns the shortest guaranteed remaining lease time of all fenced
// upstreams with an active session. It returns false if there are none.
func (t *Table) LeaseLeft(now time.Time) (time.Duration, bool) {
	var left time.Duration
	found := false
	for _, u := range t.sorted {
		if !u.duty.Fenced || u.retired || u.session.phase != phaseActive {
			continue
		}
		if d := u.session.earliestLeaseEnd.Sub(now); !found || d < left {
			left, found = d, true
		}
	}
	return left, found
}

func (t *Table) emit(a Action) { t.actions = append(t.actions, a) }

func (t *Table) emitEvent(u *upstream, kind, detail string) {
	t.emit(Event{Upstream: u.id, Kind: kind, Detail: detail})
}

func (t *Table) takeActions() []Action {
	out := t.actions
	t.actions = nil
	return out
}
