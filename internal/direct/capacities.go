package direct

import (
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// maxCurveSum bounds each sum of a load curve in a report, so that sums of reports stay
// finite.
const maxCurveSum = 1e12

// inFlightReply contains the changed limits in flight in a reply, and their version.
type inFlightReply struct {
	Limits []balance.InFlightLimit
	Seq    uint64
}

// takeSamples moves the samples since the last report into rep. The caller must hold mu.
func (r *Router) takeSamples(rep *report) {
	op := r.operatorState.Load()
	rep.ServiceTimes = r.upstreams.TakeSamples(func(id fleet.ServiceID) bool {
		if op == nil || op.Table == nil {
			return false
		}
		_, known := op.Table.Services[id]
		return known
	})
	for id, s := range rep.ServiceTimes {
		if s.Curve.Answers == 0 {
			continue
		}
		if rep.Curves == nil {
			rep.Curves = make(map[fleet.UpstreamID]balance.LoadCurve)
		}
		rep.Curves[id], s.Curve = s.Curve, balance.LoadCurve{}
		rep.ServiceTimes[id] = s
	}
}

// learnCapacities adds the samples of a report to what the leader knows of the upstreams.
// The caller must hold mu.
func (r *Router) learnCapacities(now time.Time, l *leadership, rep report) {
	op := r.operatorState.Load()
	for id, s := range rep.ServiceTimes {
		upstream := r.upstreams.Get(id)
		if upstream == nil {
			continue
		}
		s.Curve = rep.Curves[id]
		switch {
		case rep.Instance == r.cfg.Instance: // learned with the answers
		case op != nil && op.Table != nil && op.Table.Services[upstream.Service].Sharded:
			r.upstreams.LearnSamples(now, id, s)
		default:
			r.upstreams.LearnCapacity(id, s)
		}
		r.upstreams.CountAnswers(now, id, s)
		if change := l.inFlight.Update(now, r.upstreams, id); change.Crossed {
			r.log.Info("limit in flight of an upstream changed", "upstream", id, "boot", upstream.Boot, "service", upstream.Service,
				"limit", math.Round(change.Limit*10)/10, "slots", upstream.Slots)
		}
	}
}

func encodeCurves(e *jx.Encoder, curves map[fleet.UpstreamID]balance.LoadCurve) {
	if len(curves) == 0 {
		return
	}
	e.FieldStart("curves")
	e.ObjStart()
	for id, c := range curves { // times are in ms
		e.FieldStart(string(id))
		e.ArrStart()
		for _, v := range []float64{c.Answers, c.InFlight, c.InFlightSquares, c.Seconds * 1e3, c.SecondsSquares * 1e6, c.Products * 1e3} {
			e.Float64(math.Round(v))
		}
		e.ArrEnd()
	}
	e.ObjEnd()
}

func decodeCurves(d *jx.Decoder) (map[fleet.UpstreamID]balance.LoadCurve, error) {
	out := make(map[fleet.UpstreamID]balance.LoadCurve)
	err := d.Obj(func(d *jx.Decoder, id string) error {
		var values []float64
		if err := d.Arr(func(d *jx.Decoder) error {
			v, err := d.Float64()
			if err == nil && !(v >= 0 && v <= maxCurveSum) {
				err = errors.Errorf("load curve of upstream %q: want 0 to %v, not %v", id, maxCurveSum, v)
			}
			values = append(values, v)
			return err
		}); err != nil {
			return err
		}
		if len(values) != 6 {
			return errors.Errorf("load curve of upstream %q: want 6 sums, not %d", id, len(values))
		}
		out[fleet.UpstreamID(id)] = balance.LoadCurve{
			Answers: values[0], InFlight: values[1], InFlightSquares: values[2],
			Seconds: values[3] / 1e3, SecondsSquares: values[4] / 1e6, Products: values[5] / 1e3,
		}
		return nil
	})
	return out, err
}

func encodeInFlight(e *jx.Encoder, r inFlightReply) {
	if r.Seq == 0 {
		return
	}
	e.FieldStart("in-flight-seq")
	e.UInt64(r.Seq)
	if len(r.Limits) == 0 {
		return
	}
	e.FieldStart("in-flight")
	e.ArrStart()
	for _, l := range r.Limits {
		e.ArrStart()
		e.Str(string(l.ID))
		e.Str(string(l.Boot))
		e.Float64(math.Round(l.Limit*10) / 10)
		e.ArrEnd()
	}
	e.ArrEnd()
}

func decodeInFlight(d *jx.Decoder) ([]balance.InFlightLimit, error) {
	var limits []balance.InFlightLimit
	err := d.Arr(func(d *jx.Decoder) error {
		var l balance.InFlightLimit
		n := 0
		err := d.Arr(func(d *jx.Decoder) (err error) {
			var s string
			switch n++; n {
			case 1:
				s, err = d.Str()
				l.ID = fleet.UpstreamID(s)
			case 2:
				s, err = d.Str()
				l.Boot = fleet.BootID(s)
			case 3:
				if l.Limit, err = d.Float64(); err == nil && !(l.Limit >= 1) {
					err = errors.Errorf("limit in flight of upstream %q: want 1 or more, not %v", l.ID, l.Limit)
				}
			default:
				err = d.Skip()
			}
			return err
		})
		if err == nil && n < 3 {
			err = errors.Errorf("limit in flight: want ID, boot and limit, not %d values", n)
		}
		limits = append(limits, l)
		return err
	})
	return limits, err
}

// capacityMetrics are the gauges of learned capacities. Quantiles over the upstreams of a
// service keep the number of series small.
type capacityMetrics struct {
	rate      *prometheus.GaugeVec // by service, quantile
	inFlight  *prometheus.GaugeVec // by service, quantile
	slowEarly *prometheus.GaugeVec // by service
}

func newCapacityMetrics(registry *prometheus.Registry) capacityMetrics {
	m := capacityMetrics{
		rate: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "parsleyproxy_direct_learned_rate", Help: "Requests per second that an upstream serves within its usual service time, as a quantile over the upstreams.",
		}, []string{"service", "quantile"}),
		inFlight: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "parsleyproxy_direct_learned_in_flight", Help: "Requests in flight that an upstream handles well, as a quantile over the upstreams.",
		}, []string{"service", "quantile"}),
		slowEarly: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "parsleyproxy_direct_upstreams_in_flight_limited", Help: "Upstreams whose service time rises before their slots are used.",
		}, []string{"service"}),
	}
	registry.MustRegister(m.rate, m.inFlight, m.slowEarly)
	return m
}

// update sets the gauges from the capacities in t.
func (m capacityMetrics) update(now time.Time, t *balance.Table) {
	m.rate.Reset()
	m.inFlight.Reset()
	m.slowEarly.Reset()
	for service, list := range t.Capacities(now) {
		label := serviceLabel(service)
		rates, inFlight, early := make([]float64, 0, len(list)), make([]float64, 0, len(list)), 0
		for _, c := range list {
			rates, inFlight = append(rates, c.Rate), append(inFlight, c.InFlight)
			if c.InFlight < float64(c.Slots) {
				early++
			}
		}
		m.slowEarly.WithLabelValues(label).Set(float64(early))
		slices.Sort(rates)
		slices.Sort(inFlight)
		for name, share := range map[string]float64{"0.1": 0.1, "0.5": 0.5, "0.9": 0.9} {
			i := int(share * float64(len(list)-1))
			m.rate.WithLabelValues(label, name).Set(rates[i])
			m.inFlight.WithLabelValues(label, name).Set(inFlight[i])
		}
	}
}
