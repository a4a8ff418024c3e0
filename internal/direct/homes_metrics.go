package direct

import "github.com/prometheus/client_golang/prometheus"

// homeDecision is how a request under a limit that a home counts was decided.
type homeDecision string

const (
	decidedByHome   homeDecision = "home"   // by the home
	decidedByAnswer homeDecision = "answer" // by the home's answer to an earlier token request
	decidedByPart   homeDecision = "part"   // by a part of the limit, as no home answers
)

func (m *Metrics) registerHomeMetrics() {
	m.homeTokenRequests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "parsleyproxy_direct_home_token_requests_total", Help: "Token requests to homes of accounts, by result.",
	}, []string{"result"})
	m.homeDecisions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "parsleyproxy_direct_home_decisions_total", Help: "Requests of accounts whose limit a home counts, by what decided on them and by result.",
	}, []string{"by", "result"})
	m.registry.MustRegister(m.homeTokenRequests, m.homeDecisions)
}

// countHomeDecision counts a decision on a request under a limit that a home counts.
func (m *Metrics) countHomeDecision(by homeDecision, admitted bool) {
	result := "refused"
	if admitted {
		result = "admitted"
	}
	m.homeDecisions.WithLabelValues(string(by), result).Inc()
}
