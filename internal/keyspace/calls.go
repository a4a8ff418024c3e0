package keyspace

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Call is an order to an upstream.
type Call struct {
	Service  fleet.ServiceID
	Upstream fleet.UpstreamID
	Boot     fleet.BootID
	Span
	Fence    fleet.Fence
	Release  bool // else it is a grant
	Hold     time.Duration
	Handover string

	piece *piece
}

// Result is how a call ended.
type Result int

// The ways in which a call ends.
const (
	Done     Result = iota
	Conflict        // the upstream has seen a higher fencing token
	NotSent         // the upstream cannot have got it
	NoAnswer        // the upstream may carry it out, also later
	Gone            // the upstream has ended or is another one
)

// Calls returns the calls that are due. Each must be answered with Ended.
func (o *Owner) Calls(now time.Time) []Call {
	var calls []Call
	for _, s := range o.services {
		for _, p := range s.pieces {
			if p.calling || now.Before(p.due) {
				continue
			}
			if c, ok := o.call(now, s, p); ok {
				p.calling = true
				calls = append(calls, c)
			}
		}
	}
	return calls
}

// call returns the next call for p, after the steps that need none.
func (o *Owner) call(now time.Time, s *service, p *piece) (Call, bool) {
	c := Call{Service: s.id, Upstream: p.holder, Boot: p.boot, Span: p.Span, Fence: p.fence, Hold: o.timing.Hold, Handover: p.handover, piece: p}
	if now.Before(p.barred) {
		p.due = p.barred
		return Call{}, false
	}
	if p.next != nil && p.stored {
		return o.moveCall(now, s, p, c)
	}
	switch p.state {
	case held:
		u, known := s.upstreams[p.holder]
		if known && u.Boot != p.boot {
			return Call{}, false // it holds nothing; the plan gives the piece a holder
		}
		c.Handover = ""
		return c, true
	case waiting:
		p.state = granting
		return c, p.stored
	case granting:
		return c, p.stored
	}
	return Call{}, false
}

// moveCall returns the next call of a move whose record is stored.
func (o *Owner) moveCall(now time.Time, s *service, p *piece, c Call) (Call, bool) {
	if now.After(p.maxHold) || p.holder == "" {
		o.pass(now, p, "")
		return Call{}, false
	}
	if u, known := s.upstreams[p.holder]; known {
		// A restarted holder starts without keys, but grants may have reached it before
		// the restart was known.
		c.Boot = u.Boot
	}
	c.Handover = ""
	c.Fence = p.next.bump
	if p.state == held {
		o.changed = true
	}
	switch {
	case p.state == releasing:
	case o.contacts[p.holder].unreachable(now), p.failures >= refusedAfter, p.next.bumps >= maxBumps:
		p.state = releasing // a further grant would only extend its hold
	case now.After(p.uncertain) && now.After(o.settled):
		p.state = releasing // no grant is on its way
	default:
		p.state = bumping
		return c, true
	}
	c.Release = true
	return c, true
}

// pass gives p to its next holder, who is granted it at the next call.
func (o *Owner) pass(now time.Time, p *piece, handover string) {
	n := p.next
	p.holder, p.boot, p.fence, p.next = n.holder, n.boot, n.fence, nil
	p.handover, p.state, p.due, p.failures = handover, granting, now, 0
	p.maxHold, p.uncertain, p.everServed = time.Time{}, time.Time{}, false
	o.changed = true
	o.outdate(now) // the next leader need not wait for the former holder any more
}

// Ended takes over the result of a call that was sent at began.
func (o *Owner) Ended(now time.Time, c Call, r Result, handover string) {
	p := c.piece
	p.calling = false
	o.noteContact(now, c.Upstream, r)
	if c.Release {
		o.released(now, p, r, handover)
		return
	}
	switch r {
	case Done:
		p.maxHold = later(p.maxHold, now.Add(time.Duration(float64(c.Hold)*clockError)))
	case NoAnswer:
		p.uncertain = later(p.uncertain, o.latestHold(now))
		p.maxHold = later(p.maxHold, p.uncertain)
	}
	if p.state == bumping && c.Fence != p.fence {
		o.bumped(now, p, r)
		return
	}
	o.renewed(now, p, r)
}

func (o *Owner) noteContact(now time.Time, id fleet.UpstreamID, r Result) {
	c := o.contacts[id]
	if r == Done || r == Conflict {
		c = contact{lastDone: now}
	} else {
		c.failures++
		c.lastFailed = now
	}
	o.contacts[id] = c
}

// bumped continues a move after the grant of a higher fencing token.
func (o *Owner) bumped(now time.Time, p *piece, r Result) {
	p.due = now
	if r == Done {
		p.uncertain = time.Time{} // older grants are refused from now on
		p.state = releasing
		return
	}
	p.next.bump++
	p.next.bumps++
}

func (o *Owner) released(now time.Time, p *piece, r Result, handover string) {
	if p.next == nil {
		return
	}
	if r != Done {
		p.due = now.Add(o.timing.Retry)
		return
	}
	if now.Before(p.uncertain) {
		// A grant that is still on its way could take the keys again.
		p.maxHold, p.due = p.uncertain, p.uncertain
		return
	}
	o.pass(now, p, handover)
}

func (o *Owner) renewed(now time.Time, p *piece, r Result) {
	switch r {
	case Done:
		p.failures = 0
		p.due = now.Add(o.timing.Renew)
		p.handover = ""
		if p.state == granting {
			p.state, p.everServed = held, true
			o.changed = true
		}
		if !p.barred.IsZero() {
			p.barred = time.Time{}
			o.outdate(now)
		}
	case Conflict:
		// The upstream has seen a higher token, which nobody but a leader hands out:
		// a new token is planned.
		p.failures = refusedAfter
		p.due = now.Add(o.timing.Retry)
	default:
		p.failures++
		p.due = now.Add(o.timing.Retry)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// String returns the name for logs and metrics.
func (r Result) String() string {
	return [...]string{"done", "conflict", "not-sent", "no-answer", "gone"}[r]
}
