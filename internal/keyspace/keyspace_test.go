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

// holders carries out calls like upstreams do: it keeps the end of the hold and the
// highest fence of every key, and fails the test when two upstreams hold a key.
type holders struct {
	t     *testing.T
	until map[fleet.UpstreamID]map[Key]time.Time
	fence map[fleet.UpstreamID]map[Key]fleet.Fence
	dark  map[fleet.UpstreamID]bool
	boot  map[fleet.UpstreamID]fleet.BootID // of those that restarted
}

func newHolders(t *testing.T) *holders {
	return &holders{
		t: t, until: make(map[fleet.UpstreamID]map[Key]time.Time),
		fence: make(map[fleet.UpstreamID]map[Key]fleet.Fence), dark: make(map[fleet.UpstreamID]bool), boot: make(map[fleet.UpstreamID]fleet.BootID),
	}
}

// sampled are the keys that the test follows; a full table would be slow.
const sampled = 64

func (h *holders) carryOut(now time.Time, c Call) Result {
	switch {
	case h.dark[c.Upstream]:
		return NoAnswer
	case h.boot[c.Upstream] != "" && h.boot[c.Upstream] != c.Boot:
		return NotSent
	case c.Service != archive:
		return Done
	}
	return h.apply(now, now, c)
}

// apply carries out c, which arrived at the given time.
func (h *holders) apply(now, arrived time.Time, c Call) Result {
	if h.until[c.Upstream] == nil {
		h.until[c.Upstream], h.fence[c.Upstream] = make(map[Key]time.Time), make(map[Key]fleet.Fence)
	}
	until, fence := h.until[c.Upstream], h.fence[c.Upstream]
	for k := int(c.From) / sampled * sampled; k <= int(c.To); k += sampled {
		if k >= int(c.From) && !c.Release && fence[Key(k)] > c.Fence {
			return Conflict
		}
	}
	for k := int(c.From) / sampled * sampled; k <= int(c.To); k += sampled {
		key := Key(k)
		if k < int(c.From) {
			continue
		}
		if c.Release { // the platform does not say that its fence counts as seen
			until[key] = time.Time{}
			continue
		}
		fence[key] = max(fence[key], c.Fence)
		until[key] = arrived.Add(c.Hold)
		for other, theirs := range h.until {
			if other != c.Upstream && now.Before(theirs[key]) {
				h.t.Fatalf("%v: %s is granted key %d, which %s holds for %v", now.Sub(start), c.Upstream, key, other, theirs[key].Sub(now))
			}
		}
	}
	return Done
}

// run drives o for d; each record is stored at once. It returns the last record.
func run(o *Owner, h *holders, now *time.Time, d time.Duration) Record {
	var last Record
	for end := now.Add(d); now.Before(end); *now = now.Add(50 * time.Millisecond) {
		o.Plan(*now)
		if rec, stored, changed := o.Save(*now); changed {
			last = rec
			stored()
		}
		for _, c := range o.Calls(*now) {
			o.Ended(*now, c, h.carryOut(*now, c), "warm")
		}
	}
	return last
}

func ready(ids ...fleet.UpstreamID) []Upstream {
	var list []Upstream
	for _, id := range ids {
		list = append(list, Upstream{ID: id, Boot: "1", Usable: true, Capacity: 20})
	}
	return list
}

// Guards against the search for a holder that finds only the first key of a span.
func TestHolderInsideSpan(t *testing.T) {
	m := Map{Services: map[fleet.ServiceID][]Held{archive: {
		{Span{0, 9}, "a"}, {Span{10, 10}, "b"}, {Span{11, maxKey}, "c"},
	}}}
	for k, want := range map[Key]fleet.UpstreamID{0: "a", 5: "a", 9: "a", 10: "b", 11: "c", 4000: "c", maxKey: "c"} {
		if diff := cmp.Diff(want, m.Holder(archive, k)); diff != "" {
			t.Errorf("key %d: %s", k, diff)
		}
	}
}

// Guards against keys without a holder, and against load that stays on one
// upstream when a few keys become busy.
func TestBusyKeysAreDivided(t *testing.T) {
	now := start
	o, h := NewOwner(now, 1, timing, Record{}), newHolders(t)
	o.SetUpstreams(now, archive, ready("a", "b", "c"))
	run(o, h, &now, 3*time.Second)
	for range 80 {
		for k := range Key(60) {
			o.Heat(archive).Add(1000 + k)
		}
		run(o, h, &now, 100*time.Millisecond)
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
// it, because no part of the load evens the two out.
func TestHotKeyGoesToFastUpstream(t *testing.T) {
	now := start
	o, h := NewOwner(now, 1, timing, Record{}), newHolders(t)
	list := ready("a", "b", "c")
	list[0].Capacity, list[1].Capacity, list[2].Capacity = 14, 14, 32
	list[0].Speed, list[1].Speed, list[2].Speed = 0.7, 0.7, 1.6
	o.SetUpstreams(now, archive, list)
	run(o, h, &now, 3*time.Second)
	for range 20 {
		o.Heat(archive).Add(1000)
		o.Heat(archive).Add(1000)
		run(o, h, &now, 100*time.Millisecond)
	}
	m, _ := o.Map()
	if diff := cmp.Diff(fleet.UpstreamID("c"), m.Holder(archive, 1000)); diff != "" {
		t.Error(diff)
	}
}

// Guards against a key that two upstreams hold when the second of two leaders in a
// row stores the record of a move that the first had planned but not carried out.
func TestMoveSurvivesTwoLeaders(t *testing.T) {
	now := start
	o, h := NewOwner(now, 1, timing, Record{}), newHolders(t)
	o.SetUpstreams(now, archive, ready("a", "b"))
	run(o, h, &now, 3*time.Second)
	// The first leader plans that everything goes to b, stores it and ends.
	o.SetUpstreams(now, archive, []Upstream{{ID: "a", Boot: "1", Capacity: 20}, {ID: "b", Boot: "1", Usable: true, Capacity: 20}})
	o.Plan(now)
	rec, _, changed := o.Save(now)
	if !changed {
		t.Fatal("no move was planned")
	}
	for term := uint64(2); term <= 3; term++ {
		now = now.Add(500 * time.Millisecond)
		o = NewOwner(now, term, timing, rec)
		o.SetUpstreams(now, archive, ready("a", "b", "c"))
		o.SetUpstreams(now, "other", ready("x")) // gives the second leader something to store
		if next := run(o, h, &now, 1500*time.Millisecond); next.Services != nil {
			rec = next
		}
	}
	run(o, h, &now, 10*time.Second)
	if st := o.Stats(); st.Held != st.Pieces {
		t.Errorf("pieces: %+v", st)
	}
}

// Guards against keys of a silent upstream that are given away before its hold has
// run out, and against those that are never given away.
func TestSilentHolder(t *testing.T) {
	now := start
	o, h := NewOwner(now, 1, timing, Record{}), newHolders(t)
	o.SetUpstreams(now, archive, ready("a", "b", "c"))
	run(o, h, &now, 3*time.Second)
	h.dark["a"] = true
	run(o, h, &now, 8*time.Second)
	m, _ := o.Map()
	for _, s := range m.Services[archive] {
		if s.Holder == "a" || s.Holder == "" {
			t.Errorf("keys %d-%d are held by %q", s.From, s.To, s.Holder)
		}
	}
}

// Guards against a renewal on its way that takes keys back after their release.
func TestLateRenewalIsRefused(t *testing.T) {
	now := start
	o, h := NewOwner(now, 1, timing, Record{}), newHolders(t)
	o.SetUpstreams(now, archive, ready("a", "b"))
	run(o, h, &now, 3*time.Second)
	var late []Call
	for len(late) == 0 {
		now = now.Add(100 * time.Millisecond)
		for _, c := range o.Calls(now) {
			if c.Upstream == "a" {
				late = append(late, c)
				o.Ended(now, c, NoAnswer, "")
				continue
			}
			o.Ended(now, c, h.carryOut(now, c), "")
		}
	}
	o.SetUpstreams(now, archive, []Upstream{{ID: "a", Boot: "1", Capacity: 20}, {ID: "b", Boot: "1", Usable: true, Capacity: 20}})
	arrived := now
	run(o, h, &now, time.Second)
	for _, c := range late {
		if diff := cmp.Diff(Conflict, h.apply(now, arrived, c)); diff != "" {
			t.Error(diff)
		}
	}
}

// Guards against a restarted upstream whose keys wait for a hold that ended with
// its process.
func TestRestartedHolder(t *testing.T) {
	now := start
	o, h := NewOwner(now, 1, timing, Record{}), newHolders(t)
	o.SetUpstreams(now, archive, ready("a", "b"))
	run(o, h, &now, 3*time.Second)
	delete(h.until, "a")
	h.boot["a"] = "2"
	again := ready("a", "b")
	again[0].Boot, again[0].Cold = "2", true
	o.SetUpstreams(now, archive, again)
	run(o, h, &now, 300*time.Millisecond)
	if st := o.Stats(); st.Held != st.Pieces {
		t.Errorf("pieces: %+v", st)
	}
}

// Guards against keys that are given away at once because their holder has restarted,
// although it was granted them again before the restart was known.
func TestRestartNoticedLate(t *testing.T) {
	now := start
	o, h := NewOwner(now, 1, timing, Record{}), newHolders(t)
	o.SetUpstreams(now, archive, ready("a", "b"))
	run(o, h, &now, 3*time.Second)
	delete(h.until, "a")
	delete(h.fence, "a")
	run(o, h, &now, 2*time.Second) // renewals reach the new process
	h.boot["a"] = "2"
	again := ready("a", "b")
	again[0].Boot, again[0].Cold = "2", true
	o.SetUpstreams(now, archive, again)
	run(o, h, &now, 2*time.Second)
	if st := o.Stats(); st.Held != st.Pieces {
		t.Errorf("pieces: %+v", st)
	}
}

// Guards against a record that is read back as another one.
func TestRecordRoundTrip(t *testing.T) {
	rec := Record{NextFence: 7, Services: map[fleet.ServiceID][]RecordPiece{archive: {
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
			t.Errorf("%s: accepted", name)
		}
	}
}

// Guards against a map that differs from the leader's after changes were applied.
func TestDiffAndWith(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	draw := func() *Map {
		m := &Map{Services: map[fleet.ServiceID][]Held{}}
		next := 0
		for next < Keys {
			to := min(maxKey, next+rng.IntN(20_000))
			h := Held{Span{Key(next), Key(to)}, fleet.UpstreamID([]string{"", "a", "b", "c"}[rng.IntN(4)])}
			m.Services[archive] = appendHeld(m.Services[archive], h)
			next = to + 1
		}
		return m
	}
	for range 500 {
		old, m := draw(), draw()
		if diff := cmp.Diff(m.Services, old.With(m.Version, m.Diff(old)).Services); diff != "" {
			t.Fatal(diff)
		}
	}
}

// Guards against a record for each step of a move: the one before it says who gets the
// keys, and the one after it only spares the next leader a wait, so that it may come
// with the record of the next move. It has to come.
func TestMoveIsRecordedOnce(t *testing.T) {
	const (
		told = 700 * time.Millisecond // after the last decision at most
		gap  = 200 * time.Millisecond
		step = 10 * time.Millisecond
	)
	now := start
	o, h := NewOwner(now, 1, timing, Record{}), newHolders(t)
	o.SetUpstreams(now, archive, ready("a", "b", "c"))
	run(o, h, &now, 3*time.Second)
	records := 0
	var last Record
	during := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(step) {
			if rec, stored, changed := o.Save(now); changed {
				records++
				last = rec
				stored()
			}
			for _, c := range o.Calls(now) {
				o.Ended(now, c, h.carryOut(now, c), "warm")
			}
		}
	}
	o.SetUpstreams(now, archive, ready("a", "b"))
	o.Plan(now)
	during(gap)
	if moving := o.Stats().Moving; moving != 0 {
		t.Fatalf("%d pieces still move after %v", moving, gap)
	}
	o.SetUpstreams(now, archive, ready("a"))
	o.Plan(now)
	during(told)
	if records != 3 {
		t.Errorf("%d records of two moves, want 3", records)
	}
	for _, p := range last.Services[archive] {
		if p.Moving || p.Holder != "a" {
			t.Errorf("the last record says %+v, want a piece of a", p)
		}
	}
}
