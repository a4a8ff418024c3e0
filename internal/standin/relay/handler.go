package relay

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"
)

// ignoreEOF returns nil if err is io.EOF, and err otherwise.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	for pattern, call := range map[string]func(r *http.Request, e *jx.Encoder) error{
		"PUT /routes":               s.putRoute,
		"GET /routes":               s.getRoutes,
		"DELETE /routes/{name}":     s.deleteRoute,
		"POST /routes/{name}/fault": s.postFault,
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			var e jx.Encoder
			status := http.StatusOK
			if err := call(r, &e); err != nil {
				status = statusOf(err)
				e.Reset()
				e.Obj(func(e *jx.Encoder) {
					e.Field("error", func(e *jx.Encoder) { e.Str(err.Error()) })
				})
			}
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(status)
			_, _ = w.Write(e.Bytes()) // the client may have closed the connection
		})
	}
	return mux
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, errNoRoute):
		return http.StatusNotFound
	case errors.Is(err, errRouteExists):
		return http.StatusConflict
	default:
		return http.StatusBadRequest
	}
}

func (s *Server) putRoute(r *http.Request, e *jx.Encoder) error {
	q := r.URL.Query()
	listen := q.Get("listen")
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	addr, err := s.AddRoute(q.Get("name"), listen, q.Get("target"))
	if err != nil {
		return err
	}
	e.Obj(func(e *jx.Encoder) {
		e.Field("listen", func(e *jx.Encoder) { e.Str(addr) })
	})
	return nil
}

func (s *Server) deleteRoute(r *http.Request, e *jx.Encoder) error {
	e.ObjEmpty()
	return s.RemoveRoute(r.PathValue("name"))
}

func (s *Server) postFault(r *http.Request, e *jx.Encoder) error {
	e.ObjEmpty()
	q := r.URL.Query()
	f := Fault{Mode: Mode(q.Get("mode")), Direction: Direction(q.Get("direction")), Client: q.Get("client")}
	if v := q.Get("delay-ms"); v != "" {
		n, err := strconv.ParseUint(v, 10, 31)
		if err != nil {
			return errors.Wrap(err, "delay-ms")
		}
		f.Delay = time.Duration(n) * time.Millisecond
	}
	return s.SetFault(r.PathValue("name"), f)
}

func (s *Server) getRoutes(_ *http.Request, e *jx.Encoder) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.routes))
	for name := range s.routes {
		names = append(names, name)
	}
	slices.Sort(names)
	e.Arr(func(e *jx.Encoder) {
		for _, name := range names {
			s.routes[name].encode(e, name)
		}
	})
	return nil
}

func (r *route) encode(e *jx.Encoder, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var toTarget, toClient int64 // bytes forwarded on the open connections
	for c := range r.conns {
		toTarget += c.toTarget.writtenBytes.Load()
		toClient += c.toClient.writtenBytes.Load()
	}
	e.Obj(func(e *jx.Encoder) {
		e.Field("name", func(e *jx.Encoder) { e.Str(name) })
		e.Field("listen", func(e *jx.Encoder) { e.Str(r.addr) })
		e.Field("target", func(e *jx.Encoder) { e.Str(r.target) })
		e.Field("refusing", func(e *jx.Encoder) { e.Bool(r.listener == nil) })
		e.Field("to-target", func(e *jx.Encoder) { e.Str(r.toTarget.String()) })
		e.Field("to-client", func(e *jx.Encoder) { e.Str(r.toClient.String()) })
		e.Field("connections", func(e *jx.Encoder) { e.Int(len(r.conns)) })
		e.Field("bytes-to-target", func(e *jx.Encoder) { e.Int64(toTarget) })
		e.Field("bytes-to-client", func(e *jx.Encoder) { e.Int64(toClient) })
	})
}

// String returns the mode as GET /routes shows it, with the delay for ModeDelay.
func (imp impairment) String() string {
	switch imp.mode {
	case "":
		return string(ModeOK)
	case ModeDelay:
		return string(imp.mode) + " " + imp.delay.String()
	default:
		return string(imp.mode)
	}
}
