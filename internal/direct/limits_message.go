package direct

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/quota"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// upstreamClaim is the message with a claim to the home of a run.
type upstreamClaim struct {
	limit   balance.RunLimit
	maxWait time.Duration
}

// upstreamDecision is the answer to an upstreamClaim. limit is the limit of the run that the
// home has recorded, without the run.
type upstreamDecision struct {
	decision quota.Decision
	limit    balance.RunLimit
}

func (c upstreamClaim) encode() []byte {
	var e jx.Encoder
	e.ObjStart()
	e.FieldStart("limit")
	encodeRunLimit(&e, c.limit)
	e.FieldStart("max-wait-ms")
	e.Int64(c.maxWait.Milliseconds())
	e.ObjEnd()
	return e.Bytes()
}

func decodeUpstreamClaim(data []byte) (upstreamClaim, error) {
	var c upstreamClaim
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, field string) (err error) {
		switch field {
		case "limit":
			c.limit, err = decodeRunLimit(d)
		case "max-wait-ms":
			c.maxWait, err = decodeMillis(d)
		default:
			err = d.Skip()
		}
		return err
	})
	switch {
	case err != nil:
	case c.limit.Run.ID == "":
		err = errors.New("limit: id is missing")
	case !(c.limit.Rate >= 0 && c.limit.Rate <= balance.MaxNamedLimit):
		err = errors.Errorf("limit: per-second: want 0 to %v, not %v", balance.MaxNamedLimit, c.limit.Rate)
	}
	return c, err
}

func (a upstreamDecision) encode() []byte {
	var e jx.Encoder
	e.ObjStart()
	e.FieldStart("admitted")
	e.Bool(a.decision.Admitted)
	e.FieldStart("wait-us")
	e.Int64(a.decision.Wait.Microseconds())
	e.FieldStart("limit")
	a.limit.Run = balance.Run{}
	encodeRunLimit(&e, a.limit)
	e.ObjEnd()
	return e.Bytes()
}

func decodeUpstreamDecision(data []byte) (upstreamDecision, error) {
	var a upstreamDecision
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, field string) (err error) {
		switch field {
		case "admitted":
			a.decision.Admitted, err = d.Bool()
		case "wait-us":
			var us int64
			us, err = d.Int64()
			a.decision.Wait = time.Duration(us) * time.Microsecond
		case "limit":
			a.limit, err = decodeRunLimit(d)
		default:
			err = d.Skip()
		}
		return err
	})
	return a, err
}

func encodeRunLimit(e *jx.Encoder, l balance.RunLimit) {
	e.ObjStart()
	if l.Run != (balance.Run{}) {
		e.FieldStart("id")
		e.Str(string(l.Run.ID))
		e.FieldStart("boot")
		e.Str(string(l.Run.Boot))
		e.FieldStart("addr")
		e.Str(l.Run.Addr)
	}
	e.FieldStart("per-second")
	e.Float64(float64(l.Rate))
	e.FieldStart("age-ms")
	e.Int64(l.Age.Milliseconds())
	e.ObjEnd()
}

func decodeRunLimit(d *jx.Decoder) (balance.RunLimit, error) {
	var l balance.RunLimit
	err := d.Obj(func(d *jx.Decoder, field string) (err error) {
		var s string
		switch field {
		case "id":
			s, err = d.Str()
			l.Run.ID = fleet.UpstreamID(s)
		case "boot":
			s, err = d.Str()
			l.Run.Boot = fleet.BootID(s)
		case "addr":
			l.Run.Addr, err = d.Str()
		case "per-second":
			var rate float64
			rate, err = d.Float64()
			l.Rate = fleet.PerSecond(rate)
		case "age-ms":
			l.Age, err = decodeMillis(d)
		default:
			err = d.Skip()
		}
		return err
	})
	return l, err
}

func encodeRunLimits(e *jx.Encoder, limits []balance.RunLimit) {
	if len(limits) == 0 {
		return
	}
	e.FieldStart("limits")
	e.ArrStart()
	for _, l := range limits {
		encodeRunLimit(e, l)
	}
	e.ArrEnd()
}

func decodeRunLimits(d *jx.Decoder) ([]balance.RunLimit, error) {
	var limits []balance.RunLimit
	err := d.Arr(func(d *jx.Decoder) error {
		l, err := decodeRunLimit(d)
		limits = append(limits, l)
		return err
	})
	return limits, err
}
