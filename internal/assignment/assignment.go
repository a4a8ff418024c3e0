// Package assignment defines the record that assigns shards and pinned keys to
// upstreams and upstreams to dispatchers, its JSON codec, and the planner that
// computes the next record.
//
// A unit, which is a shard or a pinned key, has at most one owner. Each change of
// owner takes a new fence from the record's counter NextFence and adds the old
// owner to Previous. Previous is cleared only when the new owner's dispatcher
// reports that it has granted the current fence, which it does only after every
// previous owner has released the unit. An upstream remains in the table while
// any unit refers to it as owner or previous owner.
//
// Pinning a key removes it from its shard. The shard's owner becomes the pin's
// previous owner, and the shard gets a new fence. Once the new fence is granted,
// the owner refuses requests for the key that were sent under the old fence.
// Unpinning a key first moves the pin to the owner of its shard. The pin then
// remains in the table without an owner until that upstream has released it.
package assignment

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Assignment is the record stored under platform.KeyAssignment. A published
// Assignment is immutable: Plan returns a new one.
type Assignment struct {
	Members         []Member // sorted by id
	PreviousMembers []Member // the list before the last change, until majorities have learned the change
	Draining        []fleet.InstanceID
	Upstreams       []Upstream  // sorted by id
	Units           []Ownership // by service: first the shards from 0 on, then the pins sorted by key
	NextFence       fleet.Fence

	serviceRanges map[fleet.ServiceID]unitRange
	pinIndex      map[fleet.Unit]int
}

// Member is an instance that counts towards the majorities by which authority is
// decided (see package authority).
type Member struct {
	ID             fleet.InstanceID
	Boot           fleet.BootID
	Address        string // for traffic between instances
	ForwardAddress string // for forwarded requests
	Zone           fleet.ZoneID
}

// RunID returns an id for this run of the instance, made of its id and boot id.
// Majorities count runs, because a restarted instance has lost the revisions that
// its earlier run had learned.
func (m Member) RunID() fleet.InstanceID { return m.ID + "@" + fleet.InstanceID(m.Boot) }

// State is the lifecycle state of an upstream. Only a live upstream is given units.
type State string

// States of an upstream.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Lost    State = "lost"
)

// Upstream is a back end and the dispatcher assigned to it: the one instance that
// sends requests and commands to the upstream.
type Upstream struct {
	ID         fleet.UpstreamID
	Service    fleet.ServiceID
	Address    string
	Zone       fleet.ZoneID
	Dispatcher fleet.InstanceID // empty: none assigned yet
	Fence      fleet.Fence      // dispatcher fence
	State      State
}

// unitRange locates the units of one service in Assignment.Units: its shards are
// [start, pins), its pins are [pins, end).
type unitRange struct{ start, pins, end int }

// Owner returns the ownership that applies to requests for the key: that of its
// pin if the pin has an owner, otherwise that of its shard. It returns false if
// neither has an owner. The shard count is the one with which the service was
// created. The unnamed parameter, the shard count in the catalogue, is ignored,
// because a changed count would move keys between shards without a handover.
func (a *Assignment) Owner(service fleet.ServiceID, key fleet.RoutingKey, _ int) (Ownership, bool) {
	s, ok := a.serviceRanges[service]
	if !ok || s.start == s.pins {
		return Ownership{}, false
	}
	if i, ok := a.pinIndex[fleet.Unit{Service: service, Pin: key}]; ok && a.Units[i].Owner != "" {
		return a.Units[i], true
	}
	u := a.Units[s.start+int(key.Shard(s.pins-s.start))]
	return u, u.Owner != ""
}

// ShardCount returns the number of shards of a service, or 0 if the service is not in
// the record.
func (a *Assignment) ShardCount(service fleet.ServiceID) int {
	s := a.serviceRanges[service]
	return s.pins - s.start
}

// Home returns the instance that holds the token bucket of the limit, chosen by
// rendezvous hashing over the members that are not draining (over all members if
// all are draining). A change of members therefore moves only the buckets of the
// members that changed.
func (a *Assignment) Home(id fleet.LimitID) fleet.InstanceID {
	var best fleet.InstanceID
	var bestHash uint64
	var d xxhash.Digest
	for _, m := range a.Members {
		if slices.Contains(a.Draining, m.ID) && len(a.Draining) < len(a.Members) {
			continue
		}
		d.Reset()
		_, _ = d.WriteString(string(m.ID))
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(string(id))
		if sum := d.Sum64(); best == "" || sum > bestHash {
			best, bestHash = m.ID, sum
		}
	}
	return best
}

// Upstream returns the upstream with the id, and whether the record contains it.
func (a *Assignment) Upstream(id fleet.UpstreamID) (Upstream, bool) {
	i, ok := a.upstreamIndex(id)
	if !ok {
		return Upstream{}, false
	}
	return a.Upstreams[i], true
}

// Equal reports whether both records have the same contents.
func (a *Assignment) Equal(o *Assignment) bool {
	return a.NextFence == o.NextFence && slices.Equal(a.Members, o.Members) &&
		slices.Equal(a.PreviousMembers, o.PreviousMembers) && slices.Equal(a.Draining, o.Draining) &&
		slices.Equal(a.Upstreams, o.Upstreams) && slices.EqualFunc(a.Units, o.Units, Ownership.equal)
}

func (o Ownership) equal(p Ownership) bool {
	return o.Unit == p.Unit && o.Owner == p.Owner && o.Fence == p.Fence && slices.Equal(o.Previous, p.Previous)
}

func (a *Assignment) upstreamIndex(id fleet.UpstreamID) (int, bool) {
	return slices.BinarySearchFunc(a.Upstreams, id, func(u Upstream, id fleet.UpstreamID) int {
		return strings.Compare(string(u.ID), string(id))
	})
}

// buildIndex builds the lookup tables serviceRanges and pinIndex from Units.
func (a *Assignment) buildIndex() {
	a.serviceRanges = map[fleet.ServiceID]unitRange{}
	a.pinIndex = map[fleet.Unit]int{}
	for start := 0; start < len(a.Units); {
		s := unitRange{start: start, pins: start}
		service := a.Units[start].Unit.Service
		for s.pins < len(a.Units) && a.Units[s.pins].Unit.Service == service && a.Units[s.pins].Unit.Pin == "" {
			s.pins++
		}
		for s.end = s.pins; s.end < len(a.Units) && a.Units[s.end].Unit.Service == service; s.end++ {
			a.pinIndex[a.Units[s.end].Unit] = s.end
		}
		a.serviceRanges[service] = s
		start = s.end
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
