// Package caller implements the HTTP/1.1 handler for callers: it reads a complete
// request, passes it to the instance, and writes the complete response or a refusal.
//
// A refusal has the headers Parsley-Outcome, Parsley-Reason and, if it advises when to
// retry, Retry-After; its JSON body holds the same values. Every response has the
// header Parsley-Request-Id, by which operators can look up the request.
//
// A HEAD request is sent to the upstream as GET, and the body of the response is
// discarded: the HTTP client library cannot detect the end of a response to HEAD.
package caller

import (
	"context"
	"crypto/rand"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/route"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Backend serves the requests of callers.
type Backend interface {
	Serve(ctx context.Context, r route.Incoming, body []byte) (*http1.Response, *fleet.Refusal)
}

// Health reports the health of the instance. Live returns an error if the process
// should be restarted, Ready if a load balancer should send no requests.
type Health interface {
	Live() error
	Ready() error
}

// Limits holds the largest sizes of a request in bytes.
type Limits struct {
	MaxHeader int // names and values of all header fields together
	MaxBody   int
}

// Handler returns the HTTP handler for callers. The instance serves the paths below
// /-/ itself; all other requests go to b.
func Handler(b Backend, health Health, limits Limits) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/-/", HealthHandler(health))
	h := &handler{backend: b, limits: limits}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Other requests bypass ServeMux, which would redirect paths that are not clean;
		// how to treat those is up to the upstream.
		if strings.HasPrefix(r.URL.Path, "/-/") {
			mux.ServeHTTP(w, r)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// HealthHandler returns a handler that answers GET /-/live and GET /-/ready with
// status 200, or with status 503 and the error.
func HealthHandler(health Health) http.Handler {
	mux := http.NewServeMux()
	check := func(f func() error) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if err := f(); err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
				return
			}
			_, _ = io.WriteString(w, "ok\n")
		}
	}
	mux.HandleFunc("GET /-/live", check(health.Live))
	mux.HandleFunc("GET /-/ready", check(health.Ready))
	return mux
}

type handler struct {
	backend Backend
	limits  Limits
}

// ServeHTTP serves one request.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in := route.Incoming{
		RequestID: fleet.RequestID(rand.Text()), Method: r.Method, Target: r.URL.RequestURI(),
		Host: r.Host, Header: r.Header, Trailer: r.Trailer,
	}
	w.Header().Set(fleet.HeaderRequestID, string(in.RequestID))
	body, refusal := h.readRequest(r)
	if refusal != nil {
		writeRefusal(w, r.Method, in.RequestID, refusal)
		return
	}
	if r.Method == http.MethodHead {
		in.Method = http.MethodGet
	}
	res, refusal := h.backend.Serve(r.Context(), in, body)
	if refusal != nil {
		writeRefusal(w, r.Method, in.RequestID, refusal)
		return
	}
	writeResponse(w, r.Method, res)
}

func (h *handler) readRequest(r *http.Request) ([]byte, *fleet.Refusal) {
	headerSize := 0
	for name, values := range r.Header {
		for _, v := range values {
			headerSize += len(name) + len(v)
		}
	}
	if headerSize > h.limits.MaxHeader {
		return nil, tooLarge("header", h.limits.MaxHeader)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(h.limits.MaxBody)+1))
	if err != nil {
		return nil, &fleet.Refusal{Reason: fleet.ReasonBadRequest, Detail: "the body cannot be read"}
	}
	if len(body) > h.limits.MaxBody {
		return nil, tooLarge("body", h.limits.MaxBody)
	}
	return body, nil
}

func tooLarge(part string, limit int) *fleet.Refusal {
	return &fleet.Refusal{Reason: fleet.ReasonTooLarge, Detail: "the " + part + " is larger than " + strconv.Itoa(limit) + " bytes"}
}

// hopByHopHeaders are the headers that apply to a single connection and are not
// copied to another one.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// CopyHeader copies the end-to-end headers of a response, except for the router's own
// headers with the prefix "Parsley-".
func CopyHeader(dst, src http.Header) {
	for name, values := range src {
		if !hopByHopHeaders[name] && !strings.HasPrefix(name, "Parsley-") {
			dst[name] = values
		}
	}
}

func writeResponse(w http.ResponseWriter, method string, res *http1.Response) {
	CopyHeader(w.Header(), res.Header)
	if forbidsBody(res.Status) {
		w.WriteHeader(res.Status)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(res.Body)))
	w.WriteHeader(res.Status)
	if method != http.MethodHead {
		_, _ = w.Write(res.Body)
	}
}

func forbidsBody(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}

// writeRefusal writes a response with the outcome, the reason and, if known, the time
// after which to retry.
func writeRefusal(w http.ResponseWriter, method string, id fleet.RequestID, r *fleet.Refusal) {
	h := w.Header()
	h.Set(fleet.HeaderOutcome, string(r.Reason.Outcome()))
	h.Set(fleet.HeaderReason, string(r.Reason))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	body := encodeRefusal(id, r)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Reason.Status())
	if method != http.MethodHead {
		_, _ = w.Write(body)
	}
}

// encodeRefusal returns the JSON body of a refusal:
// {"outcome":"","reason":"","detail":"","request-id":"","retry-after-ms":0}.
func encodeRefusal(id fleet.RequestID, r *fleet.Refusal) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("outcome", func(e *jx.Encoder) { e.Str(string(r.Reason.Outcome())) })
		e.Field("reason", func(e *jx.Encoder) { e.Str(string(r.Reason)) })
		e.Field("detail", func(e *jx.Encoder) { e.Str(r.Detail) })
		e.Field("request-id", func(e *jx.Encoder) { e.Str(string(id)) })
		e.Field("retry-after-ms", func(e *jx.Encoder) { e.Int64(int64(math.Ceil(float64(r.RetryAfter) / float64(time.Millisecond)))) })
	})
	return append(e.Bytes(), '\n')
}
