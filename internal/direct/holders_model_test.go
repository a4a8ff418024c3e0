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

// The load of a service whose callers repeat a refused request once.
const (
	modelService  fleet.ServiceID = "lookups"
	modelSlots                    = 4
	modelQueue                    = 16
	modelWork                     = 220 * time.Millisecond
	modelTarget                   = time.Second
	modelTimeout                  = 2 * time.Second
	modelDeadline                 = 4 * time.Second
	modelEnd                      = 44 * time.Second
	noisePeriod                   = 400 * time.Millisecond
	wavePeriod                    = 15 * time.Second
)

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
	instances, upstreams int
	rate                 float64       // requests/s
	wave                 float64       // share by which the rate rises and falls within wavePeriod
	report               time.Duration // interval of the reports of an instance
	bursts               []modelBurst
	seed                 uint64
}

// modelCounts are the outcomes of callers' requests.
type modelCounts struct{ requests, onTime, fullRefusals int }

// modelRequest is a request of a caller, with its second attempt if it has one.
type modelRequest struct {
	key                                    keyspace.Key
	calledAt, deadline, receivedAt, sentAt time.Duration
	retried                                bool
	counts                                 *modelCounts
	upstream                               *modelUpstream
	instance                               *modelInstance
}

type modelUpstream struct {
	index    int
	id       fleet.UpstreamID
	speed    float64
	running  map[*modelRequest]bool
	queue    []*modelRequest
	releases []keyspace.Call // that wait for the end of the requests for their keys
}

type modelInstance struct {
	router  *Router
	keys    []keyspace.Key
	waiting []func() // requests that wait for another map
}

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
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
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
	instances []*modelInstance
	heldBy    [keyspace.Keys]*modelUpstream // as the upstreams know it
	perm      []int
	saving    bool
	publishAt time.Duration
	counts    map[string]*modelCounts // by burst, or "steady"
	maxShards int
}

func newHoldersModel(cfg modelConfig) *holdersModel {
	m := &holdersModel{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.seed, 1)), upstreams: make(map[fleet.UpstreamID]*modelUpstream), counts: make(map[string]*modelCounts)}
	m.perm = m.rng.Perm(keyspace.Keys)
	var list []balance.Registration
	for i := range cfg.upstreams {
		u := &modelUpstream{index: i, id: fleet.UpstreamID(fmt.Sprintf("lookups-%03d", i)), speed: []float64{0.55, 1.2}[i%2], running: make(map[*modelRequest]bool)}
		m.upstreams[u.id] = u
		list = append(list, balance.Registration{ID: u.id, Service: modelService, Boot: "1", Addr: "a" + string(u.id), Slots: modelSlots})
	}
	m.leader = m.newRouter("leader", list)
	for i := range cfg.instances {
		in := &modelInstance{router: m.newRouter(fleet.InstanceID(fmt.Sprint("i", i)), list)}
		m.instances = append(m.instances, in)
		m.after(time.Duration(float64(cfg.report)*float64(i)/float64(cfg.instances)), func() { m.reportRegularly(in) })
	}
	m.co = keyspace.NewCoordinator(modelStart, 1, keyspace.Timing{Hold: 2500 * time.Millisecond, Renew: 500 * time.Millisecond, Retry: 200 * time.Millisecond}, keyspace.Record{})
	m.after(0, m.plan)
	m.after(5*time.Second, m.arrive)
	return m
}

func (m *holdersModel) newRouter(id fleet.InstanceID, list []balance.Registration) *Router {
	r := &Router{cfg: Settings{Instance: id}, rng: rand.New(rand.NewPCG(m.cfg.seed, uint64(len(m.instances))+2))}
	r.gate, r.holderLoads = rollout.NewGate(r.rng), newHolderLoads(r.rng)
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
	for len(m.events) > 0 && m.now <= modelEnd {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.run()
	}
}

// arrive lets a caller send a request, to a key of the burst in effect or with a mild skew. A
// burst counts until one second after its end, when the last of its requests are answered.
func (m *holdersModel) arrive() {
	rate := m.cfg.rate * (1 + m.cfg.wave*math.Sin(2*math.Pi*m.now.Seconds()/wavePeriod.Seconds()))
	m.after(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), m.arrive)
	phase, key := "steady", -1
	for i, b := range m.cfg.bursts {
		if m.now >= b.from && m.now < b.to+time.Second {
			phase = b.name
		}
		if m.now >= b.from && m.now < b.to && m.rng.Float64() < b.share {
			key = 10_007 + 17_000*i + m.rng.IntN(b.keys)
		}
	}
	if key < 0 {
		key = m.perm[int(math.Pow(m.rng.Float64(), 1.5)*keyspace.Keys)]
	}
	if m.counts[phase] == nil {
		m.counts[phase] = &modelCounts{}
	}
	m.counts[phase].requests++
	m.receive(&modelRequest{key: keyspace.Key(key), calledAt: m.now, deadline: m.now + modelDeadline, counts: m.counts[phase]})
}

func (m *holdersModel) receive(x *modelRequest) {
	x.instance, x.receivedAt = m.instances[m.rng.IntN(len(m.instances))], m.now
	x.instance.keys = append(x.instance.keys, x.key)
	m.try(x, holderWaitShare)
}

func (m *holdersModel) try(x *modelRequest, waitShare float64) {
	r, now := x.instance.router, m.wall()
	if m.now >= x.deadline || m.now-x.receivedAt >= modelTimeout {
		m.refuse(x, retryAfterFull)
		return
	}
	var id fleet.UpstreamID
	if hm := r.holderMap.Load(); hm != nil {
		id = hm.Holder(modelService, x.key)
	}
	if id == "" {
		m.awaitMap(x, waitShare)
		return
	}
	repeated := x.sentAt > x.receivedAt
	if !repeated && !r.holderLoads.admitKey(now, modelService, x.key) {
		m.refuse(x, hotKeyRetryDelay+r.holderLoads.spread(hotKeyRetryDelay))
		return
	}
	e := r.upstreams.Get(id)
	q := holderRequest{
		queueShare: 1, receivedAt: modelStart.Add(x.receivedAt),
		deadline: modelStart.Add(min(x.deadline, x.receivedAt+modelTimeout)), repeated: repeated,
	}
	verdict, delay := r.holderLoads.decide(now, q, e, r.upstreams.Capacity(now, e), seconds(r.upstreams.ServiceTime(now, e)))
	if verdict == longQueue {
		m.reportEarly(x.instance)
	}
	if verdict != sendToHolder {
		m.refuse(x, retryDelayWithin(delay, x.deadline-m.now))
		return
	}
	r.holderLoads.sent(e)
	r.upstreams.Started(now, e)
	x.upstream, x.sentAt = m.upstreams[id], m.now
	m.after(time.Millisecond, func() { m.reach(x) })
}

func (m *holdersModel) awaitMap(x *modelRequest, waitShare float64) {
	left := time.Duration(waitShare*float64(modelTarget)) - (m.now - x.receivedAt)
	if left <= 0 {
		m.refuse(x, retryAfterHolderLost)
		return
	}
	waiting := true
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
	if x.retried || retryAfter > (x.deadline-m.now)/3 {
		return
	}
	x.retried = true
	m.after(retryAfter+time.Millisecond, func() { m.receive(x) })
}

func (m *holdersModel) reach(x *modelRequest) {
	u, r, now := x.upstream, x.instance.router, m.wall()
	switch {
	case m.heldBy[x.key] != u:
		m.answered(x, balance.Declined, nil)
		m.awaitMap(x, movedWaitShare)
	case len(u.running) < modelSlots:
		m.begin(u, x)
	case len(u.queue) < modelQueue:
		u.queue = append(u.queue, x)
	default:
		x.counts.fullRefusals++
		m.reportEarly(x.instance)
		m.answered(x, balance.Full, m.load(u))
		e := r.upstreams.Get(u.id)
		m.refuse(x, retryDelayWithin(r.holderLoads.roomIn(now, e, r.upstreams.Capacity(now, e), modelTarget), x.deadline-m.now))
	}
}

func (m *holdersModel) load(u *modelUpstream) *balance.Load {
	return &balance.Load{Running: len(u.running), Waiting: len(u.queue), Slots: modelSlots, Slowdown: m.slowdown(u)}
}

// slowdown returns 3 for a fifth of the upstreams, in turn for noisePeriod each.
func (m *holdersModel) slowdown(u *modelUpstream) float64 {
	if (u.index*7+int(m.now/noisePeriod)*3)%5 == 0 {
		return 3
	}
	return 1
}

func (m *holdersModel) begin(u *modelUpstream, x *modelRequest) {
	u.running[x] = true
	work := float64(modelWork) / u.speed * (0.85 + 0.3*m.rng.Float64())
	if m.rng.IntN(100) < 3 {
		work *= 7
	}
	if m.slowdown(u) > 1 { // the rest of the period does a third of the work
		work += min(work*2, float64(noisePeriod-m.now%noisePeriod)*2/3)
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
	verdict := balance.Answered
	switch {
	case m.now-x.receivedAt > modelTimeout || m.now > x.deadline:
		verdict = balance.Silent
	case m.now-x.calledAt <= modelTarget:
		x.counts.onTime++
	}
	m.answered(x, verdict, m.load(u))
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

// reportRegularly sends a report, whose reply is held until the next one.
func (m *holdersModel) reportRegularly(in *modelInstance) {
	m.after(m.cfg.report, func() {
		in.router.holderLoads.merge(m.wall(), m.leader.holderLoads.long(m.wall(), m.leader.holderCapacity(m.wall())))
		in.router.holderLoads.setHotKeys(m.wall(), 0, m.co.HotKeys())
		m.reportRegularly(in)
	})
	m.report(in)
}

func (m *holdersModel) report(in *modelInstance) {
	keys, loads := in.keys, in.router.holderLoads.takeReport(m.wall())
	samples := in.router.upstreams.TakeSamples(func(fleet.ServiceID) bool { return true })
	in.keys = nil
	m.after(2*time.Millisecond, func() {
		m.leader.holderLoads.merge(m.wall(), loads)
		l := &leadership{coordinator: m.co}
		l.countKeys(report{Keys: map[fleet.ServiceID][]keyspace.Key{modelService: keys}})
		for _, id := range slices.Sorted(maps.Keys(samples)) {
			m.leader.upstreams.LearnSamples(m.wall(), id, samples[id])
			m.leader.upstreams.CountAnswers(m.wall(), id, samples[id])
		}
	})
}

func (m *holdersModel) plan() {
	m.after(planInterval, m.plan)
	m.co.SetUpstreams(m.wall(), modelService, m.leader.holderCandidates(m.wall(), modelService))
	m.co.Plan(m.wall())
	m.maxShards = max(m.maxShards, m.co.Stats().Shards)
	m.co.Moves()
	m.step()
	for i := 1; i < int(planInterval/leaderTick); i++ {
		m.after(time.Duration(i)*leaderTick, m.step)
	}
}

// step saves the record, starts the calls that are due and publishes the map.
func (m *holdersModel) step() {
	if !m.saving {
		if _, stored, changed := m.co.Save(m.wall()); changed {
			m.saving = true
			m.after(60*time.Millisecond, func() { m.saving = false; stored() })
		}
	}
	for _, c := range m.co.Calls(m.wall()) {
		m.after(15*time.Millisecond, func() { m.execute(m.upstreams[c.Upstream], c) })
	}
	if m.now < m.publishAt {
		return
	}
	if hm, changed := m.co.Map(); changed {
		m.publishAt = m.now + publishInterval*time.Duration(len(m.instances))/smallFleetSize
		for _, in := range m.instances {
			m.after(20*time.Millisecond+time.Duration(m.rng.IntN(60))*time.Millisecond, func() { in.apply(hm) })
		}
	}
}

func (in *modelInstance) apply(hm *keyspace.Map) {
	if cur := in.router.holderMap.Load(); cur != nil && !cur.Version.Less(hm.Version) {
		return
	}
	in.router.holderMap.Store(hm)
	waiting := in.waiting
	in.waiting = nil
	for _, again := range waiting {
		again()
	}
}

func (m *holdersModel) execute(u *modelUpstream, c keyspace.Call) {
	for k := int(c.From); k <= int(c.To); k++ {
		switch {
		case !c.Release:
			m.heldBy[k] = u
		case m.heldBy[k] == u:
			m.heldBy[k] = nil
		}
	}
	if c.Release {
		u.releases = append(u.releases, c)
		m.endReleases(u)
		return
	}
	m.after(15*time.Millisecond, func() { m.co.CallEnded(m.wall(), c, keyspace.Done, "") })
}

// endReleases answers the releases whose requests have all ended.
func (m *holdersModel) endReleases(u *modelUpstream) {
	u.releases = slices.DeleteFunc(u.releases, func(c keyspace.Call) bool {
		for _, x := range slices.AppendSeq(slices.Clone(u.queue), maps.Keys(u.running)) {
			if x.key >= c.From && x.key <= c.To {
				return false
			}
		}
		m.after(15*time.Millisecond, func() { m.co.CallEnded(m.wall(), c, keyspace.Done, "warm") })
		return true
	})
}
