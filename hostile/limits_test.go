package hostile

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against memory and descriptors that crowds of all kinds take together although
// each kind alone stays within its bounds.
func TestAllKindsTogether(t *testing.T) {
	r := startRig(t)
	targets := r.targets()
	r.attack(450, func(ctx context.Context, n int, sent func()) {
		to := targets[n/6%3]
		c := dial(ctx, to)
		if c == nil {
			return
		}
		defer c.end()
		_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
		large := to
		large.path += "?bytes=60000"
		length := fmt.Sprintf("Content-Length: %d\r\n", maxBody)
		switch n % 6 {
		case 0:
			_, _ = io.WriteString(c, head("POST", to, n, length))
			_, _ = c.Write(unfinished)
		case 1:
			_, _ = io.WriteString(c, head("POST", to, n, "Transfer-Encoding: chunked\r\n"))
			_, _ = io.WriteString(c, strings.Repeat("1\r\nx\r\n", 100_000))
		case 2:
			_, _ = io.WriteString(c, strings.Repeat(head("GET", large, n, ""), 100))
		case 3:
			_, _ = io.WriteString(c, strings.Repeat(head("GET", to, n, strings.Repeat("a:\r\n", 3900)), 20))
		case 4:
			_, _ = io.WriteString(c, head("POST", to, n, length)[:40])
		default:
			_, _ = io.WriteString(c, head("POST", to, n, length)+"x")
		}
		sent()
		c.hold(n%6 == 2 || n%6 == 3)
	})
}

// status sends text on c and returns the status of the next response.
func (r *rig) status(c *client, text string) int {
	r.t.Helper()
	go func() { _, _ = io.WriteString(c, text) }() // fails if the response comes before its end
	_ = c.SetReadDeadline(time.Now().Add(awaitTimeout))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.t.Errorf("no response: %v", err)
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// limitedRequests returns requests that exceed a limit of the operators, by the status that
// they are refused with, and one for each limit that does not.
func limitedRequests(to target, maxHeader, maxBody int) map[string]struct {
	text string
	want int
} {
	filled := func(size int) string {
		bare := head("GET", to, 1, "X: \r\n")
		return strings.Replace(bare, "X: ", "X: "+strings.Repeat("x", size-len(bare)), 1)
	}
	stated := func(size, sent int) string {
		return head("POST", to, 1, fmt.Sprintf("Content-Length: %d\r\n", size)) + strings.Repeat("x", sent)
	}
	chunked := func(size int) string {
		return head("POST", to, 1, "Transfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size))
	}
	return map[string]struct {
		text string
		want int
	}{
		"head within the limit":   {filled(maxHeader), http.StatusOK},
		"head over the limit":     {filled(maxHeader + 1), http.StatusRequestHeaderFieldsTooLarge},
		"body within the limit":   {stated(maxBody, maxBody), http.StatusOK},
		"body over the limit":     {stated(maxBody+1, 0), http.StatusRequestEntityTooLarge},
		"chunks within the limit": {chunked(maxBody), http.StatusOK},
		"chunks over the limit":   {chunked(maxBody + 1), http.StatusRequestEntityTooLarge},
		"head stops":              {filled(200)[:100], http.StatusRequestTimeout},
		"many fields":             {head("GET", to, 1, strings.Repeat("a:\r\n", (maxHeader-300)/4)), http.StatusOK},
	}
}

// Guards against limits of the operators that have no effect, or another status than theirs,
// and against requests within the limits that an idle instance refuses.
func TestLimitsOfOperators(t *testing.T) {
	r := startRig(t)
	for name, tc := range limitedRequests(r.targets()[0], 16384, maxBody) {
		t.Run(name, func(t *testing.T) {
			c := dial(t.Context(), r.targets()[0])
			if c == nil {
				t.Fatal("not connected")
			}
			defer c.end()
			if got := r.status(c, tc.text); got != tc.want {
				t.Errorf("status %d, want %d", got, tc.want)
			}
		})
	}
}

// Guards against changed limits that apply to new connections only.
func TestLimitsChangeOnOpenConnections(t *testing.T) {
	r := startRig(t)
	to := r.targets()[0]
	conns := make(map[string]*client)
	for name := range limitedRequests(to, 8192, maxBody/2) {
		c := dial(t.Context(), to)
		if c == nil {
			t.Fatal("not connected")
		}
		defer c.end()
		if got := r.status(c, head("GET", to, 1, "")); got != http.StatusOK {
			t.Fatalf("first request: status %d", got)
		}
		conns[name] = c
	}
	idle := dial(t.Context(), to)
	if idle == nil {
		t.Fatal("not connected")
	}
	defer idle.end()
	changed := strings.NewReplacer(`"version":"1"`, `"version":"2"`, "16384", "8192", "1048576", "524288", "3000ms", "500ms", "15000ms", "6000ms").Replace(config)
	r.store.Put("op/config", changed)
	r.await("the new limits are in force", func() bool {
		c := dial(t.Context(), to)
		if c == nil {
			return false
		}
		defer c.end()
		whole := head("POST", to, 1, fmt.Sprintf("Content-Length: %d\r\n", maxBody/2+1)) + strings.Repeat("x", maxBody/2+1)
		return r.status(c, whole) == http.StatusRequestEntityTooLarge
	})
	for name, tc := range limitedRequests(to, 8192, maxBody/2) {
		t.Run(name, func(t *testing.T) {
			if got := r.status(conns[name], tc.text); got != tc.want {
				t.Errorf("status %d, want %d", got, tc.want)
			}
		})
	}
	// Before the change the connection was kept for 30 s.
	_ = idle.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("idle connection: %v, want its end", err)
	}
}
