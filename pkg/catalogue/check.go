package catalogue

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Bounds of fields.
const (
	maxID       = 128 // bytes
	maxText     = 256 // bytes
	maxShards   = 65536
	maxSlots    = 1_000_000
	maxTimeout  = 10 * time.Minute
	maxRate     = 1e9 // requests per second; also the largest burst in requests
	maxSegment  = 64
	minRate     = 1e-6   // requests per second
	maxAccounts = 10_000 // of one entry

	// segmentMissing is the Segment of a KeySource of kind path-segment whose segment
	// is not given in the file.
	segmentMissing = -1
)

// problem is an error found by check. Its path is a key of decoder.nodes.
type problem struct {
	path, item, field, text string
}

// checker collects problems. The fields list, kind, name and index describe the
// item that is being checked.
type checker struct {
	problems         []problem
	list, kind, name string
	index            int
}

// Check validates c. It returns an Errors with every error found, or nil. The
// errors have no position in a file.
func (c *Catalogue) Check() error {
	var errs Errors
	for _, p := range c.check() {
		errs = append(errs, &FieldError{Item: p.item, Field: p.field, Problem: p.text})
	}
	if len(errs) == 0 {
		if n := len(c.Format()); n > MaxSize {
			errs = Errors{{Problem: fmt.Sprintf("the catalogue has %d bytes, at most %d are allowed", n, MaxSize)}}
		}
	}
	return errs.errOrNil()
}

// CheckEdit returns an Errors with the errors of the change from old to c that
// Check cannot find, or nil. The number of shards of a service must not change,
// because it determines the shard, and so the owner, of a routing key.
func (c *Catalogue) CheckEdit(old *Catalogue) error {
	var errs Errors
	for _, s := range c.Services {
		i := slices.IndexFunc(old.Services, func(o Service) bool { return o.ID == s.ID })
		if i >= 0 && old.Services[i].Shards != s.Shards {
			errs = append(errs, &FieldError{
				Item: itemName("service", string(s.ID), 0), Field: "shards",
				Problem: fmt.Sprintf("%d: the shard count of a service is fixed at %d; create another service instead", s.Shards, old.Services[i].Shards),
			})
		}
	}
	return errs.errOrNil()
}

// itemName returns the name of an item in error messages: its kind and name, or
// its kind and number in the list if it has no name.
func itemName(kind, name string, index int) string {
	if name == "" {
		return fmt.Sprintf("%s number %d", kind, index+1)
	}
	if kind == "caller key" {
		// 12 digits distinguish hashes. Text that is no hash is not repeated, because it
		// may be a caller key.
		if _, ok := parseHash(name); !ok {
			return fmt.Sprintf("%s number %d", kind, index+1)
		}
		name = name[:12]
	}
	return fmt.Sprintf("%s %q", kind, name)
}

// parseHash parses the hexadecimal form of a hash. It checks the length before
// decoding, because hex.Decode panics on text that is longer than the hash.
func parseHash(s string) (fleet.CallerKeyHash, bool) {
	if len(s) != hex.EncodedLen(sha256.Size) {
		return fleet.CallerKeyHash{}, false
	}
	h, err := fleet.ParseCallerKeyHash(s)
	return h, err == nil
}

func (c *Catalogue) check() []problem {
	k := &checker{}
	services := make(map[fleet.ServiceID]bool)
	accounts := make(map[fleet.AccountID]bool)
	for _, s := range c.Services {
		services[s.ID] = true
	}
	for _, a := range c.Accounts {
		accounts[a.ID] = true
	}
	k.services(c.Services)
	k.entries(c.Entries, services, accounts)
	k.accounts(c.Accounts)
	k.callerKeys(c.CallerKeys, accounts)
	k.outages(c.OutOfService)
	return k.problems
}

func (k *checker) setItem(list, kind, name string, i int) {
	k.list, k.kind, k.name, k.index = list, kind, name, i
}

// report adds a problem with a field of the current item. The field may be nested,
// as in "routing-key.name".
func (k *checker) report(field, format string, args ...any) {
	k.reportAt("/"+strings.ReplaceAll(field, ".", "/"), field, format, args...)
}

// reportAt adds a problem with the value at path within the current item.
func (k *checker) reportAt(path, field, format string, args ...any) {
	k.problems = append(k.problems, problem{
		path: "/" + k.list + "/" + strconv.Itoa(k.index) + path,
		item: itemName(k.kind, k.name, k.index), field: field, text: fmt.Sprintf(format, args...),
	})
}

func (k *checker) services(in []Service) {
	seen := make(map[fleet.ServiceID]bool)
	for i, s := range in {
		k.setItem(listServices, "service", string(s.ID), i)
		k.id("id", string(s.ID), seen[s.ID])
		seen[s.ID] = true
		k.inRange("shards", int64(s.Shards), 1, maxShards)
		k.inRange("slots", int64(s.Slots), 1, maxSlots)
		if s.Slots >= 1 && (s.ColdSlots < 1 || s.ColdSlots > s.Slots) {
			k.report("cold-slots", "%d: want 1 to the number of slots, %d", s.ColdSlots, s.Slots)
		}
		if s.WarmTime < 0 || s.WarmTime > maxTimeout {
			k.report("warm-time", "%s: want 0s to %s", s.WarmTime, maxTimeout)
		}
		oneOf(k, "fencing", s.Fencing, FencingChecked, FencingNone)
		if s.Timeout < time.Millisecond || s.Timeout > maxTimeout {
			k.report("timeout", "%s: want 1ms to %s", s.Timeout, maxTimeout)
		}
	}
}

func (k *checker) entries(in []Entry, services map[fleet.ServiceID]bool, accounts map[fleet.AccountID]bool) {
	seen := make(map[fleet.EntryID]bool)
	prefixes := make(map[string]fleet.EntryID)
	for i, e := range in {
		k.setItem(listEntries, "entry", string(e.ID), i)
		k.id("id", string(e.ID), seen[e.ID])
		seen[e.ID] = true
		k.printableText("owner", e.Owner, true)
		if k.required("service", string(e.Service)) && !services[e.Service] {
			k.report("service", "%q: there is no such service", e.Service)
		}
		k.pathPrefix(e.PathPrefix)
		if other, dup := prefixes[e.PathPrefix]; dup && e.PathPrefix != "" {
			k.report("path-prefix", "%q: entry %q has the same", e.PathPrefix, other)
		}
		prefixes[e.PathPrefix] = e.ID
		oneOf(k, "class", e.Class, Idempotent, NonIdempotent)
		k.limit(e.Limit)
		k.keySource(e.RoutingKey)
		k.entryAccounts(e, accounts)
	}
}

func (k *checker) entryAccounts(e Entry, accounts map[fleet.AccountID]bool) {
	if e.Open && len(e.Accounts) > 0 {
		k.report("accounts", "an open route cannot be restricted to client accounts")
	}
	if len(e.Accounts) > maxAccounts {
		k.report("accounts", "%d accounts: want at most %d", len(e.Accounts), maxAccounts)
	}
	seen := make(map[fleet.AccountID]bool)
	for i, a := range e.Accounts {
		path := "/accounts/" + strconv.Itoa(i)
		switch {
		case !accounts[a]:
			k.reportAt(path, "accounts", "%q: there is no such account", a)
		case seen[a]:
			k.reportAt(path, "accounts", "%q: listed twice", a)
		}
		seen[a] = true
	}
}

func (k *checker) accounts(in []Account) {
	seen := make(map[fleet.AccountID]bool)
	for i, a := range in {
		k.setItem(listAccounts, "account", string(a.ID), i)
		k.id("id", string(a.ID), seen[a.ID])
		seen[a.ID] = true
		k.limit(a.Limit)
	}
}

func (k *checker) callerKeys(in []CallerKey, accounts map[fleet.AccountID]bool) {
	seen := make(map[fleet.CallerKeyHash]bool)
	for i, c := range in {
		k.setItem(listCallerKeys, "caller key", c.Hash.String(), i)
		switch {
		case c.Hash == fleet.CallerKeyHash{}:
			k.report("hash", "is required")
		case seen[c.Hash]:
			k.report("hash", "listed twice")
		}
		seen[c.Hash] = true
		if k.required("account", string(c.Account)) && !accounts[c.Account] {
			k.report("account", "%q: there is no such account", c.Account)
		}
		k.printableText("note", c.Note, false)
	}
}

func (k *checker) outages(in []Outage) {
	type id struct {
		kind OutageKind
		name string
	}
	seen := make(map[id]bool)
	for i, o := range in {
		k.setItem(listOutOfService, "outage", o.Name, i)
		oneOf(k, "kind", o.Kind, OutageUpstream, OutageInstance, OutageZone)
		k.id("name", o.Name, seen[id{o.Kind, o.Name}])
		seen[id{o.Kind, o.Name}] = true
		k.printableText("by", o.By, true)
		if o.At.IsZero() {
			k.report("at", "is required")
		} else if y := o.At.UTC().Year(); y < 1970 || y > 9999 {
			k.report("at", "year %d: want 1970 to 9999", y)
		}
	}
}

func (k *checker) required(field, v string) bool {
	if v == "" {
		k.report(field, "is required")
	}
	return v != ""
}

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:@-]*$`)

// id checks an id or name; dup states whether an earlier item has the same one.
func (k *checker) id(field, v string, dup bool) {
	switch {
	case !k.required(field, v):
	case len(v) > maxID || !idPattern.MatchString(v):
		k.report(field, "%q: want a letter or digit, then letters, digits or any of . _ : @ -, at most %d bytes", v, maxID)
	case dup:
		k.report(field, "%q: listed twice", v)
	}
}

func (k *checker) printableText(field, v string, required bool) {
	if required && !k.required(field, v) {
		return
	}
	printable := func(r rune) bool { return unicode.IsPrint(r) && r != utf8.RuneError }
	if len(v) > maxText || !utf8.ValidString(v) || v != strings.TrimSpace(v) || strings.ContainsFunc(v, func(r rune) bool { return !printable(r) }) {
		k.report(field, "%q: want printable characters without spaces at either end, at most %d bytes", v, maxText)
	}
}

func (k *checker) inRange(field string, v, lo, hi int64) {
	if v < lo || v > hi {
		k.report(field, "%d: want %d to %d", v, lo, hi)
	}
}

func oneOf[T ~string](k *checker, field string, v T, allowed ...T) {
	if k.required(field, string(v)) && !slices.Contains(allowed, v) {
		names := make([]string, len(allowed))
		for i, a := range allowed {
			names[i] = string(a)
		}
		k.report(field, "%q: want %s", v, strings.Join(names, " or "))
	}
}

func (k *checker) limit(l fleet.Limit) {
	if l.Unlimited() {
		return
	}
	if r := float64(l.Rate); math.IsNaN(r) || r < minRate || r > maxRate {
		k.report("rate", "%v: want %v to %v requests per second, or neither rate nor burst for no limit", r, minRate, maxRate)
	}
	if l.Burst < 1 || l.Burst > maxRate {
		k.report("burst", "%d: want 1 to %d requests, or neither rate nor burst for no limit", l.Burst, int64(maxRate))
	}
}

var pathPattern = regexp.MustCompile(`^/[A-Za-z0-9._~!$&'()*+,;=:@/-]*$`)

// pathPrefix refuses prefixes that no normalised request path starts with, and
// those that are reserved for the router.
func (k *checker) pathPrefix(v string) {
	if !k.required("path-prefix", v) {
		return
	}
	invalid := len(v) > maxText || !pathPattern.MatchString(v) || strings.Contains(v, "//")
	for _, s := range strings.Split(v, "/") {
		invalid = invalid || s == "." || s == ".."
	}
	switch {
	case invalid:
		k.report("path-prefix", "%q: want / and path characters without escapes, empty segments or dots, at most %d bytes", v, maxText)
	case v == "/-" || strings.HasPrefix(v, "/-/"):
		k.report("path-prefix", "%q: paths below /-/ belong to the router", v)
	}
}

var headerNamePattern = regexp.MustCompile("^[A-Za-z0-9!#$%&'*+.^_`|~-]+$")

// keySource checks the source of a routing key. A source that contains the caller
// key is refused, because routing keys are sent to upstreams and written to logs.
func (k *checker) keySource(s KeySource) {
	const field = "routing-key"
	switch s.From {
	case FromPathSegment:
		if s.Segment == segmentMissing {
			k.report(field+".segment", "is required")
		} else {
			k.inRange(field+".segment", int64(s.Segment), 0, maxSegment)
		}
		if s.Name != "" {
			k.report(field+".name", "%q: not allowed with from: path-segment", s.Name)
		}
	case FromHeader, FromQuery:
		k.keyName(field+".name", s)
		if s.Segment != 0 {
			k.report(field+".segment", "%d: only allowed with from: path-segment", s.Segment)
		}
	default:
		oneOf(k, field+".from", s.From, FromHeader, FromQuery, FromPathSegment)
	}
}

func (k *checker) keyName(field string, s KeySource) {
	if !k.required(field, s.Name) {
		return
	}
	lower := strings.ToLower(s.Name)
	holdsCallerKey := s.From == FromQuery && lower == "api-key" ||
		s.From == FromHeader && slices.Contains([]string{"authorization", "proxy-authorization", "x-api-key", "cookie"}, lower)
	switch {
	case len(s.Name) > maxID || !headerNamePattern.MatchString(s.Name):
		k.report(field, "%q: want the characters of a header name, at most %d bytes", s.Name, maxID)
	case holdsCallerKey:
		k.report(field, "%q: holds the caller key, which must not reach upstreams", s.Name)
	case s.From == FromHeader && strings.HasPrefix(lower, "parsley-"):
		k.report(field, "%q: header names with Parsley- belong to the router", s.Name)
	}
}
