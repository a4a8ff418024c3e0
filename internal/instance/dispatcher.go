package instance

import (
	"context"
	"strconv"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/internal/authority"
	"github.com/parsleyproxy/parsleyproxy/internal/dispatch"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/peer"
	"github.com/parsleyproxy/parsleyproxy/internal/upstream"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const tickInterval = 10 * time.Millisecond

// attemptID makes every submission of a request distinct, so that an answer to
// an earlier one is never taken for this one's.
func attemptID(id fleet.RequestID, attempt int) fleet.RequestID {
	if attempt == 0 {
		return id
	}
	return id + "." + fleet.RequestID(strconv.Itoa(attempt))
}

// pendingJob is a job that the dispatch table holds.
type pendingJob struct {
	job     *job
	done    chan outcome
	answers map[int]*http1.Response // by attempt, until one is chosen
}

// attemptKey identifies an attempt that an upstream may be working on.
type attemptKey struct {
	id      fleet.RequestID
	attempt int
}

type outcome struct {
	res     *http1.Response
	refusal *fleet.Refusal
}

// dutyKey identifies a dispatcher's term at an upstream.
type dutyKey struct {
	upstream fleet.UpstreamID
	fence    fleet.Fence
}

// duties lists the upstreams that this instance dispatches for. The caller holds
// mu.
func (n *Instance) duties(now time.Time, s *snapshot) []dispatch.Duty {
	units := make(map[fleet.UpstreamID][]assignment.Ownership)
	for _, o := range s.assignment.Units {
		units[o.Owner] = append(units[o.Owner], o)
		for _, p := range o.Previous {
			if p != o.Owner {
				units[p] = append(units[p], o)
			}
		}
	}
	terms := make(map[dutyKey]term)
	var out []dispatch.Duty
	if m, ok := s.member(n.self.ID); !ok || m.Boot != n.self.Boot {
		// The assignment names an earlier run of this instance, whose grants this one
		// does not know. The planner gives a restarted dispatcher new fences.
		n.terms = terms
		return nil
	}
	for _, u := range s.assignment.Upstreams {
		if u.Dispatcher != n.self.ID {
			continue
		}
		key := dutyKey{u.ID, u.Fence}
		t, ok := n.terms[key]
		if !ok {
			t = term{revision: s.known.Assignment}
		}
		if t.taken.IsZero() && n.auth.InForce(now, authority.Known{Assignment: t.revision}) {
			t.taken = now
		}
		terms[key] = t
		service, _ := s.service(u.Service)
		out = append(out, dispatch.Duty{
			Upstream: u.ID, Service: u.Service, Address: u.Address, Fence: u.Fence,
			Slots: service.Slots, ColdSlots: service.ColdSlots, Fenced: service.Fencing == catalogue.FencingChecked,
			Leaving: u.State == assignment.Leaving || upstreamOut(s, u), Taken: t.taken, Shards: s.assignment.Shards(u.Service), WarmTime: service.WarmTime, Last: n.warmth[u.ID], Timeout: service.Timeout, Units: units[u.ID],
		})
	}
	n.terms = terms
	return out
}

// term remembers when this instance became the dispatcher of an upstream.
type term struct {
	revision fleet.Revision // of the assignment that named it
	taken    time.Time      // when that assignment was in force; zero: not yet
}

func upstreamOut(s *snapshot, u assignment.Upstream) bool {
	if _, out := s.catalogue.Out(catalogue.OutageUpstream, string(u.ID)); out {
		return true
	}
	_, out := s.catalogue.Out(catalogue.OutageZone, string(u.Zone))
	return out
}

// service returns a service of the catalogue.
func (s *snapshot) service(id fleet.ServiceID) (catalogue.Service, bool) {
	for _, v := range s.catalogue.Services {
		if v.ID == id {
			return v, true
		}
	}
	return catalogue.Service{}, false
}

// dispatchJob hands the job to the dispatch table and waits for its end.
func (n *Instance) dispatchJob(ctx context.Context, j *job) (*http1.Response, *fleet.Refusal) {
	s := n.snapshot()
	own, ok := s.assignment.Owner(j.service.ID, j.key, j.service.Shards)
	up, known := s.upstream(own.Owner)
	if !ok || !known || up.Dispatcher != n.self.ID {
		return nil, noOwner("this instance is not the dispatcher of the key's owner")
	}
	p := &pendingJob{
		job: j, done: make(chan outcome, 1),
		answers: make(map[int]*http1.Response),
	}
	now := time.Now()
	n.mu.Lock()
	n.pending[j.id] = p
	n.do(n.dispatch.Submit(now, dispatch.Request{
		ID: j.id, Account: j.account, Unit: own.Unit, Key: j.key, Upstream: own.Owner,
		Idempotent: j.class == catalogue.Idempotent, Deadline: j.deadline,
	}))
	n.mu.Unlock()
	select {
	case out := <-p.done:
		return out.res, out.refusal
	case <-ctx.Done():
		n.mu.Lock()
		n.do(n.dispatch.Cancel(time.Now(), j.id))
		n.mu.Unlock()
		out := <-p.done // Cancel ends the request, unless it had ended before
		return out.res, out.refusal
	}
}

// do executes the actions of the dispatch table. The caller holds mu; whatever
// may block runs in a goroutine of its own.
func (n *Instance) do(actions []dispatch.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.SendRequest:
			n.startRequest(a)
		case dispatch.CancelRequest:
			n.cancelRequest(a)
		case dispatch.Answer:
			n.finish(a.ID, func(p *pendingJob) outcome { return outcome{res: p.answers[a.Attempt]} })
		case dispatch.Refuse:
			n.finish(a.ID, func(*pendingJob) outcome { r := a.Refusal; return outcome{refusal: &r} })
		case dispatch.SendControl:
			go n.control(a)
		case dispatch.AskReleased:
			go n.askReleased(a)
		case dispatch.CloseConnections:
			go n.upstreams.CloseIdle(a.Address)
		case dispatch.Event:
			n.dispatchEvent(a)
		}
	}
}

func (n *Instance) finish(id fleet.RequestID, end func(*pendingJob) outcome) {
	p, ok := n.pending[id]
	if !ok {
		return
	}
	delete(n.pending, id)
	p.done <- end(p)
}

func (n *Instance) startRequest(a dispatch.SendRequest) {
	p, ok := n.pending[a.ID]
	if !ok {
		go n.attemptDone(a, nil, upstream.Result(nil, &upstream.Error{Kind: dispatch.Skipped}))
		return
	}
	ctx, cancel := context.WithDeadline(n.ctx, a.Deadline)
	key := attemptKey{a.ID, a.Attempt}
	n.attempts[key] = cancel
	go func() {
		defer cancel()
		j := p.job
		res, err := n.upstreams.Do(ctx, a.Address, upstream.Request{
			Send: a, Account: j.account, Method: j.method, Target: j.target, Host: j.host, Header: j.header, Body: j.body,
		})
		n.attemptDone(a, res, upstream.Result(res, err))
	}()
}

func (n *Instance) attemptDone(a dispatch.SendRequest, res *http1.Response, result dispatch.Result) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.attempts, attemptKey{a.ID, a.Attempt})
	if p, ok := n.pending[a.ID]; ok && res != nil {
		p.answers[a.Attempt] = res
	}
	n.do(n.dispatch.Done(time.Now(), a.ID, a.Attempt, result))
}

func (n *Instance) cancelRequest(a dispatch.CancelRequest) {
	if cancel, ok := n.attempts[attemptKey{a.ID, a.Attempt}]; ok {
		cancel()
	}
}

// control makes a control call to an upstream.
func (n *Instance) control(a dispatch.SendControl) {
	ctx, cancel := context.WithTimeout(n.ctx, a.Timeout)
	defer cancel()
	n.metrics.ControlMessage(a.Call.Kind.String())
	reply, err := n.upstreams.Control(ctx, a.Address, a.Call)
	if err != nil {
		n.log.Debug("control call failed", "upstream", a.Upstream, "error", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.do(n.dispatch.ControlDone(time.Now(), upstream.ControlResult(a, reply, err)))
}

// askReleased asks the dispatcher of a previous owner whether it has released
// the units.
func (n *Instance) askReleased(a dispatch.AskReleased) {
	s := n.snapshot()
	prev, ok := s.upstream(a.Previous)
	if !ok {
		return
	}
	released := n.Released
	if prev.Dispatcher != n.self.ID {
		m, ok := s.member(prev.Dispatcher)
		if !ok {
			return
		}
		released = func(ctx context.Context, q peer.ReleasedRequest) peer.ReleasedAnswer {
			n.metrics.ControlMessage("released")
			answer, err := n.peers.Released(ctx, m.Address, q)
			if err != nil {
				n.log.Debug("release not learned", "upstream", a.Previous, "error", err)
			}
			return answer
		}
	}
	answer := released(n.ctx, peer.ReleasedRequest{Upstream: a.Previous, Assignment: s.known.Assignment, Grants: a.Grants})
	var done []fleet.Grant
	for i, ok := range answer.Released {
		if ok {
			done = append(done, a.Grants[i])
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.do(n.dispatch.PreviousReleased(time.Now(), a.Upstream, done, a.Previous))
}

// Released answers the dispatcher of a new owner. Only the dispatcher that the
// newest assignment names may answer.
func (n *Instance) Released(_ context.Context, q peer.ReleasedRequest) peer.ReleasedAnswer {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.snapshot()
	up, ok := s.upstream(q.Upstream)
	if !ok || up.Dispatcher != n.self.ID || s.known.Assignment < q.Assignment || !n.holds(now) {
		return peer.ReleasedAnswer{Released: make([]bool, len(q.Grants))}
	}
	return peer.ReleasedAnswer{Released: n.dispatch.Released(now, q.Upstream, q.Grants)}
}

// runTick drives the dispatch table and the homes.
func (n *Instance) runTick(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		now := time.Now()
		n.mu.Lock()
		n.settleHomes(now)
		n.callHomes(now, n.holder.Tick(now))
		if n.awaitsTerm() {
			n.do(n.dispatch.Assign(now, n.duties(now, n.snapshot())))
		}
		n.do(n.dispatch.Tick(now, n.authorityEnd(now)))
		n.tellPlanner(now)
		n.observe(now)
		n.mu.Unlock()
	}
}

// awaitsTerm reports whether a term of this dispatcher is not in force yet.
func (n *Instance) awaitsTerm() bool {
	for _, t := range n.terms {
		if t.taken.IsZero() {
			return true
		}
	}
	return false
}
