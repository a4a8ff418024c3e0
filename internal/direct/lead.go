package direct

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/parsleyproxy/parsleyproxy/internal/admission"
	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/internal/quorum"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Keys in the store.
const (
	leaderKey    = "parsley/leader"
	ownershipKey = "parsley/ownership"
)

const (
	// leaderLeaseTTL is the time after which a silent leader's lease expires and
	// another one can be elected. It is short compared with minGrantTTL, so that grants
	// outlast an election.
	leaderLeaseTTL = 1500 * time.Millisecond
	// leaseMargin is how long before the end of its lease a leader stops relying on it.
	leaseMargin = 250 * time.Millisecond
	// leaseRenewInterval is the time between two renewals of the leader's lease.
	leaseRenewInterval = 400 * time.Millisecond
	// maxStepGap is the time without a step of its loop after which a leader without a valid
	// lease ends, even if the store seems to be down for all: the reports that say so may
	// be older than the election of its successor. The monotonic clock, by which their age
	// is measured, stops while a machine is suspended.
	maxStepGap = leaderLeaseTTL - leaseMargin
	// outageRenewInterval and outageRenewTimeout replace it and storeTimeout once the lease
	// may have expired during an outage of the store: the leader has to learn of the end of
	// the outage before the other instances report that they reach the store.
	outageRenewInterval = 100 * time.Millisecond
	outageRenewTimeout  = 200 * time.Millisecond
	// minGrantTTL is the shortest validity of a grant. The keys of a lost upstream get a new
	// holder after it. An election must take less.
	minGrantTTL = 2500 * time.Millisecond
	// grantRenewInterval is the time between two renewals of a grant.
	grantRenewInterval = 500 * time.Millisecond
	// grantRetryDelay is the delay before a failed call to an upstream is repeated.
	grantRetryDelay = 200 * time.Millisecond
	// grantTimeout bounds a grant call, which a busy upstream answers late.
	grantTimeout = 800 * time.Millisecond
	// leaderTick is the interval at which a leader starts due calls, planInterval the
	// interval at which it plans key moves.
	leaderTick   = 25 * time.Millisecond
	planInterval = 100 * time.Millisecond
	// fleetSettleTime is the time within which all instances find a new leader: those
	// that restart together with it within a second, the others once the former leader
	// is silent.
	fleetSettleTime = 5 * time.Second
	// minRecordedShare is the share of the recorded number of instances below which a
	// smaller number is recorded. Each write is charged for, so small decreases are not
	// recorded. A fleet that restarts with too high a recorded number refuses
	// proportionally more requests until the leader sends the correct one.
	minRecordedShare = 0.8
	// publishInterval is the shortest time between two holder maps for each
	// smallFleetSize instances, since each map is sent to all instances.
	publishInterval = 25 * time.Millisecond
)

// leaderInfo describes the leader as known to an instance.
type leaderInfo struct {
	id      fleet.InstanceID
	addr    string
	term    fleet.Revision // of the leader key
	heardAt time.Time      // last answer, or when the leader was found
}

// leadership is the state of the leading instance. Only the loop in Router.lead uses
// coordinator. Router.mu guards term, lease and validUntil, which that loop changes.
type leadership struct {
	term              fleet.Revision // of the leader key
	lease             Lease
	validUntil        time.Duration // on the clock of bootClock
	steppedAt         time.Duration // time of the last leadStep, on the clock of bootClock
	restoredAt        time.Duration // when the leader learned that its lease is from an earlier era of the store, on the clock of bootClock; 0 if it is not
	restorations      uint64        // that it has learned of; guarded by Router.mu
	electing          bool
	electionDue       time.Time
	elections         chan electionResult
	support           quorum.Support // of this leader
	succession        quorum.Succession
	announceDue       time.Time // next announcement to the instances that may support an earlier leader
	coordinator       *keyspace.Coordinator
	recordRev         fleet.Revision // revision of the stored ownership record
	callResults       chan callResult
	saveResults       chan saveResult
	renewResults      chan renewResult
	reports           chan report
	saving            bool
	renewing          bool
	renewDue          time.Time
	planDue           time.Time
	publishDue        time.Time // when the next holder map may be published
	members           map[fleet.InstanceID]member
	rollouts          rolloutLeader
	startedAt         time.Time
	recordedInstances []fleet.Peer // instances in the ownership record of the former leader
	// recordedCount is the number of instances that this leader last recorded.
	recordedCount int
	admission     *admission.Controller // nil before the first report; guarded by Router.mu
	shares        admission.Shares      // that replies carry; guarded by Router.mu
	stop          chan struct{}         // closed by end
	stopOnce      sync.Once

	inFlight balance.InFlightLog // guarded by Router.mu
}

// end signals all goroutines that work for the leader to stop.
func (l *leadership) end() { l.stopOnce.Do(func() { close(l.stop) }) }

// member holds what the leader knows about an instance.
type member struct {
	addr    string
	heardAt time.Time                   // last report
	demand  map[fleet.AccountID]float64 // requests/s
	// demandSeq is the number of the instance's report with demand.
	demandSeq uint64
	storeAge  time.Duration // since its last successful store call, at heardAt
	// restorations is the number in the last reply that the instance had when it reported.
	restorations uint64
}

// callResult is the result of a grant or release call to an upstream.
type callResult struct {
	call     keyspace.Call
	result   keyspace.Result
	handover string
}

// saveResult is the result of a write of the ownership record.
type saveResult struct {
	term     fleet.Revision // in which the write was started
	rev      fleet.Revision // of the stored record
	err      error
	onStored func() // called if err is nil
}

// renewResult is the result of a renewal of the leader's lease.
type renewResult struct {
	lease  Lease
	sentAt time.Duration // on the clock of bootClock
	err    error
}

// bootClock returns the time since the machine's boot. Unlike the monotonic clock of
// package time, it includes the time for which the machine was suspended.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}

// resign ends the leadership and its lease, so that another instance can be elected
// immediately.
func (r *Router) resign() {
	r.mu.Lock()
	l := r.leadership
	r.mu.Unlock()
	if l == nil {
		return
	}
	l.end()
	r.mu.Lock()
	lease := l.lease
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := r.platform.Store.EndLease(ctx, lease); err != nil {
		r.log.Warn("ending the leader lease failed", "error", err)
	}
}

// lead runs the leader's loop, which assigns keys to upstreams, until the leadership
// ends.
func (r *Router) lead(ctx context.Context, l *leadership) {
	r.log.Info("leading", "term", l.term, "record-revision", l.recordRev)
	r.mu.Lock()
	r.leadership, r.totalDemand, r.directives = l, demandSum{}, nil
	r.noteFormerLeader()
	r.leader = leaderInfo{id: r.cfg.Instance, addr: r.cfg.PeerListen, term: l.term, heardAt: time.Now()}
	r.mu.Unlock()
	defer func() {
		l.end()
		r.mu.Lock()
		r.leadership = nil
		r.mu.Unlock()
		r.log.Info("leadership ended", "term", l.term)
	}()
	tick := time.NewTicker(leaderTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.stop:
			return
		case res := <-l.callResults:
			l.coordinator.CallEnded(time.Now(), res.call, res.result, res.handover)
		case res := <-l.saveResults:
			if !r.handleSaveResult(l, res) {
				return
			}
		case res := <-l.renewResults:
			l.renewing = false
			if res.lease != l.lease {
				continue // the leader has been elected again since
			}
			if errors.Is(res.err, ErrLeaseEnded) {
				return
			}
			r.handleRenewal(time.Now(), l, res)
		case ended := <-l.rollouts.ended:
			ended()
		case res := <-l.elections:
			if !r.handleElection(time.Now(), l, res) {
				return
			}
		case rep := <-l.reports:
			r.applyReport(time.Now(), l, rep)
		case <-tick.C:
			if !r.leadStep(ctx, l) {
				return
			}
		}
	}
}

// leadStep does the work that is due. It returns false if the instance may not lead any
// longer.
func (r *Router) leadStep(ctx context.Context, l *leadership) bool {
	now, clock := time.Now(), bootClock()
	leaseValid := clock < l.validUntil
	suspended := l.steppedAt > 0 && clock-l.steppedAt > maxStepGap
	l.steppedAt = clock
	if suspended && !leaseValid || r.laterLeaderAnnounced() {
		return false
	}
	if l.restoredAt > 0 {
		leaseValid = false
		if !r.seekReelection(ctx, now, l) {
			return false
		}
	} else {
		r.renewIfDue(ctx, now, l, leaseValid)
		if !r.mayLead(clock, l) {
			return false
		}
	}
	l.coordinator.SetFormerEnd(l.succession.FormerEnd())
	r.announce(ctx, now, l)
	if !now.Before(l.planDue) {
		l.planDue = now.Add(planInterval)
		r.applyReport(now, l, r.collectReport(now))
		r.updateMembers(now, l, leaseValid)
		r.sumDemand(now, l)
		r.stepAdmission(now, l)
		r.stepRollouts(ctx, now, l, leaseValid)
		r.setCandidates(now, l)
		if leaseValid {
			l.coordinator.Plan(now)
			r.logMoves(l)
			r.setHotKeys(now, l.coordinator.HotKeys())
		}
	}
	if leaseValid {
		r.saveRecord(ctx, now, l)
	}
	if !r.sendCalls(ctx, now, bootClock(), l, leaseValid) || now.Before(l.publishDue) {
		return true
	}
	if holderMap, changed := l.coordinator.Map(); changed {
		l.publishDue = now.Add(publishInterval * time.Duration(len(l.members)) / smallFleetSize)
		r.setHolderMap(holderMap)
	}
	return true
}

// renewIfDue starts a renewal of the leader's lease if one is due.
func (r *Router) renewIfDue(ctx context.Context, now time.Time, l *leadership, leaseValid bool) {
	interval, timeout := leaseRenewInterval, storeTimeout
	if !leaseValid {
		interval, timeout = outageRenewInterval, outageRenewTimeout
	}
	if l.renewing || now.Before(l.renewDue) {
		return
	}
	l.renewing, l.renewDue = true, now.Add(interval)
	lease := l.lease
	go func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		sentAt := bootClock()
		err := r.platform.Store.RenewLease(ctx, lease)
		l.renewResults <- renewResult{lease: lease, sentAt: sentAt, err: err}
	}()
}

// handleRenewal processes the outcome of a renewal of the leader's lease.
func (r *Router) handleRenewal(now time.Time, l *leadership, res renewResult) {
	switch {
	case res.err == nil:
		r.mu.Lock()
		l.validUntil = res.sentAt + leaderLeaseTTL - leaseMargin
		r.mu.Unlock()
	case errors.Is(res.err, ErrRestored):
		r.noteRestored(l)
	}
	r.noteStoreResult(now, res.err)
}

// saveRecord stores the ownership record if it has changed.
func (r *Router) saveRecord(ctx context.Context, now time.Time, l *leadership) {
	if l.saving {
		return
	}
	record, onStored, changed := l.coordinator.Save(now)
	if !changed {
		return
	}
	l.saving = true
	l.support.Storing(storedElectorate(record, true, l.term))
	w := Write{Key: ownershipKey, Value: record.Encode(), Expect: l.recordRev}
	term := l.term
	go func() {
		rev, err := r.putWithRetry(ctx, l, w, Condition{Key: leaderKey, Expect: term})
		l.saveResults <- saveResult{term: term, rev: rev, err: err, onStored: onStored}
	}()
}

// putWithRetry repeats a write until its outcome is known. An unanswered write may
// still be executed later, which is harmless as it writes the same value.
func (r *Router) putWithRetry(ctx context.Context, l *leadership, w Write, condition Condition) (fleet.Revision, error) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
		rev, err := r.platform.Store.Put(callCtx, w, condition)
		if errors.Is(err, ErrConflict) {
			var it Item
			if it, err = r.platform.Store.Get(callCtx, w.Key); err == nil {
				rev, err = it.Revision, ErrConflict
				if string(it.Value) == string(w.Value) {
					err = nil
				}
			}
		}
		cancel()
		if err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrRestored) || ctx.Err() != nil {
			return rev, err
		}
		r.log.Warn("storing the ownership record failed", "error", err, "term", condition.Expect)
		select {
		case <-l.stop:
			return 0, err
		case <-time.After(storeRetryDelay):
		}
		r.mu.Lock()
		validUntil := l.validUntil
		r.mu.Unlock()
		if bootClock() > validUntil+leaderLeaseTTL {
			return 0, err
		}
	}
}

// handleSaveResult processes the outcome of a write of the ownership record. It returns
// false if the write failed, since another instance may lead. After a restoration of the
// store the record is stored once this instance has been elected again.
func (r *Router) handleSaveResult(l *leadership, res saveResult) bool {
	l.saving = false
	if res.term != l.term {
		return true
	}
	if errors.Is(res.err, ErrRestored) {
		r.noteRestored(l)
		return true
	}
	if res.err != nil {
		r.log.Warn("storing the ownership record failed", "error", res.err, "term", l.term)
		return false
	}
	l.recordRev = res.rev
	l.support.Stored()
	res.onStored()
	return true
}

// maxCallDelay is how long after its decision a grant or release may be written. If the process
// is suspended in between, the next leader may have moved the keys. It is shorter than
// staleLeaderTime of package keyspace, for which the next leader expects such calls.
const maxCallDelay = time.Second

// errCallLate means that a call was not written within maxCallDelay.
var errCallLate = errors.Errorf("the call was not written within %v of its decision", maxCallDelay)

// checkCall returns errCallLate if a call that was decided on at decidedAt may no longer be
// written. Both times are on the clock of bootClock.
func checkCall(clock, decidedAt time.Duration) error {
	if clock-decidedAt > maxCallDelay {
		return errCallLate
	}
	return nil
}

// sendCalls sends the calls that are due. It sends none and returns false if the lease, which was
// valid at the beginning of the step, has ended since: the process was suspended, and the
// next step decides whether it leads. clock is that of bootClock.
func (r *Router) sendCalls(ctx context.Context, now time.Time, clock time.Duration, l *leadership, leaseWasValid bool) bool {
	if leaseWasValid && clock >= l.validUntil {
		return false
	}
	for _, c := range l.coordinator.Calls(now) {
		r.sendCall(ctx, l, c, clock)
	}
	return true
}

// sendCall sends a grant or release to an upstream, which was decided on at decidedAt on the
// clock of bootClock.
func (r *Router) sendCall(ctx context.Context, l *leadership, c keyspace.Call, decidedAt time.Duration) {
	r.mu.Lock()
	upstream := r.upstreams.Get(c.Upstream)
	addr := ""
	if c.Release || upstream != nil {
		addr = r.upstreams.RunAddr(c.Upstream, c.Boot)
	}
	r.mu.Unlock()
	go func() {
		res := callResult{call: c, result: keyspace.NotSent}
		if addr != "" {
			timeout := grantTimeout
			if c.Release {
				timeout = c.Hold // the answer follows the requests in progress
			}
			sentAt := time.Now()
			callCtx, cancel := context.WithTimeout(ctx, timeout)
			answer, err := r.platform.Holders.Call(callCtx, addr, c, func() error { return checkCall(bootClock(), decidedAt) })
			cancel()
			res.result, res.handover = answer.Result, answer.Handover
			if errors.Is(err, errCallLate) {
				res.result = keyspace.Late
			}
			if upstream != nil {
				r.noteHolderAnswer(sentAt, upstream, answer)
			}
			r.logCall(c, res, err)
		}
		select {
		case l.callResults <- res:
		case <-l.stop:
		case <-ctx.Done():
		}
	}()
}

// noteHolderAnswer records what the answer to a grant or release sent at sentAt says of a
// listed upstream.
func (r *Router) noteHolderAnswer(sentAt time.Time, upstream *balance.Entry, answer HolderResponse) {
	now := time.Now()
	if answer.Leaving {
		r.noteLeaving(now, upstream, "", "grant-call")
	}
	r.notePause(now, upstream, answer.Pause, "", "grant-call")
	r.noteLimit(now, sentAt, upstream, answer.Limit, false, "", "grant-call")
}

// logCall logs and counts the result of a grant or release call.
func (r *Router) logCall(c keyspace.Call, res callResult, err error) {
	r.metrics.countCall(c.Release, res.result)
	if res.result == keyspace.Done && !c.Release && c.Handover == "" {
		return // renewals are too frequent to be logged
	}
	r.log.Info("grant or release call finished", "upstream", c.Upstream, "service", c.Service, "first", c.From, "last", c.To,
		"fence", c.Fence, "release", c.Release, "result", res.result.String(), "warm", res.handover != "" || c.Handover != "", "error", err)
}

// logMoves logs and counts the newly planned moves of key spans.
func (r *Router) logMoves(l *leadership) {
	for _, m := range l.coordinator.Moves() {
		r.metrics.countMove(m.Cause)
		r.log.Info("key span move planned", "service", m.Service, "from", m.From, "to", m.To, "first", m.Span.From, "last", m.Span.To,
			"cause", m.Cause, "rate", m.Rate, "term", l.term)
	}
}

// setCandidates passes the upstreams that may hold keys to the coordinator.
func (r *Router) setCandidates(now time.Time, l *leadership) {
	op := r.operatorState.Load()
	if op == nil || op.Table == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listedAt.IsZero() {
		return
	}
	for id, s := range op.Table.Services {
		if !s.Sharded {
			continue
		}
		l.coordinator.SetUpstreams(now, id, r.holderCandidates(now, id))
		l.coordinator.SetHold(id, grantTTL(op.Table.LongestTarget(id), r.cfg.MaxGrantTTL))
	}
}

// grantTTL returns the validity of the grants of a service. target is the longest target
// latency of its routes, and longest what the platform allows. Work that outlasts the grant
// under which it started fails, however often the grant is renewed; the grant may have been
// renewed up to grantRenewInterval before. Work that ends after the target is late anyway.
func grantTTL(target, longest time.Duration) time.Duration {
	return min(max(minGrantTTL, target+grantRenewInterval), longest)
}

// holderCandidates describes the upstreams of a service to the keyspace coordinator. The
// caller must hold mu.
func (r *Router) holderCandidates(now time.Time, id fleet.ServiceID) []keyspace.Upstream {
	entries := r.upstreams.Service(id)
	mean := 0.0
	for _, e := range entries {
		mean += max(r.upstreams.LongMeanTime(now, e), balance.MinServiceTime) / float64(len(entries))
	}
	var list []keyspace.Upstream
	mayHold := r.versionHolders(id, entries)
	for _, e := range entries {
		s := max(r.upstreams.LongMeanTime(now, e), balance.MinServiceTime)
		list = append(list, keyspace.Upstream{
			ID: e.ID, Boot: e.Boot, Usable: mayHold(e), Cold: e.Cold(now),
			Capacity: r.upstreams.Capacity(now, e).Rate, Speed: mean / s,
		})
	}
	return list
}

// updateMembers removes instances that have stopped reporting, but not while the lease is
// invalid, since no record without them can be stored. It records the current instances if
// their number has grown, or fallen below minRecordedShare of the recorded number.
func (r *Router) updateMembers(now time.Time, l *leadership, leaseValid bool) {
	var current []fleet.Peer
	for id, m := range l.members {
		if leaseValid && now.Sub(m.heardAt) > memberTimeout {
			delete(l.members, id)
			l.rollouts.noteSilent(now, id)
			r.log.Info("instance removed after missing reports", "instance", id)
			continue
		}
		current = append(current, fleet.Peer{ID: id, Addr: m.addr})
	}
	current = mergeInstances(current, l.recordedInstances, now.Sub(l.startedAt))
	shrunk := float64(len(current)) < float64(l.recordedCount)*minRecordedShare
	l.coordinator.SetInstances(current, shrunk || len(current) > l.recordedCount)
	if shrunk || len(current) > l.recordedCount {
		l.recordedCount = len(current)
	}
	r.setInstances(current)
}

// mergeInstances returns the instances that share limits, ordered by ID. reporting are
// those that have reported to the leader. For the first fleetSettleTime of its
// leadership, the recorded ones are included: they use their shares of the limits even
// before they report.
func mergeInstances(reporting, recorded []fleet.Peer, leadingFor time.Duration) []fleet.Peer {
	all := make(map[fleet.InstanceID]fleet.Peer)
	if leadingFor < fleetSettleTime {
		for _, p := range recorded {
			all[p.ID] = p
		}
	}
	for _, p := range reporting {
		all[p.ID] = p
	}
	return slices.SortedFunc(maps.Values(all), func(a, b fleet.Peer) int { return cmp.Compare(a.ID, b.ID) })
}
