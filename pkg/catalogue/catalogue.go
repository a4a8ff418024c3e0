// Package catalogue holds the desired state that operators edit.
package catalogue

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Catalogue is the desired state.
type Catalogue struct {
	Services     []Service
	OutOfService []Outage
}

// Fencing says whether the upstreams of a service check fencing tokens.
type Fencing string

// Values of Fencing.
const (
	FencingChecked Fencing = "checked"
	FencingNone    Fencing = "none"
)

// Service is a group of upstreams that divide routing keys.
type Service struct {
	ID               fleet.ServiceID
	Shards           int
	Slots, ColdSlots fleet.Slots
	Fencing          Fencing
	Timeout          time.Duration
}

// OutageKind says what an Outage names.
type OutageKind string

// Values of OutageKind.
const (
	OutageUpstream OutageKind = "upstream"
	OutageInstance OutageKind = "instance"
	OutageZone     OutageKind = "zone"
)

// Outage takes an upstream, an instance or a zone out of service.
type Outage struct {
	Kind OutageKind
	Name string
	By   string
	At   time.Time
}

// Out returns the outage that names the thing.
func (c *Catalogue) Out(kind OutageKind, name string) (Outage, bool) {
	for _, o := range c.OutOfService {
		if o.Kind == kind && o.Name == name {
			return o, true
		}
	}
	return Outage{}, false
}
