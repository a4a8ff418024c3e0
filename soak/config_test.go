package soak

import (
	"fmt"
	"maps"
	"strings"
	"time"
)

// Tolerance of rate limits, as in the settings of the instances. The accounts cover both
// kinds of enforcement: the limit of acme is divided among the instances, and the limit
// of tiny is counted by one instance, the account's home.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1 // tolerated excess, as a share of the limit
	quotaSlack   = 20  // tolerated requests per window beyond that
)

// account is a client account as operators configure it.
type account struct {
	name        string
	key         string // caller key
	rate, burst int    // requests/s and requests; 0: no limit
}

// config is the operators' configuration of the router. It is immutable.
type config struct {
	version  int
	accounts map[string]account
	routing  routing
}

// routing is the part of a configuration that TestSeries changes beside the accounts.
type routing struct {
	read, book  string        // services of these routes
	timeout     time.Duration // of these routes
	idleTimeout time.Duration // of connections
}

// initialConfig returns the configuration at the start of a run: one account without a
// limit and two with limits.
func initialConfig() config {
	return config{version: 3, routing: routing{"desk", "desk", 800 * time.Millisecond, 15 * time.Second}, accounts: map[string]account{
		"free": {name: "free", key: "key-free"},
		"acme": {name: "acme", key: "key-acme", rate: 60, burst: 60},
		"tiny": {name: "tiny", key: "key-tiny", rate: 4, burst: 8},
	}}
}

// withAccount returns a new version of the configuration with one account replaced.
func (c config) withAccount(a account) config {
	accounts := maps.Clone(c.accounts)
	accounts[a.name] = a
	return config{version: c.version + 2, accounts: accounts, routing: c.routing}
}

// withRouting returns a new version of the configuration with other routing.
func (c config) withRouting(r routing) config {
	return config{version: c.version + 2, accounts: c.accounts, routing: r}
}

// encode returns the configuration as the JSON that instances read from the store.
func (c config) encode() string {
	var accounts []string
	for _, a := range c.accounts {
		accounts = append(accounts, fmt.Sprintf(`{"name":%q,"apiKeys":[%q],"ratePerS":%d,"burst":%d}`, a.name, a.key, a.rate, a.burst))
	}
	return fmt.Sprintf(`{"version":"%08x","limits":{"idleTimeout":"%dms"},"services":[{"name":"desk","cold":"%dms","coldPerS":20.0},{"name":"annex"},{"name":"vault","cold":"%dms","coldPerS":20.0,"sharded":true}],
 "tenants":[%s],"virtualHosts":[{"host":"h.example","pathRules":[
  {"name":"read","prefix":"/read/","kind":"safe","timeout":"%dms","targetLatency":"400ms","service":%q,"maxAttempts":2},
  {"name":"book","prefix":"/book/","kind":"unsafe","timeout":"%dms","targetLatency":"400ms","service":%q,"maxAttempts":2},
  {"name":"keys","prefix":"/keys/","kind":"safe","timeout":"1500ms","targetLatency":"800ms","service":"vault","maxAttempts":2}]}]}`,
		c.version, c.routing.idleTimeout.Milliseconds(), coldTime.Milliseconds(), coldTime.Milliseconds(), strings.Join(accounts, ","),
		c.routing.timeout.Milliseconds(), c.routing.read, c.routing.timeout.Milliseconds(), c.routing.book)
}
