// Package catalogue holds the desired state that operators edit.
package catalogue

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Catalogue is the desired state.
type Catalogue struct {
	Services     []Service
	Entries      []Entry
	Accounts     []Account
	CallerKeys   []CallerKey
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
	Timeout          time.Duration // longest deadline
}

// Class says whether a request may run twice.
type Class string

// Values of Class.
const (
	Idempotent    Class = "idempotent"
	NonIdempotent Class = "non-idempotent"
)

// Entry maps a path prefix to a service.
type Entry struct {
	ID         fleet.EntryID
	Owner      string // a contact
	Service    fleet.ServiceID
	PathPrefix string
	Class      Class
	Limit      fleet.Limit
	RoutingKey KeySource
	Open       bool
	Accounts   []fleet.AccountID // empty: all
}

// KeyFrom names the part of a request that holds the routing key.
type KeyFrom string

// Values of KeyFrom.
const (
	FromHeader      KeyFrom = "header"
	FromQuery       KeyFrom = "query"
	FromPathSegment KeyFrom = "path-segment"
)

// KeySource says where the routing key is taken from.
type KeySource struct {
	From    KeyFrom
	Name    string
	Segment int
}

// Account is a client account.
type Account struct {
	ID    fleet.AccountID
	Limit fleet.Limit
}

// CallerKey maps the hash of a caller key to its account.
type CallerKey struct {
	Hash    fleet.CallerKeyHash
	Account fleet.AccountID
	Note    string
}

// OutageKind names what is out of service.
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
