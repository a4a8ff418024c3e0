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

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func members(boots ...string) []assignment.Member {
	var out []assignment.Member
	for i, b := range boots {
		out = append(out, assignment.Member{ID: fleet.InstanceID("i" + string(rune('1'+i))), Boot: fleet.BootID(b)})
	}
	return out
}

func known(rev fleet.Revision, m []assignment.Member) *snapshot {
	return &snapshot{known: authority.Known{Assignment: rev}, assignment: &assignment.Assignment{Members: m}}
}

// homedAt returns a limit whose home is wanted under a and other under b.
func homedAt(t *testing.T, a, b *snapshot, wanted, other fleet.InstanceID) fleet.LimitID {
	t.Helper()
	for i := range 10_000 {
		id := fleet.LimitID("account:" + string(rune('a'+i%26)) + time.Duration(i).String())
		if a.assignment.Home(id) == wanted && b.assignment.Home(id) == other {
			return id
		}
	}
	t.Fatal("no such limit")
	return ""
}

type homeEnd struct {
	*homeTable
	home *limit.Home
}

func newHome(id fleet.InstanceID) homeEnd {
	h := limit.NewHome(tokenTTL)
	return homeEnd{newHomeTable(id, h), h}
}

func upTo(rev fleet.Revision) func(fleet.Revision) bool {
	return func(r fleet.Revision) bool { return r <= rev }
}

// Guards against two homes of a limit at the same time: a new home must not
// grant before the former one released the limit or the change is in force.
func TestNewHomeWaitsForFormerHome(t *testing.T) {
	three, two := known(1, members("a", "b", "c")), known(2, members("a", "b"))
	id := homedAt(t, three, two, "i3", "i1")
	former, next := newHome("i3"), newHome("i1")
	for _, h := range []homeEnd{former, next} {
		h.learn(at(0), three)
		h.settle(upTo(1))
	}
	if s, _ := former.state(at(0), id); s != homeActive {
		t.Fatalf("state at the first home = %v, want active", s)
	}
	next.learn(at(10), two)
	s, ask := next.state(at(10), id)
	if diff := cmp.Diff([]fleet.InstanceID{"i3"}, ask); s != homeWaiting || diff != "" {
		t.Fatalf("state = %v, former homes %s", s, diff)
	}
	if _, ok := former.release(1, 2, []fleet.LimitID{id}); ok {
		t.Fatal("the former home released under an assignment that it does not know")
	}
	former.learn(at(20), two)
	if s, _ := former.state(at(20), id); s != notHome || former.home.Active(id) {
		t.Error("the former home is still active after it learned the change")
	}
	levels, ok := former.release(2, 2, []fleet.LimitID{id})
	if !ok || len(levels) != 1 {
		t.Fatalf("release = %v, %t", levels, ok)
	}
	next.released(at(30), id, 2, levels[0])
	if s, _ := next.state(at(30), id); s != homeActive {
		t.Errorf("state = %v after the release, want active", s)
	}
}

// Guards against a limit without a home for ever when the former home is lost.
func TestNewHomeWaitsOutLostHome(t *testing.T) {
	three, two := known(1, members("a", "b", "c")), known(2, members("a", "b"))
	id := homedAt(t, three, two, "i3", "i1")
	next := newHome("i1")
	next.learn(at(0), three)
	next.settle(upTo(1))
	next.learn(at(10), two)
	next.settle(upTo(1))
	if s, _ := next.state(at(10), id); s != homeWaiting {
		t.Fatalf("state = %v, want waiting", s)
	}
	next.settle(upTo(2))
	if s, _ := next.state(at(1010), id); s != homeActive {
		t.Errorf("state = %v when the change is in force, want active", s)
	}
}

// Guards against a home that goes on with its old level although another one
// was home while it had no authority and missed the assignments in between.
func TestLapsedHomeStartsAgain(t *testing.T) {
	two := known(1, members("a", "b"))
	id := homedAt(t, two, two, "i1", "i1")
	h := newHome("i1")
	h.learn(at(0), two)
	h.settle(upTo(1))
	h.activate(at(0), id, 40)
	h.lapse()
	h.learn(at(5000), known(3, members("a", "b")))
	if s, _ := h.state(at(5000), id); s != homeWaiting {
		t.Fatalf("state = %v after a lapse, want waiting", s)
	}
	h.settle(upTo(3))
	if s, _ := h.state(at(6100), id); s != homeActive {
		t.Fatalf("state = %v, want active", s)
	}
	if level := h.home.Release(at(6100), id); level != 0 {
		t.Errorf("level = %d after a lapse, want 0", level)
	}
}

// Guards against a release that answers an outdated question.
func TestReleaseForOlderAssignmentIsIgnored(t *testing.T) {
	three, two, four := known(1, members("a", "b", "c")), known(2, members("a", "b")), known(3, members("a", "b", "", "d"))
	id := homedAt(t, three, two, "i3", "i1")
	h := newHome("i1")
	h.learn(at(0), three)
	h.settle(upTo(1))
	h.learn(at(10), two)
	h.learn(at(20), four)
	h.released(at(30), id, 2, 5)
	if h.home.Active(id) {
		t.Error("activated by a release under an older assignment")
	}
}

func answer(id, boot string, heard map[fleet.InstanceID]time.Duration) peer.PollAnswer {
	return peer.PollAnswer{From: fleet.InstanceID(id), Boot: fleet.BootID(boot), Phase: peer.Serving, Details: true, Heard: heard}
}

// Guards against the removal of a member that only this instance cannot reach,
// and against a lost member that stays because it still counts in the majority.
func TestLostMembers(t *testing.T) {
	silent := map[fleet.InstanceID]time.Duration{"i5": 700 * time.Millisecond}
	heard := map[fleet.InstanceID]time.Duration{"i5": 0}
	tests := map[string]struct {
		answers map[string]map[fleet.InstanceID]time.Duration
		gone    bool
		want    []fleet.InstanceID
	}{
		"cut from this instance only": {answers: map[string]map[fleet.InstanceID]time.Duration{"i2": heard, "i3": heard, "i4": heard}},
		"two of five":                 {answers: map[string]map[fleet.InstanceID]time.Duration{"i2": silent, "i3": heard, "i4": heard}},
		"three of five":               {answers: map[string]map[fleet.InstanceID]time.Duration{"i2": silent, "i3": silent, "i4": heard}, want: []fleet.InstanceID{"i5"}},
		"gone from the list":          {answers: map[string]map[fleet.InstanceID]time.Duration{"i2": heard, "i3": heard, "i4": heard}, gone: true, want: []fleet.InstanceID{"i5"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMemberTable("i1", "a")
			m.update(at(0), members("a", "b", "c", "d", "e"))
			if tt.gone {
				m.list(listed("i1", "i2", "i3", "i4", "i5"))
				m.list(listed("i1", "i2", "i3", "i4"))
			}
			for id, h := range tt.answers {
				m.answered(at(1000), answer(id, string(id[1]-'1'+'a'), h))
			}
			if diff := cmp.Diff(tt.want, m.lost(at(1010))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func listed(names ...string) []platform.Listed {
	var out []platform.Listed
	for _, n := range names {
		out = append(out, platform.Listed{Name: n, Kind: platform.KindInstance})
	}
	return out
}

// Guards against a vote of an instance that restarted and forgot what its former
// run had learned.
func TestRestartedMemberDoesNotVote(t *testing.T) {
	m := newMemberTable("i1", "a")
	m.update(at(0), members("a", "b"))
	if m.answered(at(10), answer("i2", "other", nil)) {
		t.Error("the answer under another boot id counts")
	}
	if diff := cmp.Diff([]fleet.InstanceID{"i2"}, m.departed()); diff != "" {
		t.Error(diff)
	}
	m.asked(at(20), peer.PollRequest{From: assignment.Member{ID: "i2", Boot: "other"}, Phase: peer.Serving})
	if len(m.joining(at(30))) != 1 {
		t.Error("the restarted instance is not about to join")
	}
	m.update(at(40), []assignment.Member{{ID: "i1", Boot: "a"}, {ID: "i2", Boot: "other"}})
	if len(m.departed()) != 0 || len(m.joining(at(50))) != 0 {
		t.Error("the restarted instance is not a plain member after it joined")
	}
}

// Guards against no planner, or a planner that is not the lowest live member,
// after a start, a loss and a total restart.
func TestPlanner(t *testing.T) {
	m := newMemberTable("i2", "b")
	if !m.planner(at(0), at(0)) {
		t.Error("nobody plans in an empty fleet")
	}
	m.update(at(0), members("a", "b", "c"))
	m.answered(at(100), answer("i1", "a", nil))
	if m.planner(at(200), at(0)) {
		t.Error("i2 plans although i1 lives")
	}
	if !m.planner(at(900), at(0)) {
		t.Error("i2 does not plan although i1 is silent")
	}
	restarted := newMemberTable("i2", "new")
	restarted.update(at(0), members("a", "b", "c"))
	if restarted.planner(at(1000), at(0)) {
		t.Error("a restarted instance plans before it has looked for members")
	}
	if !restarted.planner(at(1600), at(0)) {
		t.Error("a restarted instance does not plan although no member lives")
	}
}

// Guards against a limit that is never looked at again after it had to wait, or
// after a lapse.
func TestUnsettledHomes(t *testing.T) {
	two := known(1, members("a", "b"))
	h := newHome("i1")
	h.learn(at(0), two)
	if !h.unsettled {
		t.Error("settled after the first assignment")
	}
	h.unsettled = false
	h.learn(at(10), known(2, members("a", "b")))
	if h.unsettled {
		t.Error("unsettled although no home changed")
	}
	h.lapse()
	if !h.unsettled {
		t.Error("settled after a lapse")
	}
}
