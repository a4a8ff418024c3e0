package direct

import (
	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// responseSizeWeight is the weight of one response in the mean size of a route.
	responseSizeWeight = 0.1
	// maxSizedRoutes bounds the routes whose sizes are remembered. Routes of earlier
	// configurations are not removed one by one.
	maxSizedRoutes = 10000
)

// sizedRoute is a route at one of its services.
type sizedRoute struct {
	route   string
	service fleet.ServiceID
}

// responseSizes contains the mean size of responses, in bytes.
type responseSizes map[sizedRoute]float64

// bodySize returns the size of the request's body in bytes.
func (x *exchange) bodySize() int {
	size := 0
	for _, chunk := range x.body {
		size += len(chunk)
	}
	return size
}

// responseSize returns the size of a response's body in bytes. A streamed body may end early.
func responseSize(res *http1.Response) float64 {
	if res.Stream != nil {
		return float64(res.Stream.Length)
	}
	return float64(len(res.Body))
}

// noteResponse records the sizes of the bodies of x and of the response to it from an
// upstream. The caller must hold mu.
func (r *Router) noteResponse(x *exchange, upstream balance.Registration, res *http1.Response) {
	r.responseSizes.note(x, res)
	if upstream.Zone != r.cfg.Zone {
		r.metrics.otherZoneBytes.WithLabelValues(serviceLabel(upstream.Service)).Add(float64(x.bodySize()) + responseSize(res))
	}
}

// expected returns the size of the bodies of x and of its expected response, in bytes.
func (s responseSizes) expected(x *exchange) int {
	size := x.bodySize()
	mean, known := s[sizedRoute{x.route.Name, x.service.ID}]
	size += int(mean)
	switch x.route.Kind.(type) {
	case routes.Upload:
		size = max(size, balance.LargeBody)
	case routes.Download:
		if !known {
			size = max(size, balance.LargeBody)
		}
	}
	return size
}

// note records the size of a response to x.
func (s responseSizes) note(x *exchange, res *http1.Response) {
	size := responseSize(res)
	key := sizedRoute{x.route.Name, x.service.ID}
	mean, known := s[key]
	switch {
	case !known && len(s) >= maxSizedRoutes:
		clear(s)
		s[key] = size
	case !known:
		s[key] = size
	default:
		s[key] = mean + responseSizeWeight*(size-mean)
	}
}
