// Package route matches a caller's request to an entry of the catalogue, authenticates
// its account, determines its routing key, and removes the caller key from what is
// forwarded to the upstream.
//
// No upstream receives a caller key. The request is forwarded without the parts in
// which callers present it: the Authorization header with the Bearer scheme, the
// X-Api-Key header, and the query parameter and the cookie api-key. Any other header,
// query parameter or cookie that contains a presented key in plain, percent-encoded or
// base64 form is removed too. A request whose path contains the key is refused, because
// removing a part of a path would change its meaning. Trailers are never forwarded. The
// body is not searched: a caller that puts its key into the body discloses it itself.
//
// Refusals name the violated rule and never quote the request.
//
// A path prefix matches whole path segments after percent-decoding. A path that
// resolves to another entry once dot segments and repeated slashes are cleaned is
// refused, because the upstream might resolve it that way.
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
	// defaultTimeout is the timeout of requests to a service that sets none.
	defaultTimeout = 30 * time.Second
	// maxRoutingKeyBytes keeps routing keys short enough for a header and for the
	// assignment.
	maxRoutingKeyBytes = 1024
)

// Index is a catalogue indexed for look-ups. It is immutable.
type Index struct {
	accountByKey    map[fleet.CallerKeyHash]fleet.AccountID
	accountLimits   map[fleet.AccountID]fleet.Limit
	effectiveLimits map[fleet.LimitID]fleet.Limit // without unlimited limits
	entryByPrefix   map[string]*routeEntry        // by path prefix without trailing slashes
}

// routeEntry is an entry with its service.
type routeEntry struct {
	entry    catalogue.Entry
	service  catalogue.Service
	accounts map[fleet.AccountID]struct{} // accounts that may use the entry; nil: all
}

// NewIndex returns the index of a catalogue. It omits entries whose service is unknown
// and caller keys whose account is unknown.
func NewIndex(c *catalogue.Catalogue) *Index {
	x := &Index{
		accountByKey:    make(map[fleet.CallerKeyHash]fleet.AccountID, len(c.CallerKeys)),
		accountLimits:   make(map[fleet.AccountID]fleet.Limit, len(c.Accounts)),
		effectiveLimits: make(map[fleet.LimitID]fleet.Limit, len(c.Accounts)),
		entryByPrefix:   make(map[string]*routeEntry, len(c.Entries)),
	}
	for _, a := range c.Accounts {
		x.accountLimits[a.ID] = a.Limit
		x.addLimit(fleet.AccountLimit(a.ID), a.Limit)
	}
	for _, k := range c.CallerKeys {
		if _, ok := x.accountLimits[k.Account]; ok {
			x.accountByKey[k.Hash] = k.Account
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
		t := &routeEntry{entry: e, service: s}
		if len(e.Accounts) > 0 {
			t.accounts = make(map[fleet.AccountID]struct{}, len(e.Accounts))
			for _, a := range e.Accounts {
				t.accounts[a] = struct{}{}
			}
		}
		x.entryByPrefix[strings.TrimRight(e.PathPrefix, "/")] = t
		x.addLimit(fleet.EntryLimit(e.ID), e.Limit)
	}
	return x
}

func (x *Index) addLimit(id fleet.LimitID, l fleet.Limit) {
	if !l.Unlimited() {
		x.effectiveLimits[id] = l
	}
}

// Limit returns the limit with the given id, unless it is unknown or unlimited.
func (x *Index) Limit(id fleet.LimitID) (fleet.Limit, bool) {
	l, ok := x.effectiveLimits[id]
	return l, ok
}

// Limits returns the ids of all limits that are not unlimited, in sorted order.
func (x *Index) Limits() []fleet.LimitID { return slices.Sorted(maps.Keys(x.effectiveLimits)) }

// matchEntry returns the entry with the longest path prefix that matches whole segments
// of the path p, or nil.
func (x *Index) matchEntry(p string) *routeEntry {
	p = strings.TrimRight(p, "/")
	for {
		if t, ok := x.entryByPrefix[p]; ok {
			return t
		}
		i := strings.LastIndexByte(p, '/')
		if i < 0 {
			return nil
		}
		p = p[:i]
	}
}

// Incoming is a request as received from a caller, without its body.
type Incoming struct {
	RequestID       fleet.RequestID // assigned by the receiving instance
	Method, Target  string          // Target is the path with the query
	Host            string
	Header, Trailer http.Header
}

// Routed is a request that was accepted for forwarding.
type Routed struct {
	Entry    catalogue.Entry
	Service  catalogue.Service
	Account  fleet.AccountID // empty if the entry is open and there is no valid caller key
	Key      fleet.RoutingKey
	Target   string      // without the caller key
	Header   http.Header // without the caller key and hop-by-hop headers
	Limits   []limit.RequestLimit
	Deadline time.Time
}

func newRefusal(reason fleet.Reason, detail string) *fleet.Refusal {
	return &fleet.Refusal{Reason: reason, Detail: detail}
}

// Decide routes a request or refuses it. It does not modify r. The Routed value
// returned with a refusal holds what was determined before it, for explanations.
func Decide(now time.Time, cat *Index, r Incoming) (Routed, *fleet.Refusal) {
	rawPath, rawQuery, hasQuery := strings.Cut(r.Target, "?")
	decoded, err := url.PathUnescape(rawPath)
	if err != nil || !strings.HasPrefix(rawPath, "/") || !hasNoControlChars(decoded) || strings.Contains(rawPath, "#") {
		return Routed{}, newRefusal(fleet.ReasonBadRequest, "the request target is not a valid path")
	}
	t := cat.matchEntry(decoded)
	if t != cat.matchEntry(path.Clean(decoded)) {
		return Routed{}, newRefusal(fleet.ReasonBadRequest, "the path is ambiguous")
	}
	if t == nil {
		return Routed{}, newRefusal(fleet.ReasonNoRoute, "no entry matches the path")
	}
	keys := presentedKeys(r, rawQuery)
	out := Routed{Entry: t.entry, Service: t.service, Target: rawPath}
	account, refusal := cat.authenticate(t, keys)
	if refusal != nil {
		return out, refusal
	}
	out.Account = account
	s := newKeySearch(keys)
	if s.containsKey(rawPath) {
		return out, newRefusal(fleet.ReasonBadRequest, "the path contains the caller key")
	}
	out.Header = s.filterHeader(r.Header)
	if hasQuery {
		if rawQuery = s.filterQuery(rawQuery); rawQuery != "" {
			out.Target += "?" + rawQuery
		}
	}
	// A key that contains a separator can extend over several parameters.
	if s.containsKey(out.Target) {
		return out, newRefusal(fleet.ReasonBadRequest, "the query contains the caller key")
	}
	if out.Key, refusal = routingKey(t.entry.RoutingKey, decoded, rawQuery, out.Header); refusal != nil {
		return out, refusal
	}
	timeout, refusal := requestTimeout(t.service, r.Header)
	if refusal != nil {
		return out, refusal
	}
	out.Deadline = now.Add(timeout)
	out.Header.Set(fleet.HeaderDeadline, strconv.FormatInt(timeout.Milliseconds(), 10))
	out.Limits = cat.requestLimits(t, account)
	return out, nil
}

func (x *Index) authenticate(t *routeEntry, keys []string) (fleet.AccountID, *fleet.Refusal) {
	if len(keys) > 1 {
		return "", newRefusal(fleet.ReasonBadRequest, "the request presents different caller keys")
	}
	var account fleet.AccountID
	known := false
	if len(keys) == 1 {
		account, known = x.accountByKey[fleet.CallerKey(keys[0]).Hash()]
	}
	if t.entry.Open {
		return account, nil
	}
	if !known {
		return "", newRefusal(fleet.ReasonUnauthenticated, "the request has no valid caller key")
	}
	if t.accounts != nil {
		if _, ok := t.accounts[account]; !ok {
			return "", newRefusal(fleet.ReasonForbidden, "the entry is not available to this account")
		}
	}
	return account, nil
}

func (x *Index) requestLimits(t *routeEntry, account fleet.AccountID) []limit.RequestLimit {
	var out []limit.RequestLimit
	if l := x.accountLimits[account]; account != "" && !l.Unlimited() {
		out = append(out, limit.RequestLimit{ID: fleet.AccountLimit(account), Limit: l})
	}
	if l := t.entry.Limit; !l.Unlimited() {
		out = append(out, limit.RequestLimit{ID: fleet.EntryLimit(t.entry.ID), Limit: l})
	}
	return out
}

// requestTimeout returns the timeout that the caller requests, or that of the service if
// it is shorter or the caller requests none.
func requestTimeout(s catalogue.Service, h http.Header) (time.Duration, *fleet.Refusal) {
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
		return 0, newRefusal(fleet.ReasonBadRequest, fleet.HeaderDeadline+" is not a positive number of milliseconds")
	}
	if ms < uint64(timeout.Milliseconds()) {
		timeout = time.Duration(ms) * time.Millisecond
	}
	return timeout, nil
}

// routingKey reads the routing key from the parts of the request that the upstream
// receives. Path segments count from 0. A request with several different values is
// refused, since the upstream might use another value than the router.
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
		return "", newRefusal(fleet.ReasonBadRequest, "the request has no routing key")
	case len(values) > 1:
		return "", newRefusal(fleet.ReasonBadRequest, "the request has several routing keys")
	case len(values[0]) > maxRoutingKeyBytes || !hasNoControlChars(values[0]):
		return "", newRefusal(fleet.ReasonBadRequest, "the routing key is too long or has control characters")
	}
	return fleet.RoutingKey(values[0]), nil
}

// hasNoControlChars reports whether s contains no control characters. In a header value
// they could end the line.
func hasNoControlChars(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == 0x7f })
}

// hopByHop lists the headers that apply to a single connection, and those that the HTTP
// client of the next connection sets itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// StripHopByHop returns a copy of h without the hop-by-hop headers and without those that
// its Connection header names.
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
