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

// percentAll percent-encodes every byte.
func percentAll(s string) string {
	var b strings.Builder
	for i := range len(s) {
		fmt.Fprintf(&b, "%%%02X", s[i])
	}
	return b.String()
}

// smuggled is a request that carries the caller key where an upstream would see it.
type smuggled struct {
	name, target string
	header       http.Header
}

// smuggledRequests puts the caller key, in each encoding, in each place of a
// request. Authorization alone is the ordinary way.
func smuggledRequests(prefix, key string) (out []smuggled) {
	forms := map[string]string{
		"plain": key, "percent": percentAll(key), "twice-percent": url.QueryEscape(percentAll(key)),
		"base64": base64.StdEncoding.EncodeToString([]byte(key)), "base64url": base64.RawURLEncoding.EncodeToString([]byte("x" + key)),
		"basic": base64.StdEncoding.EncodeToString([]byte("user:" + key)),
	}
	for form, v := range forms {
		for _, header := range []string{"X-Other", "Authorization", "X-Api-Key", "X_Api_Key", "Referer", "Proxy-Authorization"} {
			out = append(out, smuggled{form + " in " + header, prefix + "k1", http.Header{header: {v}}})
		}
		out = append(out,
			smuggled{form + " as bearer", prefix + "k1", http.Header{"X-Forwarded-Authorization": {"Bearer " + v}}},
			smuggled{form + " in cookie", prefix + "k1", http.Header{"Cookie": {"a=b; api-key=" + v + "; other=" + v}}},
			smuggled{form + " in query", prefix + "k1?a=b&api-key=" + v, http.Header{}},
			smuggled{form + " in another parameter", prefix + "k1?a=" + v, http.Header{}},
			smuggled{form + " as parameter name", prefix + "k1?" + v + "=a", http.Header{}},
			smuggled{form + " in path", prefix + "k1/" + v, http.Header{}},
			smuggled{form + " as routing key", prefix + v, http.Header{}},
		)
	}
	return out
}

// smuggle sends requests that carry the caller key of an account in many forms.
// Each must be answered; whether it was refused or stripped is left open.
func (s *Session) smuggle(ctx context.Context, args []string) error {
	account := fleet.AccountID(args[0])
	key := string(lab.CallerKey(account))
	through := s.running()
	served, refused := 0, 0
	for n, r := range smuggledRequests(s.fleet.Shape.Services[0].Prefix(), key) {
		for _, direct := range []bool{true, false} {
			h := r.header.Clone()
			if direct && h.Get("Authorization") == "" {
				h.Set("Authorization", "Bearer "+key)
			}
			h.Set(fleet.HeaderDeadline, "1000")
			p := s.client.NewPool(through[n%len(through)].Caller, http1.PoolConfig{})
			ask, cancel := context.WithTimeout(ctx, 2*askBound)
			res, err := p.Do(ask, &http1.Request{Method: http.MethodGet, Target: r.target, Header: h})
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
		return errors.New("no request was served, so no upstream could have seen a caller key")
	}
	return nil
}
