package direct

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against a large fleet that is led by an instance without the processor time
// for it although there are others, and against a small one whose elections wait.
func TestHandicap(t *testing.T) {
	const startSpread = 300 * time.Millisecond
	for _, n := range []int{0, 60, 70} {
		strong, weak := handicap(0.8, n), handicap(0.16, n)
		if weak-strong < electionSpread+startSpread {
			t.Errorf("%d instances: a weak one is a candidate %v after a strong one, which may start %v later", n, weak-strong, startSpread)
		}
	}
	for _, cores := range []float64{0.16, 0.32, 1} {
		if diff := cmp.Diff(time.Duration(0), handicap(cores, 12)); diff != "" {
			t.Errorf("%v cores among 12: %s", cores, diff)
		}
	}
}

// Guards against an instance that goes on asking a leader that it has found silent,
// and against one that never asks it again although its lease goes on.
func TestSilentLeaderIsAskedAgainLater(t *testing.T) {
	now := time.Now()
	for age, want := range map[time.Duration]bool{
		time.Second: true, 5 * time.Second: false,
	} {
		r := &Router{instances: make([]fleet.Peer, 70), leader: leaderInfo{id: "i1", term: 4, heard: now.Add(-age)}}
		if diff := cmp.Diff(want, r.silentStill(leaderInfo{id: "i1", term: 4})); diff != "" {
			t.Errorf("silent for %v: %s", age, diff)
		}
		if r.silentStill(leaderInfo{id: "i2", term: 5}) {
			t.Errorf("silent for %v: the next leader is not followed", age)
		}
	}
}
