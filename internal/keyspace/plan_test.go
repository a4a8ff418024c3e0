package keyspace

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against balancing a service with many upstreams as slowly as one with few: with
// a fixed number of concurrent moves, a fifth of the upstreams stayed overloaded for many
// seconds.
func TestConcurrentMovesGrowWithUpstreams(t *testing.T) {
	const (
		upstreams       = 60
		ratePerUpstream = 30 // requests per second for each upstream of the first half, which has a capacity of 20
	)
	now := start
	o, fakes := NewCoordinator(now, 1, timing, Record{}), newFakeUpstreams(t)
	var ids []fleet.UpstreamID
	for i := range upstreams {
		ids = append(ids, fleet.UpstreamID(fmt.Sprintf("u%02d", i)))
	}
	o.SetUpstreams(now, archive, usableUpstreams(ids...))
	run(o, fakes, &now, 3*time.Second)
	loadCounter := o.LoadCounter(archive)
	countPerRate := int(1 / loadCounter.slow.ratePerCount())
	for i := range ratePerUpstream * upstreams / 2 {
		for range countPerRate {
			loadCounter.Add(Key(i * Keys / 2 / (ratePerUpstream * upstreams / 2)))
		}
	}
	o.Plan(now)
	if got, want := o.Stats().Moving, upstreams/upstreamsPerMove; got < want {
		t.Errorf("%d shards move at the same time, want at least %d", got, want)
	}
}

// Guards against keys that are assigned only to the upstreams that registered first.
// Without load the others get none, so that half of the fleet had to serve all of the
// first requests.
func TestInitialAssignmentUsesAllUpstreams(t *testing.T) {
	const (
		upstreams = 60
		heartbeat = 2500 * time.Millisecond
		listEvery = 500 * time.Millisecond
	)
	now := start
	o, fakes := NewCoordinator(now, 1, timing, Record{}), newFakeUpstreams(t)
	var ids []fleet.UpstreamID
	for i := range upstreams {
		ids = append(ids, fleet.UpstreamID(fmt.Sprintf("u%02d", i)))
	}
	for at := listEvery; at < 6*time.Second; at += listEvery {
		o.SetUpstreams(now, archive, usableUpstreams(ids[:min(upstreams, int(upstreams*at/heartbeat))]...))
		run(o, fakes, &now, listEvery)
	}
	m, _ := o.Map()
	holders := make(map[fleet.UpstreamID]bool)
	for _, s := range m.Services[archive] {
		holders[s.Holder] = true
	}
	if len(holders) != upstreams {
		t.Errorf("%d upstreams hold keys, want %d", len(holders), upstreams)
	}
}
