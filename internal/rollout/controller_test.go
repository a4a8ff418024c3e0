package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-faster/jx"
	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

var testOrder = Order{Service: "svc", Target: "v2", Duration: 12 * time.Second, Revision: 9}

// testInput returns the state of a roll-out with the given responses of the new version.
func testInput(good, bad int) Input {
	r := &RouteTally{Old: Tally{Sent: 2000, Good: 2000}, New: Tally{Sent: good + bad, Good: good, Bad: bad, Bads: 5}}
	r.Old.Times[8], r.New.Times[8] = 2000, good
	return Input{Totals: Totals{Arrivals: 2000 + good + bad, Routes: map[string]*RouteTally{"a": r}}, Upstreams: 10, Mature: 10, Others: 10}
}

// stepUntil takes steps, whose records are stored, until the roll-out has a phase.
func stepUntil(t *testing.T, c *Controller, now time.Time, in Input, p Phase) time.Time {
	t.Helper()
	for range 100 {
		c.Step(now, in)
		if _, due := c.Save(); due {
			c.Saved(now, true)
		}
		if c.Record().Phase == p {
			return now
		}
		now = now.Add(100 * time.Millisecond)
	}
	t.Fatalf("phase %s after 10 s, want %s", c.Record().Phase, p)
	return now
}

// Guards against a share that rises although its record is not stored, and against a
// rollback that waits for the store.
func TestSharesWithoutStore(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewController(now, simBounds, testOrder, 1)
	now = stepUntil(t, c, now, testInput(0, 0), PhaseProbe)
	for range 90 {
		now = now.Add(100 * time.Millisecond)
		c.Step(now, testInput(100, 0))
		if _, due := c.Save(); due {
			c.Saved(now, false)
		}
	}
	if d := c.Directive(); d.Share != probeShare {
		t.Errorf("share %v after 9 s without the store, want %v", d.Share, probeShare)
	}
	c.Step(now, testInput(100, 30))
	if d := c.Directive(); d.Share != 0 || c.Record().Phase != PhaseRolledBack || c.Stored() {
		t.Errorf("after 30 bad responses: %+v, phase %s, stored %t; want a rollback that is not stored", d, c.Record().Phase, c.Stored())
	}
	if r, due := c.Save(); !due || r.Phase != PhaseRolledBack {
		t.Errorf("record to store: %+v, %t, want the rollback", r, due)
	}
}

// Guards against a leader that continues a roll-out which its predecessor has decided to
// roll back, but has not recorded.
func TestLeaderLostBeforeRollbackIsStored(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewController(now, simBounds, testOrder, 1)
	now = stepUntil(t, c, now, testInput(0, 0), PhaseMeasure)
	stored := c.Record()
	c.Step(now, testInput(10, 10))
	if c.Record().Phase != PhaseRolledBack {
		t.Fatalf("phase %s, want a rollback", c.Record().Phase)
	}
	next := Continue(now, simBounds, stored, 1000)
	next.Step(now, testInput(10, 10))
	if next.Record().Phase != PhaseRolledBack || next.Directive().Share != 0 || next.Directive().Step <= c.Directive().Step {
		t.Errorf("the next leader: %s, %+v, want a rollback", next.Record().Phase, next.Directive())
	}
}

// Guards against a final roll-out that is undone, by a withdrawn order or by bad responses,
// after instances may have stopped using the old version, and against one that is completed
// while an instance may have requests there.
func TestFinalIsCompleted(t *testing.T) {
	now := time.Unix(1000, 0)
	c := Continue(now, simBounds, Record{Order: testOrder, Phase: PhaseFinal, Share: 1}, 1)
	in := testInput(100, 60)
	for _, change := range []func(*Input){
		func(in *Input) { in.Behind = 1 }, func(in *Input) { in.OldOpen = 1 }, func(in *Input) { in.Silent = 1 }, func(in *Input) { in.OldHolders = true },
	} {
		blocked := in
		change(&blocked)
		now = now.Add(200 * time.Millisecond)
		c.Step(now, blocked)
		if _, due := c.Save(); due || !c.Directive().Final {
			t.Errorf("with %+v the roll-out goes on", blocked)
		}
	}
	if c.Withdraw(now) {
		t.Error("a final roll-out was withdrawn")
	}
	stepUntil(t, c, now, in, PhaseCompleted)
	if !c.Withdraw(now) {
		t.Error("a completed roll-out has not ended")
	}
}

// Guards against a roll-out without an end if the version has no upstreams, or if all
// upstreams have the version already.
func TestVersionsWithoutUpstreams(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewController(now, simBounds, testOrder, 1)
	in := testInput(0, 0)
	in.Upstreams, in.Mature = 0, 0
	for range 3 {
		c.Step(now, in)
		c.Save()
		c.Saved(now, true)
		now = now.Add(testOrder.Duration)
	}
	if r := c.Record(); r.Phase != PhaseRolledBack || r.Reason != "no-upstreams" {
		t.Errorf("without upstreams: %+v", r)
	}
	c = NewController(now, simBounds, testOrder, 1)
	in.Upstreams, in.Others = 5, 0
	stepUntil(t, c, now, in, PhaseCompleted)
}

// Guards against requests to the new version by an instance that has heard nothing from the
// leader for 2 s, and against a final roll-out that such an instance undoes.
func TestSilentLeader(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGate(rand.New(rand.NewPCG(1, 2)))
	d := Directive{Service: "svc", Target: "v2", Order: 9, Step: 1, Share: 1}
	list := []Upstream{{"old", "svc", "v1", true}, {"new", "svc", "v2", true}}
	g.Classify(now, now, nil, list[:1])
	g.SetDirectives(now, []Directive{d})
	if !g.Pick(now.Add(MaxSilence-1), "svc", "a") || g.Pick(now.Add(MaxSilence), "svc", "a") || g.MayTry(now.Add(MaxSilence), "svc") {
		t.Error("want requests to the new version until the leader has been silent for 2 s")
	}
	d.Final = true
	g.SetDirectives(now, []Directive{d})
	uses := g.Classify(now.Add(time.Minute), now, nil, list)
	if diff := cmp.Diff(map[fleet.UpstreamID]Use{"old": UseNone}, uses); diff != "" {
		t.Error(diff)
	}
}

// Guards against requests to a version that nobody has ordered, for the time in which an
// order may follow, and against upstreams that are never used because nobody orders them.
func TestVersionsWithoutOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	old := []Upstream{{"a", "svc", "v1", true}, {"b", "svc", "", true}, {"c", "svc", "v0", true}}
	list := append(old, Upstream{"d", "svc", "v2", true}, Upstream{"e", "svc", "", true})
	held := map[fleet.UpstreamID]Use{"d": UseNone}
	orders := map[fleet.ServiceID]Order{"svc": testOrder}
	g := NewGate(rand.New(rand.NewPCG(1, 2)))
	fresh := NewGate(rand.New(rand.NewPCG(1, 2)))
	for _, c := range []struct {
		name        string
		g           *Gate
		now         time.Duration
		confirmedAt time.Duration
		orders      map[fleet.ServiceID]Order
		list        []Upstream
		want        map[fleet.UpstreamID]Use
	}{
		{"first list", g, 0, 0, nil, old, map[fleet.UpstreamID]Use{}},
		{"new version", g, 10 * time.Second, 10 * time.Second, nil, list, held},
		{"store away", g, 20 * time.Second, 12 * time.Second, nil, list, held},
		{"ordered", g, 21 * time.Second, 21 * time.Second, orders, list, held},
		{"withdrawn", g, 22 * time.Second, 22 * time.Second, nil, list, held},
		{"never ordered", g, 25 * time.Second, 25 * time.Second, nil, list, map[fleet.UpstreamID]Use{}},
		{"instance that starts during a roll-out", fresh, 0, 0, orders, list, held},
		{"all upstreams have the version", NewGate(rand.New(rand.NewPCG(1, 2))), 0, 0, orders, list[3:4], map[fleet.UpstreamID]Use{}},
	} {
		if diff := cmp.Diff(c.want, c.g.Classify(at(c.now), at(c.confirmedAt), c.orders, c.list)); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
	fresh.SetDirectives(start, []Directive{{Service: "svc", Target: "v2", Settled: true}})
	if diff := cmp.Diff(map[fleet.UpstreamID]Use{}, fresh.Classify(start, start, orders, list)); diff != "" {
		t.Errorf("settled: %s", diff)
	}
}

// Guards against evidence that is lost in messages, or replaced by an older report, or lost
// with a run of an instance, and against refused connections and slow responses of cold
// upstreams that count as faults of the version.
func TestEvidence(t *testing.T) {
	now := time.Unix(1000, 0)
	list := []Directive{{Service: "svc", Target: "v2", Order: 9, Step: 3, Share: 0.1}}
	g, c := NewGate(rand.New(rand.NewPCG(1, 2))), NewCollector("b1")
	g.SetDirectives(now, list)
	c.SetDirectives(list)
	c.Arrived("svc")
	send := func(version fleet.VersionID, cold bool) *Flight {
		return c.Sent(now, Upstream{"u", "svc", version, true}, "a", cold)
	}
	end := func(f *Flight, o Outcome) bool {
		defer c.Released(f)
		return c.Ended(now.Add(time.Second), f, o)
	}
	send("v1", false)
	urgent := []bool{end(send("v2", false), Good), end(send("v2", false), Unsent), end(send("v2", true), Lost), end(send("v1", false), Bad), end(send("v2", false), Bad)}
	if diff := cmp.Diff([]bool{false, false, false, false, true}, urgent); diff != "" {
		t.Errorf("urgent: %s", diff)
	}
	e := c.Evidence(now.Add(time.Second), g)[0]
	var enc jx.Encoder
	e.Encode(&enc)
	decoded, err := DecodeEvidence(jx.DecodeBytes(enc.Bytes()))
	if diff := cmp.Diff(e, decoded); err != nil || diff != "" {
		t.Error(err, diff)
	}
	a := NewAggregate(9)
	a.Merge("i1", e)
	a.Merge("i1", Evidence{Order: 9, Boot: "b1", Number: 0, Routes: map[string]*RouteTally{}})
	a.Merge("i1", Evidence{Order: 9, Boot: "b2", Number: 1, Arrivals: 5, Routes: map[string]*RouteTally{}})
	a.Merge("i2", Evidence{Order: 8, Boot: "b2", Number: 1, Arrivals: 7, Routes: map[string]*RouteTally{}})
	total := a.Totals()
	sum := total.all()
	if got := [...]int{total.Arrivals, sum.New.Sent, sum.New.Good, sum.New.Bad, sum.Old.Sent, sum.Old.Bad, e.OldOpen}; got != [...]int{6, 3, 1, 1, 2, 1, 1} {
		t.Errorf("arrivals, new sent, good and bad, old sent, bad and open: %v", got)
	}
}

// Guards against progress that another leader cannot read.
func TestRecord(t *testing.T) {
	r := Record{Order: testOrder, Phase: PhaseShift, Share: 0.25, Elapsed: 7 * time.Second, Sent: 100, Arrivals: 1400, Reason: "x", Settled: true}
	got, err := DecodeRecord(r.Encode())
	if diff := cmp.Diff(r, got); err != nil || diff != "" {
		t.Error(err, diff)
	}
	if _, err := DecodeRecord([]byte(`{"phase":"great"}`)); err == nil {
		t.Error("an unknown phase was accepted")
	}
}
