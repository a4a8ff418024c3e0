// Package routecheck checks a configuration of the operators before it is stored, and
// compares it with the one in force. A routes.Table contains what instances use of a
// configuration; a Config also contains what they drop, such as duplicates.
package routecheck

import (
	"fmt"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Path is the position of an entry in the file, such as "services[0]".
type Path string

// Config is a configuration as it is written, in the order of the file. Entries that
// cannot be decoded are missing; Invalid describes them.
type Config struct {
	Invalid     []Finding
	Version     routes.Version
	VersionText string // in the format of the file
	Limits      Limits
	Services    []Service
	Accounts    []Account
	Hosts       []Host
	Routes      []Route
}

// Limits are the limits of callers. A zero value is not stated.
type Limits struct {
	MaxHeader, MaxBody         int64 // bytes
	HeaderTimeout, IdleTimeout time.Duration
}

// Service is a service and its position.
type Service struct {
	Path Path
	routes.Service
}

// Account is a client account, its position, and its limit as it is written: routes.Account
// has no burst without a rate, and no part of a token.
type Account struct {
	Path Path
	routes.Account
	Keys        []fleet.CallerKeyHash
	Rate, Burst float64
}

// Host is an entry that contains the routes of a host.
type Host struct {
	Path Path
	Name string
}

// Route is a route and its position.
type Route struct {
	Path Path
	routes.Route
}

// target identifies the requests that a route is for.
func (r *Route) target() string { return routes.CanonicalHost(r.Host) + " " + r.Prefix }

func (s Service) subject() string { return fmt.Sprintf("service %q", s.ID) }

func (a Account) subject() string { return fmt.Sprintf("account %q", a.ID) }

// subject returns the name of the route and the requests that it is for.
func (r *Route) subject() string {
	return fmt.Sprintf("route %q at %q", r.Name, routes.CanonicalHost(r.Host)+r.Prefix)
}
