package balance

import (
	"testing"
	"time"
)

// BenchmarkChoose measures one decision of an instance of 80 among 231 upstreams in three
// zones, with loads known of all of them.
func BenchmarkChoose(b *testing.B) {
	f := newFleet(fleetShape{instances: 80, upstreams: 231, slots: 4, zones: 3, speeds: []float64{1}})
	table := f.tables[0]
	for _, e := range table.Service("desk") {
		table.Started(start, e)
		table.Ended(start, e, Answered, time.Duration(100+f.rng.IntN(300))*time.Millisecond, &Load{Running: 1 + f.rng.IntN(4), Slots: 4, Slowdown: 1 + 2*f.rng.Float64()})
	}
	now, q := start, Query{Service: "desk", Zone: f.zones[0], Target: time.Second}
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		e, _ := table.Choose(now, q)
		table.Started(now, e)
		e.InFlight--
	}
}
