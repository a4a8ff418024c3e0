package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Paths of the API.
const (
	pathCatalogue = "/v1/catalogue"
	pathInForce   = "/v1/in-force"
	pathStatus    = "/v1/status"
	pathExplain   = "/v1/explain"
)

// headerOperator is the request header with the name of the operator who makes a
// change.
const headerOperator = "Parsley-Operator"

// maxOperatorName is the longest operator name in bytes. The field "by" of a
// catalogue outage has the same limit.
const maxOperatorName = 256

// callTimeout bounds a backend call. It allows for a write whose result must be
// read back from a slow store.
const callTimeout = 10 * time.Second

// Kinds of error, in the field "error" of an error response.
const (
	kindBadRequest      = "bad-request"
	kindUnauthenticated = "unauthenticated"
	kindNotFound        = "not-found"
	kindConflict        = "conflict"
	kindInvalid         = "invalid"
	kindUnknown         = "unknown"
	kindUnavailable     = "unavailable"
	kindInternal        = "internal"
)

var kindStatus = map[string]int{
	kindBadRequest:      http.StatusBadRequest,
	kindUnauthenticated: http.StatusUnauthorized,
	kindNotFound:        http.StatusNotFound,
	kindConflict:        http.StatusConflict,
	kindInvalid:         http.StatusUnprocessableEntity,
	kindUnknown:         http.StatusBadGateway,
	kindUnavailable:     http.StatusServiceUnavailable,
	kindInternal:        http.StatusInternalServerError,
}

// Handler returns a handler that serves the API of b to clients that send token as
// a bearer token. With an empty token it refuses every request.
func Handler(b Backend, token string) http.Handler {
	h := &handler{backend: b, token: sha256.Sum256([]byte(token)), tokenUnset: token == ""}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathCatalogue, h.serve(h.catalogue))
	mux.HandleFunc("PUT "+pathCatalogue, h.serve(h.apply))
	mux.HandleFunc("GET "+pathInForce, h.serve(h.inForce))
	mux.HandleFunc("GET "+pathStatus, h.serve(h.status))
	mux.HandleFunc("GET "+pathExplain, h.serve(h.explain))
	mux.HandleFunc("/", h.serve(func(_ context.Context, r *http.Request) (encodable, error) {
		return nil, &apiError{kindNotFound, r.Method + " " + r.URL.Path}
	}))
	return mux
}

type handler struct {
	backend    Backend
	token      [sha256.Size]byte
	tokenUnset bool
}

type encodable interface{ Encode(e *jx.Encoder) }

// apiError is an error that is sent with the given kind.
type apiError struct{ kind, detail string }

func (e *apiError) Error() string { return e.kind + ": " + e.detail }

// serve returns a handler that authenticates the request and writes the result of
// f or its error.
func (h *handler) serve(f func(context.Context, *http.Request) (encodable, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !h.authenticated(r) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, &apiError{kindUnauthenticated, "the operator token is missing or wrong"})
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		v, err := f(ctx, r)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, v)
	}
}

// authenticated reports whether r has the operators' token. It compares hashes in
// constant time, so that the response time reveals neither the content nor the
// length of the token.
func (h *handler) authenticated(r *http.Request) bool {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	sum := sha256.Sum256([]byte(token))
	matches := subtle.ConstantTimeCompare(sum[:], h.token[:]) == 1
	return matches && !h.tokenUnset && strings.EqualFold(scheme, "Bearer")
}

// catalogueBody is the body of responses about the catalogue. The response to a
// change has no catalogue.
type catalogueBody struct {
	revision fleet.Revision
	yaml     string
}

// Encode writes the JSON form.
func (s catalogueBody) Encode(e *jx.Encoder) {
	encoder{e}.object(func(e encoder) {
		e.uint("revision", uint64(s.revision))
		e.text("catalogue", s.yaml)
	})
}

func (s *catalogueBody) Decode(d *jx.Decoder) error {
	return decodeObject(d, map[string]func(*jx.Decoder) error{
		"revision": uintField(&s.revision), "catalogue": textField(&s.yaml),
	})
}

func (h *handler) catalogue(ctx context.Context, _ *http.Request) (encodable, error) {
	c, rev, err := h.backend.Catalogue(ctx)
	if err != nil {
		return nil, err
	}
	return catalogueBody{rev, string(c.Format())}, nil
}

func (h *handler) apply(ctx context.Context, r *http.Request) (encodable, error) {
	base, err := revisionParam(r, "base")
	if err != nil {
		return nil, err
	}
	by := strings.TrimSpace(r.Header.Get(headerOperator)) // nbhttp returns an empty value as a space
	if err := checkOperatorName(by); err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, catalogue.MaxSize+1))
	if err != nil {
		return nil, &apiError{kindBadRequest, "read the catalogue: " + err.Error()}
	}
	c, err := catalogue.Parse("catalogue", data)
	if err != nil {
		return nil, &apiError{kindInvalid, err.Error()}
	}
	if err := h.checkEdit(ctx, base, c); err != nil {
		return nil, err
	}
	rev, err := h.backend.Apply(ctx, base, c, by)
	if err != nil {
		return nil, err
	}
	return catalogueBody{revision: rev}, nil
}

// checkEdit checks c as an edit of the catalogue at revision base. It accepts an
// edit of an older revision without a check, because Apply then reports the
// conflict.
func (h *handler) checkEdit(ctx context.Context, base fleet.Revision, c *catalogue.Catalogue) error {
	old, rev, err := h.backend.Catalogue(ctx)
	if err != nil {
		return &UnavailableError{errors.Wrap(err, "read the catalogue")}
	}
	if rev < base {
		return &UnavailableError{errors.Errorf("this instance knows the catalogue only up to revision %d, the edit is based on %d", rev, base)}
	}
	if rev > base {
		return nil
	}
	if err := c.CheckEdit(old); err != nil {
		return &apiError{kindInvalid, err.Error()}
	}
	return nil
}

func checkOperatorName(name string) error {
	unprintable := func(r rune) bool { return !unicode.IsPrint(r) || r == utf8.RuneError }
	if name == "" || len(name) > maxOperatorName || strings.ContainsFunc(name, unprintable) {
		return &apiError{kindBadRequest, "header " + headerOperator + ": want who makes the change, in at most 256 printable bytes"}
	}
	return nil
}

func revisionParam(r *http.Request, name string) (fleet.Revision, error) {
	v := r.URL.Query().Get(name)
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		return 0, &apiError{kindBadRequest, "parameter " + name + " " + strconv.Quote(v) + ": want a revision number"}
	}
	return fleet.Revision(n), nil
}

func (h *handler) inForce(ctx context.Context, r *http.Request) (encodable, error) {
	rev, err := revisionParam(r, "revision")
	if err != nil {
		return nil, err
	}
	return asEncodable(h.backend.InForce(ctx, rev))
}

func (h *handler) status(ctx context.Context, _ *http.Request) (encodable, error) {
	return asEncodable(h.backend.Status(ctx))
}

func (h *handler) explain(ctx context.Context, r *http.Request) (encodable, error) {
	q, err := ParseQuery(r.URL.Query())
	if err != nil {
		return nil, &apiError{kindBadRequest, err.Error()}
	}
	return asEncodable(h.backend.Explain(ctx, q))
}

func asEncodable[T encodable](v T, err error) (encodable, error) { return v, err }

// errorBody is the body of an error response. The conflict is set for kind
// conflict only.
type errorBody struct {
	kind, detail string
	conflict     ConflictError
}

// Encode writes the JSON form.
func (f errorBody) Encode(e *jx.Encoder) {
	encoder{e}.object(func(e encoder) {
		e.text("error", f.kind)
		e.text("detail", f.detail)
		e.uint("base", uint64(f.conflict.Base))
		e.uint("current", uint64(f.conflict.Current))
		e.text("by", f.conflict.By)
		e.time("at", f.conflict.At)
	})
}

func (f *errorBody) Decode(d *jx.Decoder) error {
	return decodeObject(d, map[string]func(*jx.Decoder) error{
		"error": textField(&f.kind), "detail": textField(&f.detail),
		"base": uintField(&f.conflict.Base), "current": uintField(&f.conflict.Current),
		"by": textField(&f.conflict.By), "at": timeField(&f.conflict.At),
	})
}

// writeError writes err with the kind and HTTP status of its type. An error of an
// unknown type is of kind internal.
func writeError(w http.ResponseWriter, err error) {
	f := errorBody{kind: kindInternal, detail: err.Error()}
	var (
		api         *apiError
		conflict    *ConflictError
		unknown     *UnknownError
		unavailable *UnavailableError
		invalid     *InvalidError
	)
	switch {
	case errors.As(err, &api):
		f.kind, f.detail = api.kind, api.detail
	case errors.As(err, &conflict):
		f.kind, f.conflict = kindConflict, *conflict
	case errors.As(err, &unknown):
		f.kind, f.detail = kindUnknown, unknown.Err.Error()
	case errors.As(err, &unavailable):
		f.kind, f.detail = kindUnavailable, unavailable.Err.Error()
	case errors.As(err, &invalid):
		f.kind = kindInvalid
	}
	writeJSON(w, kindStatus[f.kind], f)
}

func writeJSON(w http.ResponseWriter, status int, v encodable) {
	e := jx.GetEncoder()
	defer jx.PutEncoder(e)
	v.Encode(e)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(e.Bytes())))
	w.WriteHeader(status)
	_, _ = w.Write(e.Bytes())
}
