package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// BenchmarkChoose measures one decision of an instance of 80 among 231 upstreams in three
// zones, with loads known of all of them.
func BenchmarkChoose(b *testing.B) {
	const upstreams, instances = 231, 80
	table := newTable("i0", 0)
	var list []Registration
	for i := range upstreams {
		list = append(list, Registration{ID: fleet.UpstreamID(fmt.Sprint("u", i)), Service: lookup, Zone: zone(i % 3), Slots: 4, Boot: "1"})
	}
	var ids []fleet.InstanceID
	for i := range instances {
		ids = append(ids, fleet.InstanceID(fmt.Sprint("i", i)))
	}
	table.SetInstances(ids)
	table.Replace(start, list)
	rng := rand.New(rand.NewPCG(1, 2))
	for _, r := range list {
		e := table.Get(r.ID)
		table.Started(start, e)
		table.Ended(start, e, Answered, time.Duration(100+rng.IntN(300))*time.Millisecond, &Load{Running: 1 + rng.IntN(4), Slots: 4, Slowdown: 1 + 2*rng.Float64()})
	}
	now, q := start, Query{Service: lookup, Zone: zone(0), Target: time.Second}
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		e, _ := table.Choose(now, q)
		table.Started(now, e)
		e.InFlight--
	}
}
