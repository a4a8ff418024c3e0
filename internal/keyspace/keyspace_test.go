package keyspace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const archive fleet.ServiceID = "archive"

var (
	start  = time.Unix(1_700_000_000, 0)
	timing = Timing{Hold: 5 * time.Second, Renew: time.Second, Retry: 300 * time.Millisecond}
)

// fakeUpstreams executes calls as upstreams do. It keeps the expiry of the grant and
// the highest fencing token of every key at each upstream, and fails the test when two
// upstreams hold the same key.
type fakeUpstreams struct {
	t         *testing.T
	holdEnds  map[fleet.UpstreamID]map[Key]time.Time
	fences    map[fleet.UpstreamID]map[Key]fleet.Fence
	silent    map[fleet.UpstreamID]bool
	gone      map[fleet.UpstreamID]bool         // another upstream listens at the address
	restarted map[fleet.UpstreamID]fleet.BootID // by restarted upstream
}

func newFakeUpstreams(t *testing.T) *fakeUpstreams {
	return &fakeUpstreams{
		t: t, holdEnds: make(map[fleet.UpstreamID]map[Key]time.Time),
		fences: make(map[fleet.UpstreamID]map[Key]fleet.Fence), silent: make(map[fleet.UpstreamID]bool), gone: make(map[fleet.UpstreamID]bool), restarted: make(map[fleet.UpstreamID]fleet.BootID),
	}
}

// sampleStep is the distance between the keys that fakeUpstreams tracks; tracking all
// keys would be slow.
const sampleStep = 64

func (fakes *fakeUpstreams) answer(now time.Time, c Call) Result {
	switch {
	case fakes.silent[c.Upstream]:
		return NoAnswer
	case fakes.gone[c.Upstream]:
		return Gone
	case fakes.restarted[c.Upstream] != "" && fakes.restarted[c.Upstream] != c.Boot:
		return NotSent
	case c.Service != archive:
		return Done
	}
	return fakes.apply(now, now, c)
}

// apply executes c, which reached the upstream at the given time.
func (fakes *fakeUpstreams) apply(now, arrived time.Time, c Call) Result {
	if fakes.holdEnds[c.Upstream] == nil {
		fakes.holdEnds[c.Upstream], fakes.fences[c.Upstream] = make(map[Key]time.Time), make(map[Key]fleet.Fence)
	}
	until, fence := fakes.holdEnds[c.Upstream], fakes.fences[c.Upstream]
	for k := int(c.From) / sampleStep * sampleStep; k <= int(c.To); k += sampleStep {
		if k >= int(c.From) && !c.Release && fence[Key(k)] > c.Fence {
			return Conflict
		}
	}
	for k := int(c.From) / sampleStep * sampleStep; k <= int(c.To); k += sampleStep {
		key := Key(k)
		if k < int(c.From) {
			continue
		}
		if c.Release { // upstreams need not remember the fencing token of a release
			until[key] = time.Time{}
			continue
		}
		fence[key] = max(fence[key], c.Fence)
		until[key] = arrived.Add(c.Hold)
		for other, otherEnds := range fakes.holdEnds {
			if other != c.Upstream && now.Before(otherEnds[key]) {
				fakes.t.Fatalf("%v after the start: %s was granted key %d, which %s holds for another %v", now.Sub(start), c.Upstream, key, other, otherEnds[key].Sub(now))
			}
		}
	}
	return Done
}

// run executes the plans and calls of o for the time d and stores each record at once.
// It returns the last record.
func run(o *Coordinator, fakes *fakeUpstreams, now *time.Time, d time.Duration) Record {
	var last Record
	for end := now.Add(d); now.Before(end); *now = now.Add(50 * time.Millisecond) {
		o.Plan(*now)
		if rec, stored, changed := o.Save(*now); changed {
			last = rec
			stored()
		}
		for _, c := range o.Calls(*now) {
			o.CallEnded(*now, c, fakes.answer(*now, c), "warm")
		}
	}
	return last
}

func usableUpstreams(ids ...fleet.UpstreamID) []Upstream {
	var list []Upstream
	for _, id := range ids {
		list = append(list, Upstream{ID: id, Boot: "1", Usable: true, Capacity: 20})
	}
	return list
}

// Guards against a lookup that finds the holder only for the first key of a span.
func TestHolderInsideSpan(t *testing.T) {
	m := Map{Services: map[fleet.ServiceID][]HeldSpan{archive: {
		{Span{0, 9}, "a"}, {Span{10, 10}, "b"}, {Span{11, maxKey}, "c"},
	}}}
	for k, want := range map[Key]fleet.UpstreamID{0: "a", 5: "a", 9: "a", 10: "b", 11: "c", 4000: "c", maxKey: "c"} {
		if diff := cmp.Diff(want, m.Holder(archive, k)); diff != "" {
			t.Errorf("key %d: %s", k, diff)
		}
	}
}

// Guards against keys without a holder, and against load that stays on one
// upstream after a few neighbouring keys have become busy.
func TestBusyKeysAreSpread(t *testing.T) {
	now := start
	o, fakes := NewCoordinator(now, 1, timing, Record{}), newFakeUpstreams(t)
	o.SetUpstreams(now, archive, usableUpstreams("a", "b", "c"))
	run(o, fakes, &now, 3*time.Second)
	for range 80 {
		for k := range Key(60) {
			o.LoadCounter(archive).Add(1000 + k)
		}
		run(o, fakes, &now, 100*time.Millisecond)
	}
	m, _ := o.Map()
	got := make(map[fleet.UpstreamID]int)
	for k := range Key(60) {
		got[m.Holder(archive, 1000+k)]++
	}
	if len(got) < 3 || got[""] > 0 {
		t.Errorf("holders of the busy keys: %v", got)
	}
}

// Guards against a single busy key that stays on an upstream which is too slow for
// it. No part of that load could be moved to make the utilisations equal.
func TestHotKeyGoesToFastUpstream(t *testing.T) {
	now := start
	o, fakes := NewCoordinator(now, 1, timing, Record{}), newFakeUpstreams(t)
	list := usableUpstreams("a", "b", "c")
	list[0].Capacity, list[1].Capacity, list[2].Capacity = 14, 14, 32
	list[0].Speed, list[1].Speed, list[2].Speed = 0.7, 0.7, 1.6
	o.SetUpstreams(now, archive, list)
	run(o, fakes, &now, 3*time.Second)
	for range 20 {
		o.LoadCounter(archive).Add(1000)
		o.LoadCounter(archive).Add(1000)
		run(o, fakes, &now, 100*time.Millisecond)
	}
	m, _ := o.Map()
	if diff := cmp.Diff(fleet.UpstreamID("c"), m.Holder(archive, 1000)); diff != "" {
		t.Error(diff)
	}
}

// Guards against a key that two upstreams hold after two changes of the leader during a
// move: the first leader stored the move without executing it, and the second stores a
// record of its own before the former holder's grants have expired.
func TestMoveSurvivesTwoLeaders(t *testing.T) {
	now := start
	o, fakes := NewCoordinator(now, 1, timing, Record{}), newFakeUpstreams(t)
	o.SetUpstreams(now, archive, usableUpstreams("a", "b"))
	run(o, fakes, &now, 3*time.Second)
	// The first leader plans to move all keys to b, stores the record and stops.
	o.SetUpstreams(now, archive, []Upstream{{ID: "a", Boot: "1", Capacity: 20}, {ID: "b", Boot: "1", Usable: true, Capacity: 20}})
	o.Plan(now)
	rec, _, changed := o.Save(now)
	if !changed {
		t.Fatal("no move was planned")
	}
	for term := fleet.Revision(2); term <= 3; term++ {
		now = now.Add(500 * time.Millisecond)
		o = NewCoordinator(now, term, timing, rec)
		o.SetUpstreams(now, archive, usableUpstreams("a", "b", "c"))
		o.SetUpstreams(now, "other", usableUpstreams("x")) // makes the second leader store a record
		if next := run(o, fakes, &now, 1500*time.Millisecond); next.Services != nil {
			rec = next
		}
	}
	run(o, fakes, &now, 10*time.Second)
	if st := o.Stats(); st.Held != st.Shards {
		t.Errorf("not all shards are held: %+v", st)
	}
}

// Guards against keys of a silent upstream that are granted to another one before its
// grants have expired, and against keys that no other upstream ever gets.
func TestSilentHolderLosesKeys(t *testing.T) {
	now := start
	o, fakes := NewCoordinator(now, 1, timing, Record{}), newFakeUpstreams(t)
	o.SetUpstreams(now, archive, usableUpstreams("a", "b", "c"))
	run(o, fakes, &now, 3*time.Second)
	fakes.silent["a"] = true
	run(o, fakes, &now, 8*time.Second)
	m, _ := o.Map()
	for _, s := range m.Services[archive] {
		if s.Holder == "a" || s.Holder == "" {
			t.Errorf("keys %d-%d are held by %q", s.From, s.To, s.Holder)
		}
	}
}

// Guards against a renewal that arrives late and makes the former holder take the keys
// again after their release.
func TestLateRenewalIsRefused(t *testing.T) {
	now := start
	o, fakes := NewCoordinator(now, 1, timing, Record{}), newFakeUpstreams(t)
	o.SetUpstreams(now, archive, usableUpstreams("a", "b"))
	run(o, fakes, &now, 3*time.Second)
	var late []Call
	for len(late) == 0 {
		now = now.Add(100 * time.Millisecond)
		for _, c := range o.Calls(now) {
			if c.Upstream == "a" {
				late = append(late, c)
				o.CallEnded(now, c, NoAnswer, "")
				continue
			}
			o.CallEnded(now, c, fakes.answer(now, c), "")
		}
	}
	o.SetUpstreams(now, archive, []Upstream{{ID: "a", Boot: "1", Capacity: 20}, {ID: "b", Boot: "1", Usable: true, Capacity: 20}})
	arrived := now
	run(o, fakes, &now, time.Second)
	for _, c := range late {
		if diff := cmp.Diff(Conflict, fakes.apply(now, arrived, c)); diff != "" {
			t.Error(diff)
		}
	}
}

// Guards against a wait for the grants of a restarted upstream, which ended with its
// process.
func TestRestartedHolderIsReplacedAtOnce(t *testing.T) {
	now := start
	o, fakes := NewCoordinator(now, 1, timing, Record{}), newFakeUpstreams(t)
	o.SetUpstreams(now, archive, usableUpstreams("a", "b"))
	run(o, fakes, &now, 3*time.Second)
	delete(fakes.holdEnds, "a")
	fakes.restarted["a"] = "2"
	list := usableUpstreams("a", "b")
	list[0].Boot, list[0].Cold = "2", true
	o.SetUpstreams(now, archive, list)
	run(o, fakes, &now, 300*time.Millisecond)
	if st := o.Stats(); st.Held != st.Shards {
		t.Errorf("not all shards are held: %+v", st)
	}
}

// Guards against keys that are granted to another upstream at once because their holder
// has restarted, although grants had reached the new process before the leader learned
// of the restart.
func TestRestartLearnedAfterGrants(t *testing.T) {
	now := start
	o, fakes := NewCoordinator(now, 1, timing, Record{}), newFakeUpstreams(t)
	o.SetUpstreams(now, archive, usableUpstreams("a", "b"))
	run(o, fakes, &now, 3*time.Second)
	delete(fakes.holdEnds, "a")
	delete(fakes.fences, "a")
	run(o, fakes, &now, 2*time.Second) // renewals reach the new process
	fakes.restarted["a"] = "2"
	list := usableUpstreams("a", "b")
	list[0].Boot, list[0].Cold = "2", true
	o.SetUpstreams(now, archive, list)
	run(o, fakes, &now, 2*time.Second)
	if st := o.Stats(); st.Held != st.Shards {
		t.Errorf("not all shards are held: %+v", st)
	}
}

// Guards against a record that changes when it is encoded and decoded, and against
// invalid records that are accepted.
func TestRecordRoundTrip(t *testing.T) {
	rec := Record{NextFence: 7, Holds: map[fleet.ServiceID]time.Duration{archive: 4500 * time.Millisecond}, Services: map[fleet.ServiceID][]RecordShard{archive: {
		{Span: Span{0, 99}, Holder: "a", Boot: "1", Fence: 3},
		{Span: Span{100, maxKey}, Holder: "b", Boot: "2", Fence: 6, Moving: true},
	}}}
	got, err := DecodeRecord(rec.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(rec, got); diff != "" {
		t.Error(diff)
	}
	for name, text := range map[string]string{
		"gap":   `{"services":{"s":[{"from":0,"to":5},{"from":7,"to":65535}]}}`,
		"short": `{"services":{"s":[{"from":0,"to":5}]}}`,
		"text":  `{"next-fence":"x"}`,
	} {
		if _, err := DecodeRecord([]byte(text)); err == nil {
			t.Errorf("%s: invalid record was accepted", name)
		}
	}
}

// Guards against a map that differs from the leader's after a diff was applied to it.
func TestWithAppliesDiff(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	randomMap := func() *Map {
		m := &Map{Services: map[fleet.ServiceID][]HeldSpan{}}
		next := 0
		for next < Keys {
			to := min(maxKey, next+rng.IntN(20_000))
			fakes := HeldSpan{Span{Key(next), Key(to)}, fleet.UpstreamID([]string{"", "a", "b", "c"}[rng.IntN(4)])}
			m.Services[archive] = appendHeld(m.Services[archive], fakes)
			next = to + 1
		}
		return m
	}
	for range 500 {
		old, m := randomMap(), randomMap()
		if diff := cmp.Diff(m.Services, old.With(m.Version, m.Diff(old)).Services); diff != "" {
			t.Fatal(diff)
		}
	}
}

// Guards against an additional record for each move. The record before a move names the
// next holder. The one after it only spares a new leader a wait, and may be combined with
// the record of the next move, but must not be omitted.
func TestMoveIsRecordedOnce(t *testing.T) {
	const (
		recordDeadline = 700 * time.Millisecond // after the last decision
		moveTime       = 200 * time.Millisecond
		step           = 10 * time.Millisecond
	)
	now := start
	o, fakes := NewCoordinator(now, 1, timing, Record{}), newFakeUpstreams(t)
	o.SetUpstreams(now, archive, usableUpstreams("a", "b", "c"))
	run(o, fakes, &now, 3*time.Second)
	records := 0
	var last Record
	carryOutCalls := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(step) {
			if rec, stored, changed := o.Save(now); changed {
				records++
				last = rec
				stored()
			}
			for _, c := range o.Calls(now) {
				o.CallEnded(now, c, fakes.answer(now, c), "warm")
			}
		}
	}
	o.SetUpstreams(now, archive, usableUpstreams("a", "b"))
	o.Plan(now)
	carryOutCalls(moveTime)
	if moving := o.Stats().Moving; moving != 0 {
		t.Fatalf("%d shards still move after %v", moving, moveTime)
	}
	o.SetUpstreams(now, archive, usableUpstreams("a"))
	o.Plan(now)
	carryOutCalls(recordDeadline)
	if records != 3 {
		t.Errorf("%d records for two moves, want 3", records)
	}
	for _, p := range last.Services[archive] {
		if p.Moving || p.Holder != "a" {
			t.Errorf("the last record contains %+v, want shards held by a only", p)
		}
	}
}

// Guards against a leader that trusts an ownership record from before the store was
// restored: the former leader may have moved keys and issued higher fencing tokens since.
func TestRecordOfEarlierEraIsNotTrusted(t *testing.T) {
	now := start
	o, fakes := NewCoordinator(now, fleet.NewRevision(1, 5), timing, Record{Era: 1}), newFakeUpstreams(t)
	o.SetUpstreams(now, archive, usableUpstreams("a", "b"))
	old := run(o, fakes, &now, 10*time.Second)
	moved := NewCoordinator(now, fleet.NewRevision(1, 6), timing, old)
	moved.SetUpstreams(now, archive, usableUpstreams("b")) // the keys of a move to b
	run(moved, fakes, &now, 10*time.Second)

	restored := NewCoordinator(now, fleet.NewRevision(2, 3), timing, old)
	restored.SetUpstreams(now, archive, usableUpstreams("a", "b"))
	restored.SetUpstreams(now, "new", usableUpstreams("c")) // a service that the record lacks
	elected := now
	holdsEnd := elected.Add(timing.Hold + staleLeaderTime)
	for now.Before(elected.Add(20 * time.Second)) {
		now = now.Add(50 * time.Millisecond)
		restored.Plan(now)
		if _, onStored, changed := restored.Save(now); changed {
			onStored()
		}
		for _, c := range restored.Calls(now) {
			if !c.Release && now.Before(holdsEnd) {
				t.Fatalf("granted %v to %s %v after the election, while grants of the former leader may be valid", c.Span, c.Upstream, now.Sub(elected))
			}
			if c.Fence < fleet.FirstFence(2) {
				t.Fatalf("fence %d is not above all of era 1", c.Fence)
			}
			restored.CallEnded(now, c, fakes.answer(now, c), "warm")
		}
	}
	if st := restored.Stats(); st.Shards == 0 || st.Held != st.Shards {
		t.Errorf("%d of %d shards are held 20 s after the election", st.Held, st.Shards)
	}
}

// Guards against a leader that loses what it knows when the store is restored: it keeps
// its grants, stores its record again before it moves keys, and issues tokens of the new
// era.
func TestReelectedLeaderKeepsItsGrants(t *testing.T) {
	now := start
	o, fakes := NewCoordinator(now, fleet.NewRevision(1, 5), timing, Record{Era: 1}), newFakeUpstreams(t)
	o.SetUpstreams(now, archive, usableUpstreams("a", "b"))
	run(o, fakes, &now, 10*time.Second)
	before, _ := o.Map()
	if before == nil {
		before = &Map{}
	}
	o.Reelected(fleet.NewRevision(2, 3))
	after, changed := o.Map()
	if !changed || !before.Version.Less(after.Version) {
		t.Errorf("map version %v after %v, changed %t", after.Version, before.Version, changed)
	}
	if st := o.Stats(); st.Held != st.Shards {
		t.Errorf("%d of %d shards are held after the new election", st.Held, st.Shards)
	}
	o.SetUpstreams(now, archive, usableUpstreams("b"))
	o.Plan(now)
	for _, c := range o.Calls(now.Add(time.Second)) {
		if c.Release {
			t.Errorf("%v is released before the record is stored", c.Span)
		}
	}
	rec, _, changed := o.Save(now)
	if !changed || rec.Era != 2 || rec.NextFence < fleet.FirstFence(2) {
		t.Errorf("record of era %d with next fence %d, changed %t", rec.Era, rec.NextFence, changed)
	}
	if decoded, err := DecodeRecord(rec.Encode()); err != nil || decoded.Era != 2 {
		t.Errorf("decoded era %d, error %v", decoded.Era, err)
	}
}
