package routes

import (
	"slices"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Priorities returns the ranks that requests to a service can have in this configuration,
// the most urgent first.
func (t *Table) Priorities(id fleet.ServiceID) []Priority { return t.priorities[id] }

// HasPriorities reports whether requests to any service can differ in priority.
func (t *Table) HasPriorities() bool {
	for _, list := range t.priorities {
		if len(list) > 1 {
			return true
		}
	}
	return false
}

func (t *Table) collectPriorities() map[fleet.ServiceID][]Priority {
	all := make(map[fleet.ServiceID][]Priority)
	for _, hostRoutes := range t.routesByHost {
		for _, r := range hostRoutes {
			for _, share := range r.TrafficShares {
				if share.Weight > 0 {
					all[share.Service] = append(all[share.Service], r.Priority)
				}
			}
		}
	}
	for id, list := range all {
		for _, a := range t.Accounts {
			if a.HasPriority {
				list = append(list, a.Priority)
			}
		}
		slices.Sort(list)
		all[id] = slices.Compact(list)
	}
	return all
}

// minQueueShare is the queue that the least urgent of several priorities accepts, relative to
// that of the most urgent.
const minQueueShare = 0.5

// QueueShare returns how long a queue requests of a priority accept at a service, from
// minQueueShare to 1 for the most urgent. With a shorter queue for the less urgent requests,
// an upstream that becomes full keeps room for the others.
func (t *Table) QueueShare(id fleet.ServiceID, p Priority) float64 {
	list := t.priorities[id]
	rank, _ := slices.BinarySearch(list, p)
	if len(list) < 2 {
		return 1
	}
	return 1 - (1-minQueueShare)*float64(min(rank, len(list)-1))/float64(len(list)-1)
}
