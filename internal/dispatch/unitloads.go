package dispatch

import (
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	loadWindow = time.Second
	// newestWindowWeight is the weight of the newest window in the moving average. The
	// load of a single window is too noisy to decide moves of units: a mean of
	// 60 requests has a standard deviation of 13%.
	newestWindowWeight = 0.3
	maxReportedUnits   = 6
)

// unitLoads averages the requests/s of each unit over a few seconds.
type unitLoads struct {
	windowStart time.Time
	rates       map[fleet.Unit]float64
	counts      map[fleet.Unit]int // requests in the present window
}

func newUnitLoads(now time.Time) unitLoads {
	return unitLoads{windowStart: now, rates: make(map[fleet.Unit]float64), counts: make(map[fleet.Unit]int)}
}

func (l *unitLoads) add(u fleet.Unit) { l.counts[u]++ }

// rotateWindow starts a new window if the present one has lasted loadWindow.
func (l *unitLoads) rotateWindow(now time.Time) {
	length := now.Sub(l.windowStart)
	if length < loadWindow {
		return
	}
	for u, old := range l.rates {
		l.rates[u] = old * (1 - newestWindowWeight)
	}
	for u, n := range l.counts {
		l.rates[u] += newestWindowWeight * float64(n) / length.Seconds()
	}
	l.windowStart = now
	clear(l.counts)
}

// remove removes a unit that the upstream no longer owns.
func (l *unitLoads) remove(u fleet.Unit) {
	delete(l.rates, u)
	delete(l.counts, u)
}

// report returns the sum of the averages, in requests/s, and the units with the
// highest ones.
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
	return sum, slices.Clone(top[:min(len(top), maxReportedUnits)])
}
