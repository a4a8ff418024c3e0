package route

import (
	"encoding/base64"
	"fmt"
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

const testKey = "s3cret/Key+of~hall"

var now = time.Unix(1_000_000, 0)

func newTestIndex(key string) *Index {
	l := fleet.Limit{Rate: 10, Burst: 20}
	bySegment := catalogue.KeySource{From: catalogue.FromPathSegment, Segment: 1}
	return NewIndex(&catalogue.Catalogue{
		Services: []catalogue.Service{{ID: "s", Timeout: 2 * time.Second}},
		Entries: []catalogue.Entry{
			{ID: "lookup", Service: "s", PathPrefix: "/lookup", RoutingKey: bySegment, Limit: l},
			{ID: "hall", Service: "s", PathPrefix: "/lookup/hall/", RoutingKey: catalogue.KeySource{From: catalogue.FromQuery, Name: "hall"}},
			{ID: "booking", Service: "s", PathPrefix: "/booking", RoutingKey: catalogue.KeySource{From: catalogue.FromHeader, Name: "X-Hall"}, Accounts: []fleet.AccountID{"b"}},
			{ID: "open", Service: "s", PathPrefix: "/open", RoutingKey: bySegment, Open: true},
		},
		Accounts:   []catalogue.Account{{ID: "a", Limit: l}, {ID: "b"}},
		CallerKeys: []catalogue.CallerKey{{Hash: fleet.CallerKey(key).Hash(), Account: "a"}, {Hash: fleet.CallerKey("other").Hash(), Account: "b"}},
	})
}

// TestDecide guards against wrong entries, accounts, routing keys, limits and deadlines,
// and against refusals for the wrong reason.
func TestDecide(t *testing.T) {
	for _, c := range []struct{ name, target, header, want string }{
		{"longest prefix", "/lookup/hall/x?hall=7", "X-Api-Key: " + testKey, `hall a 7 /lookup/hall/x?hall=7 1 2s`},
		{"both limits", "/lookup/7?", "Authorization: bearer " + testKey, `lookup a 7 /lookup/7 2 2s`},
		{"whole segments", "/lookups/7", "X-Api-Key: " + testKey, "no-route"},
		{"encoded prefix", "/%6Cookup/h%C3%A9", "X-Api-Key: " + testKey, `lookup a hé /%6Cookup/h%C3%A9 2 2s`},
		{"dot segments to another entry", "/open/../booking/1", "X-Hall: 1", "bad-request"},
		{"encoded dot segments", "/open/%2e%2e/booking/1", "X-Hall: 1", "bad-request"},
		{"absolute target", "http://x/lookup/7", "X-Api-Key: " + testKey, "bad-request"},
		{"no key", "/lookup/7", "", "unauthenticated"},
		{"withdrawn key", "/lookup/7", "X-Api-Key: withdrawn", "unauthenticated"},
		{"two keys", "/lookup/7?api-key=other", "X-Api-Key: " + testKey, "bad-request"},
		{"account that the entry does not list", "/booking", "X-Hall: 1\nX-Api-Key: " + testKey, "forbidden"},
		{"allowed account", "/booking", "X-Hall: 1\nX-Api-Key: other", "booking b 1 /booking 0 2s"},
		{"several routing keys", "/booking", "X-Hall: 1\nX-Hall: 2\nX-Api-Key: other", "bad-request"},
		{"line break in the routing key", "/lookup/hall/x?hall=1%0d%0aX:y", "X-Api-Key: " + testKey, "bad-request"},
		{"open entry", "/open/7", "X-Api-Key: withdrawn", "open  7 /open/7 0 2s"},
		{"shorter deadline", "/open/7", "Parsley-Deadline-Ms: 150", "open  7 /open/7 0 150ms"},
		{"longer deadline", "/open/7", "Parsley-Deadline-Ms: 18446744073709551615", "bad-request"},
		{"long deadline", "/open/7", "Parsley-Deadline-Ms: 9223372036854775807", "open  7 /open/7 0 2s"},
		{"key in the path", "/lookup/" + url.PathEscape(testKey), "X-Api-Key: " + testKey, "bad-request"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, refusal := Decide(now, newTestIndex(testKey), Incoming{Target: c.target, Header: parseHeader(c.header)})
			got := fmt.Sprintf("%s %s %s %s %d %v", r.Entry.ID, r.Account, r.Key, r.Target, len(r.Limits), r.Deadline.Sub(now))
			if refusal != nil {
				got = string(refusal.Reason)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
	r, _ := Decide(now, newTestIndex(testKey), Incoming{Target: "/lookup/7", Header: parseHeader("X-Api-Key: " + testKey)})
	l := fleet.Limit{Rate: 10, Burst: 20}
	if diff := cmp.Diff([]limit.RequestLimit{{ID: "account:a", Limit: l}, {ID: "entry:lookup", Limit: l}}, r.Limits); diff != "" {
		t.Error(diff)
	}
}

func parseHeader(lines string) http.Header {
	h := http.Header{}
	for line := range strings.SplitSeq(lines, "\n") {
		if name, value, ok := strings.Cut(line, ": "); ok {
			h.Add(name, value)
		}
	}
	return h
}

// TestStrip guards against forwarding a caller key, forged Parsley- headers or hop-by-hop
// headers to an upstream, and against removing headers that it needs.
func TestStrip(t *testing.T) {
	basic := base64.StdEncoding.EncodeToString([]byte("user:" + testKey))
	in := parseHeader("Cookie: a=1; api-key=" + testKey + "; b=2\nCookie: c=" + url.QueryEscape(testKey) +
		"\nAuthorization: Basic " + basic + "\nAuthorization: Bearer " + testKey + "\nX-Note: x" + testKey + "y\nX-Note: kept" +
		"\nX-Twice: " + base64.StdEncoding.EncodeToString([]byte(basic)) + "\nX-Escaped: " + url.QueryEscape(url.QueryEscape(testKey)) +
		"\nReferer: /?q=%73" + url.QueryEscape(testKey[1:]) + "\nConnection: close, X-Hop\nX-Hop: 1\nTe: trailers\nAccept: */*" +
		"\nParsley-Fence: 99\nX_api_key: " + testKey + "\nParsley-Deadline-Ms: 70\nContent-Length: 3")
	before := in.Clone()
	target := "/lookup/7?x=1&api-key=" + url.QueryEscape(testKey) + "&y=" + base64.URLEncoding.EncodeToString([]byte(testKey)) + "&z=%2B"
	r, refusal := Decide(now, newTestIndex(testKey), Incoming{Target: target, Header: in})
	if refusal != nil {
		t.Fatal(refusal)
	}
	want := parseHeader("Cookie: a=1; b=2\nX-Note: kept\nAccept: */*\nParsley-Deadline-Ms: 70")
	if diff := cmp.Diff(want, r.Header); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff("/lookup/7?x=1&z=%2B", r.Target); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(before, in); diff != "" {
		t.Errorf("Decide modified the incoming header: %s", diff)
	}
}

// FuzzDecide guards against caller keys that reach an upstream or the text of a refusal, in
// any encoding and in any part of the request, and against panics.
func FuzzDecide(f *testing.F) {
	f.Add("abcdefgh", "/lookup/1?q=", "pre", "post", uint8(0), uint8(0))
	f.Add(testKey, "/open/1", "", "==", uint8(1), uint8(2))
	f.Add("k-1", "/booking?%zz", "%", "Z", uint8(2), uint8(4))
	f.Add("日本語キー", "/lookup/hall/?hall=1&x", "QQ", "", uint8(3), uint8(7))
	f.Add("0000", "//lookup/../x", "0", "0", uint8(4), uint8(9))
	f.Fuzz(func(t *testing.T, key, target, pre, post string, place, form uint8) {
		if len(key) < 3 || strings.TrimSpace(key) != key || !hasNoControlChars(key) || len(target) > 1000 {
			return // the HTTP parser rejects such a request
		}
		text := pre + encodeKey(key, form) + post
		h := http.Header{"X-Api-Key": {key}, "X-Hall": {"1"}, fleet.HeaderDeadline: {"5"}}
		switch place % 4 {
		case 0:
			h.Set("X-Any", text)
		case 1:
			h.Set("Cookie", "a="+text+"; b=1")
		case 2:
			target += "&x=" + text
		case 3:
			target += "/" + text
		}
		r, refusal := Decide(now, newTestIndex(key), Incoming{Target: target, Header: h, Trailer: http.Header{"X-Api-Key": {key}}})
		if refusal != nil {
			if strings.Contains(refusal.Detail, key) {
				t.Fatalf("refusal %q contains the key %q", refusal.Detail, key)
			}
			return
		}
		r.Header.Del(fleet.HeaderDeadline)
		for name, values := range r.Header {
			if v := strings.Join(values, "\n"); strings.Contains(v, encodeKey(key, form)) {
				t.Errorf("header %s: %q contains the key %q", name, v, key)
			}
		}
		if strings.Contains(r.Target, encodeKey(key, form)) && !strings.Contains("/lookup/hall/booking/open", encodeKey(key, form)) {
			t.Errorf("target %q contains the key %q", r.Target, key)
		}
	})
}

func encodeKey(key string, form uint8) string {
	switch form % 5 {
	case 1:
		return url.QueryEscape(key)
	case 2:
		return base64.StdEncoding.EncodeToString([]byte(key))
	case 3:
		return base64.RawURLEncoding.EncodeToString([]byte(key))
	case 4:
		var s strings.Builder
		for _, c := range []byte(key) {
			fmt.Fprintf(&s, "%%%02x", c)
		}
		return s.String()
	}
	return key
}
