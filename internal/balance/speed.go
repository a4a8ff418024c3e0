package balance

import (
	"math"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// speedWeight is the weight of one answer in the running mean of the service
	// time: about ten answers describe an upstream.
	speedWeight = 0.15
	// meanWeight is the same for the long mean, which keys are planned by: each change
	// of the plan interrupts keys.
	meanWeight = 0.05
	// priorAnswers is the number of answers that the service's mean counts as.
	priorAnswers = 5
	// maxSpread bounds how far one service time may lie from its service's mean.
	maxSpread = 4
	// throughputWindow is the time over which the answers of a saturated upstream are
	// counted: one with 6 slots and a service time of 0.8 s gives 7 answers.
	throughputWindow = time.Second
	// saturatedShare is the share of answers with a queue from which on an upstream
	// counts as saturated all the time.
	saturatedShare = 0.8
	// lostAfter times the service time without an answer, a request has waited.
	lostAfter = 2
)

func (t *Table) learnSpeed(now time.Time, e *Entry, took time.Duration, load *Load) {
	s := took.Seconds()
	if load != nil && load.Waiting > 0 {
		// The request probably waited as well.
		s /= 1 + float64(load.Waiting)/float64(max(load.Slots, 1))
		e.samples.Queued++
	} else {
		e.samples.N++
		e.samples.Sum += s
		t.learnMean(e, s, 1)
	}
	if load != nil && load.Slowdown > 1 {
		s /= load.Slowdown // for as long as a neighbour on its machine is busy
	}
	t.learn(now, e, s, speedWeight)
}

// learnMean takes the mean of n service times into the long mean, which neighbours'
// work is part of. Before many answers, e counts as typical.
func (t *Table) learnMean(e *Entry, s float64, n int) {
	if typical := t.typical[e.Service]; typical > 0 {
		s = min(max(s, typical/maxSpread), typical*maxSpread)
		if e.answers == 0 {
			e.meanTime = typical
		}
	}
	weight := max(meanWeight, 1/float64(e.answers+priorAnswers))
	if e.meanTime == 0 {
		weight = 1
	}
	e.answers += n
	e.meanTime += (s - e.meanTime) * (1 - math.Pow(1-weight, float64(n)))
}

// MeanTime returns the long mean of e's service time in seconds, or its service's
// before the first answer.
func (t *Table) MeanTime(now time.Time, e *Entry) float64 {
	if e.meanTime == 0 {
		return t.ServiceTime(now, e)
	}
	return e.meanTime
}

// learn takes a service time into the running means.
func (t *Table) learn(now time.Time, e *Entry, s, weight float64) {
	mix := func(old, weight float64) float64 {
		if old == 0 {
			return s
		}
		return old*(1-weight) + s*weight
	}
	e.serviceTime = mix(t.knownTime(now, e), weight)
	t.typical[e.Service] = mix(t.typical[e.Service], weight/4)
}

// Samples are answers of an upstream to one instance.
type Samples struct {
	N      int     // without other requests waiting
	Sum    float64 // of their service times, in seconds
	Queued int     // given while other requests waited
	Lost   int     // requests that were refused for a full queue, or waited in vain
}

func (s Samples) empty() bool { return s.N+s.Queued+s.Lost == 0 }

// TakeSamples returns what was measured since the last call, of the
// upstreams of the services that want says.
func (t *Table) TakeSamples(want func(fleet.ServiceID) bool) map[fleet.UpstreamID]Samples {
	out := make(map[fleet.UpstreamID]Samples)
	for id, e := range t.entries {
		if !e.samples.empty() && want(e.Service) {
			out[id] = e.samples
			e.samples = Samples{}
		}
	}
	return out
}

// LearnSamples takes over what another instance has measured.
func (t *Table) LearnSamples(now time.Time, id fleet.UpstreamID, s Samples) {
	e := t.entries[id]
	if e == nil || s.N <= 0 {
		return
	}
	mean := s.Sum / float64(s.N)
	t.learnMean(e, mean, s.N)
	t.learn(now, e, mean, 1-math.Pow(1-speedWeight, float64(s.N)))
	e.learned = now
}

// knownTime is ServiceTime, but 0 before the first answer of e.
func (t *Table) knownTime(now time.Time, e *Entry) float64 {
	if e.serviceTime == 0 {
		return 0
	}
	return t.ServiceTime(now, e)
}

// Typical returns the mean service time of a service in seconds; 0 is unknown.
func (t *Table) Typical(id fleet.ServiceID) float64 { return t.typical[id] }

// window counts the answers of an upstream to all instances.
type window struct {
	since        time.Time
	done, queued int // answers; answers and lost requests that tell of a queue
	lost         int
}

// CountAnswers adds what an instance has measured, of all instances including this
// one, to what tells the speed of an upstream that always has requests waiting: its
// answers a second. The times of single answers do not, since requests that waited
// for too long were given up and are missing among them.
func (t *Table) CountAnswers(now time.Time, id fleet.UpstreamID, s Samples) {
	e := t.entries[id]
	if e == nil {
		return
	}
	w := &e.window
	dt := now.Sub(w.since)
	if dt > 2*throughputWindow {
		*w, dt = window{since: now}, 0
	}
	w.done += s.N + s.Queued
	w.queued += s.Queued + s.Lost
	w.lost += s.Lost
	if dt < throughputWindow {
		return
	}
	if all := w.done + w.lost; float64(w.queued) >= saturatedShare*float64(all) {
		t.learnMean(e, float64(e.Slots)*dt.Seconds()/float64(max(w.done, 1)), all)
	}
	*w = window{since: now}
}
