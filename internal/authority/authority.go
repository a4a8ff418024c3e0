// Package authority decides whether this instance may act, until when, and which
// changes are in force everywhere.
//
// An instance knows a pair of revisions that only grows. It may act until T after
// it sent a read that the store answered, or a poll that a majority answered,
// provided that nobody who answered knows more. A change is in force T after
// a majority learned it. Every later poll by a majority then meets a member that
// knows the change, and every earlier poll is older than T.
//
// While the member list changes, both rules need a majority of the old and of
// the new list: two lists that differ by more than one member can have disjoint
// majorities.
//
// The ids of a Table name runs of instances, see assignment.Member.Run. A restarted
// instance has forgotten what its earlier run learned. If its answers counted for
// that run, a majority could act on what a change in force has replaced.
//
// A Table is not safe for concurrent use.
package authority

import (
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Known is the pair of revisions that an instance knows.
type Known struct{ Catalogue, Assignment fleet.Revision }

// Covers reports whether k is at least o in both revisions.
func (k Known) Covers(o Known) bool {
	return k.Catalogue >= o.Catalogue && k.Assignment >= o.Assignment
}

// Max returns the higher revision of each record.
func (k Known) Max(o Known) Known {
	return Known{max(k.Catalogue, o.Catalogue), max(k.Assignment, o.Assignment)}
}

// answer is evidence that whoever answered knew no more than known after sent.
type answer struct {
	sent  time.Time
	known Known
}

// source keeps the newest answer that this instance's knowledge covers, and the
// newest one that counts only once the instance has applied what it names.
type source struct{ valid, pending answer }

func (s *source) add(a answer, known Known) {
	switch {
	case !known.Covers(a.known):
		if a.sent.After(s.pending.sent) {
			s.pending = a
		}
	case a.sent.After(s.valid.sent):
		s.valid = a
	}
}

func (s *source) promote(known Known) {
	if !s.pending.sent.IsZero() && known.Covers(s.pending.known) {
		s.add(s.pending, known)
		s.pending = answer{}
	}
}

// maxSightings bounds the history of a peer. A shorter history only delays the
// verdict that an old revision is in force.
const maxSightings = 16

// sighting says that a peer was first seen to know a pair at a time.
type sighting struct {
	known Known
	at    time.Time
}

type sightings []sighting

func (s *sightings) add(k Known, at time.Time) {
	if n := len(*s); n > 0 {
		k = k.Max((*s)[n-1].known)
		if k == (*s)[n-1].known {
			return
		}
	}
	if len(*s) == maxSightings {
		*s = slices.Delete(*s, 0, 1)
	}
	*s = append(*s, sighting{k, at})
}

func (s sightings) since(k Known) (time.Time, bool) {
	for _, x := range s {
		if x.known.Covers(k) {
			return x.at, true
		}
	}
	return time.Time{}, false
}

type peer struct {
	source
	heard time.Time
	seen  sightings
}

// Table holds what this instance knows about the knowledge of others.
type Table struct {
	self              fleet.InstanceID
	ttl               time.Duration
	members, previous []fleet.InstanceID
	listsAt           time.Time // zero: changed after the last call that told the time
	known, newest     Known     // applied here; heard of anywhere
	inForce           Known
	now               time.Time // latest time told
	store             source
	own               sightings
	peers             map[fleet.InstanceID]*peer
	gone              map[fleet.InstanceID]time.Time // zero as in listsAt
}

// New returns a table without knowledge and without authority.
func New(self fleet.InstanceID, ttl time.Duration) *Table {
	return &Table{self: self, ttl: ttl, peers: map[fleet.InstanceID]*peer{}, gone: map[fleet.InstanceID]time.Time{}}
}

// SetMembers sets the lists of the assignment that Learn reports. It is called
// before the Learn of that assignment. A changed list restarts the wait of InForce.
func (t *Table) SetMembers(members, previous []fleet.InstanceID) {
	if slices.Equal(members, t.members) && slices.Equal(previous, t.previous) {
		return
	}
	t.members, t.previous = slices.Clone(members), slices.Clone(previous)
	t.listsAt = time.Time{}
	for id := range t.peers {
		if !slices.Contains(members, id) && !slices.Contains(previous, id) {
			delete(t.peers, id)
		}
	}
}

// Learn records that this instance has applied k.
func (t *Table) Learn(now time.Time, k Known) {
	t.tell(now)
	t.known = t.known.Max(k)
	t.newest = t.newest.Max(k)
	t.own.add(t.known, now)
	t.store.promote(t.known)
	for _, p := range t.peers {
		p.promote(t.known)
	}
}

// Known returns the pair that this instance has applied.
func (t *Table) Known() Known { return t.known }

// StoreAnswered records that the store answered a read of both records, sent at
// sent, with k.
func (t *Table) StoreAnswered(sent time.Time, k Known) {
	t.newest = t.newest.Max(k)
	t.store.add(answer{sent, k}, t.known)
}

// PeerAnswered records that the peer answered a poll, sent at sent, with k.
func (t *Table) PeerAnswered(sent, now time.Time, id fleet.InstanceID, k Known) {
	t.tell(now)
	t.newest = t.newest.Max(k)
	if id == t.self {
		return
	}
	if at, ok := t.gone[id]; ok && sent.After(at) {
		delete(t.gone, id) // it lives: the list was wrong
	}
	p := t.peers[id]
	if p == nil {
		p = &peer{}
		t.peers[id] = p
	}
	if now.After(p.heard) {
		p.heard = now
	}
	p.add(answer{sent, k}, t.known)
	p.seen.add(k, now)
}

// ConfirmGone replaces the set of members whose departure the platform confirms.
// They act no more, so they count as having learned everything.
func (t *Table) ConfirmGone(ids []fleet.InstanceID) {
	gone := make(map[fleet.InstanceID]time.Time, len(ids))
	for _, id := range ids {
		gone[id] = t.gone[id]
	}
	t.gone = gone
}

// Until returns the end of authority, which may have passed.
func (t *Table) Until() time.Time {
	sent := t.store.valid.sent
	if polled := t.polled(); polled.After(sent) {
		sent = polled
	}
	if sent.IsZero() {
		return time.Time{}
	}
	return sent.Add(t.ttl)
}

// Holds reports whether this instance may act at now.
func (t *Table) Holds(now time.Time) bool {
	t.tell(now)
	return now.Before(t.Until())
}

// Learned reports whether majorities of both lists are known to have learned k.
func (t *Table) Learned(k Known) bool {
	_, ok := t.learnedAt(k)
	return ok
}

// InForce reports whether no instance with authority can act on less than k.
// The wait applies even if every member has learned k: an instance that is not
// a member may still act on what it was told within the last T.
func (t *Table) InForce(now time.Time, k Known) bool {
	t.tell(now)
	if t.inForce.Covers(k) {
		return true
	}
	at, ok := t.learnedAt(k)
	if !ok || now.Sub(at) < t.ttl {
		return false
	}
	t.inForce = t.inForce.Max(k)
	return true
}

// LastHeard returns the time of the peer's latest answer.
func (t *Table) LastHeard(id fleet.InstanceID) (time.Time, bool) {
	if p, ok := t.peers[id]; ok {
		return p.heard, true
	}
	return time.Time{}, false
}

// tell moves the time forward and dates the changes that came without a time.
func (t *Table) tell(now time.Time) {
	if now.After(t.now) {
		t.now = now
	}
	if t.listsAt.IsZero() {
		t.listsAt = t.now
	}
	for id, at := range t.gone {
		if at.IsZero() {
			t.gone[id] = t.now
		}
	}
}

// polled returns the send time of the oldest poll in the newest majorities.
func (t *Table) polled() time.Time {
	sent := majority(t.members, t.sentTo, newestFirst)
	if len(t.previous) > 0 {
		if s := majority(t.previous, t.sentTo, newestFirst); s.Before(sent) {
			sent = s
		}
	}
	return sent
}

func (t *Table) sentTo(id fleet.InstanceID) (time.Time, bool) {
	if id == t.self {
		return t.now, true
	}
	if p, ok := t.peers[id]; ok {
		return p.valid.sent, !p.valid.sent.IsZero()
	}
	return time.Time{}, false
}

// learnedAt returns when majorities of both lists were known to have learned k.
// It denies that while a newer assignment, with other lists, may exist. The time
// is not before this instance learned k: members that were gone when k was written
// do not prove that nobody acts on a read of the store from before.
func (t *Table) learnedAt(k Known) (time.Time, bool) {
	if len(t.members) == 0 || !t.known.Covers(k) || t.newest.Assignment > t.known.Assignment {
		return time.Time{}, false
	}
	at := majority(t.members, t.sawLearn(k), oldestFirst)
	if at.IsZero() {
		return at, false
	}
	if len(t.previous) > 0 {
		before := majority(t.previous, t.sawLearn(k), oldestFirst)
		if before.IsZero() {
			return before, false
		}
		at = latest(at, before)
	}
	if own, ok := t.own.since(k); ok {
		return latest(latest(at, own), t.listsAt), true
	}
	return time.Time{}, false
}

func (t *Table) sawLearn(k Known) func(fleet.InstanceID) (time.Time, bool) {
	return func(id fleet.InstanceID) (time.Time, bool) {
		if id == t.self {
			return t.own.since(k)
		}
		if p, ok := t.peers[id]; ok {
			if at, ok := p.seen.since(k); ok {
				return at, true
			}
		}
		at, ok := t.gone[id]
		return latest(at, t.listsAt), ok
	}
}

func newestFirst(a, b time.Time) int { return b.Compare(a) }
func oldestFirst(a, b time.Time) int { return a.Compare(b) }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// majority returns the time of the last of a majority of ids in the given order,
// or the zero time without a majority.
func majority(ids []fleet.InstanceID, at func(fleet.InstanceID) (time.Time, bool), order func(a, b time.Time) int) time.Time {
	times := make([]time.Time, 0, len(ids))
	for _, id := range ids {
		if x, ok := at(id); ok {
			times = append(times, x)
		}
	}
	n := len(ids)/2 + 1
	if len(ids) == 0 || len(times) < n {
		return time.Time{}
	}
	slices.SortFunc(times, order)
	return times[n-1]
}
