package routecheck

import (
	"fmt"
	"strings"

	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// item is an entry in the form in which it is compared.
type item struct {
	identity string // the same in both configurations
	path     Path
	subject  string
	fields   []any // names and values in turn
	keys     []fleet.CallerKeyHash
}

// diff reports what differs from the configuration in force: first the removed entries, in
// its order, then the added and changed ones in the order of the checked configuration.
// The first of duplicates counts.
func (k *checker) diff(inForce *Config) {
	old, updated := items(inForce), items(k.c)
	oldByIdentity, byIdentity := indexItems(old), indexItems(updated)
	for _, it := range old {
		_, kept := byIdentity[it.identity]
		k.reportIf(!kept && oldByIdentity[it.identity].path == it.path, Difference, "removed", it.path, it.subject, "removed")
	}
	for _, it := range updated {
		switch before, known := oldByIdentity[it.identity]; {
		case byIdentity[it.identity].path != it.path: // a duplicate
		case !known:
			k.report(Difference, "added", it.path, it.subject, "added")
		default:
			k.diffItem(before, it)
		}
	}
}

func (k *checker) diffItem(old, updated item) {
	for i := 0; i < len(updated.fields); i += 2 {
		before, value := fmt.Sprint(old.fields[i+1]), fmt.Sprint(updated.fields[i+1])
		k.reportIf(before != value, Difference, "changed", updated.path, updated.subject, "%s: %s -> %s", updated.fields[i], before, value)
	}
	added, withdrawn := countMissing(updated.keys, old.keys), countMissing(old.keys, updated.keys)
	k.reportIf(added > 0, Difference, "keys-added", updated.path, updated.subject, "keys added: %d", added)
	k.reportIf(withdrawn > 0, Difference, "keys-withdrawn", updated.path, updated.subject, "keys withdrawn: %d", withdrawn)
}

// countMissing returns the number of different keys of list that are not in other.
func countMissing(list, other []fleet.CallerKeyHash) int {
	missing := make(map[fleet.CallerKeyHash]bool)
	for _, key := range list {
		missing[key] = true
	}
	for _, key := range other {
		delete(missing, key)
	}
	return len(missing)
}

// indexItems returns the first item with each identity.
func indexItems(list []item) map[string]item {
	index := make(map[string]item, len(list))
	for _, it := range list {
		if _, seen := index[it.identity]; !seen {
			index[it.identity] = it
		}
	}
	return index
}

func items(c *Config) []item {
	l := c.Limits
	out := []item{{path: "limits", subject: "limits", fields: []any{
		"max-header", l.MaxHeader, "max-body", l.MaxBody, "header-timeout", l.HeaderTimeout, "idle-timeout", l.IdleTimeout,
	}}}
	for _, s := range c.Services {
		out = append(out, item{identity: s.subject(), path: s.Path, subject: s.subject(), fields: []any{
			"sharded", s.Sharded, "cold-for", s.ColdFor, "cold-rate", s.ColdRate,
		}})
	}
	for _, a := range c.Accounts {
		out = append(out, item{identity: a.subject(), path: a.Path, subject: a.subject(), keys: a.Keys, fields: []any{
			"rate", a.Rate, "burst", a.Burst, "own-priority", a.HasPriority, "priority", a.Priority,
		}})
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		out = append(out, item{identity: "route " + r.target(), path: r.Path, subject: r.subject(), fields: []any{
			"name", fmt.Sprintf("%q", r.Name), "service", sharesText(r.TrafficShares), "kind", kindText(r.Kind), "timeout", r.Timeout, "target-latency", r.Target,
			"max-attempts", r.MaxAttempts, "priority", r.Priority, "public", r.Public,
		}})
	}
	return out
}

// sharesText returns the services of a route with their weights.
func sharesText(list []routes.TrafficShare) string {
	var parts []string
	for _, share := range list {
		parts = append(parts, fmt.Sprintf("%q %d", share.Service, share.Weight))
	}
	return strings.Join(parts, ", ")
}

// kindText returns the name of a kind.
func kindText(kind routes.Kind) string {
	if unknown, ok := kind.(routes.UnknownKind); ok {
		return fmt.Sprintf("unknown: %q", unknown.Name)
	}
	return map[routes.Kind]string{
		nil: "missing", routes.Safe{}: "safe", routes.Download{}: "download", routes.Unsafe{}: "unsafe", routes.Upload{}: "upload",
	}[kind]
}
