package routecheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// An instance refuses a body that is larger than this part of its memory, or than this
// number of bytes, as requestBodiesShare and maxRequestBodies of package direct say.
const requestBodiesDivisor, maxRequestBodies = 4, 96 << 20

// Options are what a configuration is checked against.
type Options struct {
	Memory  int64   // of the smallest instance, in bytes; 0: unknown
	InForce *Config // nil: unknown
}

// Check checks c. Findings are in the order of the lists of Config; differences from the
// configuration in force come last.
func Check(c *Config, opt Options) Report {
	k := &checker{c: c, findings: slices.Clone(c.Invalid)}
	k.checkVersion(opt.InForce)
	k.checkLimits(opt.Memory)
	k.checkServices()
	k.checkAccounts()
	k.checkHosts()
	k.checkRoutes()
	if opt.InForce != nil {
		k.diff(opt.InForce)
	}
	return Report{Version: c.VersionText, Findings: k.findings}
}

type checker struct {
	c        *Config
	findings []Finding
}

func (k *checker) report(s Severity, rule Rule, p Path, subject, format string, args ...any) {
	k.findings = append(k.findings, Finding{s, rule, p, subject, fmt.Sprintf(format, args...)})
}

// reportIf reports a finding if found is true.
func (k *checker) reportIf(found bool, s Severity, rule Rule, p Path, subject, format string, args ...any) {
	if found {
		k.report(s, rule, p, subject, format, args...)
	}
}

func (k *checker) checkVersion(inForce *Config) {
	c := k.c
	k.reportIf(c.Version == 0, Error, "version-missing", "version", "version", "it is missing, invalid or 0")
	if inForce != nil {
		k.reportIf(c.Version > 0 && c.Version <= inForce.Version, Error, "version-not-above", "version", "version",
			"%s is not above %s, which is in force: instances ignore the configuration", c.VersionText, inForce.VersionText)
	}
}

func (k *checker) checkLimits(memory int64) {
	l, share := k.c.Limits, min(memory/requestBodiesDivisor, maxRequestBodies)
	k.reportIf(l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout, Warning, "header-above-idle", "limits", "limits",
		"the header timeout %v is above the idle timeout %v", l.HeaderTimeout, l.IdleTimeout)
	k.reportIf(memory > 0 && l.MaxBody > memory, Error, "body-above-memory", "limits", "limits",
		"bodies of %d bytes exceed the memory, %d bytes", l.MaxBody, memory)
	k.reportIf(memory > 0 && l.MaxBody > share && l.MaxBody <= memory, Warning, "body-above-share", "limits", "limits",
		"bodies of %d bytes exceed what an instance has for the bodies of requests, %d bytes", l.MaxBody, share)
}

func (k *checker) checkServices() {
	priorities, seen := k.priorities(), make(map[fleet.ServiceID]Path)
	for _, s := range k.c.Services {
		k.reportIf(seen[s.ID] != "", Warning, "duplicate-service", s.Path, s.subject(), "it replaces %s, which has the same name", seen[s.ID])
		k.reportIf(priorities[s.ID] == nil, Warning, "unused-service", s.Path, s.subject(), "no route uses it")
		list := slices.Sorted(maps.Keys(priorities[s.ID]))
		k.reportIf(len(list) > 1, Information, "priorities-differ", s.Path, s.subject(), "its requests have the priorities %v: admission by priority takes effect", list)
		seen[s.ID] = s.Path
	}
}

// priorities returns the priorities of the requests that each service can get. Services
// that no route names are missing.
func (k *checker) priorities() map[fleet.ServiceID]map[routes.Priority]bool {
	out := make(map[fleet.ServiceID]map[routes.Priority]bool)
	for i := range k.c.Routes {
		r := &k.c.Routes[i].Route
		for _, share := range r.TrafficShares {
			if out[share.Service] == nil {
				out[share.Service] = make(map[routes.Priority]bool)
			}
			if share.Weight > 0 && (r.Public || len(k.c.Accounts) == 0) {
				out[share.Service][r.Priority] = true
			}
			for _, a := range k.c.Accounts {
				if share.Weight > 0 && !r.Public {
					out[share.Service][routes.PriorityOf(r, a.Account)] = true
				}
			}
		}
	}
	return out
}

func (k *checker) checkAccounts() {
	k.reportIf(len(k.c.Accounts) == 0, Warning, "no-accounts", "configuration", "accounts", "there are none: routes that are not public need no caller key")
	seen, owners := make(map[fleet.AccountID]Path), make(map[fleet.CallerKeyHash]fleet.AccountID)
	for _, a := range k.c.Accounts {
		k.reportIf(seen[a.ID] != "", Warning, "duplicate-account", a.Path, a.subject(), "its limit and priority replace those of %s, which has the same name", seen[a.ID])
		seen[a.ID] = a.Path
		k.reportIf(len(a.Keys) == 0, Warning, "no-keys", a.Path, a.subject(), "it has no keys: no caller can use it")
		for i, key := range a.Keys {
			owner, owned := owners[key]
			k.reportIf(owned && owner != a.ID, Error, "duplicate-key", a.Path, a.subject(), "key %d of its list is also one of account %q, which loses it", i+1, owner)
			owners[key] = a.ID
		}
		k.reportIf(a.Rate < 0, Error, "negative-rate", a.Path, a.subject(), "the rate %v is below 0", a.Rate)
		k.reportIf(a.Rate == 0 && a.Burst != 0, Warning, "burst-without-rate", a.Path, a.subject(), "the burst %v has no effect: without a rate there is no limit", a.Burst)
		k.reportIf(a.Rate > 0 && a.Burst < 1, Warning, "burst-below-one", a.Path, a.subject(), "the burst %v counts as 1: a request takes a whole token", a.Burst)
	}
}

func (k *checker) checkHosts() {
	seen := make(map[string]Path)
	for _, h := range k.c.Hosts {
		name, subject := routes.CanonicalHost(h.Name), fmt.Sprintf("host %q", h.Name)
		k.reportIf(seen[name] != "", Warning, "duplicate-host", h.Path, subject, "it is the host of %s: the routes of both are merged", seen[name])
		k.reportIf(name == "" || strings.ContainsAny(name, "/*?#@ "), Error, "host-never-matches", h.Path, subject, "it is no name of a host: its routes never match")
		seen[name] = h.Path
	}
}

func (k *checker) checkRoutes() {
	services, names, targets := make(map[fleet.ServiceID]bool), make(map[string]Path), make(map[string]Path)
	for _, s := range k.c.Services {
		services[s.ID] = true
	}
	for i := range k.c.Routes {
		r := &k.c.Routes[i]
		first := targets[r.target()]
		k.reportIf(names[r.Name] != "", Warning, "duplicate-name", r.Path, r.subject(), "%s has the same name", names[r.Name])
		k.reportIf(first != "", Error, "duplicate-prefix", r.Path, r.subject(), "it never matches: %s has the same host and prefix", first)
		names[r.Name] = r.Path
		if first == "" {
			targets[r.target()] = r.Path
		}
		k.checkPrefix(r)
		k.checkRoute(r)
		k.checkShares(r, services)
	}
}

func (k *checker) checkPrefix(r *Route) {
	slash, odd := strings.HasPrefix(r.Prefix, "/"), strings.ContainsAny(r.Prefix, "?# ")
	k.reportIf(r.Prefix == "", Warning, "prefix-slash", r.Path, r.subject(), "the prefix is missing: the route matches whatever no other route of the host matches")
	k.reportIf(r.Prefix != "" && !slash, Error, "prefix-slash", r.Path, r.subject(), "it never matches: the prefix does not begin with a slash")
	k.reportIf(slash && odd, Error, "never-matches", r.Path, r.subject(), "it never matches: no path contains ?, # or a space")
	k.reportIf(slash && !odd && !strings.HasSuffix(r.Prefix, "/"), Warning, "prefix-slash", r.Path, r.subject(),
		"the prefix does not end with a slash: the route also matches longer names")
}

func (k *checker) checkRoute(r *Route) {
	_, unknown := r.Kind.(routes.UnknownKind)
	k.reportIf(unknown || r.Kind == nil, Warning, "unknown-kind", r.Path, r.subject(), "the kind is %s: requests run at most once", kindText(r.Kind))
	k.reportIf(!r.Repeatable() && r.MaxAttempts > 1, Information, "attempts-of-run-once", r.Path, r.subject(),
		"%d attempts bound only how often upstreams reject a request: it runs at most once", r.MaxAttempts)
	k.reportIf(r.Timeout == 0, Error, "timeout-missing", r.Path, r.subject(), "the timeout is missing or 0: the time of each request ends at once")
	k.reportIf(r.Timeout > 0 && r.Target > r.Timeout, Warning, "target-above-timeout", r.Path, r.subject(),
		"the target latency %v is above the timeout %v", r.Target, r.Timeout)
}

func (k *checker) checkShares(r *Route, services map[fleet.ServiceID]bool) {
	for _, share := range r.TrafficShares {
		k.reportIf(!services[share.Service], Error, "unknown-service", r.Path, r.subject(), "service %q is unknown: its share of the requests is refused", share.Service)
		k.reportIf(share.Weight == 0, Warning, "weight-zero", r.Path, r.subject(), "service %q has weight 0 and gets no requests", share.Service)
	}
}
