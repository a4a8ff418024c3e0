package balance

import (
	"testing"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against a saturated upstream whose mean service time is too low: requests that
// wait for too long time out, so that only fast answers are measured.
func TestServiceTimeOfSaturatedUpstream(t *testing.T) {
	const (
		slots, serviceTime = 6, 800 * time.Millisecond
		requestTimeout     = 1500 * time.Millisecond
		interval           = 50 * time.Millisecond // between requests; it can serve one every 133 ms
	)
	leader, reporter := newTable("leader", 3), newTable("reporter", 3)
	now := start
	for range 100 { // the other upstreams are faster
		now = now.Add(10 * time.Millisecond)
		sendAndEnd(leader, now, leader.Get("u1"), Answered, 250*time.Millisecond)
		sendAndEnd(reporter, now, reporter.Get("u1"), Answered, 250*time.Millisecond)
	}
	e := reporter.Get("u0")
	var slotFree [slots]time.Time // when each slot becomes free
	for i := range 160 {
		now = now.Add(interval)
		slot := 0
		for j, freeAt := range slotFree {
			if freeAt.Before(slotFree[slot]) {
				slot = j
			}
		}
		began := laterTime(now, slotFree[slot])
		reporter.Started(now, e)
		if began.Add(serviceTime).Sub(now) > requestTimeout {
			reporter.Ended(now.Add(requestTimeout), e, Silent, requestTimeout, nil)
		} else {
			slotFree[slot] = began.Add(serviceTime)
			waiting := int(began.Sub(now) * slots / serviceTime)
			reporter.Ended(slotFree[slot], e, Answered, slotFree[slot].Sub(now), &Load{Running: slots, Waiting: waiting, Slots: slots, Slowdown: 1})
		}
		if i%10 == 9 {
			for id, s := range reporter.TakeSamples(func(id fleet.ServiceID) bool { return id == lookup }) {
				leader.LearnSamples(now, id, s)
				leader.CountAnswers(now, id, s)
			}
		}
	}
	if got := leader.LongMeanTime(now, leader.Get("u0")); got < 0.7 || got > 1 {
		t.Errorf("mean service time of a saturated upstream = %.2f s, want 0.8 s", got)
	}
	if got := leader.LongMeanTime(now, leader.Get("u1")); got < 0.2 || got > 0.3 {
		t.Errorf("mean service time of an idle upstream = %.2f s, want 0.25 s", got)
	}
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
