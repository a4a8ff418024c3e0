package keyspace

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against a leader that goes on sending a fencing token after an upstream refused
// it: another leader has used a higher one. The cases differ in what keeps the leader from
// planning with a new token.
func TestRefusedTokenIsNotSentAgain(t *testing.T) {
	for name, plan := range map[string]func(o *Coordinator, now time.Time){
		"no plan without a valid lease": func(*Coordinator, time.Time) {},
		"no candidate": func(o *Coordinator, now time.Time) {
			o.SetUpstreams(now, archive, nil)
			o.Plan(now)
		},
		"record of the move not stored": func(o *Coordinator, now time.Time) {
			o.Plan(now)
			o.Save(now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := start
			o := NewCoordinator(now, 1, timing, Record{})
			o.SetUpstreams(now, archive, usableUpstreams("a", "b"))
			fakes := newFakeUpstreams(t)
			run(o, fakes, &now, 10*time.Second)
			refused, again := make(map[fleet.Fence]bool), 0
			for end := now.Add(3 * timing.Hold); now.Before(end); now = now.Add(50 * time.Millisecond) {
				plan(o, now)
				for _, c := range o.Calls(now) {
					if refused[c.Fence] {
						again++
					}
					refused[c.Fence] = true
					o.CallEnded(now, c, Conflict, "")
				}
			}
			if len(refused) == 0 {
				t.Fatal("no call was refused")
			}
			if diff := cmp.Diff(0, again); diff != "" {
				t.Error("calls with a refused token:", diff)
			}
		})
	}
}

// Guards against keys that wait for the end of a hold although another upstream listens at
// the address of their holder, which has therefore ended.
func TestEndedHolderIsReplacedAtOnce(t *testing.T) {
	now := start
	o := NewCoordinator(now, 1, timing, Record{})
	o.SetUpstreams(now, archive, usableUpstreams("a", "b", "c"))
	fakes := newFakeUpstreams(t)
	run(o, fakes, &now, 10*time.Second)
	key := heldBy(t, o, "a")
	fakes.gone["a"], fakes.holdEnds["a"] = true, nil
	endedAt := now
	for now.Sub(endedAt) < 2*timing.Hold {
		run(o, fakes, &now, 100*time.Millisecond)
		if id := holderOf(o, key); id != "a" && id != "" {
			break
		}
	}
	// A renewal discovers the end, a plan and a record follow, and the grant.
	if took, limit := now.Sub(endedAt), timing.Renew+500*time.Millisecond; took > limit {
		t.Errorf("a key of the ended holder had another one after %v, want at most %v", took, limit)
	}
	run(o, fakes, &now, time.Second)
	for _, s := range o.services[archive].shards {
		if s.plannedHolder() == "a" {
			t.Errorf("keys %d to %d are still assigned to the ended upstream", s.From, s.To)
		}
	}
}

// holderOf returns the upstream that has confirmed a grant of key, or "".
func holderOf(o *Coordinator, key Key) fleet.UpstreamID {
	for _, sh := range o.services[archive].shards {
		if sh.From <= key && key <= sh.To && sh.state == stateHeld {
			return sh.holder
		}
	}
	return ""
}

// heldBy returns a key that an upstream holds.
func heldBy(t *testing.T, o *Coordinator, id fleet.UpstreamID) Key {
	t.Helper()
	for _, sh := range o.services[archive].shards {
		if sh.holder == id && sh.state == stateHeld {
			return sh.From
		}
	}
	t.Fatalf("upstream %s holds no key", id)
	return 0
}

// Guards against an upstream that counts as unreachable, or loses keys, because its leader was
// late, and against a late call that is not repeated.
func TestLateCallIsRepeated(t *testing.T) {
	now := start
	o, fakes := NewCoordinator(now, 1, timing, Record{}), newFakeUpstreams(t)
	o.SetUpstreams(now, archive, usableUpstreams("a", "b"))
	run(o, fakes, &now, 10*time.Second)
	now = now.Add(timing.Renew)
	calls := o.Calls(now)
	for _, c := range calls {
		o.CallEnded(now, c, Late, "")
	}
	now = now.Add(2 * unreachableSilence)
	o.Plan(now)
	again := o.Calls(now)
	if diff := cmp.Diff([]int{2, 2, 0}, []int{len(calls), len(again), len(o.Moves())}); diff != "" {
		t.Errorf("(calls, repeated calls, moves) %s", diff)
	}
}
