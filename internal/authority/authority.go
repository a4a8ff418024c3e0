// Package authority decides whether this instance may act on the records that it
// knows, until when, and which changes are in force: no instance with authority can
// still act on earlier revisions of the records.
//
// An instance knows a pair of revisions, which never decrease. It has authority,
// that is, it may act on them, for one TTL after it sent a read that the store
// answered or polls that a majority of the members answered. An answer that names a
// higher revision counts only once this instance has applied it. A change is in
// force one TTL after a majority has learned it: by then, any majority that answers
// polls includes a member that knows the change, and the authority from all earlier
// polls has expired.
//
// While the member list changes, both rules require a majority of the old list and
// one of the new list, because lists that differ by more than one member can have
// disjoint majorities.
//
// The ids in a Table identify runs of instances, see assignment.Member.RunID. A
// restarted instance has lost the revisions that its earlier run had learned. If its
// answers counted for that run, a majority could act on revisions that a change in
// force has replaced.
//
// A Table is not safe for concurrent use.
package authority

import (
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Revisions holds the revisions of the catalogue and of the assignment.
type Revisions struct{ Catalogue, Assignment fleet.Revision }

// Covers reports whether both revisions of r are at least those of o.
func (r Revisions) Covers(o Revisions) bool {
	return r.Catalogue >= o.Catalogue && r.Assignment >= o.Assignment
}

// Max returns, for each record, the higher revision of r and o.
func (r Revisions) Max(o Revisions) Revisions {
	return Revisions{max(r.Catalogue, o.Catalogue), max(r.Assignment, o.Assignment)}
}

// answer is an answer to a read or poll sent at the time sent. It shows that at some
// time after sent the sender of the answer knew no higher revisions.
type answer struct {
	sent      time.Time
	revisions Revisions
}

// answers holds the latest answers of the store or of a peer. valid is the latest
// one whose revisions this instance has applied; pending is the latest one with
// higher revisions, which becomes valid once the instance has applied them.
type answers struct{ valid, pending answer }

func (s *answers) add(a answer, applied Revisions) {
	switch {
	case !applied.Covers(a.revisions):
		if a.sent.After(s.pending.sent) {
			s.pending = a
		}
	case a.sent.After(s.valid.sent):
		s.valid = a
	}
}

func (s *answers) promotePending(applied Revisions) {
	if !s.pending.sent.IsZero() && applied.Covers(s.pending.revisions) {
		s.add(s.pending, applied)
		s.pending = answer{}
	}
}

// maxObservations limits the length of a history. Dropping old observations can
// only delay the decision that an old revision is in force.
const maxObservations = 16

// observation records when an instance was first seen to know a pair of revisions.
type observation struct {
	revisions Revisions
	at        time.Time
}

// history is a list of observations in ascending order of revisions.
type history []observation

func (s *history) add(r Revisions, at time.Time) {
	if n := len(*s); n > 0 {
		r = r.Max((*s)[n-1].revisions)
		if r == (*s)[n-1].revisions {
			return
		}
	}
	if len(*s) == maxObservations {
		*s = slices.Delete(*s, 0, 1)
	}
	*s = append(*s, observation{r, at})
}

// firstAtLeast returns the time of the first observation that covers r.
func (s history) firstAtLeast(r Revisions) (time.Time, bool) {
	for _, x := range s {
		if x.revisions.Covers(r) {
			return x.at, true
		}
	}
	return time.Time{}, false
}

type peer struct {
	answers
	lastHeard time.Time
	history   history
}

// Table holds the evidence from which this instance decides about its authority and
// about changes in force: the answers of the store and of its peers.
type Table struct {
	self                 fleet.InstanceID
	ttl                  time.Duration
	members, previous    []fleet.InstanceID
	listsChangedAt       time.Time // zero: changed since the last call of advance
	applied, highestSeen Revisions // applied by this instance; seen in any answer
	inForce              Revisions
	now                  time.Time // latest time passed to a method
	store                answers
	ownHistory           history
	peers                map[fleet.InstanceID]*peer
	ended                map[fleet.InstanceID]time.Time // time of confirmation; zero: since the last call of advance
}

// New returns a table without revisions and without authority. self is the id of this
// run of the instance.
func New(self fleet.InstanceID, ttl time.Duration) *Table {
	return &Table{self: self, ttl: ttl, peers: map[fleet.InstanceID]*peer{}, ended: map[fleet.InstanceID]time.Time{}}
}

// SetMembers sets the present and previous member list of an assignment. The caller
// must call it before it calls Learn for that assignment. A changed list restarts
// the wait of one TTL in InForce.
func (t *Table) SetMembers(members, previous []fleet.InstanceID) {
	if slices.Equal(members, t.members) && slices.Equal(previous, t.previous) {
		return
	}
	t.members, t.previous = slices.Clone(members), slices.Clone(previous)
	t.listsChangedAt = time.Time{}
	for id := range t.peers {
		if !slices.Contains(members, id) && !slices.Contains(previous, id) {
			delete(t.peers, id)
		}
	}
}

// Learn records that this instance has applied the revisions r.
func (t *Table) Learn(now time.Time, r Revisions) {
	t.advance(now)
	t.applied = t.applied.Max(r)
	t.highestSeen = t.highestSeen.Max(r)
	t.ownHistory.add(t.applied, now)
	t.store.promotePending(t.applied)
	for _, p := range t.peers {
		p.promotePending(t.applied)
	}
}

// Applied returns the revisions that this instance has applied.
func (t *Table) Applied() Revisions { return t.applied }

// StoreAnswered records that the store answered a read of both records, sent at the
// time sent, with the revisions r.
func (t *Table) StoreAnswered(sent time.Time, r Revisions) {
	t.highestSeen = t.highestSeen.Max(r)
	t.store.add(answer{sent, r}, t.applied)
}

// PeerAnswered records that the peer answered a poll, sent at the time sent, with
// the revisions r.
func (t *Table) PeerAnswered(sent, now time.Time, id fleet.InstanceID, r Revisions) {
	t.advance(now)
	t.highestSeen = t.highestSeen.Max(r)
	if id == t.self {
		return
	}
	if at, ok := t.ended[id]; ok && sent.After(at) {
		delete(t.ended, id) // the peer is alive: the confirmation was wrong
	}
	p := t.peers[id]
	if p == nil {
		p = &peer{}
		t.peers[id] = p
	}
	if now.After(p.lastHeard) {
		p.lastHeard = now
	}
	p.add(answer{sent, r}, t.applied)
	p.history.add(r, now)
}

// ConfirmEnded replaces the set of members that, according to the platform, have
// ended. Ended members cannot act, so they count as having learned all changes.
func (t *Table) ConfirmEnded(ids []fleet.InstanceID) {
	ended := make(map[fleet.InstanceID]time.Time, len(ids))
	for _, id := range ids {
		ended[id] = t.ended[id]
	}
	t.ended = ended
}

// Until returns the time at which the authority ends or has ended, or the zero time
// if there never was any.
func (t *Table) Until() time.Time {
	sent := t.store.valid.sent
	if polled := t.lastMajorityPoll(); polled.After(sent) {
		sent = polled
	}
	if sent.IsZero() {
		return time.Time{}
	}
	return sent.Add(t.ttl)
}

// Holds reports whether this instance has authority at the time now.
func (t *Table) Holds(now time.Time) bool {
	t.advance(now)
	return now.Before(t.Until())
}

// Learned reports whether majorities of both member lists are known to have learned
// r.
func (t *Table) Learned(r Revisions) bool {
	_, ok := t.learnedAt(r)
	return ok
}

// InForce reports whether no instance with authority can act on revisions lower than
// r. The wait of one TTL applies even if every member has learned r, because an
// instance that is not a member may still act on answers from the last TTL.
func (t *Table) InForce(now time.Time, r Revisions) bool {
	t.advance(now)
	if t.inForce.Covers(r) {
		return true
	}
	at, ok := t.learnedAt(r)
	if !ok || now.Sub(at) < t.ttl {
		return false
	}
	t.inForce = t.inForce.Max(r)
	return true
}

// LastHeard returns the time at which the peer's latest answer arrived.
func (t *Table) LastHeard(id fleet.InstanceID) (time.Time, bool) {
	if p, ok := t.peers[id]; ok {
		return p.lastHeard, true
	}
	return time.Time{}, false
}

// advance moves the table's time forward to now and assigns it to changes that were
// recorded without a time.
func (t *Table) advance(now time.Time) {
	if now.After(t.now) {
		t.now = now
	}
	if t.listsChangedAt.IsZero() {
		t.listsChangedAt = t.now
	}
	for id, at := range t.ended {
		if at.IsZero() {
			t.ended[id] = t.now
		}
	}
}

// lastMajorityPoll returns the send time of the oldest poll among the most recent
// answered polls that make up majorities of both lists.
func (t *Table) lastMajorityPoll() time.Time {
	oldest := majorityTime(t.members, t.lastAnsweredPoll, newestFirst)
	if len(t.previous) > 0 {
		if s := majorityTime(t.previous, t.lastAnsweredPoll, newestFirst); s.Before(oldest) {
			oldest = s
		}
	}
	return oldest
}

// lastAnsweredPoll returns the send time of the latest valid poll of the member. This
// instance counts as polled now.
func (t *Table) lastAnsweredPoll(id fleet.InstanceID) (time.Time, bool) {
	if id == t.self {
		return t.now, true
	}
	if p, ok := t.peers[id]; ok {
		return p.valid.sent, !p.valid.sent.IsZero()
	}
	return time.Time{}, false
}

// learnedAt returns the time since which majorities of both lists are known to have
// learned r. It returns false while an answer has named a newer assignment, which
// may have other member lists. The time is never before this instance learned r:
// ended members count as having learned r even if they ended before r was written,
// which does not rule out that an instance still acts on an earlier store read.
func (t *Table) learnedAt(r Revisions) (time.Time, bool) {
	if len(t.members) == 0 || !t.applied.Covers(r) || t.highestSeen.Assignment > t.applied.Assignment {
		return time.Time{}, false
	}
	at := majorityTime(t.members, t.learnTime(r), oldestFirst)
	if at.IsZero() {
		return at, false
	}
	if len(t.previous) > 0 {
		previousAt := majorityTime(t.previous, t.learnTime(r), oldestFirst)
		if previousAt.IsZero() {
			return previousAt, false
		}
		at = latest(at, previousAt)
	}
	if ownAt, ok := t.ownHistory.firstAtLeast(r); ok {
		return latest(latest(at, ownAt), t.listsChangedAt), true
	}
	return time.Time{}, false
}

// learnTime returns a function that returns the time since which a member is known to
// have learned r. An ended member counts from the later of the confirmation of its
// end and the last change of the member lists.
func (t *Table) learnTime(r Revisions) func(fleet.InstanceID) (time.Time, bool) {
	return func(id fleet.InstanceID) (time.Time, bool) {
		if id == t.self {
			return t.ownHistory.firstAtLeast(r)
		}
		if p, ok := t.peers[id]; ok {
			if at, ok := p.history.firstAtLeast(r); ok {
				return at, true
			}
		}
		at, ok := t.ended[id]
		return latest(at, t.listsChangedAt), ok
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

// majorityTime sorts the times of the ids by order and returns the one with which a
// majority is reached, or the zero time if fewer ids have a time.
func majorityTime(ids []fleet.InstanceID, timeOf func(fleet.InstanceID) (time.Time, bool), order func(a, b time.Time) int) time.Time {
	times := make([]time.Time, 0, len(ids))
	for _, id := range ids {
		if x, ok := timeOf(id); ok {
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
