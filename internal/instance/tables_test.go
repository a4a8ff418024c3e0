package instance

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/internal/authority"
	"github.com/parsleyproxy/parsleyproxy/internal/limit"
	"github.com/parsleyproxy/parsleyproxy/internal/peer"
	"github.com/parsleyproxy/parsleyproxy/internal/platform"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

var epoch = time.Unix(1_700_000_000, 0)

func timeAt(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func membersWithBoots(boots ...string) []assignment.Member {
	var out []assignment.Member
	for i, b := range boots {
		out = append(out, assignment.Member{ID: fleet.InstanceID("i" + string(rune('1'+i))), Boot: fleet.BootID(b)})
	}
	return out
}

func testSnapshot(rev fleet.Revision, m []assignment.Member) *snapshot {
	return &snapshot{known: authority.Revisions{Assignment: rev}, assignment: &assignment.Assignment{Members: m}}
}

// limitWithHomes returns a limit whose home is wanted under a and other under b.
func limitWithHomes(t *testing.T, a, b *snapshot, wanted, other fleet.InstanceID) fleet.LimitID {
	t.Helper()
	for i := range 10_000 {
		id := fleet.LimitID("account:" + string(rune('a'+i%26)) + time.Duration(i).String())
		if a.assignment.Home(id) == wanted && b.assignment.Home(id) == other {
			return id
		}
	}
	t.Fatal("found no limit with the wanted homes")
	return ""
}

type testHome struct {
	*homeTable
	home *limit.Home
}

func newTestHome(id fleet.InstanceID) testHome {
	h := limit.NewHome(tokenTTL)
	return testHome{newHomeTable(id, h, func(fleet.LimitID) fleet.Limit { return fleet.Limit{Rate: 1, Burst: 40} }), h}
}

func inForceUpTo(rev fleet.Revision) func(fleet.Revision) bool {
	return func(r fleet.Revision) bool { return r <= rev }
}

// TestNewHomeWaitsForFormerHome guards against two homes of a limit at the same
// time: a new home must not grant tokens until the former one has released the
// limit or the change is in force.
func TestNewHomeWaitsForFormerHome(t *testing.T) {
	three, two := testSnapshot(1, membersWithBoots("a", "b", "c")), testSnapshot(2, membersWithBoots("a", "b"))
	id := limitWithHomes(t, three, two, "i3", "i1")
	former, next := newTestHome("i3"), newTestHome("i1")
	for _, h := range []testHome{former, next} {
		h.addAssignment(timeAt(0), three)
		h.dropEndedEpochs(inForceUpTo(1))
	}
	if s, _ := former.state(timeAt(0), id); s != homeActive {
		t.Fatalf("state at the first home = %v, want active", s)
	}
	next.addAssignment(timeAt(10), two)
	s, ask := next.state(timeAt(10), id)
	if diff := cmp.Diff([]fleet.InstanceID{"i3"}, ask); s != homeWaiting || diff != "" {
		t.Fatalf("state = %v, former homes %s", s, diff)
	}
	if _, ok := former.release(1, 2, []fleet.LimitID{id}); ok {
		t.Fatal("the former home released the limit under an assignment that it does not know")
	}
	former.addAssignment(timeAt(20), two)
	if s, _ := former.state(timeAt(20), id); s != notHome || former.home.Active(id) {
		t.Error("the former home is still active after it learned the change")
	}
	levels, ok := former.release(2, 2, []fleet.LimitID{id})
	if !ok || len(levels) != 1 {
		t.Fatalf("release = %v, %t", levels, ok)
	}
	next.activateReleased(timeAt(30), id, 2, levels[0])
	if s, _ := next.state(timeAt(30), id); s != homeActive {
		t.Errorf("state = %v after the release, want active", s)
	}
}

// TestNewHomeActivatesAfterFormerHomeIsLost guards against a limit that never gets
// a home again after its former home is lost.
func TestNewHomeActivatesAfterFormerHomeIsLost(t *testing.T) {
	three, two := testSnapshot(1, membersWithBoots("a", "b", "c")), testSnapshot(2, membersWithBoots("a", "b"))
	id := limitWithHomes(t, three, two, "i3", "i1")
	next := newTestHome("i1")
	next.addAssignment(timeAt(0), three)
	next.dropEndedEpochs(inForceUpTo(1))
	next.addAssignment(timeAt(10), two)
	next.dropEndedEpochs(inForceUpTo(1))
	if s, _ := next.state(timeAt(10), id); s != homeWaiting {
		t.Fatalf("state = %v, want waiting", s)
	}
	next.dropEndedEpochs(inForceUpTo(2))
	if s, _ := next.state(timeAt(1010), id); s != homeActive {
		t.Errorf("state = %v when the change is in force, want active", s)
	}
}

// TestHomeAfterLossOfAuthority guards against a home that keeps its old level after
// it lost authority and missed the assignments under which another instance was
// home.
func TestHomeAfterLossOfAuthority(t *testing.T) {
	two := testSnapshot(1, membersWithBoots("a", "b"))
	id := limitWithHomes(t, two, two, "i1", "i1")
	h := newTestHome("i1")
	h.addAssignment(timeAt(0), two)
	h.dropEndedEpochs(inForceUpTo(1))
	h.activate(timeAt(0), id, 40)
	h.loseAuthority()
	h.addAssignment(timeAt(5000), testSnapshot(3, membersWithBoots("a", "b")))
	if s, _ := h.state(timeAt(5000), id); s != homeWaiting {
		t.Fatalf("state = %v after a loss of authority, want waiting", s)
	}
	h.dropEndedEpochs(inForceUpTo(3))
	if s, _ := h.state(timeAt(6100), id); s != homeActive {
		t.Fatalf("state = %v, want active", s)
	}
	if level := h.home.Release(timeAt(6100), id); level != 0 {
		t.Errorf("level = %d after a loss of authority, want 0", level)
	}
}

// TestReleaseForOlderAssignmentIsIgnored guards against a release that was
// requested under an older assignment and activates the limit.
func TestReleaseForOlderAssignmentIsIgnored(t *testing.T) {
	three, two, four := testSnapshot(1, membersWithBoots("a", "b", "c")), testSnapshot(2, membersWithBoots("a", "b")), testSnapshot(3, membersWithBoots("a", "b", "", "d"))
	id := limitWithHomes(t, three, two, "i3", "i1")
	h := newTestHome("i1")
	h.addAssignment(timeAt(0), three)
	h.dropEndedEpochs(inForceUpTo(1))
	h.addAssignment(timeAt(10), two)
	h.addAssignment(timeAt(20), four)
	h.activateReleased(timeAt(30), id, 2, 5)
	if h.home.Active(id) {
		t.Error("limit activated by a release under an older assignment")
	}
}

func pollAnswer(id, boot string, heard map[fleet.InstanceID]time.Duration) peer.PollAnswer {
	return peer.PollAnswer{From: fleet.InstanceID(id), Boot: fleet.BootID(boot), Phase: peer.Serving, Details: true, AnswerAges: heard}
}

// TestLostMembers guards against the removal of a member that only this instance
// cannot reach, and against a lost member that is kept because it still counts
// towards the majority.
func TestLostMembers(t *testing.T) {
	silent := map[fleet.InstanceID]time.Duration{"i5": 700 * time.Millisecond}
	heard := map[fleet.InstanceID]time.Duration{"i5": 0}
	tests := map[string]struct {
		answers map[string]map[fleet.InstanceID]time.Duration
		gone    bool
		want    []fleet.InstanceID
	}{
		"unreachable from this instance only": {answers: map[string]map[fleet.InstanceID]time.Duration{"i2": heard, "i3": heard, "i4": heard}},
		"silent for two of five":              {answers: map[string]map[fleet.InstanceID]time.Duration{"i2": silent, "i3": heard, "i4": heard}},
		"silent for three of five":            {answers: map[string]map[fleet.InstanceID]time.Duration{"i2": silent, "i3": silent, "i4": heard}, want: []fleet.InstanceID{"i5"}},
		"removed from the platform list":      {answers: map[string]map[fleet.InstanceID]time.Duration{"i2": heard, "i3": heard, "i4": heard}, gone: true, want: []fleet.InstanceID{"i5"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMemberTable("i1", "a")
			m.update(timeAt(0), membersWithBoots("a", "b", "c", "d", "e"))
			if tt.gone {
				m.updateList(listedInstances("i1", "i2", "i3", "i4", "i5"))
				m.updateList(listedInstances("i1", "i2", "i3", "i4"))
			}
			for id, h := range tt.answers {
				m.recordAnswer(timeAt(1000), pollAnswer(id, string(id[1]-'1'+'a'), h))
			}
			if diff := cmp.Diff(tt.want, m.lost(timeAt(1010))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func listedInstances(names ...string) []platform.Listed {
	var out []platform.Listed
	for _, n := range names {
		out = append(out, platform.Listed{Name: n, Kind: platform.KindInstance})
	}
	return out
}

// TestRestartedMemberDoesNotVote guards against counting the answers of a restarted
// instance, which has forgotten what its former process had learned.
func TestRestartedMemberDoesNotVote(t *testing.T) {
	m := newMemberTable("i1", "a")
	m.update(timeAt(0), membersWithBoots("a", "b"))
	if m.recordAnswer(timeAt(10), pollAnswer("i2", "other", nil)) {
		t.Error("a poll answer with another boot id was accepted")
	}
	if diff := cmp.Diff([]fleet.InstanceID{"i2"}, m.endedMembers()); diff != "" {
		t.Error(diff)
	}
	m.recordPoll(timeAt(20), peer.PollRequest{From: assignment.Member{ID: "i2", Boot: "other"}, Phase: peer.Serving})
	if len(m.joining(timeAt(30))) != 1 {
		t.Error("no join request recorded for the restarted instance")
	}
	m.update(timeAt(40), []assignment.Member{{ID: "i1", Boot: "a"}, {ID: "i2", Boot: "other"}})
	if len(m.endedMembers()) != 0 || len(m.joining(timeAt(50))) != 0 {
		t.Error("the restarted instance still counts as ended or joining after it became a member")
	}
}

// TestPlanner guards against having no planner, or one that is not the live member
// with the lowest id, after a start, a loss and a restart of the whole fleet.
func TestPlanner(t *testing.T) {
	m := newMemberTable("i2", "b")
	if !m.shouldPlan(timeAt(0), timeAt(0)) {
		t.Error("no planner in an empty fleet")
	}
	m.update(timeAt(0), membersWithBoots("a", "b", "c"))
	m.recordAnswer(timeAt(100), pollAnswer("i1", "a", nil))
	if m.shouldPlan(timeAt(200), timeAt(0)) {
		t.Error("i2 plans although i1 is alive")
	}
	if !m.shouldPlan(timeAt(900), timeAt(0)) {
		t.Error("i2 does not plan although i1 is silent")
	}
	restarted := newMemberTable("i2", "new")
	restarted.update(timeAt(0), membersWithBoots("a", "b", "c"))
	if restarted.shouldPlan(timeAt(1000), timeAt(0)) {
		t.Error("a restarted instance plans before it has looked for members")
	}
	if !restarted.shouldPlan(timeAt(1600), timeAt(0)) {
		t.Error("a restarted instance does not plan although no member is alive")
	}
}

// TestHomesNeedCheck guards against a limit that is never checked again after it
// had to wait, or after a loss of authority.
func TestHomesNeedCheck(t *testing.T) {
	two := testSnapshot(1, membersWithBoots("a", "b"))
	h := newTestHome("i1")
	h.addAssignment(timeAt(0), two)
	if !h.needsCheck {
		t.Error("no check due after the first assignment")
	}
	h.needsCheck = false
	h.addAssignment(timeAt(10), testSnapshot(2, membersWithBoots("a", "b")))
	if h.needsCheck {
		t.Error("check due although no home changed")
	}
	h.loseAuthority()
	if !h.needsCheck {
		t.Error("no check due after a loss of authority")
	}
}
