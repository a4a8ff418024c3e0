package direct

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// registerHolders creates and registers the metrics of full and hot holders.
func (m *Metrics) registerHolders() {
	m.holderRefusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "parsleyproxy_direct_holder_refusals_total", Help: "Requests that were not sent to the holders of their keys, which are full or would answer too late.",
	}, []string{"service", "reason"})
	m.holderReports = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "parsleyproxy_direct_holder_reports_total", Help: "Reports that were sent to the leader at once because a holder was full.",
	})
	m.fullHolders = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "parsleyproxy_direct_holders_queued", Help: "Holders at which requests are expected to wait for 100 ms and longer, as this instance knows it.",
	}, []string{"service"})
	m.hotKeys = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "parsleyproxy_direct_hot_keys", Help: "Keys with more requests than their holders can serve, of which a share is refused.",
	}, []string{"service"})
	m.registry.MustRegister(m.holderRefusals, m.holderReports, m.fullHolders, m.hotKeys)
}

// updateHolderGauges sets the gauges of holders. The caller must hold mu.
func (r *Router) updateHolderGauges(now time.Time) {
	m := r.metrics
	m.fullHolders.Reset()
	counts := make(map[fleet.ServiceID]int)
	for _, l := range r.holderLoads.long(now, r.holderCapacity(now)) {
		if e := r.upstreams.Get(l.ID); e != nil {
			counts[e.Service]++
		}
	}
	for id, n := range counts {
		m.fullHolders.WithLabelValues(serviceLabel(id)).Set(float64(n))
	}
	m.hotKeys.Reset()
	if now.Sub(r.holderLoads.hotKeysAt) > hotKeysTTL {
		return
	}
	for id, keys := range r.holderLoads.hotKeys {
		m.hotKeys.WithLabelValues(serviceLabel(id)).Set(float64(len(keys)))
	}
}
