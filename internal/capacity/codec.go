package capacity

import (
	"github.com/go-faster/errors"
	"github.com/go-faster/jx"
)

// Run is a set of measurements, with the machine and the time at which they were made.
type Run struct {
	Date        string
	Cores       int    // logical processors of the machine
	GoMaxProcs  int    // value of GOMAXPROCS
	GoVersion   string // Go version
	MachineLoad string // load averages at the start, and what else ran on the machine
	Series      []Series
}

// Encode returns the run in JSON. Decode reads it.
func (r Run) Encode() []byte {
	var e jx.Encoder
	e.SetIdent(1)
	e.Obj(func(e *jx.Encoder) {
		e.Field("date", func(e *jx.Encoder) { e.Str(r.Date) })
		e.Field("cores", func(e *jx.Encoder) { e.Int(r.Cores) })
		e.Field("used", func(e *jx.Encoder) { e.Int(r.GoMaxProcs) })
		e.Field("go", func(e *jx.Encoder) { e.Str(r.GoVersion) })
		e.Field("load", func(e *jx.Encoder) { e.Str(r.MachineLoad) })
		e.Field("series", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, s := range r.Series {
					s.encode(e)
				}
			})
		})
	})
	return append(e.Bytes(), '\n')
}

func (s Series) encode(e *jx.Encoder) {
	e.Obj(func(e *jx.Encoder) {
		e.Field("id", func(e *jx.Encoder) { e.Str(s.ID) })
		e.Field("what", func(e *jx.Encoder) { e.Str(s.Quantity) })
		e.Field("x", func(e *jx.Encoder) { e.Str(s.SizeLabel) })
		e.Field("unit", func(e *jx.Encoder) { e.Str(s.Unit) })
		e.Field("points", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, p := range s.Points {
					e.Obj(func(e *jx.Encoder) {
						e.Field("x", func(e *jx.Encoder) { e.Float64(p.X) })
						e.Field("y", func(e *jx.Encoder) { e.Float64(p.Y) })
					})
				}
			})
		})
		e.Field("slope", func(e *jx.Encoder) { e.Float64(s.Fit.Slope) })
		e.Field("intercept", func(e *jx.Encoder) { e.Float64(s.Fit.Intercept) })
		e.Field("r2", func(e *jx.Encoder) { e.Float64(s.Fit.R2) })
	})
}

// Decode reads a run in the JSON form of Encode. It ignores the encoded fits and
// computes them from the points.
func Decode(data []byte) (Run, error) {
	var r Run
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, field string) (err error) {
		switch field {
		case "date":
			r.Date, err = d.Str()
		case "cores":
			r.Cores, err = d.Int()
		case "used":
			r.GoMaxProcs, err = d.Int()
		case "go":
			r.GoVersion, err = d.Str()
		case "load":
			r.MachineLoad, err = d.Str()
		case "series":
			err = d.Arr(func(d *jx.Decoder) error {
				s, err := decodeSeries(d)
				r.Series = append(r.Series, s)
				return err
			})
		default:
			err = errors.Errorf("unknown field %q", field)
		}
		return err
	})
	return r, err
}

func decodeSeries(d *jx.Decoder) (s Series, err error) {
	err = d.Obj(func(d *jx.Decoder, field string) (err error) {
		switch field {
		case "id":
			s.ID, err = d.Str()
		case "what":
			s.Quantity, err = d.Str()
		case "x":
			s.SizeLabel, err = d.Str()
		case "unit":
			s.Unit, err = d.Str()
		case "points":
			err = d.Arr(func(d *jx.Decoder) error {
				p, err := decodePoint(d)
				s.Points = append(s.Points, p)
				return err
			})
		case "slope", "intercept", "r2":
			err = d.Skip()
		default:
			err = errors.Errorf("unknown field %q", field)
		}
		return err
	})
	s.Fit = fitLine(s.Points)
	return s, err
}

func decodePoint(d *jx.Decoder) (p Point, err error) {
	err = d.Obj(func(d *jx.Decoder, field string) (err error) {
		switch field {
		case "x":
			p.X, err = d.Float64()
		case "y":
			p.Y, err = d.Float64()
		default:
			err = errors.Errorf("unknown field %q", field)
		}
		return err
	})
	return p, err
}
