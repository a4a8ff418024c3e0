package direct

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/internal/rollout"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const modelService fleet.ServiceID = "lookups"

const wavePeriod = 15 * time.Second

var modelStart = time.Unix(1_700_000_000, 0)

// modelBurst is a temporary load: a share of the requests goes to neighbouring keys.
type modelBurst struct {
	name     string
	from, to time.Duration
	keys     int
	share    float64
}

// modelConfig describes a fleet, a sharded service and its load.
type modelConfig struct {
	instances, upstreams, slots, queue int
	speeds                             []float64
	rate                               float64 // requests/s
	wave                               float64 // share by which the rate rises and falls within wavePeriod
	work                               time.Duration
	target, timeout                    time.Duration
	report                             time.Duration // interval of the reports of an instance
	until                              time.Duration
	bursts                             []modelBurst
	seed                               uint64
	sendAlways                         bool // senders ignore the load of holders
	noise                              bool // slow requests and noisy neighbours
}

// largeModel is a fleet with the load of deployment S.
func largeModel(seed uint64) modelConfig {
	return modelConfig{
		instances: 80, upstreams: 230, slots: 4, queue: 16, speeds: []float64{0.55, 1.2}, rate: 1400,
		work: 220 * time.Millisecond, target: time.Second, timeout: 2 * time.Second, report: 700 * time.Millisecond,
		until: 44 * time.Second, seed: seed, noise: true,
		bursts: []modelBurst{
			{"60-keys", 14 * time.Second, 18500 * time.Millisecond, 60, 0.38},
			{"200-keys", 24 * time.Second, 28500 * time.Millisecond, 200, 0.38},
			{"one-key", 34 * time.Second, 39 * time.Second, 1, 0.16},
		},
	}
}

// smallModel is a fleet of 12 instances with the same load on each upstream.
func smallModel(seed uint64) modelConfig {
	c := largeModel(seed)
	c.instances, c.upstreams, c.report = 12, 12, 300*time.Millisecond
	c.rate = 1400 * 12 / 230.0
	return c
}

// modelCounts are the outcomes of callers' requests.
type modelCounts struct {
	requests, onTime, late, refused, failed int
	fullRefusals, sent                      int // refusals by full holders; requests that reached holders
	refusals                                int // responses with status 503, also before a repetition by the caller
	waited                                  int // requests whose wait in a queue made the response late
	sentTo                                  []int
}

func (c modelCounts) String() string {
	n := float64(max(c.requests, 1))
	mean, busiest := 0.0, 0.0
	for _, v := range c.sentTo {
		mean += float64(v) / float64(len(c.sentTo))
		busiest = max(busiest, float64(v))
	}
	return fmt.Sprintf("%5d requests: on time %.3f late %.3f refused %.3f failed %.3f; 503 per request %.3f; full holders %.3f; late by a queue %.3f; busiest/mean %.2f",
		c.requests, float64(c.onTime)/n, float64(c.late)/n, float64(c.refused)/n, float64(c.failed)/n, float64(c.refusals)/n, float64(c.fullRefusals)/n, float64(c.waited)/n, busiest/max(mean, 0.001))
}

// modelRequest is a request of a caller, with its second attempt if it has one.
type modelRequest struct {
	key       keyspace.Key
	calledAt  time.Duration // first attempt
	deadline  time.Duration // of the caller
	receiveAt time.Duration // by the present instance
	retried   bool
	phase     int
	upstream  *modelUpstream
	queuedAt  time.Duration
	startedAt time.Duration
	sentAt    time.Duration
	instance  *modelInstance
}

type modelUpstream struct {
	index    int
	id       fleet.UpstreamID
	speed    float64
	running  map[*modelRequest]bool
	queue    []*modelRequest
	releases []modelRelease
}

// modelRelease is a release that waits for the end of the requests for its span.
type modelRelease struct {
	call keyspace.Call
}

type modelInstance struct {
	index   int
	router  *Router
	keys    []keyspace.Key
	waiting []func() // requests that wait for another map
}

// modelMessages counts the bytes that loads of holders and keys add to messages.
type modelMessages struct{ reports, replies int }

type modelEvent struct {
	at  time.Duration
	seq int
	run func()
}

type modelEvents []modelEvent

func (h modelEvents) Len() int { return len(h) }
func (h modelEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h modelEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *modelEvents) Push(x any)   { *h = append(*h, x.(modelEvent)) }
func (h *modelEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// holdersModel runs the real coordinator, the leader's estimates and the senders' decisions
// against simulated upstreams, callers and messages.
type holdersModel struct {
	cfg       modelConfig
	rng       *rand.Rand
	now       time.Duration
	events    modelEvents
	seq       int
	leader    *Router
	co        *keyspace.Coordinator
	upstreams map[fleet.UpstreamID]*modelUpstream
	ordered   []*modelUpstream
	instances []*modelInstance
	heldBy    []*modelUpstream // by key, as the upstreams know it
	perm      []int
	saving    bool
	publishAt time.Duration
	phases    []*modelCounts
	keysMoved []int
	moves     []int
	maxShards int
	messages  modelMessages
}

func newHoldersModel(cfg modelConfig) *holdersModel {
	m := &holdersModel{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.seed, 1)), upstreams: make(map[fleet.UpstreamID]*modelUpstream),
		heldBy: make([]*modelUpstream, keyspace.Keys),
	}
	m.perm = m.rng.Perm(keyspace.Keys)
	var list []balance.Registration
	for i := range cfg.upstreams {
		u := &modelUpstream{index: i, id: fleet.UpstreamID(fmt.Sprintf("lookups-%03d", i)), speed: cfg.speeds[i%len(cfg.speeds)], running: make(map[*modelRequest]bool)}
		m.upstreams[u.id], m.ordered = u, append(m.ordered, u)
		list = append(list, balance.Registration{ID: u.id, Service: modelService, Boot: "1", Addr: "a" + string(u.id), Slots: fleet.Slots(cfg.slots)})
	}
	m.leader = m.newModelRouter("leader", list)
	for i := range cfg.instances {
		in := &modelInstance{index: i, router: m.newModelRouter(fleet.InstanceID(fmt.Sprint("i", i)), list)}
		m.instances = append(m.instances, in)
		m.after(time.Duration(float64(cfg.report)*float64(i)/float64(cfg.instances)), func() { m.sendReport(in) })
	}
	m.co = keyspace.NewCoordinator(modelStart, 1, keyspace.Timing{Hold: 2500 * time.Millisecond, Renew: 500 * time.Millisecond, Retry: 200 * time.Millisecond}, keyspace.Record{})
	for range len(cfg.bursts) + 1 {
		m.phases = append(m.phases, &modelCounts{sentTo: make([]int, cfg.upstreams)})
		m.keysMoved, m.moves = append(m.keysMoved, 0), append(m.moves, 0)
	}
	m.after(0, m.plan)
	m.after(5*time.Second, m.arrive)
	return m
}

func (m *holdersModel) newModelRouter(id fleet.InstanceID, list []balance.Registration) *Router {
	r := &Router{cfg: Settings{Instance: id}, rng: rand.New(rand.NewPCG(m.cfg.seed, uint64(len(m.instances))+2))}
	r.gate = rollout.NewGate(r.rng)
	r.holderLoads = newHolderLoads(r.rng)
	r.upstreams = balance.New(id, r.rng, func(fleet.ServiceID) (time.Duration, fleet.PerSecond) { return 0, 0 })
	r.upstreams.Replace(modelStart, list)
	return r
}

func (m *holdersModel) wall() time.Time { return modelStart.Add(m.now) }

func (m *holdersModel) after(d time.Duration, run func()) {
	m.seq++
	heap.Push(&m.events, modelEvent{at: m.now + d, seq: m.seq, run: run})
}

func (m *holdersModel) run() {
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		if e.at > m.cfg.until {
			return
		}
		m.now = e.at
		e.run()
	}
}

// phase returns the index of the burst in effect at t, or the number of bursts. A burst
// counts until one second after its end, when the last of its requests are answered.
func (m *holdersModel) phase(t time.Duration) int {
	for i, b := range m.cfg.bursts {
		if t >= b.from && t < b.to+time.Second {
			return i
		}
	}
	return len(m.cfg.bursts)
}

func (m *holdersModel) arrive() {
	rate := m.cfg.rate * (1 + m.cfg.wave*math.Sin(2*math.Pi*m.now.Seconds()/wavePeriod.Seconds()))
	m.after(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), m.arrive)
	x := &modelRequest{key: m.pickKey(), calledAt: m.now, deadline: m.now + 4*time.Second, phase: m.phase(m.now)}
	m.phases[x.phase].requests++
	m.receive(x)
}

// pickKey returns a key with a mild skew, or a key of the burst in effect.
func (m *holdersModel) pickKey() keyspace.Key {
	for i, b := range m.cfg.bursts {
		if m.now >= b.from && m.now < b.to && m.rng.Float64() < b.share {
			return keyspace.Key(10_007 + 17_000*i + m.rng.IntN(b.keys))
		}
	}
	return keyspace.Key(m.perm[int(math.Pow(m.rng.Float64(), 1.5)*keyspace.Keys)])
}

func (m *holdersModel) receive(x *modelRequest) {
	x.instance = m.instances[m.rng.IntN(len(m.instances))]
	x.receiveAt = m.now
	x.instance.keys = append(x.instance.keys, x.key)
	m.try(x, holderWaitShare)
}

func (m *holdersModel) try(x *modelRequest, waitShare float64) {
	in := x.instance
	if m.now >= x.deadline || m.now-x.receiveAt >= m.cfg.timeout {
		m.refuse(x, retryAfterFull)
		return
	}
	var id fleet.UpstreamID
	if hm := in.router.holderMap.Load(); hm != nil {
		id = hm.Holder(modelService, x.key)
	}
	if id == "" {
		m.awaitMap(x, waitShare)
		return
	}
	e := in.router.upstreams.Get(id)
	if verdict, wait := m.senderDecides(x, e); verdict != sendToHolder {
		if verdict == longQueue {
			m.reportEarly(in)
		}
		if verdict != keyTooHot {
			wait = retryDelayWithin(wait, x.deadline-m.now)
		}
		m.refuse(x, wait)
		return
	}
	in.router.holderLoads.sent(e)
	in.router.upstreams.Started(m.wall(), e)
	x.upstream, x.sentAt = m.upstreams[id], m.now
	m.after(time.Millisecond, func() { m.reach(x) })
}

func (m *holdersModel) awaitMap(x *modelRequest, waitShare float64) {
	if m.now-x.receiveAt >= time.Duration(waitShare*float64(m.cfg.target)) {
		m.refuse(x, retryAfterHolderLost)
		return
	}
	waiting, left := true, time.Duration(waitShare*float64(m.cfg.target))-(m.now-x.receiveAt)
	again := func() {
		if waiting {
			waiting = false
			m.try(x, waitShare)
		}
	}
	x.instance.waiting = append(x.instance.waiting, again)
	m.after(min(holderPollInterval, left), again)
}

// refuse returns a 503 to the caller, which repeats its request once if its time allows.
func (m *holdersModel) refuse(x *modelRequest, retryAfter time.Duration) {
	c := m.phases[x.phase]
	c.refusals++
	if x.retried || retryAfter > (x.deadline-m.now)/3 {
		c.refused++
		return
	}
	x.retried = true
	m.after(retryAfter+time.Millisecond, func() { m.receive(x) })
}

func (m *holdersModel) reach(x *modelRequest) {
	u := x.upstream
	if m.heldBy[x.key] != u {
		m.answered(x, balance.Declined, nil)
		m.awaitMap(x, movedWaitShare)
		return
	}
	c := m.phases[x.phase]
	c.sent++
	c.sentTo[u.index]++
	x.queuedAt = m.now
	switch {
	case len(u.running) < m.cfg.slots:
		m.begin(u, x)
	case len(u.queue) < m.cfg.queue:
		u.queue = append(u.queue, x)
	default:
		c.fullRefusals++
		m.reportEarly(x.instance)
		m.answered(x, balance.Full, u.load(m))
		m.refuse(x, retryDelayWithin(m.fullRetryAfter(x), x.deadline-m.now))
	}
}

func (u *modelUpstream) load(m *holdersModel) *balance.Load {
	return &balance.Load{Running: len(u.running), Waiting: len(u.queue), Slots: fleet.Slots(m.cfg.slots), Slowdown: m.slowdown(u)}
}

// slowdown returns 3 for a fifth of the upstreams, in turn for 400 ms each.
func (m *holdersModel) slowdown(u *modelUpstream) float64 {
	if period := int(m.now / (400 * time.Millisecond)); m.cfg.noise && (u.index*7+period*3)%5 == 0 {
		return 3
	}
	return 1
}

func (m *holdersModel) begin(u *modelUpstream, x *modelRequest) {
	u.running[x] = true
	x.startedAt = m.now
	work := float64(m.cfg.work) / u.speed * (0.85 + 0.3*m.rng.Float64())
	if m.cfg.noise && m.rng.IntN(100) < 3 {
		work *= 7
	}
	if m.slowdown(u) > 1 { // the rest of the period does a third of the work
		left := float64(400*time.Millisecond - m.now%(400*time.Millisecond))
		work += min(work*2, left*2/3)
	}
	m.after(time.Duration(work), func() { m.complete(u, x) })
}

func (m *holdersModel) complete(u *modelUpstream, x *modelRequest) {
	delete(u.running, x)
	if len(u.queue) > 0 {
		next := u.queue[0]
		u.queue = u.queue[1:]
		m.begin(u, next)
	}
	c := m.phases[x.phase]
	took := m.now - x.calledAt
	expired := m.now-x.receiveAt > m.cfg.timeout || m.now > x.deadline
	verdict := balance.Answered
	switch {
	case expired:
		c.failed++
		verdict = balance.Silent
	case took <= m.cfg.target:
		c.onTime++
	default:
		c.late++
	}
	if m.now-x.startedAt <= m.cfg.target && m.now-x.queuedAt > m.cfg.target {
		c.waited++
	}
	m.answered(x, verdict, u.load(m))
	m.endReleases(u)
}

func (m *holdersModel) answered(x *modelRequest, v balance.Verdict, load *balance.Load) {
	r := x.instance.router
	e := r.upstreams.Get(x.upstream.id)
	r.upstreams.Ended(m.wall(), e, v, m.now-x.sentAt, load)
	r.holderLoads.note(m.wall(), e, load)
}

// reportEarly sends the report of an instance that has seen a full holder, unless it has
// just sent one.
func (m *holdersModel) reportEarly(in *modelInstance) {
	if in.router.holderLoads.noteFull(m.wall(), min(m.cfg.report, maxLongPollWait)) {
		m.report(in)
	}
}

// sendReport sends the report of an instance at regular intervals.
func (m *holdersModel) sendReport(in *modelInstance) {
	m.after(m.cfg.report, func() { // the reply is held for a wait
		m.applyLoads(in)
		m.sendReport(in)
	})
	m.report(in)
}

// report sends the report of an instance and its reply; each takes 2 ms.
func (m *holdersModel) report(in *modelInstance) {
	keys := in.keys
	in.keys = nil
	samples := in.router.upstreams.TakeSamples(func(fleet.ServiceID) bool { return true })
	loads := in.router.holderLoads.takeNews(m.wall())
	m.messages.reports += len(report{HolderLoads: loads, Keys: map[fleet.ServiceID][]keyspace.Key{modelService: keys}}.encode()) - len(report{}.encode())
	m.after(2*time.Millisecond, func() {
		now := m.wall()
		m.leader.holderLoads.merge(now, loads)
		if lc := m.co.LoadCounter(modelService); lc != nil {
			for _, k := range keys {
				lc.Add(k)
			}
		}
		for _, id := range slices.Sorted(maps.Keys(samples)) {
			s := samples[id]
			m.leader.upstreams.LearnSamples(now, id, s)
			m.leader.upstreams.CountAnswers(now, id, s)
		}
	})
}

// applyLoads tells an instance what the leader knows of the holders.
func (m *holdersModel) applyLoads(in *modelInstance) {
	now := m.wall()
	loads := m.leader.holderLoads.long(now, m.leader.holderCapacity(now))
	hotKeys := m.co.HotKeys()
	m.messages.replies += len(reply{Holders: holderNews{Loads: loads, HotKeys: hotKeys}}.encode()) - len(reply{}.encode())
	in.router.holderLoads.merge(now, loads)
	in.router.holderLoads.setHotKeys(now, 0, hotKeys)
}

// senderDecides decides as the instance of x whether it sends x to e.
func (m *holdersModel) senderDecides(x *modelRequest, e *balance.Entry) (holderVerdict, time.Duration) {
	if m.cfg.sendAlways {
		return sendToHolder, 0
	}
	r, now := x.instance.router, m.wall()
	if x.sentAt <= x.receiveAt && !r.holderLoads.admitKey(now, modelService, x.key) {
		return keyTooHot, hotKeyRetryDelay + r.holderLoads.spread(hotKeyRetryDelay)
	}
	q := holderRequest{
		target: m.cfg.target, queueShare: 1, receivedAt: modelStart.Add(x.receiveAt),
		deadline: modelStart.Add(min(x.deadline, x.receiveAt+m.cfg.timeout)), repeated: x.sentAt > x.receiveAt,
	}
	return r.holderLoads.decide(now, q, e, r.upstreams.Capacity(now, e), seconds(r.upstreams.ServiceTime(now, e)))
}

// fullRetryAfter returns the retry delay of a request that its holder has refused.
func (m *holdersModel) fullRetryAfter(x *modelRequest) time.Duration {
	if m.cfg.sendAlways {
		return retryAfterFull
	}
	r, now := x.instance.router, m.wall()
	return r.holderLoads.roomIn(now, r.upstreams.Get(x.upstream.id), r.upstreams.Capacity(now, r.upstreams.Get(x.upstream.id)), m.cfg.target)
}

func (m *holdersModel) plan() {
	m.after(planInterval, m.plan)
	now := m.wall()
	m.co.SetUpstreams(now, modelService, m.leader.holderCandidates(now, modelService))
	m.co.Plan(now)
	phase := m.phase(m.now)
	for _, mv := range m.co.Moves() {
		m.keysMoved[phase] += int(mv.Span.To) - int(mv.Span.From) + 1
		m.moves[phase]++
	}
	m.maxShards = max(m.maxShards, m.co.Stats().Shards)
	m.step()
	for i := 1; i < int(planInterval/leaderTick); i++ {
		m.after(time.Duration(i)*leaderTick, m.step)
	}
}

// step saves the record, starts the calls that are due and publishes the map.
func (m *holdersModel) step() {
	now := m.wall()
	if !m.saving {
		if _, stored, changed := m.co.Save(now); changed {
			m.saving = true
			m.after(60*time.Millisecond, func() { m.saving = false; stored() })
		}
	}
	for _, c := range m.co.Calls(now) {
		u := m.upstreams[c.Upstream]
		m.after(15*time.Millisecond, func() {
			if c.Release {
				for k := int(c.From); k <= int(c.To); k++ {
					if m.heldBy[k] == u {
						m.heldBy[k] = nil
					}
				}
				u.releases = append(u.releases, modelRelease{c})
				m.endReleases(u)
				return
			}
			for k := int(c.From); k <= int(c.To); k++ {
				m.heldBy[k] = u
			}
			m.after(15*time.Millisecond, func() { m.co.CallEnded(m.wall(), c, keyspace.Done, "") })
		})
	}
	if m.now < m.publishAt {
		return
	}
	if hm, changed := m.co.Map(); changed {
		m.publishAt = m.now + publishInterval*time.Duration(len(m.instances))/smallFleetSize
		for _, in := range m.instances {
			m.after(20*time.Millisecond+time.Duration(m.rng.IntN(60))*time.Millisecond, func() {
				if cur := in.router.holderMap.Load(); cur != nil && !cur.Version.Less(hm.Version) {
					return
				}
				in.router.holderMap.Store(hm)
				waiting := in.waiting
				in.waiting = nil
				for _, again := range waiting {
					again()
				}
			})
		}
	}
}

// endReleases answers the releases whose requests have all ended.
func (m *holdersModel) endReleases(u *modelUpstream) {
	pending := u.releases[:0:0]
	for _, rel := range u.releases {
		busy := false
		for x := range u.running {
			busy = busy || x.key >= rel.call.From && x.key <= rel.call.To
		}
		for _, x := range u.queue {
			busy = busy || x.key >= rel.call.From && x.key <= rel.call.To
		}
		if busy {
			pending = append(pending, rel)
			continue
		}
		m.after(15*time.Millisecond, func() { m.co.CallEnded(m.wall(), rel.call, keyspace.Done, "warm") })
	}
	u.releases = pending
}
