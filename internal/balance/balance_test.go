package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const lookup fleet.ServiceID = "lookup"

var start = time.Unix(1_700_000_000, 0)

func newTable(self fleet.InstanceID, n int) *Table {
	t := New(self, rand.New(rand.NewPCG(1, 2)), func(fleet.ServiceID) (time.Duration, fleet.PerSecond) { return 3 * time.Second, 10 })
	t.Replace(start, registrations(n))
	return t
}

func registrations(n int) []Registration {
	var list []Registration
	for i := range n {
		list = append(list, Registration{ID: fleet.UpstreamID(fmt.Sprint("u", i)), Service: lookup, Zone: "a", Addr: fmt.Sprint("10.0.0.1:", i), Slots: 6, Boot: "1"})
	}
	return list
}

var query = Query{Service: lookup, Zone: "a", Target: 400 * time.Millisecond}

// sendAndEnd starts a request at e and ends it with result v after the time took.
func sendAndEnd(t *Table, now time.Time, e *Entry, v Verdict, took time.Duration) {
	t.Started(now, e)
	t.Ended(now.Add(took), e, v, took, &Load{Running: 1, Slots: 6, Slowdown: 1})
}

// Guards against a mean service time that a single very fast or slow answer determines.
// After one fast answer, an upstream was assigned most keys, and its queue then hid its
// real service time.
func TestMeanTimeResistsSingleOutlier(t *testing.T) {
	table := newTable("i", 4)
	now := start
	for i := range 200 {
		now = now.Add(10 * time.Millisecond)
		sendAndEnd(table, now, table.Get(fleet.UpstreamID(fmt.Sprint("u", 1+i%2))), Answered, 200*time.Millisecond)
	}
	sendAndEnd(table, now, table.Get("u3"), Answered, 20*time.Second)
	if got := table.LongMeanTime(now, table.Get("u3")); got > 0.4 {
		t.Errorf("mean service time = %v s after one slow answer; the service's is 0.2 s", got)
	}
	sendAndEnd(table, now, table.Get("u0"), Answered, time.Millisecond)
	if got := table.LongMeanTime(now, table.Get("u0")); got < 0.15 {
		t.Errorf("mean service time = %v s after one quick answer; the service's is 0.2 s", got)
	}
}

// Guards against requests to an upstream that is draining, that is unreachable, or
// whose zone is evacuated.
func TestChooseExcludesUnusableUpstreams(t *testing.T) {
	table := newTable("i", 2)
	now := start
	sendAndEnd(table, now, table.Get("u0"), Unreachable, 0)
	for range 20 {
		if e, _ := table.Choose(now, query); e.ID != "u1" {
			t.Fatalf("chose %s, which is unreachable", e.ID)
		}
	}
	list := registrations(2)
	list[1].Draining = true
	table.Replace(now, list)
	e, reason := table.Choose(now, query)
	if diff := cmp.Diff("upstreams-unreachable", reason); e != nil || diff != "" {
		t.Error(e, diff)
	}
	now = now.Add(time.Second)
	if e, _ := table.Choose(now, query); e == nil || e.ID != "u0" {
		t.Error("an unreachable upstream is not tried again after its ejection time")
	}
	table.Evacuate(now, map[fleet.ZoneID]bool{"a": true})
	if e, _ := table.Choose(now, query); e != nil {
		t.Errorf("chose %s in an evacuated zone", e.ID)
	}
}

// Guards against healthy upstreams that count as gone because their registrations
// expired during an outage of the store, and against draining ones that are kept.
func TestKeepMissing(t *testing.T) {
	table := newTable("i", 3)
	list := registrations(3)
	list[2].Draining = true
	table.Replace(start, list)
	var got []fleet.UpstreamID
	for _, r := range table.KeepMissing(registrations(1)) {
		got = append(got, r.ID)
	}
	if diff := cmp.Diff([]fleet.UpstreamID{"u0", "u1"}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against requests to an upstream that has said that it leaves and is listed as
// ready, and against avoiding its next run.
func TestSaidLeaving(t *testing.T) {
	for name, c := range map[string]struct {
		lists   func(t *Table, ready []Registration) // applied after the answer
		leaving bool
	}{
		"no list":                   {func(*Table, []Registration) {}, true},
		"late list":                 {func(tb *Table, ready []Registration) { tb.Replace(start, ready) }, true},
		"late list, kept draining":  {func(tb *Table, ready []Registration) { tb.Replace(start, tb.KeepDraining(ready)) }, true},
		"same run listed once more": {func(tb *Table, ready []Registration) { tb.Replace(start, ready[1:]); tb.Replace(start, ready) }, true},
		"evacuation and back": {func(tb *Table, _ []Registration) {
			tb.Evacuate(start, map[fleet.ZoneID]bool{"a": true})
			tb.Evacuate(start, nil)
		}, true},
		"new boot": {func(tb *Table, ready []Registration) {
			ready[0].Boot = "2"
			tb.Replace(start, tb.KeepDraining(ready))
		}, false},
		"new address": {func(tb *Table, ready []Registration) {
			ready[0].Addr = "10.0.0.9:1"
			tb.Replace(start, tb.KeepDraining(ready))
		}, false},
		"new address after a list": {func(tb *Table, ready []Registration) {
			tb.Replace(start, tb.KeepDraining(ready))
			ready[0].Addr = "10.0.0.9:1"
			tb.Replace(start, tb.KeepDraining(ready))
		}, false},
		"new boot after a gap": {func(tb *Table, ready []Registration) {
			tb.Replace(start, ready[1:])
			ready[0].Boot = "2"
			tb.Replace(start, ready)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable("i", 2)
			e := table.Get("u0")
			table.Started(start, e)
			if !table.SaidLeaving(start, e) || table.SaidLeaving(start.Add(time.Second), e) || !e.LeavingNotBefore().Equal(start) {
				t.Error("the first answer does not count, or a later one counts as the first")
			}
			c.lists(table, registrations(2))
			now := start.Add(10 * time.Second) // the next run is warm
			e = table.Get("u0")
			chosen := false
			for range 50 {
				got, _ := table.Choose(now, query)
				chosen = chosen || got == e
			}
			if e.Leaving() != c.leaving || table.Usable(e) == c.leaving || chosen == c.leaving {
				t.Errorf("leaving %t, usable %t, chosen %t; want leaving %t", e.Leaving(), table.Usable(e), chosen, c.leaving)
			}
		})
	}
}

// Guards against an answer of an earlier run that makes the present one count as leaving,
// and against keeping an upstream that left while its registration was missing.
func TestSaidLeavingBindsOneRun(t *testing.T) {
	table := newTable("i", 2)
	old := table.Get("u0")
	list := registrations(2)
	list[0].Boot = "2"
	table.Replace(start, list)
	table.SaidLeaving(start, old)
	if table.Get("u0").Leaving() {
		t.Error("an answer of the earlier run binds the next one")
	}
	table.SaidLeaving(start, table.Get("u1"))
	if got := table.KeepMissing(nil); len(got) != 1 || got[0].ID != "u0" {
		t.Errorf("kept %v, want u0 only", got)
	}
	if got, all := table.LeavingByAnswer()[lookup], table.States(start)[lookup][StateLeaving]; got != 1 || all != 1 {
		t.Errorf("%d upstreams are leaving, %d of them by their answers; want 1, 1", all, got)
	}
}

// Guards against requests to an upstream that has asked for a pause, against a pause that
// is shortened or outlasts its run, and against one without a bound.
func TestPause(t *testing.T) {
	table := newTable("i", 2)
	e := table.Get("u0")
	chosen := func(now time.Time) bool {
		for range 50 {
			if got, _ := table.Choose(now, query); got == e {
				return true
			}
		}
		return false
	}
	pause := func(after time.Duration, e *Entry, d, wantAdded time.Duration, wantBegan bool) {
		t.Helper()
		if added, began := table.Pause(start.Add(after), e, d); added != wantAdded || began != wantBegan {
			t.Errorf("a pause of %v after %v adds %v and begins: %t; want %v, %t", d, after, added, began, wantAdded, wantBegan)
		}
	}
	pause(0, e, 0, 0, false)
	pause(0, e, 2*time.Second, 2*time.Second, true)
	pause(0, e, time.Second, 0, false)
	if chosen(start.Add(1900*time.Millisecond)) || !chosen(start.Add(2*time.Second)) {
		t.Error("the pause is shortened by a later answer, or does not end")
	}
	pause(time.Second, e, 3*time.Second, 2*time.Second, false)
	if chosen(start.Add(3900 * time.Millisecond)) {
		t.Error("a later answer does not extend the pause")
	}
	table.Replace(start, registrations(2)[1:])
	table.Replace(start, registrations(2))
	if e = table.Get("u0"); chosen(start.Add(3 * time.Second)) {
		t.Error("the pause ends because the run is not listed for a moment")
	}
	if _, _, all := table.FirstResume(start, lookup); all {
		t.Error("all upstreams pause, want one that does not")
	}
	pause(0, table.Get("u1"), 24*time.Hour, MaxPause, true)
	resumes, _, all := table.FirstResume(start, lookup)
	if want := start.Add(4 * time.Second); !all || !resumes.Equal(want) {
		t.Errorf("first resumes at %v (%t), want %v", resumes, all, want)
	}
	if got, reason := table.Choose(start, query); got != nil || reason != "upstreams-paused" {
		t.Errorf("chose %v, reason %q", got, reason)
	}
	if got := table.States(start)[lookup][StatePaused]; got != 2 {
		t.Errorf("%d upstreams pause, want 2", got)
	}
	if until := table.Get("u1").PausedUntil(); !until.Equal(start.Add(MaxPause)) {
		t.Errorf("the longest pause ends after %v, want %v", until.Sub(start), MaxPause)
	}
	list := registrations(2)
	list[0].Boot = "2"
	table.Replace(start, list)
	if e = table.Get("u0"); !chosen(start.Add(time.Second)) {
		t.Error("the pause of a run binds the next one")
	}
}

// Guards against slow and failing upstreams that are sent as many requests as others.
func TestChoosePrefersFastUpstreams(t *testing.T) {
	table := newTable("i", 3)
	now := start
	for range 30 {
		now = now.Add(10 * time.Millisecond)
		sendAndEnd(table, now, table.Get("u0"), Answered, 900*time.Millisecond)
		sendAndEnd(table, now, table.Get("u1"), Failed, 5*time.Millisecond)
		sendAndEnd(table, now, table.Get("u2"), Answered, 100*time.Millisecond)
	}
	for range 20 {
		if e, _ := table.Choose(now, query); e.ID != "u2" {
			t.Fatalf("chose %s, want u2, the only fast upstream without failures", e.ID)
		}
	}
}

// Guards against a cold upstream that receives more requests than its limit from all
// instances together in any period of 1 s, and against one that receives none.
func TestColdBoundOverAllInstances(t *testing.T) {
	for _, n := range []int{3, 10, 12, 70} {
		var ids []fleet.InstanceID
		for i := range n {
			ids = append(ids, fleet.InstanceID(fmt.Sprint("i", i)))
		}
		var sent []time.Time
		cold := registrations(1)
		cold[0].ColdLeft = 10 * time.Second
		for _, id := range ids {
			table := newTable(id, 0)
			table.SetInstances(ids)
			table.Replace(start, cold)
			for at := start; at.Before(start.Add(5 * time.Second)); at = at.Add(20 * time.Millisecond) {
				if e, _ := table.Choose(at, query); e != nil {
					table.Started(at, e)
					sent = append(sent, at)
					sendAndEnd(table, at, e, Answered, 0)
				}
			}
		}
		const maxPerSecond = 10*1.5 + 5 // requests in a second, by the platform's limits
		for _, from := range sent {
			got := 0
			for _, at := range sent {
				if d := at.Sub(from); d >= 0 && d <= time.Second {
					got++
				}
			}
			if got > maxPerSecond {
				t.Fatalf("%d instances: %d requests in a second, at most %v are allowed", n, got, maxPerSecond)
			}
		}
		if len(sent) == 0 {
			t.Errorf("%d instances: a cold upstream is sent no requests", n)
		}
	}
	// When all instances have just started, none knows the others.
	table := newTable("i", 0)
	cold := registrations(1)
	cold[0].ColdLeft = time.Second
	table.Replace(start, cold)
	if e, _ := table.Choose(start, query); e != nil {
		t.Error("an instance that does not know the others sent a request to a cold upstream")
	}
}

// Guards against an upstream that counts as warm after it restarted with the same ID, or
// after the evacuation of its zone ended.
func TestColdAfterRestartOrEvacuation(t *testing.T) {
	table := newTable("i", 1)
	table.Evacuate(start, map[fleet.ZoneID]bool{"a": true})
	table.Evacuate(start, map[fleet.ZoneID]bool{})
	if !table.Get("u0").Cold(start.Add(time.Second)) {
		t.Error("an upstream is warm after an evacuation")
	}
	table = newTable("i", 1)
	list := registrations(1)
	list[0].Boot, list[0].ColdLeft = "2", 2*time.Second
	changes := table.Replace(start, list)
	if diff := cmp.Diff([]Change{{ID: "u0", Kind: "restarted"}}, changes); diff != "" || !table.Get("u0").Cold(start) {
		t.Error("a restarted upstream is not cold, or the changes are wrong: ", diff)
	}
}

// Guards against more retries by all instances together in any window than the budget
// allows.
func TestBudgetOverAllInstances(t *testing.T) {
	const instances, rate, ratio, extra = 10, 300, 0.2, 60
	window := 10 * time.Second
	var budgets []*RetryBudget
	for range instances {
		budgets = append(budgets, NewRetryBudget(ratio, extra, window))
	}
	rng := rand.New(rand.NewPCG(1, 2))
	var retries []time.Time
	now := start
	for now.Before(start.Add(40 * time.Second)) {
		now = now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		b := budgets[rng.IntN(instances)]
		b.Request(now, instances)
		for b.Take(now, instances) {
			retries = append(retries, now)
		}
	}
	first := 0
	for i, at := range retries {
		for at.Sub(retries[first]) >= window {
			first++
		}
		if got := i - first + 1; float64(got) > ratio*rate*window.Seconds()*0.95+extra {
			t.Fatalf("%d retries in a window are more than the budget allows", got)
		}
	}
	if len(retries) < 1000 {
		t.Errorf("%d retries in total, want at least 1000", len(retries))
	}
}

// Guards against an entry of an upstream that names far more slots than the others of its
// service, and then takes nearly all of their load.
func TestOneEntryCannotTakeTheLoad(t *testing.T) {
	const n = 12
	table := newTable("i", n)
	list := registrations(n)
	list[0].Slots = 1000
	table.Replace(start, list)
	sent := make(map[fleet.UpstreamID]int)
	const requests = 2 * 6 * n // twice the slots of the service
	for range requests {
		e, _ := table.Choose(start, query)
		table.Started(start, e)
		sent[e.ID]++
	}
	if share := float64(sent["u0"]) / requests; share > 0.4 {
		t.Errorf("%.0f%% of the requests were sent to the upstream of 12 that names 1000 slots: %v", 100*share, sent)
	}
	for _, want := range []fleet.Slots{6, 1000} { // the only upstream of a service, and one of two
		table.Replace(start, list[:1])
		if got := table.Get("u0").Slots; got != 1000 {
			t.Errorf("the only upstream has %d slots, want 1000", got)
		}
		list[1].Slots = want
		table.Replace(start, list[:2])
		if got := table.Get("u0").Slots; got != min(1000, maxSlotsRatio*want) {
			t.Errorf("one of two upstreams has %d slots, the other one %d", got, want)
		}
	}
}

// Guards against a failure that makes an old estimate of the service time count as fresh,
// although it brings no new one.
func TestFailureDoesNotRefreshServiceTime(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	table := New("i1", rand.New(rand.NewPCG(1, 2)), func(fleet.ServiceID) (time.Duration, fleet.PerSecond) { return 0, 0 })
	table.Replace(start, []Registration{{ID: "slow", Service: "s", Slots: 6}, {ID: "usual", Service: "s", Slots: 6}})
	for range 20 {
		table.Ended(start, table.Get("slow"), Answered, 800*time.Millisecond, nil)
		table.Ended(start, table.Get("usual"), Answered, 100*time.Millisecond, nil)
	}
	now := start.Add(time.Minute)
	before := table.ServiceTime(now, table.Get("slow"))
	table.Ended(now, table.Get("slow"), Failed, 5*time.Millisecond, nil)
	if after := table.ServiceTime(now, table.Get("slow")); after != before {
		t.Errorf("service time %.3f s before a failure, %.3f s after it", before, after)
	}
}
