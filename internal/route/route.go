// Package route decides what a caller's request is: which catalogue entry it
// falls under, which client account it runs for, by which routing key it is
// routed, and which limits it is subject to. It also removes the caller key.
//
// The caller key is removed wherever it may stand outside of the body: in its
// four places, in every other header, query parameter and cookie whose value
// contains it in plain, percent-encoded or base64 form, and in trailers, of
// which none is passed on. A path that contains it is refused. The body is not
// searched: a caller that writes its key there has sent it itself.
//
// No refusal contains the caller key.
package route

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/limit"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Incoming is a caller's request without its body.
type Incoming struct {
	RequestID fleet.RequestID
	Method    string
	Target    string // path and query as on the request line
	Host      string
	Header    http.Header
	Trailer   http.Header
}

// Routed is what was decided about a request.
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

// maxKeyLength bounds routing keys, which travel in headers between instances.
const maxKeyLength = 512

// Decide returns what the request is, or why it is refused. What was decided
// before a refusal is returned with it.
func Decide(now time.Time, x *Index, r Incoming) (Routed, *fleet.Refusal) {
	u, err := url.ParseRequestURI(r.Target)
	if err != nil || !strings.HasPrefix(u.Path, "/") {
		return Routed{}, badRequest("the request target is not a path")
	}
	entry, ok := x.entry(u.Path)
	if !ok {
		return Routed{}, &fleet.Refusal{Reason: fleet.ReasonNoRoute, Detail: "no entry matches the path"}
	}
	out := Routed{Entry: entry, Service: x.services[entry.Service]}
	secret, refusal := credential(u, r.Header)
	if refusal != nil {
		return out, refusal
	}
	if out.Account, refusal = x.authenticate(entry, secret); refusal != nil {
		return out, refusal
	}
	if out.Target, out.Header, refusal = strip(u, r, secret); refusal != nil {
		return out, refusal
	}
	if out.Key, refusal = routingKey(entry.RoutingKey, u, out.Header); refusal != nil {
		return out, refusal
	}
	if out.Deadline, refusal = deadline(now, out.Service, r.Header); refusal != nil {
		return out, refusal
	}
	out.Limits = x.bounds(out.Account, entry)
	return out, nil
}

func badRequest(detail string) *fleet.Refusal {
	return &fleet.Refusal{Reason: fleet.ReasonBadRequest, Detail: detail}
}

// authenticate returns the account of the caller key. An open route takes any
// request, and counts it for the account if the key is valid.
func (x *Index) authenticate(e catalogue.Entry, secret fleet.CallerKey) (fleet.AccountID, *fleet.Refusal) {
	account, valid := fleet.AccountID(""), false
	if secret != "" {
		account, valid = x.keys[secret.Hash()]
	}
	switch {
	case e.Open:
		return account, nil
	case secret == "":
		return "", &fleet.Refusal{Reason: fleet.ReasonUnauthenticated, Detail: "no caller key"}
	case !valid:
		return "", &fleet.Refusal{Reason: fleet.ReasonUnauthenticated, Detail: "the caller key is not valid"}
	case !x.allowed(e, account):
		return account, &fleet.Refusal{Reason: fleet.ReasonForbidden, Detail: "the client account may not use entry " + string(e.ID)}
	}
	return account, nil
}

// routingKey takes the key from the request.
func routingKey(from catalogue.KeySource, u *url.URL, h http.Header) (fleet.RoutingKey, *fleet.Refusal) {
	var key, place string
	switch from.From {
	case catalogue.FromHeader:
		key, place = h.Get(from.Name), "header "+from.Name
	case catalogue.FromQuery:
		key, place = u.Query().Get(from.Name), "query parameter "+from.Name
	case catalogue.FromPathSegment:
		place = "path segment " + strconv.Itoa(from.Segment)
		if parts := strings.Split(strings.TrimPrefix(u.Path, "/"), "/"); from.Segment < len(parts) {
			key = parts[from.Segment]
		}
	}
	if key == "" {
		return "", badRequest("no routing key in " + place)
	}
	if len(key) > maxKeyLength {
		return "", badRequest("the routing key in " + place + " is longer than " + strconv.Itoa(maxKeyLength) + " bytes")
	}
	return fleet.RoutingKey(key), nil
}

// deadline returns the caller's deadline, at most the service's timeout from now.
func deadline(now time.Time, s catalogue.Service, h http.Header) (time.Time, *fleet.Refusal) {
	text := h.Get(fleet.HeaderDeadline)
	if text == "" {
		return now.Add(s.Timeout), nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return time.Time{}, badRequest("header " + fleet.HeaderDeadline + " is not a positive number of milliseconds")
	}
	return now.Add(min(time.Duration(ms)*time.Millisecond, s.Timeout)), nil
}
