package upstream

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// Fault modes.
const (
	modeOK     = "ok"
	modeCold   = "cold"           // empties the caches at once
	modeFreeze = "freeze-answers" // work goes on; no response leaves until the end of the fault
	modeLate   = "late"           // responses leave after a delay
	modeCross  = "crossed"        // a response carries the id and body of the previous request
	modeShed   = "shed"           // every request is shed
	modeShort  = "short"          // responses end before their announced length
)

// defaultFault is how long a fault lasts that names no duration.
const defaultFault = time.Hour

type faults struct {
	mode     string
	delay    time.Duration
	until    time.Time
	changed  chan struct{} // closed when the fault is replaced
	previous *answer       // for modeCross
}

// fault is the fault at one moment.
type fault struct {
	mode    string
	delay   time.Duration
	until   time.Time
	changed <-chan struct{}
}

func (f *faults) at(now time.Time) fault {
	if f.mode == "" || !now.Before(f.until) {
		return fault{mode: modeOK}
	}
	return fault{mode: f.mode, delay: f.delay, until: f.until, changed: f.changed}
}

func (f *faults) set(mode string, delay time.Duration, until time.Time) {
	if f.changed != nil {
		close(f.changed)
	}
	f.mode, f.delay, f.until, f.changed = mode, delay, until, make(chan struct{})
}

// delayAnswer holds a response back as the fault demands.
func (f fault) delayAnswer(ctx context.Context) {
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
	delay, errDelay := milliseconds(q.Get("delay-ms"), 0)
	length, errFor := milliseconds(q.Get("for-ms"), defaultFault)
	switch mode {
	case modeOK, modeCold, modeFreeze, modeLate, modeCross, modeShed, modeShort:
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
	s.faults.set(mode, delay, now.Add(length))
	if mode == modeCold {
		s.warmth.advance(now, s.running)
		s.warmth.cool()
		if s.warmth.check(now, s.running) {
			s.record(record{event: "overload"})
		}
	}
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func milliseconds(s string, def time.Duration) (time.Duration, error) {
	if s == "" {
		return def, nil
	}
	n, err := strconv.ParseUint(s, 10, 31)
	return time.Duration(n) * time.Millisecond, err
}
