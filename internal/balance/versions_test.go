package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/rollout"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against an upstream that restarts under its id and counts as one that has run long
// enough to show late faults, and against requests to upstreams of versions that are held.
func TestUsesOfVersions(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New("i1", rand.New(rand.NewPCG(1, 2)), func(fleet.ServiceID) (time.Duration, fleet.PerSecond) { return 0, 0 })
	list := []Registration{{ID: "a", Service: "s", Boot: "1", Version: "v1", Slots: 1}, {ID: "b", Service: "s", Boot: "1", Version: "v2", Slots: 1}}
	table.Replace(now, list)
	later := now.Add(5 * time.Second)
	list[1].Boot = "2"
	table.Replace(later, list)
	if a, b := table.Get("a").ListedSince(), table.Get("b").ListedSince(); !a.Equal(now) || !b.Equal(later) {
		t.Errorf("listed since %v and %v, want %v and %v", a, b, now, later)
	}
	for use, want := range map[rollout.Use]string{rollout.UseOpen: "a", rollout.UseTrial: "b", rollout.UseSpare: "", rollout.UseNone: ""} {
		table.SetUses(map[fleet.UpstreamID]rollout.Use{"b": rollout.UseTrial})
		got := ""
		if e, _ := table.Choose(later, Query{Service: "s", Target: time.Second, Use: use}); e != nil {
			got = string(e.ID)
		}
		if got != want {
			t.Errorf("use %d: upstream %q, want %q", use, got, want)
		}
	}
	if table.Usable(table.Get("b")) || !table.InService(table.Get("b")) || table.HeldUpstreams()["s"] != 0 {
		t.Error("want an upstream that is in service, and used by trials only")
	}
}
