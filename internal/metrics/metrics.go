// Package metrics exports the metrics of an instance to Prometheus.
//
// The number of time series is bounded: at most maxAccountLabels client accounts have
// a label value of their own, and the others share the value "other". docs/metrics.md
// lists all metrics; a test compares it with the code.
package metrics

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Metrics holds the collectors of one instance. The comments of its vectors name their
// labels.
type Metrics struct {
	registry *prometheus.Registry

	requestDuration  *prometheus.HistogramVec // account, class
	responses        *prometheus.CounterVec   // class, code
	refusals         *prometheus.CounterVec   // account, reason, outcome
	moves            *prometheus.CounterVec   // cause
	storeCalls       *prometheus.CounterVec   // call
	controlMessages  *prometheus.CounterVec   // message
	inForce          prometheus.Histogram
	authorityLeft    prometheus.Gauge
	leaseLeft        prometheus.Gauge
	upstreamInFlight *prometheus.GaugeVec // upstream
	upstreamLimit    *prometheus.GaugeVec // upstream
	upstreamQueued   *prometheus.GaugeVec // upstream
	membersHeard     prometheus.Gauge

	mu       sync.Mutex
	accounts map[fleet.AccountID]bool
}

const (
	maxAccountLabels  = 200
	otherAccountLabel = "other"
	// noAccountLabel is the label value of requests without a client account.
	noAccountLabel = "none"
)

// latencyBuckets are in seconds. They are dense around the latency target of 20 ms.
var latencyBuckets = []float64{0.001, 0.002, 0.005, 0.01, 0.015, 0.02, 0.03, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10}

// inForceBuckets are in seconds. They are dense below the target of 4 s for a revision
// to come into force.
var inForceBuckets = []float64{0.25, 0.5, 1, 1.25, 1.5, 2, 3, 4, 8, 16, 60}

// New returns a Metrics without observations.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(), accounts: make(map[fleet.AccountID]bool),
		requestDuration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "parsley_request_duration_seconds", Help: "Time from the receipt of a request to its answer.", Buckets: latencyBuckets,
		}, []string{"account", "class"}),
		responses:       newCounterVec("parsley_responses_total", "Answers of upstreams passed on to callers.", "class", "code"),
		refusals:        newCounterVec("parsley_refusals_total", "Requests refused to callers.", "account", "reason", "outcome"),
		moves:           newCounterVec("parsley_moves_total", "Changes of the assignment written by this instance.", "cause"),
		storeCalls:      newCounterVec("parsley_store_calls_total", "Calls to the platform's store and instance list.", "call"),
		controlMessages: newCounterVec("parsley_control_messages_total", "Control messages sent to other instances and to upstreams.", "message"),
		inForce: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "parsley_in_force_seconds", Help: "Time from the learning of a revision to its being in force.", Buckets: inForceBuckets,
		}),
		authorityLeft:    newGauge("parsley_authority_left_seconds", "Time until the authority of this instance ends; negative if it has ended."),
		leaseLeft:        newGauge("parsley_lease_left_seconds", "Shortest time until the lease of an upstream ends, over the upstreams that this instance dispatches for."),
		upstreamInFlight: newGaugeVec("parsley_upstream_in_flight", "Requests in flight at an upstream.", "upstream"),
		upstreamLimit:    newGaugeVec("parsley_upstream_limit", "Concurrency limit of an upstream.", "upstream"),
		upstreamQueued:   newGaugeVec("parsley_upstream_queued", "Requests that wait for an upstream.", "upstream"),
		membersHeard:     newGauge("parsley_members_heard", "Members heard within the loss timeout, this instance included."),
	}
	m.registry.MustRegister(m.requestDuration, m.responses, m.refusals, m.moves, m.storeCalls, m.controlMessages, m.inForce,
		m.authorityLeft, m.leaseLeft, m.upstreamInFlight, m.upstreamLimit, m.upstreamQueued, m.membersHeard)
	return m
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}

func newGaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, labels)
}

// Handler returns an HTTP handler that serves the metrics in the Prometheus text
// format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// accountLabel returns the label value for an account, otherAccountLabel once
// maxAccountLabels accounts have a value of their own.
func (m *Metrics) accountLabel(id fleet.AccountID) string {
	if id == "" {
		return noAccountLabel
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.accounts[id] {
		if len(m.accounts) >= maxAccountLabels {
			return otherAccountLabel
		}
		m.accounts[id] = true
	}
	return string(id)
}

// Served records a response of an upstream that was passed on to the caller, and the
// time that the request took.
func (m *Metrics) Served(account fleet.AccountID, class catalogue.Class, status int, took time.Duration) {
	m.requestDuration.WithLabelValues(m.accountLabel(account), string(class)).Observe(took.Seconds())
	m.responses.WithLabelValues(string(class), strconv.Itoa(status)).Inc()
}

// Refused counts a request that was refused to its caller.
func (m *Metrics) Refused(account fleet.AccountID, reason fleet.Reason) {
	m.refusals.WithLabelValues(m.accountLabel(account), string(reason), string(reason.Outcome())).Inc()
}

// Move counts a change of the assignment written by this instance.
func (m *Metrics) Move(cause assignment.Cause) { m.moves.WithLabelValues(string(cause)).Inc() }

// StoreCall counts a call to the platform's store or instance list.
func (m *Metrics) StoreCall(call string) { m.storeCalls.WithLabelValues(call).Inc() }

// ControlMessage counts a control message sent to another instance or an upstream.
func (m *Metrics) ControlMessage(message string) { m.controlMessages.WithLabelValues(message).Inc() }

// InForceAfter records the time from learning a revision until it came into force.
func (m *Metrics) InForceAfter(took time.Duration) { m.inForce.Observe(took.Seconds()) }

// AuthorityLeft sets the time until the authority of this instance ends; it is negative
// if the authority has ended.
func (m *Metrics) AuthorityLeft(left time.Duration) { m.authorityLeft.Set(left.Seconds()) }

// LeaseLeft sets the shortest time until a lease ends, over the upstreams that this
// instance dispatches for.
func (m *Metrics) LeaseLeft(left time.Duration) { m.leaseLeft.Set(left.Seconds()) }

// Members sets the number of members heard from within the loss timeout, including
// this instance.
func (m *Metrics) Members(n int) { m.membersHeard.Set(float64(n)) }

// Upstreams replaces the gauges of the upstreams that this instance dispatches
// for.
func (m *Metrics) Upstreams(reports map[fleet.UpstreamID]assignment.Report) {
	for _, g := range []*prometheus.GaugeVec{m.upstreamInFlight, m.upstreamLimit, m.upstreamQueued} {
		g.Reset()
	}
	for id, r := range reports {
		m.upstreamInFlight.WithLabelValues(string(id)).Set(float64(r.InFlight))
		m.upstreamLimit.WithLabelValues(string(id)).Set(float64(r.Limit))
		m.upstreamQueued.WithLabelValues(string(id)).Set(float64(r.Queued))
	}
}
