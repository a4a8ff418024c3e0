package upstream

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// incoming is a request as its headers describe it.
type incoming struct {
	id         fleet.RequestID
	clientID   string
	account    fleet.AccountID
	key        fleet.RoutingKey
	unit       fleet.Unit
	fence      fleet.Fence
	dispatcher fleet.Fence
	deadline   time.Time
	startBy    time.Time // on the wall clock
}

// headerClientID is the load generator's own id of a request.
const headerClientID = "X-Client-Id"

// maxDeadline bounds what a caller can ask for.
const maxDeadline = time.Hour

func parse(now time.Time, service fleet.ServiceID, r *http.Request) (incoming, error) {
	in := incoming{
		id: fleet.RequestID(r.Header.Get(fleet.HeaderRequestID)), clientID: r.Header.Get(headerClientID),
		account: fleet.AccountID(r.Header.Get(fleet.HeaderAccount)), unit: fleet.Unit{Service: service},
	}
	if in.id == "" {
		return in, errors.Errorf("header %s is missing", fleet.HeaderRequestID)
	}
	number := func(name string, set func(uint64)) error {
		n, err := strconv.ParseUint(r.Header.Get(name), 10, 63)
		if err != nil {
			return errors.Wrapf(err, "header %s", name)
		}
		set(n)
		return nil
	}
	if pin := r.Header.Get(fleet.HeaderPin); pin != "" {
		key, err := url.PathUnescape(pin)
		if err != nil {
			return in, errors.Wrapf(err, "header %s", fleet.HeaderPin)
		}
		in.unit.Pin = fleet.RoutingKey(key)
	} else if err := number(fleet.HeaderShard, func(n uint64) { in.unit.Shard = fleet.ShardID(n) }); err != nil {
		return in, err
	}
	in.key = routingKey(r, in.unit)
	if err := number(fleet.HeaderDispatcherFence, func(n uint64) { in.dispatcher = fleet.Fence(n) }); err != nil {
		return in, err
	}
	if err := number(fleet.HeaderFence, func(n uint64) { in.fence = fleet.Fence(n) }); err != nil {
		return in, err
	}
	if err := number(fleet.HeaderDeadline, func(n uint64) {
		in.deadline = now.Add(min(time.Duration(n)*time.Millisecond, maxDeadline))
	}); err != nil {
		return in, err
	}
	return in, number(fleet.HeaderStartBy, func(n uint64) { in.startBy = time.UnixMilli(int64(n)) })
}

// routingKey finds the routing key where the load generator puts it.
func routingKey(r *http.Request, unit fleet.Unit) fleet.RoutingKey {
	for _, k := range []string{string(unit.Pin), r.Header.Get("X-Routing-Key"), r.URL.Query().Get("key")} {
		if k != "" {
			return fleet.RoutingKey(k)
		}
	}
	return fleet.RoutingKey(path.Base(r.URL.Path))
}

// answer is a response before a fault changes it.
type answer struct {
	status int
	notRun bool
	detail string
	in     incoming
}

func refuse(in incoming, status int, detail string) *answer {
	return &answer{status: status, notRun: true, detail: detail, in: in}
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	s.connect(r.RemoteAddr)
	_, _ = io.Copy(io.Discard, r.Body) // trailers arrive after the body
	s.searchSecrets(r)
	now := time.Now()
	in, err := parse(now, s.cfg.Service, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a := s.execute(r.Context(), now, in)
	s.mu.Lock()
	f := s.faults.at(time.Now())
	if f.mode == modeCross {
		a, s.faults.previous = s.faults.cross(a), a
	}
	s.mu.Unlock()
	f.delayAnswer(r.Context())
	s.write(w, a, f)
}

// cross returns the previous response in place of a.
func (f *faults) cross(a *answer) *answer {
	if f.previous != nil {
		return f.previous
	}
	return a
}

// execute runs a request and returns its response.
func (s *Server) execute(ctx context.Context, now time.Time, in incoming) *answer {
	took, refused := s.start(now, in)
	if refused != nil {
		return refused
	}
	timer := time.NewTimer(took)
	defer timer.Stop()
	deadline := time.NewTimer(time.Until(in.deadline))
	defer deadline.Stop()
	select {
	case <-timer.C:
	case <-deadline.C:
	case <-ctx.Done():
	}
	return s.finish(ctx, in)
}

// start checks a request and takes a slot.
func (s *Server) start(now time.Time, in incoming) (time.Duration, *answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.admit(now, in); a != nil {
		s.record(record{event: "refuse", detail: a.detail, in: in})
		return 0, a
	}
	s.warmth.advance(now, s.running)
	s.running++
	s.runningBy[in.dispatcher]++
	s.warmth.advance(now, s.running)
	if s.warmth.check(now, s.running) {
		s.record(record{event: "overload", in: in})
	}
	s.record(record{event: "start", in: in})
	return s.serviceTime(now), nil
}

func (s *Server) admit(now time.Time, in incoming) *answer {
	switch {
	case s.draining:
		return refuse(in, http.StatusServiceUnavailable, "draining")
	case !now.Before(in.deadline):
		return refuse(in, http.StatusGatewayTimeout, "deadline passed")
	case !time.Now().Round(0).Before(in.startBy):
		return refuse(in, http.StatusGatewayTimeout, "start-by time passed")
	case !s.control.unfenced && in.dispatcher != s.control.dispatcher:
		return refuse(in, http.StatusConflict, "other dispatcher fence")
	case !s.control.Holds(s.stamp(), in.unit, in.fence):
		return refuse(in, http.StatusConflict, "no such grant or lease")
	case s.faults.at(now).mode == modeShed:
		return refuse(in, http.StatusServiceUnavailable, "shed")
	case s.running >= s.cfg.Slots:
		return refuse(in, http.StatusServiceUnavailable, "no free slot")
	}
	return nil
}

func (s *Server) serviceTime(now time.Time) time.Duration {
	d := s.cfg.ServiceTime
	if s.rng.Float64() < s.cfg.StraggleProbability {
		d = s.cfg.StraggleTime
	} else {
		d = time.Duration(float64(d) * (0.5 + s.rng.Float64()))
	}
	return time.Duration(float64(d) * s.warmth.slowdown(now))
}

// finish checks again, has the effect and frees the slot.
func (s *Server) finish(ctx context.Context, in incoming) *answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	a := &answer{status: http.StatusOK, in: in}
	switch {
	case ctx.Err() != nil:
		a = refuse(in, http.StatusServiceUnavailable, "cancelled")
	case !now.Before(in.deadline):
		a = refuse(in, http.StatusGatewayTimeout, "deadline passed")
	case !s.control.Holds(s.stamp(), in.unit, in.fence):
		a = refuse(in, http.StatusConflict, "grant or lease ended")
	case s.warmth.broken(now):
		a = &answer{status: http.StatusServiceUnavailable, detail: "overloaded", in: in}
	default:
		s.record(record{event: "effect", in: in})
	}
	if a.notRun {
		s.record(record{event: "refuse", detail: a.detail, in: in})
	}
	s.warmth.advance(now, s.running-1)
	s.record(record{event: "end", detail: a.detail, in: in})
	s.running--
	if s.runningBy[in.dispatcher]--; s.runningBy[in.dispatcher] == 0 {
		delete(s.runningBy, in.dispatcher)
	}
	return a
}

func (s *Server) write(w http.ResponseWriter, a *answer, f fault) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(fleet.HeaderRequestID, string(a.in.id))
	h.Set(fleet.HeaderBoot, string(s.boot))
	if a.in.clientID != "" {
		h.Set(headerClientID, a.in.clientID)
	}
	if a.notRun {
		h.Set(fleet.HeaderOutcome, string(fleet.NotRun))
	}
	body := s.body(a)
	if f.mode == modeShort {
		s.writeShort(w, a, body)
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(body)
}

// writeShort announces the whole body, sends half of it and closes.
func (s *Server) writeShort(w http.ResponseWriter, a *answer, body []byte) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	head := "HTTP/1.1 " + strconv.Itoa(a.status) + " " + http.StatusText(a.status) + "\r\nContent-Length: " + strconv.Itoa(len(body)) +
		"\r\n" + fleet.HeaderRequestID + ": " + string(a.in.id) + "\r\n" + fleet.HeaderBoot + ": " + string(s.boot) + "\r\n\r\n"
	_, _ = conn.Write(append([]byte(head), body[:len(body)/2]...))
	_ = conn.Close()
}

func (s *Server) body(a *answer) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		for _, f := range [][2]string{
			{"request-id", string(a.in.id)},
			{"account", string(a.in.account)},
			{"key", string(a.in.key)},
			{"upstream", s.cfg.Name},
			{"boot", string(s.boot)},
			{"detail", a.detail},
		} {
			if f[1] != "" || f[0] != "detail" {
				e.Field(f[0], func(e *jx.Encoder) { e.Str(f[1]) })
			}
		}
	})
	return e.Bytes()
}
