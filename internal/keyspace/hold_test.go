package keyspace

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const longHold = 9 * time.Second

// Guards against grants that are valid for longer than the stored record states: the next
// leader would not wait for them.
func TestLongHoldIsRecordedFirst(t *testing.T) {
	now := start
	o := NewCoordinator(now, 1, timing, Record{})
	o.SetUpstreams(now, archive, usableUpstreams("a", "b"))
	fakes := newFakeUpstreams(t)
	run(o, fakes, &now, 10*time.Second)
	o.SetHold(archive, longHold)
	longest := func() (hold time.Duration) {
		for end := now.Add(2 * timing.Renew); now.Before(end); now = now.Add(50 * time.Millisecond) {
			for _, c := range o.Calls(now) {
				hold = max(hold, c.Hold)
				o.CallEnded(now, c, fakes.answer(now, c), "")
			}
		}
		return hold
	}
	rec, stored, changed := o.Save(now)
	if !changed {
		t.Fatal("the longer validity is not recorded")
	}
	if diff := cmp.Diff(timing.Hold, longest()); diff != "" {
		t.Error("validity before the record is stored:", diff)
	}
	o.SetHold(archive, longHold)
	if _, _, changed := o.Save(now); changed {
		t.Error("the same validity is recorded twice")
	}
	stored()
	if diff := cmp.Diff(longHold, longest()); diff != "" {
		t.Error("validity once the record is stored:", diff)
	}
	decoded, err := DecodeRecord(rec.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(map[fleet.ServiceID]time.Duration{archive: longHold}, decoded.Holds); diff != "" {
		t.Error("recorded validities:", diff)
	}
}

// Guards against a new leader that gives keys of a silent holder away while a long grant of
// the former leader is valid (fakeUpstreams checks that), or that never does. The second
// case is a record of an earlier era, which may lack the longest validity.
func TestNextLeaderWaitsForLongHold(t *testing.T) {
	for name, change := range map[string]func(rec *Record, t *Timing){
		"recorded": func(*Record, *Timing) {},
		"earlier era, not recorded": func(rec *Record, t *Timing) {
			rec.Holds, rec.Era = nil, 7
			t.UnknownHold = longHold
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := start
			o := NewCoordinator(now, 1, timing, Record{})
			o.SetHold(archive, longHold)
			o.SetUpstreams(now, archive, usableUpstreams("a", "b", "c"))
			fakes := newFakeUpstreams(t)
			rec := run(o, fakes, &now, 20*time.Second)
			key := heldBy(t, o, "a")
			next := timing
			change(&rec, &next)
			o = NewCoordinator(now, 2, next, rec)
			o.SetUpstreams(now, archive, usableUpstreams("a", "b", "c"))
			fakes.silent["a"] = true
			run(o, fakes, &now, 2*longHold)
			if id := holderOf(o, key); id == "a" || id == "" {
				t.Errorf("%v later, the holder of a key of the silent upstream is %q", 2*longHold, id)
			}
		})
	}
}

// Guards against a record whose validity would keep keys without service for ever.
func TestInvalidRecordedHold(t *testing.T) {
	for _, ms := range []string{"-1", "60001", `"9s"`, "1e400"} {
		if rec, err := DecodeRecord([]byte(`{"next-fence":1,"holds-ms":{"archive":` + ms + `},"services":{}}`)); err == nil {
			t.Errorf("holds-ms %s was accepted: %v", ms, rec.Holds)
		}
	}
}
