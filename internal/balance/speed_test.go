package balance

import (
	"testing"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against an upstream with more keys than it can serve that counts as fast:
// requests that wait for too long are given up, and only quick answers are left to
// learn from.
func TestSaturatedUpstreamTellsItsSpeed(t *testing.T) {
	const (
		slots, service = 6, 800 * time.Millisecond
		patience       = 1500 * time.Millisecond
		gap            = 50 * time.Millisecond // between requests; it can serve one every 133 ms
	)
	leader, reporter := newTable("leader", 3), newTable("reporter", 3)
	now := start
	for range 100 { // the others are quicker
		now = now.Add(10 * time.Millisecond)
		answer(leader, now, leader.Get("u1"), Answered, 250*time.Millisecond)
		answer(reporter, now, reporter.Get("u1"), Answered, 250*time.Millisecond)
	}
	e := reporter.Get("u0")
	var free [slots]time.Time // when slots are free
	for i := range 160 {
		now = now.Add(gap)
		slot := 0
		for j, f := range free {
			if f.Before(free[slot]) {
				slot = j
			}
		}
		began := later(now, free[slot])
		reporter.Started(now, e)
		if began.Add(service).Sub(now) > patience {
			reporter.Ended(now.Add(patience), e, Silent, patience, nil)
		} else {
			free[slot] = began.Add(service)
			waiting := int(began.Sub(now) * slots / service)
			reporter.Ended(free[slot], e, Answered, free[slot].Sub(now), &Load{Running: slots, Waiting: waiting, Slots: slots, Slowdown: 1})
		}
		if i%10 == 9 {
			for id, s := range reporter.TakeSamples(func(id fleet.ServiceID) bool { return id == lookup }) {
				leader.LearnSamples(now, id, s)
				leader.CountAnswers(now, id, s)
			}
		}
	}
	if got := leader.MeanTime(now, leader.Get("u0")); got < 0.7 || got > 1 {
		t.Errorf("mean service time of a saturated upstream = %.2f s, want 0.8 s", got)
	}
	if got := leader.MeanTime(now, leader.Get("u1")); got < 0.2 || got > 0.3 {
		t.Errorf("mean service time of an idle upstream = %.2f s, want 0.25 s", got)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
