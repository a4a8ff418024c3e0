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

func revs(c, a fleet.Revision) Revisions { return Revisions{c, a} }

func newTestTable(members, previous ids) *Table {
	t := New("a", ttl)
	t.SetMembers(members, previous)
	t.Learn(at(0), revs(1, 1))
	return t
}

// TestHolds guards against authority that lasts longer than the TTL from the request,
// rests on a minority or on answers with higher revisions, or ends too early.
func TestHolds(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(*Table)
		ms   int
		want bool
	}{
		{"no answers", func(*Table) {}, 1, false},
		{"store", func(t *Table) { t.StoreAnswered(at(0), revs(1, 1)) }, 999, true},
		{"store expired", func(t *Table) { t.StoreAnswered(at(0), revs(1, 1)) }, 1000, false},
		{"store has a higher revision", func(t *Table) { t.StoreAnswered(at(0), revs(2, 1)) }, 1, false},
		{"higher revision of the store applied later", func(t *Table) { t.StoreAnswered(at(0), revs(2, 1)); t.Learn(at(50), revs(2, 1)) }, 999, true},
		{"earlier answer remains valid", func(t *Table) { t.StoreAnswered(at(0), revs(1, 1)); t.StoreAnswered(at(10), revs(2, 1)) }, 999, true},
		{"answers out of order", func(t *Table) { t.StoreAnswered(at(500), revs(1, 1)); t.StoreAnswered(at(0), revs(1, 1)) }, 1400, true},
		{"answer of a non-member", func(t *Table) { t.PeerAnswered(at(0), at(5), "x", revs(1, 1)) }, 10, false},
		{"majority", func(t *Table) { t.PeerAnswered(at(0), at(5), "b", revs(1, 1)) }, 999, true},
		{"majority expired", func(t *Table) { t.PeerAnswered(at(0), at(500), "b", revs(1, 1)) }, 1000, false},
		{"peer has a higher revision", func(t *Table) { t.PeerAnswered(at(0), at(5), "b", revs(1, 2)) }, 10, false},
		{"peer has a lower revision", func(t *Table) { t.PeerAnswered(at(0), at(5), "b", revs(0, 1)) }, 10, true},
	} {
		table := newTestTable(ids{"a", "b", "c"}, nil)
		c.do(table)
		if got := table.Holds(at(c.ms)); got != c.want {
			t.Errorf("%s: Holds = %t, want %t; until %v", c.name, got, c.want, table.Until())
		}
	}
}

// TestLists guards against an instance that counts itself although it is not a
// member, against a list change without a majority of the old list, and against a
// sole member without authority.
func TestLists(t *testing.T) {
	outside := newTestTable(ids{"b", "c", "d"}, nil)
	outside.PeerAnswered(at(0), at(1), "b", revs(1, 1))
	if outside.Holds(at(2)) {
		t.Error("non-member has authority from one of three members")
	}
	outside.PeerAnswered(at(0), at(1), "c", revs(1, 1))
	if !outside.Holds(at(2)) {
		t.Error("non-member has no authority from two of three members")
	}
	changing := newTestTable(ids{"a"}, ids{"b"})
	if changing.Holds(at(1)) {
		t.Error("authority without a majority of the previous list")
	}
	if changing.Learned(revs(1, 1)) {
		t.Error("learned without a majority of the previous list")
	}
	if sole := newTestTable(ids{"a"}, nil); !sole.Holds(at(5000)) || !sole.Learned(revs(1, 1)) {
		t.Error("the sole member has no authority")
	}
}

// TestInForce guards against a change that is reported as in force although an
// instance may still act on the previous revision.
func TestInForce(t *testing.T) {
	table := newTestTable(ids{"a", "b", "c"}, nil)
	if table.InForce(at(5000), revs(1, 1)) {
		t.Error("in force although only this instance has learned the change")
	}
	table.PeerAnswered(at(5000), at(5100), "b", revs(1, 1))
	table.PeerAnswered(at(5000), at(5100), "c", revs(1, 1))
	if !table.Learned(revs(1, 1)) || table.InForce(at(6099), revs(1, 1)) {
		t.Error("not learned, or in force before one TTL has passed since every member learned it")
	}
	if !table.InForce(at(6100), revs(1, 1)) {
		t.Error("not in force one TTL after every member learned it")
	}
	table.Learn(at(6200), revs(2, 1))
	table.PeerAnswered(at(6200), at(6300), "b", revs(2, 1))
	table.SetMembers(ids{"a", "b"}, ids{"a", "b", "c"})
	table.Learn(at(7000), revs(2, 2))
	table.PeerAnswered(at(7000), at(7100), "b", revs(2, 2))
	if table.InForce(at(7300), revs(2, 1)) || !table.InForce(at(7300), revs(1, 1)) {
		t.Error("new list does not restart the wait, or revokes a change already in force")
	}
	if !table.InForce(at(8000), revs(2, 1)) || table.InForce(at(8000), revs(2, 2)) || !table.InForce(at(8100), revs(2, 2)) {
		t.Error("wait does not end one TTL after the new list was learned")
	}
	table.PeerAnswered(at(8200), at(8300), "b", revs(3, 3))
	if table.Learned(revs(2, 2)) {
		t.Error("learned according to member lists that are out of date")
	}
	if table.InForce(at(9999), revs(9, 9)) {
		t.Error("change that this instance does not know is in force")
	}
}

// TestConfirmEnded guards against an ended member that blocks changes for ever, and
// against counting a member as ended although it still answers.
func TestConfirmEnded(t *testing.T) {
	table := newTestTable(ids{"a", "b"}, nil)
	table.ConfirmEnded(ids{"b"})
	if !table.Learned(revs(1, 1)) || table.InForce(at(100), revs(1, 1)) || !table.InForce(at(1100), revs(1, 1)) {
		t.Error("ended member does not count as having learned since the confirmation")
	}
	if table.Holds(at(1200)) {
		t.Error("ended member gives authority")
	}
	table.Learn(at(1300), revs(2, 1))
	table.PeerAnswered(at(1300), at(1400), "b", revs(1, 1))
	if table.Learned(revs(2, 1)) {
		t.Error("member that answers still counts as ended")
	}
	endedEarlier := newTestTable(ids{"a", "b", "c"}, nil)
	endedEarlier.ConfirmEnded(ids{"b", "c"})
	endedEarlier.Holds(at(100))
	endedEarlier.Learn(at(2000), revs(2, 1))
	if endedEarlier.InForce(at(2999), revs(2, 1)) || !endedEarlier.InForce(at(3000), revs(2, 1)) {
		t.Error("wait started when members ended, before the change was learned")
	}
	if got, ok := table.LastHeard("b"); !ok || !got.Equal(at(1400)) {
		t.Errorf("last heard %v %t", got, ok)
	}
}
