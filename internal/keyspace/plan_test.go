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
