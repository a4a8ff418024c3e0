package scenario

import (
	"context"
	"encoding/base64"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/lab"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// percentEncodeAll percent-encodes every byte of s.
func percentEncodeAll(s string) string {
	var b strings.Builder
	for i := range len(s) {
		fmt.Fprintf(&b, "%%%02X", s[i])
	}
	return b.String()
}

// disguisedKeyRequest is a request that carries a caller key in a place and an
// encoding in which it might be forwarded to an upstream.
type disguisedKeyRequest struct {
	name, target string
	header       http.Header
}

// disguisedKeyRequests returns requests that carry the caller key in each encoding
// in each of several headers and parts of the target. Only a bearer token in the
// header Authorization is a valid way to send it.
func disguisedKeyRequests(prefix, key string) (out []disguisedKeyRequest) {
	forms := map[string]string{
		"plain": key, "percent": percentEncodeAll(key), "twice-percent": url.QueryEscape(percentEncodeAll(key)),
		"base64": base64.StdEncoding.EncodeToString([]byte(key)), "base64url": base64.RawURLEncoding.EncodeToString([]byte("x" + key)),
		"basic": base64.StdEncoding.EncodeToString([]byte("user:" + key)),
	}
	for form, v := range forms {
		for _, header := range []string{"X-Other", "Authorization", "X-Api-Key", "X_Api_Key", "Referer", "Proxy-Authorization"} {
			out = append(out, disguisedKeyRequest{form + " in " + header, prefix + "k1", http.Header{header: {v}}})
		}
		out = append(out,
			disguisedKeyRequest{form + " as bearer", prefix + "k1", http.Header{"X-Forwarded-Authorization": {"Bearer " + v}}},
			disguisedKeyRequest{form + " in cookie", prefix + "k1", http.Header{"Cookie": {"a=b; api-key=" + v + "; other=" + v}}},
			disguisedKeyRequest{form + " in query", prefix + "k1?a=b&api-key=" + v, http.Header{}},
			disguisedKeyRequest{form + " in another parameter", prefix + "k1?a=" + v, http.Header{}},
			disguisedKeyRequest{form + " as parameter name", prefix + "k1?" + v + "=a", http.Header{}},
			disguisedKeyRequest{form + " in path", prefix + "k1/" + v, http.Header{}},
			disguisedKeyRequest{form + " as routing key", prefix + v, http.Header{}},
		)
	}
	return out
}

// sendDisguisedKeys sends the disguisedKeyRequests of an account, with and without
// a valid Authorization header. Each must get a response; the instance may either
// refuse the request or remove the key from it. Whether an upstream saw a key is
// checked later from the histories.
func (s *Session) sendDisguisedKeys(ctx context.Context, args []string) error {
	account := fleet.AccountID(args[0])
	key := string(lab.CallerKey(account))
	instances := s.runningInstances()
	served, refused := 0, 0
	for n, r := range disguisedKeyRequests(s.fleet.Shape.Services[0].Prefix(), key) {
		for _, withAuthorization := range []bool{true, false} {
			h := r.header.Clone()
			if withAuthorization && h.Get("Authorization") == "" {
				h.Set("Authorization", "Bearer "+key)
			}
			h.Set(fleet.HeaderDeadline, "1000")
			p := s.client.NewPool(instances[n%len(instances)].CallerAddr, http1.PoolConfig{})
			reqCtx, cancel := context.WithTimeout(ctx, 2*requestTimeout)
			res, err := p.Do(reqCtx, &http1.Request{Method: http.MethodGet, Target: r.target, Header: h})
			cancel()
			p.Close()
			switch {
			case err != nil:
				return errors.Wrap(err, r.name)
			case res.Status == http.StatusOK:
				served++
			default:
				refused++
			}
		}
	}
	fmt.Fprintf(s.Out, "%d served, %d refused\n", served, refused)
	if served == 0 {
		return errors.New("no request was served, so that the absence of caller keys at the upstreams proves nothing")
	}
	return nil
}
