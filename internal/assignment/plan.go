package assignment

import (
	"fmt"
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/platform"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Input is everything that a plan is based on.
type Input struct {
	Current   *Assignment          // nil: none yet
	Catalogue *catalogue.Catalogue // nil: not known, nothing moves
	Listed    []platform.Listed
	// Learned says that the pair of revisions that the planner knows was learned
	// by the majorities of the design's section 4. Without it the member lists
	// stay: only then do the majorities of successive lists share a member.
	Learned bool
	Lost    []fleet.InstanceID // not heard by a majority for 600 ms
	Leaving []fleet.InstanceID // shutting down
	Joining []Member
	Reports map[fleet.UpstreamID]Report
	LastPin map[fleet.ServiceID][]time.Time
	// LastSwap is the time of the last move with CauseLoad.
	LastSwap map[fleet.ServiceID]time.Time
}

// Cause says why something moved.
type Cause string

// Causes of moves.
const (
	CauseUpstreamLost       Cause = "upstream-lost"
	CauseUpstreamLeaving    Cause = "upstream-leaving"
	CauseUpstreamOut        Cause = "upstream-out"
	CauseUpstreamJoined     Cause = "upstream-joined"
	CauseUpstreamGone       Cause = "upstream-gone"
	CauseZoneOut            Cause = "zone-out"
	CauseLoad               Cause = "load"
	CauseBalance            Cause = "balance"
	CauseWarming            Cause = "warming"
	CausePin                Cause = "pin"
	CauseUnpin              Cause = "unpin"
	CauseNewService         Cause = "new-service"
	CauseServiceRemoved     Cause = "service-removed"
	CauseDispatcherLost     Cause = "dispatcher-lost"
	CauseDispatcherDraining Cause = "dispatcher-draining"
	CauseMemberLost         Cause = "member-lost"
	CauseMemberJoined       Cause = "member-joined"
	CauseMemberLeft         Cause = "member-left"
)

// Move is a decision with its reason. A unit that moved has Unit, From, To and
// Fence. A new dispatcher has From and To, the upstream, and the dispatcher
// fence. Other changes have only Detail, and an upstream in To.
type Move struct {
	Unit     fleet.Unit
	From, To fleet.UpstreamID
	Fence    fleet.Fence
	Cause    Cause
	Detail   string
}

// Plan returns the next assignment and why; changed is false if nothing has to
// move. Current is left as it is. The caller writes the result with the store's
// compare-and-swap on the revision of Current, and acts on it only afterwards.
func Plan(now time.Time, in Input) (next *Assignment, moves []Move, changed bool) {
	if in.Catalogue == nil {
		return in.Current, nil, false
	}
	p := newPlan(now, in)
	p.completeHandovers()
	p.changeMembers()
	p.changeUpstreams()
	p.assignDispatchers()
	p.changeServices()
	p.fillRows()
	for _, id := range p.serviceIDs() {
		p.distribute(id)
	}
	if p.in.Learned {
		p.changePins()
		p.relieve()
	}
	p.dropUpstreams()
	if !p.changed {
		return p.current, nil, false
	}
	p.next.index()
	return p.next, p.moves, true
}

// plan holds the tables that the systems of one Plan run over.
type plan struct {
	now     time.Time
	in      Input
	current *Assignment
	next    *Assignment
	moves   []Move
	changed bool
	copied  bool // Units of next are a copy

	listed    map[fleet.UpstreamID]platform.Listed
	rows      []row // parallel to next.Upstreams
	byID      map[fleet.UpstreamID]*row
	services  map[fleet.ServiceID][]*row
	restarted map[fleet.InstanceID]bool // members replaced by a later run
	retiring  map[fleet.Unit]bool       // shards with a pin that has no owner
}

// row is what a plan knows about an upstream beside its table entry.
type row struct {
	*Upstream
	usable  bool  // may own units
	why     Cause // why not
	warmth  float64
	count   int // shards owned
	target  int
	pending int // shards owned with an unfinished handover
	load    float64
	report  Report
}

func newPlan(now time.Time, in Input) *plan {
	if in.Current == nil {
		in.Current = &Assignment{}
	}
	p := &plan{now: now, in: in, current: in.Current, listed: map[fleet.UpstreamID]platform.Listed{}}
	next := *in.Current
	next.Upstreams = slices.Clone(next.Upstreams)
	if next.spans == nil {
		next.index()
	}
	next.NextFence = max(next.NextFence, 1)
	p.next = &next
	for _, l := range in.Listed {
		if l.Kind == platform.KindUpstream {
			p.listed[fleet.UpstreamID(l.Name)] = l
		}
	}
	return p
}

func (p *plan) move(m Move) {
	p.moves = append(p.moves, m)
	p.changed = true
}

func (p *plan) note(cause Cause, to fleet.UpstreamID, format string, args ...any) {
	p.move(Move{To: to, Cause: cause, Detail: fmt.Sprintf(format, args...)})
}

func (p *plan) fence() fleet.Fence {
	f := p.next.NextFence
	p.next.NextFence++
	return f
}

// unit returns unit i for a change. Previous is shared with the current
// assignment and is replaced, never written to.
func (p *plan) unit(i int) *Ownership {
	if !p.copied {
		p.next.Units = slices.Clone(p.next.Units)
		p.copied = true
	}
	p.changed = true
	return &p.next.Units[i]
}

// give makes to, possibly nobody, the owner of unit i under a new fence.
func (p *plan) give(i int, to fleet.UpstreamID, cause Cause, detail string) {
	u := p.unit(i)
	from := u.Owner
	if from != "" && !slices.Contains(u.Previous, from) {
		u.Previous = append(slices.Clip(u.Previous), from)
	}
	u.Owner, u.Fence = to, p.fence()
	p.move(Move{Unit: u.Unit, From: from, To: to, Fence: u.Fence, Cause: cause, Detail: detail})
}

// addUnits inserts units, which keeps the numbers of the units before them.
func (p *plan) addUnits(added []Ownership) {
	if len(added) == 0 {
		return
	}
	units := append(slices.Clone(p.next.Units), added...)
	slices.SortFunc(units, func(a, b Ownership) int { return compareUnits(a.Unit, b.Unit) })
	p.setUnits(units)
}

// setUnits replaces the units after insertions or deletions.
func (p *plan) setUnits(units []Ownership) {
	p.next.Units, p.copied, p.changed = units, true, true
	p.next.index()
}

// completeHandovers forgets previous owners of units whose present grant is
// reported. A unit without an owner is reported by each previous owner's
// dispatcher on its own, once that upstream has released it.
func (p *plan) completeHandovers() {
	at := p.pendingUnits()
	if len(at) == 0 {
		return
	}
	gone := map[int]bool{}
	for _, id := range sortedKeys(p.in.Reports) {
		for _, g := range p.in.Reports[id].Granted {
			i, ok := at[g]
			if !ok {
				continue
			}
			switch o := p.next.Units[i]; {
			case o.Owner == id:
				p.unit(i).Previous = nil
			case o.Owner == "" && slices.Contains(o.Previous, id):
				u := p.unit(i)
				u.Previous = slices.DeleteFunc(slices.Clone(o.Previous), func(x fleet.UpstreamID) bool { return x == id })
				gone[i] = len(u.Previous) == 0 && u.Unit.Pin != ""
			}
		}
	}
	p.deleteUnits(func(i int) bool { return gone[i] })
}

// pendingUnits finds the units with an unfinished handover by present grant.
func (p *plan) pendingUnits() map[fleet.Grant]int {
	at := map[fleet.Grant]int{}
	for i := range p.next.Units {
		if o := &p.next.Units[i]; len(o.Previous) > 0 {
			at[fleet.Grant{Unit: o.Unit, Fence: o.Fence}] = i
		}
	}
	return at
}

func (p *plan) deleteUnits(dead func(i int) bool) {
	var units []Ownership
	for i := range p.next.Units {
		if dead(i) && units == nil {
			units = slices.Clone(p.next.Units[:i])
			if units == nil {
				units = []Ownership{}
			}
		} else if units != nil && !dead(i) {
			units = append(units, p.next.Units[i])
		}
	}
	if units != nil {
		p.setUnits(units)
	}
}
