package direct

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// registerRollouts adds the collectors of roll-outs.
func (m *Metrics) registerRollouts() {
	m.rolloutPhases = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "parsleyproxy_direct_rollout_phases_total", Help: "Phases of roll-outs that this instance entered as the leader.",
	}, []string{"service", "phase"})
	m.rolloutShare = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "parsleyproxy_direct_rollout_share", Help: "Share of requests that a roll-out sends to the new version.",
	}, []string{"service"})
	m.rolloutRequests = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "parsleyproxy_direct_rollout_requests", Help: "Requests of all instances during a roll-out, as the leader knows.",
	}, []string{"service", "of"})
	m.held = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "parsleyproxy_direct_upstreams_held", Help: "Upstreams that get no requests because of their version.",
	}, []string{"service"})
	m.registry.MustRegister(m.rolloutPhases, m.rolloutShare, m.rolloutRequests, m.held)
}

func (m *Metrics) setRolloutRequests(id fleet.ServiceID, sent, bad, arrivals int) {
	for of, n := range map[string]int{"sent": sent, "bad": bad, "arrivals": arrivals} {
		m.rolloutRequests.WithLabelValues(serviceLabel(id), of).Set(float64(n))
	}
}

// updateRolloutGauges sets the gauges of roll-outs. The caller must hold mu.
func (r *Router) updateRolloutGauges() {
	m := r.metrics
	m.held.Reset()
	m.rolloutShare.Reset()
	if !r.cfg.Rollout.Enabled {
		return
	}
	for service, n := range r.upstreams.HeldUpstreams() {
		m.held.WithLabelValues(serviceLabel(service)).Set(float64(n))
		if d, directed := r.gate.Directive(service); directed && !d.Settled {
			m.rolloutShare.WithLabelValues(serviceLabel(service)).Set(d.Share)
		}
	}
}
