package keyspace

import "github.com/parsleyproxy/parsleyproxy/pkg/fleet"

// HeldBy reports whether an upstream for which match returns true holds keys of a service,
// also keys that are about to move to another. A span whose grants may not have expired
// counts as held by its next holder.
func (co *Coordinator) HeldBy(id fleet.ServiceID, match func(fleet.UpstreamID) bool) bool {
	s := co.services[id]
	if s == nil {
		return false
	}
	for _, sh := range s.shards {
		if match(sh.holder) {
			return true
		}
	}
	return false
}
