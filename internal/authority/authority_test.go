package authority

import (
	"testing"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

type ids = []fleet.InstanceID

const ttl = time.Second

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func k(c, a fleet.Revision) Known { return Known{c, a} }

func table(members, previous ids) *Table {
	t := New("a", ttl)
	t.SetMembers(members, previous)
	t.Learn(at(0), k(1, 1))
	return t
}

// Guards against authority that outlives its evidence, rests on a minority or on
// answers that know more, or ends while evidence remains.
func TestHolds(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(*Table)
		ms   int
		want bool
	}{
		{"nothing", func(*Table) {}, 1, false},
		{"store", func(t *Table) { t.StoreAnswered(at(0), k(1, 1)) }, 999, true},
		{"store expired", func(t *Table) { t.StoreAnswered(at(0), k(1, 1)) }, 1000, false},
		{"store knows more", func(t *Table) { t.StoreAnswered(at(0), k(2, 1)) }, 1, false},
		{"store, applied later", func(t *Table) { t.StoreAnswered(at(0), k(2, 1)); t.Learn(at(50), k(2, 1)) }, 999, true},
		{"older answer remains", func(t *Table) { t.StoreAnswered(at(0), k(1, 1)); t.StoreAnswered(at(10), k(2, 1)) }, 999, true},
		{"late answer", func(t *Table) { t.StoreAnswered(at(500), k(1, 1)); t.StoreAnswered(at(0), k(1, 1)) }, 1400, true},
		{"one of three", func(t *Table) { t.PeerAnswered(at(0), at(5), "x", k(1, 1)) }, 10, false},
		{"majority", func(t *Table) { t.PeerAnswered(at(0), at(5), "b", k(1, 1)) }, 999, true},
		{"majority expired", func(t *Table) { t.PeerAnswered(at(0), at(500), "b", k(1, 1)) }, 1000, false},
		{"peer knows more", func(t *Table) { t.PeerAnswered(at(0), at(5), "b", k(1, 2)) }, 10, false},
		{"peer knows less", func(t *Table) { t.PeerAnswered(at(0), at(5), "b", k(0, 1)) }, 10, true},
	} {
		tab := table(ids{"a", "b", "c"}, nil)
		c.do(tab)
		if got := tab.Holds(at(c.ms)); got != c.want {
			t.Errorf("%s: Holds = %t, want %t; until %v", c.name, got, c.want, tab.Until())
		}
	}
}

// Guards against an instance outside the list that counts itself, against a list
// change whose old majority is not asked, and against a sole member that stops.
func TestLists(t *testing.T) {
	outside := table(ids{"b", "c", "d"}, nil)
	outside.PeerAnswered(at(0), at(1), "b", k(1, 1))
	if outside.Holds(at(2)) {
		t.Error("one of three others is a majority")
	}
	outside.PeerAnswered(at(0), at(1), "c", k(1, 1))
	if !outside.Holds(at(2)) {
		t.Error("two of three others are no majority")
	}
	changing := table(ids{"a"}, ids{"b"})
	if changing.Holds(at(1)) {
		t.Error("authority without the majority of the previous list")
	}
	if changing.Learned(k(1, 1)) {
		t.Error("learned without the majority of the previous list")
	}
	if sole := table(ids{"a"}, nil); !sole.Holds(at(5000)) || !sole.Learned(k(1, 1)) {
		t.Error("the sole member has no authority")
	}
}

// Guards against a change that counts as in force although an instance may act
// on the one before.
func TestInForce(t *testing.T) {
	tab := table(ids{"a", "b", "c"}, nil)
	if tab.InForce(at(5000), k(1, 1)) {
		t.Error("in force though learned only here")
	}
	tab.PeerAnswered(at(5000), at(5100), "b", k(1, 1))
	tab.PeerAnswered(at(5000), at(5100), "c", k(1, 1))
	if !tab.Learned(k(1, 1)) || tab.InForce(at(6099), k(1, 1)) {
		t.Error("in force before T, though every member has learned it")
	}
	if !tab.InForce(at(6100), k(1, 1)) {
		t.Error("not in force after T")
	}
	tab.Learn(at(6200), k(2, 1))
	tab.PeerAnswered(at(6200), at(6300), "b", k(2, 1))
	tab.SetMembers(ids{"a", "b"}, ids{"a", "b", "c"})
	tab.Learn(at(7000), k(2, 2))
	tab.PeerAnswered(at(7000), at(7100), "b", k(2, 2))
	if tab.InForce(at(7300), k(2, 1)) || !tab.InForce(at(7300), k(1, 1)) {
		t.Error("a new list does not restart the wait, or undoes it")
	}
	if !tab.InForce(at(8000), k(2, 1)) || tab.InForce(at(8000), k(2, 2)) || !tab.InForce(at(8100), k(2, 2)) {
		t.Error("the wait is not T from the new list")
	}
	tab.PeerAnswered(at(8200), at(8300), "b", k(3, 3))
	if tab.Learned(k(2, 2)) {
		t.Error("learned by lists that are out of date")
	}
	if tab.InForce(at(9999), k(9, 9)) {
		t.Error("an unknown change is in force")
	}
}

// Guards against a departed member that blocks changes for ever, and against one
// that answers although the platform called it gone.
func TestConfirmGone(t *testing.T) {
	tab := table(ids{"a", "b"}, nil)
	tab.ConfirmGone(ids{"b"})
	if !tab.Learned(k(1, 1)) || tab.InForce(at(100), k(1, 1)) || !tab.InForce(at(1100), k(1, 1)) {
		t.Error("a gone member does not count as having learned, from the confirmation on")
	}
	if tab.Holds(at(1200)) {
		t.Error("a gone member gives authority")
	}
	tab.Learn(at(1300), k(2, 1))
	tab.PeerAnswered(at(1300), at(1400), "b", k(1, 1))
	if tab.Learned(k(2, 1)) {
		t.Error("a member that answers counts as gone")
	}
	early := table(ids{"a", "b", "c"}, nil)
	early.ConfirmGone(ids{"b", "c"})
	early.Holds(at(100))
	early.Learn(at(2000), k(2, 1))
	if early.InForce(at(2999), k(2, 1)) || !early.InForce(at(3000), k(2, 1)) {
		t.Error("a change is in force by members that were gone before it")
	}
	if got, ok := tab.LastHeard("b"); !ok || !got.Equal(at(1400)) {
		t.Errorf("last heard %v %t", got, ok)
	}
}
