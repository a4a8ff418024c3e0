package instance

import (
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/internal/limit"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// homeTable decides when this instance may grant tokens of a limit. A new home
// must not grant before the former one has stopped. It keeps the assignments
// under which somebody may still act as home, oldest first; the last one is the
// newest known. It does no I/O.
type homeTable struct {
	self   fleet.InstanceID
	home   *limit.Home
	epochs []homeEpoch
	// complete is true if every assignment that may still be acted on is among
	// epochs. It is false after a start, until the newest one is in force.
	complete bool
	active   map[fleet.LimitID]bool
	// unsettled is true while a limit may wait to become active here.
	unsettled bool
	// left holds the level of limits that moved away, for their new home.
	left map[fleet.LimitID]fleet.Tokens
}

// homeEpoch is a period in which every limit has the same home.
type homeEpoch struct {
	revision   fleet.Revision // of the first assignment of the period
	assignment *assignment.Assignment
}

func newHomeTable(self fleet.InstanceID, home *limit.Home) *homeTable {
	return &homeTable{self: self, home: home, active: map[fleet.LimitID]bool{}, left: map[fleet.LimitID]fleet.Tokens{}}
}

// learn takes over a newer assignment and releases the limits that moved away.
func (t *homeTable) learn(now time.Time, s *snapshot) {
	a := s.assignment
	if n := len(t.epochs); n > 0 && sameHomes(t.epochs[n-1].assignment, a) {
		return
	}
	t.unsettled = true
	t.epochs = append(t.epochs, homeEpoch{revision: s.known.Assignment, assignment: a})
	for id := range t.active {
		if a.Home(id) != t.self {
			t.left[id] = t.home.Release(now, id)
			delete(t.active, id)
		}
	}
}

func sameHomes(a, b *assignment.Assignment) bool {
	return slices.Equal(ids(a.Members), ids(b.Members)) && slices.Equal(a.Draining, b.Draining)
}

// settle drops the epochs that ended, given which revisions are in force.
func (t *homeTable) settle(inForce func(fleet.Revision) bool) {
	for i := len(t.epochs) - 1; i >= 0; i-- {
		if inForce(t.epochs[i].revision) {
			t.epochs = slices.Delete(t.epochs, 0, i)
			t.complete = true
			break
		}
	}
	if len(t.epochs) == 1 && t.complete {
		clear(t.left)
	}
}

// lapse forgets everything that rests on having known every assignment: while
// this instance had no authority another one may have been home in between.
func (t *homeTable) lapse() {
	if len(t.epochs) > 0 {
		t.epochs = slices.Delete(t.epochs, 0, len(t.epochs)-1)
	}
	t.complete, t.unsettled = false, true
	clear(t.active)
	clear(t.left)
}

// homeState says what this instance may do for a limit.
type homeState int

const (
	notHome homeState = iota
	homeActive
	homeWaiting // until former homes released it or the assignment is in force
)

// state returns the state of a limit, and the former homes to ask if it waits. A
// limit that no former home can hold is activated with an empty bucket.
func (t *homeTable) state(now time.Time, id fleet.LimitID) (homeState, []fleet.InstanceID) {
	if len(t.epochs) == 0 || t.newest().assignment.Home(id) != t.self {
		return notHome, nil
	}
	if t.active[id] {
		return homeActive, nil
	}
	if !t.complete {
		return homeWaiting, nil
	}
	former := t.former(id)
	if len(former) == 0 {
		t.activate(now, id, t.left[id])
		return homeActive, nil
	}
	return homeWaiting, former
}

func (t *homeTable) newest() homeEpoch { return t.epochs[len(t.epochs)-1] }

// former returns the other instances that may still hold the limit.
func (t *homeTable) former(id fleet.LimitID) []fleet.InstanceID {
	var out []fleet.InstanceID
	for _, e := range t.epochs[:len(t.epochs)-1] {
		if h := e.assignment.Home(id); h != t.self && !slices.Contains(out, h) {
			out = append(out, h)
		}
	}
	return out
}

// released activates a limit after every former home released it. It does
// nothing if the assignment has changed since they were asked.
func (t *homeTable) released(now time.Time, id fleet.LimitID, asked fleet.Revision, level fleet.Tokens) {
	if len(t.epochs) == 0 || t.newest().revision != asked || t.newest().assignment.Home(id) != t.self || t.active[id] {
		return
	}
	// The level kept here still counts if the limit came back before the other
	// home asked for it. The larger of the two, not the sum, keeps every window
	// within burst + rate × window.
	t.activate(now, id, max(level, t.left[id]))
}

func (t *homeTable) activate(now time.Time, id fleet.LimitID, level fleet.Tokens) {
	delete(t.left, id)
	t.active[id] = true
	t.home.Activate(now, id, level)
}

// release answers the new home of limits. It returns false if this instance is
// still their home under what it knows, or does not know the asker's assignment.
func (t *homeTable) release(known, asked fleet.Revision, limits []fleet.LimitID) ([]fleet.Tokens, bool) {
	if known < asked || len(t.epochs) == 0 {
		return nil, false
	}
	levels := make([]fleet.Tokens, len(limits))
	for i, id := range limits {
		if t.active[id] || t.newest().assignment.Home(id) == t.self {
			return nil, false
		}
		levels[i] = t.left[id]
		delete(t.left, id)
	}
	return levels, true
}
