package dispatch_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/internal/dispatch"
	standin "github.com/parsleyproxy/parsleyproxy/internal/standin/upstream"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// TestMain fixes the seed of rapid, so that every run checks the same sequences.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		set := false
		flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
		if !set {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

var base = time.Unix(1e9, 0)

const (
	simUnits     = 4
	simUpstreams = 3
	simSlots     = 3
	simTimeout   = 1500 * time.Millisecond
)

// simulation runs two dispatchers and three upstreams on a virtual clock, with a
// network that delays and loses messages. It checks the invariants whenever a
// request is sent or takes effect.
type simulation struct {
	t              *rapid.T
	rng            *rand.Rand
	now            time.Time
	fenced         bool
	events         []event
	tables         [2]*dispatch.Table
	knownRevision  [2]int
	authorityUntil [2]time.Time
	isolatedUntil  [2]time.Time
	revisions      []revision
	upstreams      [simUpstreams]*fakeUpstream
	lastFence      fleet.Fence
	requests       map[fleet.RequestID]*requestRecord
	openAttempts   map[[2]int]int // by dispatcher and upstream
	confirmed      map[[2]int]*confirmation
	lossyUntil     time.Time
	lastEffect     map[fleet.Unit]dispatch.SendRequest // last effect on each unit
}

// event is a function that runs at a virtual time.
type event struct {
	at time.Time
	do func()
}

// revision is one version of the assignment.
type revision struct {
	dispatcher      [simUpstreams]int
	fence           [simUpstreams]fleet.Fence
	dispatcherSince [simUpstreams]int // first revision that names the dispatcher
	units           [simUnits]assignment.Ownership
	inForce         time.Time
}

// fakeUpstream is a simulated upstream.
type fakeUpstream struct {
	id          fleet.UpstreamID
	control     standin.Control
	boot        int
	started     time.Time
	frozenUntil time.Time
	running     map[*execution]bool
}

// execution is a request that runs at an upstream.
type execution struct {
	unit     fleet.Unit
	deadline time.Time
}

// requestRecord is what the simulation has seen of one request.
type requestRecord struct {
	req          dispatch.Request
	table        int
	endCount     int
	notRun       bool
	mayRun       bool // an attempt ended without proof that it never started
	openAttempts map[int]bool
	effectCount  int
	answered     bool
}

func upID(i int) fleet.UpstreamID { return fleet.UpstreamID(fmt.Sprintf("u%d", i)) }

func unitOf(i int) fleet.Unit { return fleet.Unit{Service: "s", Shard: fleet.ShardID(i)} }

func newSimulation(t *rapid.T, seed uint64, fenced bool) *simulation {
	s := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 0)), now: base, fenced: fenced,
		requests: make(map[fleet.RequestID]*requestRecord), openAttempts: make(map[[2]int]int), confirmed: make(map[[2]int]*confirmation), lastEffect: make(map[fleet.Unit]dispatch.SendRequest),
	}
	var r revision
	for i := range s.upstreams {
		s.lastFence++
		r.dispatcher[i], r.fence[i] = i%2, s.lastFence
		s.upstreams[i] = &fakeUpstream{id: upID(i)}
		s.restartUpstream(i)
	}
	for i := range r.units {
		s.lastFence++
		r.units[i] = assignment.Ownership{Unit: unitOf(i), Owner: upID(i % simUpstreams), Fence: s.lastFence}
	}
	s.revisions = []revision{r}
	for k := range s.tables {
		s.tables[k] = dispatch.New(dispatch.Config{})
		s.learnLatest(k)
	}
	return s
}

func (s *simulation) fatalf(format string, args ...any) { s.t.Helper(); s.t.Fatalf(format, args...) }

func (s *simulation) schedule(d time.Duration, do func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.events, at, func(e event, at time.Time) int {
		if e.at.After(at) {
			return 1
		}
		return -1
	})
	s.events = slices.Insert(s.events, i, event{at: at, do: do})
}

// delay returns a random network delay: below 5 ms, or 1 time in 40 below 2 s, which
// can exceed every timeout.
func (s *simulation) delay() time.Duration {
	if s.rng.IntN(40) == 0 {
		return time.Duration(s.rng.IntN(2000)) * time.Millisecond
	}
	return time.Duration(s.rng.IntN(5000)) * time.Microsecond
}

// losesMessage reports whether the network loses a message: half of them are lost until
// lossyUntil.
func (s *simulation) losesMessage() bool { return s.now.Before(s.lossyUntil) && s.rng.IntN(2) == 0 }

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(5 * time.Millisecond)
		for len(s.events) > 0 && !s.events[0].at.After(s.now) {
			e := s.events[0]
			s.events = s.events[1:]
			e.do()
			s.checkOwners()
		}
		s.renewAuthority()
		for k, t := range s.tables {
			s.execute(k, t.Tick(s.now, s.authorityUntil[k]))
		}
	}
}

// renewAuthority renews the authority of the instances that know the newest
// assignment; others must not renew. It then puts revisions into force that every
// instance knows or can no longer act against.
func (s *simulation) renewAuthority() {
	latest := len(s.revisions) - 1
	for k := range s.tables {
		if s.now.Before(s.isolatedUntil[k]) {
			continue
		}
		if s.knownRevision[k] < latest && s.rng.IntN(10) == 0 {
			s.learnLatest(k)
		}
		if s.knownRevision[k] == latest {
			s.authorityUntil[k] = s.now.Add(time.Second)
		}
	}
	for i := range s.revisions {
		r := &s.revisions[i]
		inForce := r.inForce.IsZero()
		for k := range s.tables {
			inForce = inForce && (s.knownRevision[k] >= i || !s.now.Before(s.authorityUntil[k]))
		}
		if inForce {
			r.inForce = s.now
			for k := range s.tables {
				s.assign(k)
			}
		}
	}
}

// learnLatest gives dispatcher k the newest revision.
func (s *simulation) learnLatest(k int) {
	s.knownRevision[k] = len(s.revisions) - 1
	s.assign(k)
}

func (s *simulation) assign(k int) {
	r := s.revisions[s.knownRevision[k]]
	var duties []dispatch.Duty
	for i := range s.upstreams {
		if r.dispatcher[i] != k {
			continue
		}
		d := dispatch.Duty{
			Upstream: upID(i), Service: "s", Address: string(upID(i)), Fence: r.fence[i], Slots: simSlots, ColdSlots: 1,
			Fenced: s.fenced, Timeout: simTimeout, InForceSince: s.revisions[r.dispatcherSince[i]].inForce,
		}
		for _, o := range r.units {
			if o.Owner == d.Upstream || slices.Contains(o.Previous, d.Upstream) {
				d.Units = append(d.Units, o)
			}
		}
		duties = append(duties, d)
	}
	s.execute(k, s.tables[k].Assign(s.now, duties))
}

// plan adds a revision of the assignment that is based on the newest one.
func (s *simulation) plan(change func(r *revision)) {
	r := s.revisions[len(s.revisions)-1]
	r.inForce = time.Time{}
	for _, t := range s.tables {
		for _, rep := range t.Reports(s.now) {
			for _, g := range rep.Granted {
				if o := &r.units[g.Unit.Shard]; o.Fence == g.Fence {
					o.Previous = nil
				}
			}
		}
	}
	change(&r)
	s.revisions = append(s.revisions, r)
}

func (s *simulation) moveUnit(unit, to int) {
	s.plan(func(r *revision) {
		o := &r.units[unit]
		if o.Owner == upID(to) {
			return
		}
		s.lastFence++
		prev := slices.DeleteFunc(slices.Clone(o.Previous), func(id fleet.UpstreamID) bool { return id == o.Owner })
		o.Previous = append(prev, o.Owner)
		o.Owner, o.Fence = upID(to), s.lastFence
	})
}

func (s *simulation) changeDispatcher(up, to int) {
	s.plan(func(r *revision) {
		s.lastFence++
		r.dispatcher[up], r.fence[up], r.dispatcherSince[up] = to, s.lastFence, len(s.revisions)
	})
}

func (s *simulation) restartUpstream(i int) {
	m := s.upstreams[i]
	m.boot++
	m.control, m.started, m.running = standin.NewControl(!s.fenced), s.now, make(map[*execution]bool)
}

func (m *fakeUpstream) stamp(now time.Time) dispatch.Stamp { return dispatch.Stamp(now.Sub(m.started)) }

// whenUnfrozen runs do as soon as the upstream is not frozen.
func (s *simulation) whenUnfrozen(m *fakeUpstream, do func()) {
	if s.now.Before(m.frozenUntil) {
		s.schedule(m.frozenUntil.Sub(s.now), func() { s.whenUnfrozen(m, do) })
		return
	}
	do()
}

func (s *simulation) submit(n, unit, instance int, idempotent bool, timeout time.Duration) {
	r := s.revisions[s.knownRevision[instance]]
	owner := r.units[unit].Owner
	k := r.dispatcher[int(owner[1]-'0')]
	req := dispatch.Request{
		ID: fleet.RequestID(fmt.Sprintf("r%d", n)), Account: fleet.AccountID(fmt.Sprintf("a%d", n%3)), Unit: unitOf(unit),
		Key: "k", Upstream: owner, Idempotent: idempotent, Deadline: s.now.Add(timeout),
	}
	s.requests[req.ID] = &requestRecord{req: req, table: k, openAttempts: make(map[int]bool)}
	s.execute(k, s.tables[k].Submit(s.now, req))
}

func (s *simulation) execute(k int, actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.SendRequest:
			s.send(k, a)
		case dispatch.CancelRequest:
			s.schedule(s.delay(), func() { s.done(k, a.ID, a.Attempt, dispatch.Result{Kind: dispatch.Lost}) })
		case dispatch.Refuse:
			s.recordEnd(a.ID, a.Refusal.Reason.Outcome() == fleet.NotRun, false)
		case dispatch.Answer:
			s.recordEnd(a.ID, false, true)
		case dispatch.SendControl:
			s.control(k, a)
		case dispatch.AskReleased:
			s.queryReleased(k, a)
		default:
		}
	}
}

func (s *simulation) send(k int, a dispatch.SendRequest) {
	r, up := s.requests[a.ID], int(a.Upstream[1]-'0')
	pair := [2]int{k, up}
	s.openAttempts[pair]++
	limit := int(s.tables[k].Reports(s.now)[a.Upstream].Limit)
	switch {
	case s.openAttempts[pair] > limit:
		s.fatalf("%s: %d open attempts at %s, limit %d", a.ID, s.openAttempts[pair], a.Upstream, limit)
	case !s.now.Before(s.authorityUntil[k]) || a.StartBy.After(s.authorityUntil[k]) || a.StartBy.After(a.Deadline) || !s.now.Before(a.StartBy):
		s.fatalf("%s: sent at %v with start-by time %v, authority until %v", a.ID, s.now, a.StartBy, s.authorityUntil[k])
	case !r.req.Idempotent && (r.mayRun || len(r.openAttempts) > 0):
		s.fatalf("%s: non-idempotent request sent again", a.ID)
	case s.assignedFence(k, a) != a.Fence:
		s.fatalf("%s: sent with fence %d, assigned %d", a.ID, a.Fence, s.assignedFence(k, a))
	}
	if s.fenced {
		s.checkConfirmed(pair, a)
	}
	r.openAttempts[a.Attempt] = true
	boot := s.upstreams[up].boot
	s.schedule(a.Deadline.Sub(s.now), func() { s.done(k, a.ID, a.Attempt, dispatch.Result{Kind: dispatch.TimedOut}) })
	if s.losesMessage() {
		return // no response until the deadline
	}
	if s.rng.IntN(50) == 0 {
		s.schedule(0, func() { s.done(k, a.ID, a.Attempt, dispatch.Result{Kind: dispatch.NotSent}) })
		return
	}
	s.schedule(s.delay(), func() { s.whenUnfrozen(s.upstreams[up], func() { s.receive(k, up, boot, a) }) })
}

func (s *simulation) receive(k, up, boot int, a dispatch.SendRequest) {
	m := s.upstreams[up]
	reply := func(kind dispatch.ResultKind) {
		if !s.losesMessage() {
			s.schedule(s.delay(), func() {
				s.done(k, a.ID, a.Attempt, dispatch.Result{Kind: kind, Status: 200, Boot: fleet.BootID(fmt.Sprint(boot))})
			})
		}
	}
	switch {
	case boot != m.boot:
		s.done(k, a.ID, a.Attempt, dispatch.Result{Kind: dispatch.Lost})
		return
	case !s.now.Before(a.StartBy):
		reply(dispatch.Skipped)
		return
	case !m.control.MayRun(m.stamp(s.now), a.Unit, a.Fence):
		reply(dispatch.Stale)
		return
	}
	x := &execution{unit: a.Unit, deadline: a.Deadline}
	m.running[x] = true
	s.schedule(time.Duration(s.rng.IntN(40))*time.Millisecond, func() {
		s.whenUnfrozen(m, func() {
			delete(m.running, x)
			switch {
			case boot != m.boot:
				s.done(k, a.ID, a.Attempt, dispatch.Result{Kind: dispatch.Lost})
			case !s.now.Before(a.Deadline):
				reply(dispatch.Skipped)
			case !m.control.MayRun(m.stamp(s.now), a.Unit, a.Fence):
				reply(dispatch.Stale)
			default:
				s.recordEffect(a)
				reply(dispatch.Answered)
			}
		})
	})
}

func (s *simulation) done(k int, id fleet.RequestID, attempt int, res dispatch.Result) {
	r := s.requests[id]
	if !r.openAttempts[attempt] {
		return
	}
	delete(r.openAttempts, attempt)
	s.openAttempts[[2]int{k, int(r.req.Upstream[1] - '0')}]--
	r.mayRun = r.mayRun || res.Kind.MayHaveRun()
	s.execute(k, s.tables[k].Done(s.now, id, attempt, res))
}

func (s *simulation) control(k int, a dispatch.SendControl) {
	m, ended := s.upstreams[int(a.Upstream[1]-'0')], false
	boot, sent, pair := m.boot, s.now, [2]int{k, int(a.Upstream[1] - '0')}
	s.recordCall(pair, a)
	finish := func(res dispatch.ControlResult) {
		if !ended {
			ended = true
			res.Upstream, res.Seq = a.Upstream, a.Seq
			s.execute(k, s.tables[k].ControlDone(s.now, res))
		}
	}
	s.schedule(a.Timeout, func() { finish(dispatch.ControlResult{}) })
	if s.losesMessage() {
		return
	}
	s.schedule(s.delay(), func() {
		s.whenUnfrozen(m, func() {
			// A connection ends with its process. One that is still being opened may
			// reach the next process until the call times out.
			if boot != m.boot && s.now.Sub(sent) > a.Timeout {
				return
			}
			now := m.stamp(s.now)
			ok := m.control.Apply(now, a.Call)
			reply := dispatch.Reply{Boot: fleet.BootID(fmt.Sprint(m.boot)), Stamp: now, Fence: m.control.Dispatcher()}
			if !s.losesMessage() {
				answered := m.boot
				s.schedule(s.delay(), func() {
					if !ended {
						s.recordReply(pair, a, answered, ok)
					}
					finish(dispatch.ControlResult{Reply: reply, OK: ok, Refused: !ok})
				})
			}
		})
	})
}

func (s *simulation) queryReleased(k int, a dispatch.AskReleased) {
	to := s.revisions[s.knownRevision[k]].dispatcher[int(a.Previous[1]-'0')]
	s.schedule(s.delay(), func() {
		var released []fleet.Grant
		for i, ok := range s.tables[to].Released(s.now, a.Previous, a.Grants) {
			if ok {
				released = append(released, a.Grants[i])
			}
		}
		s.schedule(s.delay(), func() {
			s.execute(k, s.tables[k].PreviousReleased(s.now, a.Upstream, released, a.Previous))
		})
	})
}

// apply executes one generated operation: its kind and three arguments.
func (s *simulation) apply(n int, op [4]int) {
	up, unit := op[1]%simUpstreams, op[2]%simUnits
	length := time.Duration(op[3]) * time.Millisecond
	switch op[0] {
	case 0:
		s.moveUnit(unit, up)
	case 1:
		s.changeDispatcher(up, op[2]%2)
	case 2:
		s.upstreams[up].frozenUntil = s.now.Add(length)
	case 3:
		s.restartUpstream(up)
	case 4:
		s.isolatedUntil[op[1]%2] = s.now.Add(length)
	case 5:
		s.lossyUntil = s.now.Add(length)
	case 6:
		s.run(length / 2)
	case 7:
		id := fleet.RequestID(fmt.Sprintf("r%d", n-1-op[2]))
		if r := s.requests[id]; r != nil {
			s.execute(r.table, s.tables[r.table].Cancel(s.now, id))
		}
	default: // most operations
		s.submit(n, unit, op[1]%2, op[2]%2 == 0, 1+time.Duration(s.rng.Int64N(int64(simTimeout))))
		s.run(time.Duration(op[3]%20) * time.Millisecond)
	}
}

// weightedOps lists the kinds of operations of apply by weight; 8 submits a request.
var weightedOps = []int{8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8, 0, 0, 1, 2, 3, 4, 5, 6, 7}

func checkSimulation(t *testing.T, fenced bool) {
	answered, answeredAfterFaults := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "network"), fenced)
		op := rapid.Custom(func(t *rapid.T) [4]int {
			return [4]int{
				rapid.SampledFrom(weightedOps).Draw(t, "op"), rapid.IntRange(0, 5).Draw(t, "a"),
				rapid.IntRange(0, 7).Draw(t, "b"), rapid.IntRange(0, 1500).Draw(t, "ms"),
			}
		})
		s.run(200 * time.Millisecond)
		for n, op := range rapid.SliceOfN(op, 20, 120).Draw(t, "ops") {
			s.apply(n, op)
		}
		s.lossyUntil, s.isolatedUntil = time.Time{}, [2]time.Time{}
		s.run(6 * time.Second)
		for i := range simUnits {
			s.submit(1000+i, i, 0, true, simTimeout)
		}
		s.run(3 * time.Second)
		for id, r := range s.requests {
			if r.endCount != 1 || len(r.openAttempts) > 0 {
				s.fatalf("%s ended %d times, %d open attempts", id, r.endCount, len(r.openAttempts))
			}
			if r.notRun && r.effectCount > 0 {
				s.fatalf("%s was refused as not run but had an effect", id)
			}
			if r.answered {
				answered++
			}
		}
		for i := range simUnits {
			if s.requests[fleet.RequestID(fmt.Sprintf("r%d", 1000+i))].answered {
				answeredAfterFaults++
			}
		}
	})
	t.Logf("%d requests answered, %d of them sent after the end of the faults", answered, answeredAfterFaults)
	// The network still delays 1 in 40 messages, possibly past the timeouts.
	if want := 70 * simUnits; !t.Failed() && answeredAfterFaults < want && !testing.Short() {
		t.Errorf("units with an answered request after the end of the faults: %d, want at least %d of %d", answeredAfterFaults, want, 100*simUnits)
	}
}

// TestSimulationFenced guards against units with two owners, requests sent without
// grant, lease or authority, exceeded concurrency limits, repeated effects of
// non-idempotent requests, and refusals with the outcome not-run of requests that
// ran, at upstreams that check fences.
func TestSimulationFenced(t *testing.T) { checkSimulation(t, true) }

// TestSimulationUnfenced guards against the failures named at TestSimulationFenced at
// upstreams that do not check fences.
func TestSimulationUnfenced(t *testing.T) { checkSimulation(t, false) }
