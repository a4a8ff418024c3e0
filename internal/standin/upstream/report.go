package upstream

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
)

const (
	sampleInterval   = 50 * time.Millisecond
	maxSamples       = 2400 // 2 minutes, the maximum of Config.ReportLag
	registerInterval = 2 * time.Second
)

// loadHistory holds samples of the past load, for reports with a lag.
type loadHistory struct {
	samples []loadSample
}

// loadSample is the load of the upstream at one moment.
type loadSample struct {
	at         time.Time
	running    int
	overloaded bool
}

func (l *loadHistory) add(s loadSample) {
	if len(l.samples) >= maxSamples {
		l.samples = l.samples[1:]
	}
	l.samples = append(l.samples, s)
}

// latestAt returns the last sample taken at or before the time at. If there is none,
// it returns the sample of an idle upstream.
func (l *loadHistory) latestAt(at time.Time) loadSample {
	for i := len(l.samples) - 1; i >= 0; i-- {
		if !l.samples[i].at.After(at) {
			return l.samples[i]
		}
	}
	return loadSample{}
}

func (s *Server) sampleLoad(stop <-chan struct{}) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-tick.C:
			s.mu.Lock()
			s.loadHistory.add(loadSample{at: now, running: s.running, overloaded: s.warmUp.overloaded(now)})
			s.mu.Unlock()
		}
	}
}

// reportedLoad returns the load that the upstream reports about itself. With ReportLag
// it is out of date; with ReportWrong it is the opposite of the actual load.
func (s *Server) reportedLoad() loadSample {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	r := loadSample{running: s.running, overloaded: s.warmUp.overloaded(now)}
	if s.cfg.ReportLag > 0 {
		r = s.loadHistory.latestAt(now.Add(-s.cfg.ReportLag))
	}
	if s.cfg.ReportWrong {
		r.running, r.overloaded = max(0, s.cfg.Slots-r.running), !r.overloaded
	}
	return r
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if s.reportedLoad().overloaded {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte("{}"))
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	r := s.reportedLoad()
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("running", func(e *jx.Encoder) { e.Int(r.running) })
		e.Field("slots", func(e *jx.Encoder) { e.Int(s.cfg.Slots) })
	})
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(e.Bytes())
}

// register keeps the upstream registered in the platform's instance list. When ctx
// ends, the state of the entry becomes leaving. The returned function stops the
// registration.
func (s *Server) register(ctx context.Context) (stop func()) {
	if s.cfg.List == "" {
		return func() {}
	}
	client, err := http1.NewClient()
	if err != nil {
		return func() {}
	}
	pool := client.NewPool(s.cfg.List, http1.PoolConfig{})
	stopped := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		tick := time.NewTicker(registerInterval)
		defer tick.Stop()
		leaving := ctx.Done()
		state := "live"
		for {
			s.putListEntry(pool, state)
			select {
			case <-stopped:
				return
			case <-leaving:
				state, leaving = "leaving", nil
			case <-tick.C:
			}
		}
	})
	return func() {
		close(stopped)
		wg.Wait()
		client.Close()
	}
}

// putListEntry writes the upstream's entry to the instance list.
func (s *Server) putListEntry(pool *http1.Pool, state string) {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		for _, f := range [][2]string{
			{"name", s.cfg.Name},
			{"kind", "upstream"},
			{"service", string(s.cfg.Service)},
			{"address", cmp.Or(s.cfg.Advertise, s.Addr())},
			{"zone", string(s.cfg.Zone)},
			{"state", state},
			{"boot", string(s.boot)},
		} {
			e.Field(f[0], func(e *jx.Encoder) { e.Str(f[1]) })
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), registerInterval)
	defer cancel()
	// An error is ignored, because the entry is written again after registerInterval.
	_, _ = pool.Do(ctx, &http1.Request{
		Method: http.MethodPut, Target: "/v1/instances", Body: e.Bytes(),
		Header: http.Header{"Content-Type": {"application/json"}},
	})
}
