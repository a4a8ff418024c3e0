package balance

import (
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// weights are the upstreams of a service for drawing at random by their capacities.
type weights struct {
	at    time.Time
	all   weighted
	zones map[fleet.ZoneID]*weighted
}

// weighted are upstreams with the sums of their capacities up to each one.
type weighted struct {
	entries []*Entry
	sums    []float64
}

func (t *Table) newWeights(now time.Time, list []*Entry) *weights {
	w := &weights{at: now, zones: make(map[fleet.ZoneID]*weighted)}
	for _, e := range list {
		if !t.Usable(e) {
			continue
		}
		rate := t.Capacity(now, e).Rate
		w.all.add(e, rate)
		if w.zones[e.Zone] == nil {
			w.zones[e.Zone] = &weighted{}
		}
		w.zones[e.Zone].add(e, rate)
	}
	return w
}

func (w *weighted) add(e *Entry, weight float64) {
	sum := weight
	if n := len(w.sums); n > 0 {
		sum += w.sums[n-1]
	}
	w.entries, w.sums = append(w.entries, e), append(w.sums, sum)
}

// draw returns the upstream at the given share, from 0 to 1, of the sum of all weights, or
// nil if there is none.
func (w *weighted) draw(share float64) *Entry {
	if w == nil || len(w.entries) == 0 {
		return nil
	}
	i, _ := slices.BinarySearch(w.sums, share*w.sums[len(w.sums)-1])
	return w.entries[min(i, len(w.entries)-1)]
}

// noteRecent puts e in front of the upstreams of its service that answered last.
func (t *Table) noteRecent(e *Entry) {
	if t.entries[e.ID] != e {
		return // the run has ended
	}
	list := t.recent[e.Service]
	i := slices.Index(list, e)
	if i < 0 {
		if len(list) < recentSize {
			list = append(list, nil)
		}
		i = len(list) - 1
	}
	copy(list[1:i+1], list[:i])
	list[0] = e
	t.recent[e.Service] = list
}

// pruneRecent removes the upstreams that are not listed any more.
func (t *Table) pruneRecent() {
	for id, list := range t.recent {
		t.recent[id] = slices.DeleteFunc(list, func(e *Entry) bool { return t.entries[e.ID] != e || e.Service != id })
	}
}
