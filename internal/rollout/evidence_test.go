package rollout

import (
	"testing"
)

// Guards against a roll-out that is completed while the new run of an instance does not know
// that the old version may not be used.
func TestRestartedInstanceHasNotApplied(t *testing.T) {
	a := NewAggregate(9)
	a.Merge("i", Evidence{Order: 9, Boot: "1", Number: 4, Step: 7, Arrivals: 100})
	a.Restarted("i")
	if applied, _ := a.Applied("i", 7); applied || a.Totals().Arrivals != 100 {
		t.Errorf("new run: applied %t, %d arrivals, want 100", applied, a.Totals().Arrivals)
	}
}
