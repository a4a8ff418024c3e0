package balance

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// State is the state of an upstream from the view of this instance, for metrics.
type State string

// The states of an upstream. If several apply, the first in this order counts.
const (
	StateLeaving     State = "leaving"
	StateEvacuated   State = "evacuated"
	StateUnreachable State = "unreachable"
	StatePaused      State = "paused" // wants no requests for some time
	StateCold        State = "cold"
	StateUsable      State = "usable"
)

// States returns the number of upstreams of each service in each state, including
// zeros.
func (t *Table) States(now time.Time) map[fleet.ServiceID]map[State]int {
	out := make(map[fleet.ServiceID]map[State]int, len(t.byService))
	for id, entries := range t.byService {
		counts := make(map[State]int)
		for _, s := range []State{StateLeaving, StateEvacuated, StateUnreachable, StatePaused, StateCold, StateUsable} {
			counts[s] = 0
		}
		for _, e := range entries {
			counts[t.state(now, e)]++
		}
		out[id] = counts
	}
	return out
}

func (t *Table) state(now time.Time, e *Entry) State {
	switch {
	case e.Leaving():
		return StateLeaving
	case t.evacuated[e.Zone]:
		return StateEvacuated
	case now.Before(e.ejectedUntil):
		return StateUnreachable
	case now.Before(e.pausedUntil):
		return StatePaused
	case e.Cold(now):
		return StateCold
	}
	return StateUsable
}
