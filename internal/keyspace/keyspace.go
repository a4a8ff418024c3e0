// Package keyspace decides which upstream holds which keys of a sharded service,
// and carries the decision out.
//
// Keys are numbers from 0 to 65,535. A piece is a span of keys with one holder and
// one fencing token. The Owner is the state of the instance that leads: it plans
// pieces by load, and produces the calls to upstreams that grant, renew and
// release them. It has no clock and does no input or output; its caller carries
// out calls and saves records.
//
// Invariants:
//   - no upstream is granted a key before the record that says so is stored
//   - a key is granted to another upstream only after its holder has released it,
//     or after every grant that the holder may have got has run out
//   - if a grant to the holder may still be on its way, from this leader or an
//     earlier one, the holder gets a higher fencing token before the release, so
//     that the late grant is refused
package keyspace

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Key is what a request to a sharded service is routed by.
type Key uint16

const (
	maxKey = 1<<16 - 1
	// Keys is the number of keys of a service.
	Keys = maxKey + 1
)

// Span is the keys from From to To, both included.
type Span struct{ From, To Key }

// Held is a span with its holder, who is empty while the span moves.
type Held struct {
	Span
	Holder fleet.UpstreamID
}

// MapVersion orders maps: by the term of the leader, then by its count.
type MapVersion struct{ Term, Seq uint64 }

// Less reports whether v is older than o.
func (v MapVersion) Less(o MapVersion) bool {
	return v.Term < o.Term || v.Term == o.Term && v.Seq < o.Seq
}

// Map tells the holder of every key. It never changes.
type Map struct {
	Version  MapVersion
	Services map[fleet.ServiceID][]Held // in order of keys
}

// Holder returns the upstream that holds k, or "" if none does now.
func (m *Map) Holder(service fleet.ServiceID, k Key) fleet.UpstreamID {
	spans := m.Services[service]
	i, found := slices.BinarySearchFunc(spans, k, func(h Held, k Key) int { return cmp.Compare(h.To, k) })
	if !found && i == len(spans) {
		return ""
	}
	return spans[i].Holder // spans have no gaps
}

// Diff returns the spans of m whose holder is another than in old.
func (m *Map) Diff(old *Map) map[fleet.ServiceID][]Held {
	diff := make(map[fleet.ServiceID][]Held)
	for id, spans := range m.Services {
		before := old.Services[id]
		j := 0
		for _, h := range spans {
			for from := h.From; ; {
				for j < len(before) && before[j].To < from {
					j++
				}
				part := Held{Span: Span{from, h.To}, Holder: h.Holder}
				same := false
				if j < len(before) {
					part.To = min(h.To, before[j].To)
					same = before[j].Holder == h.Holder
				}
				if !same {
					diff[id] = append(diff[id], part)
				}
				if part.To == h.To {
					break
				}
				from = part.To + 1
			}
		}
	}
	return diff
}

// With returns m with other holders for the spans of diff.
func (m *Map) With(v MapVersion, diff map[fleet.ServiceID][]Held) *Map {
	out := &Map{Version: v, Services: make(map[fleet.ServiceID][]Held, len(m.Services))}
	for id, spans := range m.Services {
		out.Services[id] = spans
	}
	for id, changes := range diff {
		var spans []Held
		rest := out.Services[id]
		for _, c := range changes {
			for len(rest) > 0 && rest[0].To < c.From {
				spans = appendHeld(spans, rest[0])
				rest = rest[1:]
			}
			if len(rest) > 0 && rest[0].From < c.From {
				spans = appendHeld(spans, Held{Span{rest[0].From, c.From - 1}, rest[0].Holder})
			}
			spans = appendHeld(spans, c)
			for len(rest) > 0 && rest[0].To <= c.To {
				rest = rest[1:]
			}
			if len(rest) > 0 && rest[0].From <= c.To {
				rest = append([]Held{{Span{c.To + 1, rest[0].To}, rest[0].Holder}}, rest[1:]...)
			}
		}
		for _, h := range rest {
			spans = appendHeld(spans, h)
		}
		out.Services[id] = spans
	}
	return out
}

// appendHeld appends h, or extends the last span if it has the same holder.
func appendHeld(spans []Held, h Held) []Held {
	if n := len(spans); n > 0 && spans[n-1].Holder == h.Holder {
		spans[n-1].To = h.To
		return spans
	}
	return append(spans, h)
}

// Timing is how long grants last.
type Timing struct {
	Hold  time.Duration // asked for with each grant
	Renew time.Duration // between two renewals
	Retry time.Duration // after a call that failed
}

// clockError is how much longer an upstream with a slow clock may count a hold.
const clockError = 1.02

// arrivalMargin is how much later than its caller gave up a call may still arrive.
const arrivalMargin = 200 * time.Millisecond

const (
	// unreachableAfter is the number of calls without success in a row, and
	// unreachableTime the time since the last success, after which the pieces of an
	// upstream are given to others as soon as their hold has run out.
	unreachableAfter = 1
	unreachableTime  = 1000 * time.Millisecond
	// unreachableFor is how long an upstream is no candidate after a failed call.
	unreachableFor = 3 * time.Second
	// refusedAfter is the number of refused grants after which a piece is planned anew.
	refusedAfter = 3
)

// staleLeader is how long an earlier leader may go on renewing grants after another
// was elected: until it hears that others reach the store.
const staleLeader = 1500 * time.Millisecond

// maxBumps is the number of fencing tokens reserved for the holder of a piece that
// moves. Each try needs a higher one, since the last may still be on its way.
const maxBumps = 3

// contact is how calls to an upstream ended lately.
type contact struct {
	failures   int // in a row
	lastDone   time.Time
	lastFailed time.Time
}

func (c contact) unreachable(now time.Time) bool {
	return c.failures >= unreachableAfter && now.Sub(c.lastDone) > unreachableTime && now.Sub(c.lastFailed) < unreachableFor
}

type state int

const (
	granting state = iota // waits for the first answer of its holder
	held
	bumping   // gives the holder a higher fencing token before the release
	releasing // waits for the release
	waiting   // waits until no earlier holder can hold it
)

// target is where a piece goes.
type target struct {
	holder fleet.UpstreamID
	boot   fleet.BootID
	bump   fleet.Fence // the next one for the present holder
	bumps  int         // tried so far
	fence  fleet.Fence // for the new one
}

// piece is a span with one holder.
type piece struct {
	Span
	state  state
	holder fleet.UpstreamID
	boot   fleet.BootID
	fence  fleet.Fence
	next   *target // where it goes once the record is stored
	stored bool    // the record names the holder, or the next one if there is one

	handover   string
	calling    bool
	due        time.Time // of the next call
	maxHold    time.Time // the latest end of any grant that the holder may have
	uncertain  time.Time // the latest end of a grant without an answer
	failures   int       // of renewals in a row
	everServed bool
	barred     time.Time // nobody else is granted it before; set after a takeover amid a move
}

// Upstream is a candidate for holding keys.
type Upstream struct {
	ID       fleet.UpstreamID
	Boot     fleet.BootID
	Usable   bool // may get requests
	Cold     bool
	Capacity float64 // requests a second
	Speed    float64 // relative to its service's mean; 0 is unknown
}

// service is the pieces of one service.
type service struct {
	id        fleet.ServiceID
	pieces    []*piece // in order of keys, without gaps
	upstreams map[fleet.UpstreamID]Upstream
	order     []fleet.UpstreamID // ids of upstreams, sorted
	first     time.Time          // when a candidate was first seen
	latest    time.Time          // when a new one was seen last
	decayed   time.Time          // when the heat faded last
	heat      *Heat
}

// Owner is the leader's state of all pieces.
type Owner struct {
	timing    Timing
	term      uint64
	instances []fleet.Peer // of the fleet
	settled   time.Time    // from then on no call of an earlier leader is on its way
	seq       uint64
	nextFence fleet.Fence
	services  map[fleet.ServiceID]*service
	contacts  map[fleet.UpstreamID]contact
	moves     []Move
	changed   bool      // the map changed
	dirty     bool      // the record changed, and calls wait until it is stored
	outdated  time.Time // since when the record is more cautious than it need be
}

// NewOwner returns the state of a leader that has just taken over from the one that
// stored rec.
func NewOwner(now time.Time, term uint64, t Timing, rec Record) *Owner {
	o := &Owner{timing: t, term: term, instances: rec.Instances, nextFence: max(rec.NextFence, 1), services: make(map[fleet.ServiceID]*service), contacts: make(map[fleet.UpstreamID]contact), changed: true}
	latest := o.latestHold(now.Add(staleLeader))
	o.settled = latest
	for id, pieces := range rec.Services {
		s := &service{id: id, heat: NewHeat(), first: now}
		for _, r := range pieces {
			p := &piece{Span: r.Span, holder: r.Holder, boot: r.Boot, fence: r.Fence, stored: true, state: held, due: now, maxHold: latest, uncertain: latest, everServed: true}
			if r.Moving {
				// The former holder may still hold the keys.
				p.state, p.due, p.barred, p.everServed = waiting, latest, latest, false
			}
			s.pieces = append(s.pieces, p)
		}
		o.services[id] = s
	}
	return o
}

// SetInstances tells the instances of the fleet, which the next record lists. If now
// is set, there is one at once.
func (o *Owner) SetInstances(list []fleet.Peer, now bool) {
	o.instances = list
	o.dirty = o.dirty || now
}

func (o *Owner) latestHold(now time.Time) time.Time {
	return now.Add(time.Duration(float64(o.timing.Hold)*clockError) + arrivalMargin)
}

// Map returns the map if it changed since the last call.
func (o *Owner) Map() (*Map, bool) {
	if !o.changed {
		return nil, false
	}
	o.changed = false
	o.seq++
	m := &Map{Version: MapVersion{Term: o.term, Seq: o.seq}, Services: make(map[fleet.ServiceID][]Held)}
	for id, s := range o.services {
		var spans []Held
		for _, p := range s.pieces {
			h := Held{Span: p.Span}
			if p.state == held {
				h.Holder = p.holder
			}
			spans = appendHeld(spans, h)
		}
		m.Services[id] = spans
	}
	return m, true
}

// Heat returns the load counter of a service, or nil.
func (o *Owner) Heat(id fleet.ServiceID) *Heat {
	if s := o.services[id]; s != nil {
		return s.heat
	}
	return nil
}

// Stats describes the pieces of a service for logs and metrics.
type Stats struct{ Pieces, Held, Moving int }

// Stats returns the number of pieces by state.
func (o *Owner) Stats() Stats {
	var st Stats
	for _, s := range o.services {
		for _, p := range s.pieces {
			st.Pieces++
			if p.state == held {
				st.Held++
			}
			if p.next != nil || p.state != held {
				st.Moving++
			}
		}
	}
	return st
}
