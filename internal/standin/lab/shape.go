package lab

import (
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Shape describes a fleet.
type Shape struct {
	Name        string
	Zones       []fleet.ZoneID // instances and upstreams are spread over them in turn
	Instances   int
	Services    []Service
	Accounts    []Account
	CallerDelay time.Duration // between callers and instances
	DrainTime   time.Duration // of upstreams after SIGTERM
}

// Service is a group of upstreams with one entry of the same name.
type Service struct {
	ID              fleet.ServiceID
	Upstreams       int
	Class           catalogue.Class
	Weight          float64 // of a request in the service figure
	Slots, Cold     int
	ServiceTime     time.Duration // mean
	WarmTime        time.Duration
	Keys            int
	Skew            float64
	StragglePercent float64 // of the requests take StraggleTime
	StraggleTime    time.Duration
}

// Account is a client account. Its share of the load is relative to the other
// accounts. It sends Times what its share is, and Sticky of its requests to the
// first instance.
type Account struct {
	ID     fleet.AccountID
	Share  float64
	Times  float64 // 0 means 1
	Sticky float64
}

const (
	// limitHeadroom is the ratio of an account's limit to its nominal rate. With
	// less, the load at half of the capacity would exceed the limits.
	limitHeadroom = 2
	// burstSeconds is the burst of a limit in seconds of its rate.
	burstSeconds = 1
	minBurst     = 20

	serviceTimeout = 5 * time.Second
	shards         = catalogue.DefaultShards
)

// service returns a service with the properties that all shapes share. The
// service time puts half of the capacity at about 1,800 requests/s for 33
// upstreams, which 10 cores bear together with the whole fleet.
func service(id string, upstreams int, class catalogue.Class, weight float64) Service {
	return Service{
		ID: fleet.ServiceID(id), Upstreams: upstreams, Class: class, Weight: weight, Slots: 6, Cold: 2,
		ServiceTime: 55 * time.Millisecond, WarmTime: time.Second, Keys: 1000, Skew: 1.1,
	}
}

// accounts returns 8 client accounts, 3 of them large. The last one sends three
// times its limit; of the one before, the load balancer sends most requests to
// one instance.
func accounts() []Account {
	out := make([]Account, 0, 8)
	for i, share := range []float64{30, 25, 18, 6, 6, 5, 5, 5} {
		out = append(out, Account{ID: fleet.AccountID("account-" + strconv.Itoa(i+1)), Share: share})
	}
	out[len(out)-2].Sticky = 0.7
	out[len(out)-1].Times = 3 * limitHeadroom
	return out
}

// Shapes returns the shapes by name.
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

// FindShape returns a shape by name.
func FindShape(name string) (Shape, error) {
	s, ok := Shapes()[name]
	if !ok {
		return Shape{}, errors.Errorf("shape %q: want authority, porteria or small", name)
	}
	return s, nil
}

// Capacity returns the requests/s that all slots of warm upstreams serve.
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

// Zone returns the zone of the instance or upstream with an index.
func (s Shape) Zone(i int) fleet.ZoneID { return s.Zones[i%len(s.Zones)] }

// UpstreamID returns the name of an upstream of a service, counted from 1.
func UpstreamID(service fleet.ServiceID, n int) fleet.UpstreamID {
	return fleet.UpstreamID(string(service) + "-" + strconv.Itoa(n))
}

// InstanceID returns the name of an instance, counted from 1.
func InstanceID(n int) fleet.InstanceID {
	id := strconv.Itoa(n)
	if n < 10 {
		id = "0" + id
	}
	return fleet.InstanceID("instance-" + id)
}

// Prefix returns the path below which a service's entry routes.
func (v Service) Prefix() string { return "/" + string(v.ID) + "/" }

// callerKeyPrefix is what upstreams search their requests for.
const callerKeyPrefix = "caller-key-of-"

// CallerKey returns the caller key of an account.
func CallerKey(id fleet.AccountID) fleet.CallerKey {
	return fleet.CallerKey(callerKeyPrefix + string(id))
}

// Rate returns an account's nominal share of the total rate.
func (s Shape) Rate(a Account, total float64) float64 {
	var sum float64
	for _, o := range s.Accounts {
		sum += o.Share
	}
	return total * a.Share / sum
}

// Limit returns an account's limit at a total rate.
func (s Shape) Limit(a Account, total float64) fleet.Limit {
	rate := s.Rate(a, total) * limitHeadroom
	return fleet.Limit{Rate: fleet.PerSecond(rate), Burst: max(minBurst, fleet.Tokens(rate*burstSeconds))}
}

// Catalogue returns the catalogue of the shape with limits for a total rate.
func (s Shape) Catalogue(total float64, fencing catalogue.Fencing) *catalogue.Catalogue {
	c := &catalogue.Catalogue{}
	for _, v := range s.Services {
		c.Services = append(c.Services, catalogue.Service{
			ID: v.ID, Shards: shards, Slots: fleet.Slots(v.Slots), ColdSlots: fleet.Slots(v.Cold),
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
