package upstream

import (
	"encoding/base64"
	"net/http/httptest"
	"net/url"
	"testing"
)

// TestFindSecret guards against caller keys that are not found, and against finding
// one in a request that has none.
func TestFindSecret(t *testing.T) {
	const key = "caller-key-of-a1"
	for name, target := range map[string]string{
		"plain": "/a?b=" + key, "percent-encoded": "/a/%63aller-key-of-a1", "percent-encoded twice": "/a?b=" + url.QueryEscape("%63aller-key-of-a1"),
		"base64 at offset 0": "/a?b=" + url.QueryEscape(base64.StdEncoding.EncodeToString([]byte(key))),
		"base64 at offset 1": "/a?b=" + base64.RawURLEncoding.EncodeToString([]byte("x"+key)),
		"base64 at offset 2": "/a?b=" + base64.RawURLEncoding.EncodeToString([]byte("xy"+key)),
	} {
		if findSecret(httptest.NewRequest("GET", target, nil), "caller-key-of-") != "target" {
			t.Errorf("%s: %s not found", name, target)
		}
	}
	r := httptest.NewRequest("GET", "/lookup/k1?caller=key", nil)
	r.Header.Set("X-Other", "caller-key")
	if where := findSecret(r, "caller-key-of-"); where != "" {
		t.Errorf("found in %s", where)
	}
	r.Header.Set("X-Other", key)
	if where := findSecret(r, "caller-key-of-"); where != "header X-Other" {
		t.Errorf("found in %q, want the header", where)
	}
}
