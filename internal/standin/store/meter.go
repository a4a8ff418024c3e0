package store

import (
	"time"

	"github.com/go-faster/jx"
	"golang.org/x/time/rate"
)

// meter limits and counts the calls of one kind, reads or writes.
type meter struct {
	limiter   *rate.Limiter
	admitted  uint64
	throttled uint64

	windowStart   time.Time // start of the second that windowCalls counts
	windowCalls   uint64
	peakPerSecond uint64 // maximum of admitted calls in one second
}

// newMeter returns a meter that admits perSecond calls per second. Its burst is also
// perSecond, so that all calls of a second may arrive at the same time.
func newMeter(perSecond int) meter {
	return meter{limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
}

func (m *meter) admit(now time.Time) bool {
	if !m.limiter.AllowN(now, 1) {
		m.throttled++
		return false
	}
	m.admitted++
	if second := now.Truncate(time.Second); !second.Equal(m.windowStart) {
		m.windowStart, m.windowCalls = second, 0
	}
	m.windowCalls++
	m.peakPerSecond = max(m.peakPerSecond, m.windowCalls)
	return true
}

// stats are the counters of GET /stats.
type stats struct {
	revision         revision
	writes, reads    meter
	instanceCalls    uint64
	watchesWaiting   int
	lostAnswers      uint64
	refusedWhileDown uint64 // calls closed without an answer in ModeDown
	leases           int
	fault            Fault
}

func (s stats) encode() []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		for _, f := range []struct {
			name  string
			value uint64
		}{
			{"revision", uint64(s.revision)},
			{"writes", s.writes.admitted},
			{"writes-throttled", s.writes.throttled},
			{"writes-peak-per-second", s.writes.peakPerSecond},
			{"reads", s.reads.admitted},
			{"reads-throttled", s.reads.throttled},
			{"reads-peak-per-second", s.reads.peakPerSecond},
			{"instance-calls", s.instanceCalls},
			{"watches-waiting", uint64(s.watchesWaiting)},
			{"lost-answers", s.lostAnswers},
			{"refused-while-down", s.refusedWhileDown},
			{"leases", uint64(s.leases)},
		} {
			e.Field(f.name, func(e *jx.Encoder) { e.UInt64(f.value) })
		}
		e.Field("fault", func(e *jx.Encoder) { e.Str(string(s.fault.Mode)) })
	})
	return e.Bytes()
}
