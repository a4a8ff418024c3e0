package upstream

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// Modes of faults.
const (
	modeOK      = "ok"
	modeCold    = "cold"           // makes the upstream cold: its caches are emptied
	modeFreeze  = "freeze-answers" // requests run, but responses are held until the end of the fault
	modeLate    = "late"           // responses are sent after a delay
	modeCrossed = "crossed"        // each request gets the response to the previous request
	modeShed    = "shed"           // every request is refused as under overload
	modeShort   = "short"          // responses are cut off before their Content-Length
)

// defaultFaultDuration is the duration of a fault that is set without for-ms.
const defaultFaultDuration = time.Hour

// faultState holds the last fault that was set.
type faultState struct {
	mode     string
	delay    time.Duration
	until    time.Time
	changed  chan struct{} // closed when the fault is replaced
	previous *response     // last response, for modeCrossed
}

// activeFault is a snapshot of the fault in force at one moment.
type activeFault struct {
	mode    string
	delay   time.Duration
	until   time.Time
	changed <-chan struct{}
}

func (f *faultState) activeAt(now time.Time) activeFault {
	if f.mode == "" || !now.Before(f.until) {
		return activeFault{mode: modeOK}
	}
	return activeFault{mode: f.mode, delay: f.delay, until: f.until, changed: f.changed}
}

func (f *faultState) set(mode string, delay time.Duration, until time.Time) {
	if f.changed != nil {
		close(f.changed)
	}
	f.mode, f.delay, f.until, f.changed = mode, delay, until, make(chan struct{})
}

// delayResponse blocks for as long as the fault delays the response.
func (f activeFault) delayResponse(ctx context.Context) {
	var d time.Duration
	switch f.mode {
	case modeFreeze:
		d = time.Until(f.until)
	case modeLate:
		d = f.delay
	default:
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.changed:
	case <-ctx.Done():
	}
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	mode := q.Get("mode")
	delay, errDelay := parseMilliseconds(q.Get("delay-ms"), 0)
	duration, errFor := parseMilliseconds(q.Get("for-ms"), defaultFaultDuration)
	switch mode {
	case modeOK, modeCold, modeFreeze, modeLate, modeCrossed, modeShed, modeShort:
	default:
		http.Error(w, "mode "+strconv.Quote(mode)+" is unknown", http.StatusBadRequest)
		return
	}
	if errDelay != nil || errFor != nil {
		http.Error(w, "delay-ms and for-ms must be whole numbers", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	now := time.Now()
	s.faults.set(mode, delay, now.Add(duration))
	if mode == modeCold {
		s.warmUp.advance(now, s.running)
		s.warmUp.reset()
		if s.warmUp.checkOverload(now, s.running) {
			s.writeRecord(historyRecord{event: "overload"})
		}
	}
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func parseMilliseconds(s string, def time.Duration) (time.Duration, error) {
	if s == "" {
		return def, nil
	}
	n, err := strconv.ParseUint(s, 10, 31)
	return time.Duration(n) * time.Millisecond, err
}
