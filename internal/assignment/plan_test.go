package assignment

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/platform"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
	"pgregory.net/rapid"
)

// applyRandomEvent changes the planner's input by one random event.
func (fx *fixture) applyRandomEvent(t *rapid.T) {
	up := fmt.Sprintf("u%d", rapid.IntRange(0, 5).Draw(t, "upstream"))
	inst := fleet.InstanceID(fmt.Sprintf("i%d", rapid.IntRange(0, 3).Draw(t, "instance")))
	zone := fmt.Sprintf("z%d", rapid.IntRange(0, 2).Draw(t, "zone"))
	on := rapid.Bool().Draw(t, "yes")
	r := fx.reports[fleet.UpstreamID(up)]
	switch rapid.IntRange(0, 12).Draw(t, "event") {
	case 0, 1:
		fx.listUpstream(up, "s", zone, rapid.SampledFrom([]platform.State{platform.StateLive, platform.StateLive, platform.StateLeaving}).Draw(t, "state"))
	case 2:
		delete(fx.listed, up)
	case 3:
		fx.joinInstance(string(inst), zone, rapid.SampledFrom([]string{"b1", "b2"}).Draw(t, "boot"))
	case 4:
		fx.lost[inst] = on
	case 5:
		fx.leaving[inst] = on
	case 6:
		fx.setOutOfService(catalogue.OutageZone, zone, on)
	case 7:
		fx.setOutOfService(catalogue.OutageUpstream, up, on)
	case 8:
		fx.setSlotLimit(fleet.UpstreamID(up), fleet.Slots(rapid.IntRange(0, 6).Draw(t, "limit")))
		return
	case 9:
		r.Lost = on
	case 10:
		fx.learned = on
	case 11:
		fx.grantsReported = on
	case 12:
		r.Load = rapid.Float64Range(0, 500).Draw(t, "load")
		r.Hot = nil
		if on {
			r.Hot = []HotKey{{Key: fleet.RoutingKey("k" + up), Rate: r.Load / 2}}
		}
		fx.now = fx.now.Add(4 * time.Second)
	}
	for id, b := range fx.lost {
		if !b {
			delete(fx.lost, id)
		}
	}
	for id, b := range fx.leaving {
		if !b {
			delete(fx.leaving, id)
		}
	}
	fx.reports[fleet.UpstreamID(up)] = r
}

func randomFixture(t *rapid.T) *fixture {
	fx := newFixture()
	fx.addService("s", rapid.IntRange(1, 24).Draw(t, "shards"), 6, 1)
	fx.addService("t", 2, 6, 6)
	fx.joinInstance("i0", "z0", "b1")
	for i := range rapid.IntRange(1, 6).Draw(t, "upstreams") {
		id := fmt.Sprintf("u%d", i)
		fx.listUpstream(id, "s", fmt.Sprintf("z%d", i%3), platform.StateLive)
		fx.setSlotLimit(fleet.UpstreamID(id), 6)
	}
	fx.listUpstream("v", "t", "z0", platform.StateLive)
	return fx
}

// TestPlanInvariants applies random events, checks each plan with checkStep, and
// checks that the planner reaches a state in which it makes no more changes. It
// guards against two owners of a unit, fences that decrease, previous owners removed
// before the grant, member list changes before the last one was learned, and units
// that refer to an upstream missing from the table.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fx := randomFixture(t)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			fx.applyRandomEvent(t)
			if _, _, err := fx.plan(); err != nil {
				t.Fatal(err)
			}
		}
		if err := fx.settle(); err != nil {
			t.Fatal(err)
		}
		// Optional moves are made only once the last plan was learned.
		fx.learned = true
		if err := fx.settle(); err != nil {
			t.Fatal(err)
		}
		fx.checkSettled(t)
	})
}

// checkSettled checks the distribution of shards once the planner makes no more
// changes.
func (fx *fixture) checkSettled(t *rapid.T) {
	shards := map[fleet.UpstreamID]int{}
	for _, o := range fx.current.Units {
		if o.Unit.Service == "s" && o.Unit.Pin == "" {
			shards[o.Owner]++
		}
	}
	allWarm, anyUsable := true, false
	low, high := 1<<30, 0
	for _, u := range fx.current.Upstreams {
		_, out := fx.catalogue.Out(catalogue.OutageUpstream, string(u.ID))
		_, zone := fx.catalogue.Out(catalogue.OutageZone, string(u.Zone))
		if u.Service != "s" || out || zone || u.State != Live || u.Dispatcher == "" {
			continue
		}
		anyUsable = true
		allWarm = allWarm && fx.reports[u.ID].Limit == 6
		low, high = min(low, shards[u.ID]), max(high, shards[u.ID])
		delete(shards, u.ID)
	}
	if allWarm && anyUsable && fx.grantsReported && high > low+1 {
		t.Fatalf("between %d and %d shards per upstream:%s", low, high, fx.ownerSummary())
	}
	if anyUsable && fx.grantsReported && len(shards) > 0 {
		t.Fatalf("unusable upstreams own shards although others are usable: %v", shards)
	}
}

// TestLossMovesOnlyItsUnits guards against moving units of other upstreams when an
// upstream is lost.
func TestLossMovesOnlyItsUnits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fx := randomFixture(t)
		if err := fx.settle(); err != nil {
			t.Fatal(err)
		}
		owned := 0
		for _, o := range fx.current.Units {
			if o.Owner == "u0" {
				owned++
			}
		}
		fx.reports["u0"] = Report{Lost: true}
		moves, _, err := fx.plan()
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range moves {
			if m.Unit.Service != "" && m.From == "u0" {
				owned--
			} else if m.Unit.Service != "" {
				t.Fatalf("unit %s moved from %s: %s", m.Unit, m.From, m.Cause)
			}
		}
		if owned < 0 {
			t.Fatalf("%d more moves than units owned by the lost upstream", -owned)
		}
	})
}

// TestHome guards against a home that changes although its instance remains, and
// against a home on a draining instance.
func TestHome(t *testing.T) {
	a := &Assignment{}
	for i := range 5 {
		a.Members = append(a.Members, Member{ID: fleet.InstanceID(fmt.Sprintf("i%d", i))})
	}
	b := *a
	b.Draining = []fleet.InstanceID{"i2"}
	seen := map[fleet.InstanceID]bool{}
	for i := range 200 {
		id := fleet.AccountLimit(fleet.AccountID(fmt.Sprint(i)))
		before, after := a.Home(id), b.Home(id)
		seen[before] = true
		if after == "i2" || before != "i2" && after != before {
			t.Fatalf("%s: home %s, then %s", id, before, after)
		}
	}
	if len(seen) != 5 {
		t.Fatalf("homes %v, want all 5 members", seen)
	}
}

// largeFixture returns a fixture with n shards in services of at most 10,000 shards,
// with an assignment in which all shards have owners.
func largeFixture(n int) *fixture {
	fx := newFixture()
	for i := range 12 {
		fx.joinInstance(fmt.Sprintf("i%02d", i), fmt.Sprintf("z%d", i%4), "b")
	}
	for s := 0; s*10_000 < n; s++ {
		service := fmt.Sprintf("s%03d", s)
		fx.addService(service, min(n, 10_000), 6, 1)
		for u := range 32 {
			id := fmt.Sprintf("%s-u%02d", service, u)
			fx.listUpstream(id, service, fmt.Sprintf("z%d", u%4), platform.StateLive)
			fx.setSlotLimit(fleet.UpstreamID(id), 6)
		}
	}
	in := fx.input()
	for range 2 {
		in.Current, _, _ = Plan(fx.now, in)
	}
	fx.current = in.Current
	return fx
}

func benchmarkSizes(b *testing.B, f func(b *testing.B, fx *fixture)) {
	for _, n := range []int{1e3, 1e4, 1e5, 1e6} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			fx := largeFixture(n)
			b.ReportAllocs()
			b.ResetTimer()
			f(b, fx)
		})
	}
}

func BenchmarkPlanUnchanged(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, fx *fixture) {
		in := fx.input()
		for b.Loop() {
			if _, _, changed := Plan(fx.now, in); changed {
				b.Fatal("plan changed the assignment")
			}
		}
	})
}

func BenchmarkPlanUpstreamLost(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, fx *fixture) {
		in := fx.input()
		in.Reports["s000-u00"] = Report{Lost: true}
		for b.Loop() {
			if _, _, changed := Plan(fx.now, in); !changed {
				b.Fatal("plan did not change the assignment")
			}
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, fx *fixture) {
		for b.Loop() {
			b.ReportMetric(float64(len(fx.current.Encode())), "bytes")
		}
	})
}

func BenchmarkDecode(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, fx *fixture) {
		data := fx.current.Encode()
		for b.Loop() {
			if _, err := Decode(data); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkOwner(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, fx *fixture) {
		for b.Loop() {
			if _, ok := fx.current.Owner("s000", "some-key", 10_000); !ok {
				b.Fatal("no owner")
			}
		}
	})
}
