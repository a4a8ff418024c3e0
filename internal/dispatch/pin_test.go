package dispatch_test

import (
	"testing"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/internal/dispatch"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

var pinK = fleet.Unit{Service: "s", Pin: "k"}

// movePinAway pins the key k of shard 0 to another upstream, with the new fences that
// the planner gives the shard and the pin.
func (h *harness) movePinAway() {
	h.assign(
		assignment.Ownership{Unit: unitOf(0), Owner: "u0", Fence: 12},
		assignment.Ownership{Unit: pinK, Owner: "u9", Fence: 13, Previous: []fleet.UpstreamID{"u0"}},
	)
}

func (h *harness) pinReleased() bool {
	return h.table.Released(h.now, "u0", []fleet.Grant{{Unit: pinK, Fence: 13}})[0]
}

// TestPinWaitsForRequestsUnderShard guards against two owners of a key that is pinned
// while a request for it runs under its shard. The demo showed such a key running at
// both upstreams at once.
func TestPinWaitsForRequestsUnderShard(t *testing.T) {
	h := newHarness(t, true, func(d *dispatch.Duty) { d.Shards = 1 })
	h.run(50 * time.Millisecond)
	running := h.submit("a", true, time.Second)
	h.movePinAway()
	h.run(100 * time.Millisecond)
	if h.pinReleased() {
		t.Fatal("the pin is released while a request for its key runs")
	}
	h.done(running, 1, dispatch.Answered)
	h.run(100 * time.Millisecond)
	if !h.pinReleased() {
		t.Error("the pin is not released after the request ended")
	}
}

// TestPinWaitsForNewFenceOfShard guards against a release of the pin before the
// upstream refuses delayed requests that were sent under the previous fence of the
// shard. The new fence is granted only after a request for another key of the shard
// has ended.
func TestPinWaitsForNewFenceOfShard(t *testing.T) {
	h := newHarness(t, true, func(d *dispatch.Duty) { d.Shards = 1 })
	h.run(50 * time.Millisecond)
	h.execute(h.table.Submit(h.now, dispatch.Request{
		ID: "o", Account: "a", Unit: unitOf(0), Key: "other", Upstream: "u0", Idempotent: true, Deadline: h.now.Add(time.Second),
	}))
	h.movePinAway()
	h.run(100 * time.Millisecond)
	if h.pinReleased() {
		t.Error("the pin is released before the shard is granted under its new fence")
	}
	h.done("o", 1, dispatch.Answered)
	h.run(100 * time.Millisecond)
	if !h.pinReleased() {
		t.Error("the pin is not released after the shard was granted")
	}
}

// TestPinRefusesWaitingRequests guards against a request for a pinned key that is
// queued under its shard and sent to the shard's owner after the key was pinned to
// another upstream.
func TestPinRefusesWaitingRequests(t *testing.T) {
	h := newHarness(t, true, func(d *dispatch.Duty) { d.Shards, d.Slots, d.ColdSlots = 1, 1, 1 })
	h.run(50 * time.Millisecond)
	running := h.submit("a", true, time.Second)
	h.submit("a", true, time.Second)
	h.takeActions()
	h.movePinAway()
	h.expectActions("refuse r2 no-owner")
	h.done(running, 1, dispatch.Answered)
}

// TestShardWaitsForRequestsUnderPin guards against the release of a shard while a
// request for one of its keys runs under a pin that has been removed.
func TestShardWaitsForRequestsUnderPin(t *testing.T) {
	h := newHarness(t, true, func(d *dispatch.Duty) {
		d.Shards = 1
		d.Units = append(d.Units, assignment.Ownership{Unit: pinK, Owner: "u0", Fence: 13})
	})
	h.run(50 * time.Millisecond)
	h.execute(h.table.Submit(h.now, dispatch.Request{
		ID: "p", Account: "a", Unit: pinK, Key: "k", Upstream: "u0", Idempotent: true, Deadline: h.now.Add(time.Second),
	}))
	h.assign(
		assignment.Ownership{Unit: unitOf(0), Owner: "u9", Fence: 14, Previous: []fleet.UpstreamID{"u0"}},
		assignment.Ownership{Unit: pinK, Fence: 15, Previous: []fleet.UpstreamID{"u0"}},
	)
	h.run(100 * time.Millisecond)
	h.expectReleased(14, false)
	h.done("p", 1, dispatch.Answered)
	h.run(100 * time.Millisecond)
	h.expectReleased(14, true)
}
