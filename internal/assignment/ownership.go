package assignment

import "github.com/parsleyproxy/parsleyproxy/pkg/fleet"

// Ownership names the owner of a unit.
type Ownership struct {
	Unit     fleet.Unit
	Owner    fleet.UpstreamID
	Fence    fleet.Fence
	Previous []fleet.UpstreamID // not yet released, oldest first
}

// Report is what a dispatcher tells the planner about one upstream.
type Report struct {
	Lost         bool
	Limit, Slots fleet.Slots
	Load         float64       // requests per second
	Granted      []fleet.Grant // handovers complete
	Hot          []HotKey
}

// HotKey is a routing key with a high request rate.
type HotKey struct {
	Key  fleet.RoutingKey
	Rate float64 // requests per second
}
