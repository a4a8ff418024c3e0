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

// attemptID returns a distinct id for each submission of a request, so that an
// answer to an earlier submission is never taken for the answer to a later one.
func attemptID(id fleet.RequestID, attempt int) fleet.RequestID {
	if attempt == 0 {
		return id
	}
	return id + "." + fleet.RequestID(strconv.Itoa(attempt))
}

// pendingJob is a job that was submitted to the dispatch table and has not ended.
type pendingJob struct {
	job     *job
	done    chan jobResult
	answers map[int]*http1.Response // by attempt number, until the table chooses one
}

// attemptKey identifies an attempt that an upstream may be processing.
type attemptKey struct {
	id      fleet.RequestID
	attempt int
}

type jobResult struct {
	res     *http1.Response
	refusal *fleet.Refusal
}

// termKey identifies the term of a dispatcher for an upstream.
type termKey struct {
	upstream fleet.UpstreamID
	fence    fleet.Fence
}

// duties returns the upstreams that this instance dispatches for. The caller
// holds mu.
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
	terms := make(map[termKey]term)
	var out []dispatch.Duty
	if m, ok := s.member(n.self.ID); !ok || m.Boot != n.self.Boot {
		// The assignment names an earlier process of this instance, whose grants this
		// process does not know. The planner assigns new fences to a restarted
		// dispatcher.
		n.terms = terms
		return nil
	}
	for _, u := range s.assignment.Upstreams {
		if u.Dispatcher != n.self.ID {
			continue
		}
		key := termKey{u.ID, u.Fence}
		t, ok := n.terms[key]
		if !ok {
			t = term{revision: s.known.Assignment}
		}
		if t.inForceAt.IsZero() && n.authority.InForce(now, authority.Revisions{Assignment: t.revision}) {
			t.inForceAt = now
		}
		terms[key] = t
		service, _ := s.service(u.Service)
		out = append(out, dispatch.Duty{
			Upstream: u.ID, Service: u.Service, Address: u.Address, Fence: u.Fence,
			Slots: service.Slots, ColdSlots: service.ColdSlots, Fenced: service.Fencing == catalogue.FencingChecked,
			Leaving: u.State == assignment.Leaving || upstreamOutOfService(s, u), InForceSince: t.inForceAt, Shards: s.assignment.ShardCount(u.Service), WarmTime: service.WarmTime, LastLimit: n.knownLimits[u.ID], Timeout: service.Timeout, Units: units[u.ID],
		})
	}
	n.terms = terms
	return out
}

// term is the period during which this instance is the dispatcher of an upstream
// under one fence.
type term struct {
	revision  fleet.Revision // of the assignment that made this instance the dispatcher
	inForceAt time.Time      // when that assignment was found to be in force; zero if not yet
}

func upstreamOutOfService(s *snapshot, u assignment.Upstream) bool {
	if _, out := s.catalogue.Out(catalogue.OutageUpstream, string(u.ID)); out {
		return true
	}
	_, out := s.catalogue.Out(catalogue.OutageZone, string(u.Zone))
	return out
}

// service looks up a service of the catalogue.
func (s *snapshot) service(id fleet.ServiceID) (catalogue.Service, bool) {
	for _, v := range s.catalogue.Services {
		if v.ID == id {
			return v, true
		}
	}
	return catalogue.Service{}, false
}

// dispatchJob submits the job to the dispatch table and waits for its result.
func (n *Instance) dispatchJob(ctx context.Context, j *job) (*http1.Response, *fleet.Refusal) {
	s := n.snapshot()
	own, ok := s.assignment.Owner(j.service.ID, j.key, j.service.Shards)
	up, known := s.upstream(own.Owner)
	if !ok || !known || up.Dispatcher != n.self.ID {
		return nil, noOwnerRefusal("this instance is not the dispatcher of the key's owner")
	}
	p := &pendingJob{
		job: j, done: make(chan jobResult, 1),
		answers: make(map[int]*http1.Response),
	}
	now := time.Now()
	n.mu.Lock()
	n.pendingJobs[j.id] = p
	n.execute(n.dispatch.Submit(now, dispatch.Request{
		ID: j.id, Account: j.account, Unit: own.Unit, Key: j.key, Upstream: own.Owner,
		Idempotent: j.class == catalogue.Idempotent, Deadline: j.deadline,
	}))
	n.mu.Unlock()
	select {
	case out := <-p.done:
		return out.res, out.refusal
	case <-ctx.Done():
		n.mu.Lock()
		n.execute(n.dispatch.Cancel(time.Now(), j.id))
		n.mu.Unlock()
		out := <-p.done // Cancel ends the request, unless it had already ended
		return out.res, out.refusal
	}
}

// execute carries out the actions of the dispatch table. Actions that may block
// run in their own goroutines. The caller holds mu.
func (n *Instance) execute(actions []dispatch.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.SendRequest:
			n.startRequest(a)
		case dispatch.CancelRequest:
			n.cancelRequest(a)
		case dispatch.Answer:
			n.finishJob(a.ID, func(p *pendingJob) jobResult { return jobResult{res: p.answers[a.Attempt]} })
		case dispatch.Refuse:
			n.finishJob(a.ID, func(*pendingJob) jobResult { r := a.Refusal; return jobResult{refusal: &r} })
		case dispatch.SendControl:
			go n.sendControl(a)
		case dispatch.AskReleased:
			go n.askReleased(a)
		case dispatch.CloseConnections:
			go n.upstreams.CloseIdle(a.Address)
		case dispatch.Event:
			n.recordDispatchEvent(a)
		}
	}
}

func (n *Instance) finishJob(id fleet.RequestID, end func(*pendingJob) jobResult) {
	p, ok := n.pendingJobs[id]
	if !ok {
		return
	}
	delete(n.pendingJobs, id)
	p.done <- end(p)
}

func (n *Instance) startRequest(a dispatch.SendRequest) {
	p, ok := n.pendingJobs[a.ID]
	if !ok {
		go n.attemptDone(a, nil, upstream.Result(nil, &upstream.Error{Kind: dispatch.Skipped}))
		return
	}
	ctx, cancel := context.WithDeadline(n.ctx, a.Deadline)
	key := attemptKey{a.ID, a.Attempt}
	n.attemptCancels[key] = cancel
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
	delete(n.attemptCancels, attemptKey{a.ID, a.Attempt})
	if p, ok := n.pendingJobs[a.ID]; ok && res != nil {
		p.answers[a.Attempt] = res
	}
	n.execute(n.dispatch.Done(time.Now(), a.ID, a.Attempt, result))
}

func (n *Instance) cancelRequest(a dispatch.CancelRequest) {
	if cancel, ok := n.attemptCancels[attemptKey{a.ID, a.Attempt}]; ok {
		cancel()
	}
}

// sendControl sends a control call to an upstream and reports the result to the
// dispatch table.
func (n *Instance) sendControl(a dispatch.SendControl) {
	ctx, cancel := context.WithTimeout(n.ctx, a.Timeout)
	defer cancel()
	n.metrics.ControlMessage(a.Call.Kind.String())
	reply, err := n.upstreams.Control(ctx, a.Address, a.Call)
	if err != nil {
		n.log.Debug("control call failed", "upstream", a.Upstream, "error", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.execute(n.dispatch.ControlDone(time.Now(), upstream.ControlResult(a, reply, err)))
}

// askReleased asks the dispatcher of a previous owner whether that owner has
// released the units.
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
				n.log.Debug("release query failed", "upstream", a.Previous, "error", err)
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
	n.execute(n.dispatch.PreviousReleased(time.Now(), a.Upstream, done, a.Previous))
}

// Released tells the dispatcher of a new owner which grants of a previous owner
// are released. Only the dispatcher named by the newest assignment may confirm a
// release.
func (n *Instance) Released(_ context.Context, q peer.ReleasedRequest) peer.ReleasedAnswer {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.snapshot()
	up, ok := s.upstream(q.Upstream)
	if !ok || up.Dispatcher != n.self.ID || s.known.Assignment < q.Assignment || !n.hasAuthority(now) {
		return peer.ReleasedAnswer{Released: make([]bool, len(q.Grants))}
	}
	return peer.ReleasedAnswer{Released: n.dispatch.Released(now, q.Upstream, q.Grants)}
}

// runTick advances the dispatch table and the homes of limits periodically.
func (n *Instance) runTick(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		n.mu.Lock()
		now := time.Now() // with the lock, so that it is not older than the snapshot
		n.checkHomes(now)
		n.sendTokenCalls(now, n.holder.Tick(now))
		if n.hasPendingTerm() {
			n.execute(n.dispatch.Assign(now, n.duties(now, n.snapshot())))
		}
		n.execute(n.dispatch.Tick(now, n.authorityEnd(now)))
		n.requestPlannerPoll(now)
		n.updateGauges(now)
		n.mu.Unlock()
	}
}

// hasPendingTerm reports whether a term of this dispatcher is not yet in force.
// The caller holds mu.
func (n *Instance) hasPendingTerm() bool {
	for _, t := range n.terms {
		if t.inForceAt.IsZero() {
			return true
		}
	}
	return false
}
