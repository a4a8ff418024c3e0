package keyspace

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against a service with many upstreams that is evened out as slowly as one
// with few: a fifth of them stayed overloaded for many seconds.
func TestMovesGrowWithUpstreams(t *testing.T) {
	const (
		upstreams = 60
		busy      = 30 // requests a second for each upstream of the first half; it bears 20
	)
	now := start
	o, h := NewOwner(now, 1, timing, Record{}), newHolders(t)
	var ids []fleet.UpstreamID
	for i := range upstreams {
		ids = append(ids, fleet.UpstreamID(fmt.Sprintf("u%02d", i)))
	}
	o.SetUpstreams(now, archive, ready(ids...))
	run(o, h, &now, 3*time.Second)
	heat := o.Heat(archive)
	perSecond := int(1 / heat.slow.factor())
	for i := range busy * upstreams / 2 {
		for range perSecond {
			heat.Add(Key(i * Keys / 2 / (busy * upstreams / 2)))
		}
	}
	o.Plan(now)
	if got, want := o.Stats().Moving, upstreams/upstreamsPerMove; got < want {
		t.Errorf("%d pieces move at the same time, want %d", got, want)
	}
}

// Guards against keys that are divided among the upstreams that registered first:
// without load the others get none, and half of a fleet met the first requests.
func TestDividesAmongAll(t *testing.T) {
	const (
		upstreams = 60
		heartbeat = 2500 * time.Millisecond
		listEvery = 500 * time.Millisecond
	)
	now := start
	o, h := NewOwner(now, 1, timing, Record{}), newHolders(t)
	var ids []fleet.UpstreamID
	for i := range upstreams {
		ids = append(ids, fleet.UpstreamID(fmt.Sprintf("u%02d", i)))
	}
	for at := listEvery; at < 6*time.Second; at += listEvery {
		o.SetUpstreams(now, archive, ready(ids[:min(upstreams, int(upstreams*at/heartbeat))]...))
		run(o, h, &now, listEvery)
	}
	m, _ := o.Map()
	with := make(map[fleet.UpstreamID]bool)
	for _, s := range m.Services[archive] {
		with[s.Holder] = true
	}
	if len(with) != upstreams {
		t.Errorf("%d upstreams hold keys, want %d", len(with), upstreams)
	}
}
