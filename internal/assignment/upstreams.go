package assignment

import (
	"slices"
	"strings"

	"github.com/parsleyproxy/parsleyproxy/internal/platform"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// updateUpstreams updates the states of the upstreams in the table and adds newly
// listed ones.
func (p *planner) updateUpstreams() {
	for i := range p.next.Upstreams {
		u := &p.next.Upstreams[i]
		if state, cause := p.upstreamState(u); state != u.State {
			p.addChange(cause, u.ID, "upstream %s was %s, is %s", u.ID, u.State, state)
			u.State = state
		}
	}
	var added []Upstream
	for _, id := range sortedKeys(p.listed) {
		if _, ok := p.next.upstreamIndex(id); ok {
			continue
		}
		l := p.listed[id]
		u := Upstream{ID: id, Service: l.Service, Address: l.Address, Zone: l.Zone, State: Live}
		if l.State == platform.StateLeaving {
			u.State = Leaving
		}
		added = append(added, u)
		p.addChange(CauseUpstreamJoined, id, "upstream %s is %s", id, u.State)
	}
	p.next.Upstreams = append(p.next.Upstreams, added...)
	slices.SortFunc(p.next.Upstreams, func(a, b Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

// upstreamState returns the state that follows from the platform's list and the
// dispatcher's report, and the cause of a change. The list may be out of date, so
// an upstream that is missing from it stays as long as its dispatcher can reach it.
// An upstream listed with another address, service or zone is a new process under
// the same id: the old process hands over its units and is removed from the table
// before the new one is added.
func (p *planner) upstreamState(u *Upstream) (State, Cause) {
	l, listed := p.listed[u.ID]
	r, reported := p.input.Reports[u.ID]
	switch {
	case reported && r.Lost, u.State == Lost && !reported:
		return Lost, CauseUpstreamLost
	case listed && (l.State == platform.StateLeaving || isReplaced(u, l)):
		return Leaving, CauseUpstreamLeaving
	case !listed && u.State != Lost:
		return u.State, ""
	default:
		return Live, CauseUpstreamJoined
	}
}

// isReplaced reports whether the listed upstream is another process than u.
func isReplaced(u *Upstream, l platform.Listed) bool {
	return u.Address != l.Address || u.Service != l.Service || u.Zone != l.Zone
}

// removeUpstreams removes upstreams that no unit refers to and that either are
// listed as another process, or are not listed and are lost or have no dispatcher.
func (p *planner) removeUpstreams() {
	removable := map[fleet.UpstreamID]bool{}
	for i := range p.next.Upstreams {
		u := &p.next.Upstreams[i]
		if l, listed := p.listed[u.ID]; listed && isReplaced(u, l) || !listed && (u.State == Lost || u.Dispatcher == "") {
			removable[u.ID] = true
		}
	}
	for i := 0; len(removable) > 0 && i < len(p.next.Units); i++ {
		delete(removable, p.next.Units[i].Owner)
		for _, id := range p.next.Units[i].Previous {
			delete(removable, id)
		}
	}
	for _, id := range sortedKeys(removable) {
		p.addChange(CauseUpstreamGone, id, "upstream %s", id)
	}
	p.next.Upstreams = slices.DeleteFunc(p.next.Upstreams, func(u Upstream) bool { return removable[u.ID] })
}

// buildUpstreamInfos builds the planner's data about the upstreams.
func (p *planner) buildUpstreamInfos() {
	p.infos = make([]upstreamInfo, len(p.next.Upstreams))
	p.infoByID = make(map[fleet.UpstreamID]*upstreamInfo, len(p.infos))
	p.infosByService = map[fleet.ServiceID][]*upstreamInfo{}
	for i := range p.infos {
		u := &p.infos[i]
		u.Upstream = &p.next.Upstreams[i]
		report, ok := p.input.Reports[u.ID]
		u.report, u.expectedLoad = report, report.Load
		u.warmShare = p.warmShare(u.Service, report, ok)
		u.unusableCause = p.unusableCause(u.Upstream)
		u.usable = u.unusableCause == ""
		p.infoByID[u.ID] = u
		p.infosByService[u.Service] = append(p.infosByService[u.Service], u)
	}
}

func (p *planner) unusableCause(u *Upstream) Cause {
	_, upstreamOut := p.input.Catalogue.Out(catalogue.OutageUpstream, string(u.ID))
	_, zoneOut := p.input.Catalogue.Out(catalogue.OutageZone, string(u.Zone))
	switch {
	case u.State == Lost:
		return CauseUpstreamLost
	case upstreamOut:
		return CauseUpstreamOut
	case zoneOut:
		return CauseZoneOut
	case u.State == Leaving:
		return CauseUpstreamLeaving
	case u.Dispatcher == "":
		return CauseDispatcherLost
	}
	return ""
}

// warmShare returns the share of its slots that the upstream can use now, above 0
// and at most 1 (warm). An upstream without a report counts as cold.
func (p *planner) warmShare(id fleet.ServiceID, r Report, reported bool) float64 {
	limit, slots := r.Limit, r.Slots
	if !reported || slots <= 0 {
		for _, s := range p.input.Catalogue.Services {
			if s.ID == id {
				limit, slots = s.ColdSlots, s.Slots
			}
		}
	}
	if slots <= 0 {
		return 1
	}
	return float64(max(1, min(limit, slots))) / float64(slots)
}
