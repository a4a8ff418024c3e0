package route

import (
	"cmp"
	"slices"
	"strings"

	"github.com/parsleyproxy/parsleyproxy/internal/limit"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Index finds what a request refers to in a catalogue. It is not changed after
// NewIndex and safe for concurrent use.
type Index struct {
	entries  []catalogue.Entry // longest path prefix first
	services map[fleet.ServiceID]catalogue.Service
	keys     map[fleet.CallerKeyHash]fleet.AccountID
	limits   map[fleet.LimitID]fleet.Limit
	ids      []fleet.LimitID // of limits that bound something, sorted
	accounts map[fleet.EntryID]map[fleet.AccountID]bool
}

// NewIndex returns an index of c.
func NewIndex(c *catalogue.Catalogue) *Index {
	x := &Index{
		entries:  slices.Clone(c.Entries),
		services: make(map[fleet.ServiceID]catalogue.Service, len(c.Services)),
		keys:     make(map[fleet.CallerKeyHash]fleet.AccountID, len(c.CallerKeys)),
		limits:   make(map[fleet.LimitID]fleet.Limit),
		accounts: make(map[fleet.EntryID]map[fleet.AccountID]bool),
	}
	slices.SortStableFunc(x.entries, func(a, b catalogue.Entry) int {
		return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
	})
	for _, s := range c.Services {
		x.services[s.ID] = s
	}
	for _, k := range c.CallerKeys {
		x.keys[k.Hash] = k.Account
	}
	for _, a := range c.Accounts {
		x.bound(fleet.AccountLimit(a.ID), a.Limit)
	}
	for _, e := range c.Entries {
		x.bound(fleet.EntryLimit(e.ID), e.Limit)
		if len(e.Accounts) == 0 {
			continue
		}
		x.accounts[e.ID] = make(map[fleet.AccountID]bool, len(e.Accounts))
		for _, a := range e.Accounts {
			x.accounts[e.ID][a] = true
		}
	}
	slices.Sort(x.ids)
	return x
}

func (x *Index) bound(id fleet.LimitID, l fleet.Limit) {
	x.limits[id] = l
	if !l.Unlimited() {
		x.ids = append(x.ids, id)
	}
}

// Limit returns the limit with the id.
func (x *Index) Limit(id fleet.LimitID) (fleet.Limit, bool) {
	l, ok := x.limits[id]
	return l, ok
}

// Limits returns the ids of all limits that bound something.
func (x *Index) Limits() []fleet.LimitID { return x.ids }

// bounds returns the limits of a request.
func (x *Index) bounds(account fleet.AccountID, e catalogue.Entry) []limit.Bounded {
	var out []limit.Bounded
	for _, id := range []fleet.LimitID{fleet.AccountLimit(account), fleet.EntryLimit(e.ID)} {
		if l := x.limits[id]; !l.Unlimited() {
			out = append(out, limit.Bounded{ID: id, Limit: l})
		}
	}
	return out
}

func (x *Index) allowed(e catalogue.Entry, account fleet.AccountID) bool {
	only := x.accounts[e.ID]
	return only == nil || only[account]
}

// entry returns the entry with the longest prefix of whole path segments.
func (x *Index) entry(path string) (catalogue.Entry, bool) {
	for _, e := range x.entries {
		if under(path, e.PathPrefix) {
			return e, true
		}
	}
	return catalogue.Entry{}, false
}

func under(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/')
}
