package balance

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/rollout"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// SetUses sets which requests may use each upstream, by its version. Those that uses lacks
// are open to all requests.
func (t *Table) SetUses(uses map[fleet.UpstreamID]rollout.Use) {
	for id, e := range t.entries {
		e.use = uses[id]
	}
}

// Versions returns all upstreams with their versions.
func (t *Table) Versions() []rollout.Upstream {
	list := make([]rollout.Upstream, 0, len(t.entries))
	for _, e := range t.entries {
		list = append(list, rollout.Upstream{ID: e.ID, Service: e.Service, Version: e.Version, Usable: t.InService(e)})
	}
	return list
}

// Use returns which requests may use e.
func (e *Entry) Use() rollout.Use { return e.use }

// ListedSince returns when this run of the upstream was first listed.
func (e *Entry) ListedSince() time.Time { return e.listedSince }

// HeldUpstreams returns the number of upstreams of each service that are sent no requests
// because of their versions, including zeros.
func (t *Table) HeldUpstreams() map[fleet.ServiceID]int {
	return t.count(func(e *Entry) bool { return e.use == rollout.UseNone || e.use == rollout.UseSpare })
}
