package rollout

import (
	"math"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// encodeTimes writes the buckets that are not empty as pairs of index and count.
func encodeTimes(e *jx.Encoder, name string, t *Times) {
	if t.total() == 0 {
		return
	}
	e.FieldStart(name)
	e.ArrStart()
	for i, n := range t {
		if n != 0 {
			e.Int(i)
			e.Int(n)
		}
	}
	e.ArrEnd()
}

func decodeInts(d *jx.Decoder) ([]int, error) {
	var list []int
	err := d.Arr(func(d *jx.Decoder) error {
		n, err := decodeCount(d)
		list = append(list, n)
		return err
	})
	return list, err
}

// maxCount bounds the counts of a message, so that no sum over instances overflows. It is
// that of Tally.Bads.
const maxCount = math.MaxUint32

func decodeCount(d *jx.Decoder) (int, error) {
	n, err := d.Int64()
	if err == nil && (n < 0 || n > maxCount) {
		err = errors.Errorf("want 0 to %d, not %d", int64(maxCount), n)
	}
	return int(n), err
}

func decodeTimes(d *jx.Decoder) (Times, error) {
	var t Times
	pairs, err := decodeInts(d)
	for ; err == nil && len(pairs) >= 2; pairs = pairs[2:] {
		if pairs[0] >= TimeBuckets {
			return t, errors.Errorf("bucket %d is out of range", pairs[0])
		}
		t[pairs[0]] = pairs[1]
	}
	return t, err
}

func (t *Tally) encode(e *jx.Encoder, name string) {
	if t.Sent == 0 {
		return
	}
	e.FieldStart(name)
	e.ObjStart()
	e.FieldStart("counts") // sent, good, bad, upstreams of bad requests
	e.ArrStart()
	for _, n := range []int{t.Sent, t.Good, t.Bad, int(t.Bads)} {
		e.Int(n)
	}
	e.ArrEnd()
	encodeTimes(e, "times", &t.Times)
	encodeTimes(e, "open", &t.Open)
	e.ObjEnd()
}

func decodeTally(d *jx.Decoder) (t Tally, err error) {
	err = d.Obj(func(d *jx.Decoder, field string) (err error) {
		switch field {
		case "counts":
			var list []int
			if list, err = decodeInts(d); err == nil && len(list) == 4 {
				t.Sent, t.Good, t.Bad, t.Bads = list[0], list[1], list[2], uint32(list[3])
			}
		case "times":
			t.Times, err = decodeTimes(d)
		case "open":
			t.Open, err = decodeTimes(d)
		default:
			err = d.Skip()
		}
		return err
	})
	return t, err
}

// Encode writes the evidence as a JSON object.
func (v Evidence) Encode(e *jx.Encoder) {
	e.ObjStart()
	e.FieldStart("service")
	e.Str(string(v.Service))
	e.FieldStart("order")
	e.UInt64(uint64(v.Order))
	e.FieldStart("boot")
	e.Str(string(v.Boot))
	e.FieldStart("number")
	e.UInt64(v.Number)
	e.FieldStart("step")
	e.UInt64(v.Step)
	e.FieldStart("old-open")
	e.Int(v.OldOpen)
	e.FieldStart("arrivals")
	e.Int(v.Arrivals)
	e.FieldStart("routes")
	e.ObjStart()
	for name, r := range v.Routes {
		e.FieldStart(name)
		e.ObjStart()
		r.Old.encode(e, "old")
		r.New.encode(e, "new")
		e.ObjEnd()
	}
	e.ObjEnd()
	e.ObjEnd()
}

// DecodeEvidence reads a JSON object that Encode wrote.
func DecodeEvidence(d *jx.Decoder) (Evidence, error) {
	v := Evidence{Routes: make(map[string]*RouteTally)}
	err := d.Obj(func(d *jx.Decoder, field string) (err error) {
		var s string
		var n uint64
		switch field {
		case "service":
			s, err = d.Str()
			v.Service = fleet.ServiceID(s)
		case "order":
			n, err = d.UInt64()
			v.Order = fleet.Revision(n)
		case "boot":
			s, err = d.Str()
			v.Boot = fleet.BootID(s)
		case "number":
			v.Number, err = d.UInt64()
		case "step":
			v.Step, err = d.UInt64()
		case "old-open":
			v.OldOpen, err = decodeCount(d)
		case "arrivals":
			v.Arrivals, err = decodeCount(d)
		case "routes":
			err = d.Obj(func(d *jx.Decoder, name string) error {
				r := &RouteTally{}
				v.Routes[name] = r
				return d.Obj(func(d *jx.Decoder, side string) (err error) {
					switch side {
					case "old":
						r.Old, err = decodeTally(d)
					case "new":
						r.New, err = decodeTally(d)
					default:
						err = d.Skip()
					}
					return err
				})
			})
		default:
			err = d.Skip()
		}
		return err
	})
	return v, err
}

// Encode writes the directive as a JSON object.
func (v Directive) Encode(e *jx.Encoder) {
	e.ObjStart()
	e.FieldStart("service")
	e.Str(string(v.Service))
	e.FieldStart("order")
	e.UInt64(uint64(v.Order))
	e.FieldStart("target")
	e.Str(string(v.Target))
	e.FieldStart("step")
	e.UInt64(v.Step)
	e.FieldStart("share")
	e.Float64(v.Share)
	if v.Even {
		e.FieldStart("even")
		e.Bool(true)
	}
	if v.Final {
		e.FieldStart("final")
		e.Bool(true)
	}
	if v.Settled {
		e.FieldStart("settled")
		e.Bool(true)
	}
	e.ObjEnd()
}

// DecodeDirective reads a JSON object that Encode wrote.
func DecodeDirective(d *jx.Decoder) (Directive, error) {
	var v Directive
	err := d.Obj(func(d *jx.Decoder, field string) (err error) {
		var s string
		var n uint64
		switch field {
		case "service":
			s, err = d.Str()
			v.Service = fleet.ServiceID(s)
		case "order":
			n, err = d.UInt64()
			v.Order = fleet.Revision(n)
		case "target":
			s, err = d.Str()
			v.Target = fleet.VersionID(s)
		case "step":
			v.Step, err = d.UInt64()
		case "share":
			v.Share, err = d.Float64()
			if err == nil && !(v.Share >= 0 && v.Share <= 1) {
				err = errors.Errorf("want a share from 0 to 1, not %v", v.Share)
			}
		case "even":
			v.Even, err = d.Bool()
		case "final":
			v.Final, err = d.Bool()
		case "settled":
			v.Settled, err = d.Bool()
		default:
			err = d.Skip()
		}
		return err
	})
	return v, err
}
