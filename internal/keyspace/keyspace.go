// Package keyspace assigns the keys of sharded services to upstreams and produces the
// calls that transfer keys between upstreams.
//
// Keys are numbers from 0 to 65,535. A shard is a span of keys with one holder and
// one fencing token. Coordinator is the state of the leading instance: it assigns shards
// by load, and produces the calls to upstreams that grant, renew and release them. It
// reads no clock and does no I/O; its caller sends the calls and stores the records.
//
// Invariants:
//   - no key is granted to an upstream before the record of that assignment is stored
//   - a key is granted to another upstream only after its holder has released it,
//     or after every grant that the holder may have received has expired
//   - if a grant to the holder may still be in flight, from this leader or an
//     earlier one, the holder is given a higher fencing token before the release, so
//     that it refuses the late grant
//   - until no earlier leader goes on, a holder's grants are renewed only as they were recorded.
//     Keys move to another upstream, or to another life of the holder, only once the grants
//     of all earlier leaders have expired as well: a holder that starts again remembers no
//     fencing token, and would take the keys from an earlier leader
//   - a record that was written before the store was restored from a copy says nothing
//     about holders: a leader without better knowledge grants no key until all grants
//     have expired, and its fencing tokens are higher than all of earlier eras
package keyspace

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Key is the routing key of a request to a sharded service.
type Key uint16

const (
	maxKey = 1<<16 - 1
	// Keys is the number of keys of a service.
	Keys = maxKey + 1
)

// Span is a range of keys. It includes From and To.
type Span struct{ From, To Key }

// HeldSpan is a span with its holder. The holder is empty while the span moves.
type HeldSpan struct {
	Span
	Holder fleet.UpstreamID
}

// MapVersion orders maps by the term of the leader that made them, then by the
// sequence number within the term.
type MapVersion struct {
	Term fleet.Revision // revision of the leader's key in the store
	Seq  uint64
}

// Less reports whether v is older than o.
func (v MapVersion) Less(o MapVersion) bool {
	return v.Term < o.Term || v.Term == o.Term && v.Seq < o.Seq
}

// Map contains the holder of every key. It is immutable.
type Map struct {
	Version  MapVersion
	Services map[fleet.ServiceID][]HeldSpan // in order of keys
}

// Holder returns the upstream that holds k, or "" if no upstream holds it.
func (m *Map) Holder(service fleet.ServiceID, k Key) fleet.UpstreamID {
	spans := m.Services[service]
	i, found := slices.BinarySearchFunc(spans, k, func(h HeldSpan, k Key) int { return cmp.Compare(h.To, k) })
	if !found && i == len(spans) {
		return ""
	}
	return spans[i].Holder // spans have no gaps
}

// Diff returns the spans of m whose holder differs from that in old.
func (m *Map) Diff(old *Map) map[fleet.ServiceID][]HeldSpan {
	diff := make(map[fleet.ServiceID][]HeldSpan)
	for id, spans := range m.Services {
		before := old.Services[id]
		j := 0
		for _, h := range spans {
			for from := h.From; ; {
				for j < len(before) && before[j].To < from {
					j++
				}
				part := HeldSpan{Span: Span{from, h.To}, Holder: h.Holder}
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

// With returns a copy of m with version v and the holders of diff for its spans.
func (m *Map) With(v MapVersion, diff map[fleet.ServiceID][]HeldSpan) *Map {
	out := &Map{Version: v, Services: make(map[fleet.ServiceID][]HeldSpan, len(m.Services))}
	for id, spans := range m.Services {
		out.Services[id] = spans
	}
	for id, changes := range diff {
		var spans []HeldSpan
		rest := out.Services[id]
		for _, c := range changes {
			for len(rest) > 0 && rest[0].To < c.From {
				spans = appendHeld(spans, rest[0])
				rest = rest[1:]
			}
			if len(rest) > 0 && rest[0].From < c.From {
				spans = appendHeld(spans, HeldSpan{Span{rest[0].From, c.From - 1}, rest[0].Holder})
			}
			spans = appendHeld(spans, c)
			for len(rest) > 0 && rest[0].To <= c.To {
				rest = rest[1:]
			}
			if len(rest) > 0 && rest[0].From <= c.To {
				rest = append([]HeldSpan{{Span{c.To + 1, rest[0].To}, rest[0].Holder}}, rest[1:]...)
			}
		}
		for _, h := range rest {
			spans = appendHeld(spans, h)
		}
		out.Services[id] = spans
	}
	return out
}

// appendHeld appends h, or extends the last span if both have the same holder.
func appendHeld(spans []HeldSpan, h HeldSpan) []HeldSpan {
	if n := len(spans); n > 0 && spans[n-1].Holder == h.Holder {
		spans[n-1].To = h.To
		return spans
	}
	return append(spans, h)
}

// Timing contains the durations that apply to grants.
type Timing struct {
	Hold  time.Duration // validity that a grant requests, unless SetHold states a longer one
	Renew time.Duration // interval between renewals
	Retry time.Duration // delay after a failed call
	// UnknownHold is the longest validity of grants that a record of an earlier era may
	// lack.
	UnknownHold time.Duration
	// FormerLead is the longest time after the election for which earlier leaders may go on,
	// unless SetFormerEnd states a shorter one.
	FormerLead time.Duration
}

// clockDriftFactor is the factor by which a grant may last longer than its hold time
// at an upstream whose clock is slow.
const clockDriftFactor = 1.02

// maxArrivalDelay is how long after its timeout a call may still reach the upstream.
const maxArrivalDelay = 200 * time.Millisecond

const (
	// unreachableFailures is the number of consecutive failed calls, and
	// unreachableSilence the time since the last success, after which an upstream counts
	// as unreachable. Its shards go to other upstreams as soon as their grants expire.
	unreachableFailures = 1
	unreachableSilence  = 1000 * time.Millisecond
	// unreachableRetryTime is the time after the last failed call from which on an
	// unreachable upstream is a candidate for keys again.
	unreachableRetryTime = 3 * time.Second
	// maxGrantFailures is the number of consecutive failed grants of a shard after which
	// it is assigned again.
	maxGrantFailures = 3
)

// staleLeaderTime is how long after the end of an earlier leader, or the election of this one
// if that is later, calls that the earlier leader has decided on may still be sent.
const staleLeaderTime = 1500 * time.Millisecond

// openRecordDelay is the time after an election for which no record is stored as long as earlier
// leaders may go on, since it would have to state that. Usually their end is known before.
const openRecordDelay = 1500 * time.Millisecond

// restoredLeaderTime is the additional time for which a leader may continue if the store
// is restored from a copy that does not contain its election: its lease was still valid,
// or it tries to be elected again.
const restoredLeaderTime = 1500 * time.Millisecond

// maxFenceRaises is the number of fencing tokens that a move reserves for the present
// holder. Each attempt needs a higher token, since the previous grant may still be in
// flight.
const maxFenceRaises = 3

// reachability contains the recent outcomes of calls to an upstream.
type reachability struct {
	failures   int // consecutive
	lastDone   time.Time
	lastFailed time.Time
}

func (r reachability) unreachable(now time.Time) bool {
	return r.failures >= unreachableFailures && now.Sub(r.lastDone) > unreachableSilence && now.Sub(r.lastFailed) < unreachableRetryTime
}

type shardState int

const (
	stateGranting     shardState = iota // the holder has not yet confirmed its first grant
	stateHeld                           // the holder has confirmed a grant
	stateRaisingFence                   // the holder is given a higher fencing token before the release
	stateReleasing                      // the holder has not yet confirmed the release
	stateWaiting                        // an earlier holder may still hold the keys
)

// transfer is the planned move of a shard to another holder.
type transfer struct {
	holder      fleet.UpstreamID
	boot        fleet.BootID
	raisedFence fleet.Fence // the next higher fencing token for the present holder
	fenceRaises int         // failed grants of a higher fencing token
	fence       fleet.Fence // for the new holder
}

// shard is a span of keys with one holder.
type shard struct {
	Span
	state    shardState
	holder   fleet.UpstreamID
	boot     fleet.BootID
	fence    fleet.Fence
	next     *transfer // nil unless a move is planned; starts once the record is stored
	recorded bool      // the stored record contains the next holder, or the holder if next is nil

	handover           string    // from the previous holder, for the first grant
	callPending        bool      // a call was returned by Calls and has not ended
	nextCall           time.Time // when the next call is due
	latestHoldEnd      time.Time // latest expiry of any grant that the holder may have
	unconfirmedHoldEnd time.Time // latest expiry of a grant without an answer
	failures           int       // consecutive failed grants
	refused            bool      // the holder has seen a higher fencing token than fence
	everGranted        bool      // the holder has confirmed a grant
	inherited          bool      // the grants of earlier leaders are not yet part of latestHoldEnd, unconfirmedHoldEnd and blockedUntil
	surging, rising    bool      // its load has risen suddenly, or may have
	movedAt            time.Time // when the last move was planned, or ended; zero if there was none
	blockedUntil       time.Time // no grant before then, since an earlier holder may hold the keys; set if the leader changed during a move
}

// Upstream is a candidate for holding keys.
type Upstream struct {
	ID       fleet.UpstreamID
	Boot     fleet.BootID
	Usable   bool    // may be sent requests
	Cold     bool    // recently started, so that it serves little
	Capacity float64 // requests per second
	Speed    float64 // relative to the mean of the service; 0 if unknown
}

// service contains the shards and candidates of one service.
type service struct {
	id         fleet.ServiceID
	shards     []*shard // in order of keys, without gaps
	upstreams  map[fleet.UpstreamID]Upstream
	sortedIDs  []fleet.UpstreamID // keys of upstreams, in order
	firstSeen  time.Time          // when the first candidate was listed
	lastJoined time.Time          // when a new candidate was last listed
	lastDecay  time.Time          // when keyLoad was last decayed
	keyLoad    *LoadCounter
	hotKeys    []KeyShare
	surgeSince time.Time // when some load began to rise suddenly; zero if none does

	hold          time.Duration // validity that grants are to request
	recordedHold  time.Duration // longest validity that the stored record states
	inheritedHold time.Duration // longest validity of the grants of earlier leaders
	savedHold     time.Duration // longest validity in the last record that Save returned
}

// Coordinator is the leader's assignment of all shards to upstreams.
type Coordinator struct {
	timing          Timing
	term            fleet.Revision
	instances       []fleet.Peer // of the fleet
	electedAt       time.Time
	formerEnd       time.Time     // no earlier leader goes on after this time
	inheriting      bool          // formerEnd has not passed
	savedFormerLead bool          // FormerLead of the last record that Save returned
	oldCallsEnd     time.Time     // no call of an earlier leader is in flight after this time
	unknownHoldsEnd time.Time     // no upstream holds keys by a grant of an earlier leader after this time; zero if the record lists these grants
	longestHold     time.Duration // longest validity in the record of the earlier leader
	formerEra       fleet.Era     // of the record of the earlier leader
	outdatedRecord  bool          // that record is from an earlier era than the election
	savedEra        fleet.Era     // of the last record that Save returned
	mapSeq          uint64
	nextFence       fleet.Fence
	services        map[fleet.ServiceID]*service
	reachability    map[fleet.UpstreamID]reachability
	moves           []Move
	mapChanged      bool      // since the last call of Map
	recordDirty     bool      // calls wait until the changed record is stored
	overstatedSince time.Time // when the record began to list holds that have ended; zero if it lists none
}

// NewCoordinator returns the state of a newly elected leader. rec is the record that the
// previous leader stored.
func NewCoordinator(now time.Time, term fleet.Revision, t Timing, rec Record) *Coordinator {
	co := &Coordinator{timing: t, term: term, instances: rec.Instances, nextFence: max(rec.NextFence, fleet.FirstFence(term.Era())), services: make(map[fleet.ServiceID]*service), reachability: make(map[fleet.UpstreamID]reachability), mapChanged: true}
	longest := t.Hold
	for _, hold := range rec.Holds {
		longest = max(longest, hold)
	}
	co.electedAt, co.formerEnd, co.inheriting, co.longestHold = now, now.Add(t.FormerLead), true, longest
	co.formerEra, co.savedEra, co.savedFormerLead = rec.Era, rec.Era, rec.FormerLead
	co.outdatedRecord = rec.Era != term.Era()
	co.recordDirty = co.outdatedRecord
	co.setFormerCallsEnd()
	for id, shards := range rec.Services {
		s := co.newService(id)
		s.firstSeen, s.recordedHold = now, max(t.Hold, rec.Holds[id])
		s.savedHold, s.inheritedHold = s.recordedHold, s.recordedHold
		latest := co.formerHoldsEnd(s.inheritedHold)
		for _, r := range shards {
			if co.outdatedRecord {
				s.shards = append(s.shards, &shard{
					Span: r.Span, holder: r.Holder, boot: r.Boot, fence: co.allocateFence(), state: stateGranting,
					nextCall: co.unknownHoldsEnd, blockedUntil: co.unknownHoldsEnd, inherited: true,
				})
				continue
			}
			sh := &shard{Span: r.Span, holder: r.Holder, boot: r.Boot, fence: r.Fence, recorded: true, state: stateHeld, nextCall: now, everGranted: true, inherited: true}
			if r.Moving {
				// The holder before r.Holder may still hold the keys.
				sh.state, sh.nextCall, sh.blockedUntil, sh.everGranted = stateWaiting, latest, latest, false
			}
			s.shards = append(s.shards, sh)
		}
		co.services[id] = s
	}
	co.inherit(now)
	return co
}

// SetFormerEnd states a time after which no earlier leader goes on. It has no effect if an
// earlier time is known.
func (co *Coordinator) SetFormerEnd(end time.Time) {
	if co.inheriting && end.Before(co.formerEnd) {
		co.formerEnd = end
		co.setFormerCallsEnd()
	}
}

// formerHoldsEnd returns the latest expiry of a grant with the given validity from an earlier
// leader.
func (co *Coordinator) formerHoldsEnd(hold time.Duration) time.Time {
	return latestExpiry(laterTime(co.formerEnd, co.electedAt).Add(staleLeaderTime), hold)
}

// setFormerCallsEnd sets what follows from formerEnd.
func (co *Coordinator) setFormerCallsEnd() {
	co.oldCallsEnd = co.formerHoldsEnd(co.longestHold)
	if co.outdatedRecord {
		co.oldCallsEnd = co.formerHoldsEnd(max(co.longestHold, co.timing.UnknownHold)).Add(restoredLeaderTime)
		co.unknownHoldsEnd = co.oldCallsEnd
	}
}

// inherit takes the grants of earlier leaders into account once it is known when the last of
// them has expired. Before, no key moves.
func (co *Coordinator) inherit(now time.Time) {
	if !co.inheriting || now.Before(co.formerEnd) {
		return
	}
	co.inheriting = false
	for _, s := range co.services {
		for _, sh := range s.shards {
			if !sh.inherited {
				continue
			}
			sh.inherited = false
			end := co.formerHoldsEnd(s.inheritedHold)
			switch {
			case sh.blockedUntil.IsZero():
				sh.latestHoldEnd, sh.unconfirmedHoldEnd = laterTime(sh.latestHoldEnd, end), laterTime(sh.unconfirmedHoldEnd, end)
			case co.outdatedRecord:
				sh.blockedUntil, sh.nextCall = co.unknownHoldsEnd, co.unknownHoldsEnd
			default:
				sh.blockedUntil, sh.nextCall = end, end
				sh.latestHoldEnd, sh.unconfirmedHoldEnd = end, end
			}
		}
	}
}

// Reelected continues the state of a leader that was elected again after the store was
// restored from a copy. What it knows is newer than any record in that store.
func (co *Coordinator) Reelected(term fleet.Revision) {
	co.term = term
	co.nextFence = max(co.nextFence, fleet.FirstFence(term.Era()))
	co.recordDirty, co.mapChanged = true, true
	for _, s := range co.services {
		for _, sh := range s.shards {
			sh.recorded = false
		}
	}
}

// SetInstances sets the instances of the fleet, which the next record lists. If now is
// true, the next Save returns a record even if nothing else has changed.
func (co *Coordinator) SetInstances(list []fleet.Peer, now bool) {
	co.instances = list
	co.recordDirty = co.recordDirty || now
}

// latestExpiry returns the latest expiry of a grant with the given validity whose call has
// ended by now without an answer.
func latestExpiry(now time.Time, hold time.Duration) time.Time {
	return now.Add(time.Duration(float64(hold)*clockDriftFactor) + maxArrivalDelay)
}

func (co *Coordinator) newService(id fleet.ServiceID) *service {
	return &service{id: id, keyLoad: NewLoadCounter(), hold: co.timing.Hold, recordedHold: co.timing.Hold, savedHold: co.timing.Hold}
}

// SetHold sets the validity that the grants of a service request, if it is longer than
// Timing.Hold. It takes effect once a record that states it is stored, since the next
// leader has to wait for these grants.
func (co *Coordinator) SetHold(id fleet.ServiceID, hold time.Duration) {
	s := co.services[id]
	if s == nil {
		s = co.newService(id)
		co.services[id] = s
	}
	s.hold = max(hold, co.timing.Hold)
	co.recordDirty = co.recordDirty || s.hold > s.savedHold
}

// grantHold returns the validity that a grant may request now.
func (s *service) grantHold() time.Duration { return min(s.hold, s.recordedHold) }

// Map returns the map and true if it has changed since the last call.
func (co *Coordinator) Map() (*Map, bool) {
	if !co.mapChanged {
		return nil, false
	}
	co.mapChanged = false
	co.mapSeq++
	m := &Map{Version: MapVersion{Term: co.term, Seq: co.mapSeq}, Services: make(map[fleet.ServiceID][]HeldSpan)}
	for id, s := range co.services {
		var spans []HeldSpan
		for _, sh := range s.shards {
			h := HeldSpan{Span: sh.Span}
			if sh.state == stateHeld {
				h.Holder = sh.holder
			}
			spans = appendHeld(spans, h)
		}
		m.Services[id] = spans
	}
	return m, true
}

// LoadCounter returns the load counter of a service, or nil if the service is unknown.
func (co *Coordinator) LoadCounter(id fleet.ServiceID) *LoadCounter {
	if s := co.services[id]; s != nil {
		return s.keyLoad
	}
	return nil
}

// Stats contains the numbers of shards of all services: in total, with a confirmed
// holder, and in a move or without a confirmed holder.
type Stats struct{ Shards, Held, Moving int }

// Stats counts the shards of all services by state.
func (co *Coordinator) Stats() Stats {
	var st Stats
	for _, s := range co.services {
		for _, sh := range s.shards {
			st.Shards++
			if sh.state == stateHeld {
				st.Held++
			}
			if sh.next != nil || sh.state != stateHeld {
				st.Moving++
			}
		}
	}
	return st
}
