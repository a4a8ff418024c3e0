package load

import (
	"net/http"
	"strconv"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Outgoing describes a request that is sent directly to an upstream that does
// not check fencing tokens.
type Outgoing struct {
	ID       string
	Account  fleet.AccountID
	Key      fleet.RoutingKey
	Deadline time.Time
}

// Owner returns the target of the service that owns the key under static
// hashing: the shard of the key modulo the number of targets of the service. It
// returns the zero Target if the service has none.
func Owner(targets []Target, service fleet.ServiceID, key fleet.RoutingKey) Target {
	var candidates []Target
	for _, t := range targets {
		if t.Service == service {
			candidates = append(candidates, t)
		}
	}
	if len(candidates) == 0 {
		return Target{}
	}
	return candidates[int(key.Shard(catalogue.DefaultShards))%len(candidates)]
}

// SetUpstreamHeaders sets the headers that an upstream requires. Both fencing
// tokens are 1, since the upstream does not check them.
func SetUpstreamHeaders(h http.Header, now time.Time, o Outgoing) {
	h.Set(fleet.HeaderRequestID, o.ID)
	h.Set(fleet.HeaderAccount, string(o.Account))
	h.Set(fleet.HeaderShard, strconv.FormatUint(uint64(o.Key.Shard(catalogue.DefaultShards)), 10))
	h.Set(fleet.HeaderDispatcherFence, "1")
	h.Set(fleet.HeaderFence, "1")
	h.Set(fleet.HeaderDeadline, strconv.FormatInt(max(1, o.Deadline.Sub(now).Milliseconds()), 10))
	h.Set(fleet.HeaderStartBy, strconv.FormatInt(o.Deadline.UnixMilli(), 10))
}
