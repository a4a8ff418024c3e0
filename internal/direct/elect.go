package direct

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/internal/quorum"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// electionJitter is the range of the random delay before an instance becomes a
	// candidate, so that most instances find a leader already elected.
	electionJitter = 150 * time.Millisecond
	// minLeaderCores is the number of CPU cores with which an instance can lead about
	// 70 others: a report from each every 0.7 s, and 300 grants per second.
	minLeaderCores = 0.6
	// maxCandidacyDelay is the additional delay of an instance without any CPU share.
	// It exceeds electionJitter plus the 300 ms within which instances start, so that
	// an instance with minLeaderCores is elected first.
	maxCandidacyDelay = 700 * time.Millisecond
	// leaderKeyPoll is the time between two reads of the leader key while the known
	// leader is silent. Its lease ends within leaderLeaseTTL.
	leaderKeyPoll = 300 * time.Millisecond
)

// candidacyDelay returns the additional delay with which an instance with the given
// number of CPU cores becomes a candidate. n is the number of instances, 0 if unknown.
// In a small fleet the delay is 0, since any instance can lead it.
func candidacyDelay(cores float64, n int) time.Duration {
	if cores >= minLeaderCores || n > 0 && n <= smallFleetSize {
		return 0
	}
	return time.Duration((1 - cores/minLeaderCores) * float64(maxCandidacyDelay))
}

// leadOrFollow runs elections and leads or follows the elected leader until ctx ends.
func (r *Router) leadOrFollow(ctx context.Context) {
	for ctx.Err() == nil {
		if l := r.findLeader(ctx); l != nil {
			r.lead(ctx, l)
			continue
		}
		r.follow(ctx)
	}
}

// findLeader waits until a leader is known, campaigning if there is none. It returns a
// leadership if this instance was elected, and nil if another one leads.
func (r *Router) findLeader(ctx context.Context) *leadership {
	for ctx.Err() == nil {
		if r.followAnnounced() {
			return nil
		}
		info, _, err := r.readLeader(ctx)
		switch {
		case err == nil && r.isSilentLeader(info):
			sleep(ctx, leaderKeyPoll)
			continue
		case err == nil && info.id != r.cfg.Instance:
			r.setLeader(info)
			return nil
		case err == nil: // written by this instance before its restart; that lease will expire
			sleep(ctx, storeRetryDelay)
			continue
		case !errors.Is(err, ErrNotFound):
			r.log.Warn("reading the leader key failed", "error", err)
			if r.findLeaderThroughPeers(ctx) {
				return nil
			}
			sleep(ctx, 2*storeRetryDelay)
			continue
		}
		if r.shuttingDown.Load() {
			sleep(ctx, electionJitter)
			continue
		}
		l, err := r.campaign(ctx)
		if err == nil {
			return l
		}
		if !errors.Is(err, ErrConflict) {
			r.log.Warn("election attempt failed", "error", err)
			sleep(ctx, storeRetryDelay)
		}
	}
	return nil
}

// isSilentLeader reports whether info is the leader that stopped answering this
// instance and whose lease may not have expired yet.
func (r *Router) isSilentLeader(info leaderInfo) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return info.term == r.leader.term && time.Since(r.leader.heardAt) < longPollWait(len(r.instances))+leaderSilenceMargin+leaderLeaseTTL
}

// readLeader reads the leader key, and also returns its revision. It returns ErrNotFound
// if the key does not exist, or if the store has been restored from a copy since the
// leader was elected: the election does not bind the restored store, which may lack the
// election of a successor.
func (r *Router) readLeader(ctx context.Context) (leaderInfo, fleet.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	it, err := r.platform.Store.Get(ctx, leaderKey)
	if !errors.Is(err, ErrNotFound) {
		r.noteStoreResult(time.Now(), err)
	}
	if err != nil {
		return leaderInfo{}, 0, err
	}
	fields := strings.Fields(string(it.Value))
	if len(fields) != 3 {
		return leaderInfo{}, 0, errors.Errorf("%s: want an instance ID, an address and a lease ID, not %q", leaderKey, it.Value)
	}
	if _, era, known := strings.Cut(fields[2], "/"); known && era != strconv.FormatUint(uint64(it.Revision.Era()), 10) {
		return leaderInfo{}, it.Revision, ErrNotFound
	}
	return leaderInfo{id: fleet.InstanceID(fields[0]), addr: fields[1], term: it.Revision, heardAt: time.Now()}, it.Revision, nil
}

// leaderValue returns the value of the leader key. The era states in which the lease is
// valid; a restored store contains keys of earlier eras.
func (r *Router) leaderValue(l Lease) string {
	return fmt.Sprintf("%s %s %d/%d", r.cfg.Instance, r.cfg.PeerListen, l.ID, l.Era)
}

func (r *Router) setLeader(info leaderInfo) {
	r.mu.Lock()
	r.noteEra(info.heardAt, info.term.Era())
	changed := r.leader.term != info.term
	if changed {
		r.noteFormerLeader()
	}
	r.leader = info
	if changed {
		r.demandReportedAt = time.Time{} // no demand has been reported to this leader
	}
	r.mu.Unlock()
	if changed {
		r.log.Info("following leader", "leader", info.id, "term", info.term)
	}
}

// election is a successful election of this instance.
type election struct {
	term       fleet.Revision // of the leader key
	lease      Lease
	validUntil time.Duration // on the clock of bootClock
}

// elect makes this instance the leader: it acquires a lease and writes the leader key. It
// returns ErrConflict if there is another leader.
func (r *Router) elect(ctx context.Context) (election, error) {
	_, key, err := r.readLeader(ctx)
	if err == nil {
		err = ErrConflict
	}
	if !errors.Is(err, ErrNotFound) {
		return election{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	requestedAt := bootClock()
	lease, err := r.platform.Store.NewLease(ctx, max(leaderLeaseTTL, r.cfg.MinLeaseTTL))
	if err != nil {
		return election{}, err
	}
	validUntil := requestedAt + leaderLeaseTTL - leaseMargin
	term, err := r.putLeaderKey(ctx, Write{Key: leaderKey, Value: []byte(r.leaderValue(lease)), Expect: key, Lease: lease}, validUntil)
	return election{term: term, lease: lease, validUntil: validUntil}, err
}

// campaign tries to become the leader: it waits for its candidacy delay, has itself
// elected and loads the ownership record. It returns ErrConflict if there is another
// leader.
func (r *Router) campaign(ctx context.Context) (*leadership, error) {
	r.mu.Lock()
	delay := candidacyDelay(r.cfg.CPUCores, len(r.instances)) + time.Duration(r.rng.Int64N(int64(electionJitter)))
	r.mu.Unlock()
	sleep(ctx, delay)
	won, err := r.elect(ctx)
	if err != nil {
		return nil, err
	}
	l := &leadership{
		term: won.term, lease: won.lease, validUntil: won.validUntil, elections: make(chan electionResult, 1),
		callResults: make(chan callResult, 64), saveResults: make(chan saveResult, 1), renewResults: make(chan renewResult, 1),
		reports: make(chan report, 64), members: make(map[fleet.InstanceID]member), startedAt: time.Now(), stop: make(chan struct{}),
		rollouts: newRolloutLeader(),
	}
	record, recordRev, err := r.readOwnership(ctx)
	for err != nil && bootClock() < won.validUntil && ctx.Err() == nil {
		r.log.Warn("reading the ownership record failed", "error", err, "term", l.term)
		sleep(ctx, storeRetryDelay)
		record, recordRev, err = r.readOwnership(ctx)
	}
	if err != nil {
		return nil, err
	}
	if recordRev == 0 && r.isFirstElection(l.term) {
		record.Era = l.term.Era()
	}
	if record.Era != l.term.Era() {
		r.mu.Lock()
		record.Instances = mergeInstances(r.instances, record.Instances, 0)
		r.mu.Unlock()
		r.log.Warn("ownership record is from before the store was restored", "record-era", uint64(record.Era), "term", l.term)
	}
	l.support = quorum.NewSupport(r.cfg.Instance, storedElectorate(record, recordRev != 0, l.term))
	l.succession = quorum.NewSuccession(l.startedAt, formerElectorate(record, recordRev != 0, l.term))
	l.announceDue = l.startedAt.Add(announceInterval)
	l.recordRev, l.recordedInstances, l.recordedCount = recordRev, record.Instances, len(record.Instances)
	l.coordinator = keyspace.NewCoordinator(l.startedAt, l.term, keyspace.Timing{
		Hold: min(minGrantTTL, r.cfg.MaxGrantTTL), Renew: grantRenewInterval, Retry: grantRetryDelay, UnknownHold: r.longestGrantTTL(), FormerLead: l.succession.FormerEnd().Sub(l.startedAt),
	}, record)
	return l, nil
}

// longestGrantTTL returns the longest validity of grants that a leader may have requested.
func (r *Router) longestGrantTTL() time.Duration {
	op := r.operatorState.Load()
	if op == nil || op.Table == nil {
		return r.cfg.MaxGrantTTL
	}
	longest := time.Duration(0)
	for id, s := range op.Table.Services {
		if s.Sharded {
			longest = max(longest, grantTTL(op.Table.LongestTarget(id), r.cfg.MaxGrantTTL))
		}
	}
	return longest
}

// isFirstElection reports whether no record can have been lost before the given term: the
// whole fleet has started for the first time, and this instance knows no earlier era.
func (r *Router) isFirstElection(term fleet.Revision) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.FirstStart && (!r.eraKnown || r.firstEra == term.Era())
}

// putLeaderKey writes the leader key. If the answer is lost, it reads the key to find
// out whether the write was executed: the value contains the lease ID, so no other
// write has the same one.
func (r *Router) putLeaderKey(ctx context.Context, w Write, validUntil time.Duration) (fleet.Revision, error) {
	rev, err := r.platform.Store.Put(ctx, w)
	for err != nil && !errors.Is(err, ErrConflict) && !errors.Is(err, ErrRefused) && !errors.Is(err, ErrRestored) && bootClock() < validUntil && ctx.Err() == nil {
		it, readErr := r.platform.Store.Get(ctx, w.Key)
		switch {
		case readErr == nil && it.Revision.Era() != w.Lease.Era:
			return 0, ErrRestored
		case readErr == nil && string(it.Value) == string(w.Value):
			return it.Revision, nil
		case readErr == nil:
			return 0, ErrConflict
		case errors.Is(readErr, ErrNotFound):
			return 0, err
		}
		sleep(ctx, storeRetryDelay)
	}
	return rev, err
}

// readOwnership reads the ownership record of the leaders and its revision, 0 if none
// has been stored.
func (r *Router) readOwnership(ctx context.Context) (keyspace.Record, fleet.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	it, err := r.platform.Store.Get(ctx, ownershipKey)
	if errors.Is(err, ErrNotFound) {
		return keyspace.Record{}, 0, nil
	}
	if err != nil {
		return keyspace.Record{}, 0, err
	}
	record, err := keyspace.DecodeRecord(it.Value)
	return record, it.Revision, err
}
