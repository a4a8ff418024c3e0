package keyspace

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against balancing a service with many upstreams as slowly as one with few: with
// a fixed number of concurrent moves, a fifth of the upstreams stayed overloaded for many
// seconds.
func TestConcurrentMovesGrowWithUpstreams(t *testing.T) {
	const (
		upstreams       = 60
		ratePerUpstream = 30 // requests per second for each upstream of the first half, which has a capacity of 20
	)
	now := start
	o, fakes := NewCoordinator(now, 1, timing, Record{}), newFakeUpstreams(t)
	var ids []fleet.UpstreamID
	for i := range upstreams {
		ids = append(ids, fleet.UpstreamID(fmt.Sprintf("u%02d", i)))
	}
	o.SetUpstreams(now, archive, usableUpstreams(ids...))
	run(o, fakes, &now, 3*time.Second)
	loadCounter := o.LoadCounter(archive)
	countPerRate := int(1 / loadCounter.slow.ratePerCount())
	for i := range ratePerUpstream * upstreams / 2 {
		for range countPerRate {
			loadCounter.Add(Key(i * Keys / 2 / (ratePerUpstream * upstreams / 2)))
		}
	}
	o.Plan(now)
	if got, want := o.Stats().Moving, upstreams/upstreamsPerMove; got < want {
		t.Errorf("%d shards move at the same time, want at least %d", got, want)
	}
}

// Guards against keys that are assigned only to the upstreams that registered first.
// Without load the others get none, so that half of the fleet had to serve all of the
// first requests.
func TestInitialAssignmentUsesAllUpstreams(t *testing.T) {
	const (
		upstreams = 60
		heartbeat = 2500 * time.Millisecond
		listEvery = 500 * time.Millisecond
	)
	now := start
	o, fakes := NewCoordinator(now, 1, timing, Record{}), newFakeUpstreams(t)
	var ids []fleet.UpstreamID
	for i := range upstreams {
		ids = append(ids, fleet.UpstreamID(fmt.Sprintf("u%02d", i)))
	}
	for at := listEvery; at < 6*time.Second; at += listEvery {
		o.SetUpstreams(now, archive, usableUpstreams(ids[:min(upstreams, int(upstreams*at/heartbeat))]...))
		run(o, fakes, &now, listEvery)
	}
	m, _ := o.Map()
	holders := make(map[fleet.UpstreamID]bool)
	for _, s := range m.Services[archive] {
		holders[s.Holder] = true
	}
	if len(holders) != upstreams {
		t.Errorf("%d upstreams hold keys, want %d", len(holders), upstreams)
	}
}

// Guards against a release that waits for the next renewal: a renewal was sent between the
// plan of a move and its record, and its answer postponed the release by Timing.Renew.
func TestReleaseFollowsRecord(t *testing.T) {
	now := start
	o, fakes := NewCoordinator(now, 1, timing, Record{}), newFakeUpstreams(t)
	o.SetUpstreams(now, archive, usableUpstreams("a", "b"))
	run(o, fakes, &now, 10*time.Second)
	o.SetUpstreams(now, archive, []Upstream{{ID: "a", Boot: "1", Capacity: 20}, {ID: "b", Boot: "1", Usable: true, Capacity: 20}})
	o.Plan(now)
	_, stored, changed := o.Save(now)
	if !changed {
		t.Fatal("no move was planned")
	}
	for _, c := range o.Calls(now) { // renewals that are due while the record is written
		if c.Release {
			t.Fatalf("%v is released before the record is stored", c.Span)
		}
		o.CallEnded(now, c, Done, "")
	}
	stored()
	now = now.Add(time.Millisecond)
	released := 0
	for _, c := range o.Calls(now) {
		if c.Release && c.Upstream == "a" {
			released++
		}
	}
	if released == 0 {
		t.Error("no release after the record of the move was stored")
	}
}

// Guards against the extrapolation of a surge that is too low, by which its keys would move
// a second time, or that stays too high.
func TestSurgeIsExtrapolated(t *testing.T) {
	const rate = 400 // requests per second for 60 keys
	lc := NewLoadCounter()
	spans := []Span{{0, 9999}, {10_000, maxKey}}
	for step := range 300 {
		lc.Decay(10 * time.Millisecond)
		for i := range rate / 100 {
			lc.Add(Key(500 + (step*rate/100+i)%60))
		}
		most := 2.4
		if step > 200 {
			most = 1.4
		}
		loads := lc.estimate(spans)
		if got := lc.Rate(spans[0]); step > 10 && (step < 100 && !loads[0].surging || got < rate*0.8 || got > rate*most) {
			t.Fatalf("%d ms after the start: estimated %.0f requests/s, surging %t, want %d", step*10, got, loads[0].surging, rate)
		}
	}
}

// Guards against shares that refuse requests for the other keys of a holder, or that admit
// more than it serves.
func TestHottestKeysAreReduced(t *testing.T) {
	keys := []keyLoad{{1, 2}, {2, 200}, {3, 40}, {4, 1}}
	got, admitted := reduceHottest(slices.Clone(keys), 23/hotKeyLoad), 3.0
	for _, share := range got {
		admitted += share.Share * keys[share.Key-1].rate
	}
	if diff := cmp.Diff([]KeyShare{{2, 0.05}, {3, 0.25}}, got, cmpopts.EquateApprox(1e-9, 0)); diff != "" || math.Abs(admitted-23) > 1e-9 {
		t.Errorf("%s; %v requests/s admitted, want 23", diff, admitted)
	}
	if got := reduceHottest(keys, 250); got != nil {
		t.Errorf("shares %v of keys that fit", got)
	}
}

// BenchmarkPlan measures one plan of a service with 231 upstreams and 1,400 requests/s.
func BenchmarkPlan(b *testing.B) {
	now := start
	o := NewCoordinator(now, 1, timing, Record{})
	var ids []fleet.UpstreamID
	for i := range 231 {
		ids = append(ids, fleet.UpstreamID(fmt.Sprintf("u%03d", i)))
	}
	o.SetUpstreams(now, archive, usableUpstreams(ids...))
	step := func() {
		now = now.Add(100 * time.Millisecond)
		if lc := o.LoadCounter(archive); lc != nil {
			for i := range 140 {
				lc.Add(Key(i * 7919 * int(now.UnixMilli()/100%1000)))
			}
		}
		o.Plan(now)
		if _, stored, changed := o.Save(now); changed {
			stored()
		}
		for _, c := range o.Calls(now) {
			o.CallEnded(now, c, Done, "")
		}
	}
	for range 100 {
		step()
	}
	for b.Loop() {
		step()
	}
}
