package upstream

import (
	"encoding/base64"
	"net/http"
	"net/url"
	"strings"
)

// recordSecrets records a caller-key event for a request that contains a caller key
// in its target, headers or trailers.
func (s *Server) recordSecrets(r *http.Request) {
	for _, secret := range s.cfg.Secrets {
		if where := findSecret(r, secret); where != "" {
			s.mu.Lock()
			s.writeRecord(historyRecord{event: "caller-key", detail: where, in: requestInfo{clientID: r.Header.Get(headerClientID)}})
			s.mu.Unlock()
		}
	}
}

// findSecret returns the part of a request that contains the secret ("target",
// "header NAME" or "trailer NAME"), or "" if none does. It does not search the body.
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

// maxPercentLayers is the number of texts to search: the original, and then the
// percent-decoded form of each text before, so that a key that was encoded twice is
// found.
const maxPercentLayers = 3

// containsSecret reports whether the text contains the secret, plain, percent-encoded
// or base64-encoded.
func containsSecret(text, secret string) bool {
	encodings := append(base64Fragments(secret), secret)
	for range maxPercentLayers {
		for _, f := range encodings {
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

// base64Fragments returns, for each offset of the secret within a group of 3 bytes and
// for both base64 alphabets, the characters that every base64 encoding of a text with
// the secret at this offset contains.
func base64Fragments(secret string) (out []string) {
	for _, enc := range []*base64.Encoding{base64.RawStdEncoding, base64.RawURLEncoding} {
		for offset := range 3 {
			text := enc.EncodeToString(append(make([]byte, offset), secret...))
			first := (offset*8 + 5) / 6            // the character before it also encodes bits of the preceding byte
			last := (offset + len(secret)) * 8 / 6 // the character after it also encodes bits of the following byte
			out = append(out, text[first:last])
		}
	}
	return out
}
