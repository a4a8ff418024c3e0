package assignment

import (
	"fmt"
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/platform"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// world is the input of the planner as tests change it.
type world struct {
	now     time.Time
	current *Assignment
	cat     catalogue.Catalogue
	listed  map[string]platform.Listed
	reports map[fleet.UpstreamID]Report
	joining map[fleet.InstanceID]Member
	lost    map[fleet.InstanceID]bool
	leaving map[fleet.InstanceID]bool
	learned bool
	granted bool // dispatchers report everything as released and granted
	pinned  map[fleet.ServiceID][]time.Time
	swapped map[fleet.ServiceID]time.Time
}

func newWorld() *world {
	return &world{
		now: time.Unix(1000, 0), current: &Assignment{}, learned: true, granted: true,
		listed: map[string]platform.Listed{}, reports: map[fleet.UpstreamID]Report{},
		joining: map[fleet.InstanceID]Member{}, lost: map[fleet.InstanceID]bool{},
		leaving: map[fleet.InstanceID]bool{}, pinned: map[fleet.ServiceID][]time.Time{}, swapped: map[fleet.ServiceID]time.Time{},
	}
}

func (w *world) service(id string, shards int, slots, cold fleet.Slots) {
	w.cat.Services = append(w.cat.Services, catalogue.Service{ID: fleet.ServiceID(id), Shards: shards, Slots: slots, ColdSlots: cold})
}

func (w *world) list(id, service, zone string, state platform.State) {
	w.listed[id] = platform.Listed{
		Name: id, Kind: platform.KindUpstream, Service: fleet.ServiceID(service),
		Address: id + ":80", Zone: fleet.ZoneID(zone), State: state,
	}
}

func (w *world) join(id, zone, boot string) {
	w.joining[fleet.InstanceID(id)] = Member{ID: fleet.InstanceID(id), Boot: fleet.BootID(boot), Address: id, HTTP: id, Zone: fleet.ZoneID(zone)}
}

func (w *world) out(kind catalogue.OutageKind, name string, out bool) {
	w.cat.OutOfService = slices.DeleteFunc(w.cat.OutOfService, func(o catalogue.Outage) bool { return o.Kind == kind && o.Name == name })
	if out {
		w.cat.OutOfService = append(w.cat.OutOfService, catalogue.Outage{Kind: kind, Name: name})
	}
}

func (w *world) warm(id fleet.UpstreamID, limit fleet.Slots) {
	r := w.reports[id]
	r.Limit, r.Slots = limit, 6
	w.reports[id] = r
}

func (w *world) input() Input {
	in := Input{
		Current: w.current, Catalogue: &w.cat, Learned: w.learned, Reports: map[fleet.UpstreamID]Report{},
		Lost: sortedKeys(w.lost), Leaving: sortedKeys(w.leaving), LastPin: w.pinned, LastSwap: w.swapped,
	}
	for _, id := range sortedKeys(w.listed) {
		in.Listed = append(in.Listed, w.listed[id])
	}
	for _, id := range sortedKeys(w.joining) {
		in.Joining = append(in.Joining, w.joining[id])
	}
	for id, r := range w.reports {
		in.Reports[id] = r
	}
	for _, o := range w.current.Units {
		if len(o.Previous) == 0 {
			continue
		}
		fence := o.Fence
		if !w.granted {
			fence-- // the report of an earlier grant
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

// plan runs the planner, checks the step and takes its result.
func (w *world) plan() (moves []Move, changed bool, err error) {
	in := w.input()
	before := w.current.Encode()
	next, moves, changed := Plan(w.now, in)
	if string(before) != string(w.current.Encode()) {
		return nil, false, fmt.Errorf("Plan changed its input")
	}
	if err := checkStep(in, next, changed); err != nil {
		return nil, false, err
	}
	for _, m := range moves {
		if m.Cause == CausePin {
			w.pinned[m.Unit.Service] = append(w.pinned[m.Unit.Service], w.now)
		}
		if m.Cause == CauseLoad {
			w.swapped[m.Unit.Service] = w.now
		}
	}
	w.current = next
	return moves, changed, nil
}

// checkStep verifies what holds for every plan.
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
			s := next.spans[o.Unit.Service]
			if shard := next.Units[s.shardOf(o.Unit.Pin)]; shard.Fence < cur.NextFence || !slices.Contains(o.Previous, shard.Owner) {
				return fmt.Errorf("pin %s: its shard keeps fence %s, previous %v", o.Unit, shard.Fence, o.Previous)
			}
		}
		delete(old, o.Unit)
	}
	for _, o := range old {
		held := append([]fleet.UpstreamID{o.Owner}, o.Previous...)
		for _, id := range held {
			if id != "" && !granted[id][fleet.Grant{Unit: o.Unit, Fence: o.Fence}] {
				return fmt.Errorf("unit %s dropped while %s holds it", o.Unit, id)
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
	must := slices.Clone(old.Previous)
	if granted[old.Owner][g] {
		must = nil
	}
	if old.Owner != "" && old.Owner != o.Owner {
		must = append(must, old.Owner)
	}
	for _, id := range must {
		if !slices.Contains(o.Previous, id) && !(old.Owner == "" && granted[id][g]) {
			return fmt.Errorf("unit %s forgot %s, which has not released it", o.Unit, id)
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

// settle plans until nothing changes.
func (w *world) settle() error {
	for range 1000 {
		if _, changed, err := w.plan(); err != nil || !changed {
			return err
		}
	}
	return fmt.Errorf("no settled assignment after 1000 plans")
}
