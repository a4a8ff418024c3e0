// Package metrics counts what an instance does, for Prometheus.
//
// The number of series is bounded: at most maxAccounts client accounts have a
// label of their own, the others share the label "other". docs/metrics.md lists
// every metric; a test compares the two.
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

// Metrics holds the collectors of one instance.
type Metrics struct {
	registry *prometheus.Registry

	duration        *prometheus.HistogramVec // account, class
	responses       *prometheus.CounterVec   // class, code
	refusals        *prometheus.CounterVec   // account, reason, outcome
	moves           *prometheus.CounterVec   // cause
	storeCalls      *prometheus.CounterVec   // call
	controlMessages *prometheus.CounterVec   // message
	inForce         prometheus.Histogram
	authorityLeft   prometheus.Gauge
	leaseLeft       prometheus.Gauge
	slotsInUse      *prometheus.GaugeVec // upstream
	slotsLimit      *prometheus.GaugeVec // upstream
	queued          *prometheus.GaugeVec // upstream
	members         prometheus.Gauge

	mu       sync.Mutex
	accounts map[fleet.AccountID]bool
}

const (
	maxAccounts  = 200
	otherAccount = "other"
	// noAccount labels requests without a client account.
	noAccount = "none"
)

// latencyBuckets are in seconds. They are dense around the target of 20 ms.
var latencyBuckets = []float64{0.001, 0.002, 0.005, 0.01, 0.015, 0.02, 0.03, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10}

// inForceBuckets are in seconds. They are dense below the target of 4 s.
var inForceBuckets = []float64{0.25, 0.5, 1, 1.25, 1.5, 2, 3, 4, 8, 16, 60}

// New returns collectors without any observation.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(), accounts: make(map[fleet.AccountID]bool),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "parsley_request_duration_seconds", Help: "Time from the receipt of a request to its answer.", Buckets: latencyBuckets,
		}, []string{"account", "class"}),
		responses:       counters("parsley_responses_total", "Answers of upstreams passed on to callers.", "class", "code"),
		refusals:        counters("parsley_refusals_total", "Requests refused to callers.", "account", "reason", "outcome"),
		moves:           counters("parsley_moves_total", "Changes of the assignment written by this instance.", "cause"),
		storeCalls:      counters("parsley_store_calls_total", "Calls to the platform's store and instance list.", "call"),
		controlMessages: counters("parsley_control_messages_total", "Control messages sent to other instances and to upstreams.", "message"),
		inForce: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "parsley_in_force_seconds", Help: "Time from the learning of a revision to its being in force.", Buckets: inForceBuckets,
		}),
		authorityLeft: gauge("parsley_authority_left_seconds", "Time until the authority of this instance ends; negative if it has ended."),
		leaseLeft:     gauge("parsley_lease_left_seconds", "Shortest time until the lease of an upstream ends, over the upstreams that this instance dispatches for."),
		slotsInUse:    gauges("parsley_upstream_in_flight", "Requests in flight at an upstream.", "upstream"),
		slotsLimit:    gauges("parsley_upstream_limit", "Concurrency limit of an upstream.", "upstream"),
		queued:        gauges("parsley_upstream_queued", "Requests that wait for an upstream.", "upstream"),
		members:       gauge("parsley_members_heard", "Members heard within the loss timeout, this instance included."),
	}
	m.registry.MustRegister(m.duration, m.responses, m.refusals, m.moves, m.storeCalls, m.controlMessages, m.inForce,
		m.authorityLeft, m.leaseLeft, m.slotsInUse, m.slotsLimit, m.queued, m.members)
	return m
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}

func gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, labels)
}

// Handler serves the metrics in Prometheus's format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// account returns the label of an account.
func (m *Metrics) account(id fleet.AccountID) string {
	if id == "" {
		return noAccount
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.accounts[id] {
		if len(m.accounts) >= maxAccounts {
			return otherAccount
		}
		m.accounts[id] = true
	}
	return string(id)
}

// Served counts an answer of an upstream.
func (m *Metrics) Served(account fleet.AccountID, class catalogue.Class, status int, took time.Duration) {
	m.duration.WithLabelValues(m.account(account), string(class)).Observe(took.Seconds())
	m.responses.WithLabelValues(string(class), strconv.Itoa(status)).Inc()
}

// Refused counts a refusal.
func (m *Metrics) Refused(account fleet.AccountID, reason fleet.Reason) {
	m.refusals.WithLabelValues(m.account(account), string(reason), string(reason.Outcome())).Inc()
}

// Move counts a change of the assignment.
func (m *Metrics) Move(cause assignment.Cause) { m.moves.WithLabelValues(string(cause)).Inc() }

// StoreCall counts a call to the platform.
func (m *Metrics) StoreCall(call string) { m.storeCalls.WithLabelValues(call).Inc() }

// ControlMessage counts a message to another instance or an upstream.
func (m *Metrics) ControlMessage(message string) { m.controlMessages.WithLabelValues(message).Inc() }

// InForceAfter observes the time that a revision took to be in force.
func (m *Metrics) InForceAfter(took time.Duration) { m.inForce.Observe(took.Seconds()) }

// AuthorityLeft sets the time until the authority ends.
func (m *Metrics) AuthorityLeft(left time.Duration) { m.authorityLeft.Set(left.Seconds()) }

// LeaseLeft sets the shortest time until a lease ends.
func (m *Metrics) LeaseLeft(left time.Duration) { m.leaseLeft.Set(left.Seconds()) }

// Members sets the number of members heard.
func (m *Metrics) Members(n int) { m.members.Set(float64(n)) }

// Upstreams replaces the gauges of the upstreams that this instance dispatches
// for.
func (m *Metrics) Upstreams(reports map[fleet.UpstreamID]assignment.Report) {
	for _, g := range []*prometheus.GaugeVec{m.slotsInUse, m.slotsLimit, m.queued} {
		g.Reset()
	}
	for id, r := range reports {
		m.slotsInUse.WithLabelValues(string(id)).Set(float64(r.InFlight))
		m.slotsLimit.WithLabelValues(string(id)).Set(float64(r.Limit))
		m.queued.WithLabelValues(string(id)).Set(float64(r.Queued))
	}
}
