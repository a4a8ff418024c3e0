package dispatch_test

import (
	"testing"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/internal/dispatch"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

var pinK = fleet.Unit{Service: "s", Pin: "k"}

// pinAway moves the key k out of shard 0 to another upstream, as a plan does.
func (r *rig) pinAway() {
	r.assign(
		assignment.Ownership{Unit: unitOf(0), Owner: "u0", Fence: 12},
		assignment.Ownership{Unit: pinK, Owner: "u9", Fence: 13, Previous: []fleet.UpstreamID{"u0"}},
	)
}

func (r *rig) pinReleased() bool {
	return r.table.Released(r.now, "u0", []fleet.Grant{{Unit: pinK, Fence: 13}})[0]
}

// Guards against two owners of a key that is pinned while a request for it runs
// under its shard: the demo showed executions at both upstreams at once.
func TestPinWaitsForRequestsUnderShard(t *testing.T) {
	r := newRig(t, true, func(d *dispatch.Duty) { d.Shards = 1 })
	r.run(50 * time.Millisecond)
	running := r.submit("a", true, time.Second)
	r.pinAway()
	r.run(100 * time.Millisecond)
	if r.pinReleased() {
		t.Fatal("the pin is released while a request for its key runs")
	}
	r.done(running, 1, dispatch.Answered)
	r.run(100 * time.Millisecond)
	if !r.pinReleased() {
		t.Error("the pin is not released after the request ended")
	}
}

// Guards against a release before the upstream refuses delayed requests that
// were sent under the former fence of the shard. The new fence waits for the
// request for another key of the shard.
func TestPinWaitsForNewFenceOfShard(t *testing.T) {
	r := newRig(t, true, func(d *dispatch.Duty) { d.Shards = 1 })
	r.run(50 * time.Millisecond)
	r.exec(r.table.Submit(r.now, dispatch.Request{
		ID: "o", Account: "a", Unit: unitOf(0), Key: "other", Upstream: "u0", Idempotent: true, Deadline: r.now.Add(time.Second),
	}))
	r.pinAway()
	r.run(100 * time.Millisecond)
	if r.pinReleased() {
		t.Error("the pin is released before the shard is granted under its new fence")
	}
	r.done("o", 1, dispatch.Answered)
	r.run(100 * time.Millisecond)
	if !r.pinReleased() {
		t.Error("the pin is not released after the shard was granted")
	}
}

// Guards against a request for a pinned key that waits under its shard and is
// sent there after the pin moved.
func TestPinRefusesWaitingRequests(t *testing.T) {
	r := newRig(t, true, func(d *dispatch.Duty) { d.Shards, d.Slots, d.ColdSlots = 1, 1, 1 })
	r.run(50 * time.Millisecond)
	running := r.submit("a", true, time.Second)
	r.submit("a", true, time.Second)
	r.seen()
	r.pinAway()
	r.expect("refuse r2 no-owner")
	r.done(running, 1, dispatch.Answered)
}

// Guards against a shard that is released while a request for one of its keys
// runs under a pin that has ended.
func TestShardWaitsForRequestsUnderPin(t *testing.T) {
	r := newRig(t, true, func(d *dispatch.Duty) {
		d.Shards = 1
		d.Units = append(d.Units, assignment.Ownership{Unit: pinK, Owner: "u0", Fence: 13})
	})
	r.run(50 * time.Millisecond)
	r.exec(r.table.Submit(r.now, dispatch.Request{
		ID: "p", Account: "a", Unit: pinK, Key: "k", Upstream: "u0", Idempotent: true, Deadline: r.now.Add(time.Second),
	}))
	r.assign(
		assignment.Ownership{Unit: unitOf(0), Owner: "u9", Fence: 14, Previous: []fleet.UpstreamID{"u0"}},
		assignment.Ownership{Unit: pinK, Fence: 15, Previous: []fleet.UpstreamID{"u0"}},
	)
	r.run(100 * time.Millisecond)
	r.expectReleased(14, false)
	r.done("p", 1, dispatch.Answered)
	r.run(100 * time.Millisecond)
	r.expectReleased(14, true)
}
