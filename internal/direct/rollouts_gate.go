package direct

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/rollout"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// applyDirectives applies the leader's directives, which it may have made at heardAt. A
// leader that does not know them yet sends nil.
func (r *Router) applyDirectives(now, heardAt time.Time, list []rollout.Directive, seq uint64) {
	if !r.cfg.Rollout.Enabled || list == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gate.SetDirectives(heardAt, list) {
		r.collector.SetDirectives(list)
	}
	r.rolloutSeqReceived = seq
	r.classifyVersions(now)
}

// classifyVersions determines which requests may use each upstream. The caller must hold mu.
func (r *Router) classifyVersions(now time.Time) {
	if !r.cfg.Rollout.Enabled {
		return
	}
	var orders map[fleet.ServiceID]rollout.Order
	if op := r.operatorState.Load(); op != nil {
		orders = op.Orders
	}
	r.upstreams.SetUses(r.gate.Classify(now, r.operatorConfirmedAt, orders, r.upstreams.Versions()))
}

// versionAllowed reports whether the version of an upstream may be sent requests now. The
// caller must hold mu.
func (r *Router) versionAllowed(now time.Time, upstream *balance.Entry) bool {
	switch upstream.Use() {
	case rollout.UseOpen:
		return true
	case rollout.UseTrial, rollout.UseSpare: // keys may be on their way from a spare one
		return r.gate.MayTry(now, upstream.Service)
	}
	return false
}

// chooseVersion chooses an upstream for x by load balancing. The first attempt of the
// requests that a roll-out selects goes to the new version, if one of its upstreams takes
// requests. Repeated attempts use the others, so that a request fails once at most.
func (r *Router) chooseVersion(now time.Time, x *exchange, q balance.Query) (*balance.Entry, string) {
	x.trial = false
	if !x.picked {
		x.picked = true
		if r.gate.Pick(now, x.service.ID, x.route.Name) {
			trial := q
			trial.Use = rollout.UseTrial
			if d, _ := r.gate.Directive(x.service.ID); d.Share < 1 {
				trial.Zone = "" // a zone may have few upstreams of the share, which would get too much
			}
			if upstream, _ := r.upstreams.Choose(now, trial); upstream != nil {
				x.trial = true
				return upstream, ""
			}
		}
	}
	return r.choose(now, q, x)
}

// versionHolders returns a function that reports whether an upstream of a sharded service
// may hold keys. The share of the keys that a roll-out sends to the new version moves from
// as large a share of the other upstreams. The caller must hold mu.
func (r *Router) versionHolders(id fleet.ServiceID, entries []*balance.Entry) func(*balance.Entry) bool {
	d, directed := r.gate.Directive(id)
	if !directed || d.Settled || d.Final || d.Share == 0 {
		return r.upstreams.Usable
	}
	var old, target []fleet.UpstreamID
	for _, e := range entries {
		switch {
		case e.Version == d.Target && r.upstreams.InService(e):
			target = append(target, e.ID)
		case r.upstreams.Usable(e):
			old = append(old, e.ID)
		}
	}
	allowed := make(map[fleet.UpstreamID]bool)
	for _, upstream := range rollout.Subset(target, d.Share, true) {
		allowed[upstream] = true
	}
	for _, upstream := range old {
		allowed[upstream] = true
	}
	for _, upstream := range rollout.Subset(old, d.Share, true) {
		delete(allowed, upstream)
	}
	return func(e *balance.Entry) bool { return allowed[e.ID] }
}

// startFlight counts a request that is sent to an upstream. The caller must hold mu.
func (r *Router) startFlight(now time.Time, x *exchange, upstream *balance.Entry) *rollout.Flight {
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	return r.collector.Sent(now, rollout.Upstream{ID: upstream.ID, Service: upstream.Service, Version: upstream.Version}, route, upstream.Cold(now))
}

// endFlight counts the result of an attempt. A request whose response is streamed stays in
// flight until ctx ends, as it does after the last byte. The caller must hold mu.
func (r *Router) endFlight(ctx context.Context, now time.Time, f *rollout.Flight, a attempt) {
	if r.collector.Ended(now, f, flightOutcome(a)) && !r.urgentEvidence {
		r.urgentEvidence = true
		close(r.newsReady)
		r.newsReady = make(chan struct{})
	}
	if a.err != nil || a.response.Stream == nil {
		r.collector.Released(f)
		return
	}
	context.AfterFunc(ctx, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.collector.Released(f)
	})
}

func flightOutcome(a attempt) rollout.Outcome {
	var notSent *http1.NotSentError
	if errors.As(a.err, &notSent) {
		return rollout.Unsent
	}
	switch a.verdict {
	case balance.Answered:
		return rollout.Good
	case balance.Failed:
		return rollout.Bad
	case balance.Silent:
		return rollout.Lost
	}
	return rollout.Neutral
}

// addEvidence adds what was observed of roll-outs to a report. The caller must hold mu.
func (r *Router) addEvidence(now time.Time, rep *report) {
	if !r.cfg.Rollout.Enabled {
		return
	}
	rep.Rollouts, rep.RolloutSeq = r.collector.Evidence(now, r.gate), r.rolloutSeqReceived
}
