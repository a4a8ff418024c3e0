package instance

import (
	"context"
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/internal/dispatch"
	"github.com/parsleyproxy/parsleyproxy/internal/peer"
	"github.com/parsleyproxy/parsleyproxy/internal/platform"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	pollInterval = 200 * time.Millisecond
	// lostTimeout is three poll intervals.
	lostTimeout = 600 * time.Millisecond
	// detailsInterval is how often instances other than the planner ask a peer for
	// details, from which they learn how far upstreams are warmed up.
	detailsInterval = time.Second
	// bootstrapTimeout is how long a starting instance looks for live members
	// before it plans alone. It is longer than the time after which a member is
	// declared lost.
	bootstrapTimeout = 1500 * time.Millisecond
	// joinRequestTTL is how long a poll counts as a request to join.
	joinRequestTTL = time.Second
	listInterval   = time.Second
)

// pollRecord holds the latest poll answers of a member.
type pollRecord struct {
	listedAt         time.Time // when the member was first in the assignment
	answeredAt       time.Time // time of the last answer; zero if none
	answer           peer.PollAnswer
	detailedAnswer   peer.PollAnswer // last answer that contained details
	detailedAnswerAt time.Time       // time of detailedAnswer; zero if none
}

// age returns the time since the last answer or, if there was none, since the
// member was first in the assignment.
func (r *pollRecord) age(now time.Time) time.Duration {
	if r.answeredAt.IsZero() {
		return now.Sub(r.listedAt)
	}
	return now.Sub(r.answeredAt)
}

// memberTable holds what this instance knows about the members and about
// instances that ask to join. It does no I/O.
type memberTable struct {
	self         fleet.InstanceID
	boot         fleet.BootID
	polls        map[fleet.InstanceID]*pollRecord
	boots        map[fleet.InstanceID]fleet.BootID
	joinRequests map[fleet.InstanceID]joinRequest
	everListed   map[fleet.InstanceID]bool // instances that have ever been in the platform's list
	delisted     map[fleet.InstanceID]bool // instances that were in the platform's list and are not now
	restarted    map[fleet.InstanceID]bool // members that answered with another boot id than in the assignment
}

type joinRequest struct {
	member   assignment.Member
	polledAt time.Time
}

func newMemberTable(self fleet.InstanceID, boot fleet.BootID) *memberTable {
	return &memberTable{
		self: self, boot: boot, polls: map[fleet.InstanceID]*pollRecord{}, boots: map[fleet.InstanceID]fleet.BootID{},
		joinRequests: map[fleet.InstanceID]joinRequest{}, everListed: map[fleet.InstanceID]bool{},
		delisted: map[fleet.InstanceID]bool{}, restarted: map[fleet.InstanceID]bool{},
	}
}

// update replaces the member list. A member with a new boot id counts as a new
// member.
func (t *memberTable) update(now time.Time, members []assignment.Member) {
	boots := make(map[fleet.InstanceID]fleet.BootID, len(members))
	for _, m := range members {
		boots[m.ID] = m.Boot
		if t.boots[m.ID] != m.Boot || t.polls[m.ID] == nil {
			t.polls[m.ID] = &pollRecord{listedAt: now}
			delete(t.restarted, m.ID)
			delete(t.delisted, m.ID)
		}
		if j, ok := t.joinRequests[m.ID]; ok && j.member.Boot == m.Boot {
			delete(t.joinRequests, m.ID)
		}
	}
	for id := range t.polls {
		if _, ok := boots[id]; !ok {
			delete(t.polls, id)
			delete(t.restarted, id)
		}
	}
	t.boots = boots
}

// recordAnswer records a poll answer and reports whether it came from the process
// that the assignment names. An answer with another boot id proves that this
// process has ended, since both listen on the same address.
func (t *memberTable) recordAnswer(now time.Time, a peer.PollAnswer) bool {
	boot, ok := t.boots[a.From]
	if !ok {
		return false
	}
	if boot != a.Boot {
		t.restarted[a.From] = true
		return false
	}
	record := t.polls[a.From]
	record.answeredAt, record.answer = now, a
	if a.Details {
		record.detailedAnswerAt, record.detailedAnswer = now, a
	}
	return true
}

// recordPoll records a poll as a request to join if the polling process is not a
// member.
func (t *memberTable) recordPoll(now time.Time, m peer.PollRequest) {
	if m.Phase != peer.Serving || t.boots[m.From.ID] == m.From.Boot {
		return
	}
	t.joinRequests[m.From.ID] = joinRequest{member: m.From, polledAt: now}
}

// hasEnded reports whether the process of an instance with the given boot id has
// certainly ended.
func (t *memberTable) hasEnded(id fleet.InstanceID, boot fleet.BootID) bool {
	return t.delisted[id] || t.restarted[id] || t.boots[id] != "" && t.boots[id] != boot
}

// updateList replaces the platform's instance list.
func (t *memberTable) updateList(listed []platform.Listed) {
	current := make(map[fleet.InstanceID]bool)
	for _, l := range listed {
		if l.Kind == platform.KindInstance {
			current[fleet.InstanceID(l.Name)] = true
			t.everListed[fleet.InstanceID(l.Name)] = true
		}
	}
	for id := range t.everListed {
		t.delisted[id] = !current[id]
	}
}

// endedMembers returns the members whose process has certainly ended.
func (t *memberTable) endedMembers() []fleet.InstanceID {
	var out []fleet.InstanceID
	for id, boot := range t.boots {
		if id == t.self && boot != t.boot || id != t.self && (t.delisted[id] || t.restarted[id]) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// answerAges returns the age of the last answer of each other member.
func (t *memberTable) answerAges(now time.Time) map[fleet.InstanceID]time.Duration {
	out := make(map[fleet.InstanceID]time.Duration, len(t.polls))
	for id, s := range t.polls {
		if id != t.self {
			out[id] = s.age(now)
		}
	}
	return out
}

// alive reports whether the member answered a poll of this instance recently.
func (t *memberTable) alive(now time.Time, id fleet.InstanceID) bool {
	s := t.polls[id]
	return s != nil && !s.answeredAt.IsZero() && now.Sub(s.answeredAt) <= lostTimeout
}

// aliveCount returns the number of live members, including this instance.
func (t *memberTable) aliveCount(now time.Time) int {
	count := 0
	for id := range t.boots {
		if id == t.self && t.boots[id] == t.boot || t.alive(now, id) {
			count++
		}
	}
	return count
}

// lost returns the members that a majority cannot reach. Members whose process has
// certainly ended do not count towards the majority and are lost themselves.
func (t *memberTable) lost(now time.Time) []fleet.InstanceID {
	departed := t.endedMembers()
	voters := len(t.boots) - len(departed)
	var out []fleet.InstanceID
	for id := range t.boots {
		if id == t.self {
			continue
		}
		if slices.Contains(departed, id) || 2*t.countUnreachable(now, id) > voters {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// countUnreachable returns the number of members, including this instance, that
// have had no answer from id within lostTimeout.
func (t *memberTable) countUnreachable(now time.Time, id fleet.InstanceID) int {
	n := 0
	if s := t.polls[id]; s != nil && s.age(now) > lostTimeout {
		n++
	}
	for other, s := range t.polls {
		if other == t.self || other == id || !t.alive(now, other) {
			continue
		}
		if age, ok := s.detailedAnswer.AnswerAges[id]; ok && now.Sub(s.detailedAnswerAt) <= lostTimeout && age+now.Sub(s.detailedAnswerAt) > lostTimeout {
			n++
		}
	}
	return n
}

// leaving returns the live members that are draining, to be removed from the list.
func (t *memberTable) leaving(now time.Time) []fleet.InstanceID {
	var out []fleet.InstanceID
	for id, s := range t.polls {
		if t.alive(now, id) && s.answer.Phase == peer.Draining {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// joining returns the instances that recently asked to become members, by id.
func (t *memberTable) joining(now time.Time) []assignment.Member {
	var out []assignment.Member
	for id, j := range t.joinRequests {
		if now.Sub(j.polledAt) > joinRequestTTL {
			delete(t.joinRequests, id)
			continue
		}
		out = append(out, j.member)
	}
	slices.SortFunc(out, func(a, b assignment.Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// shouldPlan reports whether this instance is the planner: the live member with
// the lowest id. An instance that is not a member plans if there are no members,
// or if it has found no live member within bootstrapTimeout.
func (t *memberTable) shouldPlan(now, started time.Time) bool {
	member := t.boots[t.self] == t.boot
	for id := range t.boots {
		if id == t.self || !t.alive(now, id) {
			continue
		}
		if !member || id < t.self {
			return false
		}
	}
	return member || len(t.boots) == 0 || now.Sub(started) > bootstrapTimeout
}

// runPolls polls the other members periodically, and immediately when triggered.
func (n *Instance) runPolls(ctx context.Context) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		for _, addr := range n.pollTargets() {
			go n.poll(ctx, addr, false)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-n.triggerPolls:
		}
	}
}

// pollTargets returns the peer addresses of the other members and, while this
// instance is not a member, also those of the seeds.
func (n *Instance) pollTargets() []string {
	s := n.snapshot()
	var out []string
	member := false
	for _, m := range s.assignment.Members {
		if m.ID == n.self.ID {
			member = m.Boot == n.self.Boot
			continue
		}
		out = append(out, m.Address)
	}
	if member {
		return out
	}
	for _, addr := range n.cfg.Seeds {
		if addr != n.self.Address && !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	return out
}

// requestPlannerPoll asks the planner to poll this instance immediately if a
// dispatch event requires a decision of the planner. The caller holds mu.
func (n *Instance) requestPlannerPoll(now time.Time) {
	if !n.plannerPollDue {
		return
	}
	n.plannerPollDue = false
	if n.members.shouldPlan(now, n.started) {
		return
	}
	for _, m := range n.snapshot().assignment.Members {
		if n.members.alive(now, m.ID) {
			go n.poll(n.ctx, m.Address, true)
			return
		}
	}
}

// poll polls one peer, unless an earlier poll of it is still in progress. With
// pollBack the peer is asked to poll this instance in turn.
func (n *Instance) poll(ctx context.Context, addr string, pollBack bool) {
	if _, busy := n.activePolls.LoadOrStore(addr, true); busy {
		return
	}
	defer n.activePolls.Delete(addr)
	n.mu.Lock()
	sent := time.Now()
	q := peer.PollRequest{From: n.self, Phase: n.phase, Known: n.authority.Applied(), PollBack: pollBack}
	q.Details = n.members.shouldPlan(sent, n.started) || sent.Sub(n.detailsPolledAt[addr]) >= detailsInterval
	if q.Details {
		n.detailsPolledAt[addr] = sent
	}
	n.mu.Unlock()
	a, err := n.peers.Poll(ctx, addr, q)
	n.metrics.ControlMessage("poll")
	if err != nil {
		return
	}
	n.recordPollAnswer(sent, time.Now(), a)
	if !q.Known.Covers(a.Known) {
		n.fetchRecords(ctx, addr)
	}
}

func (n *Instance) recordPollAnswer(sent, now time.Time, a peer.PollAnswer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hasAuthority(now)
	if !n.members.recordAnswer(now, a) {
		n.confirmEnded()
		return
	}
	for id, r := range a.Reports {
		n.knownLimits[id] = dispatch.KnownLimit{Boot: r.Boot, Limit: r.Limit}
	}
	n.authority.PeerAnswered(sent, now, runID(a.From, a.Boot), a.Known)
}

// confirmEnded tells the authority table which current and previous members have
// certainly ended. The caller holds mu.
func (n *Instance) confirmEnded() {
	var ended []fleet.InstanceID
	for _, id := range n.members.endedMembers() {
		ended = append(ended, runID(id, n.members.boots[id]))
	}
	for _, m := range n.snapshot().assignment.PreviousMembers {
		if n.members.boots[m.ID] != m.Boot && n.members.hasEnded(m.ID, m.Boot) {
			ended = append(ended, m.RunID())
		}
	}
	n.authority.ConfirmEnded(ended)
}

func runID(id fleet.InstanceID, boot fleet.BootID) fleet.InstanceID {
	return assignment.Member{ID: id, Boot: boot}.RunID()
}

// runList reads the platform's instance list periodically.
func (n *Instance) runList(ctx context.Context) error {
	tick := time.NewTicker(listInterval)
	defer tick.Stop()
	for {
		callCtx, cancel := context.WithTimeout(ctx, listInterval)
		n.metrics.StoreCall("list")
		listed, err := n.list.Fetch(callCtx)
		cancel()
		if err != nil {
			n.log.Debug("instance list could not be read", "error", err)
		} else {
			n.mu.Lock()
			n.platformList = listed
			n.members.updateList(listed)
			n.confirmEnded()
			n.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}
