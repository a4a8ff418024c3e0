// Package report computes the figures of a run from the histories of its callers
// and its upstreams, and compares them with those of another run.
//
// The histories are written by the test doubles on one machine, so their clocks
// agree. A figure that must be 0 reports a broken guarantee otherwise. Its check
// errs towards reporting: an execution that was cut off counts as one that had
// its effect.
package report

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"
)

// Report is the result of a run.
type Report struct {
	Name    string
	Figures []Figure
}

// Figure is one result.
type Figure struct {
	Name       string
	Value      float64
	Unit       string
	Note       string
	MustBeZero bool
	Worse      Direction
}

// Direction says which change of a figure is for the worse.
type Direction int

// Directions. Figures without one are not judged.
const (
	Neither Direction = iota
	Higher
	Lower
)

// Compute returns the report of a history.
func Compute(h *History) Report {
	r := Report{Name: h.Run.Name}
	for _, part := range []func() []Figure{
		h.outcomes, h.service, h.zoneService, h.latency, h.outside, h.imbalance, h.churn, h.unavailable, h.checks,
	} {
		r.Figures = append(r.Figures, part()...)
	}
	return r
}

// AddLatencyAgainst adds the difference of the steady latencies outside the
// upstream to those of a run over direct connections.
func (r *Report) AddLatencyAgainst(direct Report) {
	for _, f := range r.Figures {
		if !strings.HasPrefix(f.Name, outsidePrefix) {
			continue
		}
		if d, ok := direct.Find(f.Name); ok {
			r.Figures = append(r.Figures, Figure{
				Name: addedPrefix + f.Name, Value: f.Value - d.Value, Unit: f.Unit, Worse: Higher, Note: "against " + direct.Name,
			})
		}
	}
}

// addedPrefix begins the names of the figures of AddLatencyAgainst.
const addedPrefix = "added "

// outsidePrefix begins the names of the latencies without the execution.
const outsidePrefix = "latency outside the upstream "

// Added reports whether AddLatencyAgainst added the figure.
func (f Figure) Added() bool { return strings.HasPrefix(f.Name, addedPrefix) }

// Find returns the figure of a name.
func (r Report) Find(name string) (Figure, bool) {
	for _, f := range r.Figures {
		if f.Name == name {
			return f, true
		}
	}
	return Figure{}, false
}

// Broken returns the figures that must be 0 and are not.
func (r Report) Broken() (out []Figure) {
	for _, f := range r.Figures {
		if f.MustBeZero && f.Value != 0 {
			out = append(out, f)
		}
	}
	return out
}

// Table returns the report for people.
func (r Report) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n", r.Name)
	for _, f := range r.Figures {
		mark := ""
		if f.MustBeZero {
			mark = "must be 0"
			if f.Value != 0 {
				mark = "MUST BE 0"
			}
		}
		b.WriteString(strings.TrimRight(fmt.Sprintf("  %-52s %10s %-10s %-9s %s", f.Name, format(f.Value), f.Unit, mark, f.Note), " ") + "\n")
	}
	return b.String()
}

// Compare returns a table of the figures of r next to those of the earlier
// report.
func (r Report) Compare(earlier Report) string {
	var b strings.Builder
	fmt.Fprintf(&b, "  %-52s %14s %14s\n", "", clip(r.Name), clip(earlier.Name))
	row := func(name, a, o, mark string) {
		b.WriteString(strings.TrimRight(fmt.Sprintf("  %-52s %14s %14s %s", name, a, o, mark), " ") + "\n")
	}
	for _, f := range r.Figures {
		if o, ok := earlier.Find(f.Name); ok {
			row(f.Name, format(f.Value), format(o.Value), judge(f, o))
		} else {
			row(f.Name, format(f.Value), "-", "")
		}
	}
	for _, o := range earlier.Figures {
		if _, ok := r.Find(o.Name); !ok {
			row(o.Name, "-", format(o.Value), "")
		}
	}
	return b.String()
}

func clip(name string) string { return name[:min(len(name), 14)] }

// judge says how f changed from the earlier figure.
func judge(f, earlier Figure) string {
	worse := f.Worse
	if f.MustBeZero {
		worse = Higher
	}
	switch {
	case worse == Neither || f.Value == earlier.Value || math.IsNaN(f.Value) || math.IsNaN(earlier.Value):
		return ""
	case (f.Value > earlier.Value) == (worse == Higher):
		return "worse"
	default:
		return "better"
	}
}

func format(v float64) string {
	switch {
	case math.IsNaN(v):
		return "-"
	case v == math.Trunc(v):
		return strconv.FormatFloat(v, 'f', 0, 64)
	case math.Abs(v) >= 100:
		return strconv.FormatFloat(v, 'f', 1, 64)
	}
	return strconv.FormatFloat(v, 'f', 4, 64)
}

// Encode returns the report as JSON.
func (r Report) Encode() []byte {
	var e jx.Encoder
	e.SetIdent(1)
	e.Obj(func(e *jx.Encoder) {
		e.Field("name", func(e *jx.Encoder) { e.Str(r.Name) })
		e.Field("figures", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, f := range r.Figures {
					f.encode(e)
				}
			})
		})
	})
	return append(e.Bytes(), '\n')
}

func (f Figure) encode(e *jx.Encoder) {
	e.Obj(func(e *jx.Encoder) {
		e.Field("name", func(e *jx.Encoder) { e.Str(f.Name) })
		if !math.IsNaN(f.Value) {
			e.Field("value", func(e *jx.Encoder) { e.Float64(f.Value) })
		}
		e.Field("unit", func(e *jx.Encoder) { e.Str(f.Unit) })
		if f.Note != "" {
			e.Field("note", func(e *jx.Encoder) { e.Str(f.Note) })
		}
		if f.MustBeZero {
			e.Field("must-be-zero", func(e *jx.Encoder) { e.Int(1) })
		}
		if f.Worse != Neither {
			e.Field("worse", func(e *jx.Encoder) { e.Int(int(f.Worse)) })
		}
	})
}

// Decode reads what Encode wrote.
func Decode(data []byte) (r Report, err error) {
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "name":
			r.Name, err = d.Str()
			return err
		case "figures":
			return d.Arr(func(d *jx.Decoder) error {
				f, err := decodeFields(d)
				value, ok := f.number["value"]
				if !ok {
					value = math.NaN()
				}
				r.Figures = append(r.Figures, Figure{
					Name: f.text["name"], Value: value, Unit: f.text["unit"], Note: f.text["note"],
					MustBeZero: f.whole["must-be-zero"] == 1, Worse: Direction(f.whole["worse"]),
				})
				return err
			})
		default:
			return errors.Errorf("field %q is unknown", name)
		}
	})
	if err != nil {
		return Report{}, errors.Wrap(err, "decode report")
	}
	return r, nil
}
