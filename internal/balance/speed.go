package balance

import (
	"math"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// shortMeanWeight is the weight of one answer in the short mean of the service time:
	// the mean depends on about the last ten answers.
	shortMeanWeight = 0.15
	// longMeanWeight is the weight of one answer in the long mean of the service time. It
	// is lower because keys are assigned by the long mean, and each change of the
	// assignment interrupts keys.
	longMeanWeight = 0.05
	// longMeanPriorAnswers is the number of answers that the mean of the service, with
	// which a long mean starts, counts as.
	longMeanPriorAnswers = 5
	// maxServiceTimeRatio limits the ratio between a service time that is added to a long
	// mean and the mean of the service, in both directions.
	maxServiceTimeRatio = 4
	// throughputWindow is the time over which the answers of a saturated upstream are
	// counted: one with 6 slots and a service time of 0.8 s gives 7 answers.
	throughputWindow = time.Second
	// saturatedAnswerShare is the share of answers that show a queue from which on an
	// upstream counts as saturated for the whole window.
	saturatedAnswerShare = 0.8
	// lostTimeFactor is the multiple of the service time after which a request without an
	// answer is assumed to have waited in the queue of its upstream.
	lostTimeFactor = 2
)

func (t *Table) updateServiceTimes(now time.Time, e *Entry, took time.Duration, load *Load) {
	seconds := took.Seconds()
	if load != nil && load.Waiting > 0 {
		// The request probably waited in the queue as well.
		seconds /= 1 + float64(load.Waiting)/float64(max(load.Slots, 1))
		e.samples.Queued++
	} else {
		e.samples.Unqueued++
		e.samples.UnqueuedSeconds += seconds
		t.updateLongMean(e, seconds, 1)
		t.updateCurve(e, seconds, load)
	}
	if load != nil && load.Slowdown > 1 {
		seconds /= load.Slowdown // caused by other load on the upstream's machine, and short-lived
	}
	t.updateShortMeans(now, e, seconds, shortMeanWeight)
	e.lastLearned = now
}

// updateLongMean adds n answers with a mean service time in seconds to the long mean of
// e. Unlike the short mean, it includes slowdowns by other load on the same machine. It
// starts from the mean of the service, so that a few answers change it little.
func (t *Table) updateLongMean(e *Entry, seconds float64, n int) {
	if serviceMean := t.meanTimes[e.Service]; serviceMean > 0 {
		seconds = min(max(seconds, serviceMean/maxServiceTimeRatio), serviceMean*maxServiceTimeRatio)
		if e.longMeanAnswers == 0 {
			e.longMeanTime = serviceMean
		}
	}
	weight := max(longMeanWeight, 1/float64(e.longMeanAnswers+longMeanPriorAnswers))
	if e.longMeanTime == 0 {
		weight = 1
	}
	e.longMeanAnswers += n
	e.longMeanTime += (seconds - e.longMeanTime) * (1 - math.Pow(1-weight, float64(n)))
}

// LongMeanTime returns the long mean of the service time of e in seconds. Before the first
// answer of e, it returns the estimate of ServiceTime.
func (t *Table) LongMeanTime(now time.Time, e *Entry) float64 {
	if e.longMeanTime == 0 {
		return t.ServiceTime(now, e)
	}
	return e.longMeanTime
}

// updateShortMeans adds a service time in seconds to the short mean of e and, with a
// quarter of the weight, to the mean of its service.
func (t *Table) updateShortMeans(now time.Time, e *Entry, seconds, weight float64) {
	average := func(old, weight float64) float64 {
		if old == 0 {
			return seconds
		}
		return old*(1-weight) + seconds*weight
	}
	e.shortMeanTime = average(t.ownServiceTime(now, e), weight)
	t.meanTimes[e.Service] = average(t.meanTimes[e.Service], weight/4)
}

// Samples summarises the requests of one instance to an upstream.
type Samples struct {
	Unqueued        int     // answers while no other requests waited
	UnqueuedSeconds float64 // total service time of the Unqueued answers
	Queued          int     // answers while other requests waited
	Lost            int     // requests that were refused by a full queue, or waited without an answer
	Curve           LoadCurve
}

func (s Samples) empty() bool { return s.Unqueued+s.Queued+s.Lost == 0 }

// TakeSamples returns and resets the samples since the last call, for the upstreams of
// the services for which include returns true.
func (t *Table) TakeSamples(include func(fleet.ServiceID) bool) map[fleet.UpstreamID]Samples {
	out := make(map[fleet.UpstreamID]Samples)
	for id, e := range t.entries {
		if !e.samples.empty() && include(e.Service) {
			out[id] = e.samples
			e.samples = Samples{}
		}
	}
	return out
}

// LearnSamples adds the samples of another instance to the service times of an upstream.
func (t *Table) LearnSamples(now time.Time, id fleet.UpstreamID, samples Samples) {
	t.LearnCapacity(id, samples)
	e := t.entries[id]
	if e == nil || samples.Unqueued <= 0 {
		return
	}
	mean := samples.UnqueuedSeconds / float64(samples.Unqueued)
	t.updateShortMeans(now, e, mean, 1-math.Pow(1-shortMeanWeight, float64(samples.Unqueued)))
	e.lastLearned = now
}

// LearnCapacity adds the samples of another instance to the capacity of an upstream, but
// not to the service times by which this instance chooses: instances that choose by the same
// service times choose the same upstreams.
func (t *Table) LearnCapacity(id fleet.UpstreamID, samples Samples) {
	e := t.entries[id]
	if e == nil || samples.Unqueued <= 0 {
		return
	}
	t.updateLongMean(e, samples.UnqueuedSeconds/float64(samples.Unqueued), samples.Unqueued)
	e.curve.add(samples.Curve)
	e.ownLimit, _ = e.curve.limit(float64(e.Slots))
}

// ownServiceTime returns the result of ServiceTime, or 0 before the first answer of e.
func (t *Table) ownServiceTime(now time.Time, e *Entry) float64 {
	if e.shortMeanTime == 0 {
		return 0
	}
	return t.ServiceTime(now, e)
}

// ServiceMeanTime returns the mean service time of a service in seconds, or 0 if it is
// unknown.
func (t *Table) ServiceMeanTime(id fleet.ServiceID) float64 { return t.meanTimes[id] }

// throughputCount counts the answers of an upstream to all instances over a window.
type throughputCount struct {
	start                  time.Time
	answers, queueEvidence int // all answers; answers and lost requests that show a queue
	lost                   int
}

// CountAnswers adds the samples of one instance to the throughput of an upstream. The
// caller must pass the samples of all instances, including this one. While an upstream
// is saturated, its long mean is computed from the throughput and not from the response
// times, because requests that timed out in the queue are missing among these.
func (t *Table) CountAnswers(now time.Time, id fleet.UpstreamID, samples Samples) {
	e := t.entries[id]
	if e == nil {
		return
	}
	count := &e.throughput
	elapsed := now.Sub(count.start)
	if elapsed > 2*throughputWindow {
		*count, elapsed = throughputCount{start: now}, 0
	}
	count.answers += samples.Unqueued + samples.Queued
	count.queueEvidence += samples.Queued + samples.Lost
	count.lost += samples.Lost
	if elapsed < throughputWindow {
		return
	}
	if all := count.answers + count.lost; float64(count.queueEvidence) >= saturatedAnswerShare*float64(all) {
		t.updateLongMean(e, float64(e.Slots)*elapsed.Seconds()/float64(max(count.answers, 1)), all)
	}
	*count = throughputCount{start: now}
}
