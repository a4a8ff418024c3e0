package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/route"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

type backend struct{}

func (backend) Serve(_ context.Context, in route.Incoming, body []byte) (*http1.Response, *fleet.Refusal) {
	switch in.Target {
	case "/refused":
		return nil, &fleet.Refusal{Reason: fleet.ReasonRateLimited, Detail: `"x"`, RetryAfter: 1500 * time.Millisecond}
	case "/empty":
		return &http1.Response{Status: http.StatusNoContent, Header: http.Header{}}, nil
	default:
		h := http.Header{"X-Method": {in.Method}, "Connection": {"close"}, "Content-Length": {"9"}, "Parsley-Boot": {"b"}}
		return &http1.Response{Status: http.StatusCreated, Header: h, Body: append([]byte("got "), body...)}, nil
	}
}

type health struct{ ready error }

func (health) Live() error    { return nil }
func (h health) Ready() error { return h.ready }

func serve(t *testing.T) net.Conn {
	t.Helper()
	s, err := http1.Listen(http1.ServerConfig{
		Addr: "127.0.0.1:0", Handler: Handler(backend{}, health{errors.New("leaving")}, Limits{MaxHeader: 200, MaxBody: 10}),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against a response with a wrong length: all requests share one connection,
// so the responses that follow could not be parsed. Also guards against refusals
// without their outcome.
func TestAnswers(t *testing.T) {
	type answer struct {
		Status  int
		Body    string
		Headers map[string]string
	}
	tests := []struct {
		name, request string
		want          answer
	}{
		{"content length", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi", answer{201, "got hi", map[string]string{"X-Method": "POST", "Parsley-Boot": ""}}},
		{"chunked", "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", answer{201, "got hi", nil}},
		{"head", "HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n", answer{201, "", map[string]string{"X-Method": "GET", "Content-Length": "4"}}},
		{"no content", "GET /empty HTTP/1.1\r\nHost: x\r\n\r\n", answer{204, "", nil}},
		{"refused", "GET /refused HTTP/1.1\r\nHost: x\r\n\r\n", answer{429, `"reason":"rate-limited","detail":"\"x\""`, map[string]string{
			"Parsley-Outcome": "not-run", "Parsley-Reason": "rate-limited", "Retry-After": "2",
		}}},
		{"large header", "GET /a HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("y", 200) + "\r\n\r\n", answer{413, "header", map[string]string{"Parsley-Outcome": "not-run"}}},
		{"large body", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n12345678901", answer{413, "body", map[string]string{"Parsley-Outcome": "not-run"}}},
		{"ready", "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", answer{503, "leaving", nil}},
		{"live", "GET /-/live HTTP/1.1\r\nHost: x\r\n\r\n", answer{200, "ok", nil}},
	}
	c := serve(t)
	r := bufio.NewReader(c)
	for _, tt := range tests {
		if _, err := io.WriteString(c, tt.request); err != nil {
			t.Fatal(tt.name, err)
		}
		method, _, _ := strings.Cut(tt.request, " ")
		res, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			t.Fatal(tt.name, err)
		}
		body, err := io.ReadAll(res.Body)
		if err != nil {
			t.Fatal(tt.name, err)
		}
		if res.StatusCode != tt.want.Status || !strings.Contains(string(body), tt.want.Body) || (tt.want.Body == "" && len(body) > 0) {
			t.Errorf("%s: response with status %d and body %q", tt.name, res.StatusCode, body)
		}
		for name, want := range tt.want.Headers {
			if diff := cmp.Diff(want, res.Header.Get(name)); diff != "" {
				t.Errorf("%s: %s: %s", tt.name, name, diff)
			}
		}
	}
}
