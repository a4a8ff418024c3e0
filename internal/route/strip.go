package route

import (
	"encoding/base64"
	"net/http"
	"net/url"
	"slices"
	"strings"
)

const (
	// keyName is the query parameter and the cookie of the caller key.
	keyName   = "api-key"
	keyHeader = "X-Api-Key"
	// maxDecode bounds nested encodings that are searched.
	maxDecode = 2
	// minAligned is the shortest piece of base64 that is searched for: shorter ones
	// occur by chance.
	minAligned = 8
)

// presented returns the different caller keys of a request.
func presented(r Incoming, rawQuery string) []string {
	var keys []string
	add := func(k string) {
		if k != "" && !slices.Contains(keys, k) {
			keys = append(keys, k)
		}
	}
	for _, h := range []http.Header{r.Header, r.Trailer} {
		for name, values := range h {
			for _, v := range values {
				switch fold(name) {
				case "Authorization":
					if k, ok := bearer(v); ok {
						add(k)
					}
				case keyHeader:
					add(strings.TrimSpace(v))
				case "Cookie":
					for c := range strings.SplitSeq(v, ";") {
						if n, value := cookiePair(c); strings.EqualFold(n, keyName) {
							add(value)
						}
					}
				}
			}
		}
	}
	for pair := range strings.SplitSeq(rawQuery, "&") {
		if n, value := queryPair(pair); strings.EqualFold(n, keyName) {
			add(value)
		}
	}
	return keys
}

// fold returns the canonical name of a header. Some upstreams do not tell
// underscores from hyphens.
func fold(name string) string {
	return http.CanonicalHeaderKey(strings.ReplaceAll(name, "_", "-"))
}

func bearer(v string) (string, bool) {
	scheme, rest, _ := strings.Cut(strings.TrimSpace(v), " ")
	return strings.TrimSpace(rest), strings.EqualFold(scheme, "Bearer")
}

func cookiePair(c string) (name, value string) {
	name, value, _ = strings.Cut(c, "=")
	return strings.TrimSpace(name), strings.Trim(strings.TrimSpace(value), `"`)
}

func queryPair(pair string) (name, value string) {
	name, value, _ = strings.Cut(pair, "=")
	return queryText(name), queryText(value)
}

func queryText(s string) string {
	if d, err := url.QueryUnescape(s); err == nil {
		return d
	}
	return s
}

// search finds caller keys in text.
type search struct {
	keys    []string
	aligned []string // base64 of the keys inside longer text, at every alignment
	run     int      // shortest base64 run that can hold a key
}

func newSearch(keys []string) *search {
	s := &search{keys: keys}
	for _, k := range keys {
		if n := base64.RawStdEncoding.EncodedLen(len(k)); s.run == 0 || n < s.run {
			s.run = n
		}
		for shift := range 3 {
			text := make([]byte, shift, shift+len(k))
			text = append(text, k...)
			std := base64.RawStdEncoding.EncodeToString(text)
			// Characters that also encode bits of the surrounding text are left out.
			std = std[(shift*8+5)/6 : len(text)*8/6]
			if len(std) < minAligned {
				continue
			}
			s.aligned = append(s.aligned, std)
			if web := strings.NewReplacer("+", "-", "/", "_").Replace(std); web != std {
				s.aligned = append(s.aligned, web)
			}
		}
	}
	return s
}

// found reports whether text contains a key in plain, percent-encoded or base64
// form, nested up to maxDecode times.
func (s *search) found(text string) bool {
	return len(s.keys) > 0 && s.nested(text, maxDecode)
}

func (s *search) nested(text string, depth int) bool {
	if s.direct(text) {
		return true
	}
	if depth == 0 {
		return false
	}
	if strings.ContainsAny(text, "%+") {
		if s.partlyEscaped(text) {
			return true
		}
		if d := percentDecode(text, false); d != text && s.nested(d, depth-1) {
			return true
		}
		if strings.Contains(text, "+") && s.direct(percentDecode(text, true)) {
			return true
		}
	}
	return s.inBase64(text, depth)
}

// partlyEscaped reports whether text contains a key of which some bytes are
// percent-encoded. Decoding the whole text misses it where an escape before the
// key takes its first bytes, as in "%20%21" for the key "20!".
func (s *search) partlyEscaped(text string) bool {
	for _, k := range s.keys {
		for start := range len(text) {
			if startsEscaped(text[start:], k) {
				return true
			}
		}
	}
	return false
}

// startsEscaped reports whether text starts with key, each byte as it is or as in
// a URL.
func startsEscaped(text, key string) bool {
	if key == "" {
		return true
	}
	if text == "" {
		return false
	}
	same := text[0] == key[0] || text[0] == '+' && key[0] == ' '
	if same && startsEscaped(text[1:], key[1:]) {
		return true
	}
	return text[0] == '%' && len(text) > 2 && isHex(text[1]) && isHex(text[2]) &&
		unhex(text[1])<<4|unhex(text[2]) == key[0] && startsEscaped(text[3:], key[1:])
}

func (s *search) direct(text string) bool {
	for _, k := range s.keys {
		if strings.Contains(text, k) {
			return true
		}
	}
	for _, a := range s.aligned {
		if strings.Contains(text, a) {
			return true
		}
	}
	return false
}

// inBase64 decodes every run of base64 characters that is long enough for a key.
func (s *search) inBase64(text string, depth int) bool {
	for start := 0; start < len(text); start++ {
		end := start
		for end < len(text) && isBase64(text[end]) {
			end++
		}
		if end-start >= s.run && s.inRun(text[start:end], depth) {
			return true
		}
		start = end
	}
	return false
}

// inRun tries every alignment, because other characters of the alphabet may
// precede the encoded text.
func (s *search) inRun(run string, depth int) bool {
	run = strings.NewReplacer("-", "+", "_", "/").Replace(run)
	for shift := 0; shift < 4 && len(run)-shift >= s.run; shift++ {
		part := run[shift:]
		if len(part)%4 == 1 {
			part = part[:len(part)-1]
		}
		if d, err := base64.RawStdEncoding.DecodeString(part); err == nil && s.nested(string(d), depth-1) {
			return true
		}
	}
	return false
}

func isBase64(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' ||
		c == '+' || c == '/' || c == '-' || c == '_'
}

// percentDecode decodes valid escapes and keeps the rest, as lenient upstreams do.
func percentDecode(s string, plus bool) string {
	out := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		if s[i] == '%' && i+2 < len(s) && isHex(s[i+1]) && isHex(s[i+2]) {
			out = append(out, unhex(s[i+1])<<4|unhex(s[i+2]))
			i += 2
		} else if plus && s[i] == '+' {
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

// header returns what an upstream may see of the caller's headers.
func (s *search) header(in http.Header) http.Header {
	out := StripHopByHop(in)
	for name, values := range out {
		folded := fold(name)
		if folded == keyHeader || strings.HasPrefix(folded, "Parsley-") || s.foundFold(name) {
			delete(out, name)
			continue
		}
		kept := make([]string, 0, len(values))
		for _, v := range values {
			if folded == "Cookie" {
				v = s.cookies(v)
			}
			if _, ok := bearer(v); ok && folded == "Authorization" || v == "" && folded == "Cookie" || s.found(v) {
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

// foundFold searches a name, whose case is not preserved.
func (s *search) foundFold(name string) bool {
	for _, k := range s.keys {
		if strings.Contains(strings.ToLower(name), strings.ToLower(k)) {
			return true
		}
	}
	return s.found(name)
}

func (s *search) cookies(v string) string {
	var kept []string
	for c := range strings.SplitSeq(v, ";") {
		c = strings.TrimSpace(c)
		if name, _ := cookiePair(c); c != "" && !strings.EqualFold(name, keyName) && !s.found(c) {
			kept = append(kept, c)
		}
	}
	return strings.Join(kept, "; ")
}

func (s *search) query(raw string) string {
	var kept []string
	for pair := range strings.SplitSeq(raw, "&") {
		if name, _ := queryPair(pair); strings.EqualFold(name, keyName) || s.found(pair) {
			continue
		}
		kept = append(kept, pair)
	}
	return strings.Join(kept, "&")
}
