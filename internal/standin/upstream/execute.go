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

// requestInfo holds the values of a request's headers.
type requestInfo struct {
	id         fleet.RequestID
	clientID   string
	account    fleet.AccountID
	key        fleet.RoutingKey
	unit       fleet.Unit
	fence      fleet.Fence
	dispatcher fleet.Fence
	deadline   time.Time
	startBy    time.Time // wall-clock time after which the request must not start
}

// headerClientID is the header with the load generator's own request id.
const headerClientID = "X-Client-Id"

// maxDeadline is the maximum time that a request can be given to finish.
const maxDeadline = time.Hour

func parseRequest(now time.Time, service fleet.ServiceID, r *http.Request) (requestInfo, error) {
	in := requestInfo{
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

// routingKey returns the routing key of a request from any of the places where the
// load generator puts it: the pin, the header, the query or the last path segment.
func routingKey(r *http.Request, unit fleet.Unit) fleet.RoutingKey {
	for _, k := range []string{string(unit.Pin), r.Header.Get("X-Routing-Key"), r.URL.Query().Get("key")} {
		if k != "" {
			return fleet.RoutingKey(k)
		}
	}
	return fleet.RoutingKey(path.Base(r.URL.Path))
}

// response is the response to a request before faults are applied.
type response struct {
	status int
	notRun bool
	detail string
	in     requestInfo
}

func refuse(in requestInfo, status int, detail string) *response {
	return &response{status: status, notRun: true, detail: detail, in: in}
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	s.delayNewConn(r.RemoteAddr)
	_, _ = io.Copy(io.Discard, r.Body) // trailers can be read only after the body
	s.recordSecrets(r)
	now := time.Now()
	in, err := parseRequest(now, s.cfg.Service, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	res := s.execute(r.Context(), now, in)
	s.mu.Lock()
	f := s.faults.activeAt(time.Now())
	if f.mode == modeCrossed {
		res, s.faults.previous = s.faults.swapPrevious(res), res
	}
	s.mu.Unlock()
	f.delayResponse(r.Context())
	s.writeResponse(w, res, f)
}

// swapPrevious returns the previous response, or res if there is none.
func (f *faultState) swapPrevious(res *response) *response {
	if f.previous != nil {
		return f.previous
	}
	return res
}

// execute runs a request for its service time and returns the response.
func (s *Server) execute(ctx context.Context, now time.Time, in requestInfo) *response {
	runTime, refusal := s.startRequest(now, in)
	if refusal != nil {
		return refusal
	}
	timer := time.NewTimer(runTime)
	defer timer.Stop()
	deadline := time.NewTimer(time.Until(in.deadline))
	defer deadline.Stop()
	select {
	case <-timer.C:
	case <-deadline.C:
	case <-ctx.Done():
	}
	return s.finishRequest(ctx, in)
}

// startRequest checks a request and occupies a slot. It returns the time that the
// request takes, or a response that refuses the request.
func (s *Server) startRequest(now time.Time, in requestInfo) (time.Duration, *response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refusal := s.checkAdmission(now, in); refusal != nil {
		s.writeRecord(historyRecord{event: "refuse", detail: refusal.detail, in: in})
		return 0, refusal
	}
	s.warmUp.advance(now, s.running)
	s.running++
	s.runningBy[in.dispatcher]++
	s.warmUp.advance(now, s.running)
	if s.warmUp.checkOverload(now, s.running) {
		s.writeRecord(historyRecord{event: "overload", in: in})
	}
	s.writeRecord(historyRecord{event: "start", in: in})
	return s.serviceTime(now), nil
}

// checkAdmission returns a response that refuses the request, or nil if the request
// may start.
func (s *Server) checkAdmission(now time.Time, in requestInfo) *response {
	switch {
	case s.draining:
		return refuse(in, http.StatusServiceUnavailable, "draining")
	case !now.Before(in.deadline):
		return refuse(in, http.StatusGatewayTimeout, "deadline passed")
	case !time.Now().Round(0).Before(in.startBy):
		return refuse(in, http.StatusGatewayTimeout, "start-by time passed")
	case !s.control.unfenced && in.dispatcher != s.control.dispatcher:
		return refuse(in, http.StatusConflict, "other dispatcher fence")
	case !s.control.MayRun(s.clock(), in.unit, in.fence):
		return refuse(in, http.StatusConflict, "no such grant or lease")
	case s.faults.activeAt(now).mode == modeShed:
		return refuse(in, http.StatusServiceUnavailable, "shed")
	case s.running >= s.cfg.Slots:
		return refuse(in, http.StatusServiceUnavailable, "no free slot")
	}
	return nil
}

// serviceTime returns the randomized time that a request takes, including the
// slowdown of a cold or overloaded upstream.
func (s *Server) serviceTime(now time.Time) time.Duration {
	d := s.cfg.ServiceTime
	if s.rng.Float64() < s.cfg.StraggleProbability {
		d = s.cfg.StraggleTime
	} else {
		d = time.Duration(float64(d) * (0.5 + s.rng.Float64()))
	}
	return time.Duration(float64(d) * s.warmUp.slowdown(now))
}

// finishRequest repeats the checks that may have changed while the request ran,
// records the effect, and frees the slot.
func (s *Server) finishRequest(ctx context.Context, in requestInfo) *response {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	res := &response{status: http.StatusOK, in: in}
	switch {
	case ctx.Err() != nil:
		res = refuse(in, http.StatusServiceUnavailable, "cancelled")
	case !now.Before(in.deadline):
		res = refuse(in, http.StatusGatewayTimeout, "deadline passed")
	case !s.control.MayRun(s.clock(), in.unit, in.fence):
		res = refuse(in, http.StatusConflict, "grant or lease ended")
	case s.warmUp.overloaded(now):
		res = &response{status: http.StatusServiceUnavailable, detail: "overloaded", in: in}
	default:
		s.writeRecord(historyRecord{event: "effect", in: in})
	}
	if res.notRun {
		s.writeRecord(historyRecord{event: "refuse", detail: res.detail, in: in})
	}
	s.warmUp.advance(now, s.running-1)
	s.writeRecord(historyRecord{event: "end", detail: res.detail, in: in})
	s.running--
	if s.runningBy[in.dispatcher]--; s.runningBy[in.dispatcher] == 0 {
		delete(s.runningBy, in.dispatcher)
	}
	return res
}

func (s *Server) writeResponse(w http.ResponseWriter, res *response, f activeFault) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(fleet.HeaderRequestID, string(res.in.id))
	h.Set(fleet.HeaderBoot, string(s.boot))
	if res.in.clientID != "" {
		h.Set(headerClientID, res.in.clientID)
	}
	if res.notRun {
		h.Set(fleet.HeaderOutcome, string(fleet.NotRun))
	}
	body := s.responseBody(res)
	if f.mode == modeShort {
		s.writeTruncated(w, res, body)
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(res.status)
	_, _ = w.Write(body)
}

// writeTruncated sends a response whose Content-Length covers the whole body, but only
// half of the body, and closes the connection.
func (s *Server) writeTruncated(w http.ResponseWriter, res *response, body []byte) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	head := "HTTP/1.1 " + strconv.Itoa(res.status) + " " + http.StatusText(res.status) + "\r\nContent-Length: " + strconv.Itoa(len(body)) +
		"\r\n" + fleet.HeaderRequestID + ": " + string(res.in.id) + "\r\n" + fleet.HeaderBoot + ": " + string(s.boot) + "\r\n\r\n"
	_, _ = conn.Write(append([]byte(head), body[:len(body)/2]...))
	_ = conn.Close()
}

func (s *Server) responseBody(res *response) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		for _, f := range [][2]string{
			{"request-id", string(res.in.id)},
			{"account", string(res.in.account)},
			{"key", string(res.in.key)},
			{"upstream", s.cfg.Name},
			{"boot", string(s.boot)},
			{"detail", res.detail},
		} {
			if f[1] != "" || f[0] != "detail" {
				e.Field(f[0], func(e *jx.Encoder) { e.Str(f[1]) })
			}
		}
	})
	return e.Bytes()
}
