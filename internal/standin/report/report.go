// Package report computes the figures of a test run from the histories that the
// load generators and the upstreams recorded, and compares them with those of
// another run.
//
// All histories are written on one machine, so that their timestamps are
// comparable. Some figures must be 0; any other value shows a violated guarantee.
// Their checks are conservative: an execution that was interrupted counts as one
// that took effect.
package report

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"
)

// Report holds the figures of a run.
type Report struct {
	Name    string
	Figures []Figure
}

// Figure is a named value that was computed from the histories of a run.
type Figure struct {
	Name       string
	Value      float64
	Unit       string
	Note       string
	MustBeZero bool
	Worse      Direction
}

// Direction is the direction in which a figure gets worse.
type Direction int

// Directions. Comparisons do not rate figures with the direction Neither.
const (
	Neither Direction = iota
	Higher
	Lower
)

// Compute computes the report of a history.
func Compute(h *History) Report {
	r := Report{Name: h.Run.Name}
	for _, part := range []func() []Figure{
		h.outcomes, h.servedShares, h.zoneServedShare, h.latency, h.latencyOutsideUpstream, h.imbalance, h.churn, h.unavailability, h.checks,
	} {
		r.Figures = append(r.Figures, part()...)
	}
	return r
}

// AddLatencyAgainst adds, for each figure of latency outside the upstream, a
// figure with its difference from that of direct, a run in which the load
// generator sent its requests directly to the upstreams.
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

// addedPrefix starts the names of the figures that AddLatencyAgainst adds.
const addedPrefix = "added "

// outsidePrefix starts the names of the latency figures that exclude the
// execution at the upstream.
const outsidePrefix = "latency outside the upstream "

// Added reports whether f is a figure that AddLatencyAgainst added.
func (f Figure) Added() bool { return strings.HasPrefix(f.Name, addedPrefix) }

// Find returns the figure with the given name.
func (r Report) Find(name string) (Figure, bool) {
	for _, f := range r.Figures {
		if f.Name == name {
			return f, true
		}
	}
	return Figure{}, false
}

// Broken returns the figures that must be 0 but are not.
func (r Report) Broken() (out []Figure) {
	for _, f := range r.Figures {
		if f.MustBeZero && f.Value != 0 {
			out = append(out, f)
		}
	}
	return out
}

// Table formats the report as a text table for display.
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
		b.WriteString(strings.TrimRight(fmt.Sprintf("  %-52s %10s %-10s %-9s %s", f.Name, formatValue(f.Value), f.Unit, mark, f.Note), " ") + "\n")
	}
	return b.String()
}

// Compare formats a text table with the figures of r next to those of an earlier
// report, and rates the changes.
func (r Report) Compare(earlier Report) string {
	var b strings.Builder
	fmt.Fprintf(&b, "  %-52s %14s %14s\n", "", truncateName(r.Name), truncateName(earlier.Name))
	row := func(name, a, o, mark string) {
		b.WriteString(strings.TrimRight(fmt.Sprintf("  %-52s %14s %14s %s", name, a, o, mark), " ") + "\n")
	}
	for _, f := range r.Figures {
		if o, ok := earlier.Find(f.Name); ok {
			row(f.Name, formatValue(f.Value), formatValue(o.Value), classifyChange(f, o))
		} else {
			row(f.Name, formatValue(f.Value), "-", "")
		}
	}
	for _, o := range earlier.Figures {
		if _, ok := r.Find(o.Name); !ok {
			row(o.Name, "-", formatValue(o.Value), "")
		}
	}
	return b.String()
}

func truncateName(name string) string { return name[:min(len(name), 14)] }

// classifyChange returns whether f is "better" or "worse" than the earlier figure,
// or "" if it is neither.
func classifyChange(f, earlier Figure) string {
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

func formatValue(v float64) string {
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

// Encode encodes the report as JSON.
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

// Decode decodes a report that Encode encoded.
func Decode(data []byte) (r Report, err error) {
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "name":
			r.Name, err = d.Str()
			return err
		case "figures":
			return d.Arr(func(d *jx.Decoder) error {
				f, err := decodeFields(d)
				value, ok := f.floats["value"]
				if !ok {
					value = math.NaN()
				}
				r.Figures = append(r.Figures, Figure{
					Name: f.texts["name"], Value: value, Unit: f.texts["unit"], Note: f.texts["note"],
					MustBeZero: f.ints["must-be-zero"] == 1, Worse: Direction(f.ints["worse"]),
				})
				return err
			})
		default:
			return errors.Errorf("unknown field %q in report", name)
		}
	})
	if err != nil {
		return Report{}, errors.Wrap(err, "decode report")
	}
	return r, nil
}
