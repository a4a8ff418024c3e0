package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/internal/dispatch"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// harness drives one table step by step. Control calls succeed at once unless silent
// or holdCalls is set.
type harness struct {
	tb        testing.TB
	table     *dispatch.Table
	now       time.Time
	start     time.Time
	duty      dispatch.Duty
	boot      fleet.BootID
	silent    bool
	running   int                    // running requests of previous dispatchers that the upstream reports
	holdCalls bool                   // keep control calls pending until failHeldCalls
	heldCalls []dispatch.SendControl // pending control calls
	actions   []dispatch.Action      // all but control calls and events
	calls     []dispatch.Call
	submitted int
}

func newHarness(tb testing.TB, fenced bool, change func(*dispatch.Duty)) *harness {
	start := time.Unix(1e9, 0)
	h := &harness{tb: tb, table: dispatch.New(dispatch.Config{}), now: start, start: start, boot: "b1"}
	h.duty = dispatch.Duty{
		Upstream: "u0", Service: "s", Address: "a", Fence: 7, Slots: 4, ColdSlots: 4, Fenced: fenced, InForceSince: start, Timeout: time.Second,
		Units: []assignment.Ownership{{Unit: unitOf(0), Owner: "u0", Fence: 11}},
	}
	if change != nil {
		change(&h.duty)
	}
	h.execute(h.table.Tick(h.now, h.now.Add(time.Hour)))
	h.execute(h.table.Assign(h.now, []dispatch.Duty{h.duty}))
	return h
}

func (h *harness) execute(actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.SendControl:
			h.calls = append(h.calls, a.Call)
			if h.holdCalls {
				h.heldCalls = append(h.heldCalls, a)
				continue
			}
			res := dispatch.ControlResult{Upstream: a.Upstream, Seq: a.Seq, OK: !h.silent}
			if !h.silent {
				res.Reply = dispatch.Reply{Boot: h.boot, Stamp: 1, Fence: a.Call.DispatcherFence, Running: h.running}
			}
			h.execute(h.table.ControlDone(h.now, res))
		case dispatch.Event, dispatch.CloseConnections:
		default:
			h.actions = append(h.actions, a)
		}
	}
}

// failHeldCalls reports the held control calls as unanswered.
func (h *harness) failHeldCalls() {
	held := h.heldCalls
	h.holdCalls, h.heldCalls = false, nil
	for _, a := range held {
		h.execute(h.table.ControlDone(h.now, dispatch.ControlResult{Upstream: a.Upstream, Seq: a.Seq}))
	}
}

// takeCallKinds returns the kinds of the control calls since its last call.
func (h *harness) takeCallKinds() []dispatch.CallKind {
	out := make([]dispatch.CallKind, 0, len(h.calls))
	for _, c := range h.calls {
		out = append(out, c.Kind)
	}
	h.calls = nil
	return out
}

// run advances the clock by d, with a Tick every 10 ms.
func (h *harness) run(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(10 * time.Millisecond)
		h.execute(h.table.Tick(h.now, h.start.Add(time.Hour)))
	}
}

func (h *harness) submit(account fleet.AccountID, idempotent bool, timeout time.Duration) fleet.RequestID {
	h.submitted++
	id := fleet.RequestID(fmt.Sprintf("r%d", h.submitted))
	h.execute(h.table.Submit(h.now, dispatch.Request{
		ID: id, Account: account, Unit: unitOf(0), Key: "k", Upstream: "u0", Idempotent: idempotent, Deadline: h.now.Add(timeout),
	}))
	return id
}

func (h *harness) done(id fleet.RequestID, n int, kind dispatch.ResultKind) {
	h.execute(h.table.Done(h.now, id, n, dispatch.Result{Kind: kind, Status: 200, Boot: h.boot}))
}

// assign replaces the units of the duty.
func (h *harness) assign(units ...assignment.Ownership) {
	h.duty.Units = units
	h.execute(h.table.Assign(h.now, []dispatch.Duty{h.duty}))
}

// moveUnitAway assigns the unit to another upstream.
func (h *harness) moveUnitAway() {
	h.assign(assignment.Ownership{Unit: unitOf(0), Owner: "u9", Fence: 12, Previous: []fleet.UpstreamID{"u0"}})
}

func (h *harness) released(fence fleet.Fence) bool {
	return h.table.Released(h.now, "u0", []fleet.Grant{{Unit: unitOf(0), Fence: fence}})[0]
}

// takeActions returns the actions since its last call as short texts.
func (h *harness) takeActions() []string {
	var out []string
	for _, a := range h.actions {
		switch a := a.(type) {
		case dispatch.SendRequest:
			out = append(out, fmt.Sprintf("send %s/%d fresh=%t", a.ID, a.Attempt, a.NewConnection))
		case dispatch.CancelRequest:
			out = append(out, fmt.Sprintf("cancel %s/%d", a.ID, a.Attempt))
		case dispatch.Answer:
			out = append(out, fmt.Sprintf("answer %s/%d", a.ID, a.Attempt))
		case dispatch.Refuse:
			out = append(out, fmt.Sprintf("refuse %s %s", a.ID, a.Refusal.Reason))
		case dispatch.AskReleased:
			out = append(out, "ask "+string(a.Previous))
		}
	}
	h.actions = nil
	return out
}

func (h *harness) expectActions(want ...string) {
	h.tb.Helper()
	if diff := cmp.Diff(want, h.takeActions()); diff != "" {
		h.tb.Error(diff)
	}
}

func (h *harness) expectReleased(fence fleet.Fence, want bool) {
	h.tb.Helper()
	if got := h.released(fence); got != want {
		h.tb.Errorf("after %v: released for fence %d = %t, want %t", h.now.Sub(h.start), fence, got, want)
	}
}

// fillRetryBudget answers enough requests to permit n retries.
func (h *harness) fillRetryBudget(n int) {
	for range 10 * n {
		h.done(h.submit("a", true, time.Second), 1, dispatch.Answered)
	}
	h.submitted, h.actions = 0, nil
}

// TestFailureCases guards against wrong handling of the failure cases of
// docs/design.md, sections 6, 8 and 9. Each case ends with the expected actions.
func TestFailureCases(t *testing.T) {
	tests := map[string]struct {
		unfenced bool
		change   func(*dispatch.Duty)
		do       func(*harness)
	}{
		"handover waits for requests in flight": {do: func(h *harness) {
			id := h.submit("a", false, time.Second)
			h.moveUnitAway()
			h.run(50 * time.Millisecond)
			h.expectReleased(12, false)
			h.done(id, 1, dispatch.Answered)
			h.expectReleased(12, true)
			h.expectReleased(13, false) // the table does not know the assignment with fence 13
			h.submit("a", false, time.Second)
			h.expectActions("send r1/1 fresh=false", "answer r1/1", "refuse r2 no-owner")
		}},
		"unit waits for its previous owner": {
			change: func(d *dispatch.Duty) { d.Units[0].Previous = []fleet.UpstreamID{"u9"} },
			do: func(h *harness) {
				h.submit("a", false, time.Second)
				h.run(20 * time.Millisecond)
				h.execute(h.table.PreviousReleased(h.now, "u0", []fleet.Grant{{Unit: unitOf(0), Fence: 10}}, "u9"))
				h.expectActions("ask u9", "ask u9")
				h.execute(h.table.PreviousReleased(h.now, "u0", []fleet.Grant{{Unit: unitOf(0), Fence: 11}}, "u9"))
				h.expectActions("send r1/1 fresh=false")
			},
		},
		"unreachable upstream releases when its lease has expired": {do: func(h *harness) {
			h.submit("a", false, 5*time.Second)
			h.silent = true
			h.moveUnitAway()
			h.run(700 * time.Millisecond)
			h.expectReleased(12, false)
			if !h.table.Reports(h.now)["u0"].Lost {
				h.tb.Error("not reported as lost after 700 ms without a response")
			}
			h.run(300 * time.Millisecond)
			h.expectReleased(12, true)
			h.expectActions("send r1/1 fresh=false")
		}},
		"new dispatcher of an unresponsive upstream waits for the lease of the previous one": {
			change: func(d *dispatch.Duty) { d.InForceSince = time.Time{} },
			do: func(h *harness) {
				h.silent = true
				h.moveUnitAway()
				h.run(3 * time.Second)
				h.expectReleased(12, false)
				h.duty.InForceSince = h.now
				h.moveUnitAway()
				h.run(900 * time.Millisecond)
				h.expectReleased(12, false)
				h.run(50 * time.Millisecond)
				h.expectReleased(12, true)
			},
		},
		"revocation before the takeover is in force does not release": {
			change: func(d *dispatch.Duty) { d.InForceSince = time.Time{} },
			do: func(h *harness) {
				h.moveUnitAway()
				h.run(time.Second)
				h.expectReleased(12, false)
				h.duty.InForceSince = h.now
				h.moveUnitAway()
				h.expectReleased(12, true)
			},
		},
		"unfenced upstream releases after deadline and clock skew": {unfenced: true, do: func(h *harness) {
			h.run(2 * time.Second)
			id := h.submit("a", false, 500*time.Millisecond)
			h.moveUnitAway()
			h.done(id, 1, dispatch.Lost)
			h.run(740 * time.Millisecond)
			h.expectReleased(12, false)
			h.run(20 * time.Millisecond)
			h.expectReleased(12, true)
			h.expectActions("send r1/1 fresh=false", "refuse r1 connection-lost")
		}},
		"unfenced upstream waits until the previous dispatcher has no authority": {
			unfenced: true,
			change:   func(d *dispatch.Duty) { d.InForceSince = time.Time{} },
			do: func(h *harness) {
				h.submit("a", false, time.Second)
				h.run(100 * time.Millisecond)
				h.expectActions()
				h.duty.InForceSince = h.now
				h.assign(h.duty.Units...)
				h.expectActions("send r1/1 fresh=false")
			},
		},
		"nothing is sent after the lease may have ended": {do: func(h *harness) {
			h.run(190 * time.Millisecond)
			h.now = h.now.Add(time.Second) // the process is paused
			h.submit("a", false, 500*time.Millisecond)
			h.expectActions()
			h.run(30 * time.Millisecond) // hello, renewal and grant are repeated
			h.expectActions("send r1/1 fresh=false")
		}},
		"takeover revokes before its first renewal": {
			change: func(d *dispatch.Duty) {
				d.Units[0] = assignment.Ownership{Unit: unitOf(0), Owner: "u9", Fence: 12, Previous: []fleet.UpstreamID{"u0"}}
			},
			do: func(h *harness) {
				if diff := cmp.Diff([]dispatch.CallKind{dispatch.Hello, dispatch.RevokeUnits, dispatch.Renew}, h.takeCallKinds()); diff != "" {
					h.tb.Error(diff)
				}
			},
		},
		"no revocation while a grant call is pending": {do: func(h *harness) {
			h.holdCalls = true
			h.assign(assignment.Ownership{Unit: unitOf(0), Owner: "u0", Fence: 12})
			h.calls = nil
			h.assign(assignment.Ownership{Unit: unitOf(0), Owner: "u9", Fence: 13, Previous: []fleet.UpstreamID{"u0"}})
			if kinds := h.takeCallKinds(); len(kinds) > 0 {
				h.tb.Errorf("control calls while the grant call is pending: %v", kinds)
			}
			h.failHeldCalls()
			h.run(30 * time.Millisecond)
			h.expectReleased(13, true)
		}},
		"lost request occupies its slot until the upstream detects the closed connection": {
			change: func(d *dispatch.Duty) { d.Slots, d.ColdSlots = 1, 1 },
			do: func(h *harness) {
				h.done(h.submit("a", false, time.Second), 1, dispatch.Lost)
				h.submit("a", false, time.Second)
				h.run(90 * time.Millisecond)
				h.expectActions("send r1/1 fresh=false", "refuse r1 connection-lost")
				h.run(10 * time.Millisecond)
				h.expectActions("send r2/1 fresh=false")
			},
		},
		"no authority": {do: func(h *harness) {
			h.execute(h.table.Tick(h.now, h.now))
			h.submit("a", false, time.Second)
			h.expectActions("refuse r1 no-authority")
		}},
		"restarted upstream is cold and granted again": {
			change: func(d *dispatch.Duty) { d.ColdSlots = 1 },
			do: func(h *harness) {
				h.boot, h.calls = "b2", nil
				h.run(250 * time.Millisecond)
				if kinds := h.takeCallKinds(); !slices.Contains(kinds, dispatch.Hello) || !slices.Contains(kinds, dispatch.GrantUnits) {
					h.tb.Errorf("control calls after the restart: %v", kinds)
				}
				h.submit("a", false, time.Second)
				h.submit("a", false, time.Second)
				h.expectActions("send r1/1 fresh=false")
			},
		},
		"account with many queued requests delays only itself": {
			change: func(d *dispatch.Duty) { d.Slots, d.ColdSlots = 1, 1 },
			do: func(h *harness) {
				for range 4 {
					h.submit("big", false, time.Second)
				}
				h.submit("small", false, time.Second)
				h.done("r1", 1, dispatch.Answered)
				h.done("r2", 1, dispatch.Answered)
				h.expectActions("send r1/1 fresh=false", "answer r1/1", "send r2/1 fresh=false", "answer r2/1", "send r5/1 fresh=false")
			},
		},
		"request that would wait past its deadline is refused at once": {
			change: func(d *dispatch.Duty) { d.Slots, d.ColdSlots = 1, 1 },
			do: func(h *harness) {
				id := h.submit("a", false, time.Second)
				h.run(100 * time.Millisecond)
				h.done(id, 1, dispatch.Answered)
				h.submit("a", false, time.Second)
				h.submit("a", false, time.Second)
				h.submit("a", false, 150*time.Millisecond)
				h.expectActions("send r1/1 fresh=false", "answer r1/1", "send r2/1 fresh=false", "refuse r4 overloaded")
			},
		},
		"lost non-idempotent request is not retried": {do: func(h *harness) {
			h.fillRetryBudget(1)
			h.done(h.submit("a", false, time.Second), 1, dispatch.Lost)
			h.expectActions("send r1/1 fresh=false", "refuse r1 connection-lost")
		}},
		"unsent non-idempotent request is retried": {do: func(h *harness) {
			h.fillRetryBudget(1)
			h.done(h.submit("a", false, time.Second), 1, dispatch.NotSent)
			h.expectActions("send r1/1 fresh=false", "send r1/2 fresh=true")
		}},
		"no retry without budget": {do: func(h *harness) {
			h.done(h.submit("a", true, time.Second), 1, dispatch.Shed)
			h.expectActions("send r1/1 fresh=false", "refuse r1 overloaded")
		}},
		"outcome is unknown after a lost attempt and a refused one": {do: func(h *harness) {
			h.fillRetryBudget(1)
			id := h.submit("a", true, time.Second)
			h.done(id, 1, dispatch.Lost)
			h.done(id, 2, dispatch.Shed)
			h.expectActions("send r1/1 fresh=false", "send r1/2 fresh=true", "refuse r1 connection-lost")
		}},
		"slow idempotent request is hedged on a new connection": {do: func(h *harness) {
			h.fillRetryBudget(1)
			id := h.submit("a", true, time.Second)
			h.run(150 * time.Millisecond)
			h.done(id, 2, dispatch.Answered)
			h.expectActions("send r1/1 fresh=false", "send r1/2 fresh=true", "answer r1/2", "cancel r1/1")
		}},
		"unit is granted again after a stale refusal": {do: func(h *harness) {
			h.fillRetryBudget(1)
			h.calls = nil
			h.done(h.submit("a", false, time.Second), 1, dispatch.Stale)
			if len(h.calls) != 1 || h.calls[0].Kind != dispatch.GrantUnits {
				h.tb.Errorf("control calls %v, want one grant", h.calls)
			}
			h.expectActions("send r1/1 fresh=false", "send r1/2 fresh=false")
		}},
		"leaving upstream gets no requests after the grace period": {do: func(h *harness) {
			h.duty.Leaving = true
			h.assign(h.duty.Units...)
			h.submit("a", false, time.Second)
			h.run(2600 * time.Millisecond)
			h.submit("a", false, time.Second)
			h.expectActions("send r1/1 fresh=false", "refuse r2 out-of-service")
		}},
		"limit grows after successes and busy time": {
			change: func(d *dispatch.Duty) { d.ColdSlots, d.WarmTime = 1, 750*time.Millisecond },
			do: func(h *harness) {
				h.fillRetryBudget(10) // 100 successes without busy time
				if got := h.table.Reports(h.now)["u0"].Limit; got != 1 {
					h.tb.Errorf("limit %d after 100 responses without busy time, want 1", got)
				}
				id := h.submit("a", false, time.Second)
				h.run(510 * time.Millisecond)
				h.done(id, 1, dispatch.Answered)
				if got := h.table.Reports(h.now)["u0"].Limit; got != 2 {
					h.tb.Errorf("limit %d after the busy time of one step, want 2", got)
				}
				h.actions = nil
			},
		},
		"hot key is reported": {do: func(h *harness) {
			h.fillRetryBudget(10)
			h.run(time.Second)
			if hot := h.table.Reports(h.now)["u0"].Hot; len(hot) != 1 || hot[0].Key != "k" || hot[0].Rate < 99 {
				h.tb.Errorf("hot keys %v", hot)
			}
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, !tt.unfenced, tt.change)
			tt.do(h)
			h.expectActions()
		})
	}
}

// BenchmarkSubmitDone measures Submit and Done of one request.
func BenchmarkSubmitDone(b *testing.B) {
	h := newHarness(b, true, nil)
	until := h.now.Add(time.Hour)
	h.table.Tick(h.now, until)
	ids := make([]fleet.RequestID, 1024)
	for i := range ids {
		ids[i] = fleet.RequestID(fmt.Sprintf("r%d", i))
	}
	req := dispatch.Request{Account: "a", Unit: unitOf(0), Key: "k", Upstream: "u0", Deadline: h.now.Add(time.Second)}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		req.ID = ids[i%len(ids)]
		h.table.Submit(h.now, req)
		h.table.Done(h.now, req.ID, 1, dispatch.Result{Kind: dispatch.Answered, Status: 200, Boot: "b1"})
	}
}

// TestTakeoverCountsRunningRequests guards against exceeding the concurrency limit of
// a cold upstream after a takeover, while requests of the previous dispatcher still
// run there.
func TestTakeoverCountsRunningRequests(t *testing.T) {
	h := newHarness(t, true, func(d *dispatch.Duty) { d.Slots, d.ColdSlots = 4, 2 })
	h.running = 1
	h.run(300 * time.Millisecond)
	h.submit("a", true, time.Second)
	h.submit("a", true, time.Second)
	h.expectActions("send r1/1 fresh=false")
	h.running = 0
	h.run(300 * time.Millisecond)
	h.expectActions("send r2/1 fresh=false")
}

// TestTakeoverKeepsKnownLimit guards against treating a warm upstream as cold because its
// dispatcher changed, and a restarted one as warm.
func TestTakeoverKeepsKnownLimit(t *testing.T) {
	for boot, want := range map[fleet.BootID]fleet.Slots{"b1": 4, "b0": 2} {
		h := newHarness(t, true, func(d *dispatch.Duty) {
			d.Slots, d.ColdSlots, d.LastLimit = 6, 2, dispatch.KnownLimit{Boot: boot, Limit: 4}
		})
		h.run(50 * time.Millisecond)
		if diff := cmp.Diff(want, h.table.Reports(h.now)["u0"].Limit); diff != "" {
			t.Errorf("last known boot %s: %s", boot, diff)
		}
	}
}
