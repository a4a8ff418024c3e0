package direct

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Metrics counts what an instance does.
type Metrics struct {
	registry *prometheus.Registry
	duration *prometheus.HistogramVec // service
	answers  *prometheus.CounterVec   // code, reason
	store    *prometheus.CounterVec   // call, outcome
	orders   *prometheus.CounterVec   // order, result
	moves    *prometheus.CounterVec   // cause
	dropped  prometheus.Counter

	// What the instance knows, brought up to date by observe before it is read.
	observe   func(now time.Time)
	age       *prometheus.GaugeVec // of
	leading   prometheus.Gauge
	instances prometheus.Gauge
	version   prometheus.Gauge
	upstreams *prometheus.GaugeVec // service, state
}

// durationBuckets are in seconds; they are dense around the targets of routes.
var durationBuckets = []float64{0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1, 1.5, 2, 3, 6}

// NewMetrics returns collectors without any observation.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "parsleyproxy_direct_request_duration_seconds", Help: "Time from a request to its answer.", Buckets: durationBuckets,
		}, []string{"service"}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "parsleyproxy_direct_answers_total", Help: "Answers to callers; the reason is empty if an upstream made the answer.",
		}, []string{"code", "reason"}),
		store: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "parsleyproxy_direct_store_calls_total", Help: "Calls to the platform's store.",
		}, []string{"call", "outcome"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "parsleyproxy_direct_orders_total", Help: "Grants and releases sent to upstreams.",
		}, []string{"order", "result"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "parsleyproxy_direct_key_moves_total", Help: "Spans of keys that the leader planned to move.",
		}, []string{"cause"}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "parsleyproxy_direct_log_lines_dropped_total", Help: "Log lines that were not written, since the output was too slow or the rate too high.",
		}),
	}
	m.age = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "parsleyproxy_direct_knowledge_age_seconds", Help: "Time since what the instance knows was known to be true.",
	}, []string{"of"})
	m.leading = prometheus.NewGauge(prometheus.GaugeOpts{Name: "parsleyproxy_direct_leading", Help: "1 if the instance leads."})
	m.instances = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "parsleyproxy_direct_instances", Help: "Instances that share limits and bounds, as this one knows them.",
	})
	m.version = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "parsleyproxy_direct_configuration_version", Help: "Version of the configuration in force; 0 if there is none.",
	})
	m.upstreams = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "parsleyproxy_direct_upstreams", Help: "Upstreams by what this instance thinks of them.",
	}, []string{"service", "state"})
	m.registry.MustRegister(m.duration, m.answers, m.store, m.orders, m.moves, m.dropped)
	m.registry.MustRegister(m.age, m.leading, m.instances, m.version, m.upstreams)
	return m
}

// Handler serves the metrics as text.
func (m *Metrics) Handler() http.Handler {
	text := promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if m.observe != nil {
			m.observe(time.Now())
		}
		text.ServeHTTP(w, req)
	})
}

// observeKnowledge tells the metrics what the instance knows and how old that is.
func (r *Router) observeKnowledge(now time.Time) {
	m := r.metrics
	r.mu.Lock()
	defer r.mu.Unlock()
	for of, since := range map[string]time.Time{
		"upstreams": r.listed, "configuration": r.operatorChecked, "leader": r.leader.heard, "store": r.storeSeen,
	} {
		if since.IsZero() {
			m.age.DeleteLabelValues(of) // nothing is known yet
			continue
		}
		m.age.WithLabelValues(of).Set(now.Sub(since).Seconds())
	}
	m.leading.Set(0)
	if r.leadership != nil {
		m.leading.Set(1)
		m.age.WithLabelValues("leader").Set(0)
	}
	m.instances.Set(float64(len(r.instances)))
	if op := r.operator.Load(); op != nil && op.Table != nil {
		m.version.Set(float64(op.Table.Version))
	}
	m.upstreams.Reset()
	for service, states := range r.upstreams.States(now) {
		for state, n := range states {
			m.upstreams.WithLabelValues(string(service), string(state)).Set(float64(n))
		}
	}
}

// StoreCall counts a call to the store.
func (m *Metrics) StoreCall(call, outcome string) { m.store.WithLabelValues(call, outcome).Inc() }

// LogDropped counts a log line that was not written.
func (m *Metrics) LogDropped() { m.dropped.Inc() }

func (m *Metrics) moved(cause string) { m.moves.WithLabelValues(cause).Inc() }

func (m *Metrics) request(service fleet.ServiceID, status int, reason string, took time.Duration) {
	m.duration.WithLabelValues(string(service)).Observe(took.Seconds())
	m.answers.WithLabelValues(strconv.Itoa(status), reason).Inc()
}

func (m *Metrics) order(release bool, result keyspace.Result) {
	order := "grant"
	if release {
		order = "release"
	}
	m.orders.WithLabelValues(order, result.String()).Inc()
}
