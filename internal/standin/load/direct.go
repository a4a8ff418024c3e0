package load

import (
	"net/http"
	"strconv"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Outgoing is a request to an upstream that checks no fencing tokens.
type Outgoing struct {
	ID       string
	Account  fleet.AccountID
	Key      fleet.RoutingKey
	Deadline time.Time
}

// Owner returns the target of the service that a static hash of the key names.
func Owner(targets []Target, service fleet.ServiceID, key fleet.RoutingKey) Target {
	var own []Target
	for _, t := range targets {
		if t.Service == service {
			own = append(own, t)
		}
	}
	if len(own) == 0 {
		return Target{}
	}
	return own[int(key.Shard(catalogue.DefaultShards))%len(own)]
}

// SetUpstreamHeaders sets the headers that an upstream requires.
func SetUpstreamHeaders(h http.Header, now time.Time, o Outgoing) {
	h.Set(fleet.HeaderRequestID, o.ID)
	h.Set(fleet.HeaderAccount, string(o.Account))
	h.Set(fleet.HeaderShard, strconv.FormatUint(uint64(o.Key.Shard(catalogue.DefaultShards)), 10))
	h.Set(fleet.HeaderDispatcherFence, "1")
	h.Set(fleet.HeaderFence, "1")
	h.Set(fleet.HeaderDeadline, strconv.FormatInt(max(1, o.Deadline.Sub(now).Milliseconds()), 10))
	h.Set(fleet.HeaderStartBy, strconv.FormatInt(o.Deadline.UnixMilli(), 10))
}
