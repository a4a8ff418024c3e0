// Package caller serves the requests of callers: it reads the whole request, has a
// backend serve it, and writes the whole answer or a typed refusal.
//
// Every answer carries the request id. An answer never has headers that belong to
// the connection to an upstream, nor the Parsley headers of the upstream.
package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/route"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// MaxBody is the longest body that is accepted. The server's own limit must be
	// higher, because it closes the connection without an answer.
	MaxBody = 4 << 20
	// ServerMaxBody is that limit for http1.ServerConfig.
	ServerMaxBody = 2 * MaxBody
	// MaxHeader bounds names and values of all headers, which are searched for the
	// caller key.
	MaxHeader = 64 << 10
	// MaxTimeout bounds the context of a request whose caller sets no deadline.
	MaxTimeout = 60 * time.Second
)

// Backend serves a request whose body has arrived. The context ends at the caller's
// deadline and when the caller disconnects; it carries the request id.
type Backend interface {
	Serve(ctx context.Context, r route.Incoming, body []byte) (*http1.Response, *fleet.Refusal)
}

// Health reports why the instance is not live or not ready.
type Health interface {
	Live() error
	Ready() error
}

// Handler returns the handler for callers, with GET /-/live and /-/ready.
func Handler(b Backend, health Health) http.Handler {
	return &handler{backend: b, health: health}
}

type requestIDKey struct{}

// RequestID returns the id of the request that the context belongs to.
func RequestID(ctx context.Context) fleet.RequestID {
	id, _ := ctx.Value(requestIDKey{}).(fleet.RequestID)
	return id
}

// WithRequestID returns a context that carries the id.
func WithRequestID(ctx context.Context, id fleet.RequestID) context.Context {
	return context.WithValue(ctx, requestIDKey{}, id)
}

type handler struct {
	backend Backend
	health  Health
}

func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	target := r.RequestURI
	if target == "" {
		target = r.URL.RequestURI()
	}
	switch path, _, _ := strings.Cut(target, "?"); path {
	case "/-/live":
		serveHealth(w, r, h.health.Live())
		return
	case "/-/ready":
		serveHealth(w, r, h.health.Ready())
		return
	}
	id := newRequestID()
	w.Header().Set(fleet.HeaderRequestID, string(id))
	body, refusal := readRequest(r)
	if refusal != nil {
		writeRefusal(w, r, id, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(WithRequestID(r.Context(), id), timeout(r.Header))
	defer cancel()
	in := route.Incoming{Method: r.Method, Target: target, Header: r.Header, Trailer: r.Trailer}
	res, refusal := h.backend.Serve(ctx, in, body)
	if refusal == nil {
		refusal = check(res)
	}
	if refusal != nil {
		writeRefusal(w, r, id, refusal)
		return
	}
	writeResponse(w, r, res)
}

func newRequestID() fleet.RequestID {
	var b [16]byte
	_, _ = rand.Read(b[:]) // does not fail
	return fleet.RequestID(hex.EncodeToString(b[:]))
}

// timeout returns the caller's timeout. The service's shorter one and malformed
// values are the matter of package route.
func timeout(h http.Header) time.Duration {
	ms, err := strconv.ParseUint(h.Get(fleet.HeaderDeadline), 10, 63)
	if err != nil || ms == 0 || ms > uint64(MaxTimeout.Milliseconds()) {
		return MaxTimeout
	}
	return time.Duration(ms) * time.Millisecond
}

func readRequest(r *http.Request) ([]byte, *fleet.Refusal) {
	size := 0
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	_, length := r.Header["Content-Length"]
	switch {
	case size > MaxHeader || len(r.RequestURI) > MaxHeader:
		return nil, &fleet.Refusal{Reason: fleet.ReasonTooLarge, Detail: "the headers or the target are too long"}
	case r.Method == http.MethodConnect || r.Method == http.MethodTrace:
		return nil, &fleet.Refusal{Reason: fleet.ReasonBadRequest, Detail: "the method is not supported"}
	case length && (len(r.TransferEncoding) > 0 || len(r.Header["Transfer-Encoding"]) > 0):
		return nil, &fleet.Refusal{Reason: fleet.ReasonBadRequest, Detail: "the request has both a length and chunks"}
	case r.ContentLength > MaxBody:
		return nil, tooLarge()
	case r.Body == nil:
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxBody+1))
	if err != nil {
		return nil, &fleet.Refusal{Reason: fleet.ReasonBadRequest, Detail: "the body ended early"}
	}
	if len(body) > MaxBody {
		return nil, tooLarge()
	}
	return body, nil
}

func tooLarge() *fleet.Refusal {
	return &fleet.Refusal{Reason: fleet.ReasonTooLarge, Detail: "the body is longer than " + strconv.Itoa(MaxBody) + " bytes"}
}

// check refuses an answer that cannot be passed on. nbhttp would send a status
// without a standard text as 200.
func check(res *http1.Response) *fleet.Refusal {
	if res == nil || res.Status < http.StatusOK || http.StatusText(res.Status) == "" {
		return &fleet.Refusal{Reason: fleet.ReasonBadAnswer, Detail: "the upstream's status is not a known final one"}
	}
	return nil
}

func writeResponse(w http.ResponseWriter, r *http.Request, res *http1.Response) {
	h := w.Header()
	for name, values := range route.StripHopByHop(res.Header) {
		if !strings.HasPrefix(http.CanonicalHeaderKey(name), "Parsley-") {
			h[name] = values
		}
	}
	bodiless := res.Status == http.StatusNoContent || res.Status == http.StatusNotModified
	switch {
	case r.Method == http.MethodHead || res.Status == http.StatusNotModified:
		// The length is that of the body which GET would have returned.
		if n := res.Header.Get("Content-Length"); n != "" {
			h.Set("Content-Length", n)
		}
	case bodiless:
	case len(res.Body) > 0 && len(res.Trailer) > 0 && r.ProtoAtLeast(1, 1):
		addTrailers(h, res.Trailer)
	default:
		h.Set("Content-Length", strconv.Itoa(len(res.Body)))
	}
	w.WriteHeader(res.Status)
	if r.Method != http.MethodHead && !bodiless {
		_, _ = w.Write(res.Body) // the caller has gone if this fails
	}
}

// addTrailers announces the trailers, on which nbhttp sends chunks and the trailers
// after them. A name that is also a header stays a header.
func addTrailers(h, trailers http.Header) {
	for name, values := range trailers {
		if _, ok := h[name]; !ok && len(values) > 0 && !strings.HasPrefix(name, "Parsley-") {
			h["Trailer"] = append(h["Trailer"], name)
			h[name] = []string{strings.Join(values, ", ")}
		}
	}
}

// writeRefusal writes the headers of section 10 and a JSON body.
func writeRefusal(w http.ResponseWriter, r *http.Request, id fleet.RequestID, refusal *fleet.Refusal) {
	h := w.Header()
	h.Set(fleet.HeaderOutcome, string(refusal.Reason.Outcome()))
	h.Set(fleet.HeaderReason, string(refusal.Reason))
	h.Set("Retry-After", strconv.FormatInt(retrySeconds(refusal), 10))
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	if refusal.Reason == fleet.ReasonUnauthenticated {
		h.Set("WWW-Authenticate", "Bearer")
	}
	body := encodeRefusal(id, refusal)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(refusal.Reason.Status())
	if r.Method != http.MethodHead {
		_, _ = w.Write(body)
	}
}

// retrySeconds rounds up, because the header has whole seconds.
func retrySeconds(r *fleet.Refusal) int64 {
	return int64(math.Ceil(max(0, r.RetryAfter.Seconds())))
}

func encodeRefusal(id fleet.RequestID, r *fleet.Refusal) []byte {
	var e jx.Encoder
	e.ObjStart()
	for _, f := range [...][2]string{
		{"outcome", string(r.Reason.Outcome())},
		{"reason", string(r.Reason)},
		{"detail", r.Detail},
		{"request-id", string(id)},
	} {
		e.FieldStart(f[0])
		e.Str(f[1])
	}
	e.FieldStart("retry-after-ms")
	e.Int64(r.RetryAfter.Milliseconds())
	e.ObjEnd()
	return append(e.Bytes(), '\n')
}

func serveHealth(w http.ResponseWriter, r *http.Request, err error) {
	status, text := http.StatusOK, "ok\n"
	if err != nil {
		status, text = http.StatusServiceUnavailable, errors.Wrap(err, "unavailable").Error()+"\n"
	}
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		status, text = http.StatusMethodNotAllowed, "use GET\n"
		w.Header().Set("Allow", "GET, HEAD")
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	if r.Method != http.MethodHead {
		_, _ = io.WriteString(w, text)
	}
}
