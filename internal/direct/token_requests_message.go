package direct

import (
	"math"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/internal/quota"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// maxWantedTokens bounds the requests in a token request, and those in a use, and
	// maxTokenRequestUses its uses: two homes, each counted for 250 ms, over 5 s, are 40.
	maxWantedTokens     = 1_000_000
	maxTokenRequestUses = 1000
	// maxMicros bounds a time in us, which would overflow otherwise.
	maxMicros = math.MaxInt64 / int64(time.Microsecond)
)

func encodeTokenRequest(q quota.TokenRequest) []byte {
	var e jx.Encoder
	e.ObjStart()
	e.FieldStart("requester")
	e.Str(string(q.Requester.Instance))
	e.FieldStart("boot")
	e.Str(string(q.Requester.Boot))
	e.FieldStart("wanted")
	e.Int(q.Wanted)
	e.FieldStart("demand")
	e.Float64(math.Round(float64(q.Demand)*100) / 100)
	if q.FormerBoot != "" {
		e.FieldStart("former-boot")
		e.Str(string(q.FormerBoot))
	}
	if q.Complete {
		e.FieldStart("complete")
		e.Bool(true)
	}
	if q.ExhaustedBefore > 0 {
		e.FieldStart("exhausted-before-ms")
		e.Int64(max(1, q.ExhaustedBefore.Milliseconds()))
	}
	if len(q.Uses) > 0 {
		e.FieldStart("uses")
		e.ArrStart()
		for _, u := range q.Uses {
			encodeUse(&e, u)
		}
		e.ArrEnd()
	}
	e.ObjEnd()
	return e.Bytes()
}

// encodeUse encodes a use as an array of its number, age in ms, requests and, if the run
// FormerBoot has admitted them, a 1.
func encodeUse(e *jx.Encoder, u quota.Use) {
	e.ArrStart()
	e.UInt64(u.Seq)
	e.Int64(u.Age.Milliseconds())
	e.Int(u.Requests)
	if u.Former {
		e.Int(1)
	}
	e.ArrEnd()
}

func decodeTokenRequest(data []byte) (quota.TokenRequest, error) {
	var q quota.TokenRequest
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, field string) (err error) {
		switch field {
		case "requester":
			var s string
			s, err = d.Str()
			q.Requester.Instance = fleet.InstanceID(s)
		case "boot":
			q.Requester.Boot, err = decodeBoot(d)
		case "wanted":
			q.Wanted, err = d.Int()
		case "demand":
			var demand float64
			demand, err = d.Float64()
			q.Demand = fleet.PerSecond(demand)
		case "former-boot":
			q.FormerBoot, err = decodeBoot(d)
		case "complete":
			q.Complete, err = d.Bool()
		case "exhausted-before-ms":
			q.ExhaustedBefore, err = decodeMillis(d)
		case "uses":
			err = d.Arr(func(d *jx.Decoder) error {
				u, err := decodeUse(d)
				q.Uses = append(q.Uses, u)
				return err
			})
		default:
			err = d.Skip()
		}
		return err
	})
	if err == nil {
		err = checkTokenRequest(q)
	}
	return q, err
}

func decodeBoot(d *jx.Decoder) (fleet.BootID, error) {
	s, err := d.Str()
	return fleet.BootID(s), err
}

func decodeUse(d *jx.Decoder) (quota.Use, error) {
	var u quota.Use
	i := 0
	err := d.Arr(func(d *jx.Decoder) (err error) {
		switch i {
		case 0:
			u.Seq, err = d.UInt64()
		case 1:
			u.Age, err = decodeMillis(d)
		case 2:
			u.Requests, err = d.Int()
		case 3:
			var former int
			former, err = d.Int()
			u.Former = former == 1
		default:
			err = d.Skip()
		}
		i++
		return err
	})
	return u, err
}

func checkTokenRequest(q quota.TokenRequest) error {
	switch {
	case q.Requester.Instance == "":
		return errors.New("requester is missing")
	case q.Wanted < 1 || q.Wanted > maxWantedTokens:
		return errors.Errorf("wanted: want 1 to %d, not %d", maxWantedTokens, q.Wanted)
	case !(q.Demand >= 0 && q.Demand <= maxWantedTokens):
		return errors.Errorf("demand: want 0 to %d, not %v", maxWantedTokens, q.Demand)
	case q.ExhaustedBefore < 0:
		return errors.Errorf("exhausted-before-ms: want 0 or more, not %v", q.ExhaustedBefore)
	case len(q.Uses) > maxTokenRequestUses:
		return errors.Errorf("uses: want at most %d, not %d", maxTokenRequestUses, len(q.Uses))
	}
	for _, u := range q.Uses {
		if u.Age < 0 || u.Requests < 0 || u.Requests > maxWantedTokens {
			return errors.Errorf("uses: %d requests %v ago", u.Requests, u.Age)
		}
	}
	return nil
}

func encodeGrant(g quota.Grant) []byte {
	var e jx.Encoder
	e.ObjStart()
	e.FieldStart("boot")
	e.Str(string(g.Boot))
	e.FieldStart("admitted")
	e.Int(g.Admitted)
	if g.NeedComplete {
		e.FieldStart("need-complete")
		e.Bool(true)
	}
	if g.Wait > 0 {
		e.FieldStart("wait-us")
		e.Int64(g.Wait.Microseconds())
	}
	if g.Lease > 0 {
		e.FieldStart("lease-ms")
		e.Int64(g.Lease.Milliseconds())
		e.FieldStart("rate")
		e.Float64(math.Floor(float64(g.Rate)*1e4) / 1e4)
	}
	e.ObjEnd()
	return e.Bytes()
}

func decodeGrant(data []byte) (quota.Grant, error) {
	var g quota.Grant
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, field string) (err error) {
		switch field {
		case "boot":
			g.Boot, err = decodeBoot(d)
		case "admitted":
			g.Admitted, err = d.Int()
		case "need-complete":
			g.NeedComplete, err = d.Bool()
		case "wait-us":
			var us int64
			us, err = d.Int64()
			if us > maxMicros {
				err = errors.Errorf("wait-us: want at most %d, not %d", int64(maxMicros), us)
			}
			g.Wait = time.Duration(us) * time.Microsecond
		case "lease-ms":
			g.Lease, err = decodeMillis(d)
		case "rate":
			var rate float64
			rate, err = d.Float64()
			g.Rate = fleet.PerSecond(rate)
		default:
			err = d.Skip()
		}
		return err
	})
	if err == nil && (g.Admitted < 0 || g.Admitted > maxWantedTokens || g.Wait < 0 || g.Lease < 0 || !(g.Rate >= 0 && g.Rate <= maxWantedTokens)) {
		err = errors.Errorf("invalid grant: %+v", g)
	}
	return g, err
}
