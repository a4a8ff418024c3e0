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

	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Keys in the store.
const (
	leaderKey    = "parsley/leader"
	ownershipKey = "parsley/ownership"
)

const (
	// leaderLease is the time after which the instances elect another leader. It is
	// short against the hold of grants, so that they outlast an election.
	leaderLease = 1500 * time.Millisecond
	// leaseMargin is how much earlier a leader stops to rely on its lease.
	leaseMargin = 250 * time.Millisecond
	// keepEvery is the time between two renewals of the lease.
	keepEvery = 400 * time.Millisecond
	// hold is how long grants last. A lost upstream's keys are served again after it;
	// an election must take less.
	hold = 2500 * time.Millisecond
	// renewGrants is the time between two renewals of a grant.
	renewGrants = 500 * time.Millisecond
	// retryGrants is the time after which a call to an upstream that failed is
	// repeated.
	retryGrants = 200 * time.Millisecond
	// orderTimeout bounds a grant, which a busy upstream answers late. releaseTimeout
	// bounds a release, which is answered when the requests in progress have ended.
	orderTimeout   = 800 * time.Millisecond
	releaseTimeout = 2500 * time.Millisecond
	// leadTick is the pace of a leader's calls, planEvery that of its plans.
	leadTick  = 25 * time.Millisecond
	planEvery = 100 * time.Millisecond
	// fleetSettles is the time after which all instances have found a new leader: those
	// that start again with it within a second, others once the former one is silent.
	fleetSettles = 5 * time.Second
	// recordedShare is the part of the recorded number of instances below which a lower
	// one is recorded. Each record is a priced call; a fleet that starts with too high a
	// number refuses that much more until the leader tells the right one.
	recordedShare = 0.8
	// publishEvery is the least time between two maps for each paceInstances instances,
	// since each map is told to all.
	publishEvery = 25 * time.Millisecond
)

// leaderInfo is the leader as an instance knows it.
type leaderInfo struct {
	id    fleet.InstanceID
	addr  string
	term  uint64
	heard time.Time
}

// leadership is the state of the instance that leads. Its loop alone uses owner.
type leadership struct {
	term       uint64 // revision of the leader key
	lease      LeaseID
	validTill  time.Duration // on the boot clock
	owner      *keyspace.Owner
	recordRev  fleet.Revision
	results    chan callResult
	saved      chan saveResult
	kept       chan keepResult
	reports    chan report
	saving     bool
	keeping    bool
	keepDue    time.Time
	planDue    time.Time
	publishDue time.Time // of the next map
	members    map[fleet.InstanceID]member
	began      time.Time
	recorded   []fleet.Peer // the instances, as the former leader recorded them
	// recordedSize is the number of instances that this leader recorded last.
	recordedSize int
	stop         chan struct{} // closed by end
	once         sync.Once
}

// end tells everything that works for the leader that it does not lead any more.
func (l *leadership) end() { l.once.Do(func() { close(l.stop) }) }

// member is what a leader knows of an instance.
type member struct {
	addr     string
	heard    time.Time
	demand   map[fleet.AccountID]float64
	storeAge time.Duration
}

type callResult struct {
	call     keyspace.Call
	result   keyspace.Result
	handover string
}

type saveResult struct {
	rev    fleet.Revision
	err    error
	stored func() // to call if err is nil
}

type keepResult struct {
	asked time.Duration
	err   error
}

// bootClock counts also the time in which the machine is suspended, which the
// monotonic clock of package time leaves out.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}

// abdicate ends the leadership, so that another instance takes over at once.
func (r *Router) abdicate() {
	r.mu.Lock()
	l := r.leadership
	r.mu.Unlock()
	if l == nil {
		return
	}
	l.end()
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := r.out.Store.EndLease(ctx, l.lease); err != nil {
		r.log.Warn("lease not ended", "error", err)
	}
}

// lead decides on key holders until the lease is lost.
func (r *Router) lead(ctx context.Context, l *leadership) {
	r.log.Info("leading", "term", l.term, "record-revision", l.recordRev)
	r.mu.Lock()
	r.leadership, r.totalDemand = l, nil
	r.leader = leaderInfo{id: r.cfg.Instance, addr: r.cfg.PeerListen, term: l.term, heard: time.Now()}
	r.mu.Unlock()
	defer func() {
		l.end()
		r.mu.Lock()
		r.leadership = nil
		r.mu.Unlock()
		r.log.Info("not leading any more", "term", l.term)
	}()
	tick := time.NewTicker(leadTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.stop:
			return
		case res := <-l.results:
			l.owner.Ended(time.Now(), res.call, res.result, res.handover)
		case res := <-l.saved:
			if !r.afterSave(l, res) {
				return
			}
		case res := <-l.kept:
			l.keeping = false
			if errors.Is(res.err, ErrLeaseEnded) {
				return
			}
			if res.err == nil {
				l.validTill = res.asked + leaderLease - leaseMargin
			}
			r.storeAnswered(time.Now(), res.err)
		case rep := <-l.reports:
			r.takeReport(time.Now(), l, rep)
		case <-tick.C:
			if !r.leadStep(ctx, l) {
				return
			}
		}
	}
}

// leadStep does what is due. It returns false if the instance may not lead any
// more.
func (r *Router) leadStep(ctx context.Context, l *leadership) bool {
	now := time.Now()
	if !now.Before(l.keepDue) && !l.keeping {
		l.keeping, l.keepDue = true, now.Add(keepEvery)
		go r.keepLease(ctx, l)
	}
	sure := bootClock() < l.validTill
	if !sure && !r.storeAway(now, l) {
		return false
	}
	if !now.Before(l.planDue) {
		l.planDue = now.Add(planEvery)
		r.takeReport(now, l, r.ownReport(now))
		r.updateMembers(now, l)
		r.sumDemand(now, l)
		r.setCandidates(now, l)
		if sure {
			l.owner.Plan(now)
			r.logMoves(l)
		}
	}
	if sure {
		r.save(ctx, now, l)
	}
	for _, c := range l.owner.Calls(now) {
		r.order(ctx, l, c)
	}
	if now.Before(l.publishDue) {
		return true
	}
	if m, changed := l.owner.Map(); changed {
		l.publishDue = now.Add(publishEvery * time.Duration(len(l.members)) / paceInstances)
		r.setKeys(m)
	}
	return true
}

// storeAway reports whether the store seems to be away for all instances, so that
// nobody else can have been elected: most instances report, and none of them has
// reached the store since this instance did. Instances that rely on the leader ask
// the store themselves once its knowledge is too old.
func (r *Router) storeAway(now time.Time, l *leadership) bool {
	r.mu.Lock()
	own := r.storeSeen
	r.mu.Unlock()
	fresh, silent := 0, r.currentPace()+silenceMargin
	for id, m := range l.members {
		if id != r.cfg.Instance && m.heard.Add(-m.storeAge).After(own.Add(leaseMargin)) {
			return false
		}
		if now.Sub(m.heard) < silent {
			fresh++
		}
	}
	return fresh*2 > len(l.members)
}

func (r *Router) keepLease(ctx context.Context, l *leadership) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	asked := bootClock()
	err := r.out.Store.KeepLease(ctx, l.lease)
	l.kept <- keepResult{asked: asked, err: err}
}

// save stores the record if it changed.
func (r *Router) save(ctx context.Context, now time.Time, l *leadership) {
	if l.saving {
		return
	}
	rec, stored, changed := l.owner.Save(now)
	if !changed {
		return
	}
	l.saving = true
	w := Write{Key: ownershipKey, Value: rec.Encode(), Expect: l.recordRev}
	also := Condition{Key: leaderKey, Expect: fleet.Revision(l.term)}
	go func() {
		rev, err := r.put(ctx, l, w, also)
		l.saved <- saveResult{rev: rev, err: err, stored: stored}
	}()
}

// put repeats a write until its outcome is known. A write without an answer may
// still be carried out, but it is the same one.
func (r *Router) put(ctx context.Context, l *leadership, w Write, also Condition) (fleet.Revision, error) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
		rev, err := r.out.Store.Put(callCtx, w, also)
		if errors.Is(err, ErrConflict) {
			var it Item
			if it, err = r.out.Store.Get(callCtx, w.Key); err == nil {
				rev, err = it.Revision, ErrConflict
				if string(it.Value) == string(w.Value) {
					err = nil
				}
			}
		}
		cancel()
		if err == nil || errors.Is(err, ErrConflict) || ctx.Err() != nil {
			return rev, err
		}
		r.log.Warn("ownership record not stored", "error", err, "term", l.term)
		select {
		case <-l.stop:
			return 0, err
		case <-time.After(storePause):
		}
		if bootClock() > l.validTill+leaderLease {
			return 0, err
		}
	}
}

// afterSave takes over the outcome of a write. It returns false if another
// instance leads.
func (r *Router) afterSave(l *leadership, res saveResult) bool {
	l.saving = false
	if res.err != nil {
		r.log.Warn("ownership record not stored", "error", res.err, "term", l.term)
		return false
	}
	l.recordRev = res.rev
	res.stored()
	return true
}

// order carries out a call to an upstream.
func (r *Router) order(ctx context.Context, l *leadership, c keyspace.Call) {
	r.mu.Lock()
	e := r.upstreams.Get(c.Upstream)
	addr := ""
	if e != nil && e.Boot == c.Boot {
		addr = e.Addr
	}
	r.mu.Unlock()
	go func() {
		res := callResult{call: c, result: keyspace.NotSent}
		if addr != "" {
			timeout := orderTimeout
			if c.Release {
				timeout = releaseTimeout
			}
			callCtx, cancel := context.WithTimeout(ctx, timeout)
			var err error
			res.result, res.handover, err = r.out.Holders.Order(callCtx, addr, c)
			cancel()
			r.logOrder(c, res, err)
		}
		select {
		case l.results <- res:
		case <-l.stop:
		case <-ctx.Done():
		}
	}()
}

func (r *Router) logOrder(c keyspace.Call, res callResult, err error) {
	r.metrics.order(c.Release, res.result)
	if res.result == keyspace.Done && !c.Release && c.Handover == "" {
		return // renewals are many
	}
	r.log.Info("order to upstream", "upstream", c.Upstream, "service", c.Service, "first", c.From, "last", c.To,
		"fence", c.Fence, "release", c.Release, "result", res.result.String(), "warm", res.handover != "" || c.Handover != "", "error", err)
}

func (r *Router) logMoves(l *leadership) {
	for _, m := range l.owner.Moves() {
		r.metrics.moved(m.Cause)
		r.log.Info("keys planned to move", "service", m.Service, "from", m.From, "to", m.To, "first", m.Span.From, "last", m.Span.To,
			"cause", m.Cause, "rate", m.Rate, "term", l.term)
	}
}

// setCandidates tells the owner which upstreams may hold keys.
func (r *Router) setCandidates(now time.Time, l *leadership) {
	op := r.operator.Load()
	if op == nil || op.Table == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listed.IsZero() {
		return
	}
	for id, s := range op.Table.Services {
		if !s.Sharded {
			continue
		}
		l.owner.SetUpstreams(now, id, r.candidates(now, id))
	}
}

// candidates describes the upstreams of a service to the owner of its keys. The
// caller holds mu.
func (r *Router) candidates(now time.Time, id fleet.ServiceID) []keyspace.Upstream {
	entries := r.upstreams.Service(id)
	mean := 0.0
	for _, e := range entries {
		mean += max(r.upstreams.MeanTime(now, e), minServiceTime) / float64(len(entries))
	}
	var list []keyspace.Upstream
	for _, e := range entries {
		s := max(r.upstreams.MeanTime(now, e), minServiceTime)
		list = append(list, keyspace.Upstream{
			ID: e.ID, Boot: e.Boot, Usable: r.upstreams.Usable(e), Cold: e.Cold(now),
			Capacity: float64(e.Slots) / s, Speed: mean / s,
		})
	}
	return list
}

// minServiceTime keeps an upstream that answered at once a few times from
// being planned with all keys; in seconds.
const minServiceTime = 0.005

// updateMembers forgets instances that do not report any more.
func (r *Router) updateMembers(now time.Time, l *leadership) {
	var known []fleet.Peer
	for id, m := range l.members {
		if now.Sub(m.heard) > memberSilent {
			delete(l.members, id)
			r.log.Info("instance lost", "instance", id)
			continue
		}
		known = append(known, fleet.Peer{ID: id, Addr: m.addr})
	}
	known = fleetOf(known, l.recorded, now.Sub(l.began))
	small := float64(len(known)) < float64(l.recordedSize)*recordedShare
	l.owner.SetInstances(known, small || len(known) > l.recordedSize)
	if small || len(known) > l.recordedSize {
		l.recordedSize = len(known)
	}
	r.setInstances(known)
}

// fleetOf returns the instances that share bounds, in the order of their ids, of which
// a leader knows some since it began. Those that have not reported to it yet use
// their parts all the same.
func fleetOf(known, recorded []fleet.Peer, led time.Duration) []fleet.Peer {
	all := make(map[fleet.InstanceID]fleet.Peer)
	if led < fleetSettles {
		for _, p := range recorded {
			all[p.ID] = p
		}
	}
	for _, p := range known {
		all[p.ID] = p
	}
	return slices.SortedFunc(maps.Values(all), func(a, b fleet.Peer) int { return cmp.Compare(a.ID, b.ID) })
}
