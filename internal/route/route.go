// Package route decides where a caller's request goes, for whom it runs and what
// of it an upstream may see.
//
// No upstream sees a caller key. The places where callers present it are removed:
// the Authorization header with the Bearer scheme, X-Api-Key, and the query
// parameter and the cookie api-key. Any other header, query parameter or cookie
// that contains a presented key in plain, percent-encoded or base64 form is removed
// too. A path that contains it is refused, because a path cannot be cut without
// changing its meaning. Trailers are never passed on. The body is not searched: a
// caller that copies its key into the body sends it itself.
//
// Refusals name the rule that was broken and never quote the request.
//
// A path prefix matches whole path segments, after percent-decoding. A path that
// upstreams could read as one of another entry, by resolving dot segments or
// repeated slashes, is refused.
package route

import (
	"maps"
	"net/http"
	"net/url"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/limit"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// defaultTimeout bounds requests to a service without a timeout.
	defaultTimeout = 30 * time.Second
	// maxRoutingKey keeps routing keys fit for a header and the assignment.
	maxRoutingKey = 1024
)

// Index is a catalogue prepared for look-ups. It is immutable.
type Index struct {
	accounts map[fleet.CallerKeyHash]fleet.AccountID
	limits   map[fleet.AccountID]fleet.Limit
	bounded  map[fleet.LimitID]fleet.Limit // without the unlimited ones
	prefixes map[string]*target            // by path prefix without a slash at its end
}

type target struct {
	entry    catalogue.Entry
	service  catalogue.Service
	accounts map[fleet.AccountID]struct{} // nil: all
}

// NewIndex prepares a catalogue. Entries whose service is unknown, and caller keys
// whose account is unknown, are left out.
func NewIndex(c *catalogue.Catalogue) *Index {
	x := &Index{
		accounts: make(map[fleet.CallerKeyHash]fleet.AccountID, len(c.CallerKeys)),
		limits:   make(map[fleet.AccountID]fleet.Limit, len(c.Accounts)),
		bounded:  make(map[fleet.LimitID]fleet.Limit, len(c.Accounts)),
		prefixes: make(map[string]*target, len(c.Entries)),
	}
	for _, a := range c.Accounts {
		x.limits[a.ID] = a.Limit
		x.bound(fleet.AccountLimit(a.ID), a.Limit)
	}
	for _, k := range c.CallerKeys {
		if _, ok := x.limits[k.Account]; ok {
			x.accounts[k.Hash] = k.Account
		}
	}
	services := make(map[fleet.ServiceID]catalogue.Service, len(c.Services))
	for _, s := range c.Services {
		services[s.ID] = s
	}
	for _, e := range c.Entries {
		s, ok := services[e.Service]
		if !ok {
			continue
		}
		t := &target{entry: e, service: s}
		if len(e.Accounts) > 0 {
			t.accounts = make(map[fleet.AccountID]struct{}, len(e.Accounts))
			for _, a := range e.Accounts {
				t.accounts[a] = struct{}{}
			}
		}
		x.prefixes[strings.TrimRight(e.PathPrefix, "/")] = t
		x.bound(fleet.EntryLimit(e.ID), e.Limit)
	}
	return x
}

func (x *Index) bound(id fleet.LimitID, l fleet.Limit) {
	if !l.Unlimited() {
		x.bounded[id] = l
	}
}

// Limit returns the limit with the id, if it bounds anything.
func (x *Index) Limit(id fleet.LimitID) (fleet.Limit, bool) {
	l, ok := x.bounded[id]
	return l, ok
}

// Limits returns the ids of all limits that bound anything, sorted.
func (x *Index) Limits() []fleet.LimitID { return slices.Sorted(maps.Keys(x.bounded)) }

// match returns the entry with the longest prefix of whole segments, or nil.
func (x *Index) match(p string) *target {
	p = strings.TrimRight(p, "/")
	for {
		if t, ok := x.prefixes[p]; ok {
			return t
		}
		i := strings.LastIndexByte(p, '/')
		if i < 0 {
			return nil
		}
		p = p[:i]
	}
}

// Incoming is a request as a caller sent it, without its body.
type Incoming struct {
	RequestID       fleet.RequestID // given by the receiving instance
	Method, Target  string          // Target is the path and query
	Host            string
	Header, Trailer http.Header
}

// Routed is a request that may run.
type Routed struct {
	Entry    catalogue.Entry
	Service  catalogue.Service
	Account  fleet.AccountID // empty on an open route without a valid caller key
	Key      fleet.RoutingKey
	Target   string      // without the caller key
	Header   http.Header // without the caller key and hop-by-hop headers
	Limits   []limit.Bounded
	Deadline time.Time
}

func refuse(reason fleet.Reason, detail string) *fleet.Refusal {
	return &fleet.Refusal{Reason: reason, Detail: detail}
}

// Decide routes a request or refuses it. It changes nothing in r. With a refusal it
// returns what was decided before, for explanations.
func Decide(now time.Time, cat *Index, r Incoming) (Routed, *fleet.Refusal) {
	rawPath, rawQuery, hasQuery := strings.Cut(r.Target, "?")
	decoded, err := url.PathUnescape(rawPath)
	if err != nil || !strings.HasPrefix(rawPath, "/") || !plainText(decoded) || strings.Contains(rawPath, "#") {
		return Routed{}, refuse(fleet.ReasonBadRequest, "the request target is not a valid path")
	}
	t := cat.match(decoded)
	if t != cat.match(path.Clean(decoded)) {
		return Routed{}, refuse(fleet.ReasonBadRequest, "the path is ambiguous")
	}
	if t == nil {
		return Routed{}, refuse(fleet.ReasonNoRoute, "no entry matches the path")
	}
	keys := presented(r, rawQuery)
	out := Routed{Entry: t.entry, Service: t.service, Target: rawPath}
	account, refusal := cat.authenticate(t, keys)
	if refusal != nil {
		return out, refusal
	}
	out.Account = account
	s := newSearch(keys)
	if s.found(rawPath) {
		return out, refuse(fleet.ReasonBadRequest, "the path contains the caller key")
	}
	out.Header = s.header(r.Header)
	if hasQuery {
		if rawQuery = s.query(rawQuery); rawQuery != "" {
			out.Target += "?" + rawQuery
		}
	}
	// A key with a separator in it can stand across parameters.
	if s.found(out.Target) {
		return out, refuse(fleet.ReasonBadRequest, "the query contains the caller key")
	}
	if out.Key, refusal = routingKey(t.entry.RoutingKey, decoded, rawQuery, out.Header); refusal != nil {
		return out, refusal
	}
	timeout, refusal := timeoutOf(t.service, r.Header)
	if refusal != nil {
		return out, refusal
	}
	out.Deadline = now.Add(timeout)
	out.Header.Set(fleet.HeaderDeadline, strconv.FormatInt(timeout.Milliseconds(), 10))
	out.Limits = cat.bounds(t, account)
	return out, nil
}

func (x *Index) authenticate(t *target, keys []string) (fleet.AccountID, *fleet.Refusal) {
	if len(keys) > 1 {
		return "", refuse(fleet.ReasonBadRequest, "the request presents different caller keys")
	}
	var account fleet.AccountID
	known := false
	if len(keys) == 1 {
		account, known = x.accounts[fleet.CallerKey(keys[0]).Hash()]
	}
	if t.entry.Open {
		return account, nil
	}
	if !known {
		return "", refuse(fleet.ReasonUnauthenticated, "the request has no valid caller key")
	}
	if t.accounts != nil {
		if _, ok := t.accounts[account]; !ok {
			return "", refuse(fleet.ReasonForbidden, "the entry is not available to this account")
		}
	}
	return account, nil
}

func (x *Index) bounds(t *target, account fleet.AccountID) []limit.Bounded {
	var out []limit.Bounded
	if l := x.limits[account]; account != "" && !l.Unlimited() {
		out = append(out, limit.Bounded{ID: fleet.AccountLimit(account), Limit: l})
	}
	if l := t.entry.Limit; !l.Unlimited() {
		out = append(out, limit.Bounded{ID: fleet.EntryLimit(t.entry.ID), Limit: l})
	}
	return out
}

// timeoutOf returns the caller's timeout, at most the service's.
func timeoutOf(s catalogue.Service, h http.Header) (time.Duration, *fleet.Refusal) {
	timeout := s.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	values := h.Values(fleet.HeaderDeadline)
	if len(values) == 0 {
		return timeout, nil
	}
	ms, err := strconv.ParseUint(values[0], 10, 63)
	if err != nil || ms == 0 || len(values) > 1 {
		return 0, refuse(fleet.ReasonBadRequest, fleet.HeaderDeadline+" is not a positive number of milliseconds")
	}
	if ms < uint64(timeout.Milliseconds()) {
		timeout = time.Duration(ms) * time.Millisecond
	}
	return timeout, nil
}

// routingKey reads the key from what an upstream will see. Path segments count from
// 0. Several different values are refused, since the upstream might use another one
// than the router.
func routingKey(src catalogue.KeySource, decoded, rawQuery string, h http.Header) (fleet.RoutingKey, *fleet.Refusal) {
	var values []string
	switch src.From {
	case catalogue.FromHeader:
		values = slices.Clone(h.Values(src.Name))
	case catalogue.FromQuery:
		for pair := range strings.SplitSeq(rawQuery, "&") {
			if name, value := queryPair(pair); name == src.Name {
				values = append(values, value)
			}
		}
	case catalogue.FromPathSegment:
		segments := strings.Split(strings.TrimPrefix(decoded, "/"), "/")
		if src.Segment >= 0 && src.Segment < len(segments) {
			values = segments[src.Segment : src.Segment+1]
		}
	}
	slices.Sort(values)
	values = slices.Compact(values)
	switch {
	case len(values) == 0 || values[0] == "":
		return "", refuse(fleet.ReasonBadRequest, "the request has no routing key")
	case len(values) > 1:
		return "", refuse(fleet.ReasonBadRequest, "the request has several routing keys")
	case len(values[0]) > maxRoutingKey || !plainText(values[0]):
		return "", refuse(fleet.ReasonBadRequest, "the routing key is too long or has control characters")
	}
	return fleet.RoutingKey(values[0]), nil
}

// plainText reports whether s has no control characters, which could end a header
// line when the value is sent as one.
func plainText(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == 0x7f })
}

// hopByHop lists headers that belong to one connection, and those that the client
// of the next connection sets by itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// StripHopByHop returns a copy of h without hop-by-hop headers and those that
// Connection names.
func StripHopByHop(h http.Header) http.Header {
	out := maps.Clone(h)
	if out == nil {
		out = http.Header{}
	}
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}
