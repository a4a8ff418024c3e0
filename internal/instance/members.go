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
	// lostAfter is three missed polls.
	lostAfter = 600 * time.Millisecond
	// detailsInterval is how often instances other than the planner ask for
	// details, from which they learn how warm upstreams are.
	detailsInterval = time.Second
	// joinAlone is how long a starting instance looks for live members before it
	// plans by itself; it exceeds the time in which a member is declared lost.
	joinAlone    = 1500 * time.Millisecond
	joinerFresh  = time.Second
	listInterval = time.Second
)

// sighting is the last answer of a member.
type sighting struct {
	since     time.Time // when the member was first listed
	at        time.Time // of the last answer; zero if none
	answer    peer.PollAnswer
	details   peer.PollAnswer // last answer with details
	detailsAt time.Time       // zero if none
}

// age returns the time since the member last answered or was first listed.
func (s *sighting) age(now time.Time) time.Duration {
	if s.at.IsZero() {
		return now.Sub(s.since)
	}
	return now.Sub(s.at)
}

// memberTable holds what this instance sees of the members and of instances that
// want to join. It does no I/O.
type memberTable struct {
	self    fleet.InstanceID
	boot    fleet.BootID
	seen    map[fleet.InstanceID]*sighting
	boots   map[fleet.InstanceID]fleet.BootID
	joiners map[fleet.InstanceID]joiner
	listed  map[fleet.InstanceID]bool // named by the platform's list at some time
	gone    map[fleet.InstanceID]bool // absent from the list now, after having been on it
	reborn  map[fleet.InstanceID]bool // answered under another boot id than listed
}

type joiner struct {
	member assignment.Member
	at     time.Time
}

func newMemberTable(self fleet.InstanceID, boot fleet.BootID) *memberTable {
	return &memberTable{
		self: self, boot: boot, seen: map[fleet.InstanceID]*sighting{}, boots: map[fleet.InstanceID]fleet.BootID{},
		joiners: map[fleet.InstanceID]joiner{}, listed: map[fleet.InstanceID]bool{},
		gone: map[fleet.InstanceID]bool{}, reborn: map[fleet.InstanceID]bool{},
	}
}

// update takes over a new member list. A member under a new boot id is a new
// member.
func (t *memberTable) update(now time.Time, members []assignment.Member) {
	boots := make(map[fleet.InstanceID]fleet.BootID, len(members))
	for _, m := range members {
		boots[m.ID] = m.Boot
		if t.boots[m.ID] != m.Boot || t.seen[m.ID] == nil {
			t.seen[m.ID] = &sighting{since: now}
			delete(t.reborn, m.ID)
			delete(t.gone, m.ID)
		}
		if j, ok := t.joiners[m.ID]; ok && j.member.Boot == m.Boot {
			delete(t.joiners, m.ID)
		}
	}
	for id := range t.seen {
		if _, ok := boots[id]; !ok {
			delete(t.seen, id)
			delete(t.reborn, id)
		}
	}
	t.boots = boots
}

// answered records a poll answer. It reports whether the answer is the listed
// member's. An answer under another boot id proves that the listed process has
// ended, since both listen on the same address.
func (t *memberTable) answered(now time.Time, a peer.PollAnswer) bool {
	boot, ok := t.boots[a.From]
	if !ok {
		return false
	}
	if boot != a.Boot {
		t.reborn[a.From] = true
		return false
	}
	s := t.seen[a.From]
	s.at, s.answer = now, a
	if a.Details {
		s.detailsAt, s.details = now, a
	}
	return true
}

// asked records a poll of an instance that is not listed under its boot id.
func (t *memberTable) asked(now time.Time, m peer.PollRequest) {
	if m.Phase != peer.Serving || t.boots[m.From.ID] == m.From.Boot {
		return
	}
	t.joiners[m.From.ID] = joiner{member: m.From, at: now}
}

// ended reports whether the run of a member under the boot id has certainly
// ended.
func (t *memberTable) ended(id fleet.InstanceID, boot fleet.BootID) bool {
	return t.gone[id] || t.reborn[id] || t.boots[id] != "" && t.boots[id] != boot
}

// list takes over the platform's list.
func (t *memberTable) list(listed []platform.Listed) {
	now := make(map[fleet.InstanceID]bool)
	for _, l := range listed {
		if l.Kind == platform.KindInstance {
			now[fleet.InstanceID(l.Name)] = true
			t.listed[fleet.InstanceID(l.Name)] = true
		}
	}
	for id := range t.listed {
		t.gone[id] = !now[id]
	}
}

// departed returns the members whose process has certainly ended.
func (t *memberTable) departed() []fleet.InstanceID {
	var out []fleet.InstanceID
	for id, boot := range t.boots {
		if id == t.self && boot != t.boot || id != t.self && (t.gone[id] || t.reborn[id]) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// heard returns the age of each member's last answer.
func (t *memberTable) heard(now time.Time) map[fleet.InstanceID]time.Duration {
	out := make(map[fleet.InstanceID]time.Duration, len(t.seen))
	for id, s := range t.seen {
		if id != t.self {
			out[id] = s.age(now)
		}
	}
	return out
}

// alive reports whether the member answered this instance recently.
func (t *memberTable) alive(now time.Time, id fleet.InstanceID) bool {
	s := t.seen[id]
	return s != nil && !s.at.IsZero() && now.Sub(s.at) <= lostAfter
}

// heardCount counts the live members, this one included.
func (t *memberTable) heardCount(now time.Time) int {
	count := 0
	for id := range t.boots {
		if id == t.self && t.boots[id] == t.boot || t.alive(now, id) {
			count++
		}
	}
	return count
}

// lost returns the members that a majority has not heard. Members that have
// certainly ended do not count in the majority, and are lost themselves.
func (t *memberTable) lost(now time.Time) []fleet.InstanceID {
	departed := t.departed()
	voters := len(t.boots) - len(departed)
	var out []fleet.InstanceID
	for id := range t.boots {
		if id == t.self {
			continue
		}
		if slices.Contains(departed, id) || 2*t.unheardBy(now, id) > voters {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// unheardBy counts the members, this one included, that have not heard id.
func (t *memberTable) unheardBy(now time.Time, id fleet.InstanceID) int {
	n := 0
	if s := t.seen[id]; s != nil && s.age(now) > lostAfter {
		n++
	}
	for other, s := range t.seen {
		if other == t.self || other == id || !t.alive(now, other) {
			continue
		}
		if age, ok := s.details.Heard[id]; ok && now.Sub(s.detailsAt) <= lostAfter && age+now.Sub(s.detailsAt) > lostAfter {
			n++
		}
	}
	return n
}

// leaving returns the live members that ask to be removed.
func (t *memberTable) leaving(now time.Time) []fleet.InstanceID {
	var out []fleet.InstanceID
	for id, s := range t.seen {
		if t.alive(now, id) && s.answer.Phase == peer.Draining {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// joining returns the instances that recently asked to become members.
func (t *memberTable) joining(now time.Time) []assignment.Member {
	var out []assignment.Member
	for id, j := range t.joiners {
		if now.Sub(j.at) > joinerFresh {
			delete(t.joiners, id)
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

// planner reports whether this instance should plan: it is the lowest live
// member, or no member lives.
func (t *memberTable) planner(now, started time.Time) bool {
	member := t.boots[t.self] == t.boot
	for id := range t.boots {
		if id == t.self || !t.alive(now, id) {
			continue
		}
		if !member || id < t.self {
			return false
		}
	}
	return member || len(t.boots) == 0 || now.Sub(started) > joinAlone
}

// runPolls polls every other member at a fixed interval, and at once when poked.
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
		case <-n.pokePolls:
		}
	}
}

// pollTargets returns the peer addresses of the other members, and the seeds
// while this instance is no member.
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

// tellPlanner makes the planner poll this instance at once if something happened
// that the planner acts on. The caller holds mu.
func (n *Instance) tellPlanner(now time.Time) {
	if !n.news {
		return
	}
	n.news = false
	if n.members.planner(now, n.started) {
		return
	}
	for _, m := range n.snapshot().assignment.Members {
		if n.members.alive(now, m.ID) {
			go n.poll(n.ctx, m.Address, true)
			return
		}
	}
}

// poll asks one peer, unless the last poll of it has not ended.
func (n *Instance) poll(ctx context.Context, addr string, pollBack bool) {
	if _, busy := n.polling.LoadOrStore(addr, true); busy {
		return
	}
	defer n.polling.Delete(addr)
	n.mu.Lock()
	sent := time.Now()
	q := peer.PollRequest{From: n.self, Phase: n.phase, Known: n.auth.Known(), PollBack: pollBack}
	q.Details = n.members.planner(sent, n.started) || sent.Sub(n.detailed[addr]) >= detailsInterval
	if q.Details {
		n.detailed[addr] = sent
	}
	n.mu.Unlock()
	a, err := n.peers.Poll(ctx, addr, q)
	n.metrics.ControlMessage("poll")
	if err != nil {
		return
	}
	n.pollAnswered(sent, time.Now(), a)
	if !q.Known.Covers(a.Known) {
		n.fetch(ctx, addr)
	}
}

func (n *Instance) pollAnswered(sent, now time.Time, a peer.PollAnswer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.holds(now)
	if !n.members.answered(now, a) {
		n.confirmGone()
		return
	}
	for id, r := range a.Reports {
		n.warmth[id] = dispatch.Warmth{Boot: r.Boot, Limit: r.Limit}
	}
	n.auth.PeerAnswered(sent, now, runOf(a.From, a.Boot), a.Known)
}

// confirmGone tells the authority table which members have certainly ended. The
// caller holds mu.
func (n *Instance) confirmGone() {
	var gone []fleet.InstanceID
	for _, id := range n.members.departed() {
		gone = append(gone, runOf(id, n.members.boots[id]))
	}
	for _, m := range n.snapshot().assignment.PreviousMembers {
		if n.members.boots[m.ID] != m.Boot && n.members.ended(m.ID, m.Boot) {
			gone = append(gone, m.Run())
		}
	}
	n.auth.ConfirmGone(gone)
}

func runOf(id fleet.InstanceID, boot fleet.BootID) fleet.InstanceID {
	return assignment.Member{ID: id, Boot: boot}.Run()
}

// runList reads the platform's instance list.
func (n *Instance) runList(ctx context.Context) error {
	tick := time.NewTicker(listInterval)
	defer tick.Stop()
	for {
		callCtx, cancel := context.WithTimeout(ctx, listInterval)
		n.metrics.StoreCall("list")
		listed, err := n.list.Fetch(callCtx)
		cancel()
		if err != nil {
			n.log.Debug("instance list not read", "error", err)
		} else {
			n.mu.Lock()
			n.listed = listed
			n.members.list(listed)
			n.confirmGone()
			n.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}
