package direct

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/rollout"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// rolloutKeyPrefix is the prefix of the keys with the records of roll-outs in the store.
const rolloutKeyPrefix = "parsley/rollout/"

// stepsPerTerm separates the steps of directives of successive leaders: each has fewer.
const stepsPerTerm = 1 << 20

// rolloutLeader is the leader's state of all roll-outs. Only the loop in Router.lead uses it.
type rolloutLeader struct {
	services map[fleet.ServiceID]*serviceRollout
	silent   map[fleet.InstanceID]time.Time // when instances were removed that have not reported since
	ended    chan func()                    // results of store calls, to be called by the loop
	unknown  map[fleet.ServiceID]fleet.Revision
}

func newRolloutLeader() rolloutLeader {
	return rolloutLeader{
		services: make(map[fleet.ServiceID]*serviceRollout), ended: make(chan func(), 16),
		unknown: make(map[fleet.ServiceID]fleet.Revision),
	}
}

// noteSilent records that an instance was removed because it has stopped reporting.
func (l *rolloutLeader) noteSilent(now time.Time, id fleet.InstanceID) {
	if l.silent == nil {
		l.silent = make(map[fleet.InstanceID]time.Time)
	}
	maps.DeleteFunc(l.silent, func(_ fleet.InstanceID, at time.Time) bool { return now.Sub(at) >= silentInstanceTime })
	l.silent[id] = now
}

// serviceRollout is the leader's state of the roll-out of one service.
type serviceRollout struct {
	loaded     bool // the stored record has been read
	calling    bool // a store call is in progress
	retryDue   time.Time
	term       fleet.Revision // in which the last record was written
	controller *rollout.Controller
	evidence   *rollout.Aggregate
	written    rollout.Status // last status that was written in this term
	steps      uint64         // of former controllers
	// targetListed states that an upstream has the target's version.
	targetListed bool
}

// mergeEvidence adds the evidence of a report to the leader's state.
func mergeEvidence(l *leadership, rep report) {
	delete(l.rollouts.silent, rep.Instance)
	if rep.RolloutSeq == 0 { // this run of the instance has not received directives yet
		for _, s := range l.rollouts.services {
			if s.evidence != nil {
				s.evidence.Restarted(rep.Instance)
			}
		}
	}
	for _, e := range rep.Rollouts {
		if s := l.rollouts.services[e.Service]; s != nil && s.evidence != nil {
			s.evidence.Merge(rep.Instance, e)
		}
	}
}

// stepRollouts takes the next step of each roll-out, and publishes the directives.
func (r *Router) stepRollouts(ctx context.Context, now time.Time, l *leadership, leaseValid bool) {
	op := r.operatorState.Load()
	if !r.cfg.Rollout.Enabled || op == nil || op.Table == nil {
		return
	}
	r.noteUnknownOrders(l, op)
	known := true
	for id, service := range op.Table.Services {
		s := l.rollouts.services[id]
		if s == nil {
			s = &serviceRollout{term: l.term}
			l.rollouts.services[id] = s
		}
		if !s.loaded {
			known = false
			r.loadRollout(ctx, now, l, id, s)
			continue
		}
		order, ordered := op.Orders[id]
		if !s.ordersOutdated(op.Revision) {
			r.considerOrder(now, l, s, order, ordered)
		}
		if s.controller == nil {
			continue
		}
		s.controller.Step(now, r.rolloutInput(now, l, s, service.Sharded))
		r.logRollout(l, s)
		if leaseValid {
			r.storeRollout(ctx, now, l, id, s)
		}
	}
	if known {
		r.publishDirectives(now, l)
	}
}

// noteUnknownOrders logs orders for services that the configuration lacks. They are carried
// out once it has them.
func (r *Router) noteUnknownOrders(l *leadership, op *OperatorState) {
	for id, o := range op.Orders {
		if _, known := op.Table.Services[id]; !known && l.rollouts.unknown[id] != o.Revision {
			l.rollouts.unknown[id] = o.Revision
			r.log.Warn("rollout order for an unknown service", "service", id, "target", o.Target, "revision", o.Revision)
		}
	}
}

// loadRollout reads the record of a service that the former leader has stored.
func (r *Router) loadRollout(ctx context.Context, now time.Time, l *leadership, id fleet.ServiceID, s *serviceRollout) {
	if s.calling || now.Before(s.retryDue) {
		return
	}
	s.calling = true
	r.callRollout(ctx, l, func(ctx context.Context) func() {
		it, err := r.platform.Store.Get(ctx, rolloutKeyPrefix+string(id))
		return func() {
			now := time.Now()
			s.calling, s.retryDue = false, now.Add(storeRetryDelay)
			if errors.Is(err, ErrNotFound) {
				s.loaded = true
				return
			}
			if err != nil {
				r.log.Debug("reading a rollout record failed", "service", id, "error", err)
				return
			}
			s.loaded = true
			record, err := rollout.DecodeRecord(it.Value)
			if err != nil || record.Order.Service != id {
				r.log.Error("rollout record ignored", "service", id, "error", err)
				return
			}
			s.controller = rollout.Continue(now, r.cfg.Rollout, record, l.firstStep())
			s.evidence = rollout.NewAggregate(record.Order.Revision)
		}
	})
}

// firstStep returns the first step of the directives of this leader.
func (l *leadership) firstStep() uint64 { return l.term.Number() * stepsPerTerm }

// callRollout runs a store call, and passes the function that it returns to the leader's
// loop.
func (r *Router) callRollout(ctx context.Context, l *leadership, call func(context.Context) func()) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
		defer cancel()
		ended := call(ctx)
		select {
		case l.rollouts.ended <- ended:
		case <-l.stop:
		}
	}()
}

// ordersOutdated reports whether orders that were read at the given revision of the store are
// older than the one that the former leader has recorded. They do not show that it was
// withdrawn.
func (s *serviceRollout) ordersOutdated(read fleet.Revision) bool {
	return s.controller != nil && read < s.controller.Record().Order.Revision
}

// considerOrder starts a roll-out if there is a new order, and ends one whose order was
// withdrawn or replaced.
func (r *Router) considerOrder(now time.Time, l *leadership, s *serviceRollout, order rollout.Order, ordered bool) {
	c := s.controller
	if c != nil {
		was, ended := c.Record().Order, c.Record().State() != rollout.Running
		if ordered && (order.Repeats(was) || !ended && order.Same(was)) {
			return
		}
		if !ordered && ended {
			if c.Stored() && s.written == c.Record().Status() && !s.targetListed {
				s.controller, s.evidence = nil, nil // no request can use the version any more
			}
			return
		}
		if !c.Withdraw(now) || !c.Stored() {
			return // one that is final is completed first
		}
	}
	if !ordered {
		return
	}
	s.steps += stepsPerTerm / 1024
	s.controller = rollout.NewController(now, r.cfg.Rollout, order, l.firstStep()+s.steps)
	s.evidence = rollout.NewAggregate(order.Revision)
	r.log.Info("rollout ordered", "service", order.Service, "target", order.Target, "duration", order.Duration.String(), "revision", order.Revision)
}

// rolloutInput returns what the leader knows about the roll-out of a service.
func (r *Router) rolloutInput(now time.Time, l *leadership, s *serviceRollout, sharded bool) rollout.Input {
	d := s.controller.Directive()
	in := rollout.Input{Totals: s.evidence.Totals(), Sharded: sharded}
	others := 0
	s.targetListed = false
	r.mu.Lock()
	for _, e := range r.upstreams.Service(d.Service) {
		usable := r.upstreams.InService(e)
		s.targetListed = s.targetListed || e.Version == d.Target
		switch {
		case e.Version != d.Target:
			others++
			if usable {
				in.Others++
			}
		case usable:
			in.Upstreams++
			if !e.Cold(now) && now.Sub(e.ListedSince()) >= rollout.MatureAge {
				in.Mature++
			}
		}
	}
	in.OldHolders = sharded && r.holdsOther(l, d)
	r.mu.Unlock()
	s.controller.Settle(now, others > 0)
	r.countInstances(now, l, s, d.Step, &in)
	return in
}

// countInstances counts the instances that do not apply the directive with the given step
// yet, and the requests in flight to other versions. One that has reported to apply it
// without such requests has none later, also if it is silent.
func (r *Router) countInstances(now time.Time, l *leadership, s *serviceRollout, step uint64, in *rollout.Input) {
	done := func(id fleet.InstanceID) bool {
		applied, open := s.evidence.Applied(id, step)
		return applied && open == 0
	}
	limit := r.currentLongPollWait() + leaderSilenceMargin
	in.Members = len(l.members)
	for id, m := range l.members {
		applied, open := s.evidence.Applied(id, step)
		switch {
		case applied && open == 0:
		case now.Sub(m.heardAt) > limit:
			in.Silent++
		case !applied:
			in.Behind++
			in.OldOpen += open
		default:
			in.OldOpen += open
		}
	}
	for id, at := range l.rollouts.silent {
		if now.Sub(at) < silentInstanceTime && !done(id) {
			in.Silent++
		}
	}
	if now.Sub(l.startedAt) >= silentInstanceTime {
		return
	}
	for _, p := range l.recordedInstances {
		_, reports := l.members[p.ID]
		if _, removed := l.rollouts.silent[p.ID]; !reports && !removed && !done(p.ID) {
			in.Silent++
		}
	}
}

// silentInstanceTime is the time for which an instance that has stopped reporting counts as
// one that may still send requests. Most such instances were lost.
const silentInstanceTime = 20 * time.Second

// holdsOther reports whether an upstream of another version than the target holds keys of
// the service. Keys may move between upstreams of the target meanwhile. The caller must
// hold mu.
func (r *Router) holdsOther(l *leadership, d rollout.Directive) bool {
	return l.coordinator.HeldBy(d.Service, func(id fleet.UpstreamID) bool {
		e := r.upstreams.Get(id)
		return e == nil || e.Version != d.Target
	})
}

// logRollout logs and counts what has happened in a roll-out.
func (r *Router) logRollout(l *leadership, s *serviceRollout) {
	for _, event := range s.controller.Events() {
		sent, bad, arrivals := s.controller.Counts()
		r.metrics.setRolloutRequests(s.controller.Record().Order.Service, sent, bad, arrivals)
		fields := func(rec rollout.Record) []any {
			return []any{
				"service", rec.Order.Service, "target", rec.Order.Target, "phase", string(rec.Phase), "share", rec.Share, "elapsed-ms", rec.Elapsed.Milliseconds(),
				"sent", sent, "bad", bad, "arrivals", arrivals, "term", l.term,
			}
		}
		switch e := event.(type) {
		case rollout.PhaseChanged:
			r.metrics.rolloutPhases.WithLabelValues(serviceLabel(e.Record.Order.Service), string(e.Record.Phase)).Inc()
			r.log.Info("rollout phase changed", append(fields(e.Record), "reason", e.Record.Reason, "route", e.Route)...)
		case rollout.Undecided:
			r.log.Warn("rollout undecided", fields(e.Record)...)
		}
	}
}

// storeRollout writes the record of a roll-out if it has changed, else its status.
func (r *Router) storeRollout(ctx context.Context, now time.Time, l *leadership, id fleet.ServiceID, s *serviceRollout) {
	if s.calling || now.Before(s.retryDue) {
		return
	}
	if s.term != l.term { // elected again after the store was restored from a copy
		s.term, s.written = l.term, rollout.Status{}
		s.controller.Restored()
	}
	if record, due := s.controller.Save(); due {
		c := s.controller
		r.writeRollout(ctx, l, s, rolloutKeyPrefix+string(id), record.Encode(), func(stored bool) { c.Saved(time.Now(), stored) })
		return
	}
	status := s.controller.Record().Status()
	if !s.controller.Stored() || s.written == status {
		return
	}
	key, value := r.platform.RolloutStatus(status)
	r.writeRollout(ctx, l, s, key, value, func(stored bool) {
		if stored {
			s.written = status
			r.log.Info("rollout status written", "service", id, "target", status.Target, "state", string(status.State), "term", l.term)
		}
	})
}

// writeRollout writes a key unless it has the value already, under the condition that this
// instance still leads and that nobody has written the key meanwhile.
func (r *Router) writeRollout(ctx context.Context, l *leadership, s *serviceRollout, key string, value []byte, ended func(stored bool)) {
	s.calling = true
	term := l.term
	r.callRollout(ctx, l, func(ctx context.Context) func() {
		it, err := r.platform.Store.Get(ctx, key)
		if errors.Is(err, ErrNotFound) {
			it, err = Item{}, nil
		}
		if err == nil && string(it.Value) != string(value) {
			_, err = r.platform.Store.Put(ctx, Write{Key: key, Value: value, Expect: it.Revision}, Condition{Key: leaderKey, Expect: term})
		}
		return func() {
			s.calling = false
			if err != nil {
				s.retryDue = time.Now().Add(storeRetryDelay)
				r.log.Warn("writing a rollout record or status failed", "key", key, "error", err, "term", term)
			}
			if errors.Is(err, ErrRestored) {
				r.noteRestored(l)
			}
			ended(err == nil)
		}
	})
}

// publishDirectives applies the directives to this instance, and sends those that have
// changed to the others.
func (r *Router) publishDirectives(now time.Time, l *leadership) {
	list := []rollout.Directive{}
	for _, s := range l.rollouts.services {
		if s.controller != nil {
			list = append(list, s.controller.Directive())
		}
	}
	slices.SortFunc(list, func(a, b rollout.Directive) int { return cmp.Compare(a.Service, b.Service) })
	r.mu.Lock()
	if r.directives == nil || !slices.Equal(r.directives, list) {
		r.directives = list
		r.directivesSeq++
		r.wakeReports()
	}
	seq := r.directivesSeq
	r.mu.Unlock()
	r.applyDirectives(now, now, list, seq)
}

// withKnownOrders returns the orders in a store that was restored from a copy and may lack
// the last ones, with those that are known.
func withKnownOrders(restored, known map[fleet.ServiceID]rollout.Order) map[fleet.ServiceID]rollout.Order {
	merged := maps.Clone(known)
	if merged == nil {
		merged = make(map[fleet.ServiceID]rollout.Order)
	}
	for id, o := range restored {
		if k, ok := merged[id]; !ok || o.Revision > k.Revision {
			merged[id] = o
		}
	}
	return merged
}
