package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// upstreamModel is a simulation of one upstream that shares its machine among the requests
// that it runs. It queues those for which it has no slot.
type upstreamModel struct {
	rng     *rand.Rand
	slots   int
	knee    float64 // requests that it runs at full speed at the same time
	speed   func(time.Duration) float64
	load    func(time.Duration) float64 // requests/s that arrive, relative to what it can serve
	noisy   float64                     // share of the time in which other load makes it three times slower
	elapsed time.Duration
	running []*modelRequest
	queue   []*modelRequest
	noise   bool
}

type modelRequest struct {
	arrived time.Duration
	left    float64 // work in seconds
}

const modelWork, modelStep = 0.22, 2 * time.Millisecond

// answers runs the upstream until it has given n answers, and passes each to observe.
func (u *upstreamModel) answers(n int, observe func(took time.Duration, load Load)) {
	for n > 0 {
		u.elapsed += modelStep
		if u.elapsed%(400*time.Millisecond) == 0 {
			u.noise = u.rng.Float64() < u.noisy
		}
		rate := u.load(u.elapsed) * u.speed(u.elapsed) * min(u.knee, float64(u.slots)) / modelWork / (1 + 2*u.noisy)
		if u.rng.Float64() < rate*modelStep.Seconds() {
			const spread = 0.5
			u.queue = append(u.queue, &modelRequest{arrived: u.elapsed, left: modelWork * math.Exp(spread*u.rng.NormFloat64()-spread*spread/2)})
		}
		for len(u.queue) > 0 && len(u.running) < u.slots {
			u.running, u.queue = append(u.running, u.queue[0]), u.queue[1:]
		}
		done := modelStep.Seconds() * u.speed(u.elapsed) * min(1, u.knee/float64(len(u.running)))
		slowdown := 1.0
		if u.noise {
			slowdown = noiseSlowdown
		}
		for i := 0; i < len(u.running); i++ {
			r := u.running[i]
			if r.left -= done / slowdown; r.left > 0 {
				continue
			}
			observe(u.elapsed-r.arrived, Load{Running: len(u.running), Waiting: len(u.queue), Slots: 6, Slowdown: slowdown})
			u.running = slices.Delete(u.running, i, i+1)
			i--
			n--
		}
	}
}

func constant(v float64) func(time.Duration) float64 { return func(time.Duration) float64 { return v } }

// waves is a load that rises and falls around mean.
func waves(mean float64) func(time.Duration) float64 {
	return func(d time.Duration) float64 { return mean * (1 + 0.55*math.Sin(2*math.Pi*d.Seconds()/15)) }
}

// estimator is a method that estimates how much an upstream serves.
type estimator interface {
	observe(took time.Duration, load Load)
	capacity() Capacity
}

// byCurve is the method in use: the service time by the requests in flight.
type byCurve struct {
	t   *Table
	e   *Entry
	now time.Time
}

func newByCurve() *byCurve {
	t := newTable("i", 4)
	for i := range 40 { // the others of the service
		sendAndEnd(t, start, t.Get(registrations(4)[1+i%3].ID), Answered, time.Duration(modelWork*float64(time.Second)))
	}
	return &byCurve{t: t, e: t.Get("u0"), now: start}
}

func (b *byCurve) observe(took time.Duration, load Load) {
	b.now = b.now.Add(100 * time.Millisecond)
	b.t.Started(b.now, b.e)
	b.t.Ended(b.now, b.e, Answered, took, &load)
}

func (b *byCurve) capacity() Capacity { return b.t.Capacity(b.now, b.e) }

// gradientLimit is a limit in flight that follows the ratio of a long and a short mean of
// the response time.
type gradientLimit struct{ limit, long, short float64 }

func (g *gradientLimit) observe(took time.Duration, load Load) {
	s := took.Seconds()
	if g.limit == 0 {
		g.limit, g.long, g.short = 6, s, s
	}
	g.short += 0.15 * (s - g.short)
	g.long += 0.01 * (s - g.long)
	if g.long > 2*g.short {
		g.long *= 0.95
	}
	if float64(load.Running+load.Waiting) < g.limit/2 {
		return
	}
	next := g.limit*min(1, max(0.5, 1.5*g.long/g.short)) + math.Sqrt(g.limit)
	g.limit = min(24, max(1, 0.8*g.limit+0.2*next))
}

func (g *gradientLimit) capacity() Capacity {
	return Capacity{Rate: g.limit / max(g.long, 0.001), InFlight: g.limit}
}

// aimdLimit is a limit in flight that grows by one for each limit of answers in time, and
// falls by a tenth with each late one.
type aimdLimit struct{ limit, mean float64 }

func (a *aimdLimit) observe(took time.Duration, load Load) {
	if a.limit == 0 {
		a.limit, a.mean = 6, modelWork
	}
	a.mean += 0.05 * (took.Seconds() - a.mean)
	if took.Seconds() > 3*modelWork {
		a.limit = max(1, a.limit*0.9)
	} else if float64(load.Running+load.Waiting) >= a.limit/2 {
		a.limit = min(24, a.limit+1/a.limit)
	}
}

func (a *aimdLimit) capacity() Capacity {
	return Capacity{Rate: a.limit / max(a.mean, 0.001), InFlight: a.limit}
}

// estimate returns the median capacity that a method estimates after each number of answers,
// over several runs of the upstream.
func estimate(u upstreamModel, method func() estimator, answers ...int) []Capacity {
	const runs = 30
	rates, limits := make([][]float64, len(answers)), make([][]float64, len(answers))
	for seed := range uint64(runs) {
		u := u
		u.rng, u.slots = rand.New(rand.NewPCG(1, seed)), 6
		est, last := method(), 0
		for i, n := range answers {
			u.answers(n-last, est.observe)
			rates[i], limits[i], last = append(rates[i], est.capacity().Rate), append(limits[i], est.capacity().InFlight), n
		}
	}
	var out []Capacity
	for i := range answers {
		slices.Sort(rates[i])
		slices.Sort(limits[i])
		out = append(out, Capacity{Rate: rates[i][runs/2], InFlight: limits[i][runs/2]})
	}
	return out
}

// Guards against an estimate that does not find the speed of an upstream, or a rise of its
// service time long before its slots are used, that settles too low after a burst, that
// lowers the limit because of other load, or that keeps the capacity of a slow period. The
// log states what published methods estimate from the same answers.
func TestLearnedCapacity(t *testing.T) {
	const full = 6 / modelWork // requests/s that 6 slots serve at speed 1
	burst := func(d time.Duration) float64 {
		if d > 6*time.Second && d < 10*time.Second {
			return 2.5
		}
		return 0.4
	}
	slowFrom10To25 := func(d time.Duration) float64 {
		if d > 10*time.Second && d < 25*time.Second {
			return 1.0 / 3
		}
		return 1
	}
	for name, c := range map[string]struct {
		u         upstreamModel
		answers   int
		rate      float64 // requests/s, within tolerance
		tolerance float64
		inFlight  [2]float64 // lowest and highest limit
	}{
		"speed 0.5":               {upstreamModel{knee: 6, speed: constant(0.5), load: waves(0.6)}, 40, full / 2, 0.2, [2]float64{6, 6}},
		"speed 1":                 {upstreamModel{knee: 6, speed: constant(1), load: waves(0.6)}, 20, full, 0.2, [2]float64{6, 6}},
		"speed 1.5":               {upstreamModel{knee: 6, speed: constant(1.5), load: waves(0.6)}, 20, 1.5 * full, 0.2, [2]float64{6, 6}},
		"noisy neighbours":        {upstreamModel{knee: 6, speed: constant(1), load: waves(0.6), noisy: 0.2}, 240, full / 1.4, 0.3, [2]float64{6, 6}},
		"slower from 2 in flight": {upstreamModel{knee: 2, speed: constant(1), load: waves(0.6)}, 160, full / 3, 0.3, [2]float64{2, 4.5}},
		"the same, noisy":         {upstreamModel{knee: 2, speed: constant(1), load: waves(0.6), noisy: 0.2}, 160, full / 3 / 1.4, 0.3, [2]float64{2, 4.5}},
		"after a burst":           {upstreamModel{knee: 6, speed: constant(1), load: burst}, 240, full, 0.2, [2]float64{6, 6}},
		"while it is slow":        {upstreamModel{knee: 6, speed: slowFrom10To25, load: waves(0.6)}, 240, full / 3, 0.3, [2]float64{6, 6}},
		"slow before":             {upstreamModel{knee: 6, speed: slowFrom10To25, load: waves(0.6)}, 400, full, 0.2, [2]float64{6, 6}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			at := []int{10, 20, 40, 80, 160, 240, 400}
			curve := estimate(c.u, func() estimator { return newByCurve() }, at...)
			t.Logf("usable rate %.1f; medians after %v answers: %.1f", c.rate, at, curve)
			t.Logf("gradient limit: %.1f", estimate(c.u, func() estimator { return &gradientLimit{} }, at...))
			t.Logf("AIMD limit: %.1f", estimate(c.u, func() estimator { return &aimdLimit{} }, at...))
			got := curve[slices.Index(at, c.answers)]
			if math.Abs(got.Rate-c.rate) > c.tolerance*c.rate {
				t.Errorf("%.1f requests/s after %d answers, want %.1f", got.Rate, c.answers, c.rate)
			}
			if got.InFlight < c.inFlight[0] || got.InFlight > c.inFlight[1] {
				t.Errorf("limit %.1f in flight, want %v", got.InFlight, c.inFlight)
			}
		})
	}
}

// Guards against an estimate that outlasts the run of the upstream, and against a limit of a
// lost leader that holds for ever.
func TestCapacityOfRestartedUpstream(t *testing.T) {
	b := newByCurve()
	u := upstreamModel{rng: rand.New(rand.NewPCG(1, 2)), slots: 6, knee: 2, speed: constant(0.5), load: waves(0.6)}
	u.answers(200, b.observe)
	b.t.SetInFlightLimits(b.now, []InFlightLimit{{ID: "u0", Boot: "1", Limit: 2}, {ID: "u1", Boot: "0", Limit: 2}})
	if got := b.t.Capacity(b.now, b.e).InFlight; got != 2 {
		t.Errorf("limit %v, the limit from the leader is 2", got)
	}
	if got := b.t.Capacity(b.now, b.t.Get("u1")).InFlight; got != 6 {
		t.Errorf("limit %v from an earlier run", got)
	}
	if got := b.t.Capacity(b.now.Add(leaderLimitTTL), b.e).InFlight; got == 2 {
		t.Error("a limit from the leader holds for ever")
	}
	list := registrations(4)
	list[0].Boot = "2"
	b.t.Replace(b.now, list)
	want := Capacity{Rate: 6 / b.t.ServiceMeanTime(lookup), InFlight: 6}
	if got := b.t.Capacity(b.now, b.t.Get("u0")); got != want {
		t.Errorf("a restarted upstream has the capacity %.1f, want that of the service's mean, %.1f", got, want)
	}
}

// Guards against a limit in flight that is sent again without a change, that is not repeated
// before it expires, or whose end is not told.
func TestInFlightLog(t *testing.T) {
	b, log := newByCurve(), InFlightLog{}
	told := func(after time.Duration, seq uint64) ([]InFlightLimit, uint64) {
		log.Update(start.Add(after), b.t, "u0")
		return log.Since(b.t, seq)
	}
	if limits, _ := told(0, 0); len(limits) > 0 {
		t.Errorf("told %v of an upstream that takes as many as its slots", limits)
	}
	u := upstreamModel{rng: rand.New(rand.NewPCG(1, 2)), slots: 6, knee: 2, speed: constant(1), load: waves(0.6)}
	u.answers(300, b.observe)
	limits, seq := told(0, 0)
	if len(limits) != 1 || limits[0].Limit > 5 {
		t.Fatalf("told %v, want a limit below 5", limits)
	}
	if again, _ := told(time.Second, seq); len(again) > 0 {
		t.Errorf("told %v without a change", again)
	}
	if again, _ := told(limitRepeatInterval, seq); len(again) != 1 || limitRepeatInterval >= leaderLimitTTL {
		t.Error("a limit is not repeated before it expires")
	}
	b.e.curve = LoadCurve{}
	if ended, _ := told(limitRepeatInterval, seq); len(ended) != 1 || ended[0].Limit != 6 {
		t.Errorf("told %v after the end of the limit, want 6 slots", ended)
	}
}
