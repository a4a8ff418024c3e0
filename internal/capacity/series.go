// Package capacity measures what the parts of the router cost at several sizes
// and computes their cost at the design scale from linear fits.
//
// Processor times are those of the whole process (getrusage), garbage collection
// included, because wall-clock times on a shared machine measure the other load.
// Each point is the median of three runs.
package capacity

import (
	"cmp"
	"math"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Series is one quantity measured at several sizes.
type Series struct {
	ID     string
	What   string // the quantity
	X      string // what the size counts
	Unit   string // of the quantity
	Points []Point
	Fit    Fit
}

// Point is a measurement.
type Point struct{ X, Y float64 }

// Fit is a least-squares line.
type Fit struct{ Slope, Intercept, R2 float64 }

// At returns the value of the line, or 0 where the line is below it.
func (f Fit) At(x float64) float64 { return max(0, f.Intercept+f.Slope*x) }

// At returns the value at size x: between measured sizes on the line through the
// two nearest ones, above them on the fit, but not below the value at the largest
// size: a slope that noise made negative would predict no cost at all. Below the
// smallest size it returns the value there, which is an upper bound.
func (s Series) At(x float64) float64 {
	points := slices.Clone(s.Points)
	slices.SortFunc(points, func(a, b Point) int { return cmp.Compare(a.X, b.X) })
	for i, p := range points {
		switch {
		case x > p.X:
		case i == 0:
			return p.Y
		default:
			q := points[i-1]
			return q.Y + (p.Y-q.Y)*(x-q.X)/(p.X-q.X)
		}
	}
	return max(s.Fit.At(x), points[len(points)-1].Y)
}

// Largest returns the largest measured size.
func (s Series) Largest() float64 {
	var x float64
	for _, p := range s.Points {
		x = max(x, p.X)
	}
	return x
}

// fitLine returns the least-squares line through the points.
func fitLine(points []Point) Fit {
	n := float64(len(points))
	var mx, my, sxy, sxx, syy float64
	for _, p := range points {
		mx += p.X / n
		my += p.Y / n
	}
	for _, p := range points {
		sxy += (p.X - mx) * (p.Y - my)
		sxx += (p.X - mx) * (p.X - mx)
		syy += (p.Y - my) * (p.Y - my)
	}
	f := Fit{Slope: sxy / sxx, R2: 1}
	f.Intercept = my - f.Slope*mx
	if syy > 0 {
		f.R2 = sxy * sxy / (sxx * syy)
	}
	return f
}

// recorder collects points by series in the order of their first point.
type recorder struct{ series []Series }

func (r *recorder) add(id, what, x, unit string, at, value float64) {
	i := slices.IndexFunc(r.series, func(s Series) bool { return s.ID == id })
	if i < 0 {
		i = len(r.series)
		r.series = append(r.series, Series{ID: id, What: what, X: x, Unit: unit})
	}
	r.series[i].Points = append(r.series[i].Points, Point{X: at, Y: value})
}

// Measure runs all measurements. progress is told the name of each.
func Measure(progress func(string)) ([]Series, error) {
	r := &recorder{}
	for _, m := range []struct {
		name string
		run  func(*recorder) error
	}{
		{"assignment", measureAssignment},
		{"members", measureMembers},
		{"catalogue", measureCatalogue},
		{"limits", measureLimits},
		{"dispatch", measureDispatch},
		{"metrics", measureMetrics},
		{"polls", measurePolls},
		{"tokens", measureTokens},
		{"renewals", measureRenewals},
		{"store", measureStore},
	} {
		progress(m.name)
		if err := m.run(r); err != nil {
			return nil, errors.Wrap(err, m.name)
		}
		runtime.GC()
	}
	for i := range r.series {
		r.series[i].Fit = fitLine(r.series[i].Points)
	}
	return r.series, nil
}

const repeats = 3

// median runs f several times and returns the median of its results.
func median(f func() float64) float64 {
	var all [repeats]float64
	for i := range all {
		all[i] = f()
	}
	slices.Sort(all[:])
	return all[repeats/2]
}

// cpuTime returns the processor time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// minRun is long enough for the resolution of getrusage on all systems.
const minRun = 100 * time.Millisecond

// perCall returns the processor time of one call of f in nanoseconds. f is
// repeated until minRun is used.
func perCall(f func()) float64 {
	return median(func() float64 {
		runtime.GC()
		start, calls := cpuTime(), 0
		for batch := 1; ; batch *= 2 {
			for range batch {
				f()
			}
			calls += batch
			if used := cpuTime() - start; used >= minRun {
				return float64(used) / float64(calls)
			}
		}
	})
}

// retained returns what build returns and the bytes of heap and stacks that it
// keeps in use.
func retained[T any](build func() T) (T, float64) {
	before := inUse()
	v := build()
	after := inUse()
	return v, math.Max(0, after-before)
}

func inUse() float64 {
	runtime.GC()
	runtime.GC() // finalizers of the first round
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) + float64(m.StackInuse)
}
