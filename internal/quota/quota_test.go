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

// simulation runs several instances that report their demand to each other every 300 ms,
// unless exchangeInterval is set.
type simulation struct {
	tables           []*Table[fleet.AccountID]
	now              time.Time
	admitted         []time.Time
	refused          int
	exchangeInterval time.Duration // between exchanges of demand; 0 means 300 ms
	// reportingInstances is the number of instances that report their demand; 0 means all.
	reportingInstances int
}

func newSimulation(instances int) *simulation {
	s := &simulation{now: start}
	for range instances {
		s.tables = append(s.tables, New[fleet.AccountID](start.Add(-time.Minute), cfg))
	}
	return s
}

// run sends rate requests per second for the time d. weights contains the relative
// number of requests to each instance.
func (s *simulation) run(rng *rand.Rand, limit fleet.Limit, rate float64, d time.Duration, weights []int) {
	total := 0
	for _, w := range weights {
		total += w
	}
	lastExchange := s.now
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if s.now.Sub(lastExchange) > max(s.exchangeInterval, 300*time.Millisecond) {
			lastExchange = s.now
			s.exchange()
		}
		position, i := rng.IntN(total), 0
		for position >= weights[i] {
			position -= weights[i]
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
		if s.reportingInstances > 0 && i >= s.reportingInstances {
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

// maxPerWindow returns the maximum number of requests admitted in any window.
func (s *simulation) maxPerWindow() int {
	worst, first := 0, 0
	for i, at := range s.admitted {
		for at.Sub(s.admitted[first]) >= cfg.Window {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

func maxAllowed(l fleet.Limit) int {
	return int((float64(l.Rate)*cfg.Window.Seconds()+float64(l.Burst))*(1+cfg.Overage) + cfg.Slack)
}

// Guards against an account that exceeds its limit over all instances when its request
// rate suddenly rises to a multiple, and against refusals within the limit.
func TestLimitOverAllInstances(t *testing.T) {
	for _, rate := range []float64{10, 60, 200} {
		for _, weights := range [][]int{{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, {5, 1, 1, 0, 0, 0, 1, 0, 2, 0}} {
			rng := rand.New(rand.NewPCG(1, 2))
			limit := fleet.Limit{Rate: fleet.PerSecond(rate), Burst: fleet.Tokens(rate)}
			s := newSimulation(len(weights))
			s.run(rng, limit, rate/1.6, 20*time.Second, weights)
			if sent := len(s.admitted) + s.refused; s.refused*50 > sent {
				t.Errorf("rate %v, callers %v: %d of %d refused within the limit", rate, weights, s.refused, sent)
			}
			s.run(rng, limit, rate/1.6*8, 10*time.Second, weights)
			if got, most := s.maxPerWindow(), maxAllowed(limit); got > most {
				t.Errorf("rate %v, callers %v: %d admitted in a window, at most %d are allowed", rate, weights, got, most)
			}
		}
	}
}

// Guards against many instances that each exceed their share by a few requests when the
// request rate of an account suddenly rises to a multiple.
func TestLimitOverManyInstances(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	limit := fleet.Limit{Rate: 500, Burst: 500}
	weights := make([]int, 70)
	for i := range weights {
		weights[i] = 1 + i%5
	}
	s := newSimulation(len(weights))
	s.exchangeInterval = 1400 * time.Millisecond // reporting interval with 70 instances, both ways
	s.run(rng, limit, 310, 15*time.Second, weights)
	s.run(rng, limit, 2400, 8*time.Second, weights)
	if got, most := s.maxPerWindow(), maxAllowed(limit); got > most {
		t.Errorf("%d admitted in a window, at most %d are allowed", got, most)
	}
}

// Guards against instances that admit a full burst again after a restart.
func TestRestartDoesNotRefillBuckets(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	limit := fleet.Limit{Rate: 200, Burst: 200}
	weights := []int{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}
	s := newSimulation(len(weights))
	s.run(rng, limit, 125, 10*time.Second, weights)
	s.run(rng, limit, 900, 4*time.Second, weights)
	for i := range s.tables {
		s.tables[i] = New[fleet.AccountID](s.now, cfg)
	}
	s.reportingInstances = 3 // the other instances do not report until they know the new leader
	s.run(rng, limit, 900, time.Second, weights)
	s.reportingInstances = 0
	s.run(rng, limit, 900, 8*time.Second, weights)
	if got, most := s.maxPerWindow(), maxAllowed(limit); got > most {
		t.Errorf("%d admitted in a window, at most %d are allowed", got, most)
	}
}

// Guards against an account that exceeds its limit when stopped instances return, each
// with an even share, while the shares of the others already add up to the whole limit.
func TestLimitWhileInstancesReturn(t *testing.T) {
	for seed := range uint64(6) {
		rng := rand.New(rand.NewPCG(seed, 6))
		limit := fleet.Limit{Rate: 430, Burst: 870}
		weights := make([]int, 70)
		for i := range weights {
			weights[i] = 1 + i%5
		}
		s := newSimulation(len(weights))
		s.exchangeInterval = 700 * time.Millisecond
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
				s.tables[i] = New[fleet.AccountID](s.now, cfg)
			}
		}
		s.run(rng, limit, 2200, 10*time.Second, weights)
		if got, most := s.maxPerWindow(), maxAllowed(limit); got > most {
			t.Errorf("seed %d: %d admitted in a window, at most %d are allowed", seed, got, most)
		}
	}
}

// Guards against refusals within a small limit because each of many instances has a share
// of less than one request, and against exceeding the limit when the request rate rises
// to a multiple and the home of the account changes.
func TestSmallLimitOverManyInstances(t *testing.T) {
	const instances = 70
	limit := fleet.Limit{Rate: 30, Burst: 30}
	if cfg.Divided(limit, instances) || !cfg.Divided(limit, 8) || !cfg.Divided(fleet.Limit{}, instances) {
		t.Fatal("Divided has changed; the test needs a limit that is not divided among 70 instances")
	}
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 8))
		homes := []*Home[fleet.AccountID]{NewHome[fleet.AccountID](cfg), NewHome[fleet.AccountID](cfg)}
		s := simulation{now: start}
		send := func(home *Home[fleet.AccountID], rate float64, d time.Duration) {
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
		if sent := len(s.admitted) + s.refused; s.refused*50 > sent {
			t.Errorf("seed %d: %d of %d refused within the limit", seed, s.refused, sent)
		}
		send(homes[0], 150, 3*time.Second)
		send(homes[1], 150, 5*time.Second)
		if got, most := s.maxPerWindow(), maxAllowed(limit); got > most {
			t.Errorf("seed %d: %d admitted in a window, at most %d are allowed", seed, got, most)
		}
	}
}

// Guards against a home that refills the same time twice when the time of a request was
// read before that of an earlier call, for example while it waited for a lock.
func TestHomeIgnoresEarlierReadings(t *testing.T) {
	home, admitted := NewHome[fleet.AccountID](cfg), 0
	limit := fleet.Limit{Rate: 4, Burst: 50}
	for i := range 1000 {
		now := start
		if i%2 == 0 {
			now = start.Add(time.Second)
		}
		if ok, _ := home.Admit(now, "a", limit); ok {
			admitted++
		}
	}
	if most := 1 + 4; admitted > most {
		t.Errorf("%d admitted within 1 s by a home that starts, want at most %d", admitted, most)
	}
}

// Guards against a table that refills the same time twice when the home counts a request
// whose time was read before that of an earlier request.
func TestCountedByHomeIgnoresEarlierReadings(t *testing.T) {
	limit := fleet.Limit{Rate: 30, Burst: 300}
	table := New[fleet.AccountID](start.Add(-time.Minute), cfg)
	now := start.Add(10 * time.Second)
	table.CountedByHome(now, "a", limit)
	table.CountedByHome(start, "a", limit)
	if ok, _ := table.Admit(now, "a", limit, 1); ok {
		t.Error("admitted at the time up to which the home counted, want no token")
	}
}

// Guards against a full burst at each instance when a limit that the home has counted is
// divided again.
func TestNoBurstAfterHomeCounting(t *testing.T) {
	limit := fleet.Limit{Rate: 30, Burst: 300}
	table := New[fleet.AccountID](start.Add(-time.Minute), cfg)
	table.CountedByHome(start, "a", limit)
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

// Guards against a fleet that, after a restart of all instances, refuses most requests of
// an account that is within its limit.
func TestRestartAdmitsWithinLimit(t *testing.T) {
	rng := rand.New(rand.NewPCG(9, 9))
	limit := fleet.Limit{Rate: 200, Burst: 200}
	weights := []int{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}
	s := newSimulation(len(weights))
	for i := range s.tables {
		s.tables[i] = New[fleet.AccountID](s.now, cfg)
	}
	s.run(rng, limit, 190, time.Second, weights)
	if all := len(s.admitted) + s.refused; s.refused*10 > all {
		t.Errorf("%d of %d requests were refused within the limit in the first second", s.refused, all)
	}
}

// Guards against homes that admit more than 0.4 s of a limit's rate after each start. Two
// restarts of all instances within a window would then exceed the limit.
func TestNewHomeAdmitsLittle(t *testing.T) {
	for _, rate := range []float64{1, 4, 100} {
		home, admitted := NewHome[fleet.AccountID](cfg), 0
		for range 1000 {
			if ok, _ := home.Admit(start, "a", fleet.Limit{Rate: fleet.PerSecond(rate), Burst: 50}); ok {
				admitted++
			}
		}
		if maxAdmitted := max(1, int(0.4*rate)); admitted > maxAdmitted {
			t.Errorf("rate %v: a home that starts admits %d requests at once, want at most %d", rate, admitted, maxAdmitted)
		}
	}
}

// Guards against slots that are reserved for the same time, against a reservation later
// than the request can wait, and against a refusal that states another time than that of
// the next slot.
func TestReservations(t *testing.T) {
	limit := fleet.Limit{Rate: 4}
	for name, reserve := range map[string]func(now time.Time, maxWait time.Duration) Decision{
		"home": func() func(time.Time, time.Duration) Decision {
			home := NewHome[string](Config{Window: 4 * time.Second})
			return func(now time.Time, maxWait time.Duration) Decision { return home.Reserve(now, "u", limit, maxWait) }
		}(),
		"divided": func() func(time.Time, time.Duration) Decision {
			table := New[string](start, Config{Window: 4 * time.Second})
			return func(now time.Time, maxWait time.Duration) Decision { return table.Reserve(now, "u", limit, 1, maxWait) }
		}(),
	} {
		var waits []time.Duration
		for range 4 {
			d := reserve(start, 800*time.Millisecond)
			waits = append(waits, d.Wait)
			if n := len(waits); !d.Admitted || n > 2 && d.Wait-waits[n-2] < 240*time.Millisecond {
				t.Errorf("%s: request %d: %+v, slots after %v, want them 250 ms apart", name, n, d, waits)
			}
		}
		refused := reserve(start, 100*time.Millisecond)
		if refused.Admitted || refused.Wait <= waits[3] {
			t.Errorf("%s: request that can wait for 100 ms: %+v after slots at %v", name, refused, waits)
		}
		if d := reserve(start.Add(refused.Wait+time.Millisecond), 0); !d.Admitted || d.Wait > 0 {
			t.Errorf("%s: request after the time that a refusal stated: %+v", name, d)
		}
	}
}

// Guards against a limit without a rate whose wait overflows, so that requests beyond its
// burst are admitted on some machines.
func TestLimitWithoutRate(t *testing.T) {
	limit := fleet.Limit{Burst: 3}
	home, table := NewHome[string](Config{Window: time.Second}), New[string](start.Add(-time.Minute), Config{Window: time.Second})
	for name, reserve := range map[string]func() Decision{
		"home":    func() Decision { return home.Reserve(start, "a", limit, time.Second) },
		"divided": func() Decision { return table.Reserve(start, "a", limit, 1, time.Second) },
	} {
		admitted, last := 0, Decision{}
		for range 20 {
			if last = reserve(); last.Admitted {
				admitted++
			}
		}
		if admitted > 3 || last.Admitted || last.Wait != maxStatedWait {
			t.Errorf("%s: %d of 20 requests admitted, last decision %+v, want at most 3 and a refusal", name, admitted, last)
		}
	}
}
