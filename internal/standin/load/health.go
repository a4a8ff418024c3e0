package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
)

// readinessTimeout bounds one readiness check of one target.
const readinessTimeout = 500 * time.Millisecond

// healthChecker tracks which targets pass their readiness check, as a load
// balancer does. If none passes, all targets are used.
type healthChecker struct {
	targets []Target
	ready   atomic.Pointer[[]Target]
}

func newHealthChecker(targets []Target) *healthChecker {
	h := &healthChecker{targets: targets}
	h.ready.Store(&targets)
	return h
}

func (h *healthChecker) pick(rng *rand.Rand) Target {
	ready := *h.ready.Load()
	return ready[rng.IntN(len(ready))]
}

func (h *healthChecker) run(ctx context.Context, g *Generator) {
	tick := time.NewTicker(g.cfg.ReadinessInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			h.checkAll(ctx, g)
		}
	}
}

func (h *healthChecker) checkAll(ctx context.Context, g *Generator) {
	passed := make([]bool, len(h.targets))
	var wg sync.WaitGroup
	for i, t := range h.targets {
		wg.Go(func() { passed[i] = Ready(ctx, g.pools[t.Name]) })
	}
	wg.Wait()
	var ready []Target
	for i, ok := range passed {
		if ok {
			ready = append(ready, h.targets[i])
		}
	}
	if ctx.Err() == nil && len(ready) > 0 {
		h.ready.Store(&ready)
	} else if ctx.Err() == nil {
		h.ready.Store(&h.targets)
	}
}

// Ready reports whether the instance behind the pool passes its readiness check.
func Ready(ctx context.Context, p *http1.Pool) bool {
	ctx, cancel := context.WithTimeout(ctx, readinessTimeout)
	defer cancel()
	res, err := p.Do(ctx, &http1.Request{Method: http.MethodGet, Target: "/-/ready"})
	return err == nil && res.Status < http.StatusMultipleChoices
}
