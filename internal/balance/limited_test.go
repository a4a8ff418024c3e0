package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against a limit that ends because of an answer to an earlier request, a refusal
// or a value that cannot be read, and against one that outlasts a newer end.
func TestNamedLimitLifetime(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	run := Run{ID: "u", Boot: "1", Addr: "a"}
	answer := func(now, sentAt int, l NamedLimit, ran bool) func(*Table) {
		return func(t *Table) { t.NoteLimit(at(now), at(sentAt), t.Get("u"), l, ran) }
	}
	told := func(now int, rate fleet.PerSecond, age time.Duration) func(*Table) {
		return func(t *Table) { t.MergeLimit(at(now), RunLimit{Run: run, Rate: rate, Age: age}) }
	}
	named := answer(10, 5, NamedLimit{Named: true, Rate: 4}, true)
	for name, c := range map[string]struct {
		steps []func(*Table)
		want  fleet.PerSecond
	}{
		"named":                             {[]func(*Table){named}, 4},
		"answer to an earlier request":      {[]func(*Table){named, answer(12, 9, NamedLimit{}, true)}, 4},
		"answer to a later request":         {[]func(*Table){named, answer(12, 11, NamedLimit{}, true)}, 0},
		"refusal of a later request":        {[]func(*Table){named, answer(12, 11, NamedLimit{}, false)}, 4},
		"unreadable value":                  {[]func(*Table){named, answer(12, 11, NamedLimit{Invalid: true}, true)}, 4},
		"zero":                              {[]func(*Table){answer(10, 5, NamedLimit{Named: true}, true)}, MinNamedLimit},
		"huge":                              {[]func(*Table){answer(10, 5, NamedLimit{Named: true, Rate: 1e300}, true)}, MaxNamedLimit},
		"told":                              {[]func(*Table){told(10, 3, time.Second)}, 3},
		"older limit told":                  {[]func(*Table){named, told(12, 3, 3*time.Second)}, 4},
		"newer limit told":                  {[]func(*Table){named, told(12, 3, time.Second)}, 3},
		"older limit told after the end":    {[]func(*Table){named, answer(12, 11, NamedLimit{}, true), told(13, 4, 2*time.Second)}, 0},
		"newer end told":                    {[]func(*Table){named, told(12, 0, time.Second)}, 0},
		"invalid limit told":                {[]func(*Table){named, told(12, -1, time.Second)}, 4},
		"registration gone and listed anew": {[]func(*Table){named, func(t *Table) { t.Replace(at(11), nil) }}, 4},
	} {
		table := New("i1", rand.New(rand.NewPCG(1, 2)), func(fleet.ServiceID) (time.Duration, fleet.PerSecond) { return 0, 0 })
		list := []Registration{{ID: "u", Service: "s", Slots: 6, Boot: "1", Addr: "a"}}
		table.Replace(at(0), list)
		for _, step := range c.steps {
			step(table)
		}
		table.Replace(at(20), list)
		if diff := cmp.Diff(c.want, table.Get("u").LimitRate()); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		list[0].Boot = "2"
		table.Replace(at(21), list)
		if rate := table.Get("u").LimitRate(); rate != 0 {
			t.Errorf("%s: the next run has the limit %v", name, rate)
		}
	}
}

// Guards against a choice of an upstream whose limit has no slot, and against a wait for
// one that is not the first to have a slot.
func TestChoiceWithinLimits(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	table := New("i1", rand.New(rand.NewPCG(1, 2)), func(fleet.ServiceID) (time.Duration, fleet.PerSecond) { return 0, 0 })
	table.Replace(now, []Registration{{ID: "a", Service: "s", Slots: 6}, {ID: "b", Service: "s", Slots: 6}})
	q := Query{Service: "s", Target: time.Second}
	for id, wait := range map[fleet.UpstreamID]time.Duration{"a": 300 * time.Millisecond, "b": 200 * time.Millisecond} {
		table.NoteLimit(now, now, table.Get(id), NamedLimit{Named: true, Rate: 1}, true)
		if e, _ := table.Choose(now, q); e == nil {
			t.Error("no upstream is chosen although one has a slot")
		}
		table.NoteLimitReached(table.Get(id), now.Add(wait))
	}
	if e, reason := table.Choose(now, q); e != nil || reason != "upstreams-limited" {
		t.Errorf("chosen: %v, reason %q, want none because of the limits", e, reason)
	}
	if e := table.FirstLimited(now, q); e == nil || e.ID != "b" {
		t.Errorf("first with a slot: %v, want b", e)
	}
	resumes, cause, ok := table.FirstResume(now, "s")
	if !ok || cause != LimitReached || resumes.Sub(now) != 200*time.Millisecond {
		t.Errorf("first resumes after %v, cause %v, known %t", resumes.Sub(now), cause, ok)
	}
	if e, _ := table.Choose(now.Add(250*time.Millisecond), q); e == nil || e.ID != "b" {
		t.Errorf("chosen after 250 ms: %v, want b", e)
	}
}
