package dispatch

import (
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	loadWindow = time.Second
	// loadWeight is the share of the newest window in the average. The load of one
	// second is too noisy to move units by: 60 requests vary by 13%.
	loadWeight    = 0.3
	unitsReported = 6
)

// unitLoads averages the requests/s of each unit over a few seconds.
type unitLoads struct {
	since time.Time
	rates map[fleet.Unit]float64
	n     map[fleet.Unit]int // in the present window
}

func newUnitLoads(now time.Time) unitLoads {
	return unitLoads{since: now, rates: make(map[fleet.Unit]float64), n: make(map[fleet.Unit]int)}
}

func (l *unitLoads) add(u fleet.Unit) { l.n[u]++ }

// roll ends the window if it has lasted long enough.
func (l *unitLoads) roll(now time.Time) {
	length := now.Sub(l.since)
	if length < loadWindow {
		return
	}
	for u, old := range l.rates {
		l.rates[u] = old * (1 - loadWeight)
	}
	for u, n := range l.n {
		l.rates[u] += loadWeight * float64(n) / length.Seconds()
	}
	l.since = now
	clear(l.n)
}

// forget drops a unit that the upstream no longer owns.
func (l *unitLoads) forget(u fleet.Unit) {
	delete(l.rates, u)
	delete(l.n, u)
}

// report returns the sum of the averages and the busiest units.
func (l *unitLoads) report() (sum float64, top []assignment.UnitLoad) {
	for u, rate := range l.rates {
		sum += rate
		top = append(top, assignment.UnitLoad{Unit: u, Rate: rate})
	}
	slices.SortFunc(top, func(a, b assignment.UnitLoad) int {
		if a.Rate != b.Rate {
			if a.Rate > b.Rate {
				return -1
			}
			return 1
		}
		return compareUnits(a.Unit, b.Unit)
	})
	return sum, slices.Clone(top[:min(len(top), unitsReported)])
}
