package admission

import (
	"math/rand/v2"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// policy is a way to weigh requests in the model.
type policy string

const (
	noPolicy    policy = "none"
	byShare     policy = "share"     // what Gate and Controller do
	byThreshold policy = "threshold" // the leader names the least urgent priority that is admitted
	byCredits   policy = "credits"   // the leader hands each instance requests/s of each priority
	byOwnLoss   policy = "own loss"  // each instance by its own observations
)

const (
	modelTick  = 5 * time.Millisecond
	modelSlots = 4
	modelQueue = 16
	modelWork  = 290 * time.Millisecond
)

var modelStart = time.Unix(1_700_000_000, 0)

// modelRequest is a request in the model. A caller repeats it once after a refusal.
type modelRequest struct {
	priority routes.Priority
	retry    bool
	first    time.Time // when it first arrived
	doneAt   time.Time
	instance int
	counts   *modelCounts
}

type modelUpstream struct {
	running []*modelRequest
	queue   []*modelRequest
}

// modelInstance is an instance, with the news of the leader that are on their way.
type modelInstance struct {
	gate     *Gate
	retries  Retries
	reportAt time.Time
	rates    ByPriority // in its last report
	credits  ByPriority // requests that may be sent, for byCredits
	refilled [routes.MaxPriority + 1]time.Time
	shares   Shares // as received, for byThreshold and byCredits
}

// modelCounts counts the requests of one priority, retries once.
type modelCounts struct{ asked, served, onTime, shed, rejected, refusedAgain float64 }

// model is a fleet of instances with one service of which any upstream serves any request.
type model struct {
	rng        *rand.Rand
	now        time.Time
	policy     policy
	upstreams  []modelUpstream
	instances  []*modelInstance
	leader     *Controller
	leaderGone func(at time.Duration) bool
	estimate   float64       // estimated capacity relative to the true one
	delay      time.Duration // of a report, and of a reply
	retryDelay time.Duration // least time until a retry, which is spread over as much again
	due        map[time.Time][]func()
	counts     map[routes.Priority]*modelCounts
}

func newModel(p policy) *model {
	m := &model{
		rng: rand.New(rand.NewPCG(1, 2)), now: modelStart, policy: p, upstreams: make([]modelUpstream, 25), estimate: 1,
		leader: NewController(modelStart, nil), leaderGone: func(time.Duration) bool { return false }, delay: 10 * time.Millisecond,
		retryDelay: 500 * time.Millisecond, due: make(map[time.Time][]func()), counts: make(map[routes.Priority]*modelCounts),
	}
	for i := range 77 {
		m.instances = append(m.instances, &modelInstance{gate: NewGate(m.now, m.rng), reportAt: m.now.Add(time.Duration(i) * 700 * time.Millisecond / 77)})
	}
	return m
}

func (m *model) capacity() float64 {
	return float64(len(m.upstreams)*modelSlots) / modelWork.Seconds()
}

func (m *model) after(d time.Duration, f func()) {
	at := m.now.Add(max(d, modelTick)).Truncate(modelTick)
	m.due[at] = append(m.due[at], f)
}

// run sends requests at the given rates, relative to the capacity, for the time d.
func (m *model) run(d time.Duration, rates map[routes.Priority]float64) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(modelTick) {
		for _, f := range m.due[m.now] {
			f()
		}
		delete(m.due, m.now)
		m.finish()
		m.exchange()
		for p := range routes.Priority(routes.MaxPriority + 1) {
			for range m.poisson(rates[p] * m.capacity() * modelTick.Seconds()) {
				m.of(p).asked++
				m.arrive(&modelRequest{priority: p, first: m.now, counts: m.of(p)})
			}
		}
	}
}

func (m *model) poisson(mean float64) (n int) {
	for t := m.rng.ExpFloat64(); t < mean; t += m.rng.ExpFloat64() {
		n++
	}
	return n
}

// of returns the counts of a priority.
func (m *model) of(p routes.Priority) *modelCounts {
	if m.counts[p] == nil {
		m.counts[p] = new(modelCounts)
	}
	return m.counts[p]
}

func (m *model) arrive(q *modelRequest) {
	q.instance = m.rng.IntN(len(m.instances))
	in := m.instances[q.instance]
	if !in.admits(m, q) {
		q.counts.shed++
		m.refuse(q)
		return
	}
	u := &m.upstreams[m.rng.IntN(len(m.upstreams))]
	for range 2 { // as loads are known of some upstreams only
		if o := &m.upstreams[m.rng.IntN(len(m.upstreams))]; len(o.running)+len(o.queue) < len(u.running)+len(u.queue) {
			u = o
		}
	}
	switch {
	case len(u.running) < modelSlots:
		m.start(u, q)
	case len(u.queue) < modelQueue:
		u.queue = append(u.queue, q)
	default:
		q.counts.rejected++
		in.gate.Attempted("s", Evidence{Rejected: 1})
		m.refuse(q)
	}
}

func (m *model) refuse(q *modelRequest) {
	if q.retry {
		q.counts.refusedAgain++
		return
	}
	again := &modelRequest{priority: q.priority, retry: true, first: q.first, counts: q.counts}
	m.after(m.retryDelay+time.Duration(m.rng.Float64()*float64(m.retryDelay)), func() { m.arrive(again) })
}

func (m *model) start(u *modelUpstream, q *modelRequest) {
	q.doneAt = m.now.Add(time.Duration((0.3 + 0.7*m.rng.ExpFloat64()) * float64(modelWork)))
	u.running = append(u.running, q)
}

func (m *model) finish() {
	for i := range m.upstreams {
		u := &m.upstreams[i]
		running := u.running
		u.running = nil
		for _, q := range running {
			if q.doneAt.After(m.now) {
				u.running = append(u.running, q)
				continue
			}
			e := Evidence{Answered: 1}
			if len(u.queue) >= modelSlots {
				e.Queued = 1
			}
			m.instances[q.instance].gate.Attempted("s", e)
			q.counts.served++
			if m.now.Sub(q.first) < 1200*time.Millisecond {
				q.counts.onTime++
			}
		}
		for len(u.running) < modelSlots && len(u.queue) > 0 {
			m.start(u, u.queue[0])
			u.queue = u.queue[1:]
		}
	}
}

// exchange sends the reports that are due, and the replies to them.
func (m *model) exchange() {
	if m.leaderGone(m.now.Sub(modelStart)) || m.policy == noPolicy || m.policy == byOwnLoss {
		return
	}
	if at := m.now.Sub(modelStart); m.leaderGone(at - modelTick) { // another instance has been elected
		shares, _ := m.instances[0].gate.Shares(m.now)
		m.leader = NewController(m.now, shares)
	}
	m.leader.Step(m.now, func(Target) float64 { return m.estimate * m.capacity() })
	for _, in := range m.instances {
		if m.now.Before(in.reportAt) {
			continue
		}
		in.reportAt = m.now.Add(700 * time.Millisecond)
		rep := in.gate.Report(m.now)
		for p, n := range rep.Services["s"].Requests {
			in.rates[p] += (n/rep.For.Seconds() - in.rates[p]) / 2
		}
		m.after(m.delay, func() {
			m.leader.Add(m.now, Target{Service: "s"}, rep.Services["s"])
			shares := m.leader.Shares()
			m.after(m.delay, func() {
				in.shares = shares
				in.gate.Learn(m.now, m.delay, shares)
			})
		})
	}
}

// admits decides on a request according to the policy.
func (in *modelInstance) admits(m *model, q *modelRequest) bool {
	stated := 5*time.Second - m.now.Sub(q.first)
	d := in.gate.Arrive(m.now, Request{Service: fleet.ServiceID("s"), Priority: q.priority, Retry: in.retries.Retry(stated)})
	shares, short := in.shares[Target{Service: "s"}]
	switch {
	case m.policy == byShare || m.policy == byOwnLoss:
		return d.Admitted
	case m.policy == noPolicy || !short:
		return true
	case m.policy == byThreshold:
		return q.priority == 0 || shares[q.priority] == 1
	}
	p := index(q.priority)
	in.credits[p] = min(in.credits[p]+shares[p]*in.rates[p]*m.now.Sub(in.refilled[p]).Seconds(), 2)
	in.refilled[p] = m.now
	if in.credits[p] < 1 {
		return false
	}
	in.credits[p]--
	return true
}
