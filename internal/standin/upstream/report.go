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
	sampleEvery   = 50 * time.Millisecond
	maxSamples    = 2400 // 2 minutes, the longest lag that reports can have
	registerEvery = 2 * time.Second
)

// loadLog keeps past load, so that reports can lag.
type loadLog struct {
	samples []sample
}

type sample struct {
	at      time.Time
	running int
	broken  bool
}

func (l *loadLog) add(s sample) {
	if len(l.samples) >= maxSamples {
		l.samples = l.samples[1:]
	}
	l.samples = append(l.samples, s)
}

// before returns the last sample not younger than at, or an idle one.
func (l *loadLog) before(at time.Time) sample {
	for i := len(l.samples) - 1; i >= 0; i-- {
		if !l.samples[i].at.After(at) {
			return l.samples[i]
		}
	}
	return sample{}
}

func (s *Server) sampleLoad(stop <-chan struct{}) {
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-tick.C:
			s.mu.Lock()
			s.load.add(sample{at: now, running: s.running, broken: s.warmth.broken(now)})
			s.mu.Unlock()
		}
	}
}

// reported is the state that the upstream tells of itself: late, or, with
// ReportWrong, the opposite of the truth.
func (s *Server) reported() sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	r := sample{running: s.running, broken: s.warmth.broken(now)}
	if s.cfg.ReportLag > 0 {
		r = s.load.before(now.Add(-s.cfg.ReportLag))
	}
	if s.cfg.ReportWrong {
		r.running, r.broken = max(0, s.cfg.Slots-r.running), !r.broken
	}
	return r
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if s.reported().broken {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte("{}"))
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	r := s.reported()
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("running", func(e *jx.Encoder) { e.Int(r.running) })
		e.Field("slots", func(e *jx.Encoder) { e.Int(s.cfg.Slots) })
	})
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(e.Bytes())
}

// register keeps the upstream in the instance list. After ctx it is listed as
// leaving until the returned function is called.
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
		tick := time.NewTicker(registerEvery)
		defer tick.Stop()
		leaving := ctx.Done()
		state := "live"
		for {
			s.put(pool, state)
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

func (s *Server) put(pool *http1.Pool, state string) {
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
	ctx, cancel := context.WithTimeout(context.Background(), registerEvery)
	defer cancel()
	// The list may be down; the next round repeats the entry.
	_, _ = pool.Do(ctx, &http1.Request{
		Method: http.MethodPut, Target: "/v1/instances", Body: e.Bytes(),
		Header: http.Header{"Content-Type": {"application/json"}},
	})
}
