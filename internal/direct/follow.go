package direct

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// operatorWatchWait is the longest duration of one watch for changes of the
	// operator state. A change must take effect within 2 s, even if the watch's
	// connection has silently failed.
	operatorWatchWait = 600 * time.Millisecond
	// storeTimeout bounds a store call, not counting the wait of a watch.
	storeTimeout = 500 * time.Millisecond
	// storeRetryDelay is the delay before a failed store call is repeated. It doubles
	// up to maxStoreRetryDelay while calls fail, since the platform charges for each
	// call, even while the store is unavailable.
	storeRetryDelay    = 150 * time.Millisecond
	maxStoreRetryDelay = 600 * time.Millisecond
	// fleetRetryDelay and maxFleetRetryDelay bound the two in a large fleet. Changes are
	// binding again 3 s after the end of an outage at the earliest.
	fleetRetryDelay    = 900 * time.Millisecond
	maxFleetRetryDelay = 2 * time.Second
	// reregistrationGrace is the time after a store outage within which upstreams whose
	// registrations expired meanwhile register again. Until it is over, upstreams
	// missing from the list are kept.
	reregistrationGrace = 2200 * time.Millisecond
	// rewriteTime is the time after a restoration of the store within which operators
	// write the changes again that it has lost.
	rewriteTime = 2200 * time.Millisecond
	// evacuationMemory is how long before a restoration the end of an evacuation may be
	// lost by it. Copies are some seconds old.
	evacuationMemory = time.Minute
	// restoredEntryTime is the time after a restoration within which registrations of
	// upstreams that have left may be listed again. They expire after three heartbeat
	// intervals.
	restoredEntryTime = 6 * time.Second
	// minLapseOutage is the shortest outage during which registrations may expire.
	minLapseOutage = time.Second
	// listInterval is the time between two lists of upstreams by the leader.
	listInterval = 500 * time.Millisecond
	// stalenessMargin is added to the duration of a long poll: if the list of upstreams
	// or the operator state is older than both together, the instance reads it from the
	// store instead of relying on the leader.
	stalenessMargin = 850 * time.Millisecond
	// firstLeaderWait is how long an instance waits for a leader when the fleet starts
	// for the first time. Requests arrive only some seconds later.
	firstLeaderWait = 3 * time.Second
	// stalenessPoll is the interval at which these ages are checked.
	stalenessPoll = 50 * time.Millisecond
)

// isLeader reports whether this instance is the leader.
func (r *Router) isLeader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leadership != nil
}

// awaitOperatorReadDue waits until this instance has to read the operator state from
// the store: immediately if it leads, else once the state received from the leader is
// stale or a read was requested. It reports whether the complete state has to be read.
func (r *Router) awaitOperatorReadDue(ctx context.Context) bool {
	for ctx.Err() == nil && !r.isLeader() {
		r.mu.Lock()
		age := time.Since(r.operatorConfirmedAt)
		r.mu.Unlock()
		if age > r.currentLongPollWait()+stalenessMargin {
			return false
		}
		select {
		case <-ctx.Done():
		case <-r.operatorReadRequests:
			return true
		case <-time.After(stalenessPoll):
		}
	}
	return false
}

// storeRetryDelays returns the delay before one of n instances repeats a failed store call
// for the first time, and the longest delay. In a large fleet they grow with n, so that all
// instances together make no more calls.
func storeRetryDelays(n int) (first, longest time.Duration) {
	scale := max(1, float64(n)/smallFleetSize)
	return min(time.Duration(scale*float64(storeRetryDelay)), fleetRetryDelay), min(time.Duration(scale*float64(maxStoreRetryDelay)), maxFleetRetryDelay)
}

// storeRetry is the delay of a loop that repeats store calls until one succeeds. The leader,
// on whose calls the others rely, and an instance that is not ready repeat them as in a
// small fleet.
type storeRetry struct {
	r     *Router
	delay time.Duration // 0 after a successful call
}

func (s *storeRetry) succeeded() { s.delay = 0 }

// wait waits for the next repetition.
func (s *storeRetry) wait(ctx context.Context) {
	s.r.mu.Lock()
	n := len(s.r.instances)
	if s.r.leadership != nil || !s.r.ready.Load() {
		n = 0
	}
	s.r.mu.Unlock()
	first, longest := storeRetryDelays(n)
	s.delay = max(first, min(2*s.delay, longest))
	sleep(ctx, s.delay)
}

// loadOwnership loads the instances and key holders of the stored ownership record
// before any request can be admitted. Without the instances, this one would assume a
// smaller fleet and admit more than its share of each limit until the leader replies;
// and without the homes of accounts, it would refuse nearly all of their requests. The
// recorded holders are used until the leader's map arrives, since grants outlast an
// election.
func (r *Router) loadOwnership(ctx context.Context) {
	retry := storeRetry{r: r}
	for ctx.Err() == nil {
		record, _, err := r.readOwnership(ctx)
		r.noteStoreResult(time.Now(), err)
		if err == nil {
			r.mu.Lock()
			received := len(r.instances) > 0 // the leader's list is newer
			r.mu.Unlock()
			if !received {
				r.setInstances(record.Instances)
			}
			if len(record.Services) > 0 {
				r.setHolderMap(record.Map())
			}
			return
		}
		r.log.Debug("reading the ownership record failed", "error", err)
		retry.wait(ctx)
	}
}

// syncOperator keeps the operator state up to date.
func (r *Router) syncOperator(ctx context.Context) {
	if r.cfg.FirstStart { // nothing has been recorded; the leader sends the complete state
		r.awaitLeader(ctx, func() bool { return r.operatorState.Load() != nil })
	} else {
		r.loadOwnership(ctx)
	}
	known := false
	retry := storeRetry{r: r}
	for ctx.Err() == nil {
		if known && r.awaitOperatorReadDue(ctx) {
			known = false
		}
		cur := r.operatorState.Load()
		requestedAt := time.Now()
		var next OperatorState
		var err error
		if !known {
			callCtx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
			next, err = r.platform.Store.ReadOperatorState(callCtx)
			cancel()
		} else {
			callCtx, cancel := context.WithTimeout(ctx, operatorWatchWait+storeTimeout)
			next, err = r.platform.Store.WatchOperatorState(callCtx, *cur, operatorWatchWait)
			cancel()
		}
		r.noteStoreResult(time.Now(), err)
		if err != nil {
			r.log.Debug("reading the operator state failed", "error", err, "whole", !known, "after", time.Since(requestedAt))
			known = false
			if errors.Is(err, ErrRestored) {
				continue // the complete state can be read at once
			}
			retry.wait(ctx)
			r.awaitOperatorReadDue(ctx) // the leader may send the state meanwhile
			continue
		}
		retry.succeeded()
		if next.Invalid != nil {
			r.noteInvalid(time.Now(), entryConfiguration, []error{next.Invalid})
		}
		r.noteInvalid(time.Now(), entryRollout, next.InvalidOrders)
		r.setOperatorState(time.Now(), r.holdEvacuations(requestedAt, next))
		known = !r.evacuationsHeld(requestedAt) // else the store's evacuations are still to be applied
		if !r.isLeader() || !known {
			sleep(ctx, storeRetryDelay) // bounds the rate of store calls under frequent changes
		}
	}
}

// holdEvacuations returns next, which was read from the store at now. If the store was
// restored from a copy, it may lack evacuations and contain some that have ended;
// operators write the lost changes again within rewriteTime. Until then, the known
// evacuations stay, and those that ended within evacuationMemory do not begin again.
func (r *Router) holdEvacuations(now time.Time, next OperatorState) OperatorState {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteEra(now, next.Revision.Era())
	cur := r.operatorState.Load()
	if cur == nil || !now.Before(r.evacuationsHeldUntil) {
		return next
	}
	held := make(map[fleet.ZoneID]bool)
	maps.Copy(held, cur.Evacuated)
	for zone := range next.Evacuated {
		if endedAt, ended := r.evacuationEndedAt[zone]; !ended || now.Sub(endedAt) > evacuationMemory {
			held[zone] = true
		}
	}
	next.Evacuated = held
	next.Orders = withKnownOrders(next.Orders, cur.Orders)
	return next
}

// evacuationsHeld reports whether the evacuations in the store may be outdated because
// it was restored from a copy.
func (r *Router) evacuationsHeld(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.evacuationsHeldUntil)
}

// setOperatorState applies the operator state, known to be current as of now, unless a
// newer one has been applied.
func (r *Router) setOperatorState(now time.Time, next OperatorState) {
	r.mu.Lock()
	cur := r.operatorState.Load()
	if cur != nil && next.Revision < cur.Revision {
		// A newer configuration counts nevertheless: the store may have been restored from
		// a copy, so that this instance has read an older one at a later revision.
		if next.Table == nil || cur.Table != nil && next.Table.Version <= cur.Table.Version {
			r.mu.Unlock()
			return
		}
		next.Evacuated, next.Orders, next.Revision = cur.Evacuated, cur.Orders, cur.Revision
	}
	if cur != nil && cur.Table != nil && (next.Table == nil || next.Table.Version < cur.Table.Version) {
		next.Table, next.Source = cur.Table, cur.Source // a configuration is never replaced by an older one
	}
	r.operatorState.Store(&next)
	if next.Table != nil && (cur == nil || cur.Table == nil) {
		close(r.configured)
	}
	notBefore := r.operatorConfirmedAt // of the changes
	if notBefore.IsZero() || notBefore.After(now) {
		notBefore = now
	}
	r.operatorConfirmedAt = latest(r.operatorConfirmedAt, now)
	if cur.Tag() != next.Tag() {
		r.operatorSeq++
		r.wakeReports()
	}
	for zone := range next.Evacuated {
		if _, seen := r.evacuatedSince[zone]; !seen {
			r.evacuatedSince[zone] = notBefore
			r.log.Info("zone evacuated", "zone", zone, "revision", next.Revision)
		}
	}
	for zone := range r.evacuatedSince {
		if !next.Evacuated[zone] {
			delete(r.evacuatedSince, zone)
			r.evacuationEndedAt[zone] = now
			r.log.Info("zone evacuation ended", "zone", zone, "revision", next.Revision)
		}
	}
	r.upstreams.Evacuate(now, next.Evacuated)
	if callers := r.callers.Load(); callers != nil && next.Table != nil {
		callers.SetLimits(callerLimits(next.Table.Limits))
	}
	r.mu.Unlock()
	if next.Table != nil && (cur == nil || cur.Table == nil || cur.Table.Version != next.Table.Version) {
		r.log.Info("configuration in force", "version", uint64(next.Table.Version), "revision", next.Revision)
		if problems := next.Table.Problems; len(problems) > 0 {
			r.log.Warn("configuration is served with restrictions", "version", uint64(next.Table.Version), "restrictions", len(problems),
				"examples", strings.Join(problems[:min(len(problems), maxLoggedInvalid)], "; "))
		}
		r.updateReadiness()
	}
}

// updateReadiness marks the instance as ready for the platform's balancer once both the
// configuration and the upstreams are known.
func (r *Router) updateReadiness() {
	op := r.operatorState.Load()
	r.mu.Lock()
	listed := !r.listedAt.IsZero()
	r.mu.Unlock()
	if op != nil && op.Table != nil && listed && !r.shuttingDown.Load() && !r.ready.Swap(true) {
		r.log.Info("instance is ready")
	}
}

// syncUpstreams keeps the list of upstreams up to date.
func (r *Router) syncUpstreams(ctx context.Context) {
	if r.cfg.FirstStart {
		r.awaitLeader(ctx, func() bool { return !r.listedAt.IsZero() })
		r.awaitListReadDue(ctx)
	}
	retry := storeRetry{r: r}
	for ctx.Err() == nil {
		requestedAt := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		list, err := r.platform.Store.Upstreams(callCtx)
		cancel()
		r.noteStoreResult(time.Now(), err)
		if err != nil {
			r.log.Debug("listing the upstreams failed", "error", err, "after", time.Since(requestedAt))
			retry.wait(ctx)
			r.awaitListReadDue(ctx) // the leader may send the list meanwhile
			continue
		}
		retry.succeeded()
		r.noteInvalid(time.Now(), entryUpstream, list.Invalid)
		r.mu.Lock()
		r.listFromStore = true
		r.noteEra(time.Now(), list.Era)
		r.outageEndedAt = latest(r.outageEndedAt, r.restoredAt) // the leader's lists are complete already
		r.mu.Unlock()
		r.setUpstreams(time.Now(), requestedAt, list.Upstreams)
		r.awaitListReadDue(ctx)
	}
}

// awaitLeader gives the first leader of a new fleet time to send the state for which
// received checks, so that only the leader reads the store. received is called with mu
// held.
func (r *Router) awaitLeader(ctx context.Context, received func() bool) {
	for end := time.Now().Add(firstLeaderWait); ctx.Err() == nil; {
		r.mu.Lock()
		leaderAnswers := time.Since(r.leader.heardAt) < longPollWait(len(r.instances))+leaderSilenceMargin
		done := r.leadership != nil || received() || !leaderAnswers && time.Now().After(end)
		r.mu.Unlock()
		if done {
			return
		}
		sleep(ctx, stalenessPoll)
	}
}

// awaitListReadDue waits until this instance has to read the list of upstreams from the
// store.
func (r *Router) awaitListReadDue(ctx context.Context) {
	for ctx.Err() == nil {
		limit := listInterval
		leads := r.isLeader()
		r.mu.Lock()
		if !leads {
			limit = listAgeLimit(len(r.instances), r.cfg.LeavingUse)
		}
		age := time.Since(r.listedAt)
		r.mu.Unlock()
		if age >= limit {
			return
		}
		sleep(ctx, min(stalenessPoll, limit-age))
	}
}

// listAgeLimit returns the age of its list at which one of n instances reads the list from
// the store. An upstream that started to leave just after this list must not be sent
// requests once leavingUse has passed, when the instance has noticed the age, read the
// list and sent the requests that it had already decided on.
func listAgeLimit(n int, leavingUse time.Duration) time.Duration {
	return max(listInterval, min(longPollWait(n)+stalenessMargin, leavingUse-stalenessPoll-storeTimeout-sendMargin))
}

// noteEra records the era of the store, as the store or the leader states it. What is read
// from a restored store is incomplete until others have written again what it has lost.
// The caller must hold mu.
func (r *Router) noteEra(now time.Time, era fleet.Era) {
	if r.eraKnown && era > r.era {
		r.restoredAt, r.evacuationsHeldUntil = now, now.Add(rewriteTime)
	}
	if !r.eraKnown {
		r.firstEra, r.eraKnown = era, true
	}
	r.era = max(r.era, era)
}

// adjustList returns list with the upstreams that it lacks because of an outage or a
// restoration of the store, and without those that it contains because of a restoration.
// The list has to be applied again when these no longer count, also if it does not
// change. The caller must hold mu.
func (r *Router) adjustList(now time.Time, list []balance.Registration) []balance.Registration {
	r.listDue = time.Time{}
	if end := r.restoredAt.Add(restoredEntryTime); now.Before(end) {
		if kept := r.upstreams.WithoutDeparted(list, r.restoredAt); len(kept) < len(list) {
			list, r.listDue = kept, end
		}
	}
	if end := r.outageEndedAt.Add(reregistrationGrace); now.Before(end) {
		if kept := r.upstreams.KeepMissing(list); len(kept) > len(list) {
			list, r.listDue = kept, end
		}
	}
	return list
}

// setUpstreams applies a list of upstreams, received at now. requestedAt is when the
// list was requested from the store, by this instance or the leader.
func (r *Router) setUpstreams(now, requestedAt time.Time, list []balance.Registration) {
	r.mu.Lock()
	list = r.adjustList(now, r.upstreams.KeepDraining(list))
	changes := r.upstreams.Replace(now, list)
	r.classifyVersions(now)
	r.pruneLimits()
	r.setListedAt(requestedAt)
	if r.leaderList.update(now, list) {
		r.wakeReports()
	}
	r.mu.Unlock()
	for _, c := range changes {
		fields := []any{"upstream", c.ID, "change", c.Kind}
		switch c.Kind {
		case "draining":
			fields = append(fields, "learned-after-ms", c.LearnedAfter.Milliseconds())
		case "gone":
			fields = append(fields, "learned-after-ms", c.LearnedAfter.Milliseconds(), "used-for-ms", c.UsedFor.Milliseconds())
			r.metrics.leavingUse.Observe(c.UsedFor.Seconds())
		}
		r.log.Info("upstream registration changed", fields...)
	}
	r.updateReadiness()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
