package direct

import (
	"context"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
)

const (
	// operatorWait is how long a watch of the operators' wishes waits. A change must
	// be in force within 2 s, also if the watch's connection has gone silent.
	operatorWait = 600 * time.Millisecond
	// storeTimeout is how long an answer of the store may take beyond a wait.
	storeTimeout = 500 * time.Millisecond
	// storePause is the time between two calls after one that failed; it doubles up to
	// maxStorePause while calls fail, since calls to a store that is away are priced.
	storePause    = 150 * time.Millisecond
	maxStorePause = 600 * time.Millisecond
	// lapseGrace is the time after an outage of the store in which registrations that
	// lapsed meanwhile come back. Until then upstreams without one are not gone.
	lapseGrace = 2200 * time.Millisecond
	// lapseAfter is the length of an outage from which on registrations may lapse.
	lapseAfter = time.Second
	// listEvery is the time between two lists of upstreams by the leader. An upstream
	// that leaves must get nothing 2 s after the store accepted that it does.
	listEvery = 500 * time.Millisecond
	// knowledgeMargin is how much older than a report's wait the list and the operators'
	// wishes may be before an instance does not rely on the leader, but reads itself.
	knowledgeMargin = 850 * time.Millisecond
	// firstWait is how long an instance of a fleet that starts for the first time waits
	// for a leader; traffic comes some seconds later.
	firstWait = 3 * time.Second
	// followPace is how often that age is looked at.
	followPace = 50 * time.Millisecond
)

// leads reports whether this instance leads.
func (r *Router) leads() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leadership != nil
}

// awaitOperatorTurn waits until this instance has to ask the store for the
// operators' wishes: always if it leads, else if the leader's knowledge is too old
// or says that there is something new. It reports whether they are to be read
// whole.
func (r *Router) awaitOperatorTurn(ctx context.Context) bool {
	for ctx.Err() == nil && !r.leads() {
		r.mu.Lock()
		age := time.Since(r.operatorChecked)
		r.mu.Unlock()
		if age > r.currentPace()+knowledgeMargin {
			return false
		}
		select {
		case <-ctx.Done():
		case <-r.operatorNow:
			return true
		case <-time.After(followPace):
		}
	}
	return false
}

// recall reads which instances there were, before any request can be
// admitted. An instance that took the fleet for smaller than it is would admit more
// than its part of each limit until the leader tells, and one that knows no homes of
// accounts would refuse nearly all of their requests. The recorded holders of keys
// serve until the leader's map is there, since grants outlast an election.
func (r *Router) recall(ctx context.Context) {
	pause := storePause
	for ctx.Err() == nil {
		rec, _, err := r.readRecord(ctx)
		r.storeAnswered(time.Now(), err)
		if err == nil {
			r.mu.Lock()
			told := len(r.instances) > 0 // the leader knows better
			r.mu.Unlock()
			if !told {
				r.setInstances(rec.Instances)
			}
			if len(rec.Services) > 0 {
				r.setKeys(rec.Map())
			}
			return
		}
		r.log.Debug("ownership record not read", "error", err)
		sleep(ctx, pause)
		pause = min(2*pause, maxStorePause)
	}
}

// followOperator keeps the operators' wishes up to date.
func (r *Router) followOperator(ctx context.Context) {
	if r.cfg.FirstStart { // nothing is recorded, and the leader tells all
		r.awaitLeader(ctx, func() bool { return r.operator.Load() != nil })
	} else {
		r.recall(ctx)
	}
	known := false
	pause := storePause
	for ctx.Err() == nil {
		if known && r.awaitOperatorTurn(ctx) {
			known = false
		}
		cur := r.operator.Load()
		asked := time.Now()
		var next Operator
		var err error
		if !known {
			callCtx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
			next, err = r.out.Store.Operator(callCtx)
			cancel()
		} else {
			callCtx, cancel := context.WithTimeout(ctx, operatorWait+storeTimeout)
			next, err = r.out.Store.FollowOperator(callCtx, *cur, operatorWait)
			cancel()
		}
		r.storeAnswered(time.Now(), err)
		if err != nil {
			r.log.Debug("operator configuration not read", "error", err, "whole", !known, "after", time.Since(asked))
			known = false
			sleep(ctx, pause)
			pause = min(2*pause, maxStorePause)
			r.awaitOperatorTurn(ctx) // the leader may tell them meanwhile
			continue
		}
		pause = storePause
		known = true
		r.setOperator(time.Now(), next)
		if !r.leads() {
			sleep(ctx, storePause) // bounds the calls of a storm of changes
		}
	}
}

// setOperator takes over what the operators want as of now, unless something newer is
// known.
func (r *Router) setOperator(now time.Time, next Operator) {
	r.mu.Lock()
	cur := r.operator.Load()
	if cur != nil && next.Revision < cur.Revision {
		r.mu.Unlock()
		return
	}
	if cur != nil && cur.Table != nil && (next.Table == nil || next.Table.Version < cur.Table.Version) {
		next.Table, next.Source = cur.Table, cur.Source // a configuration is never reverted
	}
	r.operator.Store(&next)
	if next.Table != nil && (cur == nil || cur.Table == nil) {
		close(r.configured)
	}
	r.operatorChecked = later(r.operatorChecked, now)
	if cur.Tag() != next.Tag() {
		r.operatorSeq++
		r.announce()
	}
	for zone := range next.Evacuated {
		if _, seen := r.evacuates[zone]; !seen {
			r.evacuates[zone] = now
			r.log.Info("zone evacuated", "zone", zone, "revision", next.Revision)
		}
	}
	for zone := range r.evacuates {
		if !next.Evacuated[zone] {
			delete(r.evacuates, zone)
			r.log.Info("zone taken back", "zone", zone, "revision", next.Revision)
		}
	}
	r.upstreams.Evacuate(now, next.Evacuated)
	r.mu.Unlock()
	if next.Table != nil && (cur == nil || cur.Table == nil || cur.Table.Version != next.Table.Version) {
		r.log.Info("configuration in force", "version", uint64(next.Table.Version), "revision", next.Revision)
		r.becomeReady()
	}
}

// becomeReady lets the balancer send connections once both the configuration and
// the upstreams are known.
func (r *Router) becomeReady() {
	op := r.operator.Load()
	r.mu.Lock()
	listed := !r.listed.IsZero()
	r.mu.Unlock()
	if op != nil && op.Table != nil && listed && !r.leaving.Load() && !r.ready.Swap(true) {
		r.log.Info("instance is ready")
	}
}

// followUpstreams keeps the list of upstreams up to date.
func (r *Router) followUpstreams(ctx context.Context) {
	if r.cfg.FirstStart {
		r.awaitLeader(ctx, func() bool { return !r.listed.IsZero() })
		r.awaitListTurn(ctx)
	}
	pause := storePause
	for ctx.Err() == nil {
		asked := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		list, unreadable, err := r.out.Store.Upstreams(callCtx)
		cancel()
		r.storeAnswered(time.Now(), err)
		if err != nil {
			r.log.Debug("upstreams not listed", "error", err, "after", time.Since(asked))
			sleep(ctx, pause)
			pause = min(2*pause, maxStorePause)
			r.awaitListTurn(ctx) // the leader may tell it meanwhile
			continue
		}
		pause = storePause
		for _, problem := range unreadable {
			r.log.Debug("entry of an upstream ignored", "error", problem)
		}
		r.mu.Lock()
		r.ownList = true
		r.mu.Unlock()
		r.setUpstreams(time.Now(), asked, list)
		r.awaitListTurn(ctx)
	}
}

// awaitLeader gives the first leader of a fleet the time to tell what told looks for,
// so that it alone reads the store. told is called with mu held.
func (r *Router) awaitLeader(ctx context.Context, told func() bool) {
	for end := time.Now().Add(firstWait); ctx.Err() == nil; {
		r.mu.Lock()
		heard := time.Since(r.leader.heard) < pace(len(r.instances))+silenceMargin
		done := r.leadership != nil || told() || !heard && time.Now().After(end)
		r.mu.Unlock()
		if done {
			return
		}
		sleep(ctx, followPace)
	}
}

// awaitListTurn waits until this instance has to read the list.
func (r *Router) awaitListTurn(ctx context.Context) {
	for ctx.Err() == nil {
		limit := r.currentPace() + knowledgeMargin
		if r.leads() {
			limit = listEvery
		}
		r.mu.Lock()
		age := time.Since(r.listed)
		r.mu.Unlock()
		if age >= limit {
			return
		}
		sleep(ctx, min(followPace, limit-age))
	}
}

func (r *Router) setUpstreams(now, asked time.Time, list []balance.Registration) {
	r.mu.Lock()
	if now.Sub(r.outageEnded) < lapseGrace {
		list = r.upstreams.KeepMissing(list)
	}
	changes := r.upstreams.Replace(now, list)
	r.setListed(asked)
	if r.shared.update(now, list) {
		r.announce()
	}
	for _, c := range changes {
		switch c.What {
		case "draining", "gone":
			if _, seen := r.leaves[c.ID]; !seen {
				r.leaves[c.ID] = now
			}
		case "new", "restarted":
			delete(r.leaves, c.ID)
		}
	}
	r.mu.Unlock()
	for _, c := range changes {
		r.log.Info("upstream changed", "upstream", c.ID, "change", c.What)
	}
	r.becomeReady()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
