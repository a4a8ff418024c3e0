package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against a measured use of a leaving upstream that starts when this instance
// learned of its leaving, instead of when it may have started to leave.
func TestUseOfLeavingUpstreamIsMeasured(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		draining bool // listed as draining before it is gone
		want     []Change
	}{
		"draining": {true, []Change{
			{ID: "u", Kind: "draining", LearnedAfter: 700 * time.Millisecond},
			{ID: "u", Kind: "gone", LearnedAfter: 700 * time.Millisecond, UsedFor: 1200 * time.Millisecond},
		}},
		"gone without notice": {false, []Change{
			{ID: "u", Kind: "gone", LearnedAfter: 1700 * time.Millisecond, UsedFor: 1200 * time.Millisecond},
		}},
	} {
		table := New("i1", rand.New(rand.NewPCG(1, 2)), func(fleet.ServiceID) (time.Duration, fleet.PerSecond) { return 0, 0 })
		registration := Registration{ID: "u", Service: "s", Slots: 6, Boot: "1"}
		table.Replace(at(0), []Registration{registration})
		table.SetListedAt(at(300))
		var got []Change
		if registration.Draining = c.draining; c.draining {
			got = append(got, table.Replace(at(1000), []Registration{registration})...)
			table.SetListedAt(at(990))
		}
		table.Started(at(1500), table.Get("u"))
		got = append(got, table.Replace(at(2000), nil)...)
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}
