package rollout

import (
	"testing"
	"time"
)

// Guards against a new leader that takes the counts which instances report one after the
// other for arrivals since its start, and raises the share past the bound with that rate.
func TestRateAfterChangeOfLeader(t *testing.T) {
	now := time.Unix(1000, 0)
	c := Continue(now, simBounds, Record{Order: testOrder, Phase: PhaseShift, Share: firstShift}, 1)
	for i := range 30 {
		in := testInput(0, 0)
		in.Totals.Arrivals = min(10, i+1)*500 + i*50 // 500 requests/s
		now = now.Add(100 * time.Millisecond)
		c.Step(now, in)
	}
	if got, known := c.rate(now); !known || got < 400 || got > 600 {
		t.Errorf("rate %.0f, %t, want 500", got, known)
	}
}

// Guards against a version that keeps a share above the bound because the leader can neither
// raise the share nor find a fault.
func TestShiftInDoubtStaysWithinBound(t *testing.T) {
	now := time.Unix(1000, 0)
	c := Continue(now, simBounds, Record{Order: testOrder, Phase: PhaseShift, Share: firstShift}, 1)
	arrivals, sent := 1000.0, 50.0
	for range 150 {
		now = now.Add(100 * time.Millisecond)
		arrivals += 50
		sent += 50 * c.Directive().Share
		in := testInput(0, 0)
		in.Totals.Arrivals, in.Totals.Routes["a"].New.Sent = int(arrivals), int(sent) // no response decides
		c.Step(now, in)
	}
	if limit := simBounds.Share*arrivals + simBounds.Slack; sent > limit {
		t.Errorf("%.0f of %.0f requests to a version without a verdict, want at most %.0f", sent, arrivals, limit)
	}
}
