package balance

import "math"

const (
	// curveMemory is the number of answers that a load curve remembers.
	curveMemory = 150
	// minCurveAnswers is the number of answers below which a load curve states nothing.
	minCurveAnswers = 12
	// maxServiceTimeRise is the rise of the service time, relative to that of a single
	// request, up to which an upstream still handles its load well.
	maxServiceTimeRise = 1.5
	// curveCertainty is the number of standard errors by which a rise of the service time
	// has to exceed 0. With less, the noise of the work lowers the limits of upstreams whose
	// service time does not rise.
	curveCertainty = 1.5
)

// LoadCurve contains sums over answers of an upstream without a queue, from which the
// service time follows as a linear function of the requests in flight. The times are
// divided by the stated slowdown.
type LoadCurve struct {
	Answers         float64
	InFlight        float64 // sum of the requests in flight, this one included
	InFlightSquares float64
	Seconds         float64
	SecondsSquares  float64
	Products        float64 // sum of in flight times seconds
}

func (c *LoadCurve) addAnswer(inFlight, seconds float64) {
	c.add(LoadCurve{
		Answers: 1, InFlight: inFlight, InFlightSquares: inFlight * inFlight, Seconds: seconds,
		SecondsSquares: seconds * seconds, Products: inFlight * seconds,
	})
}

// add adds the answers of other. Answers beyond the memory of the curve replace older ones.
func (c *LoadCurve) add(other LoadCurve) {
	keep := 1 - min(1, other.Answers/curveMemory)
	if c.Answers+other.Answers <= curveMemory {
		keep = 1
	}
	c.Answers = c.Answers*keep + other.Answers
	c.InFlight = c.InFlight*keep + other.InFlight
	c.InFlightSquares = c.InFlightSquares*keep + other.InFlightSquares
	c.Seconds = c.Seconds*keep + other.Seconds
	c.SecondsSquares = c.SecondsSquares*keep + other.SecondsSquares
	c.Products = c.Products*keep + other.Products
}

// line returns the mean of the requests in flight and of the service time, and the rise of
// the service time with each further request in flight that the answers prove.
func (c *LoadCurve) line() (inFlight, seconds, rise float64) {
	if c.Answers < minCurveAnswers {
		return 0, 0, 0
	}
	inFlight, seconds = c.InFlight/c.Answers, c.Seconds/c.Answers
	sxx := c.InFlightSquares - c.InFlight*inFlight
	if sxx < 1 {
		return inFlight, seconds, 0 // the load was always the same
	}
	sxy := c.Products - c.InFlight*seconds
	slope := sxy / sxx
	residual := max(0, c.SecondsSquares-c.Seconds*seconds-slope*sxy) / (c.Answers - 2)
	return inFlight, seconds, max(0, slope-curveCertainty*math.Sqrt(residual/sxx))
}

// limit returns the number of requests in flight, at most slots, up to which the service
// time rises by no more than maxServiceTimeRise, and the service time at this load relative
// to the mean one.
func (c *LoadCurve) limit(slots float64) (inFlight, relativeTime float64) {
	mean, seconds, rise := c.line()
	if rise == 0 || seconds <= 0 {
		return slots, 1
	}
	single := max(seconds-rise*(mean-1), seconds/maxServiceTimeRatio)
	inFlight = min(slots, max(1, 1+(maxServiceTimeRise-1)*single/rise))
	return inFlight, max(0.1, (seconds+rise*(inFlight-mean))/seconds)
}

// updateCurve adds a service time in seconds to the load curve of e and to its samples.
func (t *Table) updateCurve(e *Entry, seconds float64, load *Load) {
	if load == nil || load.Running < 1 {
		return
	}
	if serviceMean := t.meanTimes[e.Service]; serviceMean > 0 {
		seconds = min(seconds, serviceMean*maxServiceTimeRatio)
	}
	seconds /= max(1, load.Slowdown)
	e.curve.addAnswer(float64(load.Running), seconds)
	e.ownLimit, _ = e.curve.limit(float64(e.Slots))
	e.samples.Curve.addAnswer(float64(load.Running), seconds)
}

// meanLoadWeight is the weight of one answer in the mean load of a service.
const meanLoadWeight = 0.05

// updateMeanLoad adds a stated load to the mean of the service, which stands for the load of
// upstreams that have not answered lately.
func (t *Table) updateMeanLoad(e *Entry, load *Load) {
	used := min(2, float64(load.Running+load.Waiting)/float64(max(load.Slots, 1)))
	t.meanLoad[e.Service] += meanLoadWeight * (used - t.meanLoad[e.Service])
}
