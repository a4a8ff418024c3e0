// Package catalogue holds the desired state that operators edit: services,
// entries, client accounts, caller key hashes and what is out of service.
//
// A Catalogue is a plain value without an index. It is stored and edited as
// YAML with kebab-case names. Parse is strict, because a misspelt field that is
// silently ignored would put a limit or an access rule out of force. A Catalogue
// that Check accepts survives Format and Parse unchanged; a Catalogue that Check
// refuses is never returned by Parse.
package catalogue

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Catalogue is the desired state. The order of its items has no meaning and is
// kept. Empty lists are nil.
type Catalogue struct {
	Services     []Service
	Entries      []Entry
	Accounts     []Account
	CallerKeys   []CallerKey
	OutOfService []Outage
}

// Service is a group of upstreams that divide routing keys among them.
type Service struct {
	ID        fleet.ServiceID
	Shards    int           // fixed for the life of the service; see CheckEdit
	Slots     fleet.Slots   // concurrent requests that a warm upstream handles
	ColdSlots fleet.Slots   // concurrent requests that an upstream handles in cold start
	WarmTime  time.Duration // work in cold start after which an upstream handles Slots
	Fencing   Fencing
	Timeout   time.Duration // longest deadline of a request
}

// Fencing says whether the upstreams of a service check fencing tokens.
type Fencing string

// Values of Fencing.
const (
	FencingChecked Fencing = "checked"
	FencingNone    Fencing = "none"
)

// Entry routes the requests below a path prefix to a service.
type Entry struct {
	ID         fleet.EntryID
	Owner      string // contact of those responsible for the entry
	Service    fleet.ServiceID
	PathPrefix string
	Class      Class
	Limit      fleet.Limit // over all client accounts; zero: no limit
	RoutingKey KeySource
	Open       bool              // an open route needs no caller key
	Accounts   []fleet.AccountID // client accounts that may use the entry; empty: all
}

// Class says whether a request may run twice without harm.
type Class string

// Values of Class.
const (
	Idempotent    Class = "idempotent"
	NonIdempotent Class = "non-idempotent"
)

// KeySource says where in a request the routing key is found.
type KeySource struct {
	From    KeyFrom
	Name    string // of the header or the query parameter
	Segment int    // of the path, counted from 0: in /hall/7 the segment 1 is "7"
}

// KeyFrom is a part of a request.
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
	Limit fleet.Limit // over all entries; zero: no limit
}

// CallerKey admits callers that present a secret with this hash to an account.
type CallerKey struct {
	Hash    fleet.CallerKeyHash
	Account fleet.AccountID
	Note    string // for operators, for example a ticket number
}

// Outage takes an upstream, an instance or a zone out of service.
type Outage struct {
	Kind OutageKind
	Name string
	By   string
	At   time.Time
}

// OutageKind says what an Outage names.
type OutageKind string

// Values of OutageKind.
const (
	OutageUpstream OutageKind = "upstream"
	OutageInstance OutageKind = "instance"
	OutageZone     OutageKind = "zone"
)

// Defaults of fields that a catalogue file leaves out.
const (
	DefaultShards    = 256
	DefaultColdSlots = 1
	DefaultWarmTime  = 5 * time.Second
	DefaultTimeout   = 10 * time.Second
)

// MaxSize is the largest formatted catalogue in bytes. The store takes values of
// 1 MB; base64 in the store's envelope adds a third.
const MaxSize = 700_000

// Out returns the outage of the named item, if it is out of service.
func (c *Catalogue) Out(kind OutageKind, name string) (Outage, bool) {
	for _, o := range c.OutOfService {
		if o.Kind == kind && o.Name == name {
			return o, true
		}
	}
	return Outage{}, false
}

// Clone returns a deep copy.
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
