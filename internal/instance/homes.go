package instance

import (
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/internal/limit"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// homeTable decides when this instance may grant tokens of a limit as its home, the
// instance that keeps the token bucket. A new home must not grant tokens before
// the former one has stopped. The table keeps the assignments under which some
// instance may still act as a home, oldest first; the last one is the newest
// known. It does no I/O.
type homeTable struct {
	self   fleet.InstanceID
	home   *limit.Home
	limit  func(fleet.LimitID) fleet.Limit // from the present snapshot
	epochs []homeEpoch
	// epochsComplete is true if epochs contains every assignment that an instance may
	// still act on. It is false after a start until the newest one is in force.
	epochsComplete bool
	active         map[fleet.LimitID]bool
	// needsCheck is true while a limit may have to become active on this instance.
	needsCheck bool
	// releasedLevels holds the bucket levels of limits that moved to another home,
	// until that home asks for them.
	releasedLevels map[fleet.LimitID]fleet.Tokens
}

// homeEpoch is a period during which no limit changes its home.
type homeEpoch struct {
	revision   fleet.Revision // of the first assignment of the epoch
	assignment *assignment.Assignment
}

func newHomeTable(self fleet.InstanceID, home *limit.Home, limit func(fleet.LimitID) fleet.Limit) *homeTable {
	return &homeTable{self: self, home: home, limit: limit, active: map[fleet.LimitID]bool{}, releasedLevels: map[fleet.LimitID]fleet.Tokens{}}
}

// addAssignment adds a newer assignment and releases the limits that have moved to
// another home.
func (t *homeTable) addAssignment(now time.Time, s *snapshot) {
	a := s.assignment
	if n := len(t.epochs); n > 0 && sameHomes(t.epochs[n-1].assignment, a) {
		return
	}
	t.needsCheck = true
	t.epochs = append(t.epochs, homeEpoch{revision: s.known.Assignment, assignment: a})
	for id := range t.active {
		if a.Home(id) != t.self {
			t.releasedLevels[id] = t.home.Release(now, id)
			delete(t.active, id)
		}
	}
}

func sameHomes(a, b *assignment.Assignment) bool {
	return slices.Equal(memberIDs(a.Members), memberIDs(b.Members)) && slices.Equal(a.Draining, b.Draining)
}

// dropEndedEpochs drops the epochs before the newest one that is in force.
func (t *homeTable) dropEndedEpochs(inForce func(fleet.Revision) bool) {
	for i := len(t.epochs) - 1; i >= 0; i-- {
		if inForce(t.epochs[i].revision) {
			t.epochs = slices.Delete(t.epochs, 0, i)
			t.epochsComplete = true
			break
		}
	}
	if len(t.epochs) == 1 && t.epochsComplete {
		clear(t.releasedLevels)
	}
}

// loseAuthority resets all state that depends on knowing every assignment. While
// this instance had no authority, another instance may have been home in between.
func (t *homeTable) loseAuthority() {
	if len(t.epochs) > 0 {
		t.epochs = slices.Delete(t.epochs, 0, len(t.epochs)-1)
	}
	t.epochsComplete, t.needsCheck = false, true
	clear(t.active)
	clear(t.releasedLevels)
}

// homeState is the role of this instance for a limit.
type homeState int

const (
	notHome homeState = iota
	homeActive
	homeWaiting // until the former homes released the limit or the assignment is in force
)

// state returns the role of this instance for a limit and, if it has to wait, the
// former homes to ask. A limit that no former home can hold is activated with the
// level that this instance kept, or with an empty bucket.
func (t *homeTable) state(now time.Time, id fleet.LimitID) (homeState, []fleet.InstanceID) {
	if len(t.epochs) == 0 || t.newest().assignment.Home(id) != t.self {
		return notHome, nil
	}
	if t.active[id] {
		return homeActive, nil
	}
	if !t.epochsComplete {
		return homeWaiting, nil
	}
	former := t.formerHomes(id)
	if len(former) == 0 {
		t.activate(now, id, t.releasedLevels[id])
		return homeActive, nil
	}
	return homeWaiting, former
}

func (t *homeTable) newest() homeEpoch { return t.epochs[len(t.epochs)-1] }

// formerHomes returns the other instances that may still act as home of the limit.
func (t *homeTable) formerHomes(id fleet.LimitID) []fleet.InstanceID {
	var out []fleet.InstanceID
	for _, e := range t.epochs[:len(t.epochs)-1] {
		if h := e.assignment.Home(id); h != t.self && !slices.Contains(out, h) {
			out = append(out, h)
		}
	}
	return out
}

// activateReleased activates a limit after all former homes have released it. It
// does nothing if a newer epoch has begun since the former homes were asked under
// revision asked.
func (t *homeTable) activateReleased(now time.Time, id fleet.LimitID, asked fleet.Revision, level fleet.Tokens) {
	if len(t.epochs) == 0 || t.newest().revision != asked || t.newest().assignment.Home(id) != t.self || t.active[id] {
		return
	}
	// If the limit moved back before the other home asked for the level, the level
	// kept here still counts. The maximum of the two, not the sum, keeps the tokens
	// granted in any window within burst + rate × window.
	t.activate(now, id, max(level, t.releasedLevels[id]))
}

func (t *homeTable) activate(now time.Time, id fleet.LimitID, level fleet.Tokens) {
	delete(t.releasedLevels, id)
	t.active[id] = true
	t.home.Activate(now, id, t.limit(id), level)
}

// release returns the levels of limits for their new home. It returns false if
// this instance is still the home of one of them or does not know the assignment
// under which the new home asks.
func (t *homeTable) release(known, asked fleet.Revision, limits []fleet.LimitID) ([]fleet.Tokens, bool) {
	if known < asked || len(t.epochs) == 0 {
		return nil, false
	}
	levels := make([]fleet.Tokens, len(limits))
	for i, id := range limits {
		if t.active[id] || t.newest().assignment.Home(id) == t.self {
			return nil, false
		}
		levels[i] = t.releasedLevels[id]
		delete(t.releasedLevels, id)
	}
	return levels, true
}
