package instance

import (
	"context"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/authority"
	"github.com/parsleyproxy/parsleyproxy/internal/limit"
	"github.com/parsleyproxy/parsleyproxy/internal/peer"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// admit takes a token of every limit, or says why not.
func (n *Instance) admit(ctx context.Context, limits []limit.Bounded, deadline time.Time) *fleet.Refusal {
	for {
		now := time.Now()
		if !now.Before(deadline) || ctx.Err() != nil {
			return &fleet.Refusal{Reason: fleet.ReasonDeadline, Detail: "the deadline passed while waiting for the limit"}
		}
		n.mu.Lock()
		switch d := n.holder.Admit(now, limits).(type) {
		case limit.Admitted:
			n.mu.Unlock()
			return nil
		case limit.Refused:
			n.mu.Unlock()
			return &fleet.Refusal{Reason: d.Reason, Detail: "limit " + string(d.Limit), RetryAfter: d.RetryAfter}
		case limit.Need:
			n.callHomes(now, d.Calls)
			first, second := n.tokenWaits(d.Waits)
			n.mu.Unlock()
			awaitTokens(ctx, deadline, first, second)
		}
	}
}

// tokenWaits returns channels that close when a call for one of the limits ends.
// A request has two limits at most. The caller holds mu.
func (n *Instance) tokenWaits(ids []fleet.LimitID) (first, second <-chan struct{}) {
	for i, id := range ids {
		ch := n.waits[id]
		if ch == nil {
			ch = make(chan struct{})
			n.waits[id] = ch
		}
		if i == 0 {
			first = ch
		} else {
			second = ch
		}
	}
	return first, second
}

func awaitTokens(ctx context.Context, deadline time.Time, first, second <-chan struct{}) {
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case <-first:
	case <-second:
	case <-t.C:
	case <-ctx.Done():
	}
}

// callHomes sends the calls of the holder. The caller holds mu.
func (n *Instance) callHomes(sent time.Time, calls []limit.Call) {
	for _, c := range calls {
		go n.callHome(sent, c)
	}
}

// callHome sends one call and reports its end to the holder.
func (n *Instance) callHome(sent time.Time, c limit.Call) {
	lease, err := n.askHome(n.ctx, c)
	if err != nil {
		n.log.Debug("no tokens", "limit", c.ID, "error", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.holder.Fail(sent, c.ID)
	} else {
		n.holder.Add(sent, c.ID, lease)
	}
	if ch := n.waits[c.ID]; ch != nil {
		close(ch)
		delete(n.waits, c.ID)
	}
}

// askHome asks the home that this instance knows of. A lease without TTL says
// that it is not the home now.
func (n *Instance) askHome(ctx context.Context, c limit.Call) (limit.Lease, error) {
	s := n.snapshot()
	home := s.assignment.Home(c.ID)
	q := peer.TokensRequest{Holder: n.self.ID, Call: c}
	if home == n.self.ID {
		return n.Tokens(ctx, q).Lease, nil
	}
	m, ok := s.member(home)
	if !ok {
		return limit.Lease{}, nil
	}
	n.metrics.ControlMessage("tokens")
	a, err := n.peers.Tokens(ctx, m.Address, q)
	return a.Lease, err
}

// Tokens grants tokens of a limit whose home this instance is.
func (n *Instance) Tokens(_ context.Context, q peer.TokensRequest) peer.TokensAnswer {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	id := q.Call.ID
	bound, ok := n.snapshot().index.Limit(id)
	if !ok || !n.holds(now) {
		return peer.TokensAnswer{}
	}
	if n.becomeHome(now, id) != homeActive {
		return peer.TokensAnswer{}
	}
	return peer.TokensAnswer{Lease: n.home.Take(now, bound, q.Holder, q.Call)}
}

// applyLimits makes a call to every bucket, so that a changed limit applies from
// now on and not from the next call for tokens. The caller holds mu.
func (n *Instance) applyLimits(now time.Time, s *snapshot) {
	n.homes.unsettled = true // there may be new limits
	for id := range n.homes.active {
		bound, _ := s.index.Limit(id)
		n.home.Take(now, bound, n.self.ID, limit.Call{ID: id})
	}
}

// becomeHome returns the state of a limit and starts what moves it on. The caller
// holds mu.
func (n *Instance) becomeHome(now time.Time, id fleet.LimitID) homeState {
	state, former := n.homes.state(now, id)
	if len(former) > 0 {
		go n.takeOver(id, n.homes.newest().revision, former)
	}
	return state
}

// holds reports whether this instance has authority, and notes a lapse. It is
// called before any answer that could extend the authority is evaluated, so that
// no lapse goes unnoticed. The caller holds mu.
func (n *Instance) holds(now time.Time) bool {
	if now.Before(n.authorityEnd(now)) {
		return true
	}
	n.homes.lapse()
	return false
}

// authorityEnd returns when the authority ends. Asking the table at every tick took
// an eighth of an idle instance's processor time, so the answer is kept while it
// is far off; it falls only when the member list changes. The caller holds mu.
func (n *Instance) authorityEnd(now time.Time) time.Time {
	if n.until.Sub(now) < n.cfg.AuthorityTTL*3/4 {
		n.until = n.auth.Until()
	}
	return n.until
}

// takeOver asks the former homes of a limit to release it. A former home that
// cannot answer is waited out by homeTable.settle.
func (n *Instance) takeOver(id fleet.LimitID, revision fleet.Revision, former []fleet.InstanceID) {
	if _, busy := n.takeovers.LoadOrStore(id, true); busy {
		return
	}
	defer n.takeovers.Delete(id)
	var level fleet.Tokens
	for _, h := range former {
		addr, ended := n.formerHome(h)
		if ended {
			continue
		}
		n.metrics.ControlMessage("home-release")
		a, err := n.peers.HomeRelease(n.ctx, addr, peer.HomeReleaseRequest{Assignment: revision, IDs: []fleet.LimitID{id}})
		if err != nil || !a.Done {
			return
		}
		level = max(level, a.Levels[0])
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if n.holds(now) {
		n.homes.released(now, id, revision, level)
	}
}

// formerHome returns the address of a former home, or that its process has
// certainly ended.
func (n *Instance) formerHome(id fleet.InstanceID) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.homes.epochs {
		for _, m := range e.assignment.Members {
			if m.ID == id {
				return m.Address, n.members.ended(id, m.Boot)
			}
		}
	}
	return "", false
}

// HomeRelease answers the new home of limits.
func (n *Instance) HomeRelease(_ context.Context, q peer.HomeReleaseRequest) peer.HomeReleaseAnswer {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.holds(time.Now())
	levels, done := n.homes.release(n.snapshot().known.Assignment, q.Assignment, q.IDs)
	return peer.HomeReleaseAnswer{Done: done, Levels: levels}
}

// settleHomes drops the epochs of homes that nobody acts on any more. The caller
// holds mu.
func (n *Instance) settleHomes(now time.Time) {
	if !n.holds(now) {
		return
	}
	n.homes.settle(func(rev fleet.Revision) bool {
		return n.auth.InForce(now, authority.Known{Assignment: rev})
	})
	if !n.homes.unsettled || now.Sub(n.homesChecked) < homesInterval {
		return
	}
	n.homesChecked = now
	// Buckets start empty. Becoming home before the first request asks spares
	// that request a refusal.
	n.homes.unsettled = false
	for _, id := range n.snapshot().index.Limits() {
		if n.becomeHome(now, id) == homeWaiting {
			n.homes.unsettled = true
		}
	}
}

// homesInterval bounds the cost of looking through all limits.
const homesInterval = 100 * time.Millisecond
