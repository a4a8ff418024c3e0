package limit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// simulation runs holders against one home in simulated time, with a Tick every 10 ms
// and a network delay of 1 ms in each direction.
type simulation struct {
	now          time.Time
	events       events
	home         *Home
	limit        fleet.Limit
	holders      []*Holder
	waiters      [][]time.Time // arrival times of waiting requests, by holder
	admitted     int
	refused      int
	calls        int
	maxWait      time.Duration
	arrivalTimes []time.Time
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSimulation(l fleet.Limit, holders int) *simulation {
	s := &simulation{now: epoch, home: NewHome(ttl), limit: l, waiters: make([][]time.Time, holders), maxWait: time.Second}
	s.home.Activate(epoch.Add(-time.Hour), id, l, l.Burst)
	for i := range holders {
		s.holders = append(s.holders, NewHolder())
		s.schedule(time.Duration(i)*time.Millisecond, func() { s.tick(i) })
	}
	return s
}

func (s *simulation) schedule(d time.Duration, run func()) {
	heap.Push(&s.events, event{at: s.now.Add(d), do: run})
}

func (s *simulation) runFor(d time.Duration) {
	for end := s.now.Add(d); s.events[0].at.Before(end); {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

func (s *simulation) tick(i int) {
	s.call(i, s.holders[i].Tick(s.now))
	s.schedule(10*time.Millisecond, func() { s.tick(i) })
}

func (s *simulation) call(i int, calls []Call) {
	sent := s.now
	for _, c := range calls {
		s.calls++
		s.schedule(time.Millisecond, func() {
			l := s.home.HandleCall(s.now, instanceName(i), c)
			s.schedule(time.Millisecond, func() {
				s.holders[i].AddLease(sent, id, l)
				waiters := s.waiters[i]
				s.waiters[i] = nil
				for _, arrival := range waiters {
					s.request(i, arrival)
				}
			})
		})
	}
}

func (s *simulation) request(i int, arrival time.Time) {
	if s.now.Sub(arrival) > s.maxWait {
		s.refused++
		return
	}
	switch d := s.holders[i].Admit(s.now, []RequestLimit{{ID: id, Limit: s.limit}}).(type) {
	case Admitted:
		s.admitted++
	case Refused:
		s.refused++
	case Need:
		s.waiters[i] = append(s.waiters[i], arrival)
		s.call(i, d.Calls)
	}
}

// generateLoad sends requests at random times with an average rate in requests/s; pick
// chooses the holder of each.
func (s *simulation) generateLoad(rng *rand.Rand, rate float64, pick func() int) {
	var next func()
	next = func() {
		s.arrivalTimes = append(s.arrivalTimes, s.now)
		s.request(pick(), s.now)
		s.schedule(time.Duration(rng.ExpFloat64()/rate*1e9), next)
	}
	s.schedule(0, next)
}

// singleBucketRefusals returns how many of the same requests a single token bucket
// refuses.
func (s *simulation) singleBucketRefusals() (refused int) {
	level, last := float64(s.limit.Burst), epoch
	for _, at := range s.arrivalTimes {
		level = min(float64(s.limit.Burst), level+float64(s.limit.Rate)*at.Sub(last).Seconds())
		if last = at; level >= 1 {
			level--
		} else {
			refused++
		}
	}
	return refused
}

// TestFewRefusals guards against noticeably more refusals than a single token bucket
// gives: with 12 holders, low rates, bursts below the number of holders, load that
// shifts to one holder at once, and overload, of which the rate must still be admitted.
func TestFewRefusals(t *testing.T) {
	for _, c := range []struct {
		rate  float64
		burst fleet.Tokens
		load  float64       // as a fraction of rate
		move  time.Duration // after which all load shifts to the next holder; 0: load on all holders
	}{
		{10, 5, 0.5, 0},
		{10, 5, 0.8, 0},
		{3, 2, 0.3, 0},
		{50, 10, 0.8, 500 * time.Millisecond},
		{200, 20, 0.9, 300 * time.Millisecond},
		{1000, 500, 0.95, 0},
		{1000, 500, 0.95, 200 * time.Millisecond},
		{3000, 300, 0.9, 200 * time.Millisecond},
		{100, 20, 5, 0},
		{1000, 200, 5, 200 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("rate=%v burst=%d load=%v move=%v", c.rate, c.burst, c.load, c.move), func(t *testing.T) {
			d := max(10*time.Second, time.Duration(4000/(c.rate*c.load)*1e9))
			l := fleet.Limit{Rate: fleet.PerSecond(c.rate), Burst: c.burst}
			s := newSimulation(l, 12)
			rng := rand.New(rand.NewPCG(1, 2))
			s.generateLoad(rng, c.rate*c.load, func() int {
				if c.move == 0 {
					return rng.IntN(len(s.holders))
				}
				return int(s.now.Sub(epoch)/c.move) % len(s.holders)
			})
			s.runFor(d)
			total := s.admitted + s.refused
			got, best := float64(s.refused)/float64(total), float64(s.singleBucketRefusals())/float64(total)
			t.Logf("refused %.4f, single bucket %.4f; %.0f calls/s for %.0f requests/s",
				got, best, float64(s.calls)/d.Seconds(), float64(total)/d.Seconds())
			if got > best+0.005 {
				t.Errorf("refused share of requests %.4f, want at most 0.005 above the %.4f of a single bucket", got, best)
			}
		})
	}
}

func BenchmarkAdmit(b *testing.B) {
	h := NewHolder()
	limits := []RequestLimit{
		{ID: "account:a", Limit: fleet.Limit{Rate: 1e9, Burst: 1e9}},
		{ID: "entry:e", Limit: fleet.Limit{Rate: 1e9, Burst: 1e9}},
	}
	for _, l := range limits {
		h.AddLease(epoch, l.ID, Lease{ID: 1, Granted: 1e12, TTL: ttl})
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := h.Admit(epoch, limits).(Admitted); !ok {
			b.Fatal("not admitted")
		}
	}
}

// TestBothLimitsOrNone guards against a request that spends a token of one limit
// although no token of its other limit is available.
func TestBothLimitsOrNone(t *testing.T) {
	h := NewHolder()
	l := fleet.Limit{Rate: 1, Burst: 5}
	limits := []RequestLimit{{ID: "account:a", Limit: l}, {ID: "open"}, {ID: "entry:e", Limit: l}}
	h.AddLease(epoch, "account:a", Lease{ID: 1, Granted: 1, TTL: ttl})
	n, ok := h.Admit(epoch, limits).(Need)
	if !ok || len(n.Calls) != 1 || n.Calls[0].ID != "entry:e" || h.Held(epoch, "account:a") != 1 {
		t.Fatalf("decision %+v, want Need with a call for entry:e; %d tokens of account:a, want 1", n, h.Held(epoch, "account:a"))
	}
	h.AddLease(epoch, "entry:e", Lease{ID: 2, Granted: 1, TTL: ttl})
	if d, ok := h.Admit(epoch, limits).(Admitted); !ok || h.Held(epoch, "account:a")+h.Held(epoch, "entry:e") != 0 {
		t.Errorf("decision %+v, want Admitted", d)
	}
}

// TestUnreachableHome guards against admissions with expired leases while the home is
// unreachable, against refusals with the reason rate-limited in that case, and against
// never calling the home again.
func TestUnreachableHome(t *testing.T) {
	h := NewHolder()
	limits := []RequestLimit{{ID: id, Limit: fleet.Limit{Rate: 1, Burst: 5}}}
	h.AddLease(epoch, id, Lease{ID: 1, Granted: 5, TTL: ttl})
	if _, ok := h.Admit(epoch.Add(ttl-1), limits).(Admitted); !ok {
		t.Error("not admitted within the TTL")
	}
	now := epoch.Add(ttl)
	n, ok := h.Admit(now, limits).(Need)
	if !ok || len(n.Calls) != 1 {
		t.Fatalf("decision after the TTL: %+v, want Need with one call", n)
	}
	h.CallFailed(now, id)
	if _, ok := h.Admit(now, limits).(Need); !ok {
		t.Error("refused within homeTimeout, although the home may be handed over")
	}
	r, ok := h.Admit(now.Add(homeTimeout), limits).(Refused)
	if !ok || r.Reason != fleet.ReasonLimitUnavailable {
		t.Errorf("refusal %+v, want limit-unavailable", r)
	}
	if calls := h.Tick(now.Add(homeTimeout)); len(calls) != 1 {
		t.Errorf("calls to a failing home: %+v, want one", calls)
	}
}
