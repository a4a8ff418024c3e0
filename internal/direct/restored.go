package direct

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/quorum"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// When the store is restored from a copy, the leader's lease, its key and the last
// ownership records may be gone, and a former leader's may be back. Only the leader still
// knows who holds which keys. It therefore has itself elected again and stores what it
// knows, while the grants continue to be renewed. A leader that is elected in its place
// does not trust the restored record and waits until all grants have expired; see
// keyspace.NewCoordinator.

// reelectionTimeout is the longest time for which a leader tries to be elected again. It
// is part of the time for which another one waits.
const reelectionTimeout = time.Second

// electionResult is the result of an attempt to be elected again.
type electionResult struct {
	election  election
	recordRev fleet.Revision // of the ownership record in the restored store; 0 if there is none
	err       error
}

// noteRestored records that the lease of a leader is from an earlier era of the store.
func (r *Router) noteRestored(l *leadership) {
	if l.restoredAt > 0 {
		return
	}
	l.restoredAt, l.electionDue = bootClock(), time.Time{}
	r.log.Warn("the store was restored from a copy", "term", l.term)
	r.mu.Lock()
	l.restorations++
	r.wakeReports() // so that followers report again
	r.mu.Unlock()
}

// seekReelection starts the next attempt to be elected again, if one is due. It returns
// false if the leadership has ended.
//
// The lease of a leader that did not run for a while may have expired before the store
// was restored, so that the last leader is another one. Such a leader is not followed any
// more: the attempts start only once most instances have reported since, and have
// received a reply that was sent since, as an earlier report may have been held up.
func (r *Router) seekReelection(ctx context.Context, now time.Time, l *leadership) bool {
	if bootClock()-l.restoredAt > reelectionTimeout {
		return false
	}
	reporting := 0
	for id, m := range l.members {
		if id == r.cfg.Instance || m.restorations == l.restorations {
			reporting++
		}
	}
	if l.electing || now.Before(l.electionDue) || reporting*2 <= len(l.members) {
		return true
	}
	l.electing, l.electionDue = true, now.Add(storeRetryDelay)
	go func() {
		var res electionResult
		if res.election, res.err = r.elect(ctx); res.err == nil {
			res.recordRev, res.err = r.ownershipRevision(ctx)
			for res.err != nil && bootClock() < res.election.validUntil && ctx.Err() == nil {
				sleep(ctx, storeRetryDelay)
				res.recordRev, res.err = r.ownershipRevision(ctx)
			}
		}
		l.elections <- res
	}()
	return true
}

// ownershipRevision returns the revision of the stored ownership record, 0 if there is
// none.
func (r *Router) ownershipRevision(ctx context.Context) (fleet.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	it, err := r.platform.Store.Get(ctx, ownershipKey)
	if errors.Is(err, ErrNotFound) {
		return 0, nil
	}
	return it.Revision, err
}

// handleElection processes the outcome of an attempt to be elected again. It returns
// false if another instance was elected.
func (r *Router) handleElection(now time.Time, l *leadership, res electionResult) bool {
	l.electing = false
	if res.err != nil {
		r.log.Warn("election attempt failed", "error", res.err)
		return !errors.Is(res.err, ErrConflict)
	}
	r.mu.Lock()
	l.term, l.lease, l.validUntil = res.election.term, res.election.lease, res.election.validUntil
	r.leader.term, r.leader.heardAt = l.term, now
	r.mu.Unlock()
	l.recordRev, l.restoredAt, l.renewDue = res.recordRev, 0, now
	l.support = quorum.NewSupport(r.cfg.Instance, quorum.Electorate{}) // its record is not in the restored store
	l.coordinator.Reelected(l.term)
	r.log.Info("leading", "term", l.term, "record-revision", l.recordRev)
	return true
}
