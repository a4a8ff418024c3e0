package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/internal/quorum"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	modelStep    = 25 * time.Millisecond
	modelTime    = 40 * time.Second
	modelPlan    = 200 * time.Millisecond // planning is most of the work
	modelLease   = 1500 * time.Millisecond
	modelMargin  = 250 * time.Millisecond
	modelHold    = 2500 * time.Millisecond
	modelSeeds   = 60
	modelService = fleet.ServiceID("s")
)

var modelStart = time.Unix(1_700_000_000, 0)

// model simulates instances, their store and the holders of keys, with the real decisions of
// leaders. Instances that are rejected do not reach the store; frozen ones do nothing.
type model struct {
	t         *testing.T
	rng       *rand.Rand
	now       time.Duration
	revision  fleet.Revision
	leader    fleet.InstanceID // by the store; empty after its lease
	leaseEnd  time.Duration
	term      fleet.Revision
	record    keyspace.Record
	downUntil time.Duration // of the store, for all instances
	instances []*modelInstance
	holders   []*modelHolder
	messages  []modelMessage
	lost      map[string]time.Duration // links that lose messages, by their ends, until a time
	seen      map[string]int
}

type modelMessage struct {
	at  time.Duration
	run func()
}

type modelInstance struct {
	id             fleet.InstanceID
	speed          float64 // of its clock
	removed        bool
	rejectedUntil  time.Duration
	frozenUntil    time.Duration
	follows        fleet.Revision
	followed       *modelInstance
	heardAt        time.Duration // on its clock; of the leader that it follows
	formerHeardAt  time.Duration // on its clock
	acknowledged   time.Duration // on the clock of the leader
	lastReportedAt time.Duration // on its clock
	lead           *modelLeader
}

type modelLeader struct {
	term       fleet.Revision
	validUntil time.Duration // on the clock of the instance
	renewDue   time.Duration
	steppedAt  time.Duration
	support    quorum.Support
	succession quorum.Succession
	co         *keyspace.Coordinator
	members    map[*modelInstance]time.Duration
	startedAt  time.Duration
	voters     int
	planDue    time.Duration
	saving     bool
}

type modelHolder struct {
	id     fleet.UpstreamID
	boot   int
	down   bool
	speed  float64 // of its clock
	spans  []modelGrant
	fences []modelGrant
}

type modelGrant struct {
	keyspace.Span
	fence fleet.Fence
	end   time.Duration
}

func newModel(t *testing.T, seed uint64, instances int) *model {
	m := &model{t: t, rng: rand.New(rand.NewPCG(seed, 7)), lost: make(map[string]time.Duration), seen: make(map[string]int)}
	for range instances {
		m.addInstance()
	}
	for i := range 4 {
		m.holders = append(m.holders, &modelHolder{id: fleet.UpstreamID(fmt.Sprint("u", i)), speed: m.speed()})
	}
	return m
}

// speed returns that of a clock; two differ by 2% at most.
func (m *model) speed() float64 { return 1 + 0.02*m.rng.Float64() }

func (m *model) addInstance() {
	in := &modelInstance{id: fleet.InstanceID(fmt.Sprint("i", len(m.instances))), speed: m.speed()}
	in.formerHeardAt = in.clock(m.now)
	m.instances = append(m.instances, in)
}

func (in *modelInstance) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now) * in.speed)
}

func (in *modelInstance) wall(now time.Duration) time.Time { return modelStart.Add(in.clock(now)) }

func (m *model) after(d time.Duration, run func()) {
	m.messages = append(m.messages, modelMessage{m.now + d, run})
}

// delay returns that of a message, which is mostly short.
func (m *model) delay() time.Duration {
	if m.rng.IntN(20) == 0 {
		return time.Duration(m.rng.IntN(150)) * time.Millisecond
	}
	return time.Duration(1+m.rng.IntN(10)) * time.Millisecond
}

func (m *model) connected(a, b string) bool { return m.now >= m.lost[a+b] && m.now >= m.lost[b+a] }

// running reports whether an instance does something now.
func (m *model) running(in *modelInstance) bool { return !in.removed && m.now >= in.frozenUntil }

// reaches reports whether an instance reaches the store.
func (m *model) reaches(in *modelInstance) bool {
	return m.running(in) && m.now >= in.rejectedUntil && m.now >= m.downUntil
}

// run plays modelTime with a disturbance about every second.
func (m *model) run() {
	nextFault := 8 * time.Second
	for m.now < modelTime && !m.t.Failed() {
		m.now += modelStep
		if m.now >= nextFault {
			nextFault = m.now + time.Duration(m.rng.IntN(2500))*time.Millisecond
			m.fault()
		}
		if m.leader != "" && m.now >= m.leaseEnd {
			m.leader = ""
		}
		for i := 0; i < len(m.messages); i++ {
			if msg := m.messages[i]; m.now >= msg.at {
				m.messages[i] = m.messages[len(m.messages)-1]
				m.messages = m.messages[:len(m.messages)-1]
				i--
				msg.run()
			}
		}
		for _, in := range m.instances {
			if !m.running(in) {
				continue
			}
			if in.lead != nil {
				m.step(in)
			} else {
				m.follow(in)
			}
		}
	}
}

// fault begins a disturbance.
func (m *model) fault() {
	in := m.instances[m.rng.IntN(len(m.instances))]
	if m.rng.IntN(2) == 0 {
		for _, other := range m.instances {
			if other.lead != nil && !other.removed {
				in = other
			}
		}
	}
	alive := 0
	for _, other := range m.instances {
		if !other.removed {
			alive++
		}
	}
	span := time.Duration(500+m.rng.IntN(9000)) * time.Millisecond
	h := m.holders[m.rng.IntN(len(m.holders))]
	switch m.rng.IntN(9) {
	case 0:
		in.rejectedUntil = m.now + span
	case 1:
		m.downUntil = m.now + span/2
	case 2:
		in.frozenUntil = m.now + span/2
	case 3:
		if alive > 1 {
			in.removed, in.lead = true, nil
		}
	case 4:
		if alive < 6 {
			m.addInstance()
		}
	case 5: // the process starts again
		in.lead, in.follows, in.followed, in.acknowledged = nil, 0, nil, 0
		in.formerHeardAt = in.clock(m.now)
	case 6, 7:
		if !h.down {
			h.down, h.spans, h.fences = true, nil, nil
			m.after(span/2, func() { h.down = false; h.boot++ })
		}
	case 8:
		other := m.instances[m.rng.IntN(len(m.instances))]
		m.lost[string(in.id)+string(other.id)] = m.now + span
		m.lost[string(in.id)+string(h.id)] = m.now + span
	}
}

// follow reports to the leader, and looks for another one if it does not answer.
func (m *model) follow(in *modelInstance) {
	clock := in.clock(m.now)
	if in.followed != nil && clock-in.heardAt < 800*time.Millisecond {
		if clock-in.lastReportedAt > 300*time.Millisecond {
			in.lastReportedAt = clock
			m.report(in)
		}
		return
	}
	if !m.reaches(in) || m.rng.IntN(6) > 0 {
		return
	}
	if m.leader == "" {
		m.elect(in)
		return
	}
	for _, other := range m.instances {
		if other.id == m.leader && other != in && m.term > in.follows {
			m.follows(in, other, m.term)
		}
	}
}

func (m *model) follows(in, leader *modelInstance, term fleet.Revision) {
	if in.followed != nil {
		in.formerHeardAt = max(in.formerHeardAt, in.heardAt)
	}
	in.followed, in.follows, in.acknowledged, in.heardAt = leader, term, 0, in.clock(m.now)
}

// report sends a report, whose reply the leader sends at once.
func (m *model) report(in *modelInstance) {
	leader, term, ack, age := in.followed, in.follows, in.acknowledged, in.clock(m.now)-in.formerHeardAt
	m.after(m.delay(), func() {
		l := leader.lead
		if !m.running(leader) || !m.connected(string(in.id), string(leader.id)) || l == nil || l.term != term {
			return
		}
		l.members[in] = leader.clock(m.now)
		if ack > 0 {
			l.support.Acknowledged(in.id, ack)
			l.succession.Follows(leader.wall(m.now), in.id, age)
		}
		sentAt := leader.clock(m.now)
		m.after(m.delay(), func() {
			if m.running(in) && in.follows == term && m.connected(string(in.id), string(leader.id)) {
				in.heardAt, in.acknowledged = in.clock(m.now), sentAt
			}
		})
	})
}

func (m *model) elect(in *modelInstance) {
	m.revision++
	m.leader, m.term, m.leaseEnd = in.id, m.revision, m.now+modelLease
	if in.followed != nil {
		in.formerHeardAt = max(in.formerHeardAt, in.heardAt)
	}
	in.followed, in.follows = nil, m.term
	m.seen["elections"]++
	clock := in.clock(m.now)
	e := quorum.Electorate{Open: m.record.FormerLead}
	for _, p := range m.record.Instances {
		e.Voters = append(e.Voters, p.ID)
	}
	l := &modelLeader{term: m.term, validUntil: clock + modelLease - modelMargin, steppedAt: clock, startedAt: clock, members: make(map[*modelInstance]time.Duration)}
	l.succession, l.voters = quorum.NewSuccession(in.wall(m.now), e), len(e.Voters)
	e.Open = e.Open || len(e.Voters) == 0 // no record is stored
	l.support = quorum.NewSupport(in.id, e)
	l.co = keyspace.NewCoordinator(in.wall(m.now), m.term, keyspace.Timing{
		Hold: modelHold, Renew: 500 * time.Millisecond, Retry: 200 * time.Millisecond, FormerLead: l.succession.FormerEnd().Sub(in.wall(m.now)),
	}, m.record)
	in.lead = l
}

// step is that of a leader.
func (m *model) step(in *modelInstance) {
	l, clock := in.lead, in.clock(m.now)
	leaseValid := clock < l.validUntil
	suspended := clock-l.steppedAt > modelLease-modelMargin
	l.steppedAt = clock
	if suspended && !leaseValid || !l.support.MayLead(clock, l.validUntil) {
		m.endLead(in)
		return
	}
	if !leaseValid {
		m.seen["steps without a lease"]++
	}
	if clock >= l.renewDue {
		l.renewDue = clock + 400*time.Millisecond
		if m.reaches(in) {
			if m.leader != in.id || m.term != l.term {
				m.endLead(in)
				return
			}
			m.leaseEnd, l.validUntil, leaseValid = m.now+modelLease, clock+modelLease-modelMargin, true
		}
	}
	l.succession.Follows(in.wall(m.now), in.id, clock-in.formerHeardAt)
	l.co.SetFormerEnd(l.succession.FormerEnd())
	if leaseValid && clock >= l.planDue {
		l.planDue = clock + modelPlan
		m.plan(in, l)
	}
	for _, c := range l.co.Calls(in.wall(m.now)) {
		m.call(in, l, c)
	}
}

func (m *model) endLead(in *modelInstance) {
	in.lead, in.followed = nil, nil
}

func (m *model) plan(in *modelInstance, l *modelLeader) {
	wall, clock := in.wall(m.now), in.clock(m.now)
	list := []fleet.Peer{{ID: in.id}}
	for _, other := range m.instances {
		if heardAt, heard := l.members[other]; heard && clock-heardAt < 4*time.Second {
			list = append(list, fleet.Peer{ID: other.id})
		}
	}
	changed := len(list) != l.voters && clock-l.startedAt > 5*time.Second
	l.co.SetInstances(list, changed)
	if changed {
		l.voters = len(list)
	}
	var upstreams []keyspace.Upstream
	if m.reaches(in) {
		for _, h := range m.holders {
			upstreams = append(upstreams, keyspace.Upstream{ID: h.id, Boot: fleet.BootID(fmt.Sprint(h.boot)), Usable: !h.down, Capacity: 20})
		}
		l.co.SetUpstreams(wall, modelService, upstreams)
	}
	l.co.Plan(wall)
	if l.saving || !m.reaches(in) {
		return
	}
	rec, onStored, changed := l.co.Save(wall)
	if !changed {
		return
	}
	e := quorum.Electorate{Open: rec.FormerLead}
	for _, p := range rec.Instances {
		e.Voters = append(e.Voters, p.ID)
	}
	l.saving = true
	l.support.Storing(e)
	m.after(m.delay(), func() {
		if m.now < m.downUntil || m.leader != in.id || m.term != l.term {
			return // the outcome stays unknown to the leader
		}
		m.record = rec
		if m.rng.IntN(20) == 0 {
			return // the answer is lost
		}
		m.after(m.delay(), func() { l.saving = false; l.support.Stored(); onStored() })
	})
}

// call sends a grant or a release, and reports its result.
func (m *model) call(in *modelInstance, l *modelLeader, c keyspace.Call) {
	var h *modelHolder
	for _, other := range m.holders {
		if other.id == c.Upstream {
			h = other
		}
	}
	decidedAt := m.now
	end := func(r keyspace.Result, d time.Duration) {
		m.after(d, func() {
			if in.lead == l {
				l.co.CallEnded(in.wall(m.now), c, r, "")
			}
		})
	}
	m.after(m.delay(), func() {
		switch {
		case m.now < in.frozenUntil && m.now-decidedAt > 500*time.Millisecond, !m.connected(string(in.id), string(h.id)):
			end(keyspace.NoAnswer, 800*time.Millisecond)
		case h.down:
			end(keyspace.NotSent, m.delay())
		default:
			end(m.execute(h, c), m.delay())
		}
	})
}

// execute lets a holder carry out a call. It fails the test if another one holds the keys, or has
// had them with a higher fencing token.
func (m *model) execute(h *modelHolder, c keyspace.Call) keyspace.Result {
	if c.Release {
		h.spans = cut(h.spans, c.Span)
		return keyspace.Done
	}
	for _, g := range h.fences {
		if overlap(g.Span, c.Span) && g.fence > c.Fence {
			return keyspace.Conflict
		}
	}
	g := modelGrant{c.Span, c.Fence, m.now + time.Duration(float64(c.Hold)*h.speed)}
	for _, other := range m.holders {
		for _, o := range other.spans {
			if other != h && overlap(o.Span, c.Span) && m.now < o.end {
				m.t.Errorf("%v: %s takes keys %d to %d with fence %d, while %s holds keys %d to %d with fence %d", m.now, h.id, c.From, c.To, c.Fence, other.id, o.From, o.To, o.fence)
			}
		}
	}
	h.spans, h.fences = append(cut(h.spans, c.Span), g), append(cut(h.fences, c.Span), g)
	m.seen["grants"]++
	return keyspace.Done
}

func overlap(a, b keyspace.Span) bool { return a.From <= b.To && b.From <= a.To }

// cut returns the grants without the keys of a span.
func cut(grants []modelGrant, s keyspace.Span) []modelGrant {
	var out []modelGrant
	for _, g := range grants {
		if !overlap(g.Span, s) {
			out = append(out, g)
			continue
		}
		if g.From < s.From {
			out = append(out, modelGrant{keyspace.Span{From: g.From, To: s.From - 1}, g.fence, g.end})
		}
		if g.To > s.To {
			out = append(out, modelGrant{keyspace.Span{From: s.To + 1, To: g.To}, g.fence, g.end})
		}
	}
	return out
}

// Guards against two upstreams that hold a key at the same time, because a leader that the store
// rejects goes on beside the next one, in any order of rejections, outages, losses, freezes,
// restarts, new instances and restarts of holders.
func TestOneHolderUnderAnyLeaders(t *testing.T) {
	seen := make(map[string]int)
	for seed := range uint64(modelSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newModel(t, seed, 1+int(seed%4))
			m.run()
			for k, n := range m.seen {
				seen[k] += n
			}
		})
	}
	if seen["steps without a lease"] < 50*modelSeeds || seen["elections"] < 3*modelSeeds || seen["grants"] < 100*modelSeeds {
		t.Errorf("the model did too little: %v", seen)
	}
}
