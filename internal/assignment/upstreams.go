package assignment

import (
	"slices"
	"strings"

	"github.com/parsleyproxy/parsleyproxy/internal/platform"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// changeUpstreams adds listed upstreams and updates the states of the others.
func (p *plan) changeUpstreams() {
	for i := range p.next.Upstreams {
		u := &p.next.Upstreams[i]
		if state, cause := p.state(u); state != u.State {
			p.note(cause, u.ID, "upstream %s was %s, is %s", u.ID, u.State, state)
			u.State = state
		}
	}
	var added []Upstream
	for _, id := range sortedKeys(p.listed) {
		if _, ok := p.next.upstream(id); ok {
			continue
		}
		l := p.listed[id]
		u := Upstream{ID: id, Service: l.Service, Address: l.Address, Zone: l.Zone, State: Live}
		if l.State == platform.StateLeaving {
			u.State = Leaving
		}
		added = append(added, u)
		p.note(CauseUpstreamJoined, id, "upstream %s is %s", id, u.State)
	}
	p.next.Upstreams = append(p.next.Upstreams, added...)
	slices.SortFunc(p.next.Upstreams, func(a, b Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

// state returns the state that the list and the dispatcher's report give. The
// list lags: absence from it does not end an upstream that its dispatcher still
// reaches. An upstream listed under another address or service is another
// process; the old one is emptied and dropped before the new one is used.
func (p *plan) state(u *Upstream) (State, Cause) {
	l, listed := p.listed[u.ID]
	r, reported := p.in.Reports[u.ID]
	switch {
	case reported && r.Lost, u.State == Lost && !reported:
		return Lost, CauseUpstreamLost
	case listed && (l.State == platform.StateLeaving || replaced(u, l)):
		return Leaving, CauseUpstreamLeaving
	case !listed && u.State != Lost:
		return u.State, ""
	default:
		return Live, CauseUpstreamJoined
	}
}

func replaced(u *Upstream, l platform.Listed) bool {
	return u.Address != l.Address || u.Service != l.Service || u.Zone != l.Zone
}

// dropUpstreams removes the upstreams that no unit names and that are gone: lost
// and not listed, or listed as another process.
func (p *plan) dropUpstreams() {
	gone := map[fleet.UpstreamID]bool{}
	for i := range p.next.Upstreams {
		u := &p.next.Upstreams[i]
		if l, listed := p.listed[u.ID]; listed && replaced(u, l) || !listed && (u.State == Lost || u.Dispatcher == "") {
			gone[u.ID] = true
		}
	}
	for i := 0; len(gone) > 0 && i < len(p.next.Units); i++ {
		delete(gone, p.next.Units[i].Owner)
		for _, id := range p.next.Units[i].Previous {
			delete(gone, id)
		}
	}
	for _, id := range sortedKeys(gone) {
		p.note(CauseUpstreamGone, id, "upstream %s", id)
	}
	p.next.Upstreams = slices.DeleteFunc(p.next.Upstreams, func(u Upstream) bool { return gone[u.ID] })
}

// fillRows builds the side table of the upstreams.
func (p *plan) fillRows() {
	p.rows = make([]row, len(p.next.Upstreams))
	p.byID = make(map[fleet.UpstreamID]*row, len(p.rows))
	p.services = map[fleet.ServiceID][]*row{}
	for i := range p.rows {
		r := &p.rows[i]
		r.Upstream = &p.next.Upstreams[i]
		report, ok := p.in.Reports[r.ID]
		r.report, r.load = report, report.Load
		r.warmth = p.warmth(r.Service, report, ok)
		r.why = p.unusable(r.Upstream)
		r.usable = r.why == ""
		p.byID[r.ID] = r
		p.services[r.Service] = append(p.services[r.Service], r)
	}
}

func (p *plan) unusable(u *Upstream) Cause {
	_, out := p.in.Catalogue.Out(catalogue.OutageUpstream, string(u.ID))
	_, zone := p.in.Catalogue.Out(catalogue.OutageZone, string(u.Zone))
	switch {
	case u.State == Lost:
		return CauseUpstreamLost
	case out:
		return CauseUpstreamOut
	case zone:
		return CauseZoneOut
	case u.State == Leaving:
		return CauseUpstreamLeaving
	case u.Dispatcher == "":
		return CauseDispatcherLost
	}
	return ""
}

// warmth returns the share of its slots that the upstream can use now. Without
// a report an upstream counts as cold.
func (p *plan) warmth(id fleet.ServiceID, r Report, reported bool) float64 {
	limit, slots := r.Limit, r.Slots
	if !reported || slots <= 0 {
		for _, s := range p.in.Catalogue.Services {
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
