package assignment

import (
	"fmt"
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/platform"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// fixture holds the input of the planner and the assignment that it last returned.
type fixture struct {
	now            time.Time
	current        *Assignment
	catalogue      catalogue.Catalogue
	listed         map[string]platform.Listed
	reports        map[fleet.UpstreamID]Report
	joining        map[fleet.InstanceID]Member
	lost           map[fleet.InstanceID]bool
	leaving        map[fleet.InstanceID]bool
	learned        bool
	grantsReported bool // dispatchers report every unit as released and granted
	recentPins     map[fleet.ServiceID][]time.Time
	lastSwaps      map[fleet.ServiceID]time.Time
}

func newFixture() *fixture {
	return &fixture{
		now: time.Unix(1000, 0), current: &Assignment{}, learned: true, grantsReported: true,
		listed: map[string]platform.Listed{}, reports: map[fleet.UpstreamID]Report{},
		joining: map[fleet.InstanceID]Member{}, lost: map[fleet.InstanceID]bool{},
		leaving: map[fleet.InstanceID]bool{}, recentPins: map[fleet.ServiceID][]time.Time{}, lastSwaps: map[fleet.ServiceID]time.Time{},
	}
}

func (fx *fixture) addService(id string, shards int, slots, cold fleet.Slots) {
	fx.catalogue.Services = append(fx.catalogue.Services, catalogue.Service{ID: fleet.ServiceID(id), Shards: shards, Slots: slots, ColdSlots: cold})
}

func (fx *fixture) listUpstream(id, service, zone string, state platform.State) {
	fx.listed[id] = platform.Listed{
		Name: id, Kind: platform.KindUpstream, Service: fleet.ServiceID(service),
		Address: id + ":80", Zone: fleet.ZoneID(zone), State: state,
	}
}

func (fx *fixture) joinInstance(id, zone, boot string) {
	fx.joining[fleet.InstanceID(id)] = Member{ID: fleet.InstanceID(id), Boot: fleet.BootID(boot), Address: id, ForwardAddress: id, Zone: fleet.ZoneID(zone)}
}

func (fx *fixture) setOutOfService(kind catalogue.OutageKind, name string, out bool) {
	fx.catalogue.OutOfService = slices.DeleteFunc(fx.catalogue.OutOfService, func(o catalogue.Outage) bool { return o.Kind == kind && o.Name == name })
	if out {
		fx.catalogue.OutOfService = append(fx.catalogue.OutOfService, catalogue.Outage{Kind: kind, Name: name})
	}
}

func (fx *fixture) setSlotLimit(id fleet.UpstreamID, limit fleet.Slots) {
	r := fx.reports[id]
	r.Limit, r.Slots = limit, 6
	fx.reports[id] = r
}

func (fx *fixture) input() Input {
	in := Input{
		Current: fx.current, Catalogue: &fx.catalogue, Learned: fx.learned, Reports: map[fleet.UpstreamID]Report{},
		Lost: sortedKeys(fx.lost), Leaving: sortedKeys(fx.leaving), RecentPins: fx.recentPins, LastSwap: fx.lastSwaps,
	}
	for _, id := range sortedKeys(fx.listed) {
		in.Listed = append(in.Listed, fx.listed[id])
	}
	for _, id := range sortedKeys(fx.joining) {
		in.Joining = append(in.Joining, fx.joining[id])
	}
	for id, r := range fx.reports {
		in.Reports[id] = r
	}
	for _, o := range fx.current.Units {
		if len(o.Previous) == 0 {
			continue
		}
		fence := o.Fence
		if !fx.grantsReported {
			fence-- // report an earlier grant
		}
		holders := []fleet.UpstreamID{o.Owner}
		if o.Owner == "" {
			holders = o.Previous
		}
		for _, id := range holders {
			r := in.Reports[id]
			r.Granted = append(slices.Clip(r.Granted), fleet.Grant{Unit: o.Unit, Fence: fence})
			in.Reports[id] = r
		}
	}
	return in
}

// plan runs the planner, checks its result with checkStep and makes it the current
// assignment.
func (fx *fixture) plan() (moves []Move, changed bool, err error) {
	in := fx.input()
	before := fx.current.Encode()
	next, moves, changed := Plan(fx.now, in)
	if string(before) != string(fx.current.Encode()) {
		return nil, false, fmt.Errorf("Plan changed its input")
	}
	if err := checkStep(in, next, changed); err != nil {
		return nil, false, err
	}
	for _, m := range moves {
		if m.Cause == CausePin {
			fx.recentPins[m.Unit.Service] = append(fx.recentPins[m.Unit.Service], fx.now)
		}
		if m.Cause == CauseLoad {
			fx.lastSwaps[m.Unit.Service] = fx.now
		}
	}
	fx.current = next
	return moves, changed, nil
}

// checkStep checks the invariants that hold between every assignment and the next.
func checkStep(in Input, next *Assignment, changed bool) error {
	cur := in.Current
	if changed == cur.Equal(next) {
		return fmt.Errorf("changed = %t, equal = %t", changed, !changed)
	}
	if got, err := Decode(next.Encode()); changed && err != nil {
		return err
	} else if changed && !got.Equal(next) {
		return fmt.Errorf("decoded record differs")
	}
	if !in.Learned && len(cur.Members) > 0 && !slices.Equal(cur.Members, next.Members) {
		return fmt.Errorf("member list changed before the last change was learned")
	}
	kept := slices.DeleteFunc(slices.Clone(cur.Members), func(m Member) bool {
		return slices.ContainsFunc(next.Members, func(n Member) bool { return n.ID == m.ID && n.Boot != m.Boot })
	})
	if !slices.Equal(cur.Members, next.Members) && !slices.Equal(next.PreviousMembers, kept) {
		return fmt.Errorf("previous members %v, want %v", next.PreviousMembers, kept)
	}
	granted := map[fleet.UpstreamID]map[fleet.Grant]bool{}
	for id, r := range in.Reports {
		granted[id] = map[fleet.Grant]bool{}
		for _, g := range r.Granted {
			granted[id][g] = true
		}
	}
	old := map[fleet.Unit]Ownership{}
	for _, o := range cur.Units {
		old[o.Unit] = o
	}
	fences := map[fleet.Fence]bool{}
	for i, o := range next.Units {
		if i > 0 && compareUnits(next.Units[i-1].Unit, o.Unit) >= 0 {
			return fmt.Errorf("unit %s not after %s: it may have two owners", o.Unit, next.Units[i-1].Unit)
		}
		if o.Fence != 0 && fences[o.Fence] {
			return fmt.Errorf("unit %s: fence %s used twice", o.Unit, o.Fence)
		}
		fences[o.Fence] = true
		if err := checkUnit(old[o.Unit], o, cur.NextFence, granted); err != nil {
			return err
		}
		for _, id := range append([]fleet.UpstreamID{o.Owner}, o.Previous...) {
			if _, ok := next.Upstream(id); !ok && id != "" {
				return fmt.Errorf("unit %s names upstream %s, which is not in the table", o.Unit, id)
			}
		}
		if _, known := old[o.Unit]; !known && o.Unit.Pin != "" {
			s := next.serviceRanges[o.Unit.Service]
			if shard := next.Units[s.shardOf(o.Unit.Pin)]; shard.Fence < cur.NextFence || !slices.Contains(o.Previous, shard.Owner) {
				return fmt.Errorf("new pin %s: shard has fence %s, pin has previous owners %v", o.Unit, shard.Fence, o.Previous)
			}
		}
		delete(old, o.Unit)
	}
	for _, o := range old {
		held := append([]fleet.UpstreamID{o.Owner}, o.Previous...)
		for _, id := range held {
			if id != "" && !granted[id][fleet.Grant{Unit: o.Unit, Fence: o.Fence}] {
				return fmt.Errorf("unit %s deleted although %s has not released it", o.Unit, id)
			}
		}
	}
	return checkUpstreams(cur, next, fences)
}

func checkUnit(old, o Ownership, counter fleet.Fence, granted map[fleet.UpstreamID]map[fleet.Grant]bool) error {
	if o.Fence < old.Fence || o.Fence != old.Fence && o.Fence < counter {
		return fmt.Errorf("unit %s: fence went from %s to %s, counter %s", o.Unit, old.Fence, o.Fence, counter)
	}
	if o.Owner != old.Owner && o.Fence == old.Fence {
		return fmt.Errorf("unit %s: owner changed under fence %s", o.Unit, o.Fence)
	}
	g := fleet.Grant{Unit: o.Unit, Fence: old.Fence}
	required := slices.Clone(old.Previous)
	if granted[old.Owner][g] {
		required = nil
	}
	if old.Owner != "" && old.Owner != o.Owner {
		required = append(required, old.Owner)
	}
	for _, id := range required {
		if !slices.Contains(o.Previous, id) && !(old.Owner == "" && granted[id][g]) {
			return fmt.Errorf("unit %s: previous owner %s removed although it has not released the unit", o.Unit, id)
		}
	}
	return nil
}

func checkUpstreams(cur, next *Assignment, fences map[fleet.Fence]bool) error {
	for _, u := range next.Upstreams {
		if u.Fence != 0 && fences[u.Fence] {
			return fmt.Errorf("upstream %s: fence %s used twice", u.ID, u.Fence)
		}
		fences[u.Fence] = true
		if v, ok := cur.Upstream(u.ID); ok && v.Dispatcher != u.Dispatcher && u.Fence < cur.NextFence {
			return fmt.Errorf("upstream %s: dispatcher changed under old fence %s", u.ID, u.Fence)
		}
		if v, ok := cur.Upstream(u.ID); ok && v.Address != u.Address {
			return fmt.Errorf("upstream %s: address changed in place", u.ID)
		}
	}
	return nil
}

// settle runs the planner until the assignment no longer changes.
func (fx *fixture) settle() error {
	for range 1000 {
		if _, changed, err := fx.plan(); err != nil || !changed {
			return err
		}
	}
	return fmt.Errorf("assignment still changes after 1000 plans")
}
