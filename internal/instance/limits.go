package instance

import (
	"context"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/authority"
	"github.com/parsleyproxy/parsleyproxy/internal/limit"
	"github.com/parsleyproxy/parsleyproxy/internal/peer"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// acquireTokens takes one token of every limit, waiting until the deadline for
// calls to the homes of the limits. It returns nil if the request is admitted.
func (n *Instance) acquireTokens(ctx context.Context, limits []limit.RequestLimit, deadline time.Time) *fleet.Refusal {
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
			n.sendTokenCalls(now, d.Calls)
			first, second := n.tokenCallsDone(d.Waits)
			n.mu.Unlock()
			awaitTokenCall(ctx, deadline, first, second)
		}
	}
}

// tokenCallsDone returns channels that are closed when the calls for tokens of
// the limits return. A request has at most two limits. The caller holds mu.
func (n *Instance) tokenCallsDone(ids []fleet.LimitID) (first, second <-chan struct{}) {
	for i, id := range ids {
		ch := n.tokenCalls[id]
		if ch == nil {
			ch = make(chan struct{})
			n.tokenCalls[id] = ch
		}
		if i == 0 {
			first = ch
		} else {
			second = ch
		}
	}
	return first, second
}

func awaitTokenCall(ctx context.Context, deadline time.Time, first, second <-chan struct{}) {
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case <-first:
	case <-second:
	case <-t.C:
	case <-ctx.Done():
	}
}

// sendTokenCalls sends the calls that the holder asks for. The caller holds mu.
func (n *Instance) sendTokenCalls(sent time.Time, calls []limit.Call) {
	for _, c := range calls {
		go n.sendTokenCall(sent, c)
	}
}

// sendTokenCall sends one call to the home of its limit and reports the result to
// the holder.
func (n *Instance) sendTokenCall(sent time.Time, c limit.Call) {
	lease, err := n.callHome(n.ctx, c)
	if err != nil {
		n.log.Debug("call for tokens failed", "limit", c.ID, "error", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.holder.CallFailed(sent, c.ID)
	} else {
		n.holder.AddLease(sent, c.ID, lease)
	}
	if ch := n.tokenCalls[c.ID]; ch != nil {
		close(ch)
		delete(n.tokenCalls, c.ID)
	}
}

// callHome sends the call to the home of the limit according to the snapshot. A
// lease without TTL means that the called instance is not the home now.
func (n *Instance) callHome(ctx context.Context, c limit.Call) (limit.Lease, error) {
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

// Tokens grants tokens of a limit if this instance is its active home.
func (n *Instance) Tokens(_ context.Context, q peer.TokensRequest) peer.TokensAnswer {
	n.mu.Lock()
	defer n.mu.Unlock()
	// A reading from before the lock could be older than the limit in the snapshot, and
	// a bucket that is activated with it would be refilled at that limit's rate too early.
	now := time.Now()
	id := q.Call.ID
	if _, ok := n.snapshot().index.Limit(id); !ok || !n.hasAuthority(now) {
		return peer.TokensAnswer{}
	}
	if n.checkHome(now, id) != homeActive {
		return peer.TokensAnswer{}
	}
	return peer.TokensAnswer{Lease: n.home.HandleCall(now, q.Holder, q.Call)}
}

// applyLimitChanges applies the limits of a new snapshot to all buckets. It reads the
// clock itself, because the catalogue may have been received long after the reading that
// comes with its records. The caller holds mu.
func (n *Instance) applyLimitChanges(s *snapshot) {
	n.homes.needsCheck = true // the catalogue may contain new limits
	now := time.Now()
	// Without authority, another instance may be home by now, and no limit is active.
	n.hasAuthority(now)
	for id := range n.homes.active {
		bound, _ := s.index.Limit(id)
		n.home.SetLimit(now, id, bound)
	}
}

// checkHome returns the state of a limit. If former homes have to release the
// limit first, it starts to ask them. The caller holds mu.
func (n *Instance) checkHome(now time.Time, id fleet.LimitID) homeState {
	state, former := n.homes.state(now, id)
	if len(former) > 0 {
		go n.takeOverHome(id, n.homes.newest().revision, former)
	}
	return state
}

// hasAuthority reports whether this instance has authority. If not, it resets the
// home table. It must be called before any answer that could extend the authority
// is evaluated, so that every loss of authority is noticed. The caller holds mu.
func (n *Instance) hasAuthority(now time.Time) bool {
	if now.Before(n.authorityEnd(now)) {
		return true
	}
	n.homes.loseAuthority()
	return false
}

// authorityEnd returns when the authority ends. Computing it from the authority
// table at every tick took an eighth of the CPU time of an idle instance, so the
// result is cached while at least 3/4 of the authority TTL remain. The end moves
// to an earlier time only if the member list changes, which clears the cache. The
// caller holds mu.
func (n *Instance) authorityEnd(now time.Time) time.Time {
	if n.cachedAuthorityEnd.Sub(now) < n.cfg.AuthorityTTL*3/4 {
		n.cachedAuthorityEnd = n.authority.Until()
	}
	return n.cachedAuthorityEnd
}

// takeOverHome asks the former homes of a limit to release it. If one of them
// cannot answer, the limit becomes active when homeTable.dropEndedEpochs finds
// that the former home can no longer act.
func (n *Instance) takeOverHome(id fleet.LimitID, revision fleet.Revision, former []fleet.InstanceID) {
	if _, busy := n.activeTakeovers.LoadOrStore(id, true); busy {
		return
	}
	defer n.activeTakeovers.Delete(id)
	var level fleet.Tokens
	for _, h := range former {
		addr, ended := n.formerHomeAddress(h)
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
	if n.hasAuthority(now) {
		n.homes.activateReleased(now, id, revision, level)
	}
}

// formerHomeAddress returns the peer address of a former home, and whether its
// process has certainly ended.
func (n *Instance) formerHomeAddress(id fleet.InstanceID) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.homes.epochs {
		for _, m := range e.assignment.Members {
			if m.ID == id {
				return m.Address, n.members.hasEnded(id, m.Boot)
			}
		}
	}
	return "", false
}

// HomeRelease releases limits to their new home, which asks for them.
func (n *Instance) HomeRelease(_ context.Context, q peer.HomeReleaseRequest) peer.HomeReleaseAnswer {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hasAuthority(time.Now())
	levels, done := n.homes.release(n.snapshot().known.Assignment, q.Assignment, q.IDs)
	return peer.HomeReleaseAnswer{Done: done, Levels: levels}
}

// checkHomes drops the home epochs that have ended and activates the limits whose
// home this instance has become. The caller holds mu.
func (n *Instance) checkHomes(now time.Time) {
	if !n.hasAuthority(now) {
		return
	}
	n.homes.dropEndedEpochs(func(rev fleet.Revision) bool {
		return n.authority.InForce(now, authority.Revisions{Assignment: rev})
	})
	if !n.homes.needsCheck || now.Sub(n.homesCheckedAt) < homeCheckInterval {
		return
	}
	n.homesCheckedAt = now
	// Buckets start empty. A home that is active before the first request can
	// refill its bucket, so that this request is not refused.
	n.homes.needsCheck = false
	for _, id := range n.snapshot().index.Limits() {
		if n.checkHome(now, id) == homeWaiting {
			n.homes.needsCheck = true
		}
	}
}

// homeCheckInterval limits how often all limits are examined.
const homeCheckInterval = 100 * time.Millisecond
