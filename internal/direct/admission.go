package direct

import (
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/parsleyproxy/parsleyproxy/internal/admission"
	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// admissionState is what an instance needs to admit requests by priority. Router.mu guards
// it.
type admissionState struct {
	gate    *admission.Gate
	version routes.Version                // of the configuration with the routes in retries
	retries map[string]*admission.Retries // by route name
	alone   bool                          // the last refusal was by the instance's own observations
}

const (
	// minRetryShare and maxRetryShare are the shares of the target latency within which the
	// callers return that were refused by priority. Those that return earlier find the same
	// shortage; later ones would be answered late.
	minRetryShare, maxRetryShare = 0.25, 0.75
	// callerWaitShare is the share of the time that a caller states for which it waits for
	// Retry-After. It does not return after a longer time.
	callerWaitShare = 0.3
	// maxCountedTime is the longest time before a report of which the requests count in full.
	// The first report to a new leader has those since the former one was lost, and would
	// make the demand look several times higher than it is.
	maxCountedTime = time.Second
)

// admitByPriority counts x and decides whether its service, and the holder of its key, have
// the capacity to serve it. If not, it returns the refusal and false.
func (r *Router) admitByPriority(now time.Time, x *exchange) (outcome, bool) {
	if !r.cfg.AdmitByPriority || len(x.table.Priorities(x.service.ID)) < 2 {
		return outcome{}, true
	}
	priority := routes.PriorityOf(x.route, x.account)
	q := admission.Request{Service: x.service.ID, Sharded: x.service.Sharded, Priority: priority}
	if m := r.holderMap.Load(); m != nil && x.service.Sharded && x.info.HasRoutingKey {
		q.Holder = m.Holder(x.service.ID, x.info.RoutingKey)
	}
	r.mu.Lock()
	s := r.admission
	q.Retry = s.retry(x)
	d := s.gate.Arrive(now, q)
	if d.Admitted {
		r.mu.Unlock()
		return outcome{}, true
	}
	r.retryBudget(x.service.ID).Withdraw()
	retryAfter := r.retryAfterShort(x)
	shares, fromLeader := s.gate.Shares(now)
	begun := !fromLeader && !s.alone
	s.alone = !fromLeader
	r.mu.Unlock()
	if begun {
		r.log.Warn("admission by own observations", "services-and-holders", len(shares))
	}
	r.metrics.countAdmissionRefusal(x.service.ID, priority, d.Target.Holder != "", q.Retry)
	return refuse(http.StatusServiceUnavailable, "short-of-capacity", retryAfter), false
}

// retry reports whether x has probably been refused before.
func (s *admissionState) retry(x *exchange) bool {
	if x.table.Version != s.version {
		clear(s.retries) // names of routes that no longer exist would accumulate
		s.version = x.table.Version
	}
	known := s.retries[x.route.Name]
	if known == nil {
		known = new(admission.Retries)
		s.retries[x.route.Name] = known
	}
	return known.Retry(x.info.Timeout)
}

// retryAfterShort returns when the caller of x may return that was refused by priority. The
// times are spread, so that callers do not return all at once. The caller must hold mu.
func (r *Router) retryAfterShort(x *exchange) time.Duration {
	stated := x.info.Timeout
	if stated == 0 {
		stated = x.route.Timeout
	}
	target := float64(x.route.Target)
	latest := min(maxRetryShare*target, callerWaitShare*float64(stated))
	earliest := min(minRetryShare*target, latest/2)
	return time.Duration(earliest + r.rng.Float64()*(latest-earliest))
}

// countAttempt counts the result of an attempt as evidence of a shortage, or of none. The
// caller must hold mu.
func (r *Router) countAttempt(x *exchange, a attempt) {
	queued := a.metadata.Load != nil && a.metadata.Load.Queued()
	var e admission.Evidence
	switch {
	case a.verdict == balance.Full && queued:
		e.Rejected = 1
	case a.verdict == balance.Answered || a.verdict == balance.Failed:
		e.Answered = 1
		if queued {
			e.Queued = 1
		}
	}
	r.admission.gate.Attempted(x.service.ID, e)
}

// addAdmission adds the requests by priority to a report. The caller must hold mu.
func (r *Router) addAdmission(now time.Time, rep *report) {
	rep.Admission = r.admission.gate.Report(now)
}

// learnAdmission applies the shares of the leader in a reply that was made at repliedAt. The
// caller must hold mu.
func (r *Router) learnAdmission(now, repliedAt time.Time, s admission.Shares) {
	r.admission.gate.Learn(now, now.Sub(repliedAt), s)
	r.admission.alone = false
}

// observeAdmission adds a report to what the leader knows of the demand and the shortages.
func (r *Router) observeAdmission(now time.Time, l *leadership, rep report) {
	op := r.operatorState.Load()
	if op == nil || op.Table == nil || !op.Table.HasPriorities() || !r.cfg.AdmitByPriority {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.admissionController(now, l)
	part := 1.0
	if rep.Admission.For > maxCountedTime {
		part = maxCountedTime.Seconds() / rep.Admission.For.Seconds()
	}
	for id, counts := range rep.Admission.Services {
		if !op.Table.Services[id].Sharded {
			c.Add(now, admission.Target{Service: id}, counts.Times(part))
		}
	}
	for t, requests := range rep.Admission.Holders {
		c.Add(now, t, admission.Counts{Requests: requests.Times(part)})
	}
	for id, s := range rep.ServiceTimes {
		if e := r.upstreams.Get(id); e != nil && op.Table.Services[e.Service].Sharded {
			evidence := admission.Evidence{Answered: float64(s.Unqueued + s.Queued), Rejected: float64(s.Lost)}
			c.Add(now, admission.Target{Service: e.Service, Holder: id}, admission.Counts{Evidence: evidence})
		}
	}
}

// admissionController returns the controller of a leader, which continues with the shares of
// the former one. The caller must hold mu.
func (r *Router) admissionController(now time.Time, l *leadership) *admission.Controller {
	if l.admission == nil {
		shares, _ := r.admission.gate.Shares(now)
		l.admission = admission.NewController(now, shares)
		l.shares = l.admission.Shares()
	}
	return l.admission
}

// sharesInForce returns the shares for replies: before the first step those of the former
// leader. The caller must hold mu.
func (r *Router) sharesInForce(now time.Time, l *leadership) admission.Shares {
	if l.admission != nil {
		return l.shares
	}
	shares, _ := r.admission.gate.Shares(now)
	return maps.Clone(shares)
}

// stepAdmission updates the shares that the leader sends to the other instances.
func (r *Router) stepAdmission(now time.Time, l *leadership) {
	op := r.operatorState.Load()
	r.mu.Lock()
	if op == nil || op.Table == nil || !op.Table.HasPriorities() || !r.cfg.AdmitByPriority {
		l.admission, l.shares = nil, nil
		r.learnAdmission(now, now, nil)
		r.mu.Unlock()
		return
	}
	c := r.admissionController(now, l)
	changes := c.Step(now, func(t admission.Target) float64 { return r.targetCapacity(now, t) })
	l.shares = c.Shares()
	r.learnAdmission(now, now, l.shares)
	r.mu.Unlock()
	for _, change := range changes {
		fields := []any{
			"service", change.Target.Service, "holder", change.Target.Holder, "limit", change.Limit,
			"requested", change.Requested, "capacity", change.Capacity, "term", l.term,
		}
		if change.Short {
			r.log.Warn("short of capacity", fields...)
		} else {
			r.log.Info("no longer short of capacity", fields...)
		}
	}
}

// targetCapacity returns the estimated capacity of a service or a holder in requests/s. The
// caller must hold mu.
func (r *Router) targetCapacity(now time.Time, t admission.Target) (sum float64) {
	if t.Holder != "" {
		if e := r.upstreams.Get(t.Holder); e != nil {
			sum = r.upstreams.Capacity(now, e).Rate
		}
		return sum
	}
	for _, e := range r.upstreams.Service(t.Service) {
		if r.upstreams.Available(now, e) && !e.Cold(now) {
			sum += r.upstreams.Capacity(now, e).Rate
		}
	}
	return sum
}

// admissionMetrics are the collectors for admission by priority.
type admissionMetrics struct {
	refused      *prometheus.CounterVec // by service, priority, at, retry
	share        *prometheus.GaugeVec   // by service, priority
	shortHolders *prometheus.GaugeVec   // by service
}

func newAdmissionMetrics(registry *prometheus.Registry) admissionMetrics {
	m := admissionMetrics{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "parsleyproxy_direct_admission_refused_total", Help: "Requests refused by priority.",
		}, []string{"service", "priority", "short", "retry"}),
		share: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "parsleyproxy_direct_admission_share", Help: "Admitted share of requests to services that are short of capacity.",
		}, []string{"service", "priority"}),
		shortHolders: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "parsleyproxy_direct_admission_short_holders", Help: "Holders that are short of capacity.",
		}, []string{"service"}),
	}
	registry.MustRegister(m.refused, m.share, m.shortHolders)
	return m
}

func (m *Metrics) countAdmissionRefusal(service fleet.ServiceID, p routes.Priority, holder, retry bool) {
	short := "service"
	if holder {
		short = "holder"
	}
	m.admission.refused.WithLabelValues(serviceLabel(service), strconv.Itoa(int(p)), short, strconv.FormatBool(retry)).Inc()
}

// updateAdmissionGauges sets the gauges for admission by priority. The caller must hold mu.
func (r *Router) updateAdmissionGauges(now time.Time) {
	m := r.metrics.admission
	m.share.Reset()
	m.shortHolders.Reset()
	op := r.operatorState.Load()
	if op == nil || op.Table == nil {
		return
	}
	shares, _ := r.admission.gate.Shares(now)
	for t, byPriority := range shares {
		if t.Holder != "" {
			m.shortHolders.WithLabelValues(serviceLabel(t.Service)).Inc()
			continue
		}
		for _, p := range op.Table.Priorities(t.Service) {
			m.share.WithLabelValues(serviceLabel(t.Service), strconv.Itoa(int(p))).Set(byPriority.Of(p))
		}
	}
}
