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

// statusError is an answer other than 200.
type statusError struct {
	status  int
	detail  string
	current *revision // of a conflict
}

func (e *statusError) Error() string { return strconv.Itoa(e.status) + " " + e.detail }

func badRequest(err error) error {
	return &statusError{status: http.StatusBadRequest, detail: err.Error()}
}

// answerer returns the answer to a call, or a *statusError, or errNoAnswer.
type answerer func(r *http.Request) (answer, error)

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	for pattern, a := range map[string]answerer{
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
	_, _ = w.Write(body) // the caller may have gone
}

func closeWithoutAnswer(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if conn, _, err := h.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

func (s *Server) getChanges(r *http.Request) (answer, error) {
	q := r.URL.Query()
	after, err := number(q, "after")
	if err != nil {
		return nil, err
	}
	wait, err := milliseconds(q, "wait-ms")
	if err != nil {
		return nil, err
	}
	return s.watch(r.Context(), q.Get("prefix"), revision(after), wait)
}

func (s *Server) putKey(r *http.Request) (answer, error) {
	q := r.URL.Query()
	key, id := q.Get("key"), leaseID(q.Get("lease"))
	expect, err := number(q, "expect")
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
	if len(value) > maxValue {
		detail := "value of " + strconv.Itoa(len(value)) + " bytes, limit " + strconv.Itoa(maxValue)
		return nil, &statusError{status: http.StatusRequestEntityTooLarge, detail: detail}
	}
	return s.write(r.Context(), func(time.Time) (answer, error) {
		if id != "" && s.table.leases[id] == nil {
			return nil, noLease(id)
		}
		rev, ok := s.table.put(key, revision(expect), value, id)
		if !ok {
			return nil, &statusError{status: http.StatusConflict, detail: "conflict", current: &rev}
		}
		return stored{revision: rev}, nil
	})
}

func noLease(id leaseID) error {
	return &statusError{status: http.StatusNotFound, detail: "no lease " + strconv.Quote(string(id))}
}

func (s *Server) postLease(r *http.Request) (answer, error) {
	ttl, err := milliseconds(r.URL.Query(), "ttl-ms")
	if err != nil {
		return nil, err
	}
	if ttl <= 0 {
		return nil, badRequest(errors.New("ttl-ms must be positive"))
	}
	return s.write(r.Context(), func(now time.Time) (answer, error) {
		return granted{id: s.table.addLease(now, ttl), ttl: ttl}, nil
	})
}

func (s *Server) renewLease(r *http.Request) (answer, error) {
	id := leaseID(r.PathValue("id"))
	return s.write(r.Context(), func(now time.Time) (answer, error) {
		if !s.table.renew(now, id) {
			return nil, noLease(id)
		}
		return granted{id: id, ttl: s.table.leases[id].ttl}, nil
	})
}

func (s *Server) deleteLease(r *http.Request) (answer, error) {
	id := leaseID(r.PathValue("id"))
	return s.write(r.Context(), func(time.Time) (answer, error) {
		if !s.table.endLease(id) {
			return nil, noLease(id)
		}
		return stored{revision: s.table.revision}, nil
	})
}

func (s *Server) getInstances(*http.Request) (answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.instanceCalls++
	return instanceList(s.instances.list(time.Now())), nil
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
	return done{}, nil
}

func (s *Server) deleteInstance(r *http.Request) (answer, error) {
	name := r.URL.Query().Get("name")
	if name == "" {
		return nil, badRequest(errors.New("name is empty"))
	}
	s.RemoveInstance(time.Now(), name)
	return done{}, nil
}

// SetInstance adds or replaces an entry of the instance list after the lag.
func (s *Server) SetInstance(now time.Time, l platform.Listed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances.change(instanceChange{at: now, listed: l})
}

// RemoveInstance removes an entry of the instance list after the lag.
func (s *Server) RemoveInstance(now time.Time, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances.change(instanceChange{at: now, listed: platform.Listed{Name: name}, remove: true})
}

func (s *Server) getStats(*http.Request) (answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault(time.Now())
	st := s.stats
	st.revision, st.leases = s.table.revision, len(s.table.leases)
	return st, nil
}

func (s *Server) postFault(r *http.Request) (answer, error) {
	q := r.URL.Query()
	delay, err := milliseconds(q, "delay-ms")
	if err != nil {
		return nil, err
	}
	period, err := milliseconds(q, "for-ms")
	if err != nil {
		return nil, err
	}
	if err := s.SetFault(time.Now(), Fault{Mode: Mode(q.Get("mode")), Delay: delay, For: period}); err != nil {
		return nil, badRequest(err)
	}
	return done{}, nil
}

// number returns a parameter, 0 if it is absent.
func number(q url.Values, name string) (uint64, error) {
	if !q.Has(name) {
		return 0, nil
	}
	n, err := strconv.ParseUint(q.Get(name), 10, 63)
	if err != nil {
		return 0, badRequest(errors.Wrap(err, name))
	}
	return n, nil
}

func milliseconds(q url.Values, name string) (time.Duration, error) {
	n, err := number(q, name)
	return time.Duration(min(n, 1<<40)) * time.Millisecond, err // bounded against overflow
}
