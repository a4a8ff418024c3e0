package http1

import (
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
)

// Guards against a response whose status line is malformed, or whose status is not valid,
// that is returned as one with a status, and against a valid status that is refused.
func TestStatusLines(t *testing.T) {
	tests := map[string]int{ // by status line; 0: no response
		"HTTP/1.1 200 OK":                  200,
		"HTTP/1.1 200 ":                    200,
		"HTTP/1.1 200":                     200,
		"HTTP/1.1 200 \u00fcbrig\tetc":     200,
		"HTTP/1.0 404 Not Found":           404,
		"HTTP/1.1 299 Status 299":          299,
		"HTTP/1.1 499 Client Closed":       499,
		"HTTP/1.1 520 Unknown Error":       520,
		"HTTP/1.1 599 ":                    599,
		"HTTP/1.1 000 ":                    0,
		"HTTP/1.1 000 OK":                  0,
		"HTTP/1.1 001 OK":                  0,
		"HTTP/1.1 099 OK":                  0,
		"HTTP/1.1 600 OK":                  0,
		"HTTP/1.1 999 OK":                  0,
		"HTTP/1.1 +20 OK":                  0,
		"HTTP/1.1 -00 OK":                  0,
		"HTTP/1.1 20 OK":                   0,
		"HTTP/1.1 0200 OK":                 0,
		"HTTP/1.1 2000 OK":                 0,
		"HTTP/1.1 2OO OK":                  0,
		"HTTP/1.1 200OK":                   0,
		"HTTP/1.1  200 OK":                 0,
		"HTTP/1.1\t200 OK":                 0,
		"HTTP/1.1 200\tOK":                 0,
		"HTTP/1.1 OK":                      0,
		"HTTP/1.1":                         0,
		"HTTP/1.1 200 OK\x00":              0,
		"HTTP/1.1 200 OK\rServer-Seal: x":  0,
		"HTTP/1. 200 OK":                   0,
		"HTTP/11 200 OK":                   0,
		"HTTP/0.9 200 OK":                  0,
		"HTTP/2.0 200 OK":                  0,
		"http/1.1 200 OK":                  0,
		" HTTP/1.1 200 OK":                 0,
		"200 OK":                           0,
		"":                                 0,
		"HTTP/1.1 101 Switching Protocols": 0,
	}
	tr := NewTransport(TransportConfig{DialTimeout: time.Second, IdleTimeout: time.Second, MaxBody: 1 << 10, MaxIdlePerAddr: 1})
	for line, want := range tests {
		t.Run(line, func(t *testing.T) {
			addr := listenRaw(t, line+"\r\nServer-Seal: s\r\nContent-Length: 4\r\n\r\nbody")
			res, err := tr.Do(t.Context(), addr, &Request{Method: http.MethodGet, Target: "/"}, nil)
			got, body := 0, ""
			if err == nil {
				got, body = res.Status, string(res.Body)
			}
			if diff := cmp.Diff([]any{want, map[bool]string{true: "body"}[want > 0]}, []any{got, body}); diff != "" {
				t.Error(diff)
			}
			var lost *LostError
			if err != nil && !(errors.As(err, &lost) && errors.Is(err, ErrStatusLine)) {
				t.Errorf("Do = %v, want a LostError with ErrStatusLine", err)
			}
		})
	}
}

// Guards against waiting until the deadline for the end of a line that cannot be a status
// line.
func TestStatusLineIsRefusedEarly(t *testing.T) {
	s := listen(t, func(w http.ResponseWriter, r *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = c.Write([]byte("HTTP/1.1 0"))
		<-r.Context().Done()
	})
	tr := NewTransport(TransportConfig{DialTimeout: time.Second, IdleTimeout: time.Second, MaxBody: 1 << 10, MaxIdlePerAddr: 1})
	if _, err := tr.Do(t.Context(), s.Addr(), &Request{Method: http.MethodGet, Target: "/"}, nil); !errors.Is(err, ErrStatusLine) {
		t.Errorf("Do = %v, want ErrStatusLine", err)
	}
}

// Guards against an invalid or interim status that Pool returns as that of a response.
func TestPoolRefusesInvalidStatuses(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 103 Early Hints", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/2.0 200 OK",
	} {
		addr := listenRaw(t, line+"\r\nContent-Length: 4\r\n\r\nbody")
		res, err := newPool(t, addr).Do(t.Context(), &Request{Method: http.MethodGet, Target: "/"})
		var lost *LostError
		if !errors.As(err, &lost) || !errors.Is(err, ErrStatusLine) {
			t.Errorf("%s: Do = %v, %v, want a LostError with ErrStatusLine", line, res, err)
		}
	}
}
