package routes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// maxShareError and shareWindow are the platform's bound on the share of a service: by
// how much it may differ from that of its weight in any so many successive requests.
const (
	maxShareError = 0.1
	shareWindow   = 300
)

func split(weights ...int) *Route {
	r := &Route{Name: "r"}
	for i, w := range weights {
		r.TrafficShares = append(r.TrafficShares, TrafficShare{Service: fleet.ServiceID(fmt.Sprint("s", i)), Weight: w})
	}
	return r
}

// largestShareError returns the largest difference between the share of a service in
// shareWindow successive picks and that of its weight.
func largestShareError(r *Route, picks []fleet.ServiceID) float64 {
	total := 0
	for _, p := range r.TrafficShares {
		total += p.Weight
	}
	worst := 0.0
	for _, p := range r.TrafficShares {
		count := 0
		for i, picked := range picks {
			if picked == p.Service {
				count++
			}
			if i >= shareWindow && picks[i-shareWindow] == p.Service {
				count--
			}
			if i >= shareWindow-1 {
				worst = max(worst, math.Abs(float64(count)/shareWindow-float64(p.Weight)/float64(total)))
			}
		}
	}
	return worst
}

// Guards against shares that are right on average only, over an instance or over the
// whole fleet, whose requests arrive at instances in any order. Each configuration plays
// 200,000 requests; independent random choices exceed the bound in them.
func TestSharesOverTheFleet(t *testing.T) {
	for _, instances := range []int{1, 12, 86, 195, 300} {
		for _, weights := range [][]int{{1, 1}, {9, 1}, {2, 3, 5}, {99, 1}, {0, 7, 7}} {
			t.Run(fmt.Sprint(instances, " instances ", weights), func(t *testing.T) {
				rng := rand.New(rand.NewPCG(1, uint64(instances)))
				r := split(weights...)
				splitters := make([]*Splitter, instances)
				for i := range splitters {
					splitters[i] = NewSplitter(rng)
				}
				var picks []fleet.ServiceID
				for range 200_000 {
					// Callers use instances unevenly: a third get two thirds of the requests.
					i := rng.IntN(instances)
					if rng.IntN(2) == 0 {
						i /= 3
					}
					picks = append(picks, splitters[i].Pick(1, r))
				}
				if e := largestShareError(r, picks); e > maxShareError {
					t.Errorf("a share of %d requests is off by %.3f, want at most %.1f", shareWindow, e, maxShareError)
				}
			})
		}
	}
}

// Guards against shares that are off around a change of weights, and against routes whose
// state stays after they were removed.
func TestSharesAcrossChanges(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	splitters := make([]*Splitter, 12)
	for i := range splitters {
		splitters[i] = NewSplitter(rng)
	}
	for v := range Version(50) {
		r := split(int(v)%4+1, 3)
		r.Name = fmt.Sprint("route-", v)
		var picks []fleet.ServiceID
		for range 2 * shareWindow {
			picks = append(picks, splitters[rng.IntN(len(splitters))].Pick(v+1, r))
		}
		if e := largestShareError(r, picks); e > maxShareError {
			t.Errorf("version %d: a share is off by %.3f", v+1, e)
		}
	}
	for _, s := range splitters {
		if diff := cmp.Diff(1, len(s.positions)); diff != "" {
			t.Error("routes with state:", diff)
		}
	}
}

// Guards against picks of a service without weight, and against weights whose sum
// overflows.
func TestSplitWeights(t *testing.T) {
	for name, tc := range map[string]struct {
		route *Route
		want  map[fleet.ServiceID]int
	}{
		"weight 0 first":   {split(0, 1), map[fleet.ServiceID]int{"s1": 1000}},
		"weight 0 last":    {split(1, 0), map[fleet.ServiceID]int{"s0": 1000}},
		"weight 0 between": {split(1, 0, 1), map[fleet.ServiceID]int{"s0": 500, "s2": 500}},
		"one service":      {split(0), map[fleet.ServiceID]int{"s0": 1000}},
		"huge weights":     {split(1<<40, 1<<40), map[fleet.ServiceID]int{"s0": 500, "s1": 500}},
	} {
		t.Run(name, func(t *testing.T) {
			s, got := NewSplitter(rand.New(rand.NewPCG(1, 2))), make(map[fleet.ServiceID]int)
			for range 1000 {
				got[s.Pick(1, tc.route)]++
			}
			if diff := cmp.Diff(tc.want, got, cmp.Comparer(func(a, b int) bool { return a-b <= 2 && b-a <= 2 })); diff != "" {
				t.Error(diff)
			}
		})
	}
}
