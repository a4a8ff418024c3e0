package lab

import (
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Shape describes the size of a fleet and its nominal load.
type Shape struct {
	Name        string
	Zones       []fleet.ZoneID // instances and upstreams are assigned to zones round-robin
	Instances   int
	Services    []Service
	Accounts    []Account
	CallerDelay time.Duration // network delay between callers and instances
	DrainTime   time.Duration // time for which upstreams accept requests after SIGTERM
}

// Service is a service with its upstreams and one catalogue entry of the same name.
type Service struct {
	ID               fleet.ServiceID
	Upstreams        int
	Class            catalogue.Class
	Weight           float64 // weight of a request in the report's overall service figure
	Slots, ColdSlots int
	ServiceTime      time.Duration // mean, without straggling requests
	WarmTime         time.Duration // busy time after which a cold upstream has all its slots
	Keys             int           // number of distinct routing keys
	Skew             float64       // exponent of the Zipf distribution of requests over keys
	StragglePercent  float64       // percentage of requests that take StraggleTime
	StraggleTime     time.Duration
}

// Account is a client account and the load that it sends.
type Account struct {
	ID          fleet.AccountID
	Share       float64 // of the load, relative to the shares of the other accounts
	LoadFactor  float64 // ratio of the rate that the account sends to its nominal rate; 0 means 1
	StickyShare float64 // fraction of its requests, from 0 to 1, that go to the first instance
}

const (
	// limitHeadroom is the ratio of an account's limit to its nominal rate. With a
	// lower ratio, load at half of the capacity would exceed the limits.
	limitHeadroom = 2
	// burstSeconds is the burst of a limit, as the number of seconds in which the
	// limit's rate adds up to it.
	burstSeconds = 1
	minBurst     = 20 // requests

	serviceTimeout   = 5 * time.Second
	shardsPerService = catalogue.DefaultShards
)

// service returns a service with the properties that all shapes share. With its
// service time, half of the capacity of 33 upstreams is about 1,800 requests/s, a
// load that 10 cores can sustain while they also run the whole fleet.
func service(id string, upstreams int, class catalogue.Class, weight float64) Service {
	return Service{
		ID: fleet.ServiceID(id), Upstreams: upstreams, Class: class, Weight: weight, Slots: 6, ColdSlots: 2,
		ServiceTime: 55 * time.Millisecond, WarmTime: time.Second, Keys: 1000, Skew: 1.1,
	}
}

// accounts returns 8 client accounts, 3 of them large. The last account sends three
// times its limit. Most requests of the last but one go to a single instance, as
// with a load balancer that uses sticky sessions.
func accounts() []Account {
	out := make([]Account, 0, 8)
	for i, share := range []float64{30, 25, 18, 6, 6, 5, 5, 5} {
		out = append(out, Account{ID: fleet.AccountID("account-" + strconv.Itoa(i+1)), Share: share})
	}
	out[len(out)-2].StickyShare = 0.7
	out[len(out)-1].LoadFactor = 3 * limitHeadroom
	return out
}

// Shapes returns the predefined shapes by name.
func Shapes() map[string]Shape {
	small := service("small", 4, catalogue.Idempotent, 1)
	small.ServiceTime, small.Keys = 10*time.Millisecond, 200
	return map[string]Shape{
		"authority": {
			Name: "authority", Zones: []fleet.ZoneID{"zone-a", "zone-b", "zone-c", "zone-d"}, Instances: 12,
			Services: []Service{
				service("lookup", 12, catalogue.Idempotent, 1),
				service("booking", 8, catalogue.NonIdempotent, 2),
				service("archive", 13, catalogue.Idempotent, 1),
			},
			Accounts: accounts(), CallerDelay: 3 * time.Millisecond,
		},
		"porteria": {
			Name: "porteria", Zones: []fleet.ZoneID{"zone-1", "zone-2", "zone-3"}, Instances: 12,
			Services: []Service{
				service("directory", 15, catalogue.Idempotent, 1),
				service("check-in", 8, catalogue.NonIdempotent, 1),
				service("logs", 12, catalogue.Idempotent, 1),
			},
			Accounts: accounts(), CallerDelay: time.Millisecond,
		},
		"small": {
			Name: "small", Zones: []fleet.ZoneID{"zone-a", "zone-b", "zone-c"}, Instances: 3,
			Services: []Service{small}, Accounts: accounts()[:2],
		},
	}
}

// FindShape returns the predefined shape with this name.
func FindShape(name string) (Shape, error) {
	s, ok := Shapes()[name]
	if !ok {
		return Shape{}, errors.Errorf("shape %q: want authority, porteria or small", name)
	}
	return s, nil
}

// Capacity returns the requests/s that the upstreams of all services can serve when
// they are warm.
func (s Shape) Capacity() float64 {
	var sum float64
	for _, v := range s.Services {
		sum += v.capacity()
	}
	return sum
}

func (v Service) capacity() float64 {
	return float64(v.Upstreams*v.Slots) / v.ServiceTime.Seconds()
}

// Zone returns the zone of the instance or upstream with index i, counted from 0.
func (s Shape) Zone(i int) fleet.ZoneID { return s.Zones[i%len(s.Zones)] }

// UpstreamID returns the id of the nth upstream of a service, counted from 1.
func UpstreamID(service fleet.ServiceID, n int) fleet.UpstreamID {
	return fleet.UpstreamID(string(service) + "-" + strconv.Itoa(n))
}

// InstanceID returns the id of the nth instance, counted from 1.
func InstanceID(n int) fleet.InstanceID {
	id := strconv.Itoa(n)
	if n < 10 {
		id = "0" + id
	}
	return fleet.InstanceID("instance-" + id)
}

// Prefix returns the path prefix of the service's entry.
func (v Service) Prefix() string { return "/" + string(v.ID) + "/" }

// callerKeyPrefix is the common prefix of all caller keys. Upstreams search their
// requests for it to find leaked caller keys.
const callerKeyPrefix = "caller-key-of-"

// CallerKey returns the caller key of an account.
func CallerKey(id fleet.AccountID) fleet.CallerKey {
	return fleet.CallerKey(callerKeyPrefix + string(id))
}

// Rate returns an account's nominal rate for a total rate, both in requests/s.
func (s Shape) Rate(a Account, total float64) float64 {
	var sum float64
	for _, o := range s.Accounts {
		sum += o.Share
	}
	return total * a.Share / sum
}

// Limit returns an account's limit for a nominal total rate in requests/s.
func (s Shape) Limit(a Account, total float64) fleet.Limit {
	rate := s.Rate(a, total) * limitHeadroom
	return fleet.Limit{Rate: fleet.PerSecond(rate), Burst: max(minBurst, fleet.Tokens(rate*burstSeconds))}
}

// Catalogue returns the catalogue of the shape, with account limits for a nominal
// total rate in requests/s.
func (s Shape) Catalogue(total float64, fencing catalogue.Fencing) *catalogue.Catalogue {
	c := &catalogue.Catalogue{}
	for _, v := range s.Services {
		c.Services = append(c.Services, catalogue.Service{
			ID: v.ID, Shards: shardsPerService, Slots: fleet.Slots(v.Slots), ColdSlots: fleet.Slots(v.ColdSlots),
			WarmTime: v.WarmTime, Fencing: fencing, Timeout: serviceTimeout,
		})
		c.Entries = append(c.Entries, catalogue.Entry{
			ID: fleet.EntryID(v.ID), Owner: "test fleet", Service: v.ID, PathPrefix: v.Prefix(), Class: v.Class,
			RoutingKey: catalogue.KeySource{From: catalogue.FromPathSegment, Segment: 1},
		})
	}
	for _, a := range s.Accounts {
		c.Accounts = append(c.Accounts, catalogue.Account{ID: a.ID, Limit: s.Limit(a, total)})
		c.CallerKeys = append(c.CallerKeys, catalogue.CallerKey{Hash: CallerKey(a.ID).Hash(), Account: a.ID})
	}
	return c
}
