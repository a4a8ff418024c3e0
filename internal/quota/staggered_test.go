package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// staggeredFleet is a fleet whose instances report to a leader at times of their own: an
// instance learns the sum of reports of which some are older than its own.
type staggeredFleet struct {
	*simulation
	interval time.Duration // between the reports of an instance
	reported []float64     // last demand that each instance reported
	due      []time.Time
}

func newStaggeredFleet(rng *rand.Rand, instances int, interval time.Duration) *staggeredFleet {
	f := &staggeredFleet{simulation: newSimulation(instances), interval: interval, reported: make([]float64, instances), due: make([]time.Time, instances)}
	for i := range f.due {
		f.due[i] = start.Add(time.Duration(rng.Float64() * float64(interval)))
	}
	return f
}

// run sends rate requests a second until end; weights contains the relative number of
// requests to each instance.
func (f *staggeredFleet) run(rng *rand.Rand, limit fleet.Limit, rate float64, end time.Time, weights []int) {
	total := 0
	for _, w := range weights {
		total += w
	}
	for f.now.Before(end) {
		f.now = f.now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		for i, t := range f.tables {
			if f.now.Before(f.due[i]) || weights[i] == 0 {
				continue
			}
			f.due[i] = f.now.Add(f.interval)
			f.reported[i] = t.Demand(f.now)["a"]
			sum := 0.0
			for _, d := range f.reported {
				sum += d
			}
			t.Learn(f.now, map[fleet.AccountID]float64{"a": sum}, map[fleet.AccountID]float64{"a": f.reported[i]}, len(f.tables))
		}
		position, i := rng.IntN(total), 0
		for position >= weights[i] {
			position -= weights[i]
			i++
		}
		if ok, _ := f.tables[i].Admit(f.now, "a", limit, len(f.tables)); ok {
			f.admitted = append(f.admitted, f.now)
		} else {
			f.refused++
		}
	}
}

// Guards against an account that exceeds its limit when its requests multiply while
// instances are stopped and started in turn, and most of them are killed and come back: the
// day deploy/days/clocks-and-settings.toml of a fleet of 60.
func TestLimitWhileInstancesAreReplaced(t *testing.T) {
	const instances = 60
	limit := fleet.Limit{Rate: 240, Burst: 240}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 9))
		f := newStaggeredFleet(rng, instances, 700*time.Millisecond)
		weights := make([]int, instances)
		for i := range weights {
			weights[i] = rng.IntN(6)
		}
		const usual = 150.0
		rate := usual
		var killed []int
		for step := range 30 {
			now := start.Add(time.Duration(step) * time.Second)
			active := append([]int(nil), weights...)
			if step >= 10 { // in turn, each for a second
				active[step%instances] = 0
				if step > 10 {
					f.tables[step%instances-1] = New[fleet.AccountID](f.now, cfg)
				}
			}
			if step >= 20 {
				rate = 8 * usual
			}
			if step == 22 {
				killed = rng.Perm(instances)[:instances*6/10]
			}
			if step == 22 || step == 23 {
				for _, i := range killed {
					active[i] = 0
				}
			}
			if step == 24 {
				for _, i := range killed {
					f.tables[i] = New[fleet.AccountID](f.now, cfg)
				}
			}
			if step >= 26 {
				rate = usual
			}
			f.run(rng, limit, rate, now.Add(time.Second), active)
		}
		if got, most := f.maxPerWindow(), maxAllowed(limit); got > most {
			t.Errorf("seed %d: %d admitted in a window, at most %d are allowed", seed, got, most)
		}
	}
}
