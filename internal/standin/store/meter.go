package store

import (
	"time"

	"github.com/go-faster/jx"
	"golang.org/x/time/rate"
)

// meter limits and counts the calls of one kind.
type meter struct {
	limiter   *rate.Limiter
	calls     uint64 // admitted
	throttled uint64

	second time.Time // start of the second that inSecond counts
	count  uint64
	peak   uint64 // most admitted calls in one second
}

// newMeter admits perSecond calls per second and as many at once, so that a
// second's calls may come together.
func newMeter(perSecond int) meter {
	return meter{limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
}

func (m *meter) admit(now time.Time) bool {
	if !m.limiter.AllowN(now, 1) {
		m.throttled++
		return false
	}
	m.calls++
	if second := now.Truncate(time.Second); !second.Equal(m.second) {
		m.second, m.count = second, 0
	}
	m.count++
	m.peak = max(m.peak, m.count)
	return true
}

// stats are the counters of GET /stats.
type stats struct {
	revision       revision
	writes, reads  meter
	instanceCalls  uint64
	watchesWaiting int
	lostAnswers    uint64
	refused        uint64 // calls closed without an answer while down
	leases         int
	fault          Fault
}

func (s stats) encode() []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		for _, f := range []struct {
			name  string
			value uint64
		}{
			{"revision", uint64(s.revision)},
			{"writes", s.writes.calls},
			{"writes-throttled", s.writes.throttled},
			{"writes-peak-per-second", s.writes.peak},
			{"reads", s.reads.calls},
			{"reads-throttled", s.reads.throttled},
			{"reads-peak-per-second", s.reads.peak},
			{"instance-calls", s.instanceCalls},
			{"watches-waiting", uint64(s.watchesWaiting)},
			{"lost-answers", s.lostAnswers},
			{"refused-while-down", s.refused},
			{"leases", uint64(s.leases)},
		} {
			e.Field(f.name, func(e *jx.Encoder) { e.UInt64(f.value) })
		}
		e.Field("fault", func(e *jx.Encoder) { e.Str(string(s.fault.Mode)) })
	})
	return e.Bytes()
}
