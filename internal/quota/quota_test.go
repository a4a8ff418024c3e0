package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

var (
	start = time.Unix(1_700_000_000, 0)
	cfg   = Config{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
)

// simulation is a number of instances that share demand every 300 ms.
type simulation struct {
	tables   []*Table
	now      time.Time
	admitted []time.Time
	refused  int
	every    time.Duration // between two exchanges of demand; 0 is 300 ms
	// reporting is the number of instances whose demand is known; 0 is all.
	reporting int
}

func newSimulation(n int) *simulation {
	s := &simulation{now: start}
	for range n {
		s.tables = append(s.tables, New(start.Add(-time.Minute), cfg))
	}
	return s
}

// run sends rate requests a second for d; weights says how callers divide.
func (s *simulation) run(rng *rand.Rand, limit fleet.Limit, rate float64, d time.Duration, weights []int) {
	total := 0
	for _, w := range weights {
		total += w
	}
	share := s.now
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if s.now.Sub(share) > max(s.every, 300*time.Millisecond) {
			share = s.now
			s.exchange()
		}
		n, i := rng.IntN(total), 0
		for n >= weights[i] {
			n -= weights[i]
			i++
		}
		if ok, _ := s.tables[i].Admit(s.now, "a", limit, len(s.tables)); ok {
			s.admitted = append(s.admitted, s.now)
		} else {
			s.refused++
		}
	}
}

func (s *simulation) exchange() {
	sum := make(map[fleet.AccountID]float64)
	own := make([]map[fleet.AccountID]float64, len(s.tables))
	for i, t := range s.tables {
		if s.reporting > 0 && i >= s.reporting {
			continue
		}
		own[i] = t.Demand(s.now)
		for id, d := range own[i] {
			sum[id] += d
		}
	}
	for i, t := range s.tables {
		t.Learn(s.now, sum, own[i], len(s.tables))
	}
}

// worst returns the most requests admitted in any window.
func (s *simulation) worst() int {
	worst, first := 0, 0
	for i, at := range s.admitted {
		for at.Sub(s.admitted[first]) >= cfg.Window {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

func allowed(l fleet.Limit) int {
	return int((float64(l.Rate)*cfg.Window.Seconds()+float64(l.Burst))*(1+cfg.Overage) + cfg.Slack)
}

// Guards against an account that gets more than its limit over all instances when
// it suddenly sends several times its usual, and against refusals within the limit.
func TestLimitOverAllInstances(t *testing.T) {
	for _, rate := range []float64{10, 60, 200} {
		for _, weights := range [][]int{{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, {5, 1, 1, 0, 0, 0, 1, 0, 2, 0}} {
			rng := rand.New(rand.NewPCG(1, 2))
			limit := fleet.Limit{Rate: fleet.PerSecond(rate), Burst: fleet.Tokens(rate)}
			s := newSimulation(len(weights))
			s.run(rng, limit, rate/1.6, 20*time.Second, weights)
			if usual := len(s.admitted) + s.refused; s.refused*50 > usual {
				t.Errorf("rate %v, callers %v: %d of %d refused within the limit", rate, weights, s.refused, usual)
			}
			s.run(rng, limit, rate/1.6*8, 10*time.Second, weights)
			if got, most := s.worst(), allowed(limit); got > most {
				t.Errorf("rate %v, callers %v: %d admitted in a window, at most %d are allowed", rate, weights, got, most)
			}
		}
	}
}

// Guards against many instances that each go a little beyond their part when an
// account suddenly sends several times its usual.
func TestLimitOverManyInstances(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	limit := fleet.Limit{Rate: 500, Burst: 500}
	weights := make([]int, 70)
	for i := range weights {
		weights[i] = 1 + i%5
	}
	s := newSimulation(len(weights))
	s.every = 1400 * time.Millisecond // a report each way at the pace for 70 instances
	s.run(rng, limit, 310, 15*time.Second, weights)
	s.run(rng, limit, 2400, 8*time.Second, weights)
	if got, most := s.worst(), allowed(limit); got > most {
		t.Errorf("%d admitted in a window, at most %d are allowed", got, most)
	}
}

// Guards against instances that admit a whole burst again after a restart.
func TestRestartDoesNotRefill(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	limit := fleet.Limit{Rate: 200, Burst: 200}
	weights := []int{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}
	s := newSimulation(len(weights))
	s.run(rng, limit, 125, 10*time.Second, weights)
	s.run(rng, limit, 900, 4*time.Second, weights)
	for i := range s.tables {
		s.tables[i] = New(s.now, cfg)
	}
	s.reporting = 3 // the others have not found the new leader yet
	s.run(rng, limit, 900, time.Second, weights)
	s.reporting = 0
	s.run(rng, limit, 900, 8*time.Second, weights)
	if got, most := s.worst(), allowed(limit); got > most {
		t.Errorf("%d admitted in a window, at most %d are allowed", got, most)
	}
}

// Guards against instances that return, each with an even part, while the parts of
// the others already add up to the whole limit.
func TestLimitWhileHalfReturns(t *testing.T) {
	for seed := range uint64(6) {
		rng := rand.New(rand.NewPCG(seed, 6))
		limit := fleet.Limit{Rate: 430, Burst: 870}
		weights := make([]int, 70)
		for i := range weights {
			weights[i] = 1 + i%5
		}
		s := newSimulation(len(weights))
		s.every = 700 * time.Millisecond
		s.run(rng, limit, 300, 10*time.Second, weights)
		s.run(rng, limit, 2200, 3*time.Second, weights)
		survivors := append([]int(nil), weights...)
		for i := range survivors {
			if i%2 == 0 {
				survivors[i] = 0
			}
		}
		s.run(rng, limit, 2200, 4*time.Second, survivors)
		for i := range s.tables {
			if i%2 == 0 {
				s.tables[i] = New(s.now, cfg)
			}
		}
		s.run(rng, limit, 2200, 10*time.Second, weights)
		if got, most := s.worst(), allowed(limit); got > most {
			t.Errorf("seed %d: %d admitted in a window, at most %d are allowed", seed, got, most)
		}
	}
}

// Guards against requests of a small account that are refused within its limit since
// each of many instances has a part of less than one request, and against more than
// the limit when it sends several times its usual and its home changes.
func TestSmallLimitOverManyInstances(t *testing.T) {
	const instances = 70
	limit := fleet.Limit{Rate: 30, Burst: 30}
	if Divided(limit, instances) || !Divided(limit, 8) || !Divided(fleet.Limit{}, instances) {
		t.Fatal("which limits are divided has changed; the test needs one that is not")
	}
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 8))
		homes := []*Home{NewHome(cfg), NewHome(cfg)}
		s := simulation{now: start}
		send := func(home *Home, rate float64, d time.Duration) {
			for end := s.now.Add(d); s.now.Before(end); {
				s.now = s.now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
				if ok, _ := home.Admit(s.now, "a", limit); ok {
					s.admitted = append(s.admitted, s.now)
				} else {
					s.refused++
				}
			}
		}
		send(homes[0], 19, 20*time.Second)
		if usual := len(s.admitted) + s.refused; s.refused*50 > usual {
			t.Errorf("seed %d: %d of %d refused within the limit", seed, s.refused, usual)
		}
		send(homes[0], 150, 3*time.Second)
		send(homes[1], 150, 5*time.Second)
		if got, most := s.worst(), allowed(limit); got > most {
			t.Errorf("seed %d: %d admitted in a window, at most %d are allowed", seed, got, most)
		}
	}
}

// Guards against a whole burst at each instance once a limit is divided again that
// its home counted.
func TestDividedAgain(t *testing.T) {
	limit := fleet.Limit{Rate: 30, Burst: 300}
	table := New(start.Add(-time.Minute), cfg)
	table.CountedElsewhere(start, "a", limit)
	admitted := 0
	for range 100 {
		if ok, _ := table.Admit(start.Add(100*time.Millisecond), "a", limit, 10); ok {
			admitted++
		}
	}
	if admitted > 1 {
		t.Errorf("%d admitted at once by one of 10 instances, 100 ms after the home counted", admitted)
	}
}

// Guards against a fleet that refuses most requests of an account right after all
// instances have started again, although it is within its limit.
func TestRestartServesAtOnce(t *testing.T) {
	rng := rand.New(rand.NewPCG(9, 9))
	limit := fleet.Limit{Rate: 200, Burst: 200}
	weights := []int{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}
	s := newSimulation(len(weights))
	for i := range s.tables {
		s.tables[i] = New(s.now, cfg)
	}
	s.run(rng, limit, 190, time.Second, weights)
	if all := len(s.admitted) + s.refused; s.refused*10 > all {
		t.Errorf("%d of %d requests were refused within the limit in the first second", s.refused, all)
	}
}

// Guards against homes that admit more than 0.4 s of a limit's rate at each start:
// two restarts of all instances within a window then add up to more than the limit.
func TestHomeStartsWithLittle(t *testing.T) {
	for _, rate := range []float64{1, 4, 100} {
		home, admitted := NewHome(cfg), 0
		for range 1000 {
			if ok, _ := home.Admit(start, "a", fleet.Limit{Rate: fleet.PerSecond(rate), Burst: 50}); ok {
				admitted++
			}
		}
		if most := max(1, int(0.4*rate)); admitted > most {
			t.Errorf("rate %v: a home that starts admits %d requests at once, want at most %d", rate, admitted, most)
		}
	}
}
