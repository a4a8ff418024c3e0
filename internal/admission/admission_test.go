package admission

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/routes"
)

// load is the requested rate by priority, relative to the capacity.
type load map[routes.Priority]float64

var usualLoad = load{0: 0.4, 2: 0.4}

// result is what becomes of the requests of one part of a run.
type result map[routes.Priority]*modelCounts

// part runs m and returns the counts of the requests that arrive in it.
func (m *model) part(d time.Duration, l load) result {
	m.counts = make(result)
	m.run(d, l)
	return m.counts
}

func (r result) served(p routes.Priority) float64 { return r[p].served / r[p].asked }

func (r result) servedOfAll() float64 {
	served, asked := 0.0, 0.0
	for _, c := range r {
		served += c.served
		asked += c.asked
	}
	return served / asked
}

func (r result) shed() (n float64) {
	for _, c := range r {
		n += c.shed
	}
	return n
}

// burst plays 5 s without a shortage, 5 s of l, and 6 s without a shortage. It returns what
// became of the requests of the second part and of the last 3 s.
func (m *model) burst(t *testing.T, l load) (during, after result) {
	t.Helper()
	if before := m.part(5*time.Second, usualLoad); before.shed() > 0 {
		t.Errorf("%v requests were refused before the burst", before.shed())
	}
	during = m.part(5*time.Second, l)
	m.part(3*time.Second, usualLoad)
	after = m.part(3*time.Second, usualLoad)
	m.run(5*time.Second, nil)
	for p, c := range during {
		t.Logf("%s: priority %d: served %.2f, on time %.2f, rejected by upstreams %.2f, retries refused again %.2f; of all 3 s later: served %.2f",
			m.policy, p, c.served/c.asked, c.onTime/c.asked, c.rejected/c.asked, c.refusedAgain/c.asked, after.servedOfAll())
	}
	return during, after
}

// Guards against urgent requests that are refused in a burst, less urgent ones that starve
// or get more, and a shortage that outlasts the burst. The figures of all policies are in
// docs/design/admission.md.
func TestBursts(t *testing.T) {
	leastUrgent := load{0: 0.4, 2: 2}
	for name, tc := range map[string]struct {
		load    load
		set     func(m *model)
		urgent  float64 // least share of the urgent requests that are served
		recover float64 // least share of all that are served 3 to 6 s after the burst
	}{
		"least urgent":                     {leastUrgent, func(*model) {}, 0.95, 0.95},
		"most urgent":                      {load{0: 1.6, 2: 0.4}, func(*model) {}, 0.6, 0.95},
		"three priorities":                 {load{0: 0.4, 1: 0.6, 2: 1.4}, func(*model) {}, 0.95, 0.95},
		"callers that retry immediately":   {leastUrgent, func(m *model) { m.retryDelay = modelTick }, 0.9, 0.95},
		"capacity overestimated":           {leastUrgent, func(m *model) { m.estimate = 1.4 }, 0.9, 0.95},
		"capacity underestimated":          {leastUrgent, func(m *model) { m.estimate = 0.7 }, 0.9, 0.95},
		"news 2 s old":                     {leastUrgent, func(m *model) { m.delay = time.Second }, 0.75, 0.6},
		"leader lost, news of none":        {leastUrgent, func(m *model) { m.leaderGone = between(7*time.Second, time.Hour) }, 0.9, 0.6},
		"leader lost, another one elected": {leastUrgent, func(m *model) { m.leaderGone = between(7*time.Second, 9*time.Second) }, 0.95, 0.95},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newModel(byShare)
			tc.set(m)
			during, after := m.burst(t, tc.load)
			if got := during.served(0); got < tc.urgent {
				t.Errorf("%.2f of the urgent requests are served, want %.2f", got, tc.urgent)
			}
			moreUrgent := 1.0
			for _, p := range slices.Sorted(maps.Keys(during)) {
				if got, all := during.served(p), during.servedOfAll(); got < all/4 {
					t.Errorf("priority %d: served %.2f, less than a quarter of %.2f", p, got, all)
				}
				if during.served(p) > moreUrgent {
					t.Errorf("priority %d is served %.2f, a more urgent one %.2f", p, during.served(p), moreUrgent)
				}
				moreUrgent = during.served(p)
			}
			if got := after.servedOfAll(); got < tc.recover {
				t.Errorf("%.2f are served after the burst, want %.2f", got, tc.recover)
			}
		})
	}
}

func between(from, to time.Duration) func(time.Duration) bool {
	return func(at time.Duration) bool { return at >= from && at < to }
}

// Guards against a choice of the policy that later figures no longer support.
func TestPolicies(t *testing.T) {
	served := make(map[policy]result)
	for _, p := range []policy{noPolicy, byShare, byThreshold, byCredits, byOwnLoss} {
		served[p], _ = newModel(p).burst(t, load{0: 0.4, 2: 2})
	}
	for _, p := range []policy{noPolicy, byCredits, byOwnLoss} {
		if served[p].served(0) >= served[byShare].served(0) {
			t.Errorf("%s serves as many urgent requests", p)
		}
	}
	if served[byThreshold].served(2) >= served[byShare].served(2) {
		t.Error("a threshold serves as many of the less urgent requests")
	}
}

// Guards against refusals while there is capacity, whatever it is estimated at, and against
// a difference made between requests of the same priority.
func TestNothingIsRefusedWithoutShortage(t *testing.T) {
	for _, estimate := range []float64{0.5, 0.7, 1, 1.5} {
		for name, l := range map[string]load{"two priorities": {0: 0.45, 1: 0.45}, "one priority, too many requests": {1: 2}} {
			m := newModel(byShare)
			m.estimate = estimate
			if shed := m.part(20*time.Second, l).shed(); shed > 0 {
				t.Errorf("%s, capacity estimated %v times too high: %v refused", name, estimate, shed)
			}
		}
	}
}

// Guards against shares that exceed the capacity, starve a priority, or prefer a less urgent
// one, for any rates.
func TestAdmittedShares(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 10_000 {
		var rates ByPriority
		for range 1 + rng.IntN(4) {
			rates[rng.IntN(len(rates))] = rng.ExpFloat64() * 100
		}
		capacity := rng.Float64() * 1.2 * rates.Sum()
		shares, sum := Admitted(capacity, rates), 0.0
		least := min(1, capacity/rates.Sum())
		for p, s := range shares {
			sum += s * rates[p]
			if s < least/4-1e-9 || s > 1+1e-9 || p > 0 && s > shares[p-1]+1e-9 {
				t.Fatalf("capacity %v, rates %v: shares %v", capacity, rates, shares)
			}
		}
		if math.Abs(sum-min(capacity, rates.Sum())) > 1e-6 {
			t.Fatalf("capacity %v, rates %v: %v admitted", capacity, rates, sum)
		}
	}
}

// Guards against instances that differ from the share, and against requests that were refused
// before and are put behind new ones.
func TestCreditsFollowShares(t *testing.T) {
	g := NewGate(modelStart, rand.New(rand.NewPCG(1, 2)))
	g.Learn(modelStart, 0, Shares{{Service: "s"}: {2: 0.3}})
	admitted := map[bool]float64{}
	for i := range 1000 {
		retry := i%4 == 0
		if g.Arrive(modelStart, Request{Service: "s", Priority: 2, Retry: retry}).Admitted {
			admitted[retry]++
		}
	}
	if total := admitted[true] + admitted[false]; math.Abs(total-300) > 1 {
		t.Errorf("%v of 1000 admitted, want 300", total)
	}
	if admitted[true]/250 < 2*admitted[false]/750 {
		t.Errorf("admitted: %v of 250 retries, %v of 750 others", admitted[true], admitted[false])
	}
}

// Guards against new requests that count as retries, and retries that do not.
func TestRetriesAreRecognised(t *testing.T) {
	for name, tc := range map[string]struct {
		usual func(i int) time.Duration
		asked time.Duration
		want  bool
	}{
		"usual time":               {func(int) time.Duration { return 5 * time.Second }, 5 * time.Second, false},
		"less time":                {func(int) time.Duration { return 5 * time.Second }, 4500 * time.Millisecond, true},
		"no time":                  {func(int) time.Duration { return 5 * time.Second }, 0, false},
		"callers have other times": {func(i int) time.Duration { return time.Duration(i%50+1) * 100 * time.Millisecond }, 2 * time.Second, false},
		"one odd caller":           {func(i int) time.Duration { return []time.Duration{time.Hour, 5 * time.Second}[min(i, 1)] }, 5 * time.Second, false},
	} {
		var r Retries
		for i := range 500 {
			r.Retry(tc.usual(i))
		}
		if diff := cmp.Diff(tc.want, r.Retry(tc.asked)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}
