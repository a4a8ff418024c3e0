package load

import (
	"net/http"
	"strconv"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// UpstreamRequest describes a request that is sent directly to an upstream that does
// not check fencing tokens.
type UpstreamRequest struct {
	ID       string
	Account  fleet.AccountID
	Key      fleet.RoutingKey
	Deadline time.Time
}

// StaticOwner returns the target of the service that owns the key under static
// hashing: the shard of the key modulo the number of targets of the service. It
// returns the zero Target if the service has none.
func StaticOwner(targets []Target, service fleet.ServiceID, key fleet.RoutingKey) Target {
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
func SetUpstreamHeaders(h http.Header, now time.Time, req UpstreamRequest) {
	h.Set(fleet.HeaderRequestID, req.ID)
	h.Set(fleet.HeaderAccount, string(req.Account))
	h.Set(fleet.HeaderShard, strconv.FormatUint(uint64(req.Key.Shard(catalogue.DefaultShards)), 10))
	h.Set(fleet.HeaderDispatcherFence, "1")
	h.Set(fleet.HeaderFence, "1")
	h.Set(fleet.HeaderDeadline, strconv.FormatInt(max(1, req.Deadline.Sub(now).Milliseconds()), 10))
	h.Set(fleet.HeaderStartBy, strconv.FormatInt(req.Deadline.UnixMilli(), 10))
}
