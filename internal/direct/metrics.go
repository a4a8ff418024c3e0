package direct

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Metrics holds the Prometheus collectors of an instance.
type Metrics struct {
	registry          *prometheus.Registry
	requestDuration   *prometheus.HistogramVec // by service
	answers           *prometheus.CounterVec   // by code, reason
	storeCalls        *prometheus.CounterVec   // by call, outcome
	upstreamCalls     *prometheus.CounterVec   // by order, result
	keyMoves          *prometheus.CounterVec   // by cause
	closedConns       *prometheus.CounterVec   // by cause
	cutResponses      *prometheus.CounterVec   // by side
	bodyWrites        *prometheus.CounterVec   // by cause
	closedProbes      *prometheus.CounterVec   // by cause
	droppedLogLines   prometheus.Counter
	invalidEntries    *prometheus.CounterVec // by kind
	invalidPauses     prometheus.Counter
	invalidLimits     prometheus.Counter
	pauseSeconds      *prometheus.CounterVec // by service
	leavingUse        prometheus.Histogram
	homeTokenRequests *prometheus.CounterVec // by result
	homeDecisions     *prometheus.CounterVec // by by, result
	holderRefusals    *prometheus.CounterVec // by service, reason
	holderReports     prometheus.Counter

	rolloutPhases *prometheus.CounterVec // by service, phase

	// Gauges of the instance's state, which refreshGauges updates before each scrape.
	refreshGauges        func(now time.Time)
	knowledgeAge         *prometheus.GaugeVec // by of: the kind of state
	leading              prometheus.Gauge
	instances            prometheus.Gauge
	configurationVersion prometheus.Gauge
	restrictions         prometheus.Gauge
	storeEra             prometheus.Gauge
	upstreams            *prometheus.GaugeVec // by service, state
	leavingByAnswer      *prometheus.GaugeVec // by service
	limited              *prometheus.GaugeVec // by service
	fullHolders          *prometheus.GaugeVec // by service
	hotKeys              *prometheus.GaugeVec // by service
	memory               *prometheus.GaugeVec // by of: how it is counted
	memoryLimit          prometheus.Gauge
	bodies               *prometheus.GaugeVec // by of: the kind of bodies
	callerConns          prometheus.Gauge
	requestsInProgress   prometheus.Gauge
	admission            admissionMetrics
	capacities           capacityMetrics

	otherZoneBytes  *prometheus.CounterVec // by service
	rolloutShare    *prometheus.GaugeVec   // by service
	rolloutRequests *prometheus.GaugeVec   // by service, of
	held            *prometheus.GaugeVec   // by service
}

// durationBuckets are the upper bounds of the duration histogram, in seconds. They are
// dense around the target latencies of routes.
var durationBuckets = []float64{0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1, 1.5, 2, 3, 6}

// leavingUseBuckets are the upper bounds of the histogram of the use of leaving upstreams,
// in seconds. The platforms bound it by 2 or 2.5 s.
var leavingUseBuckets = []float64{0, 0.25, 0.5, 1, 1.5, 2, 2.5, 3, 5}

// NewMetrics returns collectors without any observation.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requestDuration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "parsleyproxy_direct_request_duration_seconds", Help: "Time from a request to its answer.", Buckets: durationBuckets,
		}, []string{"service"}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "parsleyproxy_direct_answers_total", Help: "Answers to callers; the reason is empty if an upstream made the answer.",
		}, []string{"code", "reason"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "parsleyproxy_direct_store_calls_total", Help: "Calls to the platform's store.",
		}, []string{"call", "outcome"}),
		upstreamCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "parsleyproxy_direct_orders_total", Help: "Grants and releases sent to upstreams.",
		}, []string{"order", "result"}),
		keyMoves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "parsleyproxy_direct_key_moves_total", Help: "Spans of keys that the leader planned to move.",
		}, []string{"cause"}),
		closedConns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "parsleyproxy_direct_caller_connections_closed_total", Help: "Closed connections of callers, by cause.",
		}, []string{"cause"}),
		cutResponses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "parsleyproxy_direct_responses_cut_total", Help: "Streamed responses that ended early, by the side that ended them.",
		}, []string{"side"}),
		droppedLogLines: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "parsleyproxy_direct_log_lines_dropped_total", Help: "Log lines that were not written, since the output was too slow or the rate too high.",
		}),
	}
	m.bodyWrites = newBodyWrites()
	m.closedProbes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "parsleyproxy_direct_probe_connections_closed_total", Help: "Closed connections of readiness checks, by cause.",
	}, []string{"cause"})
	m.invalidEntries = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "parsleyproxy_direct_invalid_entries_total", Help: "Entries in the store that were ignored because they are invalid, counted at each read.",
	}, []string{"kind"})
	m.invalidPauses = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "parsleyproxy_direct_invalid_pauses_total", Help: "Answers of upstreams that ask for a pause that cannot be read, is ambiguous or too long.",
	})
	m.invalidLimits = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "parsleyproxy_direct_invalid_limits_total", Help: "Answers of upstreams that name a limit that cannot be read, is ambiguous or out of range.",
	})
	m.limited = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "parsleyproxy_direct_upstreams_limited", Help: "Upstreams that name a request rate that they take from all instances together.",
	}, []string{"service"})
	m.pauseSeconds = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "parsleyproxy_direct_pause_seconds_total", Help: "Time for which upstreams have asked for no requests, added up when they ask.",
	}, []string{"service"})
	m.leavingUse = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "parsleyproxy_direct_leaving_use_seconds", Help: "Time from the earliest moment at which an upstream may have started to leave to the last request sent to it.",
		Buckets: leavingUseBuckets,
	})
	m.registerHomeMetrics()
	m.leavingByAnswer = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "parsleyproxy_direct_upstreams_leaving_by_answer", Help: "Upstreams whose answers say that they leave.",
	}, []string{"service"})
	m.knowledgeAge = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "parsleyproxy_direct_knowledge_age_seconds", Help: "Time since what the instance knows was known to be true.",
	}, []string{"of"})
	m.leading = prometheus.NewGauge(prometheus.GaugeOpts{Name: "parsleyproxy_direct_leading", Help: "1 if the instance leads."})
	m.instances = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "parsleyproxy_direct_instances", Help: "Instances that share limits and bounds, as this one knows them.",
	})
	m.configurationVersion = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "parsleyproxy_direct_configuration_version", Help: "Version of the configuration in force; 0 if there is none.",
	})
	m.restrictions = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "parsleyproxy_direct_configuration_restrictions", Help: "Unknown kinds and services of routes in the configuration in force.",
	})
	m.storeEra = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "parsleyproxy_direct_store_era", Help: "How often the store was restored from a copy, as this instance knows it.",
	})
	m.upstreams = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "parsleyproxy_direct_upstreams", Help: "Upstreams by what this instance thinks of them.",
	}, []string{"service", "state"})
	m.memory = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "parsleyproxy_direct_memory_bytes", Help: "Resident memory of the process, and memory that its runtime has from the system.",
	}, []string{"of"})
	m.memoryLimit = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "parsleyproxy_direct_memory_limit_bytes", Help: "Memory limit of the process; 0 if it is unknown.",
	})
	m.bodies = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "parsleyproxy_direct_body_bytes", Help: "Memory of bodies that are held.",
	}, []string{"of"})
	m.callerConns = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "parsleyproxy_direct_caller_connections", Help: "Open connections of callers.",
	})
	m.requestsInProgress = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "parsleyproxy_direct_requests_in_progress", Help: "Requests of callers that have not been answered.",
	})
	m.registry.MustRegister(m.requestDuration, m.answers, m.storeCalls, m.upstreamCalls, m.keyMoves, m.closedConns, m.cutResponses, m.bodyWrites, m.droppedLogLines, m.invalidEntries, m.invalidPauses, m.invalidLimits, m.pauseSeconds, m.leavingUse)
	m.registry.MustRegister(m.knowledgeAge, m.leading, m.instances, m.configurationVersion, m.restrictions, m.storeEra, m.upstreams, m.leavingByAnswer, m.limited)
	m.registerHolders()
	m.registry.MustRegister(m.closedProbes, m.memory, m.memoryLimit, m.bodies, m.callerConns, m.requestsInProgress)
	m.admission = newAdmissionMetrics(m.registry)
	m.otherZoneBytes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "parsleyproxy_direct_other_zone_bytes_total", Help: "Body bytes of requests and responses that were exchanged with upstreams in other zones.",
	}, []string{"service"})
	m.registry.MustRegister(m.otherZoneBytes)
	m.capacities = newCapacityMetrics(m.registry)
	m.registerRollouts()
	return m
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	text := promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if m.refreshGauges != nil {
			m.refreshGauges(time.Now())
		}
		text.ServeHTTP(w, req)
	})
}

// updateGauges sets the gauges to the instance's state and the age of that state at
// now.
func (r *Router) updateGauges(now time.Time) {
	r.updateMemoryGauges()
	m := r.metrics
	r.mu.Lock()
	defer r.mu.Unlock()
	for of, since := range map[string]time.Time{
		"upstreams": r.listedAt, "configuration": r.operatorConfirmedAt, "leader": r.leader.heardAt, "store": r.storeAnsweredAt,
	} {
		if since.IsZero() {
			m.knowledgeAge.DeleteLabelValues(of) // unknown so far
			continue
		}
		m.knowledgeAge.WithLabelValues(of).Set(now.Sub(since).Seconds())
	}
	m.leading.Set(0)
	if r.leadership != nil {
		m.leading.Set(1)
		m.knowledgeAge.WithLabelValues("leader").Set(0)
	}
	m.instances.Set(float64(len(r.instances)))
	if op := r.operatorState.Load(); op != nil && op.Table != nil {
		m.configurationVersion.Set(float64(op.Table.Version))
		m.restrictions.Set(float64(len(op.Table.Problems)))
	}
	m.storeEra.Set(float64(r.era))
	r.updateAdmissionGauges(now)
	m.upstreams.Reset()
	m.leavingByAnswer.Reset()
	for service, n := range r.upstreams.LeavingByAnswer() {
		m.leavingByAnswer.WithLabelValues(serviceLabel(service)).Set(float64(n))
	}
	m.limited.Reset()
	for service, n := range r.upstreams.LimitedUpstreams() {
		m.limited.WithLabelValues(serviceLabel(service)).Set(float64(n))
	}
	m.capacities.update(now, r.upstreams)
	r.updateHolderGauges(now)
	r.updateRolloutGauges()
	for service, states := range r.upstreams.States(now) {
		for state, n := range states {
			m.upstreams.WithLabelValues(serviceLabel(service), string(state)).Set(float64(n))
		}
	}
}

// serviceLabel returns the label value of a service. A label value that is not valid
// UTF-8 makes the Prometheus client panic, which ends the process.
func serviceLabel(id fleet.ServiceID) string {
	return strings.ToValidUTF8(string(id), "\uFFFD")
}

// StoreCall counts a call to the store.
func (m *Metrics) StoreCall(call, outcome string) { m.storeCalls.WithLabelValues(call, outcome).Inc() }

// LogDropped counts a log line that was not written.
func (m *Metrics) LogDropped() { m.droppedLogLines.Inc() }

func (m *Metrics) countInvalid(kind entryKind, n int) {
	m.invalidEntries.WithLabelValues(string(kind)).Add(float64(n))
}

func (m *Metrics) countMove(cause string) { m.keyMoves.WithLabelValues(cause).Inc() }

func (m *Metrics) countRequest(service fleet.ServiceID, status int, reason string, took time.Duration) {
	m.requestDuration.WithLabelValues(serviceLabel(service)).Observe(took.Seconds())
	m.answers.WithLabelValues(strconv.Itoa(status), reason).Inc()
}

func (m *Metrics) countCall(release bool, result keyspace.Result) {
	order := "grant"
	if release {
		order = "release"
	}
	m.upstreamCalls.WithLabelValues(order, result.String()).Inc()
}
