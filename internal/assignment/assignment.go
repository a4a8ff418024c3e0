// Package assignment holds the record of who owns what, its codec and the
// planner.
//
// A unit has at most one owner. A change of owner takes a new fence from the one
// counter of the record and adds the old owner to Previous. Previous is emptied
// only when the owner's dispatcher reports the grant of the current fence, which
// it makes only after every previous owner has released the unit. An upstream
// stays in the table while any unit names it.
//
// A key leaves its shard when it is pinned. The pin then names the shard's owner
// as previous owner, and the shard gets a new fence: requests for the key that
// were sent under the old fence are refused from the grant of the new one on.
// When a pin ends, the key goes to the owner of its shard, and the pin stays
// in the table without an owner until that upstream has released it.
package assignment

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Assignment is the record under platform.KeyAssignment. It is not changed once
// it is in use: Plan returns another one.
type Assignment struct {
	Members         []Member // sorted by id
	PreviousMembers []Member // the list before the last change, until that is learned
	Draining        []fleet.InstanceID
	Upstreams       []Upstream  // sorted by id
	Units           []Ownership // by service; the shards from 0 on, then the pins by key
	NextFence       fleet.Fence

	spans map[fleet.ServiceID]span
	pins  map[fleet.Unit]int
}

// Member is an instance whose knowledge counts for authority.
type Member struct {
	ID      fleet.InstanceID
	Boot    fleet.BootID
	Address string // for instances
	HTTP    string // for forwarded requests
	Zone    fleet.ZoneID
}

// Run returns the id that stands for this run of the instance where knowledge
// is counted: a later run does not know what this one has learned.
func (m Member) Run() fleet.InstanceID { return m.ID + "@" + fleet.InstanceID(m.Boot) }

// State says whether an upstream can own units.
type State string

// States of an upstream.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Lost    State = "lost"
)

// Upstream is a back end with the instance that sends it everything.
type Upstream struct {
	ID         fleet.UpstreamID
	Service    fleet.ServiceID
	Address    string
	Zone       fleet.ZoneID
	Dispatcher fleet.InstanceID // empty: none yet
	Fence      fleet.Fence      // of the dispatcher
	State      State
}

// span is the part of Units that belongs to a service.
type span struct{ lo, pins, hi int }

// Owner returns the ownership that a request for the key falls under: that of
// the key's pin, else of its shard. The number of shards is the one that the
// service was created with; a later change in the catalogue would move keys
// between shards without a handover, so it is not followed.
func (a *Assignment) Owner(service fleet.ServiceID, key fleet.RoutingKey, _ int) (Ownership, bool) {
	s, ok := a.spans[service]
	if !ok || s.lo == s.pins {
		return Ownership{}, false
	}
	if i, ok := a.pins[fleet.Unit{Service: service, Pin: key}]; ok && a.Units[i].Owner != "" {
		return a.Units[i], true
	}
	u := a.Units[s.lo+int(key.Shard(s.pins-s.lo))]
	return u, u.Owner != ""
}

// Shards returns the number of shards of a service, or 0.
func (a *Assignment) Shards(service fleet.ServiceID) int {
	s := a.spans[service]
	return s.pins - s.lo
}

// Home returns the instance that keeps the token bucket: the member in service
// with the highest hash of itself and the id. A change of the members moves only
// the buckets of the members that changed.
func (a *Assignment) Home(id fleet.LimitID) fleet.InstanceID {
	var best fleet.InstanceID
	var high uint64
	var d xxhash.Digest
	for _, m := range a.Members {
		if slices.Contains(a.Draining, m.ID) && len(a.Draining) < len(a.Members) {
			continue
		}
		d.Reset()
		_, _ = d.WriteString(string(m.ID))
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(string(id))
		if sum := d.Sum64(); best == "" || sum > high {
			best, high = m.ID, sum
		}
	}
	return best
}

// Upstream returns the upstream with the id.
func (a *Assignment) Upstream(id fleet.UpstreamID) (Upstream, bool) {
	i, ok := a.upstream(id)
	if !ok {
		return Upstream{}, false
	}
	return a.Upstreams[i], true
}

// Equal reports whether the records are the same.
func (a *Assignment) Equal(o *Assignment) bool {
	return a.NextFence == o.NextFence && slices.Equal(a.Members, o.Members) &&
		slices.Equal(a.PreviousMembers, o.PreviousMembers) && slices.Equal(a.Draining, o.Draining) &&
		slices.Equal(a.Upstreams, o.Upstreams) && slices.EqualFunc(a.Units, o.Units, Ownership.equal)
}

func (o Ownership) equal(p Ownership) bool {
	return o.Unit == p.Unit && o.Owner == p.Owner && o.Fence == p.Fence && slices.Equal(o.Previous, p.Previous)
}

func (a *Assignment) upstream(id fleet.UpstreamID) (int, bool) {
	return slices.BinarySearchFunc(a.Upstreams, id, func(u Upstream, id fleet.UpstreamID) int {
		return strings.Compare(string(u.ID), string(id))
	})
}

// index builds the tables that Owner looks into.
func (a *Assignment) index() {
	a.spans = map[fleet.ServiceID]span{}
	a.pins = map[fleet.Unit]int{}
	for lo := 0; lo < len(a.Units); {
		s := span{lo: lo, pins: lo}
		service := a.Units[lo].Unit.Service
		for s.pins < len(a.Units) && a.Units[s.pins].Unit.Service == service && a.Units[s.pins].Unit.Pin == "" {
			s.pins++
		}
		for s.hi = s.pins; s.hi < len(a.Units) && a.Units[s.hi].Unit.Service == service; s.hi++ {
			a.pins[a.Units[s.hi].Unit] = s.hi
		}
		a.spans[service] = s
		lo = s.hi
	}
}

func compareUnits(a, b fleet.Unit) int {
	if c := strings.Compare(string(a.Service), string(b.Service)); c != 0 {
		return c
	}
	if c := strings.Compare(string(a.Pin), string(b.Pin)); c != 0 {
		return c
	}
	return int(a.Shard) - int(b.Shard)
}
