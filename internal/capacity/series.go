// Package capacity measures the memory, processor time and traffic of the router's
// parts at several sizes. It computes their costs at the design scale from linear fits
// and writes them as tables into a Markdown page.
//
// Processor times are those of the whole process (getrusage), including garbage
// collection. Wall-clock times are not used, because on a shared machine they depend on
// the other load. Each point of a processor time is the median of three runs.
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
	ID        string
	Quantity  string // name of the measured quantity
	SizeLabel string // what the size counts, such as members
	Unit      string // unit of the quantity; empty for a plain number
	Points    []Point
	Fit       Fit
}

// Point is a measurement: the value Y at the size X.
type Point struct{ X, Y float64 }

// Fit is a least-squares line with its coefficient of determination.
type Fit struct{ Slope, Intercept, R2 float64 }

// At returns the value of the line at x, or 0 where the line is negative.
func (f Fit) At(x float64) float64 { return max(0, f.Intercept+float64(f.Slope*x)) }

// At returns the value at size x. Between measured sizes it interpolates linearly
// between the two nearest ones. Above the largest size it returns the value of the fit,
// but at least the value at the largest size: measurement noise can make the slope
// negative, and the fit would then predict no cost. Below the smallest size it returns
// the value at the smallest size, which is an upper bound.
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

// fitLine returns the least-squares line through the points. The conversions round each
// product, because fused multiply-adds of some processors would change the last digits.
func fitLine(points []Point) Fit {
	n := float64(len(points))
	var mx, my, sxy, sxx, syy float64
	for _, p := range points {
		mx += p.X / n
		my += p.Y / n
	}
	for _, p := range points {
		sxy += float64((p.X - mx) * (p.Y - my))
		sxx += float64((p.X - mx) * (p.X - mx))
		syy += float64((p.Y - my) * (p.Y - my))
	}
	f := Fit{Slope: sxy / sxx, R2: 1}
	f.Intercept = my - float64(f.Slope*mx)
	if syy > 0 {
		f.R2 = sxy * sxy / (sxx * syy)
	}
	return f
}

// recorder collects points into series, ordered by the first point of each.
type recorder struct{ series []Series }

func (r *recorder) add(id, quantity, sizeLabel, unit string, size, value float64) {
	i := slices.IndexFunc(r.series, func(s Series) bool { return s.ID == id })
	if i < 0 {
		i = len(r.series)
		r.series = append(r.series, Series{ID: id, Quantity: quantity, SizeLabel: sizeLabel, Unit: unit})
	}
	r.series[i].Points = append(r.series[i].Points, Point{X: size, Y: value})
}

// Measure runs all measurements and returns their series with fits. It calls progress
// with the name of each measurement before it starts.
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

const runsPerPoint = 3

// median calls f runsPerPoint times and returns the median of its results.
func median(f func() float64) float64 {
	var all [runsPerPoint]float64
	for i := range all {
		all[i] = f()
	}
	slices.Sort(all[:])
	return all[runsPerPoint/2]
}

// cpuTime returns the user and system time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// minCPUTime is the shortest processor time that is measured. It is long compared with
// the resolution of getrusage on all systems.
const minCPUTime = 100 * time.Millisecond

// cpuTimePerCall returns the processor time of one call of f in nanoseconds. It repeats
// f until the calls have used minCPUTime.
func cpuTimePerCall(f func()) float64 {
	return median(func() float64 {
		runtime.GC()
		start, calls := cpuTime(), 0
		for batch := 1; ; batch *= 2 {
			for range batch {
				f()
			}
			calls += batch
			if used := cpuTime() - start; used >= minCPUTime {
				return float64(used) / float64(calls)
			}
		}
	})
}

// retainedMemory returns the result of build and the bytes of heap and stacks that
// remain in use after the call.
func retainedMemory[T any](build func() T) (T, float64) {
	before := memoryInUse()
	v := build()
	after := memoryInUse()
	return v, math.Max(0, after-before)
}

// memoryInUse returns the bytes of heap and stacks in use after garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC() // frees objects whose finalizers ran after the first collection
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) + float64(m.StackInuse)
}
