package routes

import (
	"maps"
	"slices"
)

// Priorities returns the ranks that requests can have in this configuration, in order.
func (t *Table) Priorities() []Priority { return t.priorities }

func (t *Table) collectPriorities() []Priority {
	all := make(map[Priority]bool)
	for _, hostRoutes := range t.routesByHost {
		for _, r := range hostRoutes {
			all[r.Priority] = true
		}
	}
	for _, a := range t.Accounts {
		if a.HasPriority {
			all[a.Priority] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}
