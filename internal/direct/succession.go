package direct

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/internal/quorum"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// announceInterval is the time between two announcements of an election to the instances
	// that may support an earlier leader, and before the first: most instances find the new
	// leader themselves.
	announceInterval = 300 * time.Millisecond
	// maxAnnouncements bounds the instances that are sent an announcement at a time.
	maxAnnouncements = 12
)

// acknowledgement identifies a reply of a leader that an instance has received.
type acknowledgement struct {
	Term   fleet.Revision // of the leader
	SentAt time.Duration  // on the clock of the leader
}

func (a acknowledgement) encode(e *jx.Encoder) {
	if a.Term == 0 {
		return
	}
	encodeRevision(e, "acknowledged-term", "acknowledged-era", a.Term)
	e.FieldStart("acknowledged-ms")
	e.Int64(a.SentAt.Milliseconds())
}

// storedElectorate returns the electorate of the stored record, for the support of a leader of the
// given term. In a record of an earlier era, the next leader does not rely on the instances. As long
// as no record has been stored, no leader can have granted keys, so that none needs support.
func storedElectorate(rec keyspace.Record, stored bool, term fleet.Revision) quorum.Electorate {
	e := quorum.Electorate{Open: rec.FormerLead || !stored && rec.Era == term.Era()}
	if rec.Era == term.Era() {
		e.Voters = instanceIDs(rec.Instances)
	}
	return e
}

// formerElectorate returns the electorate of the record that the leader of the given term has
// read after its election, for the end of its predecessors. stored is false if there was none.
//
// A record of an earlier era does not state who supports a leader of that era. The wait of the
// coordinator for the end of all unknown grants then includes the time for which such a leader
// goes on after the restoration of the store, if it learns of that.
func formerElectorate(rec keyspace.Record, stored bool, term fleet.Revision) quorum.Electorate {
	if rec.Era != term.Era() {
		return quorum.Electorate{}
	}
	return quorum.Electorate{Voters: instanceIDs(rec.Instances), Open: rec.FormerLead || stored && len(rec.Instances) == 0}
}

// mayLead reports whether the instance may go on leading at clock, which is that of bootClock.
func (r *Router) mayLead(clock time.Duration, l *leadership) bool {
	return clock < l.validUntil || l.support.MayLead(clock, l.validUntil) && r.storeDownForAll(l)
}

// storeDownForAll reports whether the store seems to be unavailable to all instances: none
// that has reported has reached the store since this instance last did. Instances that rely
// on the leader call the store themselves once the leader's state is stale. What is reported
// cannot show that no other leader has been elected; see package quorum.
func (r *Router) storeDownForAll(l *leadership) bool {
	r.mu.Lock()
	ownAnswer := r.storeAnsweredAt
	r.mu.Unlock()
	for id, m := range l.members {
		if id != r.cfg.Instance && m.heardAt.Add(-m.storeAge).After(ownAnswer.Add(leaseMargin)) {
			return false
		}
	}
	return true
}

// noteFormerLeader records when the present leader, which another one replaces, last replied. The
// own leadership does not count: it has ended, and this instance supported nobody else meanwhile.
// The caller must hold mu.
func (r *Router) noteFormerLeader() {
	if r.leader.id != r.cfg.Instance {
		r.formerHeardAt = latest(r.formerHeardAt, r.leader.heardAt)
	}
}

// noteSupport learns from a report whether its sender supports this leader, and since when no
// earlier one.
func (r *Router) noteSupport(now time.Time, l *leadership, rep report) {
	if rep.Instance != r.cfg.Instance {
		if rep.Acknowledged.Term != l.term || rep.Acknowledged.SentAt > bootClock() {
			return // the sender may still follow another leader of an earlier term
		}
		l.support.Acknowledged(rep.Instance, rep.Acknowledged.SentAt)
	}
	l.succession.Follows(now, rep.Instance, rep.FormerAge)
}

// announce sends the election of this leader to instances that may support an earlier one, for
// the case that they do not reach the store.
func (r *Router) announce(ctx context.Context, now time.Time, l *leadership) {
	if now.Before(l.announceDue) {
		return
	}
	l.announceDue = now.Add(announceInterval)
	body := leaderInfo{id: r.cfg.Instance, addr: r.cfg.PeerListen, term: l.term}.encode()
	n := 0
	r.mu.Lock()
	order := r.rng.Perm(len(l.recordedInstances))
	r.mu.Unlock()
	for _, i := range order {
		p := l.recordedInstances[i]
		if p.ID == r.cfg.Instance || n == maxAnnouncements || !l.succession.Silent(now, p.ID) {
			continue
		}
		n++
		go func() {
			ctx, cancel := context.WithTimeout(ctx, leaderQueryTimeout)
			defer cancel()
			if _, err := r.peers.Do(ctx, p.Addr, &http1.Request{Method: http.MethodPost, Target: leaderPath, Body: body}, nil); err != nil {
				r.log.Debug("announcing the election failed", "instance", p.ID, "error", err)
			}
		}()
	}
}

// serveAnnouncement records the election that another instance announces.
func (r *Router) serveAnnouncement(w http.ResponseWriter, body []byte) {
	info, err := decodeLeaderInfo(body)
	if err != nil {
		r.log.Warn("decoding an announcement failed", "error", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	if info.term > r.announced.term && info.id != r.cfg.Instance {
		r.announced = info
	}
	r.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// laterLeaderAnnounced reports whether a leader with a higher term than the known one, which may
// be this instance, has announced its election.
func (r *Router) laterLeaderAnnounced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.announced.term > r.leader.term
}

// followAnnounced sets the leader that has announced its election, if it is later than the known
// one, and reports whether it did.
func (r *Router) followAnnounced() bool {
	r.mu.Lock()
	info, later := r.announced, r.announced.term > r.leader.term
	r.mu.Unlock()
	if later {
		info.heardAt = time.Now()
		r.setLeader(info)
	}
	return later
}
