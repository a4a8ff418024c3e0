package dispatch_test

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/dispatch"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// confirmation is the state that an upstream has confirmed to a dispatcher.
type confirmation struct {
	boot         int
	keepaliveSeq uint64 // sequence number of the last hello or renewal
	grants       map[fleet.Unit]fleet.Fence
}

// checkOwners fails the test if a unit has two owners or, at unfenced upstreams, if
// requests for it run at two upstreams.
func (s *simulation) checkOwners() {
	for i := range simUnits {
		owners, running := 0, 0
		for _, m := range s.upstreams {
			if _, ok := m.control.Held(m.stamp(s.now), unitOf(i)); ok {
				owners++
			}
			for x := range m.running {
				if x.unit == unitOf(i) && s.now.Before(x.deadline) {
					running++
					break
				}
			}
		}
		if owners > 1 || (!s.fenced && running > 1) {
			s.fatalf("unit %d: %d owners, requests running at %d upstreams", i, owners, running)
		}
	}
}

// checkConfirmed fails the test if a request is sent under a grant that the upstream
// has not confirmed or may start after the end of the lease.
func (s *simulation) checkConfirmed(pair [2]int, a dispatch.SendRequest) {
	m, c := s.upstreams[pair[1]], s.confirmed[pair]
	if c == nil || c.grants[a.Unit] != a.Fence {
		s.fatalf("%s: sent to %s with fence %d, which it has not confirmed", a.ID, a.Upstream, a.Fence)
	}
	// After a restart that the dispatcher has not noticed yet, there is no lease.
	if end := m.started.Add(time.Duration(m.control.LeaseEnd())); c.boot == m.boot && a.StartBy.After(end) {
		s.fatalf("%s: start-by time %v is after the end of the lease, %v", a.ID, a.StartBy, end)
	}
}

// recordCall removes the confirmations that a control call invalidates. A hello starts
// a session without grants.
func (s *simulation) recordCall(pair [2]int, a dispatch.SendControl) {
	c := s.confirmed[pair]
	if a.Call.Kind == dispatch.Hello || c == nil {
		c = &confirmation{grants: make(map[fleet.Unit]fleet.Fence)}
		s.confirmed[pair] = c
	}
	if a.Call.Kind == dispatch.Hello || a.Call.Kind == dispatch.Renew {
		c.keepaliveSeq = a.Seq
	}
	for _, g := range a.Call.Grants {
		delete(c.grants, g.Unit)
	}
}

// recordReply records what the response to a control call confirms.
func (s *simulation) recordReply(pair [2]int, a dispatch.SendControl, boot int, ok bool) {
	c := s.confirmed[pair]
	if a.Seq == c.keepaliveSeq {
		c.boot = boot
	}
	if a.Call.Kind == dispatch.GrantUnits && ok {
		for _, g := range a.Call.Grants {
			c.grants[g.Unit] = g.Fence
		}
	}
}

// assignedFence returns the fence of the unit in the revision that the dispatcher
// knows, or 0 if the request is for another upstream than the owner.
func (s *simulation) assignedFence(k int, a dispatch.SendRequest) fleet.Fence {
	if o := s.revisions[s.knownRevision[k]].units[a.Unit.Shard]; o.Owner == a.Upstream {
		return o.Fence
	}
	return 0
}

func (s *simulation) recordEnd(id fleet.RequestID, notRun, answer bool) {
	r := s.requests[id]
	r.endCount++
	r.notRun, r.answered = notRun, answer
	if r.endCount > 1 {
		s.fatalf("%s ended %d times", id, r.endCount)
	}
}

// recordEffect fails the test if a non-idempotent request has a second effect, or if
// the effect is under an older fence than the last one on the unit.
func (s *simulation) recordEffect(a dispatch.SendRequest) {
	r := s.requests[a.ID]
	r.effectCount++
	if r.effectCount > 1 && !r.req.Idempotent {
		s.fatalf("non-idempotent request %s had %d effects", a.ID, r.effectCount)
	}
	// An unfenced upstream may still complete requests of its previous dispatcher.
	last := s.lastEffect[a.Unit]
	if a.Fence < last.Fence && (s.fenced || a.Upstream != last.Upstream) {
		s.fatalf("%s: effect at %s under fence %d after one at %s under %d", a.ID, a.Upstream, a.Fence, last.Upstream, last.Fence)
	}
	s.lastEffect[a.Unit] = a
}
