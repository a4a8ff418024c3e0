package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	requestTimeout    = 120 * time.Millisecond // as in package direct
	requestRetryDelay = 400 * time.Millisecond
	fallbackDivisor   = 2
)

// homeFleet is a fleet of instances that request tokens from the homes of one account over a network with
// latency. Its events run in the order of their times.
type homeFleet struct {
	limit        fleet.Limit
	rng          *rand.Rand
	now          time.Time
	events       eventQueue
	nodes        []*homeNode
	homes        func(requester int) []int    // in the view of an instance
	divided      func(requester int) bool     // whether an instance divides the limit; nil if none does
	latency      func(home int) time.Duration // of a token request or an answer
	service      time.Duration                // time of a home for a token request
	tally        simulation
	requestTimes []time.Time // of the token requests that arrived at homes
}

type homeNode struct {
	run        Run
	requester  *Requester[fleet.AccountID]
	home       *Home[fleet.AccountID]
	fallback   *Table[fleet.AccountID]
	divided    *Table[fleet.AccountID]
	waiting    int  // requests for the next token request
	requesting bool // a token request is on its way
	failedAt   map[int]time.Time
	busy       time.Time // until when the home answers earlier token requests
	down       bool
}

type event struct {
	at  time.Time
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newHomeFleet(seed uint64, n int, limit fleet.Limit) *homeFleet {
	f := &homeFleet{
		limit: limit, rng: rand.New(rand.NewPCG(seed, 11)), now: start,
		homes:   func(int) []int { return []int{0, 1} },
		latency: func(int) time.Duration { return time.Millisecond }, service: 100 * time.Microsecond,
	}
	for i := range n {
		f.nodes = append(f.nodes, &homeNode{run: Run{Instance: fleet.InstanceID(strconv.Itoa(i))}})
		f.restart(i)
	}
	return f
}

// restart replaces the state of an instance by that of a new run.
func (f *homeFleet) restart(i int) {
	run := Run{Instance: f.nodes[i].run.Instance, Boot: f.nodes[i].run.Boot + "1"}
	f.nodes[i] = &homeNode{
		run: run, requester: NewRequester[fleet.AccountID](run, cfg.Window), home: NewHome[fleet.AccountID](cfg),
		fallback: New[fleet.AccountID](f.now, cfg), divided: New[fleet.AccountID](f.now, cfg), failedAt: make(map[int]time.Time),
	}
}

func (f *homeFleet) after(d time.Duration, run func()) {
	heap.Push(&f.events, event{at: f.now.Add(d), run: run})
}

// run sends rate requests per second for the time d.
func (f *homeFleet) run(rate float64, d time.Duration) {
	end := f.now.Add(d)
	var next func()
	next = func() {
		i := f.rng.IntN(len(f.nodes))
		if n := f.nodes[i]; !n.down && f.divided != nil && f.divided(i) {
			ok, _ := n.divided.Admit(f.now, "a", f.limit, len(f.nodes))
			f.count(ok)
			if ok {
				n.requester.Admitted(f.now, "a", 1)
			}
		} else if !n.down {
			n.divided.CountedByHome(f.now, "a", f.limit)
			n.requester.Arrive(f.now, "a", f.limit)
			n.waiting++
			f.decide(n, i)
		}
		f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
	for f.now.Before(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.events = f.events[:0]
	for _, n := range f.nodes {
		n.requesting = false
	}
}

func (f *homeFleet) count(ok bool) {
	if ok {
		f.tally.admitted = append(f.tally.admitted, f.now)
	} else {
		f.tally.refused++
	}
}

// decide decides on the requests that wait at an instance, or requests tokens for them from a home.
func (f *homeFleet) decide(n *homeNode, i int) {
	for n.waiting > 0 && !n.requesting {
		if d, ok := n.requester.Decide(f.now, "a"); ok {
			n.waiting--
			f.count(d.Admitted)
			continue
		}
		var homes []int
		for _, h := range f.homes(i) {
			if f.now.Sub(n.failedAt[h]) > requestRetryDelay {
				homes = append(homes, h)
			}
		}
		n.requesting = true
		wanted := n.waiting
		n.waiting = 0
		f.request(n, i, homes, wanted)
	}
}

func (f *homeFleet) request(n *homeNode, i int, homes []int, wanted int) {
	if len(homes) == 0 {
		f.fallBack(n, wanted)
		n.requesting = false
		return
	}
	h, sentAt := homes[0], f.now
	home := f.nodes[h]
	q := n.requester.TokenRequest(f.now, "a", home.run.Instance, wanted)
	answered := false
	answer := func(g Grant) {
		if answered || f.nodes[i] != n {
			return
		}
		answered = true
		n.requester.Answered(f.now, sentAt, "a", home.run.Instance, q, g)
		n.fallback.CountedByHome(f.now, "a", f.limit)
		for range g.Admitted {
			f.count(true)
		}
		n.requesting = false
		n.waiting += wanted - g.Admitted
		f.decide(n, i)
	}
	if h == i {
		answer(home.home.Grant(f.now, "a", f.limit, q, home.run.Boot, LeaseTime(len(f.nodes))))
		return
	}
	f.after(f.latency(h), func() {
		home := f.nodes[h]
		if home.down {
			return
		}
		f.requestTimes = append(f.requestTimes, f.now)
		if home.busy.Before(f.now) {
			home.busy = f.now
		}
		home.busy = home.busy.Add(f.service)
		f.after(home.busy.Sub(f.now), func() {
			g := home.home.Grant(f.now, "a", f.limit, q, home.run.Boot, LeaseTime(len(f.nodes)))
			f.after(f.latency(h), func() { answer(g) })
		})
	})
	f.after(requestTimeout, func() {
		if answered || f.nodes[i] != n {
			return
		}
		answered = true
		n.failedAt[h] = f.now
		n.requester.Failed(f.now, "a", home.run.Instance)
		f.request(n, i, homes[1:], wanted)
	})
}

// fallBack decides on requests while no home answers.
func (f *homeFleet) fallBack(n *homeNode, wanted int) {
	for range wanted {
		ok, _ := n.fallback.Admit(f.now, "a", f.limit, fallbackDivisor*len(f.nodes))
		f.count(ok)
		if ok {
			n.requester.Admitted(f.now, "a", 1)
		}
	}
}

// Guards against an account of which more is admitted than its limit allows, and against a
// home that gets token requests at a rate that follows the callers', when callers send many times the
// limit and the home is overloaded, slow, lost, restarted or replaced.
func TestHotAccountWithTroubledHome(t *testing.T) {
	const instances = 86
	every := func(f *homeFleet, interval time.Duration, do func(step int)) {
		step := 0
		var next func()
		next = func() { do(step); step++; f.after(interval, next) }
		f.after(interval, next)
	}
	for name, c := range map[string]struct {
		trouble func(f *homeFleet)
		least   float64 // share of the limit that is admitted nevertheless
	}{
		"healthy":    {func(*homeFleet) {}, 0.9},
		"overloaded": {func(f *homeFleet) { f.service = 3 * time.Millisecond }, 0.9},
		"late at times": {func(f *homeFleet) {
			f.latency = func(h int) time.Duration {
				if h == 0 {
					return time.Duration(f.rng.IntN(90)) * time.Millisecond
				}
				return time.Millisecond
			}
		}, 0.7},
		"late always": {func(f *homeFleet) {
			f.latency = func(h int) time.Duration {
				if h == 0 {
					return 150 * time.Millisecond
				}
				return time.Millisecond
			}
		}, 0.7},
		"both late at times": {func(f *homeFleet) {
			f.latency = func(int) time.Duration { return time.Duration(f.rng.IntN(100)) * time.Millisecond }
		}, 0.4},
		"frozen at times": {func(f *homeFleet) {
			every(f, 2*time.Second, func(int) { f.nodes[0].busy = f.now.Add(1200 * time.Millisecond) })
		}, 0.7},
		"lost": {func(f *homeFleet) {
			f.after(2*time.Second, func() { f.nodes[0].down = true })
			f.after(6*time.Second, func() { f.homes = func(int) []int { return []int{1, 2} } })
		}, 0.8},
		"restarted every second": {func(f *homeFleet) {
			every(f, time.Second, func(int) { f.restart(0) })
		}, 0.7},
		"lost and restarted": {func(f *homeFleet) {
			every(f, time.Second, func(step int) {
				if f.nodes[0].down = step%2 == 0; !f.nodes[0].down {
					f.restart(0)
				}
			})
		}, 0.7},
		"replaced every 2 s": {func(f *homeFleet) { // some instances learn of it 1.4 s later than others
			at := f.now
			f.homes = func(requester int) []int {
				epoch := int(f.now.Add(-time.Duration(requester)*1400*time.Millisecond/instances).Sub(at) / (2 * time.Second))
				return []int{10 + epoch, 11 + epoch}
			}
		}, 0.7},
		"divided, then counted by a home, and back": {func(f *homeFleet) {
			at := f.now
			f.divided = func(requester int) bool {
				return f.now.Add(-time.Duration(requester)*1400*time.Millisecond/instances).Sub(at)/(3*time.Second)%2 == 1
			}
		}, 0.7},
		"killed with most others": {func(f *homeFleet) {
			f.after(2*time.Second, func() {
				for i := range instances * 6 / 10 {
					f.nodes[i].down = true
				}
			})
			f.after(4*time.Second, func() {
				for i := range instances * 6 / 10 {
					f.restart(i)
				}
			})
		}, 0.5},
	} {
		for _, limit := range []fleet.Limit{{Rate: 181, Burst: 181}, {Rate: 20, Burst: 20}} {
			for seed := range uint64(2) {
				checkHotAccount(t, fmt.Sprintf("%s, limit %v, seed %d", name, limit.Rate, seed), newHomeFleet(seed, instances, limit), c.trouble, c.least)
			}
		}
	}
}

// checkHotAccount lets callers send 0.6 of the limit for some time, and then 8 to 17 times the
// limit, while there is trouble. least is the share of the limit that is admitted
// nevertheless.
func checkHotAccount(t *testing.T, name string, f *homeFleet, trouble func(f *homeFleet), least float64) {
	t.Helper()
	rate := float64(f.limit.Rate)
	f.run(0.6*rate, 8*time.Second)
	if sent := len(f.tally.admitted) + f.tally.refused; f.tally.refused*50 > sent {
		t.Errorf("%s: %d of %d refused within the limit", name, f.tally.refused, sent)
	}
	trouble(f)
	before, hotAt := len(f.tally.admitted), f.now
	f.requestTimes = nil
	f.run((8+9*f.rng.Float64())*rate, 8*time.Second)
	seconds := f.now.Sub(hotAt).Seconds()
	got, most := f.tally.maxPerWindow(), maxAllowed(f.limit)
	share := float64(len(f.tally.admitted)-before) / seconds / rate
	requests := float64(len(f.requestTimes)) / seconds
	if got > most || share < least || requests > 500 {
		t.Errorf("%s: %d admitted in a window, want at most %d; %.2f of the limit, want %.2f; %.0f token requests a second, want at most 500", name, got, most, share, least, requests)
	}
	t.Logf("%s: %d in a window, %.2f of the limit, %.0f token requests/s", name, got, share, requests)
}

// Guards against refusals within a limit because instances are refused for longer than the
// home has no token, or because the home is slow, lost or restarted.
func TestFewRefusalsWithinLimitWithTroubledHome(t *testing.T) {
	for name, trouble := range map[string]func(f *homeFleet){
		"healthy": func(*homeFleet) {},
		"late at times": func(f *homeFleet) {
			f.latency = func(h int) time.Duration {
				if h == 0 {
					return time.Duration(f.rng.IntN(90)) * time.Millisecond
				}
				return time.Millisecond
			}
		},
		"lost":      func(f *homeFleet) { f.nodes[0].down = true },
		"restarted": func(f *homeFleet) { f.restart(0) },
		"replaced":  func(f *homeFleet) { f.homes = func(int) []int { return []int{7, 0} } },
	} {
		for _, rate := range []float64{10, 60, 181} {
			limit := fleet.Limit{Rate: fleet.PerSecond(rate), Burst: fleet.Tokens(rate)}
			sent, refused := 0, 0
			for seed := range uint64(5) {
				f := newHomeFleet(seed, 86, limit)
				f.run(0.6*rate, 10*time.Second)
				trouble(f)
				f.run(0.6*rate, 10*time.Second)
				sent, refused = sent+len(f.tally.admitted)+f.tally.refused, refused+f.tally.refused
			}
			t.Logf("%s, limit %v: %d of %d refused", name, rate, refused, sent)
			if refused*50 > sent {
				t.Errorf("%s, limit %v: %d of %d refused", name, rate, refused, sent)
			}
		}
	}
}

// Guards against an instance that refuses for as long as a small limit has no token, although
// the operators have raised it, and against a refusal that states an earlier time.
func TestRefusalEndsWithChangedLimit(t *testing.T) {
	a, home := NewRequester[string](Run{Instance: "i"}, cfg.Window), NewHome[string](cfg)
	small := fleet.Limit{Rate: 0.01, Burst: 1}
	request := func(now time.Time, limit fleet.Limit) Grant {
		a.Arrive(now, "a", limit)
		q := a.TokenRequest(now, "a", "h", 1)
		g := home.Grant(now, "a", limit, q, "1", LeaseTime(10))
		a.Answered(now, now, "a", "h", q, g)
		return g
	}
	request(start, small)
	if g := request(start, small); g.Admitted > 0 {
		t.Fatalf("second request of a limit of 0.01/s: %+v", g)
	}
	a.Arrive(start, "a", small)
	if d, known := a.Decide(start, "a"); !known || d.Admitted || d.Wait < time.Minute {
		t.Errorf("third request: %+v, known %v; want a refusal for more than a minute", d, known)
	}
	if _, known := a.Decide(start.Add(2*time.Second), "a"); known {
		t.Error("a refusal is remembered for more than 2 s, in which the limit may change at the home")
	}
	a.Arrive(start, "a", fleet.Limit{Rate: 10, Burst: 10})
	if _, known := a.Decide(start, "a"); known {
		t.Error("the refusal counts although the limit has changed")
	}
}
