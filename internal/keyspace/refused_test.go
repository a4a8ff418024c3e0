package keyspace

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against a leader that goes on sending a fencing token after an upstream refused
// it: another leader has used a higher one. The cases differ in what keeps the leader from
// planning with a new token.
func TestRefusedTokenIsNotSentAgain(t *testing.T) {
	for name, plan := range map[string]func(o *Coordinator, now time.Time){
		"no plan without a valid lease": func(*Coordinator, time.Time) {},
		"no candidate": func(o *Coordinator, now time.Time) {
			o.SetUpstreams(now, archive, nil)
			o.Plan(now)
		},
		"record of the move not stored": func(o *Coordinator, now time.Time) {
			o.Plan(now)
			o.Save(now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := start
			o := NewCoordinator(now, 1, timing, Record{})
			o.SetUpstreams(now, archive, usableUpstreams("a", "b"))
			fakes := newFakeUpstreams(t)
			run(o, fakes, &now, 10*time.Second)
			refused, again := make(map[fleet.Fence]bool), 0
			for end := now.Add(3 * timing.Hold); now.Before(end); now = now.Add(50 * time.Millisecond) {
				plan(o, now)
				for _, c := range o.Calls(now) {
					if refused[c.Fence] {
						again++
					}
					refused[c.Fence] = true
					o.CallEnded(now, c, Conflict, "")
				}
			}
			if len(refused) == 0 {
				t.Fatal("no call was refused")
			}
			if diff := cmp.Diff(0, again); diff != "" {
				t.Error("calls with a refused token:", diff)
			}
		})
	}
}
