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

// rig drives one table by hand. Control calls succeed at once unless silent.
type rig struct {
	tb      testing.TB
	table   *dispatch.Table
	now     time.Time
	start   time.Time
	duty    dispatch.Duty
	boot    fleet.BootID
	silent  bool
	running int                    // reported by the upstream
	hold    bool                   // control calls end only with endCalls
	held    []dispatch.SendControl // without an end yet
	actions []dispatch.Action      // all but control calls and events
	calls   []dispatch.Call
	n       int
}

func newRig(tb testing.TB, fenced bool, change func(*dispatch.Duty)) *rig {
	start := time.Unix(1e9, 0)
	r := &rig{tb: tb, table: dispatch.New(dispatch.Config{}), now: start, start: start, boot: "b1"}
	r.duty = dispatch.Duty{
		Upstream: "u0", Service: "s", Address: "a", Fence: 7, Slots: 4, ColdSlots: 4, Fenced: fenced, Taken: start, Timeout: time.Second,
		Units: []assignment.Ownership{{Unit: unitOf(0), Owner: "u0", Fence: 11}},
	}
	if change != nil {
		change(&r.duty)
	}
	r.exec(r.table.Tick(r.now, r.now.Add(time.Hour)))
	r.exec(r.table.Assign(r.now, []dispatch.Duty{r.duty}))
	return r
}

func (r *rig) exec(actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.SendControl:
			r.calls = append(r.calls, a.Call)
			if r.hold {
				r.held = append(r.held, a)
				continue
			}
			res := dispatch.ControlResult{Upstream: a.Upstream, Seq: a.Seq, OK: !r.silent}
			if !r.silent {
				res.Reply = dispatch.Reply{Boot: r.boot, Stamp: 1, Fence: a.Call.DispatcherFence, Running: r.running}
			}
			r.exec(r.table.ControlDone(r.now, res))
		case dispatch.Event, dispatch.CloseConnections:
		default:
			r.actions = append(r.actions, a)
		}
	}
}

// endCalls reports the held control calls as lost.
func (r *rig) endCalls() {
	held := r.held
	r.hold, r.held = false, nil
	for _, a := range held {
		r.exec(r.table.ControlDone(r.now, dispatch.ControlResult{Upstream: a.Upstream, Seq: a.Seq}))
	}
}

// kinds returns the control calls since the last call.
func (r *rig) kinds() []dispatch.CallKind {
	out := make([]dispatch.CallKind, 0, len(r.calls))
	for _, c := range r.calls {
		out = append(out, c.Kind)
	}
	r.calls = nil
	return out
}

// run advances the clock in steps of 10 ms.
func (r *rig) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(10 * time.Millisecond)
		r.exec(r.table.Tick(r.now, r.start.Add(time.Hour)))
	}
}

func (r *rig) submit(account fleet.AccountID, idempotent bool, timeout time.Duration) fleet.RequestID {
	r.n++
	id := fleet.RequestID(fmt.Sprintf("r%d", r.n))
	r.exec(r.table.Submit(r.now, dispatch.Request{
		ID: id, Account: account, Unit: unitOf(0), Key: "k", Upstream: "u0", Idempotent: idempotent, Deadline: r.now.Add(timeout),
	}))
	return id
}

func (r *rig) done(id fleet.RequestID, n int, kind dispatch.ResultKind) {
	r.exec(r.table.Done(r.now, id, n, dispatch.Result{Kind: kind, Status: 200, Boot: r.boot}))
}

// assign replaces the units of the duty.
func (r *rig) assign(units ...assignment.Ownership) {
	r.duty.Units = units
	r.exec(r.table.Assign(r.now, []dispatch.Duty{r.duty}))
}

// moveAway names another owner of the unit.
func (r *rig) moveAway() {
	r.assign(assignment.Ownership{Unit: unitOf(0), Owner: "u9", Fence: 12, Previous: []fleet.UpstreamID{"u0"}})
}

func (r *rig) released(fence fleet.Fence) bool {
	return r.table.Released(r.now, "u0", []fleet.Grant{{Unit: unitOf(0), Fence: fence}})[0]
}

// seen returns what happened since the last call, in short form.
func (r *rig) seen() []string {
	var out []string
	for _, a := range r.actions {
		switch a := a.(type) {
		case dispatch.SendRequest:
			out = append(out, fmt.Sprintf("send %s/%d fresh=%t", a.ID, a.Attempt, a.Fresh))
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
	r.actions = nil
	return out
}

func (r *rig) expect(want ...string) {
	r.tb.Helper()
	if diff := cmp.Diff(want, r.seen()); diff != "" {
		r.tb.Error(diff)
	}
}

func (r *rig) expectReleased(fence fleet.Fence, want bool) {
	r.tb.Helper()
	if got := r.released(fence); got != want {
		r.tb.Errorf("after %v: released for fence %d = %t, want %t", r.now.Sub(r.start), fence, got, want)
	}
}

// earn fills the retry budget for n retries.
func (r *rig) earn(n int) {
	for range 10 * n {
		r.done(r.submit("a", true, time.Second), 1, dispatch.Answered)
	}
	r.n, r.actions = 0, nil
}

// Guards against wrong handling of the failure cases of docs/design.md,
// sections 6, 8 and 9. Each case ends with what the table did.
func TestFailureCases(t *testing.T) {
	tests := map[string]struct {
		unfenced bool
		change   func(*dispatch.Duty)
		do       func(*rig)
	}{
		"handover waits for requests in flight": {do: func(r *rig) {
			id := r.submit("a", false, time.Second)
			r.moveAway()
			r.run(50 * time.Millisecond)
			r.expectReleased(12, false)
			r.done(id, 1, dispatch.Answered)
			r.expectReleased(12, true)
			r.expectReleased(13, false) // a later assignment is not known here
			r.submit("a", false, time.Second)
			r.expect("send r1/1 fresh=false", "answer r1/1", "refuse r2 no-owner")
		}},
		"unit waits for its previous owner": {
			change: func(d *dispatch.Duty) { d.Units[0].Previous = []fleet.UpstreamID{"u9"} },
			do: func(r *rig) {
				r.submit("a", false, time.Second)
				r.run(20 * time.Millisecond)
				r.exec(r.table.PreviousReleased(r.now, "u0", []fleet.Grant{{Unit: unitOf(0), Fence: 10}}, "u9"))
				r.expect("ask u9", "ask u9")
				r.exec(r.table.PreviousReleased(r.now, "u0", []fleet.Grant{{Unit: unitOf(0), Fence: 11}}, "u9"))
				r.expect("send r1/1 fresh=false")
			},
		},
		"unreachable upstream releases when its lease ended": {do: func(r *rig) {
			r.submit("a", false, 5*time.Second)
			r.silent = true
			r.moveAway()
			r.run(700 * time.Millisecond)
			r.expectReleased(12, false)
			if !r.table.Reports(r.now)["u0"].Lost {
				r.tb.Error("not reported as lost after 700 ms of silence")
			}
			r.run(300 * time.Millisecond)
			r.expectReleased(12, true)
			r.expect("send r1/1 fresh=false")
		}},
		"new dispatcher of a silent upstream waits for the old one": {
			change: func(d *dispatch.Duty) { d.Taken = time.Time{} },
			do: func(r *rig) {
				r.silent = true
				r.moveAway()
				r.run(3 * time.Second)
				r.expectReleased(12, false)
				r.duty.Taken = r.now
				r.moveAway()
				r.run(900 * time.Millisecond)
				r.expectReleased(12, false)
				r.run(50 * time.Millisecond)
				r.expectReleased(12, true)
			},
		},
		"revocation before the takeover is in force is no release": {
			change: func(d *dispatch.Duty) { d.Taken = time.Time{} },
			do: func(r *rig) {
				r.moveAway()
				r.run(time.Second)
				r.expectReleased(12, false)
				r.duty.Taken = r.now
				r.moveAway()
				r.expectReleased(12, true)
			},
		},
		"unfenced upstream releases after deadline and clock difference": {unfenced: true, do: func(r *rig) {
			r.run(2 * time.Second)
			id := r.submit("a", false, 500*time.Millisecond)
			r.moveAway()
			r.done(id, 1, dispatch.Lost)
			r.run(740 * time.Millisecond)
			r.expectReleased(12, false)
			r.run(20 * time.Millisecond)
			r.expectReleased(12, true)
			r.expect("send r1/1 fresh=false", "refuse r1 connection-lost")
		}},
		"unfenced upstream waits until the old dispatcher is out": {
			unfenced: true,
			change:   func(d *dispatch.Duty) { d.Taken = time.Time{} },
			do: func(r *rig) {
				r.submit("a", false, time.Second)
				r.run(100 * time.Millisecond)
				r.expect()
				r.duty.Taken = r.now
				r.assign(r.duty.Units...)
				r.expect("send r1/1 fresh=false")
			},
		},
		"nothing is sent after the lease may have ended": {do: func(r *rig) {
			r.run(190 * time.Millisecond)
			r.now = r.now.Add(time.Second) // paused
			r.submit("a", false, 500*time.Millisecond)
			r.expect()
			r.run(30 * time.Millisecond) // hello, renewal and grant again
			r.expect("send r1/1 fresh=false")
		}},
		"takeover revokes before its first renewal": {
			change: func(d *dispatch.Duty) {
				d.Units[0] = assignment.Ownership{Unit: unitOf(0), Owner: "u9", Fence: 12, Previous: []fleet.UpstreamID{"u0"}}
			},
			do: func(r *rig) {
				if diff := cmp.Diff([]dispatch.CallKind{dispatch.Hello, dispatch.RevokeUnits, dispatch.Renew}, r.kinds()); diff != "" {
					r.tb.Error(diff)
				}
			},
		},
		"no revocation while a grant is on its way": {do: func(r *rig) {
			r.hold = true
			r.assign(assignment.Ownership{Unit: unitOf(0), Owner: "u0", Fence: 12})
			r.calls = nil
			r.assign(assignment.Ownership{Unit: unitOf(0), Owner: "u9", Fence: 13, Previous: []fleet.UpstreamID{"u0"}})
			if kinds := r.kinds(); len(kinds) > 0 {
				r.tb.Errorf("calls while the grant has no end: %v", kinds)
			}
			r.endCalls()
			r.run(30 * time.Millisecond)
			r.expectReleased(13, true)
		}},
		"lost request holds its slot until the upstream noticed": {
			change: func(d *dispatch.Duty) { d.Slots, d.ColdSlots = 1, 1 },
			do: func(r *rig) {
				r.done(r.submit("a", false, time.Second), 1, dispatch.Lost)
				r.submit("a", false, time.Second)
				r.run(90 * time.Millisecond)
				r.expect("send r1/1 fresh=false", "refuse r1 connection-lost")
				r.run(10 * time.Millisecond)
				r.expect("send r2/1 fresh=false")
			},
		},
		"no authority": {do: func(r *rig) {
			r.exec(r.table.Tick(r.now, r.now))
			r.submit("a", false, time.Second)
			r.expect("refuse r1 no-authority")
		}},
		"rebooted upstream is cold and granted again": {
			change: func(d *dispatch.Duty) { d.ColdSlots = 1 },
			do: func(r *rig) {
				r.boot, r.calls = "b2", nil
				r.run(250 * time.Millisecond)
				if kinds := r.kinds(); !slices.Contains(kinds, dispatch.Hello) || !slices.Contains(kinds, dispatch.GrantUnits) {
					r.tb.Errorf("calls after the reboot: %v", kinds)
				}
				r.submit("a", false, time.Second)
				r.submit("a", false, time.Second)
				r.expect("send r1/1 fresh=false")
			},
		},
		"account at several times its rate delays only itself": {
			change: func(d *dispatch.Duty) { d.Slots, d.ColdSlots = 1, 1 },
			do: func(r *rig) {
				for range 4 {
					r.submit("big", false, time.Second)
				}
				r.submit("small", false, time.Second)
				r.done("r1", 1, dispatch.Answered)
				r.done("r2", 1, dispatch.Answered)
				r.expect("send r1/1 fresh=false", "answer r1/1", "send r2/1 fresh=false", "answer r2/1", "send r5/1 fresh=false")
			},
		},
		"wait past the deadline is refused at once": {
			change: func(d *dispatch.Duty) { d.Slots, d.ColdSlots = 1, 1 },
			do: func(r *rig) {
				id := r.submit("a", false, time.Second)
				r.run(100 * time.Millisecond)
				r.done(id, 1, dispatch.Answered)
				r.submit("a", false, time.Second)
				r.submit("a", false, time.Second)
				r.submit("a", false, 150*time.Millisecond)
				r.expect("send r1/1 fresh=false", "answer r1/1", "send r2/1 fresh=false", "refuse r4 overloaded")
			},
		},
		"lost non-idempotent request is not repeated": {do: func(r *rig) {
			r.earn(1)
			r.done(r.submit("a", false, time.Second), 1, dispatch.Lost)
			r.expect("send r1/1 fresh=false", "refuse r1 connection-lost")
		}},
		"unsent non-idempotent request is repeated": {do: func(r *rig) {
			r.earn(1)
			r.done(r.submit("a", false, time.Second), 1, dispatch.NotSent)
			r.expect("send r1/1 fresh=false", "send r1/2 fresh=true")
		}},
		"no retry without budget": {do: func(r *rig) {
			r.done(r.submit("a", true, time.Second), 1, dispatch.Shed)
			r.expect("send r1/1 fresh=false", "refuse r1 overloaded")
		}},
		"lost then refused is unknown": {do: func(r *rig) {
			r.earn(1)
			id := r.submit("a", true, time.Second)
			r.done(id, 1, dispatch.Lost)
			r.done(id, 2, dispatch.Shed)
			r.expect("send r1/1 fresh=false", "send r1/2 fresh=true", "refuse r1 connection-lost")
		}},
		"silent idempotent request gets a second connection": {do: func(r *rig) {
			r.earn(1)
			id := r.submit("a", true, time.Second)
			r.run(150 * time.Millisecond)
			r.done(id, 2, dispatch.Answered)
			r.expect("send r1/1 fresh=false", "send r1/2 fresh=true", "answer r1/2", "cancel r1/1")
		}},
		"stale grant is repaired": {do: func(r *rig) {
			r.earn(1)
			r.calls = nil
			r.done(r.submit("a", false, time.Second), 1, dispatch.Stale)
			if len(r.calls) != 1 || r.calls[0].Kind != dispatch.GrantUnits {
				r.tb.Errorf("calls %v", r.calls)
			}
			r.expect("send r1/1 fresh=false", "send r1/2 fresh=false")
		}},
		"leaving upstream gets nothing after the grace": {do: func(r *rig) {
			r.duty.Leaving = true
			r.assign(r.duty.Units...)
			r.submit("a", false, time.Second)
			r.run(2600 * time.Millisecond)
			r.submit("a", false, time.Second)
			r.expect("send r1/1 fresh=false", "refuse r2 out-of-service")
		}},
		"warming takes work and time": {
			change: func(d *dispatch.Duty) { d.ColdSlots, d.WarmTime = 1, 750*time.Millisecond },
			do: func(r *rig) {
				r.earn(10) // 100 successes within no time
				if got := r.table.Reports(r.now)["u0"].Limit; got != 1 {
					r.tb.Errorf("limit %d after no time", got)
				}
				id := r.submit("a", false, time.Second)
				r.run(510 * time.Millisecond)
				r.done(id, 1, dispatch.Answered)
				if got := r.table.Reports(r.now)["u0"].Limit; got != 2 {
					r.tb.Errorf("limit %d after a step of work", got)
				}
				r.actions = nil
			},
		},
		"hot key is reported": {do: func(r *rig) {
			r.earn(10)
			r.run(time.Second)
			if hot := r.table.Reports(r.now)["u0"].Hot; len(hot) != 1 || hot[0].Key != "k" || hot[0].Rate < 99 {
				r.tb.Errorf("hot keys %v", hot)
			}
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, !tt.unfenced, tt.change)
			tt.do(r)
			r.expect()
		})
	}
}

// BenchmarkSubmitDone measures a request from Submit to the end of Done.
func BenchmarkSubmitDone(b *testing.B) {
	r := newRig(b, true, nil)
	until := r.now.Add(time.Hour)
	r.table.Tick(r.now, until)
	ids := make([]fleet.RequestID, 1024)
	for i := range ids {
		ids[i] = fleet.RequestID(fmt.Sprintf("r%d", i))
	}
	req := dispatch.Request{Account: "a", Unit: unitOf(0), Key: "k", Upstream: "u0", Deadline: r.now.Add(time.Second)}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		req.ID = ids[i%len(ids)]
		r.table.Submit(r.now, req)
		r.table.Done(r.now, req.ID, 1, dispatch.Result{Kind: dispatch.Answered, Status: 200, Boot: "b1"})
	}
}

// Guards against more concurrent work at a cold upstream than it handles after a
// takeover: the requests of the previous dispatcher still run there.
func TestTakeoverCountsRunningRequests(t *testing.T) {
	r := newRig(t, true, func(d *dispatch.Duty) { d.Slots, d.ColdSlots = 4, 2 })
	r.running = 1
	r.run(300 * time.Millisecond)
	r.submit("a", true, time.Second)
	r.submit("a", true, time.Second)
	r.expect("send r1/1 fresh=false")
	r.running = 0
	r.run(300 * time.Millisecond)
	r.expect("send r2/1 fresh=false")
}

// Guards against a warm upstream that is treated as cold because its dispatcher
// changed, and against a restarted one that is treated as warm.
func TestTakeoverKeepsWarmth(t *testing.T) {
	for boot, want := range map[fleet.BootID]fleet.Slots{"b1": 4, "b0": 2} {
		r := newRig(t, true, func(d *dispatch.Duty) {
			d.Slots, d.ColdSlots, d.Last = 6, 2, dispatch.Warmth{Boot: boot, Limit: 4}
		})
		r.run(50 * time.Millisecond)
		if diff := cmp.Diff(want, r.table.Reports(r.now)["u0"].Limit); diff != "" {
			t.Errorf("last known boot %s: %s", boot, diff)
		}
	}
}
