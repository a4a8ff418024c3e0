package route

import (
	"encoding/base64"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Places of a caller key, beside "Authorization: Bearer".
const (
	headerAPIKey = "X-Api-Key"
	nameAPIKey   = "api-key" // of the query parameter and the cookie
)

// credential returns the caller key of a request, or none. A request with two
// different keys is refused, since it is not clear whom it runs for.
func credential(u *url.URL, h http.Header) (fleet.CallerKey, *fleet.Refusal) {
	var found []string
	for _, v := range h.Values("Authorization") {
		scheme, value, _ := strings.Cut(strings.TrimSpace(v), " ")
		if strings.EqualFold(scheme, "Bearer") {
			found = append(found, strings.TrimSpace(value))
		}
	}
	found = append(found, h.Values(headerAPIKey)...)
	eachParameter(u.RawQuery, func(_, name, value string) {
		if name == nameAPIKey {
			found = append(found, value)
		}
	})
	eachCookie(h, func(_, name, value string) {
		if name == nameAPIKey {
			found = append(found, value)
		}
	})
	var key string
	for _, f := range found {
		if key != "" && f != key {
			return "", badRequest("the request has different caller keys")
		}
		key = f
	}
	return fleet.CallerKey(key), nil
}

// eachParameter calls f with every raw parameter of a query and with its decoded
// name and value.
func eachParameter(query string, f func(raw, name, value string)) {
	if query == "" {
		return
	}
	for _, raw := range strings.Split(query, "&") {
		name, value, _ := strings.Cut(raw, "=")
		f(raw, unescape(name), unescape(value))
	}
}

func unescape(s string) string {
	if out, err := url.QueryUnescape(s); err == nil {
		return out
	}
	return s
}

// eachCookie calls f with every raw cookie and with its name and value.
func eachCookie(h http.Header, f func(raw, name, value string)) {
	for _, line := range h.Values("Cookie") {
		for _, raw := range strings.Split(line, ";") {
			name, value, _ := strings.Cut(strings.TrimSpace(raw), "=")
			f(strings.TrimSpace(raw), name, strings.Trim(value, `"`))
		}
	}
}

// hopByHop headers concern one connection. Trailer and Expect go with them,
// since requests are passed on whole.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

const ownPrefix = "Parsley-"

// strip returns the target and the header without the caller key, without
// hop-by-hop headers and without headers that only the router may set.
func strip(u *url.URL, r Incoming, secret fleet.CallerKey) (string, http.Header, *fleet.Refusal) {
	key := string(secret)
	if reveals(u.EscapedPath(), key) {
		return "", nil, badRequest("the path contains the caller key")
	}
	h := make(http.Header, len(r.Header))
	for name, values := range r.Header {
		if strings.HasPrefix(textproto.CanonicalMIMEHeaderKey(name), ownPrefix) || reveals(name, key) {
			continue
		}
		for _, v := range values {
			if name == "Cookie" || !reveals(v, key) {
				h[name] = append(h[name], v)
			}
		}
	}
	for _, v := range r.Header.Values("Connection") {
		for _, name := range strings.Split(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
	h.Del(headerAPIKey)
	stripBearer(h)
	stripCookies(h, key)
	return stripTarget(u, key), h, nil
}

// stripBearer removes bearer credentials also where they are empty or malformed.
func stripBearer(h http.Header) {
	var kept []string
	for _, v := range h.Values("Authorization") {
		if scheme, _, _ := strings.Cut(strings.TrimSpace(v), " "); !strings.EqualFold(scheme, "Bearer") {
			kept = append(kept, v)
		}
	}
	h.Del("Authorization")
	if len(kept) > 0 {
		h["Authorization"] = kept
	}
}

func stripCookies(h http.Header, key string) {
	var kept []string
	eachCookie(h, func(raw, name, _ string) {
		if raw != "" && name != nameAPIKey && !reveals(raw, key) {
			kept = append(kept, raw)
		}
	})
	h.Del("Cookie")
	if len(kept) > 0 {
		h.Set("Cookie", strings.Join(kept, "; "))
	}
}

func stripTarget(u *url.URL, key string) string {
	var kept []string
	eachParameter(u.RawQuery, func(raw, name, _ string) {
		if name != nameAPIKey && !reveals(raw, key) {
			kept = append(kept, raw)
		}
	})
	if len(kept) == 0 {
		return u.EscapedPath()
	}
	return u.EscapedPath() + "?" + strings.Join(kept, "&")
}

// maxNesting is how many encodings around a key are undone: a base64 value
// inside a percent-encoded URL inside a parameter takes three.
const maxNesting = 3

// reveals reports whether text contains the key in plain, percent-encoded or
// base64 form.
func reveals(text, key string) bool { return key != "" && revealsNested(text, key, maxNesting) }

func revealsNested(text, key string, depth int) bool {
	if strings.Contains(text, key) {
		return true
	}
	if depth == 0 || len(text) < len(key) {
		return false
	}
	for _, unescape := range []func(string) (string, error){url.PathUnescape, url.QueryUnescape} {
		if plain, err := unescape(lenient(text)); err == nil && plain != text && revealsNested(plain, key, depth-1) {
			return true
		}
	}
	for _, word := range strings.FieldsFunc(text, notBase64) {
		if decoded, ok := decodeBase64(word); ok && revealsNested(decoded, key, depth-1) {
			return true
		}
	}
	return false
}

// lenient makes a lone percent sign decodable, so that it cannot hide the rest.
func lenient(s string) string {
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] == '%' && (i+2 >= len(s) || !isHex(s[i+1]) || !isHex(s[i+2])) {
			b.WriteString("%25")
			continue
		}
		b.WriteByte(s[i])
	}
	return b.String()
}

func isHex(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}

func notBase64(c rune) bool {
	return !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.ContainsRune("+/-_", c))
}

// decodeBase64 takes both alphabets and any padding, which is a separator here. A
// last character that stands for less than a byte is dropped.
func decodeBase64(word string) (string, bool) {
	word = strings.NewReplacer("-", "+", "_", "/").Replace(word)
	if len(word)%4 == 1 {
		word = word[:len(word)-1]
	}
	out, err := base64.RawStdEncoding.DecodeString(word)
	return string(out), err == nil && len(out) > 0
}
