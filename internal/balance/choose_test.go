package balance

import (
	"slices"
	"testing"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against instances that all choose the same upstreams although each sees one answer
// in 80, and against a slower fleet than with a choice by all estimates.
func TestLargeFleetSpreadsRequests(t *testing.T) {
	f := newFleet(fleetShape{instances: 80, upstreams: 98, slots: 4, zones: 3, speeds: []float64{0.5, 1, 1, 1.5}, noisy: 0.2, reports: true})
	f.work, f.target = 0.29, 1200*time.Millisecond
	f.run(467, 10*time.Second)
	f.latencies, f.crossed = nil, 0
	clear(f.sent)
	f.run(467, 20*time.Second)
	busiest, total := 0, 0
	for _, n := range f.sent {
		busiest, total = max(busiest, n), total+n
	}
	ratio := float64(busiest) * 98 / float64(total)
	t.Logf("the busiest upstream was sent %.2f times the mean; %.3f late", ratio, f.late())
	if ratio > 2.5 || f.late() > 0.06 {
		t.Errorf("the busiest upstream was sent %.2f times the mean, %.3f of the requests were late", ratio, f.late())
	}
}

// Guards against a preference for the own zone that costs latency, and against large bodies
// that cross zones as often as small ones.
func TestLargeBodiesStayInZone(t *testing.T) {
	run := func(bytes int) (crossed float64, median time.Duration) {
		f := newFleet(fleetShape{instances: 10, upstreams: 15, slots: 6, zones: 3, speeds: []float64{1}, noisy: 0.2})
		f.work, f.target, f.bytes = 0.29, 800*time.Millisecond, bytes
		f.run(120, 60*time.Second)
		slices.Sort(f.latencies)
		return float64(f.crossed) / float64(len(f.latencies)), f.latencies[len(f.latencies)/2]
	}
	small, smallMedian := run(0)
	large, largeMedian := run(LargeBody)
	t.Logf("crossed zones: %.2f of small requests, %.2f of large ones; medians %v and %v", small, large, smallMedian, largeMedian)
	if large > 0.8*small || largeMedian > smallMedian*11/10 {
		t.Errorf("crossed zones: %.2f of small requests, %.2f of large ones; medians %v and %v", small, large, smallMedian, largeMedian)
	}
}

// Guards against a refusal because a sample of the upstreams contains none that is usable,
// or because all of them have reached their limits.
func TestChooseFindsLastUsable(t *testing.T) {
	const n = 60
	table := newTable("i", n)
	exclude := make(map[fleet.UpstreamID]bool)
	for _, r := range registrations(n)[1:] {
		exclude[r.ID] = true
		sendAndEnd(table, start, table.Get(r.ID), Answered, 100*time.Millisecond)
	}
	q := query
	q.Exclude = exclude
	table.SetInFlightLimits(start, []InFlightLimit{{ID: "u0", Boot: "1", Limit: 1}})
	for range 20 {
		e, reason := table.Choose(start, q)
		if e == nil || e.ID != "u0" {
			t.Fatalf("chose %v (%s), want the only upstream that is not excluded", e, reason)
		}
		table.Started(start, e)
	}
}

// Guards against requests beyond the limit in flight of an upstream while another one has
// room, and against an upstream of an earlier list among those that answered last.
func TestChooseByLimitInFlight(t *testing.T) {
	table := newTable("i", 2)
	busy := &Load{Running: 3, Slots: 6, Slowdown: 1}
	for _, id := range []fleet.UpstreamID{"u0", "u1"} {
		table.Started(start, table.Get(id))
		table.Ended(start, table.Get(id), Answered, 200*time.Millisecond, busy)
	}
	table.SetInFlightLimits(start, []InFlightLimit{{ID: "u0", Boot: "1", Limit: 2}})
	for range 50 {
		if e, _ := table.Choose(start, query); e.ID != "u1" {
			t.Fatal("chose an upstream beyond its limit")
		}
	}
	old := table.Get("u0")
	list := registrations(2)
	list[0].Boot = "2"
	table.Replace(start, list)
	table.Ended(start, old, Answered, 200*time.Millisecond, busy)
	if slices.Contains(table.recent[lookup], old) {
		t.Error("an ended run is among the upstreams that answered last")
	}
}
