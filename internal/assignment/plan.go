package assignment

import (
	"fmt"
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/platform"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Input is the data from which Plan computes the next assignment.
type Input struct {
	Current   *Assignment          // nil: no record stored yet
	Catalogue *catalogue.Catalogue // nil: not known; Plan then changes nothing
	Listed    []platform.Listed    // entries of the platform's list; only upstreams are used
	// Learned reports whether majorities of the present and the previous member list
	// have learned the revisions that the planner knows (design, section 4). The
	// member list changes only if they have: otherwise majorities of successive lists
	// might have no member in common.
	Learned    bool
	Lost       []fleet.InstanceID // members that a majority has not heard from for 600 ms
	Leaving    []fleet.InstanceID // instances that are shutting down
	Joining    []Member           // instances to add; one with a new boot id replaces the member
	Reports    map[fleet.UpstreamID]Report
	RecentPins map[fleet.ServiceID][]time.Time // times of recent moves with CausePin
	// LastSwap holds the time of the last move with CauseLoad, by service.
	LastSwap map[fleet.ServiceID]time.Time
}

// Cause is the reason for a Move.
type Cause string

// Causes of moves. Pins are for keys with a high request rate, see Report.Hot.
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

// Move is one change made by the planner and its cause. For a change of owner,
// Unit, From, To and Fence are set. For a change of dispatcher, From and To both
// name the upstream, and Fence is the new dispatcher fence. Other changes have only
// Detail and, if they concern an upstream, To.
type Move struct {
	Unit     fleet.Unit
	From, To fleet.UpstreamID
	Fence    fleet.Fence
	Cause    Cause
	Detail   string
}

// Plan returns the next assignment and the moves that lead to it. changed is false
// if the assignment stays as it is. Plan does not modify in.Current. The caller
// must write the result with a compare-and-swap on the revision of in.Current, and
// may act on it only after the store has accepted it.
func Plan(now time.Time, in Input) (next *Assignment, moves []Move, changed bool) {
	if in.Catalogue == nil {
		return in.Current, nil, false
	}
	p := newPlanner(now, in)
	p.completeHandovers()
	p.updateMembers()
	p.updateUpstreams()
	p.assignDispatchers()
	p.updateServices()
	p.buildUpstreamInfos()
	for _, id := range p.serviceIDs() {
		p.distributeShards(id)
	}
	if p.input.Learned {
		p.updatePins()
		p.swapBusyShards()
	}
	p.removeUpstreams()
	if !p.changed {
		return p.current, nil, false
	}
	p.next.buildIndex()
	return p.next, p.moves, true
}

// planner holds the state of one call of Plan.
type planner struct {
	now         time.Time
	input       Input
	current     *Assignment
	next        *Assignment
	moves       []Move
	changed     bool
	unitsCopied bool // next.Units is a copy of current.Units

	listed            map[fleet.UpstreamID]platform.Listed
	infos             []upstreamInfo // same order as next.Upstreams
	infoByID          map[fleet.UpstreamID]*upstreamInfo
	infosByService    map[fleet.ServiceID][]*upstreamInfo
	restarted         map[fleet.InstanceID]bool // members replaced by a later run of the same instance
	shardsOfEndedPins map[fleet.Unit]bool       // shards of the pins that have no owner
}

// upstreamInfo is the data of the planner about an upstream.
type upstreamInfo struct {
	*Upstream
	usable        bool    // may own units
	unusableCause Cause   // why it is not usable; empty if it is
	warmShare     float64 // share of its slots that it can use now, from 0 to 1
	shards        int     // shards owned
	targetShards  int     // shards that it should own
	pending       int     // shards owned with an unfinished handover
	expectedLoad  float64 // in requests/s, including the pins placed by this plan
	report        Report
}

func newPlanner(now time.Time, in Input) *planner {
	if in.Current == nil {
		in.Current = &Assignment{}
	}
	p := &planner{now: now, input: in, current: in.Current, listed: map[fleet.UpstreamID]platform.Listed{}}
	next := *in.Current
	next.Upstreams = slices.Clone(next.Upstreams)
	if next.serviceRanges == nil {
		next.buildIndex()
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

func (p *planner) addMove(m Move) {
	p.moves = append(p.moves, m)
	p.changed = true
}

// addChange records a change that moves neither a unit nor a dispatcher role.
func (p *planner) addChange(cause Cause, to fleet.UpstreamID, format string, args ...any) {
	p.addMove(Move{To: to, Cause: cause, Detail: fmt.Sprintf(format, args...)})
}

func (p *planner) takeFence() fleet.Fence {
	f := p.next.NextFence
	p.next.NextFence++
	return f
}

// writableUnit returns unit i for modification and copies Units at the first call.
// The slice Previous remains shared with the current assignment: replace it, but
// do not modify its elements.
func (p *planner) writableUnit(i int) *Ownership {
	if !p.unitsCopied {
		p.next.Units = slices.Clone(p.next.Units)
		p.unitsCopied = true
	}
	p.changed = true
	return &p.next.Units[i]
}

// setOwner makes to the owner of unit i under a new fence. An empty to leaves the
// unit without an owner.
func (p *planner) setOwner(i int, to fleet.UpstreamID, cause Cause, detail string) {
	u := p.writableUnit(i)
	from := u.Owner
	if from != "" && !slices.Contains(u.Previous, from) {
		u.Previous = append(slices.Clip(u.Previous), from)
	}
	u.Owner, u.Fence = to, p.takeFence()
	p.addMove(Move{Unit: u.Unit, From: from, To: to, Fence: u.Fence, Cause: cause, Detail: detail})
}

// addUnits inserts units at their sorted positions.
func (p *planner) addUnits(added []Ownership) {
	if len(added) == 0 {
		return
	}
	units := append(slices.Clone(p.next.Units), added...)
	slices.SortFunc(units, func(a, b Ownership) int { return compareUnits(a.Unit, b.Unit) })
	p.replaceUnits(units)
}

// replaceUnits sets the unit table after insertions or deletions and rebuilds the
// index.
func (p *planner) replaceUnits(units []Ownership) {
	p.next.Units, p.unitsCopied, p.changed = units, true, true
	p.next.buildIndex()
}

// completeHandovers clears the previous owners of units whose current fence is
// reported as granted. For a unit without an owner, the dispatcher of each previous
// owner reports separately when that upstream has released the unit. A pin without
// an owner is deleted once all have.
func (p *planner) completeHandovers() {
	inHandover := p.unitsInHandover()
	if len(inHandover) == 0 {
		return
	}
	releasedPins := map[int]bool{}
	for _, id := range sortedKeys(p.input.Reports) {
		for _, g := range p.input.Reports[id].Granted {
			i, ok := inHandover[g]
			if !ok {
				continue
			}
			switch o := p.next.Units[i]; {
			case o.Owner == id:
				p.writableUnit(i).Previous = nil
			case o.Owner == "" && slices.Contains(o.Previous, id):
				u := p.writableUnit(i)
				u.Previous = slices.DeleteFunc(slices.Clone(o.Previous), func(x fleet.UpstreamID) bool { return x == id })
				releasedPins[i] = len(u.Previous) == 0 && u.Unit.Pin != ""
			}
		}
	}
	p.deleteUnits(func(i int) bool { return releasedPins[i] })
}

// unitsInHandover returns the indexes of the units with an unfinished handover, by
// the grant that completes it.
func (p *planner) unitsInHandover() map[fleet.Grant]int {
	inHandover := map[fleet.Grant]int{}
	for i := range p.next.Units {
		if o := &p.next.Units[i]; len(o.Previous) > 0 {
			inHandover[fleet.Grant{Unit: o.Unit, Fence: o.Fence}] = i
		}
	}
	return inHandover
}

func (p *planner) deleteUnits(remove func(i int) bool) {
	var units []Ownership
	for i := range p.next.Units {
		if remove(i) && units == nil {
			units = slices.Clone(p.next.Units[:i])
			if units == nil {
				units = []Ownership{}
			}
		} else if units != nil && !remove(i) {
			units = append(units, p.next.Units[i])
		}
	}
	if units != nil {
		p.replaceUnits(units)
	}
}
