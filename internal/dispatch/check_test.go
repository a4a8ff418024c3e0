package dispatch_test

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/dispatch"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// acked is what an upstream has confirmed to a dispatcher.
type acked struct {
	boot   int
	beat   uint64 // the last hello or renewal
	grants map[fleet.Unit]fleet.Fence
}

func (w *world) checkOwners() {
	for i := range worldUnits {
		owners, running := 0, 0
		for _, m := range w.ups {
			if _, ok := m.control.Held(m.stamp(w.now), unitOf(i)); ok {
				owners++
			}
			for x := range m.running {
				if x.unit == unitOf(i) && w.now.Before(x.deadline) {
					running++
					break
				}
			}
		}
		if owners > 1 || (!w.fenced && running > 1) {
			w.fail("unit %d: %d owners, requests at %d upstreams", i, owners, running)
		}
	}
}

func (w *world) checkConfirmed(slot [2]int, a dispatch.SendRequest) {
	m, c := w.ups[slot[1]], w.acked[slot]
	if c == nil || c.grants[a.Unit] != a.Fence {
		w.fail("%s: sent to %s with fence %d, which it has not confirmed", a.ID, a.Upstream, a.Fence)
	}
	// After a restart that the dispatcher cannot know of, there is no lease.
	if end := m.began.Add(time.Duration(m.control.LeaseEnd())); c.boot == m.boot && a.StartBy.After(end) {
		w.fail("%s: start by %v, lease until %v", a.ID, a.StartBy, end)
	}
}

// sent notes what a control call voids. A hello begins a session without grants.
func (w *world) sent(slot [2]int, a dispatch.SendControl) {
	c := w.acked[slot]
	if a.Call.Kind == dispatch.Hello || c == nil {
		c = &acked{grants: make(map[fleet.Unit]fleet.Fence)}
		w.acked[slot] = c
	}
	if a.Call.Kind == dispatch.Hello || a.Call.Kind == dispatch.Renew {
		c.beat = a.Seq
	}
	for _, g := range a.Call.Grants {
		delete(c.grants, g.Unit)
	}
}

// confirm notes the response to a control call.
func (w *world) confirm(slot [2]int, a dispatch.SendControl, boot int, ok bool) {
	c := w.acked[slot]
	if a.Seq == c.beat {
		c.boot = boot
	}
	if a.Call.Kind == dispatch.GrantUnits && ok {
		for _, g := range a.Call.Grants {
			c.grants[g.Unit] = g.Fence
		}
	}
}

// assigned is the fence that the assignment known to the dispatcher gives.
func (w *world) assigned(k int, a dispatch.SendRequest) fleet.Fence {
	if o := w.revs[w.known[k]].units[a.Unit.Shard]; o.Owner == a.Upstream {
		return o.Fence
	}
	return 0
}

func (w *world) end(id fleet.RequestID, notRun, answer bool) {
	r := w.requests[id]
	r.ends++
	r.notRun, r.answer = notRun, answer
	if r.ends > 1 {
		w.fail("%s ended %d times", id, r.ends)
	}
}

func (w *world) effect(a dispatch.SendRequest) {
	r := w.requests[a.ID]
	r.effects++
	if r.effects > 1 && !r.req.Idempotent {
		w.fail("%s ran %d times", a.ID, r.effects)
	}
	// An unfenced upstream may still end what its previous dispatcher sent.
	last := w.effects[a.Unit]
	if a.Fence < last.Fence && (w.fenced || a.Upstream != last.Upstream) {
		w.fail("%s: effect at %s under fence %d after one at %s under %d", a.ID, a.Upstream, a.Fence, last.Upstream, last.Fence)
	}
	w.effects[a.Unit] = a
}
