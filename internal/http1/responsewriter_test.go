package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
)

// Guards against a response whose status is not that of its handler: statuses without a
// registered text were sent as 200.
func TestResponseHasStatusOfHandler(t *testing.T) {
	s := listen(t, func(w http.ResponseWriter, r *http.Request) {
		status, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/"))
		if err != nil {
			t.Error(err)
		}
		if r.URL.Query().Has("length") {
			w.Header().Set("Content-Length", "4")
		}
		w.WriteHeader(status)
		w.WriteHeader(http.StatusOK) // a second status has no effect
		_, _ = io.WriteString(w, "bo")
		w.(http.Flusher).Flush()
		_, _ = io.WriteString(w, "dy")
	})
	tr := NewTransport(TransportConfig{DialTimeout: time.Second, IdleTimeout: time.Second, MaxBody: 1 << 10, MaxIdlePerAddr: 1})
	defer tr.CloseIdle(s.Addr())
	pool := newPool(t, s.Addr())
	for status := minFinalStatus; status <= maxStatus; status++ {
		for _, query := range []string{"", "?length"} {
			if status == http.StatusNoContent || status == http.StatusNotModified {
				continue // without a body
			}
			req := &Request{Method: http.MethodGet, Target: fmt.Sprintf("/%d%s", status, query)}
			want := []any{status, "body"}
			if res, err := tr.Do(t.Context(), s.Addr(), req, nil); err != nil {
				t.Errorf("%s: %v", req.Target, err)
			} else if diff := cmp.Diff(want, []any{res.Status, string(res.Body)}); diff != "" {
				t.Errorf("%s by Transport: %s", req.Target, diff)
			}
			if res, err := pool.Do(t.Context(), req); err != nil {
				t.Errorf("%s: %v", req.Target, err)
			} else if diff := cmp.Diff(want, []any{res.Status, string(res.Body)}); diff != "" {
				t.Errorf("%s by Pool: %s", req.Target, diff)
			}
		}
	}
}

// Guards against a response without a body that is followed by bytes of one, or whose length
// is missing, so that the next response on the connection cannot be found.
func TestResponsesWithoutBody(t *testing.T) {
	s := listen(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/empty":
		case "/next":
			_, _ = io.WriteString(w, "next")
		case "/error":
			http.Error(w, "some text", http.StatusTeapot)
		default:
			status, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/"))
			if err != nil {
				t.Error(err)
			}
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "ignored")
		}
	})
	for _, test := range []struct {
		method, path string
		status       int
	}{
		{http.MethodGet, "/empty", 200},
		{http.MethodHead, "/empty", 200},
		{http.MethodHead, "/error", 418},
		{http.MethodGet, "/204", 204},
		{http.MethodGet, "/304", 304},
		{http.MethodHead, "/520", 520},
	} {
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\n\r\nGET /next HTTP/1.1\r\nHost: h\r\n\r\n", test.method, test.path)
		br := bufio.NewReader(c)
		var got []any
		for _, method := range []string{test.method, http.MethodGet} {
			res, err := http.ReadResponse(br, &http.Request{Method: method})
			if err != nil {
				t.Fatalf("%s %s: %v", test.method, test.path, err)
			}
			body, _ := io.ReadAll(res.Body)
			got = append(got, res.StatusCode, string(body))
		}
		if diff := cmp.Diff([]any{test.status, "", 200, "next"}, got); diff != "" {
			t.Errorf("%s %s: %s", test.method, test.path, diff)
		}
		_ = c.Close()
	}
}

// Guards against a handler's invalid status that is sent as 200 or as it is, and against the
// loss of the previous response of the connection.
func TestInvalidStatusResetsConnection(t *testing.T) {
	s := listen(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			<-time.After(20 * time.Millisecond)
			_, _ = io.WriteString(w, "first")
			return
		}
		if r.URL.Query().Has("length") {
			w.Header().Set("Content-Length", "4")
		}
		status, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/"))
		if err != nil {
			t.Error(err)
		}
		w.WriteHeader(status)
		if _, err := io.WriteString(w, "body"); err == nil {
			t.Errorf("a body was written after status %d", status)
		}
	})
	for _, target := range []string{"/0", "/0?length", "/99?length", "/100", "/101?length", "/600", "/999?length", "/1000?length", "/-200"} {
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = fmt.Fprintf(c, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET %s HTTP/1.1\r\nHost: h\r\n\r\n", target)
		br := bufio.NewReader(c)
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("%s: %v", target, err)
		}
		first, _ := io.ReadAll(res.Body)
		rest, err := io.ReadAll(br)
		if diff := cmp.Diff([]string{"first", ""}, []string{string(first), string(rest)}); diff != "" || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: %s; the connection ended with %v", target, diff, err)
		}
		_ = c.Close()
	}
}

// Guards against a response with fewer or more bytes than its length: the caller would take
// the next response for the rest of its body, or the rest for a response.
func TestResponseWithOtherLength(t *testing.T) {
	s := listen(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "4")
		n, err := io.WriteString(w, r.URL.Path[1:])
		if tooLong := len(r.URL.Path) > 5; tooLong != errors.Is(err, http.ErrContentLength) || tooLong && n > 0 {
			t.Errorf("%s: %d bytes written, %v", r.URL.Path, n, err)
		}
	})
	for target, want := range map[string]string{"/": "", "/bod": "", "/body": "body", "/bodies": ""} {
		res, err := newPool(t, s.Addr()).Do(t.Context(), &Request{Method: http.MethodGet, Target: target})
		got := ""
		if err == nil {
			got = string(res.Body)
		}
		if diff := cmp.Diff([]any{want, want == ""}, []any{got, err != nil}); diff != "" {
			t.Errorf("%s: %s", target, diff)
		}
	}
}
