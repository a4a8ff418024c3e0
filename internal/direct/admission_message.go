package direct

import (
	"math"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/internal/admission"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// maxReportTime bounds the time that a report can stand for. An instance that has not found
// a leader for long reports what it has counted since then.
const maxReportTime = time.Minute

// sharePrecision is the number of parts into which shares are divided in messages.
const sharePrecision = 1000

// encodeAdmissionReport encodes the requests of each service in requests/s, by priority, with
// the results of its attempts, and those for the keys of each holder.
func encodeAdmissionReport(e *jx.Encoder, r admission.Report) {
	if len(r.Services) == 0 || r.For <= 0 {
		return
	}
	e.FieldStart("admission")
	e.ObjStart()
	e.FieldStart("for-ms")
	e.Int64(max(1, r.For.Milliseconds()))
	e.FieldStart("services")
	e.ArrStart()
	for id, c := range r.Services {
		e.ObjStart()
		e.FieldStart("service")
		e.Str(string(id))
		e.FieldStart("rates")
		encodeRates(e, c.Requests, r.For)
		for _, f := range []struct {
			name  string
			value float64
		}{{"answered", c.Evidence.Answered}, {"queued", c.Evidence.Queued}, {"rejected", c.Evidence.Rejected}} {
			if f.value > 0 {
				e.FieldStart(f.name)
				e.Float64(f.value)
			}
		}
		e.ObjEnd()
	}
	for t, requests := range r.Holders {
		e.ObjStart()
		e.FieldStart("service")
		e.Str(string(t.Service))
		e.FieldStart("holder")
		e.Str(string(t.Holder))
		e.FieldStart("rates")
		encodeRates(e, requests, r.For)
		e.ObjEnd()
	}
	e.ArrEnd()
	e.ObjEnd()
}

// encodeRates encodes counts as rates, without the zeros at the end.
func encodeRates(e *jx.Encoder, counts admission.ByPriority, over time.Duration) {
	n := len(counts)
	for n > 0 && counts[n-1] == 0 {
		n--
	}
	e.ArrStart()
	for _, c := range counts[:n] {
		e.Float64(math.Round(c/over.Seconds()*100) / 100)
	}
	e.ArrEnd()
}

func decodeAdmissionReport(d *jx.Decoder) (admission.Report, error) {
	r := admission.Report{Services: make(map[fleet.ServiceID]admission.Counts), Holders: make(map[admission.Target]admission.ByPriority)}
	err := d.Obj(func(d *jx.Decoder, field string) (err error) {
		switch field {
		case "for-ms":
			r.For, err = decodeMillis(d)
		case "services":
			err = d.Arr(func(d *jx.Decoder) error { return decodeTargetRates(d, &r) })
		default:
			err = d.Skip()
		}
		return err
	})
	if err == nil && r.For <= 0 {
		err = errors.Errorf("admission: for-ms: want more than 0, not %d", r.For.Milliseconds())
	}
	r.For = min(r.For, maxReportTime)
	for id, c := range r.Services {
		c.Requests = c.Requests.Times(r.For.Seconds())
		r.Services[id] = c
	}
	for t, rates := range r.Holders {
		r.Holders[t] = rates.Times(r.For.Seconds())
	}
	return r, err
}

// decodeTargetRates adds the entry of a service or a holder to r, as requests/s.
func decodeTargetRates(d *jx.Decoder, r *admission.Report) error {
	var t admission.Target
	var c admission.Counts
	err := d.Obj(func(d *jx.Decoder, field string) (err error) {
		switch field {
		case "service", "holder":
			err = decodeTarget(d, field, &t)
		case "rates":
			c.Requests, _, err = decodeByPriority(d, math.MaxFloat64)
		case "answered":
			c.Evidence.Answered, err = decodeAmount(d, math.MaxFloat64)
		case "queued":
			c.Evidence.Queued, err = decodeAmount(d, math.MaxFloat64)
		case "rejected":
			c.Evidence.Rejected, err = decodeAmount(d, math.MaxFloat64)
		default:
			err = d.Skip()
		}
		return err
	})
	switch {
	case err != nil:
		return err
	case t.Holder != "":
		r.Holders[t] = c.Requests
	default:
		r.Services[t.Service] = c
	}
	return nil
}

func decodeTarget(d *jx.Decoder, field string, t *admission.Target) error {
	s, err := d.Str()
	if field == "service" {
		t.Service = fleet.ServiceID(s)
	} else {
		t.Holder = fleet.UpstreamID(s)
	}
	return err
}

// decodeAmount decodes a number from 0 to highest.
func decodeAmount(d *jx.Decoder, highest float64) (float64, error) {
	v, err := d.Float64()
	if err == nil && !(v >= 0 && v <= highest) {
		err = errors.Errorf("admission: want 0 to %v, not %v", highest, v)
	}
	return v, err
}

// decodeByPriority decodes the values of the first priorities, and returns their number.
func decodeByPriority(d *jx.Decoder, highest float64) (values admission.ByPriority, n int, err error) {
	err = d.Arr(func(d *jx.Decoder) error {
		v, err := decodeAmount(d, highest)
		if n < len(values) {
			values[n] = v
			n++
		}
		return err
	})
	return values, n, err
}

// encodeShares encodes the shares of the targets that are short of capacity, in thousandths,
// without those at the end that equal the one before.
func encodeShares(e *jx.Encoder, shares admission.Shares) {
	if len(shares) == 0 {
		return
	}
	e.FieldStart("admission")
	e.ArrStart()
	for t, byPriority := range shares {
		e.ObjStart()
		e.FieldStart("service")
		e.Str(string(t.Service))
		if t.Holder != "" {
			e.FieldStart("holder")
			e.Str(string(t.Holder))
		}
		n := len(byPriority)
		for n > 1 && byPriority[n-1] == byPriority[n-2] {
			n--
		}
		e.FieldStart("shares")
		e.ArrStart()
		for _, s := range byPriority[:n] {
			e.Int(int(math.Round(s * sharePrecision)))
		}
		e.ArrEnd()
		e.ObjEnd()
	}
	e.ArrEnd()
}

func decodeShares(d *jx.Decoder) (admission.Shares, error) {
	shares := make(admission.Shares)
	err := d.Arr(func(d *jx.Decoder) error {
		var t admission.Target
		var byPriority admission.ByPriority
		n := 0
		if err := d.Obj(func(d *jx.Decoder, field string) (err error) {
			switch field {
			case "service", "holder":
				err = decodeTarget(d, field, &t)
			case "shares":
				byPriority, n, err = decodeByPriority(d, sharePrecision)
			default:
				err = d.Skip()
			}
			return err
		}); err != nil {
			return err
		}
		if n == 0 {
			return errors.Errorf("admission: no shares of service %q", t.Service)
		}
		for p := range byPriority {
			byPriority[p] = byPriority[min(p, n-1)]
		}
		shares[t] = byPriority.Times(1.0 / sharePrecision)
		return nil
	})
	return shares, err
}
