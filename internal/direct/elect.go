package direct

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// electionSpread spreads the candidates, most of whom find a leader then.
	electionSpread = 150 * time.Millisecond
	// leaderCores is the processor time, in cores, with which an instance leads some
	// 70 others: a report from each every 0.7 s and 300 grants a second.
	leaderCores = 0.6
	// weakHandicap is how much later than leaderCores an instance without any processor
	// time would become a candidate. It exceeds electionSpread and the 300 ms within
	// which instances start.
	weakHandicap = 700 * time.Millisecond
	// vacancyPoll is the time between two looks at the leader key of a leader that is
	// silent. Its lease ends within leaderLease.
	vacancyPoll = 300 * time.Millisecond
)

// handicap returns how much later than others an instance with so many cores
// becomes a candidate among n instances, 0 if their number is not known. Every
// instance leads few others well enough.
func handicap(cores float64, n int) time.Duration {
	if cores >= leaderCores || n > 0 && n <= paceInstances {
		return 0
	}
	return time.Duration((1 - cores/leaderCores) * float64(weakHandicap))
}

// coordinate follows the leader, or leads.
func (r *Router) coordinate(ctx context.Context) {
	for ctx.Err() == nil {
		if l := r.findLeader(ctx); l != nil {
			r.lead(ctx, l)
			continue
		}
		r.follow(ctx)
	}
}

// findLeader looks the leader up. It returns a leadership if this instance has
// become the leader.
func (r *Router) findLeader(ctx context.Context) *leadership {
	for ctx.Err() == nil {
		info, err := r.readLeader(ctx)
		switch {
		case err == nil && r.silentStill(info):
			sleep(ctx, vacancyPoll)
			continue
		case err == nil && info.id != r.cfg.Instance:
			r.setLeader(info)
			return nil
		case err == nil: // a former run of this instance; its lease will end
			sleep(ctx, storePause)
			continue
		case !errors.Is(err, ErrNotFound):
			r.log.Warn("leader not read", "error", err)
			if r.askPeers(ctx) {
				return nil
			}
			sleep(ctx, 2*storePause)
			continue
		}
		if r.leaving.Load() {
			sleep(ctx, electionSpread)
			continue
		}
		l, err := r.campaign(ctx)
		if err == nil {
			return l
		}
		if !errors.Is(err, ErrConflict) {
			r.log.Warn("not elected", "error", err)
			sleep(ctx, storePause)
		}
	}
	return nil
}

// silentStill reports whether info is the leader whose silence this instance has
// noticed, and whose lease has not had the time to end.
func (r *Router) silentStill(info leaderInfo) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return info.term == r.leader.term && time.Since(r.leader.heard) < pace(len(r.instances))+silenceMargin+leaderLease
}

func (r *Router) readLeader(ctx context.Context) (leaderInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	it, err := r.out.Store.Get(ctx, leaderKey)
	if !errors.Is(err, ErrNotFound) {
		r.storeAnswered(time.Now(), err)
	}
	if err != nil {
		return leaderInfo{}, err
	}
	words := strings.Fields(string(it.Value))
	if len(words) != 3 {
		return leaderInfo{}, errors.Errorf("%s: want an id, an address and a lease, not %q", leaderKey, it.Value)
	}
	return leaderInfo{id: fleet.InstanceID(words[0]), addr: words[1], term: uint64(it.Revision), heard: time.Now()}, nil
}

func (r *Router) setLeader(info leaderInfo) {
	r.mu.Lock()
	changed := r.leader.term != info.term
	r.leader = info
	if changed {
		r.demandReported = time.Time{} // this leader has been told none
	}
	r.mu.Unlock()
	if changed {
		r.log.Info("following leader", "leader", info.id, "term", info.term)
	}
}

// campaign tries to become the leader.
func (r *Router) campaign(ctx context.Context) (*leadership, error) {
	r.mu.Lock()
	delay := handicap(r.cfg.Processor, len(r.instances)) + time.Duration(r.rng.Int64N(int64(electionSpread)))
	r.mu.Unlock()
	sleep(ctx, delay)
	if _, err := r.readLeader(ctx); !errors.Is(err, ErrNotFound) {
		if err == nil {
			err = ErrConflict
		}
		return nil, err
	}
	callCtx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	asked := bootClock()
	lease, err := r.out.Store.NewLease(callCtx, max(leaderLease, r.cfg.MinLease))
	if err != nil {
		return nil, err
	}
	validTill := asked + leaderLease - leaseMargin
	value := fmt.Sprintf("%s %s %d", r.cfg.Instance, r.cfg.PeerListen, lease)
	rev, err := r.claim(callCtx, Write{Key: leaderKey, Value: []byte(value), Lease: lease}, validTill)
	if err != nil {
		return nil, err
	}
	l := &leadership{
		term: uint64(rev), lease: lease, validTill: validTill,
		results: make(chan callResult, 64), saved: make(chan saveResult, 1), kept: make(chan keepResult, 1),
		reports: make(chan report, 64), members: make(map[fleet.InstanceID]member), began: time.Now(), stop: make(chan struct{}),
	}
	rec, recordRev, err := r.readRecord(ctx)
	for err != nil && bootClock() < validTill && ctx.Err() == nil {
		r.log.Warn("ownership record not read", "error", err, "term", l.term)
		sleep(ctx, storePause)
		rec, recordRev, err = r.readRecord(ctx)
	}
	if err != nil {
		return nil, err
	}
	l.recordRev, l.recorded, l.recordedSize = recordRev, rec.Instances, len(rec.Instances)
	l.owner = keyspace.NewOwner(time.Now(), l.term, keyspace.Timing{Hold: min(hold, r.cfg.MaxHold), Renew: renewGrants, Retry: retryGrants}, rec)
	return l, nil
}

// claim writes the leader key. If the answer is lost, it reads back whether the
// write was done; the value names the lease, so it is this write's.
func (r *Router) claim(ctx context.Context, w Write, validTill time.Duration) (fleet.Revision, error) {
	rev, err := r.out.Store.Put(ctx, w)
	for err != nil && !errors.Is(err, ErrConflict) && !errors.Is(err, ErrRefused) && bootClock() < validTill && ctx.Err() == nil {
		it, readErr := r.out.Store.Get(ctx, w.Key)
		switch {
		case readErr == nil && string(it.Value) == string(w.Value):
			return it.Revision, nil
		case readErr == nil:
			return 0, ErrConflict
		case errors.Is(readErr, ErrNotFound):
			return 0, err
		}
		sleep(ctx, storePause)
	}
	return rev, err
}

// readRecord reads what leaders store and its revision, 0 if nothing is stored yet.
func (r *Router) readRecord(ctx context.Context) (keyspace.Record, fleet.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	it, err := r.out.Store.Get(ctx, ownershipKey)
	if errors.Is(err, ErrNotFound) {
		return keyspace.Record{}, 0, nil
	}
	if err != nil {
		return keyspace.Record{}, 0, err
	}
	rec, err := keyspace.DecodeRecord(it.Value)
	return rec, it.Revision, err
}
