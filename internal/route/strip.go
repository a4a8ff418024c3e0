package route

import (
	"encoding/base64"
	"net/http"
	"net/url"
	"slices"
	"strings"
)

const (
	// keyParam is the name of the query parameter and of the cookie with the caller key.
	keyParam = "api-key"
	// keyHeader is the header with the caller key.
	keyHeader = "X-Api-Key"
	// maxDecodeDepth is the number of nested encodings that are decoded in the search for
	// keys.
	maxDecodeDepth = 2
	// minFragment is the length, in characters, of the shortest base64 fragment that is
	// searched for. Shorter ones occur by chance.
	minFragment = 8
)

// presentedKeys returns the different caller keys that a request presents.
func presentedKeys(r Incoming, rawQuery string) []string {
	var keys []string
	add := func(k string) {
		if k != "" && !slices.Contains(keys, k) {
			keys = append(keys, k)
		}
	}
	for _, h := range []http.Header{r.Header, r.Trailer} {
		for name, values := range h {
			for _, v := range values {
				switch canonicalName(name) {
				case "Authorization":
					if k, ok := bearerToken(v); ok {
						add(k)
					}
				case keyHeader:
					add(strings.TrimSpace(v))
				case "Cookie":
					for c := range strings.SplitSeq(v, ";") {
						if n, value := cookiePair(c); strings.EqualFold(n, keyParam) {
							add(value)
						}
					}
				}
			}
		}
	}
	for pair := range strings.SplitSeq(rawQuery, "&") {
		if n, value := queryPair(pair); strings.EqualFold(n, keyParam) {
			add(value)
		}
	}
	return keys
}

// canonicalName returns the canonical form of a header name with hyphens in place of
// underscores, because some upstreams treat the two as equal.
func canonicalName(name string) string {
	return http.CanonicalHeaderKey(strings.ReplaceAll(name, "_", "-"))
}

// bearerToken returns the credentials of an Authorization header value, and whether its
// scheme is Bearer.
func bearerToken(v string) (string, bool) {
	scheme, rest, _ := strings.Cut(strings.TrimSpace(v), " ")
	return strings.TrimSpace(rest), strings.EqualFold(scheme, "Bearer")
}

func cookiePair(c string) (name, value string) {
	name, value, _ = strings.Cut(c, "=")
	return strings.TrimSpace(name), strings.Trim(strings.TrimSpace(value), `"`)
}

func queryPair(pair string) (name, value string) {
	name, value, _ = strings.Cut(pair, "=")
	return unescapeQuery(name), unescapeQuery(value)
}

// unescapeQuery decodes a query component, or returns it unchanged if it is malformed.
func unescapeQuery(s string) string {
	if d, err := url.QueryUnescape(s); err == nil {
		return d
	}
	return s
}

// keySearch finds caller keys in text.
type keySearch struct {
	keys            []string
	base64Fragments []string // base64 of the keys within longer data, for each alignment
	minBase64Run    int      // length of the shortest base64 text that can contain a key
}

func newKeySearch(keys []string) *keySearch {
	s := &keySearch{keys: keys}
	for _, k := range keys {
		if n := base64.RawStdEncoding.EncodedLen(len(k)); s.minBase64Run == 0 || n < s.minBase64Run {
			s.minBase64Run = n
		}
		for shift := range 3 {
			text := make([]byte, shift, shift+len(k))
			text = append(text, k...)
			std := base64.RawStdEncoding.EncodeToString(text)
			// Omit characters that also encode bits of the surrounding data.
			std = std[(shift*8+5)/6 : len(text)*8/6]
			if len(std) < minFragment {
				continue
			}
			s.base64Fragments = append(s.base64Fragments, std)
			if urlSafe := strings.NewReplacer("+", "-", "/", "_").Replace(std); urlSafe != std {
				s.base64Fragments = append(s.base64Fragments, urlSafe)
			}
		}
	}
	return s
}

// containsKey reports whether text contains a key in plain, percent-encoded or base64
// form, with up to maxDecodeDepth nested encodings.
func (s *keySearch) containsKey(text string) bool {
	return len(s.keys) > 0 && s.containsNested(text, maxDecodeDepth)
}

func (s *keySearch) containsNested(text string, depth int) bool {
	if s.containsDirect(text) {
		return true
	}
	if depth == 0 {
		return false
	}
	if strings.ContainsAny(text, "%+") {
		if s.containsPartlyEscaped(text) {
			return true
		}
		if d := percentDecode(text, false); d != text && s.containsNested(d, depth-1) {
			return true
		}
		if strings.Contains(text, "+") && s.containsDirect(percentDecode(text, true)) {
			return true
		}
	}
	return s.containsInBase64(text, depth)
}

// containsPartlyEscaped reports whether text contains a key of which some bytes are
// percent-encoded. Decoding the whole text does not find a key whose first bytes are
// part of an escape, such as the key "20!" in "%20%21".
func (s *keySearch) containsPartlyEscaped(text string) bool {
	for _, k := range s.keys {
		for start := range len(text) {
			if hasEscapedPrefix(text[start:], k) {
				return true
			}
		}
	}
	return false
}

// hasEscapedPrefix reports whether text starts with key, where each byte may be plain
// or percent-encoded, and a space may be a plus sign.
func hasEscapedPrefix(text, key string) bool {
	if key == "" {
		return true
	}
	if text == "" {
		return false
	}
	same := text[0] == key[0] || text[0] == '+' && key[0] == ' '
	if same && hasEscapedPrefix(text[1:], key[1:]) {
		return true
	}
	return text[0] == '%' && len(text) > 2 && isHex(text[1]) && isHex(text[2]) &&
		unhex(text[1])<<4|unhex(text[2]) == key[0] && hasEscapedPrefix(text[3:], key[1:])
}

// containsDirect reports whether text contains a key or a base64 fragment of one, without
// any decoding of text.
func (s *keySearch) containsDirect(text string) bool {
	for _, k := range s.keys {
		if strings.Contains(text, k) {
			return true
		}
	}
	for _, a := range s.base64Fragments {
		if strings.Contains(text, a) {
			return true
		}
	}
	return false
}

// containsInBase64 reports whether text contains a key in base64. It decodes every run of
// base64 characters that is long enough for a key.
func (s *keySearch) containsInBase64(text string, depth int) bool {
	for start := 0; start < len(text); start++ {
		end := start
		for end < len(text) && isBase64(text[end]) {
			end++
		}
		if end-start >= s.minBase64Run && s.runContainsKey(text[start:end], depth) {
			return true
		}
		start = end
	}
	return false
}

// runContainsKey reports whether a run of base64 characters contains an encoded key. It
// decodes the run at every alignment, because other characters of the base64 alphabet may
// precede the encoded data.
func (s *keySearch) runContainsKey(run string, depth int) bool {
	run = strings.NewReplacer("-", "+", "_", "/").Replace(run)
	for shift := 0; shift < 4 && len(run)-shift >= s.minBase64Run; shift++ {
		part := run[shift:]
		if len(part)%4 == 1 {
			part = part[:len(part)-1]
		}
		if d, err := base64.RawStdEncoding.DecodeString(part); err == nil && s.containsNested(string(d), depth-1) {
			return true
		}
	}
	return false
}

func isBase64(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' ||
		c == '+' || c == '/' || c == '-' || c == '_'
}

// percentDecode decodes the valid escapes of s and keeps invalid ones unchanged, as lenient
// upstreams do.
func percentDecode(s string, plusAsSpace bool) string {
	out := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		if s[i] == '%' && i+2 < len(s) && isHex(s[i+1]) && isHex(s[i+2]) {
			out = append(out, unhex(s[i+1])<<4|unhex(s[i+2]))
			i += 2
		} else if plusAsSpace && s[i] == '+' {
			out = append(out, ' ')
		} else {
			out = append(out, s[i])
		}
	}
	return string(out)
}

func isHex(c byte) bool { return '0' <= c && c <= '9' || 'a' <= c|0x20 && c|0x20 <= 'f' }

func unhex(c byte) byte {
	if c <= '9' {
		return c - '0'
	}
	return c | 0x20 - 'a' + 10
}

// filterHeader returns the caller's headers that are forwarded to the upstream.
func (s *keySearch) filterHeader(in http.Header) http.Header {
	out := StripHopByHop(in)
	for name, values := range out {
		folded := canonicalName(name)
		if folded == keyHeader || strings.HasPrefix(folded, "Parsley-") || s.nameContainsKey(name) {
			delete(out, name)
			continue
		}
		kept := make([]string, 0, len(values))
		for _, v := range values {
			if folded == "Cookie" {
				v = s.filterCookies(v)
			}
			if _, ok := bearerToken(v); ok && folded == "Authorization" || v == "" && folded == "Cookie" || s.containsKey(v) {
				continue
			}
			kept = append(kept, v)
		}
		if out[name] = kept; len(kept) == 0 {
			delete(out, name)
		}
	}
	return out
}

// nameContainsKey reports whether a header name contains a key. It ignores case, since the
// case of header names is not preserved.
func (s *keySearch) nameContainsKey(name string) bool {
	for _, k := range s.keys {
		if strings.Contains(strings.ToLower(name), strings.ToLower(k)) {
			return true
		}
	}
	return s.containsKey(name)
}

func (s *keySearch) filterCookies(v string) string {
	var kept []string
	for c := range strings.SplitSeq(v, ";") {
		c = strings.TrimSpace(c)
		if name, _ := cookiePair(c); c != "" && !strings.EqualFold(name, keyParam) && !s.containsKey(c) {
			kept = append(kept, c)
		}
	}
	return strings.Join(kept, "; ")
}

func (s *keySearch) filterQuery(raw string) string {
	var kept []string
	for pair := range strings.SplitSeq(raw, "&") {
		if name, _ := queryPair(pair); strings.EqualFold(name, keyParam) || s.containsKey(pair) {
			continue
		}
		kept = append(kept, pair)
	}
	return strings.Join(kept, "&")
}
