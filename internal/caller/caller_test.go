package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/route"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

type backend func(ctx context.Context, r route.Incoming, body []byte) (*http1.Response, *fleet.Refusal)

func (b backend) Serve(ctx context.Context, r route.Incoming, body []byte) (*http1.Response, *fleet.Refusal) {
	return b(ctx, r, body)
}

type health struct{}

func (health) Live() error  { return nil }
func (health) Ready() error { return errors.New("draining") }

type dialer struct {
	t    *testing.T
	addr string
}

func serve(t *testing.T, b backend) dialer {
	t.Helper()
	s, err := http1.Listen(http1.ServerConfig{Addr: "127.0.0.1:0", Handler: Handler(b, health{}), MaxBody: ServerMaxBody})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return dialer{t: t, addr: s.Addr()}
}

// send writes a raw request and reads one answer and what follows it until the
// answer to a second request on the same connection.
func (d dialer) send(method, raw string) (*http.Response, string) {
	d.t.Helper()
	c, err := net.DialTimeout("tcp", d.addr, 5*time.Second)
	if err != nil {
		d.t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, raw); err != nil {
		d.t.Fatal(err)
	}
	in := bufio.NewReader(c)
	res, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		d.t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		d.t.Fatal(err)
	}
	if _, err := io.WriteString(c, "GET /-/live HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		d.t.Fatal(err)
	}
	next, err := http.ReadResponse(in, nil)
	if err != nil || next.StatusCode != http.StatusOK {
		d.t.Fatalf("the connection is out of step after the answer: %v %v", next, err)
	}
	return res, string(body)
}

// Guards against answers whose length, body or connection headers break the
// caller's connection or differ from the upstream's answer.
func TestAnswers(t *testing.T) {
	long := strings.Repeat("x", 200_000)
	for _, c := range []struct {
		method string
		res    http1.Response
		status int
		length int64
		body   string
	}{
		{"GET", http1.Response{Status: 200, Body: []byte("hello")}, 200, 5, "hello"},
		{"GET", http1.Response{Status: 200, Body: []byte(long)}, 200, 200_000, long},
		{"GET", http1.Response{Status: 404}, 404, 0, ""},
		{"HEAD", http1.Response{Status: 200, Header: http.Header{"Content-Length": {"5"}}}, 200, 5, ""},
		{"DELETE", http1.Response{Status: 204, Header: http.Header{"Content-Length": {"0"}}, Body: []byte("no")}, 204, 0, ""},
		{"GET", http1.Response{Status: 304, Header: http.Header{"Content-Length": {"9"}}}, 304, 9, ""},
		{"GET", http1.Response{Status: 101}, 502, -2, ""},
		{"GET", http1.Response{Status: 599, Body: []byte("no")}, 502, -2, ""},
		{"GET", http1.Response{Status: 200, Body: []byte("t"), Trailer: http.Header{"Sum": {"7"}}}, 200, -1, "t"},
	} {
		t.Run(fmt.Sprintf("%s %d %d", c.method, c.res.Status, len(c.res.Body)), func(t *testing.T) {
			if c.res.Header == nil {
				c.res.Header = http.Header{}
			}
			c.res.Header.Set("Connection", "close, X-Hop")
			c.res.Header.Set("X-Hop", "1")
			c.res.Header.Set("Parsley-Boot", "b")
			c.res.Header.Set("X-Kept", "1")
			d := serve(t, func(context.Context, route.Incoming, []byte) (*http1.Response, *fleet.Refusal) { return &c.res, nil })
			res, body := d.send(c.method, c.method+" /x HTTP/1.1\r\nHost: x\r\n\r\n")
			if c.length == -2 { // a refusal
				if got := res.Header.Get(fleet.HeaderOutcome) + " " + res.Header.Get(fleet.HeaderReason); got != "unknown bad-answer" {
					t.Errorf("outcome %q", got)
				}
				c.length, c.body = res.ContentLength, body
			}
			if res.StatusCode == http.StatusNotModified { // net/http reports 0
				res.ContentLength, _ = strconv.ParseInt(res.Header.Get("Content-Length"), 10, 64)
			}
			got := []any{res.StatusCode, res.ContentLength, body, res.Header.Get("X-Hop"), res.Header.Get("Parsley-Boot"), len(res.Header.Get(fleet.HeaderRequestID))}
			if diff := cmp.Diff([]any{c.status, c.length, c.body, "", "", 32}, got); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(fmt.Sprint(c.res.Trailer), fmt.Sprint(res.Trailer)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against refusals without their headers or body, or with a body to HEAD.
func TestRefusals(t *testing.T) {
	d := serve(t, func(ctx context.Context, r route.Incoming, body []byte) (*http1.Response, *fleet.Refusal) {
		if _, ok := ctx.Deadline(); !ok || RequestID(ctx) == "" {
			return nil, &fleet.Refusal{Reason: fleet.ReasonDeadline}
		}
		return nil, &fleet.Refusal{Reason: fleet.ReasonRateLimited, Detail: r.Target + " " + string(body), RetryAfter: 1500 * time.Millisecond}
	})
	for _, c := range []struct{ method, rest, want string }{
		{"POST", "Content-Length: 2\r\n\r\nhi", `429 not-run rate-limited 2 {"outcome":"not-run","reason":"rate-limited","detail":"/x?a=%2F hi","request-id":"ID","retry-after-ms":1500}`},
		{"POST", "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", `429 not-run rate-limited 2 {"outcome":"not-run","reason":"rate-limited","detail":"/x?a=%2F hi","request-id":"ID","retry-after-ms":1500}`},
		{"HEAD", "\r\n", "429 not-run rate-limited 2 "},
		{"POST", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", MaxBody+1, strings.Repeat("x", MaxBody+1)), `413 not-run too-large 0 {"outcome":"not-run","reason":"too-large","detail":"the body is longer than 4194304 bytes","request-id":"ID","retry-after-ms":0}`},
		{"GET", "X: " + strings.Repeat("x", MaxHeader) + "\r\n\r\n", `413 not-run too-large 0 {"outcome":"not-run","reason":"too-large","detail":"the headers or the target are too long","request-id":"ID","retry-after-ms":0}`},
	} {
		res, body := d.send(c.method, c.method+" /x?a=%2F HTTP/1.1\r\nHost: x\r\n"+c.rest)
		h := res.Header
		got := fmt.Sprintf("%d %s %s %s %s", res.StatusCode, h.Get(fleet.HeaderOutcome), h.Get(fleet.HeaderReason), h.Get("Retry-After"), strings.TrimSpace(body))
		if diff := cmp.Diff(c.want, strings.ReplaceAll(got, h.Get(fleet.HeaderRequestID), "ID")); diff != "" {
			t.Error(diff)
		}
	}
}

// Guards against a readiness check that a load balancer reads as ready.
func TestHealth(t *testing.T) {
	d := serve(t, nil)
	live, _ := d.send("GET", "GET /-/live HTTP/1.1\r\nHost: x\r\n\r\n")
	ready, text := d.send("GET", "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	if diff := cmp.Diff([]any{200, 503, "unavailable: draining\n"}, []any{live.StatusCode, ready.StatusCode, text}); diff != "" {
		t.Error(diff)
	}
}
