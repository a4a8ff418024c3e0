// Package metrics holds the Prometheus collectors of an instance behind a typed
// API. docs/metrics.md describes every metric.
//
// The cardinality is bounded: only the first accounts up to a maximum have a label
// value of their own, all further ones share "other".
package metrics

import (
	"net/http"
	"sync"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// otherAccount is the label of accounts beyond the maximum.
const otherAccount = "other"

// latencyBuckets are in seconds. They are fine around 1 ms, the target at p50, and
// around 20 ms, the target at p99.
var latencyBuckets = []float64{.0005, .001, .002, .003, .005, .0075, .01, .015, .02, .03, .05, .1, .2, .5, 1, 2, 5, 10}

// Metrics holds the collectors of an instance. Its methods are safe for concurrent
// use.
type Metrics struct {
	registry *prometheus.Registry

	mu          sync.RWMutex
	accounts    map[fleet.AccountID]struct{}
	maxAccounts int

	accountLatency, classLatency   *prometheus.HistogramVec
	outcomes, refusals, moves      *prometheus.CounterVec
	insideRate                     *prometheus.CounterVec
	storeCalls, messages, bytes    *prometheus.CounterVec
	leaseMargin, slotsUsed, slots  *prometheus.GaugeVec
	upstreamUp                     *prometheus.GaugeVec
	effect                         prometheus.Histogram
	authorityLeft, storeAge, zones prometheus.Gauge
}

// New returns collectors in a registry of their own. At most maxAccounts client
// accounts have a label value.
func New(maxAccounts int) *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(), accounts: make(map[fleet.AccountID]struct{}), maxAccounts: maxAccounts,
		accountLatency: histogram("request_duration_seconds", "Time from a request to its answer by client account.", "account"),
		classLatency:   histogram("class_request_duration_seconds", "Time from a request to its answer by class.", "class"),
		outcomes:       counter("requests_total", "Requests by class and outcome.", "class", "outcome"),
		refusals:       counter("refusals_total", "Refusals by reason.", "reason"),
		insideRate:     counter("refusals_inside_rate_total", "Refusals of requests inside the rate by reason.", "reason"),
		moves:          counter("ownership_moves_total", "Moves of ownership by cause.", "cause"),
		storeCalls:     counter("store_calls_total", "Calls to the store by operation and result.", "operation", "result"),
		messages:       counter("control_messages_total", "Control messages by method and direction.", "method", "direction"),
		bytes:          counter("control_bytes_total", "Bytes of control messages by direction.", "direction"),
		leaseMargin:    gauge("lease_margin_seconds", "Time left of an upstream's lease at its last renewal.", "upstream"),
		slotsUsed:      gauge("slots_in_use", "Requests in flight at an upstream.", "upstream"),
		slots:          gauge("slots_limit", "Concurrency limit of an upstream.", "upstream"),
		upstreamUp:     gauge("upstream_up", "1 if the dispatcher reaches the upstream, 0 if it is lost.", "upstream"),
		effect: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: name("change_effect_seconds"), Help: "Time from the acceptance of a change until it is in force.",
			Buckets: []float64{.25, .5, 1, 1.5, 2, 2.5, 3, 3.5, 4, 6, 10, 30},
		}),
		authorityLeft: single("authority_left_seconds", "Time until authority ends; 0 without authority."),
		storeAge:      single("store_answer_age_seconds", "Time since the store last answered."),
		zones:         single("zones_out_of_service", "Availability zones out of service."),
	}
	m.registry.MustRegister(
		m.accountLatency, m.classLatency, m.outcomes, m.refusals, m.insideRate, m.moves, m.storeCalls, m.messages, m.bytes,
		m.leaseMargin, m.slotsUsed, m.slots, m.upstreamUp, m.effect, m.authorityLeft, m.storeAge, m.zones,
	)
	return m
}

func name(s string) string { return "parsley_" + s }

func counter(n, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name(n), Help: help}, labels)
}

func gauge(n, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name(n), Help: help}, labels)
}

func single(n, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name(n), Help: help})
}

func histogram(n, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name(n), Help: help, Buckets: latencyBuckets}, labels)
}

// Handler serves /metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Answered records an answer of an upstream that reached the caller.
func (m *Metrics) Answered(account fleet.AccountID, class catalogue.Class, took time.Duration) {
	m.outcomes.WithLabelValues(string(class), "answered").Inc()
	m.accountLatency.WithLabelValues(m.account(account)).Observe(took.Seconds())
	m.classLatency.WithLabelValues(string(class)).Observe(took.Seconds())
}

// Refused records a refusal. The class is empty if no entry matched; insideRate says
// that the request was within its limits.
func (m *Metrics) Refused(class catalogue.Class, reason fleet.Reason, insideRate bool) {
	m.outcomes.WithLabelValues(string(class), string(reason.Outcome())).Inc()
	m.refusals.WithLabelValues(string(reason)).Inc()
	if insideRate {
		m.insideRate.WithLabelValues(string(reason)).Inc()
	}
}

func (m *Metrics) account(id fleet.AccountID) string {
	m.mu.RLock()
	_, ok := m.accounts[id]
	full := len(m.accounts) >= m.maxAccounts
	m.mu.RUnlock()
	if ok {
		return string(id)
	}
	if full {
		return otherAccount
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.accounts[id]; !ok && len(m.accounts) >= m.maxAccounts {
		return otherAccount
	}
	m.accounts[id] = struct{}{}
	return string(id)
}

// Moved records a move of ownership.
func (m *Metrics) Moved(cause string) { m.moves.WithLabelValues(cause).Inc() }

// StoreCalled records a call to the store; result is ok, conflict, throttled,
// unknown or unavailable.
func (m *Metrics) StoreCalled(operation, result string) {
	m.storeCalls.WithLabelValues(operation, result).Inc()
}

// Direction of a control message.
type Direction string

// Values of Direction.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// Message records a control message.
func (m *Metrics) Message(method string, d Direction, size int) {
	m.messages.WithLabelValues(method, string(d)).Inc()
	m.bytes.WithLabelValues(string(d)).Add(float64(size))
}

// ChangeInForce records how long an accepted change took to be in force.
func (m *Metrics) ChangeInForce(took time.Duration) { m.effect.Observe(took.Seconds()) }

// SetLeaseMargin records what was left of an upstream's lease when it was renewed.
func (m *Metrics) SetLeaseMargin(up fleet.UpstreamID, left time.Duration) {
	m.leaseMargin.WithLabelValues(string(up)).Set(left.Seconds())
}

// SetSlots records the requests in flight at an upstream, its limit, and whether it
// is reachable.
func (m *Metrics) SetSlots(up fleet.UpstreamID, used, limit fleet.Slots, reachable bool) {
	m.slotsUsed.WithLabelValues(string(up)).Set(float64(used))
	m.slots.WithLabelValues(string(up)).Set(float64(limit))
	v := 0.0
	if reachable {
		v = 1
	}
	m.upstreamUp.WithLabelValues(string(up)).Set(v)
}

// RemoveUpstream drops the series of an upstream that this instance no longer
// dispatches for.
func (m *Metrics) RemoveUpstream(up fleet.UpstreamID) {
	for _, g := range []*prometheus.GaugeVec{m.leaseMargin, m.slotsUsed, m.slots, m.upstreamUp} {
		g.DeleteLabelValues(string(up))
	}
}

// SetAuthority records the time until authority ends.
func (m *Metrics) SetAuthority(left time.Duration) { m.authorityLeft.Set(max(0, left.Seconds())) }

// SetStoreAge records the time since the store last answered.
func (m *Metrics) SetStoreAge(age time.Duration) { m.storeAge.Set(age.Seconds()) }

// SetZonesOut records the number of availability zones out of service.
func (m *Metrics) SetZonesOut(n int) { m.zones.Set(float64(n)) }
