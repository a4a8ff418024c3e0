// Package routes contains the operators' configuration in the form in which requests
// are matched against it. A Table is immutable; each newer configuration is a new Table
// with a higher version.
package routes

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Version orders configurations. Versions increase, but not necessarily by 1.
type Version uint64

// Table is one configuration.
type Table struct {
	Version  Version
	Services map[fleet.ServiceID]Service
	Accounts map[fleet.AccountID]Account

	// IdleTimeout is how long callers may leave a connection idle; 0 if it is not stated.
	IdleTimeout time.Duration

	// Problems describes the routes that are served with restrictions.
	Problems []string

	routesByHost map[string][]*Route // by canonical host, longest prefix first
	accountByKey map[fleet.CallerKeyHash]fleet.AccountID

	longestTargets map[fleet.ServiceID]time.Duration
	priorities     []Priority
}

// Service is a group of upstreams.
type Service struct {
	ID       fleet.ServiceID
	Sharded  bool            // keys are owned exclusively; see package keyspace
	ColdFor  time.Duration   // time after its start in which an upstream is cold
	ColdRate fleet.PerSecond // requests per second that a cold upstream may be sent
}

// Route defines how requests for a host and path prefix are handled.
type Route struct {
	Name          string
	Host          string
	Prefix        string         // begins and ends with a slash
	TrafficShares []TrafficShare // at least one
	Kind          Kind
	MaxAttempts   int           // maximum number of upstreams that one request is sent to
	Timeout       time.Duration // maximum time until the answer
	Target        time.Duration // target latency
	Public        bool          // requests need no caller key
	Priority      Priority
}

// Priority is the rank of requests when an upstream service has less capacity than is
// requested; 0 is the most urgent.
type Priority int

// MaxPriority is the least urgent rank. Higher numbers count as this one.
const MaxPriority = 15

// TrafficShare is the share of a route's traffic that one service gets.
type TrafficShare struct {
	Service fleet.ServiceID
	Weight  int // relative to the other shares of the route
}

// Account is a client account. A zero Limit means that there is no limit.
type Account struct {
	ID          fleet.AccountID
	Limit       fleet.Limit
	HasPriority bool // Priority takes precedence over that of the route
	Priority    Priority
}

// PriorityOf returns the rank of a request of an account on a route.
func PriorityOf(r *Route, a Account) Priority {
	if a.HasPriority {
		return a.Priority
	}
	return r.Priority
}

// NewTable returns the table of a configuration. It keeps keys and list, which must not
// change afterwards.
func NewTable(v Version, services []Service, accounts []Account, keys map[fleet.CallerKeyHash]fleet.AccountID, list []Route) *Table {
	t := &Table{
		Version: v, Services: make(map[fleet.ServiceID]Service), Accounts: make(map[fleet.AccountID]Account),
		routesByHost: make(map[string][]*Route), accountByKey: keys,
		longestTargets: make(map[fleet.ServiceID]time.Duration),
	}
	for _, s := range services {
		t.Services[s.ID] = s
	}
	for _, a := range accounts {
		t.Accounts[a.ID] = a
	}
	for i := range list {
		host := CanonicalHost(list[i].Host)
		t.routesByHost[host] = append(t.routesByHost[host], &list[i])
		t.Problems = append(t.Problems, t.problems(&list[i])...)
		for _, p := range list[i].TrafficShares {
			t.longestTargets[p.Service] = max(t.longestTargets[p.Service], list[i].Target)
		}
	}
	t.priorities = t.collectPriorities()
	for _, hostRoutes := range t.routesByHost {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// problems describes the restrictions with which r is served.
func (t *Table) problems(r *Route) []string {
	var list []string
	if k, unknown := r.Kind.(UnknownKind); unknown {
		list = append(list, fmt.Sprintf("route %q: unknown kind %q: requests run at most once", r.Name, k.Name))
	}
	for _, p := range r.TrafficShares {
		if _, known := t.Services[p.Service]; !known && p.Weight > 0 {
			list = append(list, fmt.Sprintf("route %q: unknown service %q: its share of the requests is refused", r.Name, p.Service))
		}
	}
	return list
}

// CanonicalHost returns the form of a host in which it is compared: without port, in lower
// case.
func CanonicalHost(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(name)
}

// LongestTarget returns the longest target latency of the routes that lead to a service.
func (t *Table) LongestTarget(id fleet.ServiceID) time.Duration { return t.longestTargets[id] }

// Match returns the route of host with the longest matching prefix of path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routesByHost[CanonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the account that the caller key belongs to. The second result is false
// if the key is unknown.
func (t *Table) Account(key fleet.CallerKey) (Account, bool) {
	id, ok := t.accountByKey[key.Hash()]
	if !ok {
		return Account{}, false
	}
	return t.Accounts[id], true
}
