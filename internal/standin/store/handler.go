package store

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/internal/platform"
)

// statusError is an answer with a status other than 200.
type statusError struct {
	status          int
	detail          string
	currentRevision *revision // of the key; only for a conflict
}

func (e *statusError) Error() string { return strconv.Itoa(e.status) + " " + e.detail }

func badRequest(err error) error {
	return &statusError{status: http.StatusBadRequest, detail: err.Error()}
}

// callHandler returns the answer to a call, or an error that is a *statusError or
// errNoAnswer.
type callHandler func(r *http.Request) (answer, error)

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	for pattern, a := range map[string]callHandler{
		"GET /v1/changes":            s.getChanges,
		"PUT /v1/kv":                 s.putKey,
		"POST /v1/leases":            s.postLease,
		"POST /v1/leases/{id}/renew": s.renewLease,
		"DELETE /v1/leases/{id}":     s.deleteLease,
		"GET /v1/instances":          s.getInstances,
		"PUT /v1/instances":          s.putInstance,
		"DELETE /v1/instances":       s.deleteInstance,
		"GET /stats":                 s.getStats,
		"POST /faults":               s.postFault,
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			res, err := a(r)
			respond(w, res, err)
		})
	}
	return mux
}

func respond(w http.ResponseWriter, res answer, err error) {
	status := http.StatusOK
	var body []byte
	var failed *statusError
	switch {
	case errors.As(err, &failed):
		status, body = failed.status, failed.encode()
	case err != nil: // errNoAnswer
		closeWithoutAnswer(w)
		return
	default:
		body = res.encode()
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // the client may have closed the connection
}

// closeWithoutAnswer closes the connection of a call. The client sees that as a lost
// answer.
func closeWithoutAnswer(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if conn, _, err := h.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

func (s *Server) getChanges(r *http.Request) (answer, error) {
	q := r.URL.Query()
	after, err := uintParam(q, "after")
	if err != nil {
		return nil, err
	}
	wait, err := durationParam(q, "wait-ms")
	if err != nil {
		return nil, err
	}
	return s.watch(r.Context(), q.Get("prefix"), revision(after), wait)
}

func (s *Server) putKey(r *http.Request) (answer, error) {
	q := r.URL.Query()
	key, id := q.Get("key"), leaseID(q.Get("lease"))
	expect, err := uintParam(q, "expect")
	if err != nil {
		return nil, err
	}
	if key == "" {
		return nil, badRequest(errors.New("key is empty"))
	}
	value, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, badRequest(errors.Wrap(err, "read the value"))
	}
	if len(value) > maxValueBytes {
		detail := "value of " + strconv.Itoa(len(value)) + " bytes, limit " + strconv.Itoa(maxValueBytes)
		return nil, &statusError{status: http.StatusRequestEntityTooLarge, detail: detail}
	}
	return s.runWrite(r.Context(), func(time.Time) (answer, error) {
		if id != "" && s.table.leases[id] == nil {
			return nil, leaseNotFound(id)
		}
		rev, ok := s.table.put(key, revision(expect), value, id)
		if !ok {
			return nil, &statusError{status: http.StatusConflict, detail: "conflict", currentRevision: &rev}
		}
		return writeAnswer{revision: rev}, nil
	})
}

func leaseNotFound(id leaseID) error {
	return &statusError{status: http.StatusNotFound, detail: "no lease " + strconv.Quote(string(id))}
}

func (s *Server) postLease(r *http.Request) (answer, error) {
	ttl, err := durationParam(r.URL.Query(), "ttl-ms")
	if err != nil {
		return nil, err
	}
	if ttl <= 0 {
		return nil, badRequest(errors.New("ttl-ms must be positive"))
	}
	return s.runWrite(r.Context(), func(now time.Time) (answer, error) {
		return leaseAnswer{id: s.table.addLease(now, ttl), ttl: ttl}, nil
	})
}

func (s *Server) renewLease(r *http.Request) (answer, error) {
	id := leaseID(r.PathValue("id"))
	return s.runWrite(r.Context(), func(now time.Time) (answer, error) {
		if !s.table.renew(now, id) {
			return nil, leaseNotFound(id)
		}
		return leaseAnswer{id: id, ttl: s.table.leases[id].ttl}, nil
	})
}

func (s *Server) deleteLease(r *http.Request) (answer, error) {
	id := leaseID(r.PathValue("id"))
	return s.runWrite(r.Context(), func(time.Time) (answer, error) {
		if !s.table.endLease(id) {
			return nil, leaseNotFound(id)
		}
		return writeAnswer{revision: s.table.revision}, nil
	})
}

func (s *Server) getInstances(*http.Request) (answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.instanceCalls++
	return instancesAnswer(s.instances.visibleAt(time.Now())), nil
}

func (s *Server) putInstance(r *http.Request) (answer, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, badRequest(errors.Wrap(err, "read the entry"))
	}
	l, err := platform.DecodeListed(jx.DecodeBytes(body))
	if err != nil {
		return nil, badRequest(err)
	}
	s.SetInstance(time.Now(), l)
	return emptyAnswer{}, nil
}

func (s *Server) deleteInstance(r *http.Request) (answer, error) {
	name := r.URL.Query().Get("name")
	if name == "" {
		return nil, badRequest(errors.New("name is empty"))
	}
	s.RemoveInstance(time.Now(), name)
	return emptyAnswer{}, nil
}

// SetInstance adds or replaces an entry of the instance list. The change becomes
// visible after the lag.
func (s *Server) SetInstance(now time.Time, l platform.Listed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances.addChange(instanceChange{at: now, listed: l})
}

// RemoveInstance removes an entry of the instance list. The change becomes visible
// after the lag.
func (s *Server) RemoveInstance(now time.Time, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances.addChange(instanceChange{at: now, listed: platform.Listed{Name: name}, remove: true})
}

func (s *Server) getStats(*http.Request) (answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.currentFault(time.Now())
	st := s.stats
	st.revision, st.leases = s.table.revision, len(s.table.leases)
	return st, nil
}

func (s *Server) postFault(r *http.Request) (answer, error) {
	q := r.URL.Query()
	delay, err := durationParam(q, "delay-ms")
	if err != nil {
		return nil, err
	}
	duration, err := durationParam(q, "for-ms")
	if err != nil {
		return nil, err
	}
	if err := s.SetFault(time.Now(), Fault{Mode: Mode(q.Get("mode")), Delay: delay, Duration: duration}); err != nil {
		return nil, badRequest(err)
	}
	return emptyAnswer{}, nil
}

// uintParam returns the value of a query parameter, or 0 if it is absent.
func uintParam(q url.Values, name string) (uint64, error) {
	if !q.Has(name) {
		return 0, nil
	}
	n, err := strconv.ParseUint(q.Get(name), 10, 63)
	if err != nil {
		return 0, badRequest(errors.Wrap(err, name))
	}
	return n, nil
}

func durationParam(q url.Values, name string) (time.Duration, error) {
	n, err := uintParam(q, name)
	return time.Duration(min(n, 1<<40)) * time.Millisecond, err // the limit prevents an overflow
}
