package assignment

import "github.com/parsleyproxy/parsleyproxy/pkg/fleet"

// Ownership says which upstream owns a unit, under which fence.
type Ownership struct {
	Unit     fleet.Unit
	Owner    fleet.UpstreamID // empty: none
	Fence    fleet.Fence
	Previous []fleet.UpstreamID // not yet released, oldest first
}

// Report is what a dispatcher says about an upstream.
type Report struct {
	Lost         bool
	Boot         fleet.BootID // run of the upstream that the report is about
	Limit, Slots fleet.Slots  // present and warm concurrency limit
	InFlight     fleet.Slots
	Queued       int
	Load         float64       // requests per second
	Average      float64       // requests per second over some seconds
	Units        []UnitLoad    // the busiest, by their averages
	Granted      []fleet.Grant // present fences: granted, or without an owner, released here
	Hot          []HotKey
}

// UnitLoad is a unit with its average load.
type UnitLoad struct {
	Unit fleet.Unit
	Rate float64 // requests per second
}

// HotKey is a routing key with many requests.
type HotKey struct {
	Key  fleet.RoutingKey
	Rate float64 // requests per second
}
