// Package catalogue defines the configuration that operators edit: services,
// entries, client accounts, hashes of caller keys, and the upstreams, instances
// and availability zones that are out of service.
//
// A Catalogue is a plain value without lookup indexes. It is stored and edited as
// YAML with kebab-case field names. Parse refuses unknown fields, because a
// misspelt field that is ignored would disable a limit or an access rule. A
// Catalogue that Check accepts is unchanged by Format followed by Parse. Parse
// never returns a Catalogue that Check refuses.
package catalogue

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Catalogue is the configuration of the fleet. Parse and Format preserve the order
// of items, which has no effect. Empty lists are nil.
type Catalogue struct {
	Services     []Service
	Entries      []Entry
	Accounts     []Account
	CallerKeys   []CallerKey
	OutOfService []Outage
}

// Service is a group of upstreams among which routing keys are divided.
type Service struct {
	ID        fleet.ServiceID
	Shards    int           // number of shards; cannot be changed later, see CheckEdit
	Slots     fleet.Slots   // concurrent requests that a warm upstream handles
	ColdSlots fleet.Slots   // concurrent requests that a cold upstream handles
	WarmTime  time.Duration // work in cold start after which an upstream is warm
	Fencing   Fencing
	Timeout   time.Duration // longest time allowed for a request
}

// Fencing states whether the upstreams of a service check fencing tokens.
type Fencing string

// Values of Fencing.
const (
	FencingChecked Fencing = "checked" // upstreams refuse requests with an outdated fencing token
	FencingNone    Fencing = "none"    // upstreams do not check fencing tokens
)

// Entry routes the requests below a path prefix to a service.
type Entry struct {
	ID         fleet.EntryID
	Owner      string // contact of the people responsible for the entry
	Service    fleet.ServiceID
	PathPrefix string
	Class      Class
	Limit      fleet.Limit // for all client accounts together; zero: no limit
	RoutingKey KeySource
	Open       bool              // whether requests need no caller key
	Accounts   []fleet.AccountID // client accounts that may use the entry; empty: all
}

// Class states whether executing a request twice has the same effect as executing
// it once.
type Class string

// Values of Class.
const (
	Idempotent    Class = "idempotent"
	NonIdempotent Class = "non-idempotent"
)

// KeySource is the location of the routing key in a request.
type KeySource struct {
	From    KeyFrom
	Name    string // name of the header or query parameter
	Segment int    // index of the path segment, from 0: segment 1 of /hall/7 is "7"
}

// KeyFrom is the part of a request that contains the routing key.
type KeyFrom string

// Values of KeyFrom.
const (
	FromHeader      KeyFrom = "header"
	FromQuery       KeyFrom = "query"
	FromPathSegment KeyFrom = "path-segment"
)

// Account is a client account.
type Account struct {
	ID    fleet.AccountID
	Limit fleet.Limit // for all entries together; zero: no limit
}

// CallerKey authenticates callers that present a caller key with this hash as
// users of an account.
type CallerKey struct {
	Hash    fleet.CallerKeyHash
	Account fleet.AccountID
	Note    string // for operators, for example a ticket number
}

// Outage marks an upstream, an instance or an availability zone as taken out of
// service by an operator.
type Outage struct {
	Kind OutageKind
	Name string    // id of the upstream, instance or zone
	By   string    // operator who took it out of service
	At   time.Time // when it was taken out of service
}

// OutageKind is the kind of item that an Outage names.
type OutageKind string

// Values of OutageKind.
const (
	OutageUpstream OutageKind = "upstream"
	OutageInstance OutageKind = "instance"
	OutageZone     OutageKind = "zone"
)

// Defaults of fields that a catalogue file omits.
const (
	DefaultShards    = 256
	DefaultColdSlots = 1
	DefaultWarmTime  = 5 * time.Second
	DefaultTimeout   = 10 * time.Second
)

// MaxSize is the largest size of a formatted catalogue in bytes. The store accepts
// values of up to 1 MB, and the base64 encoding of stored records adds a third.
const MaxSize = 700_000

// Out returns the outage of the item with the given kind and name. The second
// result reports whether the item is out of service.
func (c *Catalogue) Out(kind OutageKind, name string) (Outage, bool) {
	for _, o := range c.OutOfService {
		if o.Kind == kind && o.Name == name {
			return o, true
		}
	}
	return Outage{}, false
}

// Clone returns a deep copy of c.
func (c *Catalogue) Clone() *Catalogue {
	out := &Catalogue{
		Services:     append([]Service(nil), c.Services...),
		Entries:      append([]Entry(nil), c.Entries...),
		Accounts:     append([]Account(nil), c.Accounts...),
		CallerKeys:   append([]CallerKey(nil), c.CallerKeys...),
		OutOfService: append([]Outage(nil), c.OutOfService...),
	}
	for i := range out.Entries {
		out.Entries[i].Accounts = append([]fleet.AccountID(nil), out.Entries[i].Accounts...)
	}
	return out
}
