package direct

import (
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
)

// Causes for which the request body of an attempt was not written as a whole, the values of a
// metric label.
const (
	bodyAnsweredEarly = "answered-early" // the upstream answered before it had read the body
	bodyStalled       = "stalled"        // the upstream read nothing more
	bodyHeldBack      = "held-back"      // not sent, for the bodies that are under way to the upstream
)

func newBodyWrites() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "parsleyproxy_direct_request_bodies_unwritten_total", Help: "Attempts whose request body was not written as a whole before they ended, by cause.",
	}, []string{"cause"})
}

// countBodyWrite counts an attempt with the given result if its body was not written as a
// whole.
func (m *Metrics) countBodyWrite(res *http1.Response, err error) {
	switch {
	case errors.Is(err, http1.ErrBodiesUnderWay):
		m.bodyWrites.WithLabelValues(bodyHeldBack).Inc()
	case errors.Is(err, http1.ErrWriteStalled):
		m.bodyWrites.WithLabelValues(bodyStalled).Inc()
	case err == nil && res.Early:
		m.bodyWrites.WithLabelValues(bodyAnsweredEarly).Inc()
	}
}
