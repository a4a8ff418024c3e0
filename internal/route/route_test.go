package route

import (
	"encoding/base64"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/limit"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const testKey = "k3y/with+odd=chars-0123456789"

func testIndex() *Index {
	key := func(s fleet.CallerKey, a fleet.AccountID) catalogue.CallerKey {
		return catalogue.CallerKey{Hash: s.Hash(), Account: a}
	}
	entry := func(id fleet.EntryID, prefix string, from catalogue.KeySource) catalogue.Entry {
		return catalogue.Entry{ID: id, Service: "s", PathPrefix: prefix, RoutingKey: from}
	}
	query := catalogue.KeySource{From: catalogue.FromQuery, Name: "hall"}
	open, only := entry("open", "/open", query), entry("only", "/only", query)
	open.Open, only.Accounts = true, []fleet.AccountID{"b"}
	open.Limit = fleet.Limit{Rate: 5, Burst: 1}
	return NewIndex(&catalogue.Catalogue{
		Services: []catalogue.Service{{ID: "s", Timeout: 2 * time.Second}},
		Entries: []catalogue.Entry{
			entry("root", "/look", query), open, only,
			entry("deep", "/look/deep", catalogue.KeySource{From: catalogue.FromPathSegment, Segment: 2}),
			entry("head", "/head/", catalogue.KeySource{From: catalogue.FromHeader, Name: "X-Hall"}),
		},
		Accounts:   []catalogue.Account{{ID: "a", Limit: fleet.Limit{Rate: 10, Burst: 3}}, {ID: "b"}},
		CallerKeys: []catalogue.CallerKey{key(testKey, "a"), key("other-key-0123456789", "b")},
	})
}

func bearer(key string) http.Header { return http.Header{"Authorization": {"Bearer " + key}} }

// Guards against requests that run for another account, under another entry or
// by another key than they should, and against a refusal without its cause.
func TestDecide(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	type decided struct {
		Entry    fleet.EntryID
		Account  fleet.AccountID
		Key      fleet.RoutingKey
		Deadline time.Duration
		Limits   []fleet.LimitID
		Reason   fleet.Reason
	}
	limited := []fleet.LimitID{"account:a"}
	tests := map[string]struct {
		target string
		header http.Header
		want   decided
	}{
		"query key":         {"/look?hall=h%201", bearer(testKey), decided{"root", "a", "h 1", 2 * time.Second, limited, ""}},
		"longest prefix":    {"/look/deep/7/x", bearer(testKey), decided{"deep", "a", "7", 2 * time.Second, limited, ""}},
		"whole segments":    {"/looking?hall=1", bearer(testKey), decided{Reason: fleet.ReasonNoRoute}},
		"header key":        {"/head/x", http.Header{"X-Api-Key": {testKey}, "X-Hall": {"9"}}, decided{"head", "a", "9", 2 * time.Second, limited, ""}},
		"cookie credential": {"/look?hall=1", http.Header{"Cookie": {"x=1; api-key=" + testKey}}, decided{"root", "a", "1", 2 * time.Second, limited, ""}},
		"query credential":  {"/look?hall=1&api-key=" + url.QueryEscape(testKey), nil, decided{"root", "a", "1", 2 * time.Second, limited, ""}},
		"no credential":     {"/look?hall=1", nil, decided{Entry: "root", Reason: fleet.ReasonUnauthenticated}},
		"wrong credential":  {"/look?hall=1", bearer("nope"), decided{Entry: "root", Reason: fleet.ReasonUnauthenticated}},
		"two credentials":   {"/look?hall=1&api-key=other-key-0123456789", bearer(testKey), decided{Entry: "root", Reason: fleet.ReasonBadRequest}},
		"forbidden":         {"/only?hall=1", bearer(testKey), decided{Entry: "only", Account: "a", Reason: fleet.ReasonForbidden}},
		"open":              {"/open?hall=1", nil, decided{"open", "", "1", 2 * time.Second, []fleet.LimitID{"entry:open"}, ""}},
		"open with key":     {"/open?hall=1", bearer(testKey), decided{"open", "a", "1", 2 * time.Second, []fleet.LimitID{"account:a", "entry:open"}, ""}},
		"no routing key":    {"/look", bearer(testKey), decided{Entry: "root", Account: "a", Reason: fleet.ReasonBadRequest}},
		"long routing key":  {"/look?hall=" + strings.Repeat("x", 513), bearer(testKey), decided{Entry: "root", Account: "a", Reason: fleet.ReasonBadRequest}},
		"own deadline":      {"/look?hall=1", http.Header{"X-Api-Key": {testKey}, "Parsley-Deadline-Ms": {"150"}}, decided{"root", "a", "1", 150 * time.Millisecond, limited, ""}},
		"long deadline":     {"/look?hall=1", http.Header{"X-Api-Key": {testKey}, "Parsley-Deadline-Ms": {"99000"}}, decided{"root", "a", "1", 2 * time.Second, limited, ""}},
		"bad deadline":      {"/look?hall=1", http.Header{"X-Api-Key": {testKey}, "Parsley-Deadline-Ms": {"-1"}}, decided{Entry: "root", Account: "a", Key: "1", Reason: fleet.ReasonBadRequest}},
		"key in path":       {"/look/" + url.PathEscape(testKey) + "?hall=1", bearer(testKey), decided{Entry: "root", Account: "a", Reason: fleet.ReasonBadRequest}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			out, refusal := Decide(now, testIndex(), Incoming{Method: "GET", Target: tt.target, Header: tt.header})
			got := decided{Entry: out.Entry.ID, Account: out.Account, Key: out.Key}
			if refusal != nil {
				got.Reason = refusal.Reason
				if refusal.Detail == "" || strings.Contains(refusal.Detail, testKey) {
					t.Errorf("detail = %q", refusal.Detail)
				}
			} else {
				got.Deadline = out.Deadline.Sub(now)
				for _, l := range out.Limits {
					got.Limits = append(got.Limits, l.ID)
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a caller key that reaches an upstream in any form, and against
// the loss of what is not the caller key.
func TestStripsCallerKey(t *testing.T) {
	encode := base64.StdEncoding.EncodeToString
	h := http.Header{
		"Authorization":       {"bearer " + testKey},
		"Cookie":              {"a=1; api-key=" + testKey + "; b=" + url.QueryEscape(testKey), "c=3"},
		"X-Api-Key":           {testKey},
		"X-Plain":             {"pre" + testKey + "post", "kept"},
		"X-Base64":            {encode([]byte("user:" + testKey))},
		"X-Base64-Url":        {base64.RawURLEncoding.EncodeToString([]byte("ab" + testKey + "c"))},
		"X-Percent":           {"100%&" + url.QueryEscape(testKey)},
		"X-Twice":             {url.QueryEscape(url.QueryEscape(testKey))},
		"X-Nested":            {"u=" + url.QueryEscape(encode([]byte(testKey)))},
		"Referer":             {"http://x/?api-key=" + url.QueryEscape(testKey)},
		"X-" + "Kept":         {"100%", "a b"},
		"Connection":          {"keep-alive, X-Hop"},
		"X-Hop":               {"1"},
		"Te":                  {"trailers"},
		"Parsley-Account":     {"b"},
		"Parsley-Deadline-Ms": {"100"},
	}
	target := "/look?hall=1&x=%31&api-key=" + url.QueryEscape(testKey) + "&y=" + url.QueryEscape(encode([]byte(testKey))) + "&z"
	out, refusal := Decide(time.Now(), testIndex(), Incoming{Target: target, Header: h})
	if refusal != nil {
		t.Fatal(refusal)
	}
	want := http.Header{"Cookie": {"a=1; c=3"}, "X-Plain": {"kept"}, "X-Kept": {"100%", "a b"}}
	if diff := cmp.Diff(want, out.Header); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff("/look?hall=1&x=%31&z", out.Target); diff != "" {
		t.Error(diff)
	}
}

// Guards against a limit that the home of a bucket cannot find.
func TestLimits(t *testing.T) {
	x := testIndex()
	if diff := cmp.Diff([]fleet.LimitID{"account:a", "entry:open"}, x.Limits()); diff != "" {
		t.Error(diff)
	}
	for _, b := range x.bounds("a", catalogue.Entry{ID: "open"}) {
		l, ok := x.Limit(b.ID)
		if diff := cmp.Diff(limit.Bounded{ID: b.ID, Limit: l}, b); !ok || diff != "" {
			t.Error(diff)
		}
	}
}

// Guards against a target or header that crashes the instance or carries the
// caller key through.
func FuzzDecide(f *testing.F) {
	f.Add("/look?hall=1&api-key="+url.QueryEscape(testKey), "X-Any", "%zz"+testKey)
	f.Add("/look/deep/%2e%2e/1", "Cookie", "api-key=;; =;"+testKey)
	f.Add("//look?&&==", "Authorization", "Bearer")
	f.Add("/look?hall=azN5", "X-Any", base64.StdEncoding.EncodeToString([]byte(testKey)))
	f.Fuzz(func(t *testing.T, target, name, value string) {
		h := http.Header{"X-Api-Key": {testKey}}
		h.Add(name, value)
		out, refusal := Decide(time.Now(), testIndex(), Incoming{Target: target, Header: h})
		if refusal != nil {
			return
		}
		sent := []string{out.Target}
		for n, values := range out.Header {
			sent = append(append(sent, n), values...)
		}
		for _, s := range sent {
			plain, _ := url.QueryUnescape(s)
			if strings.Contains(s, testKey) || strings.Contains(plain, testKey) {
				t.Errorf("the caller key is in %q", s)
			}
		}
	})
}
