package upstream

import (
	"encoding/base64"
	"net/http"
	"net/url"
	"strings"
)

// searchSecrets records a request that carries a caller key outside its body.
func (s *Server) searchSecrets(r *http.Request) {
	for _, secret := range s.cfg.Secrets {
		if where := findSecret(r, secret); where != "" {
			s.mu.Lock()
			s.record(record{event: "caller-key", detail: where, in: incoming{clientID: r.Header.Get(headerClientID)}})
			s.mu.Unlock()
		}
	}
}

// findSecret returns the part of a request that contains a secret, or "".
func findSecret(r *http.Request, secret string) string {
	target := r.RequestURI
	if target == "" {
		target = r.URL.String()
	}
	if containsSecret(target, secret) {
		return "target"
	}
	for part, h := range map[string]http.Header{"header": r.Header, "trailer": r.Trailer} {
		for name, values := range h {
			for _, v := range append(values, name) {
				if containsSecret(v, secret) {
					return part + " " + name
				}
			}
		}
	}
	return ""
}

// percentRounds is how often text is percent-decoded, so that a key that was
// encoded twice is found.
const percentRounds = 3

// containsSecret finds a secret in plain, percent- and base64-encoded text.
func containsSecret(text, secret string) bool {
	forms := append(base64Forms(secret), secret)
	for range percentRounds {
		for _, f := range forms {
			if strings.Contains(text, f) {
				return true
			}
		}
		next, err := url.PathUnescape(text)
		if err != nil || next == text {
			return false
		}
		text = next
	}
	return false
}

// base64Forms returns the characters that every base64 text with the secret
// contains, for each position of the secret in its group of 3 bytes.
func base64Forms(secret string) (out []string) {
	for _, enc := range []*base64.Encoding{base64.RawStdEncoding, base64.RawURLEncoding} {
		for offset := range 3 {
			text := enc.EncodeToString(append(make([]byte, offset), secret...))
			first := (offset*8 + 5) / 6            // the character before may hold other bits
			last := (offset + len(secret)) * 8 / 6 // the character after, too
			out = append(out, text[first:last])
		}
	}
	return out
}
