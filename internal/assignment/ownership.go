package assignment

import "github.com/parsleyproxy/parsleyproxy/pkg/fleet"

// Ownership is the owner of a unit, the fence under which it owns the unit, and
// the upstreams that may still hold the unit from before.
type Ownership struct {
	Unit     fleet.Unit
	Owner    fleet.UpstreamID // empty: none
	Fence    fleet.Fence
	Previous []fleet.UpstreamID // upstreams that have not released the unit yet, oldest first
}

// Report is the state of an upstream as its dispatcher reports it to the planner.
type Report struct {
	Lost         bool
	Boot         fleet.BootID // run of the upstream to which the report applies
	Limit, Slots fleet.Slots  // present concurrency limit, and the one of a warm upstream
	InFlight     fleet.Slots
	Queued       int
	Load         float64       // requests per second
	Average      float64       // requests per second, averaged over some seconds
	Units        []UnitLoad    // units with the highest average rates, in descending order
	Granted      []fleet.Grant // units granted under their present fences, and units without an owner that this upstream has released
	Hot          []HotKey
}

// UnitLoad is a unit and its average request rate.
type UnitLoad struct {
	Unit fleet.Unit
	Rate float64 // requests per second
}

// HotKey is a routing key with a high request rate.
type HotKey struct {
	Key  fleet.RoutingKey
	Rate float64 // requests per second
}
